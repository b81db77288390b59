"""Open outgoing connections on the event loop.

One component serves all outgoing sockets. A circuits TCPClient per connection would rebuild the
handler cache each time, and polls for the end of its connect every tenth of a second.
"""

import socket as sockets
from collections.abc import Callable
from errno import EINPROGRESS
from socket import socket
from typing import Any

from attrs import define, frozen
from circuits import handler

from bronzetiller.net.address import Address, parse_address
from bronzetiller.net.loop import Loop
from bronzetiller.net.response_ends import (
    RESET_WAIT_SECONDS,
    count_unacknowledged_bytes,
    is_reset,
)
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.net.sockets import StreamSockets

__all__ = ["Address", "Connection", "ConnectionHandlers", "Dialer", "parse_address"]

CLOSED = "closed by the other end"
RESET = "reset by the other end"
CONNECT_TIMEOUT = "connect: timeout"


@frozen
class ConnectionHandlers:
    """Hold the callbacks of one connection; closed is called last, once, with the cause.

    If awaits_reset returns True when the other end has stopped sending, the connection counts as
    closed only if no reset follows for RESET_WAIT_SECONDS after all that was written is received.
    """

    connected: Callable[[], None]
    received: Callable[[bytes], None]
    closed: Callable[[str], None]
    awaits_reset: Callable[[], bool] = lambda: False


@define(eq=False)
class Connection:
    """Hold one outgoing connection and its connect timeout."""

    address: Address
    _sock: socket
    _dialer: "Dialer"
    _handlers: ConnectionHandlers
    open: bool = False
    paused: bool = False
    timer: Timer | None = None

    def write(self, data: bytes | bytearray) -> None:
        """Send data after all that was written before; ignored unless the connection is open."""
        if self.open:
            self._dialer.write(self._sock, data)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no received bytes to read."""
        try:
            self._sock.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            return self.open
        except OSError:
            return False
        return False

    def has_unsent(self) -> bool:
        """Return whether written data waits to be sent."""
        return self._dialer.count_unsent_bytes(self._sock) > 0

    def pause(self) -> None:
        """Stop reading, so that TCP flow control blocks the other end."""
        self.paused = True
        self._dialer.pause(self._sock)

    def resume(self) -> None:
        """Resume reading."""
        self.paused = False
        self._dialer.resume(self._sock)

    def close(self) -> None:
        """Close immediately, without calling closed."""
        self._dialer.close_quietly(self._sock)


class Dialer(StreamSockets):
    """Open and manage the outgoing connections of a process."""

    def __init__(self, loop: Loop, *, channel: str) -> None:
        super().__init__(("127.0.0.1", 0), channel=channel)
        self._poller = loop.poller
        self._scheduler: Scheduler = loop.scheduler
        self._connections: dict[socket, Connection] = {}

    def dial(self, address: Address, seconds: float, handlers: ConnectionHandlers) -> Connection:
        """Connect within the given seconds; the handlers are never called before this returns."""
        sock = socket(self.socket_family, self.socket_type)
        sock.setblocking(False)
        sock.setsockopt(sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1)
        connection = Connection(address, sock, self, handlers)
        self._connections[sock] = connection
        code = sock.connect_ex((address.ip, address.port))
        if code not in (0, EINPROGRESS):
            self._scheduler.call_after(0, lambda: self._fail(sock, f"connect: errno {code}"))
            return connection
        self._poller.addWriter(self, sock)
        connection.timer = self._scheduler.call_after(
            seconds, lambda: self._fail(sock, CONNECT_TIMEOUT)
        )
        return connection

    def close_quietly(self, sock: socket) -> None:
        """Close a socket without calling its handlers."""
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        if connection.timer is not None:
            connection.timer.cancel()
        if connection.open:
            connection.open = False
            self.drop(sock)
        else:
            self._poller.discard(sock)
            sock.close()

    def handle_writable(self, sock: socket) -> None:
        """Complete the connect, or send buffered data; called by the poller."""
        connection = self._connections.get(sock)
        if connection is None or connection.open:
            super().handle_writable(sock)
            return
        code = sock.getsockopt(sockets.SOL_SOCKET, sockets.SO_ERROR)
        if code:
            self._fail(sock, f"connect: errno {code}")
            return
        if connection.timer is not None:
            connection.timer.cancel()
        connection.open = True
        self._poller.removeWriter(sock)
        self.add_socket(sock)
        if connection.paused:
            self.pause(sock)
        self._run_guarded(sock, connection._handlers.connected)

    def handle_hangup(self, sock: socket) -> None:
        """Fail a connection that was refused or reset; called by the poller."""
        connection = self._connections.get(sock)
        if connection is not None and not connection.open:
            self._fail(sock, "connect: refused")
        else:
            super().handle_hangup(sock)

    def handle_data(self, sock: socket, data: bytes) -> None:
        """Pass received bytes to the connection's handlers."""
        connection = self._connections.get(sock)
        if connection is not None:
            connection._handlers.received(data)

    def handle_eof(self, sock: socket) -> None:
        """Close the connection once the other end has finished sending."""
        connection = self._connections.get(sock)
        if connection is None or not connection._handlers.awaits_reset():
            self._fail(sock, CLOSED)
            return
        self.pause(sock)
        self._scheduler.call_after(RESET_WAIT_SECONDS, lambda: self._settle(sock, connection))

    def _settle(self, sock: socket, connection: Connection) -> None:
        """Close a connection that may have been reset since the other end stopped sending."""
        if self._connections.get(sock) is not connection:
            return
        if is_reset(sock):
            self._fail(sock, RESET)
        elif self.count_unsent_bytes(sock) or count_unacknowledged_bytes(sock):
            self._scheduler.call_after(RESET_WAIT_SECONDS, lambda: self._settle(sock, connection))
        else:
            self._fail(sock, CLOSED)

    def handle_close(self, sock: socket) -> None:
        """Notify the handlers of a reset connection."""
        self._fail(sock, RESET)

    def _create_socket(self) -> socket:
        """Return a socket that does not listen, since this component only dials."""
        return socket(self.socket_family, self.socket_type)

    @handler("registered", "started", channel="*", override=True)
    def _on_registered_or_started(self, component: Any, manager: Any = None) -> None:
        """Override the search for a poller, since the loop's own is set from the start."""

    def _fail(self, sock: socket, cause: str) -> None:
        connection = self._connections.get(sock)
        if connection is not None:
            self.close_quietly(sock)
            connection._handlers.closed(cause)
