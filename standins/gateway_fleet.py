"""Start gateway nodes, a store and targets as separate processes, for tests and the demo."""

import json
import struct
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import yaml
from attrs import define, field

from standins.fleet import Process, start_process
from standins.keyed_store import OPERATOR_HEADER
from standins.path_engine import make_registration

HOST = "studio.example"
MODEL_SERVICE = "namegen"
PLAIN_SERVICE = "desk"
REGIONS = {"regina-a": "sask", "winnipeg-a": "manitoba", "calgary-a": "alberta"}
KEY = "studio-key"
WORKSPACE = "studio"
FLEET_SECRET = "secret of the stand-in fleet"


def make_configuration(
    version: int,
    *,
    prepaid: int = 100_000,
    more_routes: tuple[str, ...] = (),
    timeout_ms: int = 5_000,
    service_fields: dict[str, Any] | None = None,
    regions: dict[str, list[str]] | None = None,
    workspace_regions: list[str] | None = None,
) -> dict[str, Any]:
    """Return a configuration with two streaming and two plain routes, and more idempotent ones.

    Streams of route draft can be resumed, those of score cannot; route status is idempotent,
    order is not. Both services have service_fields, and routes are limited to the given regions.
    """

    def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        route = {
            "name": name,
            "hostname": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 400,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
        }
        if regions and name in regions:
            route["allowed_regions"] = regions[name]
        return route | fields

    return {
        "version": version,
        "routes": [
            make_route("draft", "streaming", MODEL_SERVICE, resume_streams=True, gap_aim_ms=250),
            make_route("score", "streaming", MODEL_SERVICE, resume_streams=False, gap_aim_ms=250),
            make_route("order", "non_idempotent", PLAIN_SERVICE),
            *(make_route(name, "idempotent", PLAIN_SERVICE) for name in ("status", *more_routes)),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "health_path": "/healthz",
                "max_connections": 100,
                "engine": {"slots": 8, "kv_capacity": 100_000, "stride": 1},
                **(service_fields or {}),
            },
            {
                "name": PLAIN_SERVICE,
                "health_path": "/healthz",
                "max_connections": 100,
                **(service_fields or {}),
            },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": WORKSPACE, "api_keys": [KEY], "priority": 1, "prepaid": prepaid}
            | ({"allowed_regions": workspace_regions} if workspace_regions else {})
        ],
    }


@define
class Reply:
    """Hold the response that a caller received; the body may be incomplete."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


def send_request(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Reply:
    """Send one request and read its response."""
    data = body if method != "GET" else None
    request = urllib.request.Request(f"http://{address}{path}", data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=15) as response:
            response_headers = {name.lower(): value for name, value in response.headers.items()}
            try:
                return Reply(response.status, response_headers, response.read(), True)
            except OSError:
                return Reply(response.status, response_headers, b"", False)
            except Exception as error:  # http.client raises IncompleteRead for a truncated response
                return Reply(
                    response.status, response_headers, getattr(error, "partial", b""), False
                )
    except urllib.error.HTTPError as error:
        response_headers = {name.lower(): value for name, value in error.headers.items()}
        return Reply(error.code, response_headers, error.read(), True)


@define(eq=False)
class GatewayFleet:
    """Hold the processes of one gateway fleet and the arguments that they were started with."""

    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="gateway-")))
    processes: dict[str, Process] = field(factory=dict)
    arguments: dict[str, list[str]] = field(factory=dict)
    builds: dict[str, Path] = field(factory=dict)  # folders of the nodes that run earlier code

    def start_store(self, *extra: str) -> None:
        """Start the keyed store."""
        self._start("store", ["standins.keyed_store", *extra])

    def start_target(
        self,
        target_id: str,
        service: str,
        data_centre: str = "regina-a",
        *extra: str,
        **fields: Any,
    ) -> None:
        """Start a target and register it in the store, with the given fields."""
        self._start(target_id, ["standins.path_engine", "--id", target_id, *extra])
        self.register_target(target_id, service, data_centre, **fields)

    def register_target(
        self, target_id: str, service: str, data_centre: str, **fields: Any
    ) -> None:
        """Write the registration of a running target to the store."""
        address = self.processes[target_id].ready["address"]
        value = make_registration(target_id, service, address, data_centre, **fields)
        self.append_record("keyed.servers", target_id, value)

    def configure(self, version: int, **fields: Any) -> None:
        """Write a configuration of the given version to the store."""
        self.append_record(
            "keyed.op", "config", json.dumps(make_configuration(version, **fields)).encode()
        )

    def start_node(
        self,
        node_id: str,
        data_centre: str = "regina-a",
        store_address: str | None = None,
        seeds: tuple[str, ...] = (),
        grace_seconds: float = 4.0,
        capacity: dict[str, Any] | None = None,
    ) -> None:
        """Start a gateway node, which connects to the store at store_address if one is given.

        The seeds are ids of nodes that are already running.
        """
        settings = {
            "node_id": node_id,
            "region": REGIONS[data_centre],
            "data_centre": data_centre,
            "data_centres": REGIONS,
            "listen": dict.fromkeys(
                ("callers", "readiness", "lookup", "metrics", "peers"), "127.0.0.1:0"
            ),
            "store": {"address": store_address or self.store_address},
            "seeds": [self.address(seed, "peers") for seed in seeds],
            "fleet_secret": FLEET_SECRET,
            "capacity": {"cores": 1.0, "speed": 1.0, "link_mbps": 1_000.0} | (capacity or {}),
            "retries": {"ratio": 0.2, "allowance": 50, "window_seconds": 10},
            "stop": {"grace_seconds": grace_seconds, "entry_seconds": 0.5},
        }
        path = self.folder / f"{node_id}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._start(node_id, ["bronzetiller.gateway", str(path)])

    def await_ready(self, node_id: str, seconds: float = 15.0) -> None:
        """Wait until a node is ready, or raise RuntimeError after a timeout."""
        deadline = time.monotonic() + seconds
        while (
            send_request(self.address(node_id, "readiness"), "GET", "/-/readyz", {}).status != 200
        ):
            if time.monotonic() > deadline:
                raise RuntimeError(f"node {node_id} is not ready after {seconds} s")
            time.sleep(0.05)

    def restart(self, name: str) -> None:
        """Start a process again with the same arguments."""
        self._start(name, self.arguments[name])

    @property
    def store_address(self) -> str:
        """Return the store's address, without any link in front of it."""
        return self.processes["store"].ready["address"]

    def address(self, node_id: str, kind: str = "callers") -> str:
        """Return the address of one of a node's listeners: callers, peers, metrics and so on."""
        return self.processes[node_id].ready[kind]

    def append_record(self, topic: str, key: str, value: bytes) -> None:
        """Append a keyed record to a topic of the store, bypassing its faults."""
        record = bytes([len(key)]) + key.encode() + value
        body = struct.pack(">I", len(record)) + record
        path = f"/-/log-append?topic={topic}&part=0"
        reply = send_request(self.store_address, "POST", path, {OPERATOR_HEADER: "1"}, body)
        assert reply.status == 200, reply

    def evacuate(self, data_centre: str) -> None:
        """Write the operator's record of an evacuation to the store."""
        self.append_record("keyed.op", f"evacuate/{data_centre}", b"{}")

    def end_evacuation(self, data_centre: str) -> None:
        """Delete the operator's record of an evacuation."""
        self.append_record("keyed.op", f"evacuate/{data_centre}", b"")

    def resolve(self, node_id: str, data_centre: str, host: str = HOST) -> set[str]:
        """Return the addresses that a node names to callers in a data centre."""
        query = f"name={host}&region={REGIONS[data_centre]}&zone={data_centre}"
        reply = send_request(
            self.address(node_id, "lookup"), "GET", f"/-/resolve?{query}", {"Host": "lookup"}
        )
        return set(json.loads(reply.body)["addresses"])

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults of the store or of a target; those not given are cleared."""
        address = self.processes[name].ready["address"]
        send_request(address, "POST", "/control/faults", {}, json.dumps(faults).encode())

    def add_faults(self, name: str, **faults: Any) -> None:
        """Set faults of a target and leave its other ones."""
        address = self.processes[name].ready["address"]
        send_request(address, "POST", "/control/faults?keep", {}, json.dumps(faults).encode())

    def add_store_view(self, name: str, replacements: dict[str, str]) -> str:
        """Add a view of the store, or addresses to one; return its own address."""
        body = json.dumps({"name": name, "replacements": replacements}).encode()
        reply = send_request(self.store_address, "POST", "/control/view", {}, body)
        return str(json.loads(reply.body)["address"])

    def restore_store(self, seconds: float) -> None:
        """Restore the store from a copy that lacks its records of the last seconds."""
        body = json.dumps({"seconds": seconds}).encode()
        reply = send_request(self.store_address, "POST", "/control/restore", {}, body)
        assert reply.status == 200, reply

    def list_runs(self, *target_ids: str) -> list[dict[str, Any]]:
        """Return the requests that the targets have executed."""
        runs = []
        for target_id in target_ids:
            address = self.processes[target_id].ready["address"]
            runs += json.loads(send_request(address, "GET", "/control/runs", {}).body)["runs"]
        return runs

    def send(
        self,
        node_id: str,
        route: str,
        request_id: str,
        body: bytes = b"body",
        *,
        item: str = "2f",
        **headers: str,
    ) -> Reply:
        """Send a request for an item of a route; those to model routes declare their usage."""
        usage = {"X-Token-Usage": "40,10", "X-Prompt-Prefix": "aa:30,bb:10", "X-Model": "m"}
        request_headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "Api-Key": KEY,
            "X-Deadline-Ms": "4000",
        }
        request_headers |= usage if route in ("draft", "score") else {}
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        method = "GET" if route == "status" else "POST"
        return send_request(
            self.address(node_id), method, f"/{route}/{item}", request_headers, body
        )

    def close(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.kill()

    def start_helper(self, name: str, arguments: list[str]) -> dict[str, str]:
        """Start another stand-in; return the fields of its ready line."""
        self._start(name, arguments)
        return self.processes[name].ready

    def _start(self, name: str, arguments: list[str]) -> None:
        self.arguments[name] = arguments
        self.processes[name] = start_process(
            name, arguments, self.folder / f"{name}.log", self.builds.get(name)
        )
