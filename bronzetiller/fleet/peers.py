"""Exchange typed messages with the other nodes of the fleet."""

import itertools
from collections.abc import Callable
from socket import socket
from typing import Any, TypeVar

from attrs import define, field, frozen
from circuits import handler
from circuits.net.sockets import TCPServer
from result import Err, Ok, Result

from bronzetiller.logs import log_event
from bronzetiller.metrics import CONNECTED_PEERS, SENT_BYTES
from bronzetiller.net.dialer import Address, Connection, ConnectionHandlers, Dialer
from bronzetiller.net.loop import Loop
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.wire.messages import Message, Packet
from bronzetiller.wire.sessions import (
    Session,
    SessionHandlers,
    open_client_session,
    open_server_session,
)

CONNECT_SECONDS = 2.0
HANDSHAKE_SECONDS = 2.0
ACCEPTED_SILENCE_SECONDS = 30.0
REDIAL_SECONDS = 0.5
READ_BYTES = 64 * 1024
NOT_CONNECTED = "not connected"
TIMEOUT = "timeout"

M = TypeVar("M", bound=Message)
Reply = Callable[[Message], None]
ResponseCallback = Callable[[Result[Message, str]], None]


@frozen
class PeerVm:
    """Describe a peer by id, listening address and distance: near, region, far or unknown."""

    node_id: str
    address: Address
    distance: str = "unknown"


@define(eq=False)
class _PendingRequest:
    node_id: str
    on_response: ResponseCallback
    timer: Timer


@define(eq=False)
class _Link:
    """Hold the outgoing connection to one peer, which is redialled whenever it is lost."""

    vm: PeerVm
    connection: Connection | None = None
    session: Session | None = None
    last_received_at: float = float("-inf")
    removed: bool = False


class _PeerListener(TCPServer):
    """Accept the connections that peers dial."""

    def __init__(self, host: str, port: int, peers: "Peers") -> None:
        super().__init__((host, port), channel="peers", bufsize=READ_BYTES)
        self._peers = peers
        self._sessions: dict[socket, Session] = {}
        self._last_received_at: dict[socket, float] = {}

    def close_silent(self, now: float) -> None:
        """Close connections that have received nothing for ACCEPTED_SILENCE_SECONDS."""
        for sock, last_received_at in list(self._last_received_at.items()):
            if now - last_received_at > ACCEPTED_SILENCE_SECONDS:
                self._close(sock)

    @handler("connect")
    def _on_connect(self, sock: socket, *peer: Any) -> None:
        session = self._peers.accept(
            lambda data: self.write(sock, data) if sock in self._clients else None,
            lambda: self._close(sock),
        )
        self._sessions[sock] = session
        self._last_received_at[sock] = self._peers.now()

    @handler("read")
    def _on_received(self, sock: socket, data: bytes) -> None:
        session = self._sessions.get(sock)
        if session is not None:
            self._last_received_at[sock] = self._peers.now()
            session.feed(data)

    @handler("disconnect")
    def _on_closed(self, sock: socket) -> None:
        self._last_received_at.pop(sock, None)
        self._sessions.pop(sock, None)

    @handler("error")
    def _on_error(self, *args: Any) -> None:
        """Ignore socket errors, as a disconnect event follows each of them."""


@define(eq=False)
class Peers:
    """Keep a connection to every peer; send messages and match responses to requests."""

    _scheduler: Scheduler
    _dialer: Dialer
    _node_id: str
    _secret: bytes
    _links: dict[str, _Link] = field(factory=dict)
    _pending_requests: dict[int, _PendingRequest] = field(factory=dict)
    _handlers: dict[type, Callable[[Any, Reply], None]] = field(factory=dict)
    _packet_numbers: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def listen(self, loop: Loop, host: str, port: int) -> int:
        """Accept connections from peers; return the port."""
        listener = _PeerListener(host, port, self)
        self._scheduler.call_every(
            ACCEPTED_SILENCE_SECONDS / 4, lambda: listener.close_silent(self.now())
        )
        return int(listener.register(loop.root).port)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._scheduler.now()

    def on(self, message_class: type[M], handle: Callable[[M, Reply], None]) -> None:
        """Register the handler of a message class; its reply goes to the sender."""
        self._handlers[message_class] = handle

    def set_peers(self, vms: list[PeerVm]) -> None:
        """Replace the set of peers to keep connections to."""
        wanted = {vm.node_id: vm for vm in vms if vm.node_id != self._node_id}
        for node_id, link in list(self._links.items()):
            if wanted.get(node_id) != link.vm:
                self._remove(node_id, link)
        for node_id, vm in wanted.items():
            if node_id not in self._links:
                link = self._links[node_id] = _Link(vm)
                self._dial(link)

    def connected(self) -> list[str]:
        """Return the ids of the peers with an open session."""
        return [
            node_id
            for node_id, link in self._links.items()
            if link.session is not None and link.session.open
        ]

    def send(self, node_id: str, message: Message) -> bool:
        """Send a message that expects no response; return False if the peer is not connected."""
        return self._transmit(node_id, Packet(next(self._packet_numbers), 0, message))

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected peer."""
        for node_id in self.connected():
            self.send(node_id, message)

    def request(
        self, node_id: str, message: Message, seconds: float, on_response: ResponseCallback
    ) -> None:
        """Send a request; call on_response with the response, or with an error after a timeout."""
        number = next(self._packet_numbers)
        timer = self._scheduler.call_after(seconds, lambda: self._fail_request(number, TIMEOUT))
        self._pending_requests[number] = _PendingRequest(node_id, on_response, timer)
        if not self._transmit(node_id, Packet(number, 0, message)):
            timer.cancel()
            self._scheduler.call_after(0, lambda: self._fail_request(number, NOT_CONNECTED))

    def is_silent(self, node_id: str, since: float) -> bool:
        """Return whether nothing was received from a peer since a time (seconds, monotonic)."""
        link = self._links.get(node_id)
        return link is None or link.last_received_at < since

    def drop_link(self, node_id: str) -> None:
        """Close the connection to an unresponsive peer, so that it is redialled."""
        link = self._links.get(node_id)
        if link is not None:
            self._close_link(link, "silent")

    def accept(self, write: Callable[[bytes], None], close: Callable[[], None]) -> Session:
        """Open the server session of an accepted connection."""
        session: Session

        def receive(packet: Packet) -> None:
            self._receive(packet, session)

        handlers = SessionHandlers(write, lambda: None, receive, close)
        session = open_server_session(self._secret, handlers)
        return session

    def _transmit(self, node_id: str, packet: Packet) -> bool:
        link = self._links.get(node_id)
        if link is None or link.session is None or not link.session.open:
            return False
        self._count_bytes(node_id, packet.message, link.session.send(packet))
        return True

    def _count_bytes(self, node_id: str, message: Message, size: int) -> None:
        link = self._links.get(node_id)
        distance = "unknown" if link is None else link.vm.distance
        SENT_BYTES.labels(type(message).__name__, distance).inc(size)

    def _dial(self, link: _Link) -> None:
        if link.removed:
            return
        connection: Connection

        def connected() -> None:
            handlers = SessionHandlers(
                connection.write,
                opened,
                lambda packet: self._receive(packet, link.session),
                lambda: self._close_link(link, "closed by the session"),
            )
            self._scheduler.call_after(HANDSHAKE_SECONDS, check_handshake)
            address = str(link.vm.address)
            link.session = open_client_session(self._secret, self._node_id, address, handlers)

        def opened() -> None:
            log_event("peer_connected", peer=link.vm.node_id)
            CONNECTED_PEERS.set(len(self.connected()))

        def check_handshake() -> None:
            if link.connection is connection and link.session and not link.session.open:
                self._close_link(link, "handshake: timeout")

        def received(data: bytes) -> None:
            link.last_received_at = self._scheduler.now()
            if link.session is not None:
                link.session.feed(data)

        handlers = ConnectionHandlers(
            connected, received, lambda cause: self._handle_disconnect(link, cause)
        )
        connection = self._dialer.dial(link.vm.address, CONNECT_SECONDS, handlers)
        link.connection = connection

    def _close_link(self, link: _Link, cause: str) -> None:
        if link.connection is not None:
            link.connection.close()
            self._handle_disconnect(link, cause)

    def _handle_disconnect(self, link: _Link, cause: str) -> None:
        if link.session is not None and link.session.open:
            log_event("peer_lost", level=30, peer=link.vm.node_id, cause=cause)
        link.session = None
        link.connection = None
        CONNECTED_PEERS.set(len(self.connected()))
        self._fail_requests(link.vm.node_id)
        self._scheduler.call_after(REDIAL_SECONDS, lambda: self._dial(link))

    def _remove(self, node_id: str, link: _Link) -> None:
        del self._links[node_id]
        link.removed = True
        CONNECTED_PEERS.set(len(self.connected()))
        if link.connection is not None:
            link.connection.close()
        self._fail_requests(node_id)

    def _receive(self, packet: Packet, session: Session | None) -> None:
        if packet.reply_to:
            pending = self._pending_requests.pop(packet.reply_to, None)
            if pending is not None:
                pending.timer.cancel()
                pending.on_response(Ok(packet.message))
            return
        handle = self._handlers.get(type(packet.message))
        if handle is None or session is None:
            return

        def reply(message: Message) -> None:
            sent = session.send(Packet(next(self._packet_numbers), packet.number, message))
            self._count_bytes(session.peer_id, message, sent)

        handle(packet.message, reply)

    def _fail_requests(self, node_id: str) -> None:
        for number, pending in list(self._pending_requests.items()):
            if pending.node_id == node_id:
                self._fail_request(number, "connection lost")

    def _fail_request(self, number: int, cause: str) -> None:
        pending = self._pending_requests.pop(number, None)
        if pending is not None:
            pending.timer.cancel()
            pending.on_response(Err(cause))
