"""Derive from a machine what its callers may hold: bytes and connections.

Designed for machines of 80 MB and 300 descriptors upwards.
"""

from collections import Counter
from collections.abc import Callable, Hashable

from attrs import define, evolve, field, frozen
from attrs.validators import ge, optional

from bronzetiller.metrics import CALLER_CONNECTIONS, HELD_BYTES
from bronzetiller.net.buffer_quota import BufferQuota
from bronzetiller.net.cut_reports import CutReports

MEGABYTE = 1024 * 1024
HELD_BYTES_DEFAULT = 96 * MEGABYTE  # where the machine's memory is not stated
HELD_BYTES_MIN = 6 * MEGABYTE  # for one body of 4 MiB in the portion for large ones
HELD_PORTION = 1 / 2  # of the memory left; the rest is for what holds the bytes, and for records
FILE_DESCRIPTORS = 200  # of the machine's, for files
LINK_DESCRIPTORS_PORTION = 0.05  # for the store, peers and listeners
IDLE_PORTION = 0.1  # for idle connections to targets
LOOKUP_PORTION = 0.25  # of the callers' connections, so that callers still find other nodes


@frozen
class MachineLimits:
    """State the memory (MB) and the file descriptors that a machine gives a process."""

    memory_mb: int | None = field(default=None, validator=optional(ge(64)))
    descriptors: int | None = field(default=None, validator=optional(ge(256)))


def compute_held_bytes(memory_mb: int | None, idle_mb: int) -> int:
    """Return how many bytes a process may hold for others beside what it needs when idle."""
    if memory_mb is None:
        return HELD_BYTES_DEFAULT
    return max(HELD_BYTES_MIN, int((memory_mb - idle_mb) * HELD_PORTION * MEGABYTE))


def compute_idle_connections(descriptors: int | None) -> int | None:
    """Return how many connections to targets may be kept idle."""
    return None if descriptors is None else int(descriptors * IDLE_PORTION)


def compute_caller_connections(descriptors: int | None) -> int | None:
    """Return how many connections callers may have, each with one to a target beside it."""
    if descriptors is None:
        return None
    reserved = FILE_DESCRIPTORS * min(1.0, descriptors / 1_000)
    reserved += descriptors * (LINK_DESCRIPTORS_PORTION + IDLE_PORTION)
    return int((descriptors - reserved) / (2 + LOOKUP_PORTION))


@define(eq=False)
class CallerConnections:
    """Hold the connections of callers, and which of them may be closed for a new one.

    The one that is idle for longest goes first, then the one that has been sending a request for
    longest, of the group with most of these: ordinary requests arrive within milliseconds.
    """

    connections_max: int | None = None
    count: int = 0
    on_cut: Callable[[str], None] = lambda cut: None
    _idle: dict[object, Callable[[], None]] = field(factory=dict)
    _sending: dict[object, tuple[Hashable, Callable[[], None]]] = field(factory=dict)
    _group_counts: Counter[Hashable] = field(factory=Counter)

    def mark_idle(self, connection: object, close: Callable[[], None]) -> None:
        """Record that a connection waits for a request, as the last one to do so."""
        self.mark_busy(connection)
        self._idle[connection] = close

    def mark_sending(self, connection: object, group: Hashable) -> None:
        """Record that the caller of an idle connection has begun to send a request."""
        close = self._idle.pop(connection, None)
        if close is not None:
            self._sending[connection] = group, close
            self._group_counts[group] += 1

    def mark_busy(self, connection: object) -> None:
        """Record that a connection must not be closed, or no longer exists."""
        self._idle.pop(connection, None)
        group, _ = self._sending.pop(connection, (None, None))
        if group is not None:
            self._group_counts[group] -= 1
            if not self._group_counts[group]:
                del self._group_counts[group]

    def has_room(self) -> bool:
        """Return whether one more is allowed."""
        return self.connections_max is None or self.count < self.connections_max

    def make_room(self) -> bool:
        """Close a connection for a new one; return whether there was one to close."""
        close = next(iter(self._idle.values()), None)
        cut = "idle_connection"
        if close is None and self._sending:
            most = max(self._group_counts.values())
            candidates = self._sending.values()
            close = next(end for group, end in candidates if self._group_counts[group] == most)
            cut = "sending_connection"
        if close is None:
            self.on_cut("accepting")
            return False
        self.on_cut(cut)
        close()
        return True


@define(eq=False)
class CallerLimits:
    """Hold the quota that all listeners of a process share, and the connections of some."""

    quota: BufferQuota
    response_quota: BufferQuota  # of targets' responses that are not passed on
    connections: CallerConnections = field(factory=CallerConnections)
    is_peer: Callable[[str], bool] = lambda ip: False

    def make_for_lookups(self) -> "CallerLimits":
        """Return the limits of a listener for lookups, with connections of its own."""
        callers_max = self.connections.connections_max
        lookups_max = None if callers_max is None else int(callers_max * LOOKUP_PORTION)
        connections = CallerConnections(lookups_max, on_cut=self.connections.on_cut)
        return evolve(self, connections=connections)

    def make_for_operators(self) -> "CallerLimits":
        """Return the limits of a listener that the operators' callers alone reach."""
        return evolve(self, connections=CallerConnections())


def make_caller_limits(
    machine: MachineLimits,
    idle_mb: int,
    now: Callable[[], float],
    is_peer: Callable[[str], bool] = lambda ip: False,
) -> CallerLimits:
    """Return the limits of a process that needs idle_mb when it serves nobody.

    Callers and targets share one quota if the machine's memory is stated.
    """
    reports = CutReports(now)
    held_bytes = compute_held_bytes(machine.memory_mb, idle_mb)
    quota = BufferQuota(held_bytes, on_drop=reports.report_buffer)
    connections = CallerConnections(
        compute_caller_connections(machine.descriptors),
        on_cut=lambda cut: reports.report(cut, connections=connections.count),
    )
    HELD_BYTES.set_function(lambda: quota.total_bytes)
    CALLER_CONNECTIONS.set_function(lambda: connections.count)
    response_quota = quota
    if machine.memory_mb is None:
        response_quota = BufferQuota(on_drop=reports.report_buffer)
    return CallerLimits(quota, response_quota, connections, is_peer)
