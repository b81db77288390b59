"""Read and write many stream sockets in one component, without circuits events.

The TCPServer of circuits fires an event for each read and each write, and closes a half-closed
connection. Here received data is passed by a direct call, data is sent immediately unless earlier
data is still buffered, and the buffered bytes are counted.
"""

import errno
import struct
from collections import deque
from collections.abc import Callable
from socket import SHUT_RDWR, SHUT_WR, SO_LINGER, SOL_SOCKET, socket
from typing import Any

from attrs import define, field
from circuits import Event, handler
from circuits.net.sockets import TCPServer

from bronzetiller.logs import log_event
from bronzetiller.net.traffic import TRAFFIC

READ_BYTES = 64 * 1024
WRITE_BYTES_MAX = 64 * 1024
ACCEPTS_MAX = 64
DRAIN_BYTES_MAX = 1024 * 1024
_RETRY_ERRNOS = {errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS}
_EXHAUSTED_ERRNOS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}

Data = bytes | bytearray | memoryview
_LINGER = struct.Struct("ii")  # whether to linger, and seconds; 0 seconds reset the connection


@define(eq=False)
class SocketState:
    """Hold the send buffer and the state of one connected socket."""

    sock: socket
    unsent_parts: deque[Data] = field(factory=deque)
    unsent_bytes: int = 0
    sent_bytes: int = 0
    closing: bool = False
    reading: bool = True
    reset_on_close: bool = False
    draining: bool = False
    drained_bytes: int = 0


class StreamSockets(TCPServer):
    """Manage connected sockets; subclasses override the handlers of their events."""

    def __init__(self, bind: tuple[str, int], *, channel: str) -> None:
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._sock: socket | None
        self._states: dict[socket, SocketState] = {}

    def handle_connection(self, sock: socket) -> None:
        """Handle an accepted connection."""

    def handle_data(self, sock: socket, data: bytes) -> None:
        """Handle received bytes."""

    def handle_eof(self, sock: socket) -> None:
        """Handle the end of the received data; the other end may still read."""
        self.drop(sock)

    def handle_close(self, sock: socket) -> None:
        """Handle the close of a connection; not called if drop closed it."""

    def handle_write_progress(self, sock: socket) -> None:
        """Handle the sending of buffered bytes."""

    def handle_descriptor_shortage(self) -> None:
        """Handle the lack of a file descriptor for a new connection."""

    def has_room(self) -> bool:
        """Return whether one more connection may be accepted."""
        return True

    def make_room(self) -> bool:
        """Close a connection for a new one; return whether there is room then."""
        return False

    def count_unsent_bytes(self, sock: socket) -> int:
        """Return the number of bytes in the send buffer."""
        state = self._states.get(sock)
        return 0 if state is None else state.unsent_bytes

    def count_sent_bytes(self, sock: socket) -> int:
        """Return the number of bytes passed to the kernel so far."""
        state = self._states.get(sock)
        return 0 if state is None else state.sent_bytes

    def add_socket(self, sock: socket) -> None:
        """Start reading from a connected socket."""
        sock.setblocking(False)
        self._states[sock] = SocketState(sock)
        self._poller.addReader(self, sock)

    def handle_readable(self, sock: socket) -> None:
        """Read once, or accept connections; called by the poller."""
        self._on_read(sock)

    def handle_writable(self, sock: socket) -> None:
        """Send buffered data; called by the poller."""
        self._on_write(sock)

    def handle_hangup(self, sock: socket) -> None:
        """Close a connection that was reset; called by the poller."""
        self._on_disconnect(sock)

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes | bytearray) -> None:
        """Send data after all that was written before; ignored on a closed connection."""
        state = self._states.get(sock)
        if state is None or state.closing or not data:
            return
        if state.unsent_parts:
            state.unsent_parts.append(data)
            state.unsent_bytes += len(data)
            return
        sent = self._send(state, data)
        if sent < len(data) and sock in self._states:
            state.unsent_parts.append(_cut(data, sent))
            state.unsent_bytes = len(data) - sent
            self._poller.addWriter(self, sock)

    @handler("close", override=True)
    def close(self, sock: socket | None = None) -> None:
        """Close a connection once all is sent; without one, the listener and all connections."""
        if sock is None:
            self._stop_listening()
            for item in list(self._states):
                self.drop(item)
            return
        state = self._states.get(sock)
        if state is None:
            return
        state.closing = True
        if not state.unsent_parts:
            self._finish_sending(state)

    def drain(self, sock: socket) -> None:
        """Close once all is sent and the other end has closed: a close with unread bytes resets."""
        state = self._states.get(sock)
        if state is not None:
            state.draining = True
            self.close(sock)

    def drop(self, sock: socket) -> None:
        """Close immediately, without calling handle_close."""
        state = self._states.pop(sock, None)
        if state is None:
            return
        self._poller.discard(sock)
        try:
            if not state.reset_on_close:
                sock.shutdown(SHUT_RDWR)
        except OSError:
            pass
        finally:
            sock.close()

    def set_reset_on_close(self, sock: socket, *, enabled: bool) -> None:
        """Reset a connection however it is closed, also by the end of the process."""
        state = self._states.get(sock)
        if state is not None:
            state.reset_on_close = enabled
            linger = _LINGER.pack(1, 0) if enabled else _LINGER.pack(0, 0)
            sock.setsockopt(SOL_SOCKET, SO_LINGER, linger)

    def pause(self, sock: socket) -> None:
        """Stop reading, so that TCP flow control blocks the other end."""
        state = self._states.get(sock)
        if state is not None and state.reading:
            state.reading = False
            self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        """Resume reading."""
        state = self._states.get(sock)
        if state is not None and not state.reading:
            state.reading = True
            self._poller.addReader(self, sock)

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock: socket) -> None:
        if sock is self._sock:
            self._accept()
            return
        state = self._states.get(sock)
        if state is None or not state.reading:
            return
        try:
            data = sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in _RETRY_ERRNOS:
                self._close_and_notify(sock)
            return
        TRAFFIC.received += len(data)
        if state.draining:
            self._drain(state, len(data))
        elif data:
            self._run_guarded(sock, lambda: self.handle_data(sock, data))
        else:
            self._run_guarded(sock, lambda: self.handle_eof(sock))

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock: socket) -> None:
        state = self._states.get(sock)
        if state is None:
            return
        while state.unsent_parts:
            part = _join_parts(state.unsent_parts)
            sent = self._send(state, part)
            if sock not in self._states:
                return
            state.unsent_bytes -= sent
            if sent < len(part):
                state.unsent_parts.appendleft(_cut(part, sent))
                break
        if not state.unsent_parts:
            self._poller.removeWriter(sock)
            if state.closing:
                self._finish_sending(state)
                return
        self._run_guarded(sock, lambda: self.handle_write_progress(sock))

    @handler("_disconnect", priority=1, override=True)
    def _on_disconnect(self, sock: socket) -> None:
        self._close_and_notify(sock)

    @handler("stopped", channel="*", override=True)
    def _on_stopped(self, component: Any) -> None:
        self.close()

    def _accept(self) -> None:
        listener = self._sock
        assert listener is not None
        for accepted in range(ACCEPTS_MAX):
            if not self.has_room() and accepted:
                return  # the poller reports whether there is another one
            if not self.has_room() and not self.make_room():
                self._poller.removeReader(listener)
                self.handle_descriptor_shortage()
                return
            try:
                sock, _address = listener.accept()
            except OSError as error:
                if error.errno in _EXHAUSTED_ERRNOS:
                    log_event("descriptors_exhausted", level=40, connections=len(self._states))
                    self._poller.removeReader(listener)
                    self.handle_descriptor_shortage()
                return
            self.add_socket(sock)
            self._run_guarded(sock, lambda sock=sock: self.handle_connection(sock))  # type: ignore[misc]

    def resume_accepting(self) -> None:
        """Accept connections again after descriptors were exhausted."""
        if self._sock is not None:
            self._poller.addReader(self, self._sock)

    def _stop_listening(self) -> None:
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def _drain(self, state: SocketState, size: int) -> None:
        state.drained_bytes += size
        if state.drained_bytes > DRAIN_BYTES_MAX:
            self._close_and_notify(state.sock)
        elif not size and state.unsent_parts:
            state.draining = False
            self.pause(state.sock)
        elif not size:
            self._close_and_notify(state.sock)

    def _send(self, state: SocketState, data: Data) -> int:
        try:
            sent = state.sock.send(data)
        except OSError as error:
            if error.errno not in _RETRY_ERRNOS:
                self._close_later(state.sock)
            return 0
        state.sent_bytes += sent
        TRAFFIC.sent += sent
        return sent

    def _close_later(self, sock: socket) -> None:
        """Close in the loop's next iteration, so that write never calls back into its caller."""
        state = self._states[sock]
        state.unsent_parts.clear()
        state.unsent_bytes = 0
        state.closing = True
        self._poller.removeWriter(sock)
        self.fire(Event.create("_disconnect", sock))

    def _finish_sending(self, state: SocketState) -> None:
        if not state.draining:
            self._close_and_notify(state.sock)
            return
        try:
            state.sock.shutdown(SHUT_WR)
        except OSError:
            self._close_and_notify(state.sock)

    def _close_and_notify(self, sock: socket) -> None:
        if sock in self._states:
            self.drop(sock)
            self.handle_close(sock)

    def _run_guarded(self, sock: socket, action: Callable[[], None]) -> None:
        """Run an action of a connection; an exception closes that connection and no other."""
        try:
            action()
        except Exception as error:  # a fault of one connection must not affect the others
            log_event("connection_failed", level=40, error=repr(error))
            self._close_and_notify(sock)


def _cut(data: Data, sent: int) -> Data:
    """Return the rest of the data, without a copy if it is large."""
    return data[sent:] if len(data) < WRITE_BYTES_MAX else memoryview(data)[sent:]


def _join_parts(unsent_parts: deque[Data]) -> Data:
    """Remove parts from the front and join them, unless they are more than WRITE_BYTES_MAX."""
    first = unsent_parts.popleft()
    taken, size = [first], len(first)
    while unsent_parts and size + len(unsent_parts[0]) <= WRITE_BYTES_MAX:
        size += len(unsent_parts[0])
        taken.append(unsent_parts.popleft())
    return first if len(taken) == 1 else b"".join(taken)
