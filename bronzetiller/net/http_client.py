"""Send HTTP requests over pooled connections, with h11 as the parser."""

from collections import deque
from collections.abc import Callable
from enum import Enum

import h11
from attrs import define, evolve, field, frozen

from bronzetiller.net.dialer import CLOSED, Address, Connection, ConnectionHandlers, Dialer
from bronzetiller.net.discarded_responses import report_discarded
from bronzetiller.net.idle_connections import (
    IDLE_SECONDS_MAX,
    CarriedIds,
    IdleConnections,
    parse_keep_alive_seconds,
)
from bronzetiller.net.request_encoding import encode_request
from bronzetiller.net.response_ends import ends_by_close, may_be_cut
from bronzetiller.net.response_heads import check_head, merge_headers
from bronzetiller.net.scheduler import Scheduler, Timeout

MISMATCHED_RESPONSES_MAX = 3  # responses to other requests before a connection is closed
MISMATCHED_BYTES_MAX = 1024 * 1024  # of the bodies of such responses
INFORMATIONAL_RESPONSES_MAX = 8  # before a connection is closed
PARTS_PER_TURN_MAX = 16  # parsed for one connection before others have their turn
CONNECTIONS_PER_TURN_MAX = 8  # whose parsing goes on in one turn of the loop
DEFERRED_PARTS_MAX = 4096  # of a response whose parts are small
SMALL_PART_BYTES = 8
REFUSED_CAUSES = ("connect: refused", "connect: errno 111")
SILENCE = "silence"
TOO_LATE = "too late to send"
TOO_LARGE = "the body is too large"
TOO_LONG = "the response took too long"
TOO_MANY_PARTS = "the body has too many small parts"
# A process that is ending may still accept a connection, and resets it right after.
PROBE_OPEN_SECONDS = 0.05


class ProbeResult(Enum):
    """Describe what a connection attempt showed: a server, none, or nothing certain."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


@frozen
class ResponseHead:
    """Hold the status and the lower-case headers of a response."""

    status: int
    headers: dict[str, str]


@frozen
class BodyPart:
    """Hold the bytes of the body that one read returned."""

    data: bytes


@frozen
class ResponseEnd:
    """Mark the end of a response that is complete by its own framing.

    One without a length ends when its server closes the connection, which by_close tells.
    """

    by_close: bool = False


@frozen
class CallFailed:
    """Describe why no complete response arrived and whether the request may have been sent.

    disconnected tells that the connection was closed or reset after the request may have been sent.
    """

    cause: str
    sent: bool
    disconnected: bool = False


CallEvent = ResponseHead | BodyPart | ResponseEnd | CallFailed
CallListener = Callable[[CallEvent], None]
ResponseMatcher = Callable[[ResponseHead], bool]


@frozen
class HttpCall:
    """Describe one outgoing request.

    silence_seconds limits the wait between two reads, and the wait for the first one unless
    first_byte_seconds is given. A call with may_send uses a new connection and calls may_send
    right before it sends the first byte. A response that is_matching rejects belongs to an earlier
    request on the connection; it is discarded and the next one awaited.

    A caller that collects the body sets body_bytes_max and seconds_max, which limit the body and
    the time from the first byte sent to the end of the response, as a server may send forever.

    request_id is the id by which responses name the request; no connection carries it twice.
    """

    address: Address
    method: str
    path: str
    headers: dict[str, str]
    body: bytes | bytearray
    silence_seconds: float
    connect_seconds: float = 2.0
    first_byte_seconds: float | None = None
    may_send: Callable[[], bool] | None = None
    host: str | None = None
    is_matching: ResponseMatcher | None = None
    body_bytes_max: int | None = None
    seconds_max: float | None = None
    request_id: str | None = None


@define(eq=False)
class OpenCall:
    """Hold a call that waits for its ResponseEnd or CallFailed.

    earlier_requests counts the requests that its connection carried before.
    """

    call: HttpCall
    listener: CallListener
    sent: bool = False
    earlier_requests: int = 0
    done: bool = False
    reuse_prevented: bool = False
    _pooled_connection: "_PooledConnection | None" = None

    def cancel(self) -> None:
        """Cancel the call and close its connection; no event follows."""
        if not self.done:
            self.end()
            if self._pooled_connection is not None:
                self._pooled_connection.close()

    def end(self) -> None:
        """Mark the call as done, and release the body of its request."""
        self.done = True
        if self.call.body:
            self.call = evolve(self.call, body=b"")

    def prevent_reuse(self) -> None:
        """Close the connection after this call instead of reusing it."""
        self.reuse_prevented = True

    def pause(self) -> None:
        """Stop reading the response and suspend its silence timeout."""
        if not self.done and self._pooled_connection is not None:
            self._pooled_connection.pause()

    def resume(self) -> None:
        """Resume reading the response."""
        if not self.done and self._pooled_connection is not None:
            self._pooled_connection.resume()


@define(eq=False)
class _PooledConnection:
    """Send one call after another over one connection."""

    client: "HttpClient"
    address: Address
    open_call: OpenCall | None
    carried_ids: CarriedIds = field(factory=CarriedIds)
    parser: h11.Connection = field(factory=lambda: h11.Connection(h11.CLIENT))
    connection: Connection | None = None
    silence_timeout: Timeout = field(init=False)
    paused: bool = False
    idle_until: float = 0.0
    keep_alive_seconds: float = IDLE_SECONDS_MAX
    mismatched_responses: int = 0
    mismatched_bytes: int = 0
    mismatched: bool = False
    unframed: bool = False
    informational_responses: int = 0
    body_bytes: int = 0
    sent_requests: int = 0
    closed: bool = False
    deferred: bool = False
    deferred_parts: int = 0
    close_cause: str | None = None
    end_timeout: Timeout = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.silence_timeout = self.client.scheduler.create_timeout(self.expire)
        self.end_timeout = self.client.scheduler.create_timeout(lambda: self.fail(TOO_LONG))

    def dial(self, dialer: Dialer) -> None:
        assert self.open_call is not None
        handlers = ConnectionHandlers(
            self.transmit, self.receive, self.handle_close, self.awaits_reset
        )
        self.connection = dialer.dial(self.address, self.open_call.call.connect_seconds, handlers)

    def awaits_reset(self) -> bool:
        if self.open_call is None or not self.unframed:
            return False
        return may_be_cut(self.open_call.call.body, self.parser)

    def transmit(self) -> None:
        assert self.open_call is not None and self.connection is not None
        call = self.open_call.call
        if call.may_send is not None and not call.may_send():
            self.fail(TOO_LATE)
            return
        self.open_call.sent = True
        self.open_call.earlier_requests = self.sent_requests
        self.sent_requests += 1
        self.carried_ids.add(call.request_id)
        for part in encode_request(self.parser, call):
            self.connection.write(part)
        if not self.paused:
            self.silence_timeout.expire_after(call.first_byte_seconds or call.silence_seconds)
        self.body_bytes = self.mismatched_bytes = self.informational_responses = 0
        self.deferred_parts = 0
        if call.seconds_max is not None:
            self.end_timeout.expire_after(call.seconds_max)

    def pause(self) -> None:
        self.paused = True
        self.silence_timeout.clear()
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        if not self.paused or self.open_call is None or self.connection is None:
            return
        self.paused = False
        self.silence_timeout.expire_after(self.open_call.call.silence_seconds)
        if not self.deferred:
            self.connection.resume()

    def receive(self, data: bytes) -> None:
        if self.open_call is None:
            self.close()
            return
        if not self.paused:
            self.silence_timeout.expire_after(self.open_call.call.silence_seconds)
        try:
            self.parse(data, self.open_call)
        except h11.RemoteProtocolError as error:
            self.fail(f"protocol: {error}")

    def parse(self, data: bytes, open_call: OpenCall) -> None:
        self.parser.receive_data(data)
        self.deliver_events(open_call)

    def defer(self) -> None:
        """Let other connections have their turn before the parsing of this one goes on."""
        self.deferred_parts += PARTS_PER_TURN_MAX
        received_bytes = self.body_bytes + self.mismatched_bytes
        has_small_parts = received_bytes < SMALL_PART_BYTES * self.deferred_parts
        if self.deferred_parts > DEFERRED_PARTS_MAX and has_small_parts:
            self.fail(TOO_MANY_PARTS)
            return
        self.deferred = True
        if self.connection is not None:
            self.connection.pause()
        self.client.defer(self)

    def continue_parsing(self) -> None:
        self.deferred = False
        if self.open_call is not None:
            try:
                self.deliver_events(self.open_call)
            except h11.RemoteProtocolError as error:
                self.fail(f"protocol: {error}")
        if not self.deferred and self.close_cause is not None:
            self.handle_close(self.close_cause)
        elif not self.deferred and self.connection is not None and not self.paused:
            self.connection.resume()

    def handle_close(self, cause: str) -> None:
        self.connection, self.close_cause = None, cause
        if self.deferred:
            return
        self.closed = True
        self.client.idle.record_close(self, self.client.scheduler.now())
        if cause == CLOSED and self.open_call is not None and self.open_call.sent:
            try:  # a response without a length ends with a close, but not with a reset
                self.parse(b"", self.open_call)
            except h11.RemoteProtocolError as error:
                cause = f"{cause}: {error}"
        if self.deferred:
            return
        self.fail(cause, disconnected=True)

    def deliver_events(self, open_call: OpenCall) -> None:
        parts: list[bytes] = []
        for _ in range(PARTS_PER_TURN_MAX):
            if open_call.done:
                return
            event = self.parser.next_event()
            if isinstance(event, h11.Data):
                if not self.count_body(open_call.call, len(event.data)):
                    self.fail(TOO_LARGE)
                    return
                if not self.mismatched:
                    parts.append(bytes(event.data))
                continue
            if parts:
                open_call.listener(BodyPart(b"".join(parts)))
                parts = []
                if open_call.done:
                    return
            if isinstance(event, h11.Response):
                check_head(event)
                head = ResponseHead(event.status_code, merge_headers(event.headers))
                self.keep_alive_seconds = parse_keep_alive_seconds(head.headers)
                self.unframed = ends_by_close(head.headers)
                is_matching = open_call.call.is_matching
                self.mismatched = is_matching is not None and not is_matching(head)
                if self.mismatched:
                    report_discarded(self.address, head.status, self.sent_requests - 1)
                else:
                    open_call.listener(head)
            elif isinstance(event, h11.EndOfMessage) and self.mismatched:
                if not self.await_next_response(open_call.call):
                    self.fail("the connection carries responses to other requests")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self.release()
                open_call.end()
                open_call.listener(ResponseEnd(by_close=self.closed))
            elif isinstance(event, h11.InformationalResponse):
                self.informational_responses += 1
                if self.informational_responses > INFORMATIONAL_RESPONSES_MAX:
                    self.fail("too many informational responses")
                    return
            else:
                return
        if parts:
            open_call.listener(BodyPart(b"".join(parts)))
        if not open_call.done:
            self.defer()

    def count_body(self, call: HttpCall, size: int) -> bool:
        """Count bytes of a body; return whether it stays within its limit."""
        if self.mismatched:
            self.mismatched_bytes += size
            return self.mismatched_bytes <= MISMATCHED_BYTES_MAX
        self.body_bytes += size
        return call.body_bytes_max is None or self.body_bytes <= call.body_bytes_max

    def await_next_response(self, call: HttpCall) -> bool:
        """Parse what follows a mismatched response as the response to the request already sent."""
        self.mismatched_responses += 1
        self.open_call.reuse_prevented = True  # type: ignore[union-attr]
        if (
            self.mismatched_responses > MISMATCHED_RESPONSES_MAX
            or self.parser.their_state is not h11.DONE
        ):
            return False
        rest = self.parser.trailing_data[0]
        self.parser = h11.Connection(h11.CLIENT)
        encode_request(self.parser, call)
        self.mismatched = False
        if rest:
            self.parser.receive_data(rest)
        return True

    def release(self) -> None:
        must_close = self.open_call is None or self.open_call.reuse_prevented or self.paused
        self.open_call = None
        self.silence_timeout.clear()
        self.end_timeout.clear()
        states = {self.parser.our_state, self.parser.their_state}
        must_close = must_close or states != {h11.DONE} or bool(self.parser.trailing_data[0])
        if must_close or self.connection is None or self.connection.has_unsent():
            self.close()
            return
        self.parser.start_next_cycle()
        self.idle_until = self.client.scheduler.now() + self.keep_alive_seconds
        self.client.idle.add(self)

    def is_quiet(self) -> bool:
        return self.connection is not None and self.connection.is_idle()

    def fail(self, cause: str, *, disconnected: bool = False) -> None:
        open_call = self.open_call
        self.close()
        if open_call is not None and not open_call.done:
            open_call.end()
            open_call.listener(CallFailed(cause, open_call.sent, disconnected and open_call.sent))

    def close(self) -> None:
        self.open_call = None
        self.silence_timeout.cancel()
        self.end_timeout.cancel()
        self.client.idle.remove(self)
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def expire(self) -> None:
        self.fail(SILENCE)
        self.client.close_idle(self.address)


class HttpClient:
    """Send calls and pool idle connections by address; one with possible unread bytes is closed."""

    def __init__(
        self, scheduler: Scheduler, dialer: Dialer, idle_connections_max: int | None = None
    ) -> None:
        self.scheduler = scheduler
        self._dialer = dialer
        self.idle: IdleConnections[_PooledConnection] = IdleConnections(idle_connections_max)
        self._deferred: deque[_PooledConnection] = deque()
        self._parsing_scheduled = False

    def defer(self, pooled: _PooledConnection) -> None:
        """Continue to parse what a connection received in a later turn of the loop."""
        self._deferred.append(pooled)
        if not self._parsing_scheduled:
            self._parsing_scheduled = True
            self.scheduler.call_after(0, self._parse_deferred)

    def _parse_deferred(self) -> None:
        try:
            for _ in range(min(len(self._deferred), CONNECTIONS_PER_TURN_MAX)):
                self._deferred.popleft().continue_parsing()
        finally:
            self._parsing_scheduled = bool(self._deferred)
            if self._deferred:
                self.scheduler.call_after(0, self._parse_deferred)

    def send(self, call: HttpCall, listener: CallListener) -> OpenCall:
        """Start a call; its events are passed to the listener in order."""
        open_call = OpenCall(call, listener)
        pooled = None
        if call.may_send is None:
            pooled = self.idle.take(call.address, call.request_id, self.scheduler.now())
        if pooled is not None:
            pooled.open_call = open_call
            open_call._pooled_connection = pooled
            pooled.transmit()
            return open_call
        pooled = _PooledConnection(self, call.address, open_call)
        open_call._pooled_connection = pooled
        pooled.dial(self._dialer)
        return open_call

    def probe(
        self, address: Address, seconds: float, on_result: Callable[[ProbeResult], None]
    ) -> None:
        """Connect once, within the given seconds, and report whether the connection stays open."""
        finished = False

        def finish(result: ProbeResult) -> None:
            nonlocal finished
            if not finished:
                finished = True
                connection.close()
                on_result(result)

        def handle_close(cause: str) -> None:
            refused = cause in REFUSED_CAUSES
            finish(ProbeResult.REFUSED if refused else ProbeResult.UNCERTAIN)

        def handle_connect() -> None:
            self.scheduler.call_after(PROBE_OPEN_SECONDS, lambda: finish(ProbeResult.ACCEPTED))

        handlers = ConnectionHandlers(handle_connect, lambda data: None, handle_close)
        connection = self._dialer.dial(address, seconds, handlers)

    def has_idle(self, address: Address) -> bool:
        """Return whether there is an idle connection to an address."""
        return self.idle.has(address)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address, since another one to it has timed out."""
        self.idle.close_all(address)
