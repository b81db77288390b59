"""Stand-in for a target of path routes: a model engine that streams events, or a plain service.

python -m standins.path_engine --listen ip:port --id ID [--event-seconds S] [--slots N]
    [--runs FILE] [--version V] [--marks] [--crash-segment ID] [--crash-path PATH] [--brittle N]

The control interface sets faults, where ?keep leaves those that are not given, and returns the
requests that were executed; a request counts as executed as soon as the target has accepted it.
With --runs, a record is also appended to FILE when an execution begins and another one, with the
number of events sent, when its stream ends, so that they outlive the process. With --marks, events
name the version. With --crash-segment, the process exits instead of sending the first event of a
prompt that has this segment; with --crash-path, it exits 50 ms after a request to this path. With
--brittle, its responses state that it survives N refusals per second for want of a slot, and it
exits at one more.
"""

import argparse
import json
import os
import time
from collections import deque
from pathlib import Path
from typing import Any

from attrs import define, evolve

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop, make_loop
from standins.process import respond_json, serve

EVENTS_MAX = 64
LABEL = "request-label"  # the header by which a request without an id is told apart
CRASH_SECONDS = 0.05


@define
class Faults:
    """Hold the faults of the next requests; each affected request decrements its fault's count."""

    refuse: int = 0  # respond with 503 and X-Not-Executed
    refuse_first: int = 0  # the same, but only to the first request under an id
    refuse_status: int = 503  # of these two responses
    shed: int = 0  # run the request and respond with 503, without a word on the run
    pause: float | None = (
        None  # seconds in Retry-After of the responses to refused and shed requests
    )
    break_after: int = 0  # events that a stream sends before break_count aborts it
    break_count: int = 0  # abort the stream in the middle of an event
    reset: int = 0  # abort the connection without a response
    mute: int = 0  # never respond
    fail: int = 0  # respond with 500 and an invalid seal
    reject: int = 0  # respond with 404, as to a request that was not read to its end
    replay: int = 0  # respond with a response that does not name its request
    limit: float | None = None  # requests per second that the responses state, not enforced
    leaving: bool = False  # say so in each response
    warmup_ms: int | None = None  # until the target is warm, stated in each response


@define
class Run:
    """Hold a request that the target executed, as it was received."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: str
    received_at: float
    cancelled: bool = False
    events: int = 0


class Target:
    def __init__(
        self,
        loop: Loop,
        target_id: str,
        event_seconds: float,
        slots: int,
        runs_path: Path | None,
        crash_segment: str | None,
        crash_path: str | None,
        version: str,
        marks: bool,
        brittle: int | None,
    ) -> None:
        self._loop = loop
        self._id = target_id
        self._event_seconds = event_seconds
        self._slots = slots
        self._crash_segment = crash_segment
        self._crash_path = crash_path
        self._version = version
        self._mark = f"-{version}" if marks else ""
        self._brittle = brittle
        self._refused_at: deque[float] = deque()
        self._running = 0
        self._faults = Faults()
        self._runs: list[Run] = []
        self._refused_ids: set[str] = set()
        self._runs_file = None if runs_path is None else runs_path.open("a", buffering=1)

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == "/control/faults":
            unchanged = self._faults if "keep" in exchange.query else Faults()
            self._faults = evolve(unchanged, **json.loads(exchange.body))
            respond_json(exchange, 200, {})
        elif exchange.path == "/control/runs":
            runs = [
                {name: getattr(run, name) for name in Run.__slots__ if name != "__weakref__"}
                for run in self._runs
            ]
            respond_json(exchange, 200, {"runs": runs})
        elif exchange.path == "/-/report":
            respond_json(exchange, 200, {"running": self._running})
        else:
            self._serve_request(exchange)

    def _serve_request(self, exchange: Exchange) -> None:
        expected = exchange.headers.get("x-expect-instance")
        if expected not in (None, self._id):
            exchange.respond(421, self._make_headers(exchange), b"")
            return
        if self._refuses(exchange.headers.get("x-request-id", "")):
            self._count_refusal()
            headers = self._make_headers(exchange) | self._make_pause()
            status = self._faults.refuse_status
            exchange.respond(status, headers | {"X-Not-Executed": "1"}, b"full")
            return
        run = Run(
            exchange.headers.get("x-request-id") or exchange.headers.get(LABEL, ""),
            exchange.method,
            exchange.path,
            dict(exchange.headers),
            exchange.body.decode("latin-1"),
            time.time(),
        )
        self._runs.append(run)
        self._write_run(run, begun=True)
        if self._faults.reset > 0:
            self._faults.reset -= 1
            exchange.abort()
        elif self._faults.shed > 0:
            self._faults.shed -= 1
            exchange.respond(503, self._make_headers(exchange) | self._make_pause(), b"busy")
        elif self._faults.mute > 0:
            self._faults.mute -= 1
        elif self._faults.fail > 0:
            self._faults.fail -= 1
            exchange.respond(500, self._make_headers(exchange) | {"X-Response-Seal": "bad"}, b"no")
        elif self._faults.reject > 0:
            self._faults.reject -= 1
            exchange.respond(404, self._make_headers(exchange) | {"X-Response-Seal": "no"}, b"no")
        elif self._faults.replay > 0:
            self._faults.replay -= 1
            headers = self._make_headers(exchange) | {"X-Response-Seal": "old"}
            del headers["X-Request-Id"]
            exchange.respond(200, headers, b"an earlier answer")
        elif exchange.path == self._crash_path:
            self._loop.scheduler.call_after(CRASH_SECONDS, lambda: os._exit(1))
        elif "x-token-usage" in exchange.headers:
            self._stream(exchange, run)
        else:
            headers = self._make_headers(exchange) | {"X-Response-Seal": f"seal-{self._id}"}
            exchange.respond(200, headers, f"answer to {run.request_id}".encode())

    def _refuses(self, request_id: str) -> bool:
        if self._faults.refuse > 0 or self._running >= self._slots:
            self._faults.refuse -= 1
            return True
        if self._faults.refuse_first > 0 and request_id not in self._refused_ids:
            self._faults.refuse_first -= 1
            self._refused_ids.add(request_id)
            return True
        return False

    def _make_pause(self) -> dict[str, str]:
        seconds = self._faults.pause
        return {} if seconds is None else {"Retry-After": str(seconds)}

    def _count_refusal(self) -> None:
        """Exit if the target has to refuse more requests within a second than it survives."""
        now = self._loop.scheduler.now()
        self._refused_at.append(now)
        while self._refused_at[0] <= now - 1.0:
            self._refused_at.popleft()
        if self._brittle is not None and len(self._refused_at) > self._brittle:
            os._exit(1)

    def _write_run(self, run: Run, *, begun: bool) -> None:
        if self._runs_file is not None:
            value = {"id": run.request_id, "begun": begun, "events": run.events} | {
                "target": self._id,
                "version": self._version,
                "stream": run.headers.get("resumes", run.request_id),
                "first": int(run.headers.get("last-event-id", 0)) + 1,
                "prompt": run.headers.get("x-token-usage", "0,0").partition(",")[0],
                "workspace": run.headers.get("x-tenant", ""),
                "has_key": "api-key" in run.headers,
                "at": run.received_at,
            }
            self._runs_file.write(json.dumps(value) + "\n")

    def _make_headers(self, exchange: Exchange) -> dict[str, str]:
        headers = {
            "Content-Type": "application/octet-stream",
            "X-Request-Id": exchange.headers.get("x-request-id", ""),
            "X-Instance-Id": self._id,
            "X-Server-Load": f"{self._running},0,{self._slots}",
        }
        if self._faults.limit is not None:
            headers["Server-Limit"] = str(self._faults.limit)
        if self._faults.warmup_ms is not None:
            headers["X-Warmup-Ms"] = str(self._faults.warmup_ms)
        if self._faults.leaving:
            headers["Server-Leaving"] = "1"
        if self._brittle is not None:
            headers["Server-Brittle"] = str(self._brittle)
        return headers

    def _stream(self, exchange: Exchange, run: Run) -> None:
        self._running += 1
        _, answer_tokens = exchange.headers["x-token-usage"].split(",")
        events = min(EVENTS_MAX, int(answer_tokens))
        first_event = int(exchange.headers.get("last-event-id", 0)) + 1
        break_event = None
        if self._faults.break_count > 0:
            self._faults.break_count -= 1
            break_event = first_event + self._faults.break_after
        headers = self._make_headers(exchange) | {
            "Content-Type": "text/event-stream",
            "X-Response-Seal": f"seal-{self._id}",
        }
        exchange.start(200, headers)

        def handle_disconnect() -> None:
            run.cancelled = True
            self._running -= 1
            self._write_run(run, begun=False)

        exchange.on_disconnect = handle_disconnect
        prefix = exchange.headers.get("x-prompt-prefix", "")
        crashes = self._crash_segment in [entry.partition(":")[0] for entry in prefix.split(",")]

        def send(event_id: int) -> None:
            if crashes:
                os._exit(1)
            if exchange.done:
                return
            if event_id == break_event:
                self._running -= 1
                self._write_run(run, begun=False)
                exchange.send(f"id: {event_id}\ndata: half".encode())
                exchange.abort()
                return
            if event_id > events:
                self._running -= 1
                self._write_run(run, begun=False)
                exchange.finish()
                return
            run.events += 1
            data = f"{run.request_id}-{event_id}{self._mark}"
            exchange.send(f"id: {event_id}\ndata: {data}\n\n".encode())
            self._loop.scheduler.call_after(self._event_seconds, lambda: send(event_id + 1))

        self._loop.scheduler.call_after(self._event_seconds, lambda: send(first_event))


def make_registration(
    target_id: str, service: str, address: str, data_centre: str, **fields: Any
) -> bytes:
    """Return the registration record that a target writes to the store."""
    value = {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(value | fields).encode()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--id", required=True)
    parser.add_argument("--event-seconds", type=float, default=0.01)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--runs", type=Path)
    parser.add_argument("--crash-segment")
    parser.add_argument("--crash-path")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--marks", action="store_true")
    parser.add_argument("--brittle", type=int)
    arguments = parser.parse_args()
    loop = make_loop()
    target = Target(
        loop,
        arguments.id,
        arguments.event_seconds,
        arguments.slots,
        arguments.runs,
        arguments.crash_segment,
        arguments.crash_path,
        arguments.version,
        arguments.marks,
        arguments.brittle,
    )
    serve(loop, "path_engine", arguments.listen, target.serve)


if __name__ == "__main__":
    main()
