"""Serve HTTP with circuits.web, its requests parsed by h11.

The parser of circuits.web loses a head that arrives byte by byte, drops pipelined requests and
has no limits, so h11 stands before it; requests and responses stay those of circuits.web.
"""

from collections.abc import Callable
from socket import socket
from typing import Any

import h11
from attrs import define, field
from circuits import BaseComponent, handler
from circuits.net.sockets import TCPServer
from circuits.web.events import response, stream
from circuits.web.headers import Headers
from circuits.web.http import HTTP
from circuits.web.servers import BaseServer
from circuits.web.wrappers import Request, Response

from bronzetiller.net.loop import Loop
from bronzetiller.net.scheduler import Scheduler, Timer

HEAD_BYTES_MAX = 32 * 1024
READ_BYTES = 64 * 1024
REQUEST_SECONDS_MAX = 30.0
IDLE_SECONDS_MAX = 120.0


@define(eq=False)
class Exchange:
    """Pair one request with its response; the body is whole when the application sees it."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    _response: Response
    _server: "HttpServer"
    started: bool = False
    done: bool = False
    on_disconnect: Callable[[], None] | None = None

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole response."""
        if self.done:
            return
        self.started = self.done = True
        self._set_head(status, headers)
        self._response.body = body
        self._server.fire(response(self._response))

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a streamed response."""
        if self.done:
            return
        self.started = True
        self._set_head(status, headers)
        self._response.stream = True
        self._response.body = ()  # circuits.web gives an empty list a Content-Length of 0
        self._server.fire(response(self._response))

    def send(self, data: bytes) -> None:
        """Send one part of a streamed response."""
        if data and not self.done:
            self._server.fire(stream(self._response, data))

    def finish(self) -> None:
        """Send the end of a streamed response."""
        if not self.done:
            self.done = True
            self._server.fire(stream(self._response, None))

    def close_after(self) -> None:
        """Close the connection once the response is sent."""
        self._response.close = True

    def abort(self) -> None:
        """Cut the connection, so that the caller sees a streamed answer as incomplete."""
        self.done = True
        self._server.cut(self._response.request.sock)

    def _set_head(self, status: int, headers: dict[str, str]) -> None:
        self._response.status = status
        for name, value in headers.items():
            self._response.headers[name] = value


Application = Callable[[Exchange], None]
Rejecter = Callable[[int, str], tuple[dict[str, str], bytes]]


@define(eq=False)
class _Connection:
    parser: h11.Connection
    pending: bytes = b""
    request: h11.Request | None = None
    body: list[bytes] = field(factory=list)
    body_bytes: int = 0
    exchange: Exchange | None = None
    timer: Timer | None = None
    receiving: bool = False
    rejected: bool = False


def _make_parser() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_BYTES_MAX)


class _GuardedHTTP(HTTP):
    """Replace the parser of circuits.web by h11, with limits and deadlines."""

    def __init__(self, server: "HttpServer", channel: str) -> None:
        super().__init__(server, channel=channel)
        self._guard = server

    @handler("read", override=True)
    def _on_read(self, sock: socket, data: bytes) -> None:
        self._guard.feed(sock, data)

    @handler("response", override=True)
    def _on_response(self, res: Response) -> None:
        HTTP._on_response(self, res)
        if res.request.method == "HEAD":
            res.done = True
        if res.done:
            self._guard.complete(res)

    @handler("stream", override=True)
    def _on_stream(self, res: Response, data: bytes | None) -> None:
        HTTP._on_stream(self, res, data)
        if data is None:
            self._guard.complete(res)


class _CallerSockets(TCPServer):
    """Drop writes to a connection that has closed, where TCPServer fails in the poller."""

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        if sock in self._clients:
            TCPServer.write(self, sock, data)


class HttpServer(BaseServer):
    """Listen on one address and hand each whole request to the application."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        application: Application,
        reject: Rejecter,
        *,
        body_bytes_max: int,
        channel: str,
    ) -> None:
        BaseComponent.__init__(self, channel=channel)
        self._display_banner = False
        self.server = _CallerSockets((host, port), channel=channel, bufsize=READ_BYTES)
        self.server.register(self)
        self.http = _GuardedHTTP(self, channel).register(self)
        self._scheduler: Scheduler = loop.scheduler
        self._application = application
        self._reject = reject
        self._body_bytes_max = body_bytes_max
        self._connections: dict[socket, _Connection] = {}

    @property
    def open_exchanges(self) -> int:
        """Count the requests that have no whole response yet."""
        return sum(1 for item in self._connections.values() if item.exchange is not None)

    @handler("ready", override=True)
    def _on_ready(self, server: Any, bind: Any) -> None:
        """Keep silent where circuits.web prints a banner."""

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        if connection.timer is not None:
            connection.timer.cancel()
        exchange = connection.exchange
        if exchange is not None:
            exchange.done = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    @handler("error")
    def _on_error(self, *args: Any) -> None:
        """Leave socket errors to the disconnect that follows."""

    @handler("connect", override=True)
    def _on_connect(self, sock: socket, *peer: Any) -> None:
        connection = self._connections[sock] = _Connection(_make_parser())
        self._set_deadline(sock, connection, IDLE_SECONDS_MAX)

    def cut(self, sock: socket) -> None:
        """Close a connection at once, dropping what was not sent."""
        self.server._close(sock)

    def feed(self, sock: socket, data: bytes) -> None:
        """Take what a connection received."""
        connection = self._connections.get(sock)
        if connection is None or connection.rejected:
            return
        if connection.exchange is not None:
            connection.pending += data
            if len(connection.pending) > HEAD_BYTES_MAX + self._body_bytes_max:
                self.cut(sock)
            return
        if not connection.receiving:
            connection.receiving = True
            self._set_deadline(sock, connection, REQUEST_SECONDS_MAX)
        try:
            connection.parser.receive_data(data)
            self._parse(sock, connection)
        except h11.RemoteProtocolError as error:
            self._refuse(sock, connection, error.error_status_hint, str(error))

    def complete(self, res: Response) -> None:
        """Make a connection ready for its next request."""
        sock = res.request.sock
        connection = self._connections.get(sock)
        if connection is None or connection.exchange is None or res.close:
            if connection is not None:
                connection.exchange = None
            return
        rest = connection.parser.trailing_data[0] + connection.pending
        self._connections[sock] = fresh = _Connection(_make_parser())
        self._set_deadline(sock, fresh, IDLE_SECONDS_MAX)
        if rest:
            self.feed(sock, rest)

    def _parse(self, sock: socket, connection: _Connection) -> None:
        while True:
            event = connection.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                connection.request = event
                if not self._accept_head(sock, connection, event):
                    return
            elif isinstance(event, h11.Data):
                connection.body.append(bytes(event.data))
                connection.body_bytes += len(event.data)
                if connection.body_bytes > self._body_bytes_max:
                    self._refuse(sock, connection, 413, "the body is too large")
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch(sock, connection)
                return
            else:
                return

    def _accept_head(self, sock: socket, connection: _Connection, event: h11.Request) -> bool:
        headers = dict(event.headers)
        length = headers.get(b"content-length", b"0")
        if int(length) > self._body_bytes_max:
            self._refuse(sock, connection, 413, "the declared body is too large")
            return False
        if headers.get(b"expect", b"").lower() == b"100-continue":
            self.server.write(sock, b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def _dispatch(self, sock: socket, connection: _Connection) -> None:
        if connection.timer is not None:
            connection.timer.cancel()
        request = self._make_request(sock, connection)
        if request is None:
            return
        res = Response(request)
        res.protocol = "HTTP/{}.{}".format(*request.protocol)
        res.close = connection.parser.their_state is h11.MUST_CLOSE
        exchange = Exchange(
            method=request.method,
            path=request.path,
            query=request.qs,
            headers={str(k).lower(): v for k, v in request.headers.items()},
            body=b"".join(connection.body),
            response=res,
            server=self,
        )
        connection.exchange = exchange
        self._application(exchange)

    def _make_request(self, sock: socket, connection: _Connection) -> Request | None:
        event = connection.request
        assert event is not None
        path, _, query = event.target.decode("ascii", "replace").partition("?")
        major, minor = event.http_version.decode().split(".")
        headers = Headers([(k.decode("latin-1"), v.decode("latin-1")) for k, v in event.headers])
        method = event.method.decode("ascii")
        protocol = (int(major), int(minor))
        try:
            return Request(sock, method, "http", path, protocol, query, headers, self)
        except (OSError, ValueError) as error:
            self._refuse(sock, connection, 400, f"the head is malformed: {error}")
            return None

    def _refuse(self, sock: socket, connection: _Connection, status: int, detail: str) -> None:
        connection.rejected = True
        headers, body = self._reject(status, detail)
        head = [f"HTTP/1.1 {status} Refused", f"Content-Length: {len(body)}", "Connection: close"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        self.server.write(sock, "\r\n".join(head).encode() + b"\r\n\r\n" + body)
        self.server.close(sock)

    def _set_deadline(self, sock: socket, connection: _Connection, seconds: float) -> None:
        if connection.timer is not None:
            connection.timer.cancel()
        connection.timer = self._scheduler.call_after(seconds, lambda: self._expire(sock))

    def _expire(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is None or connection.exchange is not None:
            return
        if connection.receiving:
            self._refuse(sock, connection, 408, "the request did not arrive in time")
        else:
            self.cut(sock)
