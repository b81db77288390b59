"""Let requests through to their service as its targets have room, in the order of fair queues."""

import math
from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.errors import Reason, Refusal
from bronzetiller.metrics import QUEUED_REQUESTS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.queues import FairQueue, RateMeter, Ticket
from bronzetiller.routing.targets import TargetChooser

EXPIRY_SECONDS = 0.1
EARLY_SHARE = 0.75
RETRY_SECONDS_MIN = 1
RETRY_SECONDS_MAX = 60


@frozen
class Errand:
    """Describe a request that wants a target; one of the two functions is called, once."""

    service: str
    workspace: str
    weight: int
    cost: float
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


@define(eq=False)
class _Pool:
    """Hold the queue before one service."""

    service: str
    queue: FairQueue[Errand]
    meter: RateMeter = field(factory=RateMeter)
    pumping: bool = False
    ticking: bool = False


@define(eq=False)
class Place:
    """Hold a request's place in a queue."""

    _pool: _Pool
    _ticket: Ticket[Errand]

    def leave(self) -> None:
        """Give the place up; neither function of the errand is called."""
        self._pool.queue.cancel(self._ticket)


@define(eq=False)
class Dispatcher:
    """Start, queue or refuse requests; wait_seconds bounds the time in a queue."""

    _scheduler: Scheduler
    _chooser: TargetChooser
    _size_max: int
    _wait_seconds: float
    _pools: dict[str, _Pool] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._chooser.on_room = self._on_room

    def check(self, service: str, workspace: str) -> Refusal | None:
        """Refuse early what would wait too long; honest even while nothing is reserved yet."""
        pool = self._pools.get(service)
        if pool is None or not len(pool.queue):
            return None
        wait = self._estimate_wait(pool, workspace)
        if wait is None or wait <= self._wait_seconds * EARLY_SHARE:
            return None
        return self._make_refusal(pool, "the queue is longer than a request may wait")

    def enter(self, errand: Errand) -> Place | None:
        """Start the request, queue it or refuse it; return its place if it waits."""
        pool = self._pools.get(errand.service)
        if pool is None:
            pool = _Pool(errand.service, FairQueue(self._size_max))
            self._pools[errand.service] = pool
        if not len(pool.queue) and self._chooser.count_room(errand.service) >= 1:
            pool.meter.note(errand.cost, self._scheduler.now())
            errand.start()
            return None
        deadline = self._scheduler.now() + self._wait_seconds
        admission = pool.queue.push(errand.workspace, errand.weight, errand.cost, deadline, errand)
        QUEUED_REQUESTS.set(sum(len(item.queue) for item in self._pools.values()))
        if admission.evicted is not None:
            self._refuse(pool, admission.evicted, "the queue is full")
        if admission.ticket is None:
            errand.refuse(self._make_refusal(pool, "the queue is full"))
            return None
        self._tick(pool)
        return Place(pool, admission.ticket)

    def _estimate_wait(self, pool: _Pool, workspace: str) -> float | None:
        rate = pool.meter.estimate(self._scheduler.now())
        return pool.queue.sum_cost_before(workspace) / rate if rate else None

    def _make_refusal(self, pool: _Pool, detail: str) -> Refusal:
        rate = pool.meter.estimate(self._scheduler.now())
        waiting = pool.queue.sum_cost_before("")
        seconds = math.ceil(waiting / rate) if rate else RETRY_SECONDS_MIN
        seconds = max(RETRY_SECONDS_MIN, min(RETRY_SECONDS_MAX, seconds))
        return Refusal(503, Reason.OVERLOADED, detail, retry_after_seconds=seconds)

    def _refuse(self, pool: _Pool, ticket: Ticket[Errand], detail: str) -> None:
        ticket.item.refuse(self._make_refusal(pool, detail))

    def _on_room(self, service: str) -> None:
        pool = self._pools.get(service)
        if pool is not None and len(pool.queue) and not pool.pumping:
            pool.pumping = True
            self._scheduler.call_after(0, lambda: self._pump(pool))

    def _pump(self, pool: _Pool) -> None:
        pool.pumping = False
        while len(pool.queue) and self._chooser.count_room(pool.service) >= 1:
            self._expire(pool)
            ticket = pool.queue.pop()
            if ticket is None:
                break
            pool.meter.note(ticket.cost, self._scheduler.now())
            ticket.item.start()
        QUEUED_REQUESTS.set(sum(len(item.queue) for item in self._pools.values()))

    def _expire(self, pool: _Pool) -> None:
        for ticket in pool.queue.expire(self._scheduler.now()):
            self._refuse(pool, ticket, "the request waited too long for a target")

    def _tick(self, pool: _Pool) -> None:
        """Expire and pump while requests wait, since room may appear without an event."""
        if pool.ticking or not len(pool.queue):
            return
        pool.ticking = True

        def tick() -> None:
            pool.ticking = False
            self._expire(pool)
            self._pump(pool)
            self._tick(pool)

        self._scheduler.call_after(EXPIRY_SECONDS, tick)
