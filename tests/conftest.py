"""Provide shared fixtures and helper functions."""

import json
import re
import time
import urllib.error
import urllib.request

import pytest
from hypothesis import settings

from standins.fleet import Fleet, call_json
from standins.gateway_fleet import MODEL_SERVICE, GatewayFleet

pytest_plugins = ["tests.known_red", "tests.xdist_groups"]

KEY = "studio-key"

settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")


@pytest.fixture
def make_fleet():
    """Return a function that starts fleets, which are stopped after the test."""
    fleets = []

    def make(**options):
        fleets.append(Fleet(**options))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.close()


@pytest.fixture(scope="module")
def warm_gateway():
    """Start a fleet of one gateway node that holds tokens and has no target."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1, prepaid=10_000_000)
        fleet.start_target("warm", MODEL_SERVICE)
        fleet.start_node("node-1")
        fleet.await_ready("node-1")
        await_true(lambda: fleet.send("node-1", "score", "warm").status == 200, what="tokens")
        fleet.append_record("keyed.servers", "warm", b"")
        yield fleet
    finally:
        fleet.close()


def await_true(condition, seconds=20.0, what="the condition"):
    """Wait until the condition holds; on timeout, fail with its last result or exception."""
    deadline = time.monotonic() + seconds
    last = None
    while time.monotonic() < deadline:
        try:
            last = condition()
            if last:
                return last
        except (OSError, urllib.error.HTTPError) as error:
            last = error
        time.sleep(0.02)
    raise AssertionError(f"{what} did not happen within {seconds} s: {last!r}")


def await_ready(fleet, *node_ids):
    """Wait until the nodes are ready to serve callers."""
    for node_id in node_ids:
        await_true(
            lambda node_id=node_id: call_json(fleet.caller_address(node_id), "/readyz")["ready"],
            what=f"readiness of {node_id}",
        )


def send_chat(address, prompt="hello", *, key=KEY, request_id=None, **fields):
    """Send one chat request without streaming; return the status and decoded body."""
    body = {"model": "namer", "messages": [{"role": "user", "content": prompt}], "max_tokens": 8}
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    if request_id is not None:
        headers["Idempotency-Key"] = request_id
    return send(address, "/v1/chat/completions", body | fields, headers)


def send(address, path, body, headers, seconds=30.0):
    """Send one POST request; return the status and decoded body."""
    request = urllib.request.Request(f"http://{address}{path}", json.dumps(body).encode(), headers)
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def read_records(fleet, kind, stream="ledger-0"):
    """Return the records of one kind in a ledger stream, in log order."""
    records = [entry["record"] for entry in fleet.read_stream(stream)]
    return [record for record in records if record["kind"] == kind]


def read_metric(address, name):
    """Return the sum of a metric's samples."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as response:
        text = response.read().decode()
    return sum(float(v) for v in re.findall(rf"^{name}(?:{{.*}})? (\S+)$", text, re.MULTILINE))


def count_peers(address):
    """Return the number of peers that a node recently heard from and can send to."""
    return min(
        read_metric(address, "bronzetiller_peers_heard"),
        read_metric(address, "bronzetiller_peers_connected"),
    )
