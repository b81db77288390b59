"""Send many requests over raw sockets without reading the responses, and discard requests.

Designed for a few hundred callers of one test: one thread drives all sockets.
"""

import contextlib
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

RECEIVE_BYTES = 4_096  # of a caller's socket, so that responses stay at the node
QUIET_SECONDS = 1.0  # without progress, after which the node is taken to have stopped reading
GAP_SECONDS = 0.02  # between two callers that send in turn, for the node to read what one sent


@define(eq=False)
class Crowd:
    """Hold the connections of many callers, which stay open until close.

    They send all at once or, with in_turn, one after another. on_progress is called now and then.
    """

    address: str
    in_turn: bool = False
    on_progress: Callable[[], None] = lambda: None
    source_ip: str = "127.0.0.1"
    _sockets: list[socket.socket] = field(factory=list)

    def send(self, requests: Iterable[Iterable[bytes]]) -> None:
        """Send the parts of each request on a connection of its own, as far as the node reads."""
        waiting = deque(requests)
        progress_at = time.monotonic()
        with selectors.DefaultSelector() as selector:
            while waiting or selector.get_map():
                while waiting and not (self.in_turn and selector.get_map()):
                    self._connect(selector, waiting.popleft())
                for key, _ in selector.select(0.05):
                    if not self._send_some(key):
                        selector.unregister(key.fileobj)
                        time.sleep(GAP_SECONDS if self.in_turn else 0)
                    progress_at = time.monotonic()
                self.on_progress()
                if time.monotonic() - progress_at > QUIET_SECONDS:
                    for key in list(selector.get_map().values()):
                        selector.unregister(key.fileobj)
                    progress_at = time.monotonic()

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    def _connect(self, selector: selectors.BaseSelector, parts: Iterable[bytes]) -> None:
        ip, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.settimeout(10)
        self._sockets.append(sock)
        with contextlib.suppress(OSError):
            sock.bind((self.source_ip, 0))
            sock.connect((ip, int(port)))
            sock.setblocking(False)
            selector.register(sock, selectors.EVENT_WRITE, _Unsent(iter(parts)))

    def _send_some(self, key: selectors.SelectorKey) -> bool:
        """Send as much as the socket takes; return whether anything is left to send."""
        unsent, sock = key.data, key.fileobj
        assert isinstance(sock, socket.socket)
        try:
            while unsent.load():
                unsent.part = unsent.part[sock.send(unsent.part) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


@define(eq=False)
class _Unsent:
    parts: Iterator[bytes]
    part: memoryview = memoryview(b"")

    def load(self) -> bool:
        """Fetch the next part once the current one is sent; return whether there is one."""
        if not self.part:
            self.part = memoryview(next(self.parts, b""))
        return bool(self.part)


@define(eq=False)
class SilentTarget:
    """Accept connections and never respond; unless reads is set, nothing is read either."""

    reads: bool = True
    _listener: socket.socket = field(init=False)
    _selector: selectors.BaseSelector = field(factory=selectors.DefaultSelector)
    _closed: threading.Event = field(factory=threading.Event)

    def __attrs_post_init__(self) -> None:
        self._listener = socket.socket()
        if not self.reads:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(1024)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address to register."""
        ip, port = self._listener.getsockname()
        return f"{ip}:{port}"

    def close(self) -> None:
        """Close the listener and all connections."""
        self._closed.set()

    def _run(self) -> None:
        sockets = [self._listener]
        while not self._closed.is_set():
            for key, _ in self._selector.select(0.1):
                sock = key.fileobj
                assert isinstance(sock, socket.socket)
                if sock is self._listener:
                    with contextlib.suppress(OSError):
                        sockets.append(self._accept())
                elif not self._read(sock):
                    self._selector.unregister(sock)
                    sock.close()
        for sock in sockets:
            sock.close()

    def _accept(self) -> socket.socket:
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        if self.reads:
            self._selector.register(sock, selectors.EVENT_READ)
        return sock

    def _read(self, sock: socket.socket) -> bool:
        try:
            return bool(sock.recv(1_000_000))
        except BlockingIOError:
            return True
        except OSError:
            return False
