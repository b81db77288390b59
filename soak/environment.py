"""Run the processes of a soak run: a store, targets and gateway nodes, linked by a proxy."""

import json
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import define, field

from standins.fleet import start_process
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
    kills: list[tuple[str, float]] = field(factory=list)  # nodes, and when (Unix seconds)
    _started: dict[str, int] = field(factory=lambda: dict.fromkeys(TARGET_SERVICES, 1))
    acknowledged_at: dict[int, float] = field(factory=dict)  # versions (Unix seconds)
    _version: int = 1
    _ids: dict[str, str] = field(factory=lambda: {name: name for name in TARGET_SERVICES})
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
            self._add_link(target, self._start_target(target), is_http=True)
            self.set_state(target, "ready")
        for index, node in enumerate(self.nodes):
            self._add_link(f"{node}>store", self._add_target_links(node))
            data_centre = "winnipeg-a" if index % 3 == 2 else "regina-a"
            fleet.start_node(node, data_centre, self._links[f"{node}>store"])

    @property
    def runs_paths(self) -> list[Path]:
        """Return the files to which the targets append their executions."""
        return [self._get_runs_path(target) for target in TARGET_SERVICES]

    @property
    def log_paths(self) -> dict[str, Path]:
        """Return the log of each node, over all its starts."""
        return {node: self.fleet.folder / f"{node}.log" for node in self.nodes}

    def kill(self, node: str) -> None:
        """Kill a node if it is running."""
        self.expected_exits.add(node)
        process = self.fleet.processes[node]
        if process.popen.poll() is None:
            self.kills.append((node, time.time()))
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
                self.kills.append((node, time.time()))
                self.fleet.restart(node)

    def for_each_node(self, action: Callable[[str], None]) -> None:
        """Call a function with each node."""
        for node in self.nodes:
            action(node)

    def set_link(self, link: str, fault: dict[str, Any]) -> None:
        """Set the fault of a link; an empty dict clears it."""
        self._send_command({"links": [link], "fault": fault})

    def cut_off(self, node: str, fault: dict[str, Any]) -> None:
        """Set the fault of the links from a node to all targets; an empty dict clears it."""
        links = [f"{node}>{target}" for target in TARGET_SERVICES]
        self._send_command({"links": links, "fault": fault})

    def set_copying(self, targets: list[str], copying: dict[str, Any] | None) -> None:
        """Have targets write copies of their responses, or end it."""
        self._send_command({"links": targets, "copying": copying})

    def count_copies(self) -> int:
        """Return how many copies of responses were written."""
        return int(self._send_command({"count": list(TARGET_SERVICES)})["copies"])

    def set_faults(self, name: str, fault: dict[str, Any]) -> None:
        """Set the faults of the store or of a target; an empty dict clears them."""
        if self.fleet.processes[name].popen.poll() is None:
            self.fleet.set_faults(name, **fault)

    def add_faults(self, targets: list[str], faults: dict[str, Any]) -> None:
        """Set faults of targets that run, beside those that they have."""
        for target in targets:
            if self.fleet.processes[target].popen.poll() is None:
                self.fleet.add_faults(target, **faults)

    def kill_target(self, target: str) -> None:
        """Kill a target, but leave its registration in the store, as a crash does."""
        process = self.fleet.processes[target]
        if process.popen.poll() is None:
            process.kill()

    def restart_target(self, target: str) -> None:
        """Start a killed target again, as the other version behind its link."""
        process = self.fleet.processes[target]
        if process.popen.poll() is not None:
            self._versions[target] = VERSIONS[self._versions[target] == VERSIONS[0]]
            self._send_command({"move": target, "upstream": self._start_target(target)})
            self._started[target] = self._next_sequence()
            self.set_state(target, "ready")

    def replace_target(self, target: str) -> str:
        """Start a target again at its address under a new id; return the ended one.

        The registration of the ended one stays.
        """
        ended_id = self._ids[target]
        self.kill_target(target)
        self._ids[target] = f"{target}+{self._next_sequence()}"
        self.restart_target(target)
        return ended_id

    def register_ended(self, target: str, ended_id: str) -> None:
        """Register an ended start of a target once more, as another writer may do."""
        self._register(target, ended_id, "ready", self._next_sequence())

    def remove_registration(self, target_id: str) -> None:
        """Remove a registration from the store."""
        self.fleet.append_record("keyed.servers", target_id, b"")

    def replace_leaving_target(self, target: str) -> None:
        """Register a target that said that it leaves as started again."""
        self.set_faults(target, {})
        self._started[target] = self._next_sequence()
        self.set_state(target, "ready")

    def set_state(self, target: str, state: str) -> None:
        """Register a target in the store with a state."""
        self._register(target, self._ids[target], state, self._started[target])

    def _register(self, target: str, target_id: str, state: str, born: int) -> None:
        value = make_registration(
            target_id,
            TARGET_SERVICES[target],
            self._links[target],
            "regina-a",
            state=state,
            sequence=self._next_sequence(),
            version=self._versions[target],
            born=born,
        )
        self.fleet.append_record("keyed.servers", target_id, value)

    def top_up(self, tokens: int) -> None:
        """Add tokens to the prepaid budget by writing a new configuration."""
        self.prepaid += tokens
        self._version += 1
        self.fleet.configure(self._version, prepaid=self.prepaid)
        self.acknowledged_at[self._version] = time.time()

    def heal(self) -> None:
        """Clear all faults, and start the processes that are not running."""
        for link in self._links:
            self.set_link(link, {})
        self.set_copying(list(TARGET_SERVICES), None)
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

    def _start_target(self, target: str) -> str:
        """Start a target at any free port, as its earlier one may be taken; return its address."""
        arguments = ["standins.path_engine", "--id", self._ids[target]]
        arguments += ["--runs", str(self._get_runs_path(target))]
        arguments += ["--version", self._versions[target]]
        log_path = self.fleet.folder / f"{target}.log"
        process = self.fleet.processes[target] = start_process(target, arguments, log_path)
        return process.ready["address"]

    def _get_runs_path(self, target: str) -> Path:
        return self.fleet.folder / f"{target}.runs"

    def _add_target_links(self, node: str) -> str:
        """Add a link to each target; return an address of the store that names the links."""
        replacements = {}
        for target in TARGET_SERVICES:
            name, address = f"{node}>{target}", self._links[target]
            self._add_link(name, address)
            replacements[address] = self._links[name]
        return self.fleet.add_store_view(node, replacements)

    def _add_link(self, name: str, upstream: str, **options: Any) -> None:
        command = {"add": name, "upstream": upstream, **options}
        self._links[name] = self._send_command(command)["address"]

    def _send_command(self, command: dict[str, Any]) -> Any:
        self._control.write(json.dumps(command).encode() + b"\n")
        self._control.flush()
        return json.loads(self._control.readline())

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
