"""Simulate the links of a fleet: each node's own link, and one between each two regions.

All links are first-in first-out queues without a limit. Connections have small windows, so a
transfer whose receiver has closed the connection ends after what is in flight.
"""

import time
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field, frozen

from bronzetiller.net.scheduler import CLOCK, Timeout, Timer
from standins.fake_scheduler import FakeScheduler

STORE = "store"
CHUNK_BYTES = 16 * 1024
WINDOW_BYTES = 64 * 1024
RETRANSMIT_SECONDS = 0.2  # doubles up to the maximum while packets are lost
HANDSHAKE_RETRANSMIT_SECONDS = 1.0
RETRANSMIT_SECONDS_MAX = 8.0
NEAR_SECONDS = 0.0005  # one way within a region
FAR_SECONDS = 0.03  # one way between regions
ROUNDING_SECONDS = 1e-6

Action = Callable[[], None]
ChunkReceiver = Callable[[int, bool], None]  # the bytes, and whether they are the last ones


@frozen
class Place:
    """Describe where a node is and how fast its link is."""

    node_id: str
    data_centre: str
    region: str
    link_mbps: float


@define(eq=False)
class Link:
    """Carry bytes in one direction, in the order in which they were sent."""

    scheduler: FakeScheduler
    bytes_per_second: float
    delay: float
    free_at: float = 0.0
    sent_bytes: Counter[str] = field(factory=Counter)

    def send(self, size: int, kind: str, deliver: Action) -> None:
        """Queue bytes; deliver runs when the last one has arrived."""
        start = max(self.scheduler.time, self.free_at)
        self.free_at = start + size / self.bytes_per_second
        self.sent_bytes[kind] += size
        self.scheduler.call_at(self.free_at + self.delay, deliver)

    @property
    def queue_seconds(self) -> float:
        """Return how long a byte that is sent now waits in the queue."""
        return max(0.0, self.free_at - self.scheduler.time)


@define(eq=False)
class Host:
    """Hold whether a node's process runs; one that is frozen continues where it stopped.

    suspended_seconds is the time that the monotonic clock of its VM has missed, lag_seconds how
    late its process handles what is due.
    """

    place: Place
    alive: bool = False
    frozen: bool = False
    incarnation: int = 0
    suspended_seconds: float = 0.0
    lag_seconds: float = 0.0
    suspended_at: float | None = None
    backlog: list[Action] = field(factory=list)

    @property
    def is_running(self) -> bool:
        return self.alive and not self.frozen

    def run(self, incarnation: int, action: Action) -> None:
        """Run an action of the process with this incarnation, once it is not frozen."""
        if not self.alive or incarnation != self.incarnation:
            return
        if self.frozen:
            self.backlog.append(action)
        else:
            action()


@define(eq=False)
class HostScheduler:
    """Schedule the actions of one process, which end with it."""

    _scheduler: FakeScheduler
    _host: Host
    _incarnation: int

    def now(self) -> float:
        if CLOCK == time.CLOCK_BOOTTIME:
            return self._scheduler.time
        return self._scheduler.time - self._host.suspended_seconds

    def call_at(self, deadline: float, action: Action) -> Timer:
        timer = Timer(deadline, action)

        def run() -> None:
            if timer.action is None:
                return
            if deadline - self.now() > ROUNDING_SECONDS:  # as the clock stood still
                self._scheduler.call_after(deadline - self.now(), expire)
            else:
                timer.action()

        def expire() -> None:
            if timer.action is not None:
                self._host.run(self._incarnation, run)

        delay = deadline - self.now() + self._host.lag_seconds
        self._scheduler.call_after(max(0.0, delay), expire)
        return timer

    def call_after(self, seconds: float, action: Action) -> Timer:
        return self.call_at(self.now() + seconds, action)

    def create_timeout(self, action: Action) -> Timeout:
        return Timeout(self, action)  # type: ignore[arg-type]

    def call_every(self, seconds: float, action: Action) -> None:
        def repeat() -> None:
            self.call_after(seconds, repeat)
            action()

        self.call_after(seconds, repeat)


@define(eq=False)
class Network:
    """Connect the hosts and the store; links between regions are shared by all traffic.

    discarded_bytes are those that crossed a link between regions after their receiver gave up.
    """

    scheduler: FakeScheduler
    shared_mbps: float
    store_region: str
    hosts: dict[str, Host] = field(factory=dict)
    shared_links: dict[tuple[str, str], Link] = field(factory=dict)
    cuts: set[tuple[str, str]] = field(factory=set)
    discarded_bytes: Counter[str] = field(factory=Counter)
    _own_links: dict[tuple[str, str], Link] = field(factory=dict)
    _paths: dict[tuple[str, str], list[Link]] = field(factory=dict)

    def add_host(self, place: Place) -> Host:
        """Add a node with a link of its own."""
        host = self.hosts[place.node_id] = Host(place)
        rate = place.link_mbps * 1_000_000 / 8
        self._own_links[place.node_id, "out"] = Link(self.scheduler, rate, NEAR_SECONDS)
        self._own_links[place.node_id, "in"] = Link(self.scheduler, rate, 0.0)
        return host

    def find_region(self, name: str) -> str:
        return self.store_region if name == STORE else self.hosts[name].place.region

    def find_shared_link(self, source_region: str, target_region: str) -> Link:
        """Return the link from one region to another."""
        key = (source_region, target_region)
        if key not in self.shared_links:
            rate = self.shared_mbps * 1_000_000 / 8
            self.shared_links[key] = Link(self.scheduler, rate, FAR_SECONDS)
        return self.shared_links[key]

    def is_far(self, source: str, target: str) -> bool:
        return self.find_region(source) != self.find_region(target)

    def cut(self, first: str, second: str) -> None:
        """Lose all packets between two ends."""
        self.cuts |= {(first, second), (second, first)}

    def heal(self) -> None:
        """End all cuts."""
        self.cuts.clear()

    def transmit(self, source: str, target: str, size: int, kind: str, deliver: Action) -> None:
        """Send bytes over all links between two ends."""
        path = self._paths.get((source, target))
        if path is None:
            path = self._paths[source, target] = self._find_path(source, target)
        _cross(path, 0, size, kind, deliver)

    def _find_path(self, source: str, target: str) -> list[Link]:
        path = []
        if source != STORE:
            path.append(self._own_links[source, "out"])
        if self.is_far(source, target):
            shared = self.find_shared_link(self.find_region(source), self.find_region(target))
            path.append(shared)
        if target != STORE:
            path.append(self._own_links[target, "in"])
        return path

    def count_shared_bytes(self) -> Counter[str]:
        """Return the bytes that were sent between regions so far, by kind."""
        total: Counter[str] = Counter()
        for link in self.shared_links.values():
            total.update(link.sent_bytes)
        return total


def _cross(path: list[Link], index: int, size: int, kind: str, deliver: Action) -> None:
    if index == len(path) - 1:
        path[index].send(size, kind, deliver)
    else:
        path[index].send(size, kind, partial(_cross, path, index + 1, size, kind, deliver))


@define(eq=False)
class _Transfer:
    left: int
    kind: str
    on_chunk: ChunkReceiver


@define(eq=False)
class Channel:
    """Carry transfers in one direction of a connection, within its window."""

    network: Network
    source: str
    target: str
    closed: bool = False  # at the receiver
    stopped: bool = False  # at the sender
    retransmit_seconds: float = RETRANSMIT_SECONDS
    _queue: deque[_Transfer] = field(factory=deque)
    _in_flight: int = 0
    _lost: list[tuple[int, str, ChunkReceiver, bool]] = field(factory=list)
    _timeouts: int = 0

    def send(self, size: int, kind: str, on_chunk: ChunkReceiver) -> None:
        """Send bytes; on_chunk runs for each part of them that arrives."""
        if not self.stopped:
            self._queue.append(_Transfer(size, kind, on_chunk))
            self._pump()

    def close(self) -> None:
        """Close the receiving end; the sender notices once it has been told."""
        self.closed = True

    def stop(self) -> None:
        """Stop sending."""
        self.stopped = True
        self._queue.clear()
        self._lost.clear()

    def _pump(self) -> None:
        while self._queue and self._in_flight < WINDOW_BYTES:
            transfer = self._queue[0]
            size = min(CHUNK_BYTES, transfer.left)
            transfer.left -= size
            if not transfer.left:
                self._queue.popleft()
            self._in_flight += size
            self._emit(size, transfer.kind, transfer.on_chunk, not transfer.left)

    def _emit(self, size: int, kind: str, on_chunk: ChunkReceiver, last: bool) -> None:
        if self._lost or (self.source, self.target) in self.network.cuts:
            self._lose(size, kind, on_chunk, last)
            return
        arrive = partial(self._arrive, size, kind, on_chunk, last)
        self.network.transmit(self.source, self.target, size, kind, arrive)

    def _lose(self, size: int, kind: str, on_chunk: ChunkReceiver, last: bool) -> None:
        if self.stopped:
            return
        self._lost.append((size, kind, on_chunk, last))
        if len(self._lost) == 1:
            delay = min(RETRANSMIT_SECONDS_MAX, self.retransmit_seconds * 2**self._timeouts)
            self._timeouts += 1
            self.network.scheduler.call_after(delay, self._retransmit)

    def _retransmit(self) -> None:
        lost, self._lost = self._lost, []
        for chunk in lost:
            self._emit(*chunk)

    def _arrive(self, size: int, kind: str, on_chunk: ChunkReceiver, last: bool) -> None:
        if (self.source, self.target) in self.network.cuts:
            self._lose(size, kind, on_chunk, last)
            return
        self._timeouts = 0
        if self.closed:
            if self.network.is_far(self.source, self.target):
                self.network.discarded_bytes[kind] += size
            return
        if self._queue:
            far = self.network.is_far(self.source, self.target)
            delay = FAR_SECONDS if far else NEAR_SECONDS
            self.network.scheduler.call_after(delay, partial(self._acknowledge, size))
        else:
            self._in_flight -= size
        on_chunk(size, last)

    def _acknowledge(self, size: int) -> None:
        self._in_flight -= size
        self._pump()


@define(eq=False)
class FakeConnection:
    """Connect two ends; one that closes it stops to read at once, the other when it is told."""

    network: Network
    client: str
    server: str
    requests: Channel = field(init=False)
    responses: Channel = field(init=False)
    on_server_close: Action = lambda: None
    closed: bool = False

    def __attrs_post_init__(self) -> None:
        self.requests = Channel(self.network, self.client, self.server)
        self.responses = Channel(self.network, self.server, self.client)

    def close(self) -> None:
        """Close the client's end."""
        if self.closed:
            return
        self.closed = True
        self.requests.stop()
        self.responses.close()
        if (self.client, self.server) not in self.network.cuts:
            self.network.transmit(self.client, self.server, 60, "close", self._close_server)

    def _close_server(self) -> None:
        self.responses.stop()
        self.on_server_close()


def describe_bytes(counts: Counter[str]) -> dict[str, Any]:
    """Return the counts in kilobytes, the largest first."""
    return {kind: round(size / 1000, 1) for kind, size in counts.most_common() if size >= 1000}
