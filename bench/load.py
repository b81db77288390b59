"""Send the requests of the callers in one region and record the result of each.

python -m bench.load PLAN RESULTS

The plan is a JSON file with the fields of LoadPlan; the results are written as JSON lines with the
fields of RequestResult.
"""

import json
import random
import sys
import time
from pathlib import Path
from typing import Any

from attrs import asdict, define, field, frozen
from cattrs import structure

from bronzetiller.net.dialer import Dialer, parse_address
from bronzetiller.net.event_stream import EventSplitter
from bronzetiller.net.http_client import (
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.net.loop import Loop, make_loop
from standins.engine import make_words

ENTRY_READ_TIMEOUT_SECONDS = 2.0
RESPONSE_READ_TIMEOUT_SECONDS = 25.0
RETRY_DELAY_SECONDS = 0.3


@frozen
class Caller:
    """Describe the caller of one workspace: its API key and its share of the requests."""

    workspace: str
    key: str
    share: float


@frozen
class RequestKind:
    """Describe one kind of request; keyed ones carry an idempotency key."""

    name: str
    path: str
    share: float
    model: str = ""
    prompt_bytes: int = 0
    answer_tokens: int = 0
    keyed: bool = True


@frozen
class LoadPlan:
    """Describe the load of one region."""

    seed: int
    seconds: float
    requests_per_second: float
    entries: list[str]
    callers: list[Caller]
    works: list[RequestKind]
    give_up_seconds: float = 40.0
    direct: bool = False


@define
class Attempt:
    """Record one attempt; status 0 means that no response began."""

    address: str
    status: int = 0
    reason: str = ""
    ran: str = ""


@define(eq=False)
class RequestResult:
    """Record one request with all its attempts; crossed means that it got another's response."""

    workspace: str
    work: str
    request_id: str
    started_at: float
    prompt_bytes: int
    answer_tokens: int
    attempts: list[Attempt] = field(factory=list)
    outcome: str = ""
    crossed: bool = False
    first_seconds: float | None = None
    gaps_seconds: list[float] = field(factory=list)
    seconds: float = 0.0


class RegionLoad:
    """Send the load of one region from one event loop."""

    def __init__(self, loop: Loop, plan: LoadPlan, results: Path) -> None:
        self._loop = loop
        self._plan = plan
        self._random = random.Random(plan.seed)
        dialer = Dialer(loop, channel="load").register(loop.root)
        self._http = HttpClient(loop.scheduler, dialer)
        self._results = results.open("w")
        self._addresses: list[str] = list(plan.entries)
        self._addresses_valid_until = 0.0
        self._open_requests = 0
        self._sent_requests = 0
        self._end_time = time.monotonic() + plan.seconds

    def start(self) -> None:
        """Start sending requests."""
        self._refresh_entries()
        self._send_next()

    def _send_next(self) -> None:
        now = time.monotonic()
        if now >= self._end_time:
            self._stop_when_done()
            return
        delay = self._random.expovariate(self._plan.requests_per_second)
        self._loop.scheduler.call_at(now + delay, self._send_next)
        self._start_request()

    def _stop_when_done(self) -> None:
        if self._open_requests:
            self._loop.scheduler.call_after(0.1, self._stop_when_done)
            return
        self._results.close()
        self._loop.root.stop()

    def _start_request(self) -> None:
        callers, works = self._plan.callers, self._plan.works
        caller = self._random.choices(callers, [item.share for item in callers])[0]
        kind = self._random.choices(works, [item.share for item in works])[0]
        self._sent_requests += 1
        self._open_requests += 1
        request_id = f"{self._plan.seed}-{self._sent_requests}"
        request = RequestResult(
            caller.workspace,
            kind.name,
            request_id,
            time.time(),
            kind.prompt_bytes,
            kind.answer_tokens,
        )
        _RequestSender(self, request, caller, kind).start_attempt()

    def choose_address(self, tried: set[str]) -> str:
        """Return one of the two best untried entry addresses, or of all once all were tried."""
        self._refresh_entries()
        untried = [item for item in self._addresses if item not in tried] or self._addresses
        return self._random.choice(untried[:2])

    def write_result(self, request: RequestResult) -> None:
        """Write the result of a finished request."""
        self._open_requests -= 1
        self._results.write(json.dumps(asdict(request)) + "\n")

    def _refresh_entries(self) -> None:
        if self._plan.direct or time.time() < self._addresses_valid_until:
            return
        self._addresses_valid_until = time.time() + 1.0
        address = parse_address(self._random.choice(self._plan.entries + self._addresses))
        call = HttpCall(address, "GET", "/v1/entry", {}, b"", ENTRY_READ_TIMEOUT_SECONDS)
        parts: list[bytes] = []

        def handle_event(event: CallEvent) -> None:
            if isinstance(event, BodyPart):
                parts.append(event.data)
            elif isinstance(event, ResponseEnd):
                value = json.loads(b"".join(parts))
                self._addresses = value["addresses"] or self._addresses
                self._addresses_valid_until = value["keep_until"]

        self._http.send(call, handle_event)

    @property
    def http(self) -> HttpClient:
        """Return the HTTP client."""
        return self._http

    @property
    def loop(self) -> Loop:
        """Return the event loop."""
        return self._loop

    @property
    def plan(self) -> LoadPlan:
        """Return the load plan."""
        return self._plan


@define(eq=False)
class _RequestSender:
    region: RegionLoad
    request: RequestResult
    caller: Caller
    work: RequestKind
    started: float = field(factory=time.monotonic)
    tried: set[str] = field(factory=set)
    status: int = 0
    body: list[bytes] = field(factory=list)
    text: list[str] = field(factory=list)
    done: bool = False
    error: dict[str, Any] | None = None
    last_at: float = 0.0
    splitter: EventSplitter = field(factory=EventSplitter)

    def start_attempt(self) -> None:
        address = self.region.choose_address(self.tried)
        self.tried.add(address)
        self.status, self.done, self.error = 0, False, None
        self.body, self.text, self.splitter = [], [], EventSplitter()
        self.request.attempts.append(Attempt(address))
        headers = {
            "Authorization": f"Bearer {self.caller.key}",
            "Content-Type": "application/json",
            "X-Request-Id": self.request.request_id,
        }
        if self.work.keyed:
            headers["Idempotency-Key"] = self.request.request_id
        call = HttpCall(
            parse_address(address),
            "POST",
            self.work.path,
            headers,
            json.dumps(self._make_body()).encode(),
            RESPONSE_READ_TIMEOUT_SECONDS,
        )
        self.region.http.send(call, self.handle_event)

    def _make_prompt(self) -> str:
        return f"{self.request.request_id} ".ljust(self.work.prompt_bytes, "x")

    def _make_body(self) -> dict[str, Any]:
        if not self.work.model:
            return {"request": self.request.request_id}
        return {
            "model": self.work.model,
            "messages": [{"role": "user", "content": self._make_prompt()}],
            "max_tokens": self.work.answer_tokens,
            "stream": True,
        }

    def handle_event(self, event: CallEvent) -> None:
        if isinstance(event, ResponseHead):
            self.status = event.status
        elif isinstance(event, BodyPart):
            self._handle_body(event.data)
        elif isinstance(event, ResponseEnd):
            self._handle_response_end()
        elif isinstance(event, CallFailed):
            self.status = 0
            self._retry(event.cause)

    def _handle_body(self, data: bytes) -> None:
        if not self.work.model or self.status != 200:
            self.body.append(data)
            return
        for item in self.splitter.feed(data):
            if item == b"[DONE]":
                self.done = True
                continue
            chunk = json.loads(item)
            if "choices" not in chunk:
                self.error = chunk
                continue
            for choice in chunk["choices"]:
                self._record_text(choice["delta"].get("content") or "")

    def _record_text(self, text: str) -> None:
        if not text:
            return
        now = time.monotonic()
        if self.request.first_seconds is None:
            self.request.first_seconds = now - self.started
        elif self.text:
            self.request.gaps_seconds.append(now - self.last_at)
        self.last_at = now
        self.text.append(text)

    def _handle_response_end(self) -> None:
        if self.status == 200 and self.error is None:
            self._check_response()
            return
        details = self.error
        if details is None:
            try:
                details = json.loads(b"".join(self.body))
            except ValueError:
                details = {}
        attempt = self.request.attempts[-1]
        attempt.reason = str(details.get("reason", ""))
        attempt.ran = str(details.get("ran", ""))
        if self.status in (429, 503, 502, 409) or self.error is not None:
            self._retry(attempt.reason)
        else:
            self._finish("refused")

    def _check_response(self) -> None:
        self.request.attempts[-1].status = 200
        if not self.work.model:
            value = json.loads(b"".join(self.body))
            self.request.crossed = self.request.request_id not in value.get("echo", "")
            self._finish("answered")
            return
        expected = "".join(make_words(self._make_prompt(), self.work.answer_tokens))
        text = "".join(self.text)
        if not self.done or len(text) < len(expected):
            self._retry("incomplete")
            return
        self.request.crossed = text != expected
        self._finish("answered")

    def _retry(self, cause: str) -> None:
        attempt = self.request.attempts[-1]
        attempt.status = self.status
        attempt.reason = attempt.reason or cause
        if time.monotonic() - self.started > self.region.plan.give_up_seconds:
            self._finish(
                "unknown" if attempt.ran == "unknown" else "refused" if attempt.ran else "lost"
            )
            return
        self.region.loop.scheduler.call_after(RETRY_DELAY_SECONDS, self.start_attempt)

    def _finish(self, outcome: str) -> None:
        self.request.attempts[-1].status = self.request.attempts[-1].status or self.status
        self.request.outcome = outcome
        self.request.seconds = time.monotonic() - self.started
        self.region.write_result(self.request)


def main() -> None:
    """Run the load of the plan given on the command line."""
    plan = structure(json.loads(Path(sys.argv[1]).read_text()), LoadPlan)
    loop = make_loop()
    region = RegionLoad(loop, plan, Path(sys.argv[2]))
    loop.scheduler.call_after(0.0, region.start)
    loop.root.run()


if __name__ == "__main__":
    main()
