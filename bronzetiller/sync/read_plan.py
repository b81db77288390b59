"""Decide where the next read of a partition goes: to which peers, and whether to the store; no I/O.

The load it is made for: all nodes of a region lose the store at once, and regain it at once over a
link that they share. Only readers and deputies go on asking the store; a member does so if the
store has just answered it, but none of its sources, and these still have nothing after a random
delay, within which the first nodes of the region that read offer their data to the sources.
"""

import math
from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.sync.backoff import Backoff
from bronzetiller.sync.sources import Role, Sources

AWAY_AVOID_SECONDS = 0.3  # after a peer said that it has no current data
SILENT_AVOID_SECONDS = 1.0  # after a peer did not respond
MEMBER_DELAY_SECONDS_PER_NODE = 0.03
MEMBER_DELAY_SECONDS_MAX = 3.0
# A source that reaches the store has data soon; after so long its words no longer count.
EXPECTED_SECONDS_MAX = 2.5
EXPECTED_SECONDS = 1.0  # each time that a source says so
ANSWERED_SECONDS_MAX = 3.0  # the store counts as reachable for so long after it answered
# While the store does not answer, readers and deputies ask their peers more often than the store.
STORE_RETRY_SECONDS_MIN = 0.4
STORE_RETRY_SECONDS_MAX = 2.0


@frozen
class BehindPeer:
    """Hold the position that a peer has read to, and its own time when it said so."""

    end: int
    stated_at: float | None = None


@define
class ReadPlan:
    """Hold what is known of the sources of one partition (times in monotonic seconds).

    _behind holds the peers without current data.
    """

    _draw_uniform: Callable[[], float]
    _avoided_until: dict[str, float] = field(factory=dict)
    _behind: dict[str, BehindPeer] = field(factory=dict)
    _direct_from: float | None = None
    _expected_from: float | None = None
    _expected_until: float = -math.inf
    _store_avoided_until: float = -math.inf
    _store_backoff: Backoff = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._store_backoff = Backoff(
            STORE_RETRY_SECONDS_MIN, STORE_RETRY_SECONDS_MAX, self._draw_uniform
        )

    def prefers_store(self, sources: Sources, now: float) -> bool:
        """Return whether to ask the store before the peers."""
        return sources.role is Role.READER and now >= self._store_avoided_until

    def list_peers(self, sources: Sources, now: float) -> list[str]:
        """Return the peers to ask now, the best first."""
        return [peer for peer in sources.peers if self._avoided_until.get(peer, -math.inf) <= now]

    def may_read_store(self, sources: Sources, now: float, answered_at: float) -> bool:
        """Return whether to ask the store, which last answered any call at answered_at."""
        if sources.role is Role.READER:
            return True
        if sources.role is Role.DEPUTY:
            return now >= self._store_avoided_until
        if now < self._expected_until:
            return False
        if self._direct_from is None:
            delay = min(
                MEMBER_DELAY_SECONDS_MAX, MEMBER_DELAY_SECONDS_PER_NODE * sources.region_nodes
            )
            self._direct_from = now + delay * self._draw_uniform()
        return now >= self._direct_from and now - answered_at <= ANSWERED_SECONDS_MAX

    def record_peer_read(self) -> None:
        """Record that a peer had current data."""
        self._direct_from = self._expected_from = None
        self._behind.clear()

    def record_store_read(self) -> None:
        """Record that the store answered."""
        self._store_backoff.reset()
        self._store_avoided_until = -math.inf

    def record_store_lost(self, now: float) -> None:
        """Record that the store did not answer; a member delays its next read again."""
        self._direct_from = None
        self._store_avoided_until = now + self._store_backoff.next_seconds()

    def record_peer_away(
        self, peer: str, behind: BehindPeer | None, now: float, *, reaches_store: bool = False
    ) -> None:
        """Record that a peer has no current data, and what it has read, if it accepts offers."""
        self._avoided_until[peer] = now + AWAY_AVOID_SECONDS
        self._behind.pop(peer, None)
        if behind is not None:
            self._behind[peer] = behind
        if not reaches_store:
            return
        if self._expected_from is None:
            self._expected_from = now
        if now < self._expected_from + EXPECTED_SECONDS_MAX:
            self._expected_until = now + EXPECTED_SECONDS
            self._direct_from = None

    def expects_data(self, now: float) -> bool:
        """Return whether a source said that it has data soon."""
        return now < self._expected_until

    def record_peer_silent(self, peer: str, now: float) -> None:
        """Record that a peer did not respond."""
        self._avoided_until[peer] = now + SILENT_AVOID_SECONDS
        self._behind.pop(peer, None)

    def take_behind(self) -> dict[str, BehindPeer]:
        """Return and forget the peers without current data."""
        behind, self._behind = self._behind, {}
        return behind
