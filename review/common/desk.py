"""Start a small fleet before engines that can be disturbed, and send it calls."""

import http.client
import json
import subprocess
import sys
import threading
import time
from pathlib import Path

from attrs import define, field

from review.common.engine import SLOTS, make_content, make_seal
from review.common.nodes import Nodes
from standins.fleet import Process
from standins.gateway_fleet import HOST, KEY, PLAIN_SERVICE, GatewayFleet, send_request
from standins.path_engine import make_registration

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
NODES = ("node-1", "node-2")
CALLERS = 16
CALL_INTERVAL_SECONDS = 0.4
DEADLINE_MS = 3_000
START_SECONDS = 15.0


@define
class Call:
    """Hold one attempt at a call and what its caller got; order names the business matter."""

    request_id: str
    order: str
    route: str
    node: str
    sent_at: float
    status: int = 0
    seal: str | None = None
    body: bytes = b""
    error: str = ""

    @property
    def is_mixed(self) -> bool:
        """Return whether a success lacks the engine's seal or is not its whole body."""
        if not 200 <= self.status < 300:
            return False
        expected = make_content(self.request_id)
        return self.body != expected or self.seal != make_seal(expected)

    @property
    def is_promised(self) -> bool:
        """Return whether the answer promises that the request has not run and never will."""
        return self.status in (408, 421, 429, 503)


@define(eq=False)
class Caller:
    """Send one call after another over a kept connection; retry once after a promise."""

    address: str
    node: str
    name: str
    calls: list[Call] = field(factory=list)
    _connection: http.client.HTTPConnection | None = None

    def run(self, until: float) -> None:
        """Send calls until a time (monotonic seconds)."""
        number = 0
        while time.monotonic() < until:
            started_at = time.monotonic()
            route = "status" if number % 4 == 3 else "order"
            order = f"{self.name}-{number}"
            if self._try(Call(order, order, route, self.node, time.time())).is_promised:
                self._connection = None
                self._try(Call(f"{order}-again", order, route, self.node, time.time()))
            number += 1
            time.sleep(max(0.0, started_at + CALL_INTERVAL_SECONDS - time.monotonic()))

    def _try(self, call: Call) -> Call:
        self.calls.append(call)
        try:
            self._send(call)
        except (OSError, http.client.HTTPException) as error:
            call.error = repr(error)
            self._connection = None
        return call

    def _send(self, call: Call) -> None:
        if self._connection is None:
            ip, _, port = self.address.rpartition(":")
            self._connection = http.client.HTTPConnection(ip, int(port), timeout=6.0)
        headers = {
            "Host": HOST,
            "X-Request-Id": call.request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Api-Key": KEY,
        }
        method, body = ("POST", call.order.encode()) if call.route == "order" else ("GET", None)
        self._connection.request(method, f"/{call.route}/2f", body, headers)
        response = self._connection.getresponse()
        call.body = response.read()
        call.status, call.seal = response.status, response.getheader("X-Response-Seal")
        if response.will_close:
            self._connection = None


@define(eq=False)
class Desk:
    """Hold a fleet of two nodes before some engines of a plain service."""

    fleet: GatewayFleet
    runs_path: Path
    engines: list[str]

    def start(self) -> None:
        """Start the store, the engines and the nodes; wait until each node serves a call."""
        self.runs_path.touch()
        self.fleet.start_store()
        self.fleet.configure(1)
        for engine_id in self.engines:
            self._start_engine(engine_id)
        nodes = Nodes(self.fleet)
        for node in NODES:
            nodes.start(node, "regina-a")
        for node in NODES:
            self.fleet.await_ready(node)
            self._await_served(node)

    def disturb(self, engines: list[str], how: str, *, share: float, seconds: float) -> None:
        """Start a disturbance of some engines."""
        body = json.dumps({"how": how, "share": share, "seconds": seconds}).encode()
        for engine_id in engines:
            address = self.fleet.processes[engine_id].ready["address"]
            send_request(address, "POST", "/control/disturb", {}, body)

    def start_callers(self, seconds: float) -> list[Caller]:
        """Start callers in threads that end after some seconds."""
        until = time.monotonic() + seconds
        callers = []
        for number in range(CALLERS):
            node = NODES[number % len(NODES)]
            callers.append(Caller(self.fleet.address(node), node, f"c{number}"))
            threading.Thread(target=callers[-1].run, args=(until,), daemon=True).start()
        return callers

    def read_events(self, event: str) -> list[dict[str, str]]:
        """Return what the engines recorded of one kind."""
        lines = [json.loads(line) for line in self.runs_path.read_text().splitlines()]
        return [line for line in lines if line["event"] == event]

    def _start_engine(self, engine_id: str) -> None:
        log_path = self.fleet.folder / f"{engine_id}.log"
        program = str(Path(__file__).parent / "engine.py")
        arguments = [sys.executable, program, engine_id, str(self.runs_path)]
        with log_path.open("w") as log:
            popen = subprocess.Popen(arguments, stdout=log, stderr=subprocess.STDOUT, text=True)
        process = self.fleet.processes[engine_id] = Process(engine_id, popen, {})
        deadline = time.monotonic() + START_SECONDS
        while not (text := log_path.read_text()).endswith("\n"):
            if popen.poll() is not None or time.monotonic() > deadline:
                raise RuntimeError(f"{engine_id} did not start: {text}")
            time.sleep(0.02)
        pairs = [word.partition("=") for word in text.split()[1:]]
        process.ready = {name: value for name, _, value in pairs}
        value = make_registration(
            engine_id, PLAIN_SERVICE, process.ready["address"], "regina-a", slots=SLOTS
        )
        self.fleet.append_record("keyed.servers", engine_id, value)

    def _await_served(self, node: str) -> None:
        deadline = time.monotonic() + START_SECONDS
        while self.fleet.send(node, "status", f"warm-{node}-{time.time()}").status != 200:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{node} serves nothing")
            time.sleep(0.1)


def describe_call(call: Call, mark: str, runs: int) -> str:
    """Return the line of a call for the record."""
    return (
        f"{mark}{call.sent_at:.3f} {call.node} {call.route} {call.request_id}"
        f" status={call.status} seal={call.seal} body={call.body!r} error={call.error} runs={runs}"
    )
