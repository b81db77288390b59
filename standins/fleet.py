"""Start a small fleet with its stand-ins as separate processes, for the demo, tests and bench."""

import hashlib
import json
import signal
import subprocess
import sys
import tempfile
import urllib.request
from pathlib import Path
from typing import Any
from uuid import uuid4

import yaml
from attrs import define, field

FLEET_SECRET = "a-secret-for-stand-ins-only"
READY_PREFIX = "ready "


@define(eq=False)
class Process:
    """Hold one started process and the fields of its ready line."""

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


def start_process(name: str, arguments: list[str], log_path: Path) -> Process:
    """Start a process and wait for its ready line."""
    with log_path.open("a") as log:
        popen = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, stderr=log, text=True
        )
    assert popen.stdout is not None
    for line in popen.stdout:
        if line.startswith(READY_PREFIX):
            pairs = [pair.partition("=") for pair in line[len(READY_PREFIX) :].split()]
            return Process(name, popen, {key: value for key, _, value in pairs})
    raise RuntimeError(f"{name} ended before it was ready: {log_path.read_text()[-2000:]}")


def call_json(address: str, path: str, value: Any = None, method: str | None = None) -> Any:
    """Call a stand-in's or a node's HTTP interface."""
    data = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read())


@define(eq=False)
class Fleet:
    """Hold the processes of a fleet and what the list of VMs says of them."""

    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="bronzetiller-")))
    processes: dict[str, Process] = field(factory=dict)
    vms: dict[str, dict[str, Any]] = field(factory=dict)
    settings: dict[str, dict[str, Any]] = field(factory=dict)

    def start_platform(self, *log_arguments: str) -> None:
        """Start the log and the list of VMs."""
        self._start("log", ["standins.log", *log_arguments])
        self._start("vms", ["standins.vms"])

    @property
    def log_address(self) -> str:
        return self.processes["log"].ready["address"]

    def add_target(
        self, vm_id: str, service: str, region: str, data_centre: str, *arguments: str
    ) -> Process:
        """Start an engine, or a plain service where the arguments begin with its module."""
        module = list(arguments) if arguments[:1] == ("standins.service",) else None
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
        """Start a node and list it."""
        value = {
            "node_id": node_id,
            "region": region,
            "data_centre": data_centre,
            "fleet_secret": FLEET_SECRET,
            "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
            "platform": {
                "log": self.log_address,
                "vm_list": self.processes["vms"].ready["address"],
            },
        } | settings
        self.settings[node_id] = value
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
        """Set the platform's list of VMs."""
        address = self.processes["vms"].ready["address"]
        call_json(address, "/control/vms", {"vms": list(self.vms.values())}, "PUT")

    def publish(self, kind: str, name: str, body: Any, replaces: int = -1, schema: int = 1) -> int:
        """Append an operator record; return its offset."""
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
        """Create a workspace with one key and a first top-up."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        self.publish("workspace", name, {"key_digests": [digest]})
        if tokens:
            self.publish("top-up", f"{name}-1", {"workspace": name, "tokens": tokens})

    def read_stream(self, stream: str) -> list[dict[str, Any]]:
        """Return the entries that the log keeps of a stream."""
        path = f"/v1/streams/{stream}/records"
        entries: list[dict[str, Any]] = []
        while True:
            page = call_json(self.log_address, f"{path}?from={len(entries)}&limit=5000")
            entries += page["records"]
            if len(entries) >= page["end_offset"]:
                return entries

    def caller_address(self, node_id: str) -> str:
        return self.processes[node_id].ready["callers"]

    def close(self) -> None:
        """End every process."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.kill()

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = start_process(name, arguments, self.folder / f"{name}.log")
        self.processes[name] = process
        return process
