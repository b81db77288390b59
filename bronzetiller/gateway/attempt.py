"""Send a request to one target and read its answer; whether it ran is part of every outcome."""

from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.gateway.requests import ResponseClass
from bronzetiller.gateway.targets import MISDIRECTED_CAUSE, Target
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
from bronzetiller.platform.headers import answers_request, classify_response, read_load

CONNECT_SECONDS = 0.7  # ten round trips between regions; a target that is away does not answer
BUFFERED_BYTES_MAX = 1024 * 1024  # of an answer that is held until it is whole


@frozen
class NotRun:
    """Say that the target did not run the request and never will."""

    cause: str
    reached: bool


@frozen
class ResponseLost:
    """Say that no whole answer came and the request may have run."""

    cause: str


@frozen
class CompleteResponse:
    """Carry an answer that arrived whole."""

    head: ResponseHead
    body: bytes
    failed: bool


@frozen
class StreamStarted:
    """Carry the head of a streamed answer."""

    head: ResponseHead


@frozen
class StreamData:
    """Carry whole events of a stream, and its last bytes."""

    data: bytes
    events: int
    last_event_id: int | None


@frozen
class StreamEnd:
    """Say that a stream arrived whole."""


AttemptEvent = NotRun | ResponseLost | CompleteResponse | StreamStarted | StreamData | StreamEnd
AttemptListener = Callable[[AttemptEvent], None]
EVENT_END = b"\n\n"


@define(eq=False)
class Attempt:
    """Follow one send of a request until its NotRun, Lost, WholeAnswer or StreamEnd."""

    target: Target
    request_id: str
    streamed: bool
    now: Callable[[], float]
    _listener: AttemptListener
    call: OpenCall | None = None
    over: bool = False
    _head: ResponseHead | None = None
    _verdict: ResponseClass | None = None
    _parts: list[bytes] = field(factory=list)
    _size: int = 0
    _rest: bytes = b""

    @property
    def sent(self) -> bool:
        """Say whether any byte may have gone to the target."""
        return self.call is not None and self.call.sent

    def start(self, http: HttpClient, call: HttpCall) -> None:
        """Send the request."""
        self.target.in_flight += 1
        self.target.sent_since_report += 1
        self.call = http.send(call, self._listen)

    def cancel(self) -> None:
        """Drop the attempt and its connection; no event follows."""
        if self._finish() and self.call is not None:
            self.call.cancel()

    def owns(self, head: ResponseHead) -> bool:
        """Say whether a response on the connection is this attempt's."""
        return answers_request(head, self.request_id)

    def _finish(self) -> bool:
        if self.over:
            return False
        self.over = True
        self.target.in_flight -= 1
        return True

    def _listen(self, event: CallEvent) -> None:
        if self.over:
            return
        if isinstance(event, BodyPart):
            self._take_body(event.data)
        elif isinstance(event, ResponseHead):
            self._take_head(event)
        elif isinstance(event, ResponseEnd):
            self._take_end()
        else:
            self._take_failure(event)

    def _take_head(self, head: ResponseHead) -> None:
        self._head = head
        self._verdict = classify_response(head)
        load = read_load(head)
        if load is not None:
            self.target.record_load(load, self.now())
        if self._is_stream:
            self._listener(StreamStarted(head))

    @property
    def _is_stream(self) -> bool:
        return (
            self.streamed
            and self._verdict is ResponseClass.ANSWERED
            and self._head is not None
            and self._head.status == 200
        )

    def _take_body(self, data: bytes) -> None:
        if not self._is_stream:
            self._size += len(data)
            if self._size > BUFFERED_BYTES_MAX:
                self._give_up("the answer is too large")
            else:
                self._parts.append(data)
            return
        data = self._rest + data
        cut = data.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            self._rest = data
            return
        whole, self._rest = data[:cut], data[cut:]
        self._listener(StreamData(whole, whole.count(EVENT_END), _find_last_id(whole)))

    def _take_end(self) -> None:
        head = self._head
        assert head is not None
        if self._is_stream:
            if self._rest:
                self._listener(StreamData(self._rest, 0, None))
                if self.over:
                    return
            self._finish()
            self._listener(StreamEnd())
            return
        self._finish()
        if self._verdict is ResponseClass.NOT_RUN:
            self._listener(NotRun(f"status {head.status}", reached=True))
        elif self._verdict is ResponseClass.MISDIRECTED:
            self._listener(NotRun(MISDIRECTED_CAUSE, reached=True))
        else:
            failed = self._verdict is ResponseClass.FAILED
            self._listener(CompleteResponse(head, b"".join(self._parts), failed))

    def _take_failure(self, failure: CallFailed) -> None:
        self._finish()
        if not failure.sent:
            self._listener(NotRun(failure.cause, reached=False))
        elif self._verdict in (ResponseClass.NOT_RUN, ResponseClass.MISDIRECTED):
            self._listener(NotRun(failure.cause, reached=True))
        else:
            self._listener(ResponseLost(failure.cause))

    def _give_up(self, cause: str) -> None:
        self.cancel()
        self._listener(ResponseLost(cause))


def _find_last_id(events: bytes) -> int | None:
    """Return the id of the last event that has one."""
    at = events.rfind(b"\nid:") + 1
    if at == 0 and not events.startswith(b"id:"):
        return None
    text = events[at + 3 : events.find(b"\n", at)].strip()
    return int(text) if text.isdigit() else None
