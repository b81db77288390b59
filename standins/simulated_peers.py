"""Simulate the connections between nodes: messages cross the links with their encoded size."""

import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

from attrs import define, field
from result import Err, Ok

from bronzetiller.fleet.peers import REDIAL_SECONDS, PeerVm, Reply, ResponseCallback
from bronzetiller.net.scheduler import Timer
from bronzetiller.wire.codec import encode_packet
from bronzetiller.wire.messages import FetchRecords, Message, Packet
from standins.shared_link import FakeConnection, HostScheduler, Network

FRAME_BYTES = 14  # of a websocket message


def describe_message(message: Message) -> str:
    """Return the type of a message, and its topic if it has one."""
    topic = getattr(message, "topic", None)
    name = type(message).__name__
    return name if topic is None else f"{name} {topic}"


@define(eq=False)
class _Pending:
    node_id: str
    on_response: ResponseCallback
    timer: Timer


@define(eq=False)
class _PeerLink:
    """Hold the connection that this node dialled to a peer."""

    connection: FakeConnection | None = None
    dial_at: float = 0.0
    last_received_at: float = float("-inf")


@define(eq=False)
class SimulatedPeers:
    """Exchange messages with the other nodes like bronzetiller.fleet.peers.Peers.

    Connections are open as soon as they are needed and the peer's process runs; one that was lost
    is opened again after a pause.
    """

    directory: dict[str, "SimulatedPeers"]
    network: Network
    scheduler: HostScheduler
    node_id: str
    run: Callable[[Callable[[], None]], None]  # runs an action in the node's process
    is_running: Callable[[], bool]
    handlers: dict[type, Callable[[Any, Reply], None]] = field(factory=dict)
    sent_responses: Counter[tuple[str, str]] = field(factory=Counter)  # by topic and receiver
    _links: dict[str, _PeerLink] = field(factory=dict)
    _wanted: set[str] = field(factory=set)
    _pending: dict[int, _Pending] = field(factory=dict)
    _numbers: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    def now(self) -> float:
        return self.scheduler.now()

    def on(self, message_class: type, handle: Callable[[Any, Reply], None]) -> None:
        """Register the handler of a message class."""
        self.handlers[message_class] = handle

    def set_peers(self, vms: list[PeerVm]) -> None:
        """Replace the set of peers that connected names."""
        self._wanted = {vm.node_id for vm in vms}

    def connected(self) -> list[str]:
        """Return the ids of the peers with an open connection."""
        return [node_id for node_id in self._wanted if self._open(node_id) is not None]

    def is_silent(self, node_id: str, since: float) -> bool:
        """Return whether nothing was received from a peer since a time (seconds, monotonic)."""
        link = self._links.get(node_id)
        return link is None or link.last_received_at < since

    def drop_link(self, node_id: str) -> None:
        """Close the connection to a peer, so that it is opened again."""
        link = self._links.get(node_id)
        if link is not None and link.connection is not None:
            link.connection.close()
            self._lose(node_id)

    def send(self, node_id: str, message: Message) -> bool:
        """Send a message that expects no response; return False if the peer is not connected."""
        return self._transmit(node_id, Packet(next(self._numbers), 0, message))

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected peer."""
        for node_id in self.connected():
            self.send(node_id, message)

    def request(
        self, node_id: str, message: Message, seconds: float, on_response: ResponseCallback
    ) -> None:
        """Send a request; call on_response with the response, or with an error after a timeout."""
        number = next(self._numbers)
        timer = self.scheduler.call_after(seconds, lambda: self._fail(number, "timeout"))
        self._pending[number] = _Pending(node_id, on_response, timer)
        if not self._transmit(node_id, Packet(number, 0, message)):
            timer.cancel()
            self.scheduler.call_after(0, lambda: self._fail(number, "not connected"))

    def close_all(self) -> None:
        """Close all connections, as the end of the process does."""
        for node_id in list(self._links):
            self.drop_link(node_id)
        own_names = [name for name, peers in self.directory.items() if peers is self]
        for peer in set(self.directory.values()) - {self}:
            for name in own_names:
                peer.drop_link(name)

    def _open(self, node_id: str) -> _PeerLink | None:
        link = self._links.setdefault(node_id, _PeerLink())
        if link.connection is not None:
            return link
        peer = self.directory.get(node_id)
        if peer is None or not peer.is_running() or self.now() < link.dial_at:
            return None
        if (self.node_id, peer.node_id) in self.network.cuts:
            return None
        link.connection = FakeConnection(self.network, self.node_id, peer.node_id)
        return link

    def _lose(self, node_id: str) -> None:
        link = self._links[node_id]
        link.connection = None
        link.dial_at = self.now() + REDIAL_SECONDS
        for number, pending in list(self._pending.items()):
            if pending.node_id == node_id:
                self._fail(number, "connection lost")

    def _transmit(self, node_id: str, packet: Packet) -> bool:
        link = self._open(node_id)
        if link is None or link.connection is None:
            return False
        connection = link.connection
        peer = self.directory[node_id]

        def receive(size: int, last: bool) -> None:
            if last:
                peer.run(lambda: peer.handle(packet, self, connection, link))

        size = len(encode_packet(packet)) + FRAME_BYTES
        connection.requests.send(size, describe_message(packet.message), receive)
        return True

    def handle(
        self, packet: Packet, sender: "SimulatedPeers", connection: FakeConnection, link: _PeerLink
    ) -> None:
        """Handle a message that a peer sent over its connection to this node."""
        handle = self.handlers.get(type(packet.message))
        if handle is None:
            return
        kind = type(packet.message).__name__
        if isinstance(packet.message, FetchRecords):
            kind = packet.message.topic

        def reply(message: Message) -> None:
            name = f"{describe_message(message)} to {kind}"
            self.sent_responses[kind, sender.node_id] += 1

            def receive(size: int, last: bool) -> None:
                sender.run(lambda: deliver(size, last))

            def deliver(size: int, last: bool) -> None:
                link.last_received_at = sender.now()
                if packet.number not in sender._pending:
                    if self.network.is_far(self.node_id, sender.node_id):
                        self.network.discarded_bytes[name] += size
                elif last:
                    sender._succeed(packet.number, message)

            size = len(encode_packet(Packet(0, packet.number, message))) + FRAME_BYTES
            connection.responses.send(size, name, receive)

        handle(packet.message, reply)

    def _succeed(self, number: int, message: Message) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.timer.cancel()
            pending.on_response(Ok(message))

    def _fail(self, number: int, cause: str) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.timer.cancel()
            pending.on_response(Err(cause))
