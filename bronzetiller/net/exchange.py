"""Represent one request and its response to the application."""

from collections.abc import Callable
from socket import socket
from typing import Protocol

from attrs import define
from circuits.web.wrappers import Response

LAST_CHUNK = b"0\r\n\r\n"


class ResponseWriter(Protocol):
    """Write responses to the connections of their requests."""

    def send_part(self, res: Response, data: bytes) -> None:
        """Send a part of a response."""

    def send_last(self, res: Response, data: bytes) -> None:
        """Send the last bytes of a response."""

    def close_now(self, sock: socket) -> None:
        """Close a connection immediately, discarding unsent bytes."""

    def set_reset_on_close(self, sock: socket, *, enabled: bool) -> None:
        """Reset a connection however it is closed."""


@define(eq=False)
class Exchange:
    """Hold one request, complete with its body, and send its response.

    A streamed response to a caller that knows no chunks ends with its connection: a close completes
    it, a reset breaks it off.

    on_expire is called once no time is left for the response; it may still respond.
    on_flow_change is called with False when the caller reads more slowly than the response is
    produced, and with True once it has caught up. If the unsent bytes still grow, the
    connection is closed.
    may_drop tells whether the request can still be refused as not run; on_drop has to refuse it.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes | bytearray
    _response: Response
    _server: ResponseWriter
    started: bool = False
    done: bool = False
    on_disconnect: Callable[[], None] | None = None
    on_expire: Callable[[], None] | None = None
    on_flow_change: Callable[[bool], None] | None = None
    may_drop: Callable[[], bool] | None = None
    on_drop: Callable[[], None] | None = None

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete response."""
        if self.done:
            return
        self.started = self.done = True
        self._set_head(status, headers)
        self._response.body = body
        head = self._make_head()
        self._server.send_last(self._response, head if self._is_head() else head + body)

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a streamed response."""
        if self.done:
            return
        self.started = True
        self._set_head(status, headers)
        self._response.stream = True
        self._response.body = ()  # for an empty list circuits.web would send Content-Length: 0
        head = self._make_head()
        if self._is_head():
            self.done = True
            self._server.send_last(self._response, head)
        else:
            if not self._response.chunked:
                self._server.set_reset_on_close(self._response.request.sock, enabled=True)
            self._server.send_part(self._response, head)

    def send(self, data: bytes) -> None:
        """Send a part of a streamed response, as a chunk if it is chunked."""
        if data and not self.done:
            if self._response.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            self._server.send_part(self._response, data)

    def finish(self) -> None:
        """End a streamed response."""
        if not self.done:
            self.done = True
            if not self._response.chunked:
                self._server.set_reset_on_close(self._response.request.sock, enabled=False)
            self._server.send_last(self._response, LAST_CHUNK if self._response.chunked else b"")

    def fail(self, data: bytes) -> None:
        """Send a last part of a streamed response and close, so that it counts as incomplete."""
        if not self.done:
            self.send(data)
            if not self._response.chunked:
                self.abort()
                return
            self.done = True
            self._response.close = True
            self._server.send_last(self._response, b"")

    def close_after_response(self) -> None:
        """Close the connection once the response is sent."""
        self._response.close = True

    def abort(self) -> None:
        """Close the connection immediately, so that a streamed response counts as incomplete."""
        self.done = True
        self._server.close_now(self._response.request.sock)

    def _is_head(self) -> bool:
        return self.method == "HEAD"

    def _set_head(self, status: int, headers: dict[str, str]) -> None:
        self._response.status = status
        for name, value in headers.items():
            self._response.headers[name] = value

    def _make_head(self) -> bytes:
        self._response.prepare()
        return bytes(self._response) + bytes(self._response.headers)
