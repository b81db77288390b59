"""Start a small fleet and its stand-ins as processes, for the demo, tests and benchmarks.

With links, all traffic between data centres passes through a fault-injecting proxy: each data
centre has its own VM list, in which the addresses of VMs in other data centres are replaced by
link addresses. A link is named "source>destination": the source is a data centre, or a node if
the destination is the platform; the destination is a VM, "VM/peer", "log" or "vms".
"""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any
from uuid import uuid4

import yaml
from attrs import define, field

from bronzetiller.digests import digest_key

FLEET_SECRET = "a-secret-for-stand-ins-only"
OPERATOR_TOKEN = "a-token-for-stand-ins-only"
OFFSET_BEYOND_END = 10**12  # a read from here returns the offsets of a stream, but no records
READY_PREFIX = "ready "
READY_POLL_SECONDS = 0.02


@define(eq=False)
class Process:
    """Hold a started process and the fields of its ready line."""

    name: str
    popen: "subprocess.Popen[str]"
    ready: dict[str, str]

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> None:
        self.popen.terminate()

    def freeze(self) -> None:
        self.popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.popen.send_signal(signal.SIGCONT)


def start_process(
    name: str, arguments: list[str], log_path: Path, build: Path | None = None
) -> Process:
    """Start a process, which writes all its output to a file, and wait for its ready line.

    It runs the code in the folder of an earlier build, if one is given.
    """
    with log_path.open("a") as log:
        start = log.tell()
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
            text=True,
            cwd=build,
        )
    while True:
        is_running = popen.poll() is None
        ready = _find_ready_line(log_path, start)
        if ready is not None:
            return Process(name, popen, ready)
        if not is_running:
            output = log_path.read_text()[-2000:]
            raise RuntimeError(f"{name} exited before it was ready: {output}")
        time.sleep(READY_POLL_SECONDS)


def _find_ready_line(log_path: Path, start: int) -> dict[str, str] | None:
    """Return the fields of the first complete ready line after a position of the file."""
    with log_path.open() as log:
        log.seek(start)
        for line in log:
            if line.startswith(READY_PREFIX) and line.endswith("\n"):
                pairs = [pair.partition("=") for pair in line[len(READY_PREFIX) :].split()]
                return {key: value for key, _, value in pairs}
    return None


def call_json(
    address: str, path: str, value: Any = None, method: str | None = None, token: str = ""
) -> Any:
    """Send a request with an optional JSON body, and return the decoded response."""
    data = None if value is None else json.dumps(value).encode()
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    request = urllib.request.Request(f"http://{address}{path}", data, headers, method=method)
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read())


@define(eq=False)
class Fleet:
    """Hold the processes of a fleet and their entries in the VM list."""

    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="bronzetiller-")))
    processes: dict[str, Process] = field(factory=dict)
    vms: dict[str, dict[str, Any]] = field(factory=dict)
    settings: dict[str, dict[str, Any]] = field(factory=dict)
    links: dict[str, str] = field(factory=dict)
    locations: dict[str, str] = field(factory=dict)
    with_links: bool = False
    _control: Any = None

    def start_platform(self, *log_arguments: str) -> None:
        """Start the log, the VM list and, with links, the proxy."""
        self._start("log", ["standins.log", *log_arguments])
        self._start("vms", ["standins.vms"])
        if self.with_links:
            ip, _, port = self._start("proxy", ["standins.proxy"]).ready["address"].rpartition(":")
            self._control = socket.create_connection((ip, int(port))).makefile("rwb")

    def add_link(self, name: str, upstream: str) -> str:
        """Create a link to an address if it does not exist, and return the link's own address."""
        if name not in self.links:
            self.links[name] = self._send_command({"add": name, "upstream": upstream})["address"]
        return self.links[name]

    def set_fault(self, matches: Callable[[str, str], bool], **fault: Any) -> None:
        """Set a fault on each link whose source and destination match; without one, clear it."""
        names = [name for name in self.links if matches(*name.split(">", 1))]
        self._send_command({"links": names, "fault": fault})

    def partition(self, side: set[str], **fault: Any) -> None:
        """Disconnect the data centres of one side from all others and from the platform."""
        fault = fault or {"cut": True}

        def crosses(source: str, destination: str) -> bool:
            return self._is_on_side(source, side) != self._is_on_side(destination, side)

        self.set_fault(crosses, **fault)

    def heal(self) -> None:
        """Clear the faults of all links."""
        self.set_fault(lambda source, destination: True)

    def count_link_bytes(self, matches: Callable[[str, str], bool]) -> int:
        """Return the bytes that the matching links have forwarded in both directions."""
        names = [name for name in self.links if matches(*name.split(">", 1))]
        return int(self._send_command({"count": names})["bytes"])

    def _is_on_side(self, endpoint: str, side: set[str]) -> bool:
        return self.locations.get(endpoint, endpoint) in side

    def _send_command(self, command: dict[str, Any]) -> Any:
        self._control.write(json.dumps(command).encode() + b"\n")
        self._control.flush()
        return json.loads(self._control.readline())

    @property
    def log_address(self) -> str:
        return self.processes["log"].ready["address"]

    def add_target(
        self, vm_id: str, service: str, region: str, data_centre: str, *arguments: str
    ) -> Process:
        """Start and list an engine, or a plain service if the arguments begin with its module."""
        module = list(arguments) if arguments[:1] == ("standins.service",) else None
        self.locations[vm_id] = data_centre
        process = self._start(vm_id, module or ["standins.engine", *arguments])
        self.vms[vm_id] = {
            "vm_id": vm_id,
            "address": process.ready["address"],
            "region": region,
            "data_centre": data_centre,
            "role": "target",
            "state": "live",
            "service": service,
        }
        self.publish_vms()
        return process

    def add_node(self, node_id: str, region: str, data_centre: str, **settings: Any) -> Process:
        """Start a node and add it to the VM list."""
        value = {
            "node_id": node_id,
            "region": region,
            "data_centre": data_centre,
            "fleet_secret": FLEET_SECRET,
            "operators": {"token_digests": [digest_key(OPERATOR_TOKEN)]},
            "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
            "platform": {
                "log": self._get_platform_address(node_id, "log"),
                "vm_list": self._get_platform_address(node_id, self._start_vm_list(data_centre)),
            },
        } | settings
        self.settings[node_id] = value
        self.locations[node_id] = self.locations[f"{node_id}/peer"] = data_centre
        path = self.folder / f"{node_id}.yaml"
        path.write_text(yaml.safe_dump(value))
        process = self._start(node_id, ["bronzetiller", "node", str(path)])
        self.vms[node_id] = {
            "vm_id": node_id,
            "address": process.ready["callers"],
            "peer_address": process.ready["peers"],
            "region": region,
            "data_centre": data_centre,
            "role": "router",
            "state": "live",
        }
        self.publish_vms()
        return process

    def publish_vms(self) -> None:
        """Update the VM list of each data centre."""
        vms = list(self.vms.values())
        names = [name for name in self.processes if name == "vms" or name.startswith("vms-")]
        for name in names:
            view = [self._make_view(vm, name.removeprefix("vms-")) for vm in vms]
            address = self.processes[name].ready["address"]
            call_json(address, "/control/vms", {"vms": view}, "PUT")

    def _make_view(self, vm: dict[str, Any], data_centre: str) -> dict[str, Any]:
        if not self.with_links or data_centre in ("vms", vm["data_centre"]):
            return vm
        name = f"{data_centre}>{vm['vm_id']}"
        view = vm | {"address": self.add_link(name, vm["address"])}
        if "peer_address" in vm:
            view["peer_address"] = self.add_link(f"{name}/peer", vm["peer_address"])
        return view

    def _start_vm_list(self, data_centre: str) -> str:
        if not self.with_links:
            return "vms"
        name = f"vms-{data_centre}"
        if name not in self.processes:
            self._start(name, ["standins.vms"])
        return name

    def _get_platform_address(self, node_id: str, name: str) -> str:
        address = self.processes[name].ready["address"]
        if not self.with_links:
            return address
        return self.add_link(f"{node_id}>{name}", address)

    def publish(self, kind: str, name: str, body: Any, replaces: int = -1, schema: int = 1) -> int:
        """Append an operator's configuration record, and return its offset."""
        record = {
            "record_id": uuid4().hex,
            "schema": schema,
            "kind": kind,
            "name": name,
            "replaces": replaces,
            "author": "stand-in",
            "body": body,
        }
        path = "/v1/streams/configuration/records"
        return int(call_json(self.log_address, path, {"records": [record]})["first_offset"])

    def publish_workspace(self, name: str, key: str, tokens: int) -> None:
        """Publish a workspace with one key, and a top-up unless tokens is 0."""
        self.publish("workspace", name, {"key_digests": [digest_key(key)]})
        if tokens:
            self.publish("top-up", f"{name}-1", {"workspace": name, "tokens": tokens})

    def read_stream(self, stream: str) -> list[dict[str, Any]]:
        """Return all entries of a stream that the log retains."""
        path = f"/v1/streams/{stream}/records"
        page = call_json(self.log_address, f"{path}?from={OFFSET_BEYOND_END}")
        offset, entries = page["first_offset"], []
        while offset < page["end_offset"]:
            page = call_json(self.log_address, f"{path}?from={offset}&limit=5000")
            entries += page["records"]
            offset += len(page["records"])
        return entries

    def list_nodes(self) -> list[dict[str, Any]]:
        """Return the VM list entries of the nodes."""
        return [vm for vm in list(self.vms.values()) if vm["role"] == "router"]

    def caller_address(self, node_id: str) -> str:
        return self.processes[node_id].ready["callers"]

    def close(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.kill()

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = start_process(name, arguments, self.folder / f"{name}.log")
        self.processes[name] = process
        return process
