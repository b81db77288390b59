"""Queue requests by workspace and serve each in proportion to its weight; reads no clock.

The order is start-time fair queueing: the start tag of a request is the virtual time at which the
earlier requests of its workspace would finish if it were served at exactly its share.
"""

import heapq
import itertools
import math
from collections import Counter
from typing import Generic, TypeVar

from attrs import define, field, frozen

T = TypeVar("T")

TIME_CONSTANT_SECONDS = 5.0
SAMPLES_MIN = 5
COMPACTED_ENTRIES_MIN = 64


@define(eq=False)
class Ticket(Generic[T]):
    """Hold one queued request; cost is in tokens, the deadline in monotonic seconds."""

    workspace: str
    weight: int
    cost: float
    deadline: float
    item: T
    start_tag: float
    waiting: bool = True


@frozen
class PushResult(Generic[T]):
    """Hold the ticket of a push, or None if it was rejected, and the ticket it evicted."""

    ticket: Ticket[T] | None
    evicted: Ticket[T] | None = None


@define(eq=False)
class RateMeter:
    """Estimate a rate per second from amounts that decay exponentially with the time constant."""

    time_constant_seconds: float = TIME_CONSTANT_SECONDS
    _amount: float = 0.0
    _samples: int = 0
    _started_at: float = 0.0
    _last_at: float = 0.0

    def record(self, amount: float, now: float) -> None:
        """Add an amount."""
        if not self._samples:
            self._started_at = now
        self._amount = (
            self._amount * math.exp((self._last_at - now) / self.time_constant_seconds) + amount
        )
        self._last_at = now
        self._samples += 1

    def estimate(self, now: float) -> float | None:
        """Return the rate, or None while there are too few samples."""
        elapsed = now - self._started_at
        if self._samples < SAMPLES_MIN or elapsed <= 0:
            return None
        decayed = self._amount * math.exp((self._last_at - now) / self.time_constant_seconds)
        return decayed / (
            self.time_constant_seconds * -math.expm1(-elapsed / self.time_constant_seconds)
        )


@define(eq=False)
class FairQueue(Generic[T]):
    """Hold at most size_max queued requests of all workspaces together."""

    size_max: int
    _heap: list[tuple[float, int, Ticket[T]]] = field(factory=list)
    _order: "itertools.count[int]" = field(factory=itertools.count)
    _virtual_time: float = 0.0
    _finish_tags: dict[str, float] = field(factory=dict)
    _backlog: Counter[str] = field(factory=Counter)
    _weights: dict[str, int] = field(factory=dict)

    def __len__(self) -> int:
        return self._backlog.total()

    def count(self, workspace: str) -> int:
        """Return how many requests of a workspace are queued."""
        return self._backlog[workspace]

    def push(
        self, workspace: str, weight: int, cost: float, deadline: float, item: T
    ) -> PushResult[T]:
        """Add a request; if the queue is full, evict one of a workspace above its share."""
        evicted = None
        if len(self) >= self.size_max:
            evicted = self._evict_for(workspace, weight)
            if evicted is None:
                return PushResult(None)
        tag = max(self._virtual_time, self._finish_tags.get(workspace, 0.0))
        self._finish_tags[workspace] = tag + cost / weight
        self._weights[workspace] = weight
        ticket = Ticket(workspace, weight, cost, deadline, item, tag)
        self._backlog[workspace] += 1
        heapq.heappush(self._heap, (tag, next(self._order), ticket))
        return PushResult(ticket, evicted)

    def pop(self) -> Ticket[T] | None:
        """Remove and return the next request."""
        while self._heap:
            tag, _, ticket = heapq.heappop(self._heap)
            if ticket.waiting:
                self._virtual_time = max(self._virtual_time, tag)
                self._remove(ticket)
                return ticket
        return None

    def cancel(self, ticket: Ticket[T]) -> None:
        """Remove a request."""
        if ticket.waiting:
            self._remove(ticket)
            self._compact()

    def expire(self, now: float) -> list[Ticket[T]]:
        """Remove and return the requests whose deadline has passed."""
        expired = [item for _, _, item in self._heap if item.waiting and item.deadline <= now]
        for ticket in expired:
            self.cancel(ticket)
        return expired

    def sum_cost_before(self, workspace: str) -> float:
        """Return the total cost queued ahead of a new request of the workspace."""
        tag = max(self._virtual_time, self._finish_tags.get(workspace, 0.0))
        return sum(
            item.cost for start_tag, _, item in self._heap if item.waiting and start_tag <= tag
        )

    def _remove(self, ticket: Ticket[T]) -> None:
        ticket.waiting = False
        workspace = ticket.workspace
        self._backlog[workspace] -= 1
        if not self._backlog[workspace]:
            del self._backlog[workspace]
            del self._weights[workspace]
            if not self._backlog:
                self._finish_tags.clear()

    def _evict_for(self, workspace: str, weight: int) -> Ticket[T] | None:
        weights = self._weights | {workspace: weight}
        total = sum(weights.values())

        def find_excess(name: str) -> float:
            return self._backlog[name] - self.size_max * weights[name] / total

        most_over_share = max(self._backlog, key=find_excess)
        if (
            most_over_share == workspace
            or self._backlog[workspace] + 1 > self.size_max * weight / total
        ):
            return None
        newest = max(
            (
                entry
                for entry in self._heap
                if entry[2].waiting and entry[2].workspace == most_over_share
            ),
        )[2]
        self._finish_tags[most_over_share] = newest.start_tag
        self._remove(newest)
        return newest

    def _compact(self) -> None:
        if len(self._heap) > COMPACTED_ENTRIES_MIN + 2 * len(self):
            self._heap = [entry for entry in self._heap if entry[2].waiting]
            heapq.heapify(self._heap)
