"""Hold the connections of callers, and pass the events of their sockets to a server."""

from collections.abc import Hashable
from socket import socket
from typing import Protocol

import h11
from attrs import define, field

from bronzetiller.net.buffer_quota import Buffer
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.scheduler import Timeout
from bronzetiller.net.sockets import StreamSockets


class Body(bytearray):
    """Hold the body of one request; weak references tell when nothing needs it any more."""


@define(eq=False)
class CallerConnection:
    """Hold one caller's connection; each request gets a new parser.

    phase_timeout limits the current phase: idle, receiving, closing, or probing once half-closed.
    fed_bytes are those that the parser may still hold, head_bytes those of the request's headers.
    The group is the caller's address, or the connection itself if a peer forwards over it.
    """

    sock: socket
    parser: h11.Connection
    phase_timeout: Timeout
    stall_timeout: Timeout
    exchange_timeout: Timeout
    request: h11.Request | None = None
    body: Body = field(factory=Body)
    exchange: Exchange | None = None
    unparsed: list[bytes] = field(factory=list)
    unparsed_bytes: int = 0
    fed_bytes: int = 0
    head_bytes: int = 0
    group: Hashable = None
    receiving: bool = False
    half_closed: bool = False
    closing: bool = False
    parsing: bool = False
    deferred: bool = False
    congested: bool = False
    discarding: bool = False
    unsent: Buffer = field(init=False)
    received: Buffer = field(init=False)

    def count_received_bytes(self) -> int:
        """Return the bytes received for requests that are not complete."""
        return self.unparsed_bytes + self.fed_bytes + self.head_bytes + len(self.body)

    def discard_received(self) -> None:
        """Release what was received for requests that are not complete."""
        self.unparsed = []
        self.unparsed_bytes = self.fed_bytes = self.head_bytes = 0
        self.body = Body()


class CallerListener(Protocol):
    """Handle the events of callers' sockets."""

    def handle_connection(self, sock: socket) -> None:
        """Handle an accepted connection."""

    def handle_data(self, sock: socket, data: bytes) -> None:
        """Handle received bytes."""

    def handle_eof(self, sock: socket) -> None:
        """Handle the end of a caller's data."""

    def handle_close(self, sock: socket) -> None:
        """Handle the close of a connection."""

    def handle_write_progress(self, sock: socket) -> None:
        """Handle the sending of buffered bytes."""

    def handle_descriptor_shortage(self) -> None:
        """Handle the lack of a file descriptor for a new connection."""

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted."""

    def make_room(self) -> bool:
        """Close an idle connection for a new one."""


class CallerSockets(StreamSockets):
    """Forward the socket events of callers' connections to the server."""

    def __init__(self, host: str, port: int, channel: str, server: CallerListener) -> None:
        super().__init__((host, port), channel=channel)
        self._server = server

    def handle_connection(self, sock: socket) -> None:
        """Handle an accepted connection."""
        self._server.handle_connection(sock)

    def handle_data(self, sock: socket, data: bytes) -> None:
        """Handle received bytes."""
        self._server.handle_data(sock, data)

    def handle_eof(self, sock: socket) -> None:
        """Handle the end of a caller's data."""
        self._server.handle_eof(sock)

    def handle_close(self, sock: socket) -> None:
        """Handle the close of a connection."""
        self._server.handle_close(sock)

    def handle_write_progress(self, sock: socket) -> None:
        """Handle the sending of buffered bytes."""
        self._server.handle_write_progress(sock)

    def handle_descriptor_shortage(self) -> None:
        """Handle the lack of a file descriptor for a new connection."""
        self._server.handle_descriptor_shortage()

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted."""
        return self._server.has_room()

    def make_room(self) -> bool:
        """Close an idle connection for a new one; return whether there is room then."""
        return self._server.make_room()
