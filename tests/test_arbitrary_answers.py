"""Test with random bytes from targets that "not run" is said only of requests that did not run."""

from random import Random

import pytest
from attrs import define, field

from bronzetiller.gateway.attempt import (
    Attempt,
    CompleteResponse,
    NotRun,
    ResponseLost,
    StreamEnd,
    make_call,
)
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.net.address import Address
from bronzetiller.net.dialer import CLOSED, RESET
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import HttpClient
from bronzetiller.net.scheduler import Timeout
from standins.fake_scheduler import FakeScheduler

ADDRESS = Address("10.0.0.1", 8000)
REQUEST_IDS = ("a1", "a2", "a3", "a4", "a5")
CALLS_PER_SEQUENCE = 12
SEQUENCES_PER_SEED = 500
DEADLINE_SECONDS = 5.0
REFUSALS = ("503 Service Unavailable", "429 Too Many Requests", "400 Bad Request", "408")
FAILURES = ("500 Internal Server Error", "503 Service Unavailable", "504", "404 Not Found")
INTERIM = (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")


class TimeoutScheduler(FakeScheduler):
    def create_timeout(self, action):
        return Timeout(self, action)


@define
class Truth:
    """Hold what the target did with one request."""

    run: bool
    states_leaving: bool = False
    whole: bool = True
    body: bytes = b""


@define(eq=False)
class RandomTarget:
    """Run or refuse requests, and write earlier responses again, whole or cut anywhere."""

    random: Random
    truths: dict[str, list[Truth]] = field(factory=dict)

    def draw_response(self, request_id: str) -> tuple[bytes, Truth]:
        """Return a response to a request, and what it says."""
        draw = self.random
        kind = draw.choice(("run", "run", "refuse", "refuse", "misdirect", "fail"))
        lines = [f"X-Request-Id: {request_id}"]
        if draw.random() < 0.1:
            lines.append(f"X-Request-Id: {request_id}")
        truth = Truth(run=kind in ("run", "fail"), states_leaving=draw.random() < 0.3)
        if truth.states_leaving:
            lines.append("Server-Leaving: 1")
        if kind == "run":
            status = "200 OK"
            lines.append("X-Response-Seal: seal")
        elif kind == "fail":
            status = draw.choice(FAILURES)
        else:
            status = draw.choice(REFUSALS) if kind == "refuse" else "421 Misdirected Request"
            if kind == "refuse" or draw.random() < 0.5:
                lines.append("X-Not-Executed: 1")
        if draw.random() < 0.3:
            lines.append(draw.choice(("X-Note: one\r\n two", "Via: HTTP/1.1 proxy", "X-Empty:")))
        if draw.random() < 0.3:
            lines.append(draw.choice(("Keep-Alive: timeout=4", "Retry-After: 1")))
        truth.body = f"{kind} {request_id}".encode() * draw.randint(0, 3)
        parts = [truth.body] if truth.body else []
        if draw.random() < 0.4:
            lines.append("Transfer-Encoding: chunked")
            parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts] + [b"0\r\n\r\n"]
        else:
            lines.append(f"Content-Length: {len(truth.body)}")
        draw.shuffle(lines)
        end = draw.choice(("\r\n", "\r\n", "\r\n", "\n"))
        head = end.join((f"HTTP/1.1 {status}", *lines, "", ""))
        return head.encode() + b"".join(parts), truth


@define(eq=False)
class FakeConnection:
    """Deliver what the target writes in reads of random sizes."""

    target: RandomTarget
    scheduler: FakeScheduler
    handlers: object
    written: list[bytes] = field(factory=list)
    unread: bytes = b""
    late: bytes = b""
    ending: str | None = None
    closed: bool = False
    paused: bool = False

    def write(self, data: bytes) -> None:
        draw = self.target.random
        head = data.partition(b"\r\n\r\n")[0].lower()
        request_id = head.partition(b"x-request-id: ")[2].partition(b"\r\n")[0].decode()
        earlier = self.late + self.draw_copies()
        response, truth = self.target.draw_response(request_id)
        self.target.truths.setdefault(request_id, []).append(truth)
        if draw.random() < 0.1:
            response = response[: draw.randrange(len(response))]
            truth.whole = False
        self.written.append(response)
        later = self.draw_copies() if draw.random() < 0.3 else b""
        is_late = draw.random() < 0.5
        self.late = later if is_late else b""
        self.unread += earlier + response + (b"" if is_late else later)
        if is_late and draw.random() < 0.3:
            self.scheduler.call_after(0.5, self.write_late)
        if draw.random() < 0.2:
            self.ending = draw.choice((CLOSED, RESET))
        self.scheduler.call_after(0.01, self.deliver)

    def write_late(self) -> None:
        """Write what no request is waiting for."""
        self.unread, self.late = self.unread + self.late, b""
        self.deliver()

    def draw_copies(self) -> bytes:
        """Return copies of responses that were written on the connection, each whole or cut."""
        draw = self.target.random
        pieces = []
        for _ in range(draw.choice((0, 0, 1, 1, 2, 3)) if self.written else 0):
            piece = draw.choice(self.written)
            if draw.random() < 0.6:
                piece = piece[: draw.randrange(len(piece) + 1)]
            pieces.append(piece)
        if draw.random() < 0.1:
            pieces.insert(draw.randint(0, len(pieces)), draw.choice(INTERIM))
        return b"".join(pieces)

    def deliver(self) -> None:
        if self.closed or self.paused:
            return
        if self.unread:
            size = self.target.random.choice((1, 3, 20, 100, 1000, 1000))
            data, self.unread = self.unread[:size], self.unread[size:]
            self.handlers.received(data)
            if not self.closed:
                self.scheduler.call_after(self.target.random.choice((0.0, 0.01)), self.deliver)
        elif self.ending is not None:
            self.closed = True
            self.handlers.closed(self.ending)

    def is_idle(self) -> bool:
        return not (self.closed or self.unread or self.ending)

    def has_unsent(self) -> bool:
        return False

    def pause(self) -> None:
        self.paused = True

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.scheduler.call_after(0.0, self.deliver)

    def close(self) -> None:
        self.closed = True


@define(eq=False)
class FakeDialer:
    target: RandomTarget
    scheduler: FakeScheduler
    dials: int = 0

    def dial(self, address, seconds, handlers):
        self.dials += 1
        connection = FakeConnection(self.target, self.scheduler, handlers)
        self.scheduler.call_after(0.001, lambda: connection.closed or handlers.connected())
        return connection


@pytest.fixture
def play():
    """Return a function that plays one sequence and returns what is wrong, and its verdicts."""

    def play(seed, sequence):
        random = Random(f"{seed}/{sequence}")
        scheduler = TimeoutScheduler()
        target = RandomTarget(random)
        dialer = FakeDialer(target, scheduler)
        http = HttpClient(scheduler, dialer)
        faults, outcomes = [], []
        for _ in range(CALLS_PER_SEQUENCE):
            request_id = random.choice(REQUEST_IDS)
            streamed = random.random() < 0.3
            before = len(target.truths.get(request_id, ()))
            stated, events = [], []
            attempt = Attempt(
                Target(Registration("e0", "s", ADDRESS, "a", 8, False)),
                request_id,
                streamed,
                scheduler.now,
                events.append,
                lambda bounds, ran, stated=stated: stated.append(bounds),
            )
            exchange = Exchange("POST", "/x", "", {"host": "h"}, b"body", None, None)
            headers = {"X-Request-Id": request_id}
            attempt.start(
                http, make_call(exchange, attempt.target, headers, DEADLINE_SECONDS, request_id)
            )
            scheduler.advance(random.choice((0.05, 2.0)))
            scheduler.advance(DEADLINE_SECONDS)
            if not attempt.finished:
                attempt.cancel()
                events.append(ResponseLost("deadline"))
            truths = target.truths.get(request_id, [])[before:]
            faults += list(check(attempt, events[-1], stated, truths))
            outcomes.append(type(events[-1]))
        return faults, outcomes, dialer.dials

    return play


def check(attempt, event, stated, truths):
    """Yield what an attempt says that the target's own response does not."""
    if len(truths) > 1:
        yield "sent twice"
    run = any(truth.run for truth in truths)
    if run and (isinstance(event, NotRun) or not attempt.may_have_run):
        yield f"not run: {event}"
    if any(bounds.is_leaving for bounds in stated) and not any(t.states_leaving for t in truths):
        yield "leaving"
    if isinstance(event, CompleteResponse | StreamEnd) and not run:
        yield f"run: {event}"
    if isinstance(event, CompleteResponse) and truths[0].whole and event.body != truths[0].body:
        yield f"the body of another response: {event}"


@pytest.mark.parametrize("seed", range(2))
def test_no_bytes_of_earlier_responses_say_of_a_request_that_it_did_not_run(play, seed):
    seen, dials = [], 0
    for sequence in range(SEQUENCES_PER_SEED):
        faults, outcomes, opened = play(seed, sequence)
        assert not faults, (seed, sequence, faults)
        seen += outcomes
        dials += opened
    assert {NotRun, ResponseLost, CompleteResponse} <= set(seen)
    assert dials < len(seen)  # some requests came to a kept connection
