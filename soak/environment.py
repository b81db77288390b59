"""Run the processes of a soak run: a store, targets and gateway nodes, linked by a proxy."""

import json
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import define, field

from standins.fleet import Process, start_process
from standins.gateway_fleet import MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet, send_request
from standins.path_engine import make_registration

PREPAID_START_TOKENS = 3_000
TARGET_SERVICES = {
    "engine-1": MODEL_SERVICE,
    "engine-2": MODEL_SERVICE,
    "engine-3": MODEL_SERVICE,
    "desk-1": PLAIN_SERVICE,
    "desk-2": PLAIN_SERVICE,
}
VERSIONS = ("v1", "v2")  # of the targets' software; a restart takes the other one
NEWER_TARGETS = ("engine-3", "desk-2")


@define(eq=False)
class Environment:
    """Start, disrupt and stop processes; only processes started here are ever signalled."""

    nodes: list[str]
    fleet: GatewayFleet = field(factory=GatewayFleet)
    prepaid: int = PREPAID_START_TOKENS
    expected_exits: set[str] = field(factory=set)
    unexpected_exits: list[str] = field(factory=list)
    _started: dict[str, int] = field(factory=lambda: dict.fromkeys(TARGET_SERVICES, 1))
    _version: int = 1
    _links: dict[str, str] = field(factory=dict)
    _control: Any = None
    _sequence: int = 1
    _versions: dict[str, str] = field(
        factory=lambda: {name: VERSIONS[name in NEWER_TARGETS] for name in TARGET_SERVICES}
    )

    def start(self) -> None:
        """Start all processes and write the first configuration."""
        fleet = self.fleet
        fleet.start_store()
        proxy = start_process("proxy", ["standins.proxy"], fleet.folder / "proxy.log")
        fleet.processes["proxy"] = proxy
        ip, _, port = proxy.ready["address"].rpartition(":")
        self._control = socket.create_connection((ip, int(port))).makefile("rwb")
        fleet.configure(1, prepaid=self.prepaid)
        for target in TARGET_SERVICES:
            self._start_target(target, "127.0.0.1:0")
            self._add_link(target, fleet.processes[target].ready["address"])
            self.set_state(target, "ready")
        for index, node in enumerate(self.nodes):
            self._add_link(f"{node}>store", fleet.store_address)
            data_centre = "winnipeg-a" if index % 3 == 2 else "regina-a"
            fleet.start_node(node, data_centre, self._links[f"{node}>store"])

    @property
    def runs_paths(self) -> list[Path]:
        """Return the files to which the targets append their executions."""
        return [self._get_runs_path(target) for target in TARGET_SERVICES]

    def kill(self, node: str) -> None:
        """Kill a node if it is running."""
        self.expected_exits.add(node)
        process = self.fleet.processes[node]
        if process.popen.poll() is None:
            process.kill()

    def signal(self, node: str, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running; SIGTERM makes its exit expected."""
        process = self.fleet.processes[node]
        if signal_number is signal.SIGTERM:
            self.expected_exits.add(node)
        if process.popen.poll() is None:
            process.popen.send_signal(signal_number)

    def restart(self, node: str) -> None:
        """Start a killed or terminated node again once it has exited; skip other nodes."""
        if node not in self.expected_exits:
            return
        process = self.fleet.processes[node]
        process.popen.send_signal(signal.SIGCONT)
        process.popen.wait(timeout=10)
        self.expected_exits.discard(node)
        self.fleet.restart(node)

    def restart_as(self, node: str, build: Path | None) -> None:
        """Stop a node, if it runs, and start it from another build."""
        self.signal(node, signal.SIGTERM)
        self._set_build(node, build)
        self.restart(node)

    def _set_build(self, node: str, build: Path | None) -> None:
        self.fleet.builds.pop(node, None)
        if build is not None:
            self.fleet.builds[node] = build

    def record_unexpected_exits(self) -> None:
        """Record and restart the nodes that exited without being killed or terminated."""
        for node in self.nodes:
            status = self.fleet.processes[node].popen.poll()
            if status is not None and node not in self.expected_exits:
                self.unexpected_exits.append(f"{node} with status {status}")
                self.fleet.restart(node)

    def for_each_node(self, action: Callable[[str], None]) -> None:
        """Call a function with each node."""
        for node in self.nodes:
            action(node)

    def set_link(self, link: str, fault: dict[str, Any]) -> None:
        """Set the fault of a link; an empty dict clears it."""
        self._send_command({"links": [link], "fault": fault})

    def set_faults(self, name: str, fault: dict[str, Any]) -> None:
        """Set the faults of the store or of a target; an empty dict clears them."""
        if self.fleet.processes[name].popen.poll() is None:
            self.fleet.set_faults(name, **fault)

    def kill_target(self, target: str) -> None:
        """Kill a target, but leave its registration in the store, as a crash does."""
        process = self.fleet.processes[target]
        if process.popen.poll() is None:
            process.kill()

    def restart_target(self, target: str) -> None:
        """Start a killed target again, as the other version under its id and address."""
        process = self.fleet.processes[target]
        if process.popen.poll() is not None:
            self._versions[target] = VERSIONS[self._versions[target] == VERSIONS[0]]
            self._start_target(target, process.ready["address"])
            self._started[target] = self._next_sequence()
            self.set_state(target, "ready")

    def replace_leaving_target(self, target: str) -> None:
        """Register a target that said that it leaves as started again."""
        self.set_faults(target, {})
        self._started[target] = self._next_sequence()
        self.set_state(target, "ready")

    def set_state(self, target: str, state: str) -> None:
        """Register a target in the store with a state."""
        sequence = self._next_sequence()
        value = make_registration(
            target,
            TARGET_SERVICES[target],
            self._links[target],
            "regina-a",
            state=state,
            sequence=sequence,
            version=self._versions[target],
            born=self._started[target],
        )
        self.fleet.append_record("keyed.servers", target, value)

    def top_up(self, tokens: int) -> None:
        """Add tokens to the prepaid budget by writing a new configuration."""
        self.prepaid += tokens
        self._version += 1
        self.fleet.configure(self._version, prepaid=self.prepaid)

    def heal(self) -> None:
        """Clear all faults, and start the processes that are not running."""
        for link in self._links:
            self.set_link(link, {})
        self.set_faults("store", {})
        for target in TARGET_SERVICES:
            self.restart_target(target)
            self.set_faults(target, {})
            self.set_state(target, "ready")
        for node in self.nodes:
            self.signal(node, signal.SIGCONT)
            self.restart(node)

    def is_ready(self, node: str) -> bool:
        """Return whether a node reports that it is ready."""
        try:
            return (
                send_request(self.fleet.address(node, "readiness"), "GET", "/-/readyz", {}).status
                == 200
            )
        except OSError:
            return False

    def close(self) -> None:
        """Kill all processes that were started, suspended ones included."""
        for process in self.fleet.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
        self.fleet.close()

    def _start_target(self, target: str, address: str) -> Process:
        arguments = ["standins.path_engine", "--id", target, "--listen", address]
        arguments += ["--runs", str(self._get_runs_path(target))]
        arguments += ["--version", self._versions[target]]
        log_path = self.fleet.folder / f"{target}.log"
        self.fleet.processes[target] = start_process(target, arguments, log_path)
        return self.fleet.processes[target]

    def _get_runs_path(self, target: str) -> Path:
        return self.fleet.folder / f"{target}.runs"

    def _add_link(self, name: str, upstream: str) -> None:
        self._links[name] = self._send_command({"add": name, "upstream": upstream})["address"]

    def _send_command(self, command: dict[str, Any]) -> Any:
        self._control.write(json.dumps(command).encode() + b"\n")
        self._control.flush()
        return json.loads(self._control.readline())

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
