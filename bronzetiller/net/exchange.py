"""Pair a request with its response, as an application sees them."""

from collections.abc import Callable
from socket import socket
from typing import Protocol

from attrs import define
from circuits.web.wrappers import Response

LAST_CHUNK = b"0\r\n\r\n"


class ResponseWriter(Protocol):
    """Write responses to their connections."""

    def send_part(self, res: Response, data: bytes) -> None:
        """Send bytes of a response."""

    def send_last(self, res: Response, data: bytes) -> None:
        """Send the last bytes of a response."""

    def close_now(self, sock: socket) -> None:
        """Close a connection at once."""


@define(eq=False)
class Exchange:
    """Pair one request with its response; the body is whole when the application sees it.

    on_flow gets False when the caller reads more slowly than the answer comes, and True once it
    has caught up; a streamed answer that grows on regardless is cut.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    _response: Response
    _server: ResponseWriter
    started: bool = False
    done: bool = False
    on_disconnect: Callable[[], None] | None = None
    on_flow_change: Callable[[bool], None] | None = None

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole response."""
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
        self._response.body = ()  # circuits.web gives an empty list a Content-Length of 0
        head = self._make_head()
        if self._is_head():
            self.done = True
            self._server.send_last(self._response, head)
        else:
            self._server.send_part(self._response, head)

    def send(self, data: bytes) -> None:
        """Send one part of a streamed response."""
        if data and not self.done:
            if self._response.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            self._server.send_part(self._response, data)

    def finish(self) -> None:
        """Send the end of a streamed response."""
        if not self.done:
            self.done = True
            self._server.send_last(self._response, LAST_CHUNK if self._response.chunked else b"")

    def fail(self, data: bytes) -> None:
        """Send a last part of a streamed response and close without its end."""
        if not self.done:
            self.send(data)
            self.done = True
            self._response.close = True
            self._server.send_last(self._response, b"")

    def close_after_response(self) -> None:
        """Close the connection once the response is sent."""
        self._response.close = True

    def abort(self) -> None:
        """Cut the connection, so that the caller sees a streamed answer as incomplete."""
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
