"""Send a request to one target and read the response; each outcome states whether it ran."""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from bronzetiller.gateway.requests import StatedBounds, proves_survival
from bronzetiller.gateway.targets import MISDIRECTED_CAUSE, Target
from bronzetiller.net.buffer_quota import Buffer, BufferQuota
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import (
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    OpenCall,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.platform.headers import (
    decode_load_report,
    decode_response_facts,
    decode_stated_bounds,
    is_matching_response,
    names_request,
)
from bronzetiller.requests.execution import Verdict, judge_response

CONNECT_SECONDS = 0.7  # ten round trips between regions; an unreachable target never responds
BODY_BYTES_MAX = 1024 * 1024  # of a response that is not streamed
REFUSAL_BYTES_MAX = 64 * 1024  # of the body of a refusal, which is discarded
EVENT_BYTES_MAX = 256 * 1024  # of an event that is not complete yet
UNLIMITED_SECONDS = 1.0  # beyond the deadline, at which the request ends the call
ABANDONED_SECONDS = 0.3  # in which a target may not have noticed that its connection was closed


@frozen
class NotRun:
    """Report that the target did not execute the request and never will."""

    cause: str
    reached: bool


@frozen
class ResponseLost:
    """Report that no complete response arrived and the request may have been executed."""

    cause: str
    disconnected: bool = False


@frozen
class CompleteResponse:
    """Carry a complete response; with by_close its end is a close, which may also be a crash."""

    head: ResponseHead
    body: bytes
    verdict: Verdict
    by_close: bool = False


@frozen
class StreamStarted:
    """Carry the head of a streamed response."""

    head: ResponseHead


@frozen
class StreamData:
    """Carry complete events of a stream."""

    data: bytes
    events: int
    last_event_id: int | None


@frozen
class StreamEnd:
    """Report the end of a streamed response; by_close as for CompleteResponse."""

    by_close: bool = False


AttemptEvent = NotRun | ResponseLost | CompleteResponse | StreamStarted | StreamData | StreamEnd
AttemptListener = Callable[[AttemptEvent], None]
EVENT_SEPARATOR = b"\n\n"


@define(eq=False)
class Attempt:
    """Send a request once; NotRun, ResponseLost, CompleteResponse or StreamEnd ends it.

    A stream that goes on with another one must have its content type, if one is given.

    record_bounds receives the bounds that the target states, and whether the request ran.
    """

    target: Target
    request_id: str
    streamed: bool
    now: Callable[[], float]
    _listener: AttemptListener
    record_bounds: Callable[[StatedBounds, bool], None] = lambda bounds, ran: None
    content_type: str | None = None
    call: OpenCall | None = None
    finished: bool = False
    _head: ResponseHead | None = None
    _verdict: Verdict | None = None
    quota: BufferQuota = field(factory=BufferQuota)
    _body: bytearray = field(factory=bytearray)
    _discarded_bytes: int = 0
    _partial_event: bytearray = field(factory=bytearray)
    _has_events: bool = False
    _paused: bool = False
    _started_at: float = 0.0
    _buffer: Buffer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._buffer = Buffer(lambda: self._fail("the responses of all requests are too large"))

    @property
    def sent(self) -> bool:
        """Return whether any byte may have been sent to the target."""
        return self.call is not None and self.call.sent

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have been sent, without a proof that it was not run."""
        return self.sent and not (self._verdict is not None and self._verdict.proves_not_run)

    @property
    def proves_survival(self) -> bool:
        """Return whether the response, once it goes on or ends, proves its request harmless."""
        if self._head is None or self._verdict is None:
            return False
        is_named = names_request(self._head, self.request_id)
        return proves_survival(self._verdict, self._head.status, names_request=is_named)

    def describe(self) -> dict[str, Any]:
        """Return what a log line says of the attempt."""
        return {
            "id": self.request_id,
            "target": self.target.target_id,
            "earlier_requests": 0 if self.call is None else self.call.earlier_requests,
            "load": self.target.estimate_load(self.now()),
            "heard_age": round(self.now() - self.target.load_reported_at, 2),
        }

    def start(self, http: HttpClient, call: HttpCall) -> None:
        """Send the request."""
        self._started_at = self.now()
        if not self.target.in_flight:
            self.target.quiet_since = self._started_at
        self.target.in_flight += 1
        self.target.sent_since_report += 1
        self.call = http.send(call, self._listen)
        if self._paused:
            self.call.pause()

    def pause(self) -> None:
        """Stop reading the response, from its start if the request is not sent yet."""
        self._paused = True
        if self.call is not None:
            self.call.pause()

    def resume(self) -> None:
        """Resume reading the response."""
        self._paused = False
        if self.call is not None:
            self.call.resume()

    def cancel(self) -> None:
        """Abandon the attempt and close its connection; no event follows."""
        if self.finished:
            return
        self._finish(self.now() + ABANDONED_SECONDS if self.sent else None)
        self._discard_received()
        if self.call is not None:
            self.call.cancel()

    def _finish(self, abandoned_until: float | None = None) -> None:
        self.finished = True
        self.quota.resize(self._buffer, 0)
        self.target.release(abandoned_until)

    def _discard_received(self) -> None:
        self._body.clear()
        self._partial_event.clear()

    def _listen(self, event: CallEvent) -> None:
        if self.finished:
            return
        if isinstance(event, BodyPart | ResponseHead):
            self.target.record_received(self._started_at, self.now())
        if isinstance(event, BodyPart):
            self._handle_body(event.data)
        elif isinstance(event, ResponseHead):
            self._handle_head(event)
        elif isinstance(event, ResponseEnd):
            self._handle_end(event)
        else:
            self._handle_failure(event)

    def _handle_head(self, head: ResponseHead) -> None:
        is_first = self.call is None or self.call.earlier_requests == 0
        facts = decode_response_facts(head, self.request_id, is_first=is_first)
        verdict = judge_response(facts)
        if verdict is Verdict.UNRELATED:
            self._fail("a response that does not name the request or lacks its seal")
            return
        self._head, self._verdict = head, verdict
        load = decode_load_report(head)
        if load is not None:
            self.target.record_load(load, self.now())
            self.target.pace.record(load.slowdown, self.now())
        if verdict is not Verdict.MISDIRECTED:
            self.record_bounds(
                decode_stated_bounds(head, self.request_id), not verdict.proves_not_run
            )
        if self._is_stream:
            self._listener(StreamStarted(head))

    @property
    def _is_stream(self) -> bool:
        return (
            self.streamed
            and self._verdict is Verdict.ANSWERED
            and self._head is not None
            and self._head.status == 200
            and self.content_type in (None, self._head.headers.get("content-type", ""))
        )

    def _handle_body(self, data: bytes) -> None:
        if not self.may_have_run:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > REFUSAL_BYTES_MAX:
                self._fail("the body of a refusal is too large")
        elif not self._is_stream:
            self._body += data
            if len(self._body) > BODY_BYTES_MAX:
                self._fail("the response is too large")
            else:
                self.quota.resize(self._buffer, len(self._body))
        else:
            self._handle_events(data)

    def _handle_events(self, data: bytes) -> None:
        buffer = self._partial_event
        searched = max(0, len(buffer) - len(EVENT_SEPARATOR) + 1)
        buffer += data
        found = buffer.rfind(EVENT_SEPARATOR, searched)
        if found < 0:
            if len(buffer) > EVENT_BYTES_MAX:
                self._fail("an event of the stream is too large")
            else:
                self.quota.resize(self._buffer, len(buffer))
            return
        end = found + len(EVENT_SEPARATOR)
        complete_events = bytes(buffer[:end])
        del buffer[:end]
        self.quota.resize(self._buffer, len(buffer))
        if self.finished:
            return
        self._has_events = True
        self._listener(
            StreamData(
                complete_events,
                complete_events.count(EVENT_SEPARATOR),
                _find_last_event_id(complete_events),
            )
        )

    def _handle_end(self, end: ResponseEnd) -> None:
        head = self._head
        assert head is not None
        self._finish()
        if self._is_stream:
            self._listener(self._make_stream_end(end))
            return
        if self._verdict is Verdict.NOT_RUN:
            self._listener(NotRun(f"status {head.status}", reached=True))
        elif self._verdict is Verdict.MISDIRECTED:
            self._listener(NotRun(MISDIRECTED_CAUSE, reached=True))
        else:
            assert self._verdict is not None
            self._listener(CompleteResponse(head, bytes(self._body), self._verdict, end.by_close))

    def _make_stream_end(self, end: ResponseEnd) -> StreamEnd | ResponseLost:
        if self._partial_event.strip():
            return ResponseLost("the stream ended inside an event", end.by_close)
        if end.by_close and not self._has_events:
            return ResponseLost("the stream was closed before its first event", end.by_close)
        return StreamEnd(end.by_close)

    def _handle_failure(self, failure: CallFailed) -> None:
        self._finish()
        self._discard_received()
        if not failure.sent:
            self._listener(NotRun(failure.cause, reached=False))
        elif not self.may_have_run:
            self._listener(NotRun(failure.cause, reached=True))
        else:
            self._listener(ResponseLost(failure.cause, failure.disconnected))

    def _fail(self, cause: str) -> None:
        self.cancel()
        may_have_run = self.may_have_run
        self._listener(ResponseLost(cause) if may_have_run else NotRun(cause, reached=True))


def make_call(
    exchange: Exchange,
    target: Target,
    headers: dict[str, str],
    seconds_left: float,
    request_id: str,
) -> HttpCall:
    """Make the call that sends a caller's request to a target; its silence is limited elsewhere."""
    return HttpCall(
        address=target.registration.address,
        method=exchange.method,
        path=f"{exchange.path}?{exchange.query}" if exchange.query else exchange.path,
        headers=headers,
        body=exchange.body,
        silence_seconds=seconds_left + UNLIMITED_SECONDS,
        connect_seconds=CONNECT_SECONDS,
        host=exchange.headers.get("host"),
        # Responses to a request without an id do not differ from copies of others.
        may_send=None if request_id else lambda: True,
        is_matching=lambda head: is_matching_response(head, request_id),
        request_id=request_id,
    )


def _find_last_event_id(events: bytes) -> int | None:
    """Return the numeric id of the last event that has an id."""
    start = events.rfind(b"\nid:") + 1
    if start == 0 and not events.startswith(b"id:"):
        return None
    event_id = events[start + 3 : events.find(b"\n", start)].strip()
    return int(event_id) if event_id.isdigit() else None
