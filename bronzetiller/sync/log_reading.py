"""Decide how many records to read at once, and when a node turns to a farther source; no I/O."""

from collections.abc import Callable
from enum import Enum
from random import Random

from attrs import define, field

PAGE_RECORDS_START = 250
PAGE_RECORDS_MAX = 2_000
PAGE_SECONDS_MAX = 1.0
# A recovered node's heartbeat reaches the others within two ping intervals.
ELECTION_SECONDS_MIN = 1.0
ELECTION_SECONDS_MAX = 2.0
FALLBACK_RANK_MAX = 4
FALLBACK_SECONDS_PER_NODE = 0.1


class Wait(Enum):
    """Say what the follower of a stream waits for."""

    LOG = "a page of the log"
    PEER = "a page of a peer"
    TURN = "the log to respond, then its turn to read it"
    RETRY = "the next attempt after a failure"


def should_choose_again(
    wait: Wait, chosen: str | None, best: str | None, own_id: str, *, reads_log: bool
) -> bool:
    """Return whether a follower that waits since it chose one source should turn to the best now.

    own_id stands for the log; reads_log tells whether the chosen one, if it is a peer, reads it.
    """
    if best is None or best == chosen:
        return False
    match wait:
        case Wait.LOG:
            return False
        case Wait.PEER:
            return not reads_log
        case Wait.TURN:
            return best != own_id
        case Wait.RETRY:
            return True


@define
class PageSize:
    """Adapt the number of records of a page to the time that the last ones took to arrive."""

    records: int = PAGE_RECORDS_START

    def record_page(self, records: int, transfer_seconds: float) -> None:
        """Record a complete page and the time from its first byte to its last."""
        if transfer_seconds > PAGE_SECONDS_MAX:
            self.records = max(1, int(records * PAGE_SECONDS_MAX / transfer_seconds))
        elif records >= self.records and transfer_seconds < PAGE_SECONDS_MAX / 2:
            self.records = min(PAGE_RECORDS_MAX, 2 * self.records)

    def record_incomplete_page(self) -> None:
        """Record a page of which only a part arrived in time, or that was too large."""
        self.records = max(1, self.records // 4)


@define
class ReadOrder:
    """Space out the nodes of a data centre that turn to the same distant source.

    The rank is that of the node as its data centre's reader, from 0.
    """

    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)

    def choose_election_seconds(self, rank: int) -> float:
        """Return how long a node that regained the log waits for the heartbeats of others."""
        if rank == 0:
            return 0.0
        span = ELECTION_SECONDS_MAX - ELECTION_SECONDS_MIN
        return ELECTION_SECONDS_MIN + span * self._draw_uniform()

    def choose_fallback_seconds(self, rank: int, nodes: int, fallback_seconds: float) -> float:
        """Return how long a node without progress leaves a distant source to the readers."""
        if rank == 0:
            return fallback_seconds
        spread = FALLBACK_SECONDS_PER_NODE * nodes * self._draw_uniform()
        return fallback_seconds * (1 + min(rank, FALLBACK_RANK_MAX)) + spread
