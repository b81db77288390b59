"""Poll sockets with epoll.

The pollers of circuits keep descriptors in lists, so that each change costs a scan of all of them,
and they stop watching a socket that is neither read nor written, so that they miss its reset.
"""

import os
import select
from typing import Any, Protocol

from circuits import Event
from circuits.core.pollers import BasePoller

_HANGUP = select.EPOLLHUP | select.EPOLLERR


class DirectSource(Protocol):
    """Define a component that the poller calls directly instead of firing events."""

    channel: str

    def handle_readable(self, sock: Any) -> None:
        """Read from a socket."""

    def handle_writable(self, sock: Any) -> None:
        """Write to a socket."""

    def handle_hangup(self, sock: Any) -> None:
        """Close a socket that was reset."""


class _EventSource:
    """Fire the poller events of circuits for a component that is not a DirectSource."""

    def __init__(self, poller: "Poller", channel: str) -> None:
        self._poller = poller
        self.channel = channel

    def handle_readable(self, sock: Any) -> None:
        self._poller.fire(Event.create("_read", sock), self.channel)

    def handle_writable(self, sock: Any) -> None:
        self._poller.fire(Event.create("_write", sock), self.channel)

    def handle_hangup(self, sock: Any) -> None:
        self._poller.discard(sock)
        self._poller.fire(Event.create("_disconnect", sock), self.channel)


class Poller(BasePoller):
    """Watch sockets with one epoll object; resets are reported until a socket is discarded."""

    channel = "poller"

    def __init__(self) -> None:
        super().__init__()
        self._epoll = select.epoll()
        self._masks: dict[Any, int] = {}
        self._watched: dict[int, Any] = {}
        self._sources: dict[Any, DirectSource] = {}
        self._epoll.register(self._ctrl_recv, select.EPOLLIN)

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Start reporting when a socket is readable."""
        self._set_source(source, fd)
        self._set_mask(fd, self._masks.get(fd, 0) | select.EPOLLIN)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Start reporting when a socket is writable."""
        self._set_source(source, fd)
        self._set_mask(fd, self._masks.get(fd, 0) | select.EPOLLOUT)

    def removeReader(self, fd: Any) -> None:  # noqa: N802
        """Stop reporting when a socket is readable; resets are still reported."""
        if fd in self._masks:
            self._set_mask(fd, self._masks[fd] & ~select.EPOLLIN)

    def removeWriter(self, fd: Any) -> None:  # noqa: N802
        """Stop reporting when a socket is writable; resets are still reported."""
        if fd in self._masks:
            self._set_mask(fd, self._masks[fd] & ~select.EPOLLOUT)

    def isReading(self, fd: Any) -> bool:  # noqa: N802
        """Return whether readability is reported."""
        return bool(self._masks.get(fd, 0) & select.EPOLLIN)

    def isWriting(self, fd: Any) -> bool:  # noqa: N802
        """Return whether writability is reported."""
        return bool(self._masks.get(fd, 0) & select.EPOLLOUT)

    def discard(self, fd: Any) -> None:
        """Stop watching a socket; must be called before the socket is closed."""
        if self._masks.pop(fd, None) is None:
            return
        del self._sources[fd]
        descriptor = _get_descriptor(fd)
        if self._watched.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def getTarget(self, fd: Any) -> Any:  # noqa: N802
        """Return the channel of the component that owns a socket."""
        return getattr(self._sources.get(fd), "channel", "*")

    def _set_source(self, source: Any, fd: Any) -> None:
        if fd not in self._sources:
            direct = hasattr(source, "handle_readable")
            self._sources[fd] = source if direct else _EventSource(self, source.channel)

    def _set_mask(self, fd: Any, mask: int) -> None:
        descriptor = _get_descriptor(fd)
        current = self._masks.get(fd)
        if current == mask:
            return
        self._masks[fd] = mask
        if current is None:
            self._epoll.register(descriptor, mask)
            self._watched[descriptor] = fd
        else:
            self._epoll.modify(descriptor, mask)

    def _generate_events(self, event: Any) -> None:
        timeout = event.time_left
        for descriptor, events in self._epoll.poll(timeout if timeout >= 0 else None):
            if descriptor == self._ctrl_recv:
                os.read(descriptor, 1)
            else:
                self._dispatch(descriptor, events)

    def _dispatch(self, descriptor: int, events: int) -> None:
        fd = self._watched.get(descriptor)
        if fd is None:
            return
        source = self._sources[fd]
        if events & _HANGUP and not events & select.EPOLLIN:
            source.handle_hangup(fd)
            return
        if events & select.EPOLLIN:
            source.handle_readable(fd)
        if events & select.EPOLLOUT and self._watched.get(descriptor) is fd:
            source.handle_writable(fd)


def _get_descriptor(fd: Any) -> int:
    return fd if isinstance(fd, int) else int(fd.fileno())
