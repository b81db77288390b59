"""Demonstrate a small fleet in two regions that runs against stand-ins for its dependencies."""

import json
import time
import urllib.error
import urllib.request
from typing import Any

from standins.fleet import Fleet, call_json
from standins.gateway_fleet import MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet

KEY = "demo-key"
NODES = [
    ("node-1", "west", "west-1"),
    ("node-2", "west", "west-1"),
    ("node-3", "west", "west-2"),
    ("node-4", "west", "west-2"),
    ("node-5", "east", "east-1"),
    ("node-6", "east", "east-1"),
]


def start_demo_fleet() -> Fleet:
    """Start six nodes, three engines and a plain service; return when all nodes are ready."""
    fleet = Fleet()
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1")
    fleet.add_target("engine-2", "names", "west", "west-2")
    fleet.add_target("engine-3", "names", "east", "east-1")
    fleet.add_target("workflow-1", "workflow", "west", "west-1", "standins.service")
    for node_id, region, data_centre in NODES:
        fleet.add_node(node_id, region, data_centre)
    fleet.publish_workspace("studio", KEY, 1_000_000)
    fleet.publish("route", "namer", {"service": "names"})
    approvals = {"service": "workflow", "protocol": "plain", "idempotent": False}
    fleet.publish("route", "approvals", approvals)
    for node_id, _, _ in NODES:
        await_ready(fleet, node_id)
    return fleet


def await_ready(fleet: Fleet, node_id: str, seconds: float = 20.0) -> None:
    """Wait until a node accepts requests, or raise RuntimeError after a timeout."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            call_json(fleet.caller_address(node_id), "/readyz")
            return
        except (OSError, urllib.error.HTTPError):
            time.sleep(0.02)
    raise RuntimeError(f"node {node_id} is not ready after {seconds} s")


def send_chat_request(address: str, prompt: str) -> Any:
    """Send one chat completion request and return the decoded response."""
    body = {"model": "namer", "messages": [{"role": "user", "content": prompt}], "max_tokens": 8}
    return post(address, "/v1/chat/completions", body)


def post(address: str, path: str, body: Any, request_id: str = "") -> Any:
    """Send a POST request with the demo's API key and return the decoded response."""
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    if request_id:
        headers["Idempotency-Key"] = request_id
    request = urllib.request.Request(f"http://{address}{path}", json.dumps(body).encode(), headers)
    with urllib.request.urlopen(request, timeout=30) as response:
        return json.loads(response.read())


def main() -> None:
    fleet = start_demo_fleet()
    try:
        addresses = call_json(fleet.caller_address("node-1"), "/v1/entry")["addresses"]
        print(f"The fleet has {len(addresses)} entry addresses: {', '.join(addresses)}")
        for index, address in enumerate(addresses):
            completion = send_chat_request(address, f"a brand name, please ({index})")
            print(f"{address} responded: {completion['choices'][0]['message']['content']}")
        for address in addresses[:2]:
            approval = post(address, "/services/approvals/approve", {"name": "x"}, "approval-1")
            print(f"{address}: approval-1 was execution number {approval['run']}.")
        records = [entry["record"] for entry in fleet.read_stream("ledger-0")]
        bills = [record for record in records if record["kind"] == "bill"]
        total = sum(bill["tokens"] for bill in bills)
        print(f"The log contains {len(bills)} bills for {total} tokens in total.")
    finally:
        fleet.close()
    demonstrate_gateway()


def demonstrate_gateway() -> None:
    """Serve requests on path routes by two gateway nodes, then by one after the other is killed."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1)
        for target_id in ("engine-1", "engine-2"):
            fleet.start_target(target_id, MODEL_SERVICE)
        fleet.start_target("desk-1", PLAIN_SERVICE)
        for node_id in ("node-1", "node-2"):
            fleet.start_node(node_id)
            fleet.await_ready(node_id)
        for node_id in ("node-1", "node-2"):
            reply = fleet.send(node_id, "draft", f"draft-{node_id}")
            count = reply.body.count(b"data: ")
            print(f"Gateway {node_id} streamed {count} events with status {reply.status}.")
        fleet.processes["node-1"].kill()
        reply = fleet.send("node-2", "order", "order-1")
        print(f"After node-1 was killed, node-2 responded to an order with {reply.status}.")
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
