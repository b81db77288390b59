"""Run a fleet whose requests all draw on one tenant's prepaid tokens, and judge its recovery."""

import http.client
import json
import os
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from attrs import define, field

from review.common.nodes import Nodes
from standins.gateway_fleet import HOST, KEY, MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
ZONES = ("regina-a", "winnipeg-a", "regina-a", "winnipeg-a", "regina-a")
FINAL_DARK_SECONDS = 1.5
RECOVER_SECONDS = 12.0
JUDGED_SECONDS = 10.0
CALLERS = 12
CALL_INTERVAL_SECONDS = 0.4
PROMPT_TOKENS, ANSWER_TOKENS_MAX = 400, 10
PREPAID = 1_300_000  # over 1.3 times what all requests of the run use, as on the site
OWED_SHARE = 0.97  # of the prepaid tokens, into which a request that is owed fits
SERVED_SHARE_MIN = 0.25


@define
class Call:
    """Hold one request and what its caller got; times are monotonic seconds."""

    request_id: str
    node: str
    sent_at: float
    status: int = 0
    whole: bool = False
    error: str = ""

    @property
    def is_served(self) -> bool:
        """Return whether the caller got a whole success."""
        return self.whole and self.status == 200


@define(eq=False)
class Fleet:
    """Hold the processes, the names of the nodes in service, and the calls sent so far."""

    processes: GatewayFleet
    runs_path: Path
    nodes: list[str] = field(factory=lambda: [f"node-{number}" for number in range(1, 6)])
    calls: list[Call] = field(factory=list)
    _starter: Nodes = field(init=False)
    _stopping: threading.Event = field(factory=threading.Event)
    _threads: list[threading.Thread] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._starter = Nodes(self.processes)

    def start(self) -> None:
        """Start the store, the engines and the nodes."""
        self.runs_path.touch()
        self.processes.start_store()
        self.processes.configure(1, prepaid=PREPAID)
        extra = ("--runs", str(self.runs_path), "--event-seconds", "0.01", "--slots", "64")
        for engine in ("engine-1", "engine-2"):
            self.processes.start_target(engine, MODEL_SERVICE, "regina-a", *extra, slots=64)
        self.processes.start_target("desk-1", PLAIN_SERVICE)
        for node, zone in zip(self.nodes, ZONES, strict=True):
            self._starter.start(node, zone)
        self.await_ready()

    def await_ready(self) -> None:
        """Wait until all nodes in service are ready."""
        for node in self.nodes:
            self.processes.await_ready(node)

    def lose_power(self, nodes: list[str], seconds: float) -> None:
        """Kill the processes of nodes and start them again after some seconds."""
        for node in nodes:
            self.processes.processes[node].kill()
        time.sleep(seconds)
        for node in nodes:
            self.processes.restart(node)

    def replace(self, index: int, name: str, seconds: float) -> None:
        """Lose a node for good, and add another one in its zone after some seconds."""
        self.processes.processes[self.nodes[index]].kill()
        time.sleep(seconds)
        self._starter.start(name, ZONES[index])
        self.nodes[index] = name

    def start_callers(self) -> None:
        """Start sending requests to all nodes at a constant rate."""
        for number in range(CALLERS):
            thread = threading.Thread(target=self._run_caller, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop_callers(self) -> None:
        """Stop sending requests and wait for the last ones."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, number: int) -> None:
        count = 0
        time.sleep(number * CALL_INTERVAL_SECONDS / CALLERS)
        while not self._stopping.is_set():
            started_at = time.monotonic()
            node = self.nodes[(number + count) % len(self.nodes)]
            call = Call(f"c{number}-{count}", node, started_at)
            self.calls.append(call)
            try:
                self._send(call)
            except (OSError, http.client.HTTPException, KeyError) as error:
                call.error = type(error).__name__
            count += 1
            time.sleep(max(0.0, started_at + CALL_INTERVAL_SECONDS - time.monotonic()))

    def _send(self, call: Call) -> None:
        ip, _, port = self.processes.address(call.node).rpartition(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=5.0)
        headers = {
            "Host": HOST,
            "X-Request-Id": call.request_id,
            "X-Deadline-Ms": "4000",
            "Api-Key": KEY,
            "X-Model": "m",
            "X-Token-Usage": f"{PROMPT_TOKENS},{ANSWER_TOKENS_MAX}",
            "X-Prompt-Prefix": f"5c1e07a2:{PROMPT_TOKENS - 50},{call.request_id}:50",
        }
        try:
            connection.request("POST", "/draft/2f", b"a long brief", headers)
            response = connection.getresponse()
            call.status = response.status
            response.read()
            call.whole = True
        finally:
            connection.close()

    def count_used(self) -> int:
        """Return the tokens used: each run's prompt, and all events that the engines sent."""
        records = [json.loads(line) for line in self.runs_path.read_text().splitlines()]
        prompts = sum(int(item["prompt"]) for item in records if item["begun"])
        return prompts + sum(item["events"] for item in records if not item["begun"])


def play(fleet: Fleet, disturb: Callable[[Fleet], None], *, trouble: bool) -> tuple[float, float]:
    """Run the fleet; return when the final fault was and when the nodes were back."""
    fleet.start()
    fleet.start_callers()
    try:
        time.sleep(3.0)
        disturb(fleet)
        final_at = time.monotonic()
        if trouble:
            fleet.lose_power(fleet.nodes, FINAL_DARK_SECONDS)
        fleet.await_ready()
        back_at = time.monotonic()
        time.sleep(RECOVER_SECONDS + JUDGED_SECONDS)
    finally:
        fleet.stop_callers()
    return final_at, back_at


def judge(fleet: Fleet, folder: Path, final_at: float, back_at: float, *, trouble: bool) -> int:
    """Write what was seen to record.txt; return the exit status."""
    used = fleet.count_used()
    before = [call for call in fleet.calls if call.sent_at < final_at]
    after = [call for call in fleet.calls if call.sent_at > back_at + RECOVER_SECONDS]
    served_before = sum(call.is_served for call in before)
    served_after = sum(call.is_served for call in after)
    is_owed = used + PROMPT_TOKENS + ANSWER_TOKENS_MAX <= OWED_SHARE * PREPAID
    lines = [
        f"disruption: {'on' if trouble else 'off'}",
        f"before the final fault: {served_before} of {len(before)} requests served,"
        f" by status {dict(Counter(call.status for call in before))}",
        f"later than {RECOVER_SECONDS:.0f} s after the nodes were back:"
        f" {served_after} of {len(after)} requests served,"
        f" by status {dict(Counter(call.status for call in after))}",
        f"tokens prepaid: {PREPAID}; used: {used} ({used / PREPAID:.1%}),"
        f" counted as prompts of all runs and events that the engines sent",
        f"one more request fits into 97 in 100 of the prepaid tokens: {is_owed}",
        "",
    ]
    start = fleet.calls[0].sent_at
    lines += [
        f"{call.sent_at - start:.3f} {call.node} {call.request_id} status={call.status}"
        f" whole={call.whole} error={call.error}"
        for call in sorted(fleet.calls, key=lambda item: item.sent_at)
    ]
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[:5]))
    if served_before < SERVED_SHARE_MIN * len(before) or len(after) < 20 or not is_owed:
        return COULD_NOT_RUN
    return BROKEN if served_after < SERVED_SHARE_MIN * len(after) else HELD


def run_case(folder: Path, disturb: Callable[[Fleet, bool], None]) -> int:
    """Run a case; disturb gets the fleet and whether the disruption is on."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        fleet = Fleet(GatewayFleet(Path(name)), Path(name) / "runs.txt")
        try:
            final_at, back_at = play(fleet, lambda item: disturb(item, trouble), trouble=trouble)
        except (RuntimeError, OSError, AssertionError) as error:
            (folder / "record.txt").write_text(f"the case could not run: {error!r}\n")
            return COULD_NOT_RUN
        finally:
            fleet.processes.close()
        return judge(fleet, folder, final_at, back_at, trouble=trouble)
