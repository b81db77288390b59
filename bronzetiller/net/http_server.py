"""Serve HTTP with the responses of circuits.web and the request parser of h11.

The parser of circuits.web loses a head that arrives byte by byte, drops pipelined requests and
has no limits.
"""

import re
from collections.abc import Callable
from http.cookies import SimpleCookie
from socket import socket
from typing import Any
from weakref import finalize

import h11
from attrs import frozen
from circuits import BaseComponent, handler
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response
from result import Err, Ok

from bronzetiller.logs import log_event
from bronzetiller.net.buffer_quota import Buffer, Kind
from bronzetiller.net.caller_connection import Body, CallerConnection, CallerSockets
from bronzetiller.net.caller_limits import CallerLimits, MachineLimits, make_caller_limits
from bronzetiller.net.dropped_requests import TOO_MANY_BYTES, find_group, make_request_buffer
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop
from bronzetiller.net.request_target import parse_request_target
from bronzetiller.net.scheduler import Scheduler

LINGER_SECONDS = 2.0
HALF_CLOSE_PROBE_SECONDS = 1.0
ACCEPT_RETRY_SECONDS = 0.2
PIPELINED_BYTES_MAX = 64 * 1024
OVERSHOOT_BYTES_MAX = 1024 * 1024
HEAD_COPIES = 2  # the headers as bytes and as text
PARTS_PER_TURN_MAX = 16  # parsed for one connection before others have their turn
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HOST = re.compile(rb"([\w.~!$&'()*+,;=%-]*|\[[0-9A-Fa-f:.]+\])(:[0-9]*)?")


@frozen
class HttpLimits:
    """Limit the connections, their requests and the memory that each may use.

    With half_close_ends, a caller that has finished sending is treated as disconnected.
    request_seconds limits the receipt of the head and the body together, or of the head alone if
    body_seconds limits that of the body.
    """

    body_bytes_max: int
    head_bytes_max: int = 32 * 1024
    request_seconds: float = 30.0
    idle_seconds: float = 120.0
    stall_seconds: float = 30.0
    exchange_seconds: float = 300.0
    unsent_bytes_max: int = 256 * 1024
    connections_max: int = 10_000
    half_close_ends: bool = False
    body_seconds: float | None = None


Application = Callable[[Exchange], None]
RejectionFactory = Callable[[int, str], tuple[dict[str, str], bytes]]


class _MinimalRequest(Request):
    """Hold only the attributes of a request that a response of circuits.web reads.

    The full class is slow: it looks up its socket's names, parses its URL twice and loads cookies.
    """

    cookie = SimpleCookie()  # no cookie is ever set, so that all requests share one empty jar

    def __init__(self, sock: socket, method: str, protocol: tuple[int, int], server: Any) -> None:
        self.sock = sock
        self.method = method
        self.protocol = protocol
        self.server = server


class HttpServer(BaseServer):
    """Listen on one address and pass each complete request to the application."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        application: Application,
        make_rejection: RejectionFactory,
        *,
        limits: HttpLimits,
        channel: str,
        caller_limits: CallerLimits | None = None,
    ) -> None:
        BaseComponent.__init__(self, channel=channel)
        self._display_banner = False
        self.server = CallerSockets(host, port, channel, self)
        self.server.register(self)
        self._scheduler: Scheduler = loop.scheduler
        self._application = application
        self._make_rejection = make_rejection
        self._limits = limits
        self._connections: dict[socket, CallerConnection] = {}
        shared = caller_limits or make_caller_limits(MachineLimits(), 0, loop.scheduler.now)
        self._quota, self._shared = shared.quota, shared.connections
        self._is_peer = shared.is_peer

    @property
    def open_exchanges(self) -> int:
        """Return the number of requests whose response is not yet fully passed to the kernel."""
        return sum(1 for connection in self._connections.values() if self._is_open(connection))

    @property
    def open_connections(self) -> int:
        """Return the number of callers' connections."""
        return len(self._connections)

    @handler("ready", override=True)
    def _on_ready(self, server: Any, bind: Any) -> None:
        """Suppress the banner of circuits.web."""

    @handler("connect", override=True)
    def _on_connect(self, *args: Any) -> None:
        """Ignore the event, since handle_connection is called directly."""

    def set_limits(self, limits: HttpLimits) -> None:
        """Replace the limits; deadlines that are already set stay."""
        self._limits = limits

    def handle_connection(self, sock: socket) -> None:
        """Wait for the first request of a connection, or refuse it if there are too many."""
        connection = CallerConnection(
            sock,
            self._make_parser(),
            self._scheduler.create_timeout(lambda: self._expire(connection)),
            self._scheduler.create_timeout(lambda: self._close_stalled(connection)),
            self._scheduler.create_timeout(lambda: self._expire_exchange(connection)),
        )
        group = connection.group = find_group(connection, self._is_peer)
        connection.unsent = Buffer(lambda: self._cut_slow_caller(connection), group=group)
        connection.received = Buffer(
            lambda: self._drop_received(connection), kind=Kind.REQUEST, group=group
        )
        self._connections[sock] = connection
        self._shared.count += 1
        self._shared.mark_idle(connection, lambda: self.close_now(sock))
        connection.phase_timeout.expire_after(self._limits.idle_seconds)
        if len(self._connections) > self._limits.connections_max:
            self._refuse(connection, 503, "too many connections")

    def handle_data(self, sock: socket, data: bytes) -> None:
        """Parse received bytes; stop reading if too much is pipelined behind an open request."""
        connection = self._connections[sock]
        if connection.discarding:
            return
        connection.unparsed.append(data)
        connection.unparsed_bytes += len(data)
        self._process_unparsed(connection)
        self._count_received(connection)
        if connection.exchange is not None and connection.unparsed_bytes > PIPELINED_BYTES_MAX:
            self.server.pause(sock)

    def handle_eof(self, sock: socket) -> None:
        """Continue to serve a caller that has finished sending, since it may still read."""
        connection = self._connections[sock]
        connection.half_closed = True
        self.server.pause(sock)
        if connection.exchange is not None and self._limits.half_close_ends:
            self.server.drop(sock)
            self.handle_close(sock)
        elif connection.exchange is not None:
            self._probe_half_closed(connection)
        elif connection.receiving and not connection.closing:
            self._refuse(connection, 400, "the caller stopped sending in the middle of the request")
        elif not connection.closing:
            self.close_now(sock)

    def handle_close(self, sock: socket) -> None:
        """Remove a connection and notify the application if a request is open on it."""
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        connection.phase_timeout.cancel()
        connection.stall_timeout.cancel()
        connection.exchange_timeout.cancel()
        self._shared.count -= 1
        self._shared.mark_busy(connection)
        connection.discard_received()
        connection.parser = self._make_parser()
        self._quota.resize(connection.unsent, 0)
        self._quota.resize(connection.received, 0)
        exchange = connection.exchange
        connection.exchange = None
        if exchange is not None and not exchange.done:
            exchange.done = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def handle_write_progress(self, sock: socket) -> None:
        """Restart the stall timeout; resume the response once its caller has read enough."""
        connection = self._connections.get(sock)
        if connection is None:
            return
        unsent = self._count_unsent_bytes(connection)
        if unsent:
            connection.stall_timeout.expire_after(self._limits.stall_seconds)
        else:
            connection.stall_timeout.clear()
        if connection.congested and unsent <= self._limits.unsent_bytes_max // 4:
            connection.congested = False
            self._report_flow(connection, flowing=True)

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted."""
        return self._shared.has_room()

    def make_room(self) -> bool:
        """Close an idle connection for a new one; return whether there was one."""
        return self._shared.make_room()

    def handle_descriptor_shortage(self) -> None:
        """Pause accepting for ACCEPT_RETRY_SECONDS when the process is out of descriptors."""
        self._scheduler.call_after(ACCEPT_RETRY_SECONDS, self.server.resume_accepting)

    def close_now(self, sock: socket) -> None:
        """Close a connection immediately, discarding unsent bytes."""
        self.server.drop(sock)
        self.handle_close(sock)

    def answer_open_requests(self) -> None:
        """Answer all requests now, as the process is about to end; responses that began go on."""
        for connection in list(self._connections.values()):
            exchange = connection.exchange
            if exchange is not None and not exchange.started:
                exchange.close_after_response()
                self._expire_exchange(connection)
            elif exchange is None and connection.receiving and not connection.closing:
                self._refuse(connection, 503, "the node is stopping")

    def set_reset_on_close(self, sock: socket, *, enabled: bool) -> None:
        """Reset a connection however it is closed, so that its response is not complete."""
        self.server.set_reset_on_close(sock, enabled=enabled)

    def send_part(self, res: Response, data: bytes) -> None:
        """Send a part of a response; close the connection if too many bytes are unsent."""
        sock = res.request.sock
        connection = self._connections.get(sock)
        if connection is None:
            return
        self.server.write(sock, data)
        unsent = self._count_unsent_bytes(connection)
        if not unsent or sock not in self._connections:
            return
        if connection.stall_timeout.deadline is None:
            connection.stall_timeout.expire_after(self._limits.stall_seconds)
        if unsent > self._limits.unsent_bytes_max + OVERSHOOT_BYTES_MAX:
            self._cut_slow_caller(connection)
        elif unsent > self._limits.unsent_bytes_max and not connection.congested:
            connection.congested = True
            self._report_flow(connection, flowing=False)

    def send_last(self, res: Response, data: bytes) -> None:
        """Send the last bytes of a response and prepare its connection for the next request."""
        sock = res.request.sock
        connection = self._connections.get(sock)
        if connection is None:
            return
        self.server.write(sock, data)
        unsent = self._count_unsent_bytes(connection)
        if sock not in self._connections:
            return
        if unsent and connection.stall_timeout.deadline is None:
            connection.stall_timeout.expire_after(self._limits.stall_seconds)
        if connection.exchange is not None:
            connection.exchange.body = b""
        connection.exchange = None
        connection.exchange_timeout.clear()
        connection.congested = False
        if res.close or connection.half_closed:
            self._close(connection)
            return
        trailing = connection.parser.trailing_data[0]
        if trailing:
            connection.unparsed.insert(0, trailing)
            connection.unparsed_bytes += len(trailing)
        connection.parser = self._make_parser()
        connection.fed_bytes = 0
        connection.request = None
        connection.receiving = False
        self._shared.mark_idle(connection, lambda: self.close_now(sock))
        connection.phase_timeout.expire_after(self._limits.idle_seconds)
        self.server.resume(sock)
        self._process_unparsed(connection)
        self._count_received(connection)

    def _count_received(self, connection: CallerConnection) -> None:
        if connection.sock in self._connections and not connection.closing:
            self._quota.resize(connection.received, connection.count_received_bytes())

    def _drop_received(self, connection: CallerConnection) -> None:
        """Refuse a request that is not complete; of an open one, discard those that follow."""
        exchange = connection.exchange
        if exchange is None:
            self._refuse(connection, 503, TOO_MANY_BYTES)
            return
        connection.discarding = True
        connection.discard_received()
        exchange.close_after_response()
        self.server.pause(connection.sock)

    def _count_unsent_bytes(self, connection: CallerConnection) -> int:
        """Return the unsent bytes of a connection; those with most may be cut to free memory."""
        unsent = self.server.count_unsent_bytes(connection.sock)
        self._quota.resize(connection.unsent, unsent)
        return unsent

    def _cut_slow_caller(self, connection: CallerConnection) -> None:
        unsent = self.server.count_unsent_bytes(connection.sock)
        log_event("slow_caller_cut", level=30, unsent_bytes=unsent)
        self.close_now(connection.sock)

    def _is_open(self, connection: CallerConnection) -> bool:
        return (
            connection.exchange is not None or self.server.count_unsent_bytes(connection.sock) > 0
        )

    def _make_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes_max)

    def _report_flow(self, connection: CallerConnection, *, flowing: bool) -> None:
        exchange = connection.exchange
        if exchange is not None and exchange.on_flow_change is not None:
            exchange.on_flow_change(flowing)

    def _process_unparsed(self, connection: CallerConnection) -> None:
        """Parse received bytes, one request after another.

        This is a loop, not a recursion, since the application may respond before it returns.
        """
        if connection.parsing:
            return
        connection.parsing = True
        try:
            while connection.unparsed and not (
                connection.exchange or connection.closing or connection.deferred
            ):
                data = b"".join(connection.unparsed)
                connection.unparsed = []
                connection.unparsed_bytes = 0
                self._parse(connection, data)
        finally:
            connection.parsing = False

    def _parse(self, connection: CallerConnection, data: bytes) -> None:
        if not connection.receiving:
            connection.receiving = True
            self._shared.mark_sending(connection, connection.group)
            connection.phase_timeout.expire_after(self._limits.request_seconds)
        connection.fed_bytes += len(data)
        try:
            connection.parser.receive_data(data)
            self._handle_events(connection)
        except h11.RemoteProtocolError as error:
            self._refuse(connection, error.error_status_hint, str(error))

    def _handle_events(self, connection: CallerConnection) -> None:
        for _ in range(PARTS_PER_TURN_MAX):
            if not self._handle_event(connection, connection.parser.next_event()):
                if connection.request is not None and connection.exchange is None:
                    connection.fed_bytes = 0  # all was taken over into the body
                return
        connection.deferred = True
        self.server.pause(connection.sock)
        self._scheduler.call_after(0, lambda: self._continue_parsing(connection))

    def _continue_parsing(self, connection: CallerConnection) -> None:
        """Parse more of what a connection received, after others had their turn."""
        connection.deferred = False
        if connection.closing or connection.sock not in self._connections:
            return
        try:
            self._handle_events(connection)
        except h11.RemoteProtocolError as error:
            self._refuse(connection, error.error_status_hint, str(error))
        self._count_received(connection)
        if not connection.deferred and not connection.half_closed:
            self.server.resume(connection.sock)
            self._process_unparsed(connection)

    def _handle_event(self, connection: CallerConnection, event: Any) -> bool:
        """Handle one event of the parser; return whether to fetch the next one."""
        if isinstance(event, h11.Request):
            connection.request = event
            return self._accept_head(connection, event)
        if isinstance(event, h11.Data):
            connection.body += event.data
            if len(connection.body) > self._limits.body_bytes_max:
                self._refuse(connection, 413, "the body is too large")
                return False
            return not connection.closing
        if isinstance(event, h11.EndOfMessage):
            self._dispatch(connection)
        return False

    def _accept_head(self, connection: CallerConnection, event: h11.Request) -> bool:
        connection.head_bytes = HEAD_COPIES * sum(len(n) + len(v) for n, v in event.headers)
        names = [name for name, _ in event.headers]
        headers = dict(event.headers)
        if event.http_version not in (b"1.0", b"1.1"):
            self._refuse(connection, 505, "only HTTP/1.0 and HTTP/1.1 are supported")
            return False
        for name in (b"authorization", b"idempotency-key", b"content-type"):
            if names.count(name) > 1:
                self._refuse(connection, 400, f"the header {name.decode()} is repeated")
                return False
        if _HOST.fullmatch(headers.get(b"host", b"")) is None:
            self._refuse(connection, 400, "the Host header is malformed")
            return False
        if b"content-length" in headers and b"transfer-encoding" in headers:
            self._refuse(connection, 400, "Content-Length and Transfer-Encoding are both present")
            return False
        if int(headers.get(b"content-length", b"0")) > self._limits.body_bytes_max:
            self._refuse(connection, 413, "the Content-Length is too large")
            return False
        if self._limits.body_seconds is not None:
            connection.phase_timeout.expire_after(self._limits.body_seconds)
        if headers.get(b"expect", b"").lower() == b"100-continue":
            self.server.write(connection.sock, CONTINUE)
        return True

    def _dispatch(self, connection: CallerConnection) -> None:
        connection.phase_timeout.clear()
        event = connection.request
        assert event is not None
        match parse_request_target(event.target):
            case Err(reason):
                self._refuse(connection, 400, reason)
                return
            case Ok(target):
                pass
        method = event.method.decode("ascii")
        protocol = (1, 1) if event.http_version == b"1.1" else (1, 0)
        res = Response(_MinimalRequest(connection.sock, method, protocol, self))
        res.close = connection.parser.their_state is h11.MUST_CLOSE
        exchange = Exchange(
            method=method,
            path=target.path,
            query=target.query,
            headers={k.decode("latin-1"): v.decode("latin-1") for k, v in event.headers},
            body=connection.body,
            response=res,
            server=self,
        )
        connection.exchange = exchange
        connection.exchange_timeout.expire_after(self._limits.exchange_seconds)
        self._hold_request(connection, exchange)
        try:
            self._application(exchange)
        except Exception as error:  # a request must get a response even if the application fails
            log_event("request_failed", level=40, path=exchange.path, error=repr(error))
            self._fail(exchange)

    def _hold_request(self, connection: CallerConnection, exchange: Exchange) -> None:
        """Count a complete request until nothing can need its body any more."""
        self._shared.mark_busy(connection)
        body, head_bytes = connection.body, connection.head_bytes
        connection.body = Body()
        connection.head_bytes = 0
        connection.fed_bytes = len(connection.parser.trailing_data[0])
        self._quota.resize(connection.received, connection.count_received_bytes())
        held = make_request_buffer(exchange, connection.group)
        finalize(body, self._quota.resize, held, 0).atexit = False
        self._quota.resize(held, len(body) + head_bytes)

    def _fail(self, exchange: Exchange) -> None:
        if exchange.started:
            exchange.abort()
            return
        exchange.respond(500, *self._make_rejection(500, "the node failed to serve the request"))

    def _refuse(self, connection: CallerConnection, status: int, detail: str) -> None:
        headers, body = self._make_rejection(status, detail)
        head = [f"HTTP/1.1 {status} Refused", f"Content-Length: {len(body)}", "Connection: close"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        self.server.write(connection.sock, "\r\n".join(head).encode() + b"\r\n\r\n" + body)
        self._close(connection)

    def _close(self, connection: CallerConnection) -> None:
        """Close once all is sent and the caller has closed, or after a timeout."""
        connection.closing = True
        connection.discard_received()
        connection.parser = self._make_parser()
        self._quota.resize(connection.received, 0)
        unsent = self.server.count_unsent_bytes(connection.sock)
        linger = self._limits.stall_seconds if unsent else LINGER_SECONDS
        connection.phase_timeout.expire_after(linger)
        if connection.half_closed:
            self.server.close(connection.sock)
            return
        self.server.resume(connection.sock)
        self.server.drain(connection.sock)

    def _expire(self, connection: CallerConnection) -> None:
        if connection.exchange is not None:
            self._probe_half_closed(connection)
        elif connection.receiving and not connection.closing:
            self._refuse(connection, 408, "the request did not arrive in time")
        else:
            self.close_now(connection.sock)

    def _probe_half_closed(self, connection: CallerConnection) -> None:
        """Check whether a caller that has finished sending still reads.

        If its socket is closed, it resets the connection on receiving a 100 Continue, which HTTP
        lets a server send more than once.
        """
        exchange = connection.exchange
        if exchange is None or not connection.half_closed:
            return
        if not exchange.started and connection.parser.their_http_version == b"1.1":
            self.server.write(connection.sock, CONTINUE)
        connection.phase_timeout.expire_after(HALF_CLOSE_PROBE_SECONDS)

    def _expire_exchange(self, connection: CallerConnection) -> None:
        """Notify the application of a request that took too long; respond 504 or close."""
        exchange = connection.exchange
        if exchange is None:
            return
        if exchange.started:
            self.close_now(connection.sock)
            return
        if exchange.on_expire is not None:
            exchange.on_expire()
            return
        if exchange.on_disconnect is not None:
            exchange.on_disconnect()
        exchange.respond(504, *self._make_rejection(504, "the request took too long"))

    def _close_stalled(self, connection: CallerConnection) -> None:
        log_event("stalled_caller_cut", level=30)
        self.close_now(connection.sock)
