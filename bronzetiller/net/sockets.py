"""Read and write many stream sockets in one component, without an event for each step.

The TCPServer of circuits fires an event for each read and each write, and closes a connection
whose other end has only finished sending. Here reads reach their owner by a call, writes go out
at once while nothing waits before them, and what waits is counted.
"""

import errno
from collections import deque
from collections.abc import Callable
from socket import SHUT_RDWR, SHUT_WR, socket
from typing import Any

from attrs import define, field
from circuits import Event, handler
from circuits.net.sockets import TCPServer

from bronzetiller.logs import log_event

READ_BYTES = 64 * 1024
WRITE_BYTES_MAX = 64 * 1024
ACCEPTS_MAX = 64
DRAIN_BYTES_MAX = 1024 * 1024
_TRY_AGAIN = {errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS}
_OUT_OF_DESCRIPTORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


@define(eq=False)
class Stream:
    """Hold what one connected socket still has to send."""

    sock: socket
    parts: deque[bytes] = field(factory=deque)
    unsent_bytes: int = 0
    sent_bytes: int = 0
    closing: bool = False
    reading: bool = True
    draining: bool = False
    drained_bytes: int = 0


class StreamSockets(TCPServer):
    """Keep connected sockets; subclasses say what is done with what they receive."""

    def __init__(self, bind: tuple[str, int], *, channel: str) -> None:
        super().__init__(bind, channel=channel, bufsize=READ_BYTES)
        self._sock: socket | None
        self._streams: dict[socket, Stream] = {}

    def take_connection(self, sock: socket) -> None:
        """Handle an accepted connection."""

    def take_data(self, sock: socket, data: bytes) -> None:
        """Handle received bytes."""

    def take_end(self, sock: socket) -> None:
        """Handle the other end having finished sending."""
        self.drop(sock)

    def take_loss(self, sock: socket) -> None:
        """Handle a connection that has closed, unless drop closed it."""

    def take_progress(self, sock: socket) -> None:
        """Handle waiting bytes having been sent."""

    def take_shortage(self) -> None:
        """Handle the process having no descriptor for a new connection."""

    def count_unsent(self, sock: socket) -> int:
        """Return the bytes that wait to be sent."""
        stream = self._streams.get(sock)
        return 0 if stream is None else stream.unsent_bytes

    def count_sent(self, sock: socket) -> int:
        """Return the bytes handed to the system so far."""
        stream = self._streams.get(sock)
        return 0 if stream is None else stream.sent_bytes

    def add(self, sock: socket) -> None:
        """Begin to read a connected socket."""
        sock.setblocking(False)
        self._streams[sock] = Stream(sock)
        self._poller.addReader(self, sock)

    def handle_readable(self, sock: socket) -> None:
        """Read once, or accept; the poller calls it."""
        self._on_read(sock)

    def handle_writable(self, sock: socket) -> None:
        """Send what waits; the poller calls it."""
        self._on_write(sock)

    def handle_hangup(self, sock: socket) -> None:
        """Close a connection that was reset; the poller calls it."""
        self._on_disconnect(sock)

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        """Send data in order; nothing happens on a connection that has closed."""
        stream = self._streams.get(sock)
        if stream is None or stream.closing or not data:
            return
        if stream.parts:
            stream.parts.append(data)
            stream.unsent_bytes += len(data)
            return
        sent = self._send(stream, data)
        if sent < len(data) and sock in self._streams:
            stream.parts.append(data[sent:])
            stream.unsent_bytes = len(data) - sent
            self._poller.addWriter(self, sock)

    @handler("close", override=True)
    def close(self, sock: socket | None = None) -> None:
        """Close a connection once all is sent; without one, the listener and all connections."""
        if sock is None:
            self._stop_listening()
            for item in list(self._streams):
                self.drop(item)
            return
        stream = self._streams.get(sock)
        if stream is None:
            return
        stream.closing = True
        if not stream.parts:
            self._finish(stream)

    def drain(self, sock: socket) -> None:
        """Close once all is sent and the other end is done: unread bytes would reset the rest."""
        stream = self._streams.get(sock)
        if stream is not None:
            stream.draining = True
            self.close(sock)

    def drop(self, sock: socket) -> None:
        """Close at once, without take_loss."""
        if self._streams.pop(sock, None) is None:
            return
        self._poller.discard(sock)
        try:
            sock.shutdown(SHUT_RDWR)
        except OSError:
            pass
        finally:
            sock.close()

    def pause(self, sock: socket) -> None:
        """Stop reading, so that the other end has to wait."""
        stream = self._streams.get(sock)
        if stream is not None and stream.reading:
            stream.reading = False
            self._poller.removeReader(sock)

    def resume(self, sock: socket) -> None:
        """Read again."""
        stream = self._streams.get(sock)
        if stream is not None and not stream.reading:
            stream.reading = True
            self._poller.addReader(self, sock)

    @handler("_read", priority=1, override=True)
    def _on_read(self, sock: socket) -> None:
        if sock is self._sock:
            self._accept()
            return
        stream = self._streams.get(sock)
        if stream is None or not stream.reading:
            return
        try:
            data = sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in _TRY_AGAIN:
                self._lose(sock)
            return
        if stream.draining:
            self._drain(stream, len(data))
        elif data:
            self._guard(sock, lambda: self.take_data(sock, data))
        else:
            self._guard(sock, lambda: self.take_end(sock))

    @handler("_write", priority=1, override=True)
    def _on_write(self, sock: socket) -> None:
        stream = self._streams.get(sock)
        if stream is None:
            return
        while stream.parts:
            part = _join_parts(stream.parts)
            sent = self._send(stream, part)
            if sock not in self._streams:
                return
            stream.unsent_bytes -= sent
            if sent < len(part):
                stream.parts.appendleft(part[sent:])
                break
        if not stream.parts:
            self._poller.removeWriter(sock)
            if stream.closing:
                self._finish(stream)
                return
        self._guard(sock, lambda: self.take_progress(sock))

    @handler("_disconnect", priority=1, override=True)
    def _on_disconnect(self, sock: socket) -> None:
        self._lose(sock)

    @handler("stopped", channel="*", override=True)
    def _on_stopped(self, component: Any) -> None:
        self.close()

    def _accept(self) -> None:
        listener = self._sock
        assert listener is not None
        for _ in range(ACCEPTS_MAX):
            try:
                sock, _address = listener.accept()
            except OSError as error:
                if error.errno in _OUT_OF_DESCRIPTORS:
                    log_event("descriptors_exhausted", level=40, connections=len(self._streams))
                    self._poller.removeReader(listener)
                    self.take_shortage()
                return
            self.add(sock)
            self._guard(sock, lambda sock=sock: self.take_connection(sock))  # type: ignore[misc]

    def listen_again(self) -> None:
        """Accept connections again after a shortage."""
        if self._sock is not None:
            self._poller.addReader(self, self._sock)

    def _stop_listening(self) -> None:
        if self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    def _drain(self, stream: Stream, size: int) -> None:
        stream.drained_bytes += size
        if stream.drained_bytes > DRAIN_BYTES_MAX:
            self._lose(stream.sock)
        elif not size and stream.parts:
            stream.draining = False
            self.pause(stream.sock)
        elif not size:
            self._lose(stream.sock)

    def _send(self, stream: Stream, data: bytes) -> int:
        try:
            sent = stream.sock.send(data)
        except OSError as error:
            if error.errno not in _TRY_AGAIN:
                self._lose_later(stream.sock)
            return 0
        stream.sent_bytes += sent
        return sent

    def _lose_later(self, sock: socket) -> None:
        """Leave the loss to the loop's next pass, so that write never calls its caller back."""
        stream = self._streams[sock]
        stream.parts.clear()
        stream.unsent_bytes = 0
        stream.closing = True
        self._poller.removeWriter(sock)
        self.fire(Event.create("_disconnect", sock))

    def _finish(self, stream: Stream) -> None:
        if not stream.draining:
            self._lose(stream.sock)
            return
        try:
            stream.sock.shutdown(SHUT_WR)
        except OSError:
            self._lose(stream.sock)

    def _lose(self, sock: socket) -> None:
        if sock in self._streams:
            self.drop(sock)
            self.take_loss(sock)

    def _guard(self, sock: socket, action: Callable[[], None]) -> None:
        """Run an owner's action; a fault in it costs its connection and no other."""
        try:
            action()
        except Exception as error:  # any fault of one connection must leave the others alone
            log_event("connection_failed", level=40, error=repr(error))
            self._lose(sock)


def _join_parts(parts: deque[bytes]) -> bytes:
    """Take parts off the front until they make one write."""
    first = parts.popleft()
    if not parts or len(first) >= WRITE_BYTES_MAX:
        return first
    taken = [first]
    size = len(first)
    while parts and size < WRITE_BYTES_MAX:
        size += len(parts[0])
        taken.append(parts.popleft())
    return b"".join(taken)
