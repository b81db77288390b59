"""Dispatch requests as the targets of their service have free slots, in fair-queue order."""

import math
from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.errors import Reason, Refusal
from bronzetiller.metrics import QUEUED_REQUESTS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.queues import FairQueue, RateMeter, Ticket
from bronzetiller.routing.targets import TargetChooser

TICK_INTERVAL_SECONDS = 0.1
EARLY_REFUSAL_SHARE = 0.75
RETRY_AFTER_SECONDS_MIN = 1
RETRY_AFTER_SECONDS_MAX = 60


@frozen
class DispatchJob:
    """Describe a request to dispatch; either start or refuse is called, once."""

    service: str
    workspace: str
    weight: int
    cost: float
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


@define(eq=False)
class _ServiceQueue:
    """Hold the queue of one service."""

    service: str
    queue: FairQueue[DispatchJob]
    meter: RateMeter = field(factory=RateMeter)
    dispatch_scheduled: bool = False
    tick_scheduled: bool = False


@define(eq=False)
class QueuePosition:
    """Hold the position of a request in a queue."""

    _service_queue: _ServiceQueue
    _ticket: Ticket[DispatchJob]

    def leave(self) -> None:
        """Remove the request from the queue; neither function of its job is called."""
        self._service_queue.queue.cancel(self._ticket)


@define(eq=False)
class Dispatcher:
    """Start, queue or refuse requests; wait_seconds limits the time in a queue."""

    _scheduler: Scheduler
    _chooser: TargetChooser
    _size_max: int
    _wait_seconds: float
    _service_queues: dict[str, _ServiceQueue] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._chooser.on_free_slots = self._on_free_slots

    def check(self, service: str, workspace: str) -> Refusal | None:
        """Return a refusal for a request that would wait too long, before tokens are reserved."""
        service_queue = self._service_queues.get(service)
        if service_queue is None or not len(service_queue.queue):
            return None
        wait_seconds = self._estimate_wait(service_queue, workspace)
        if wait_seconds is None or wait_seconds <= self._wait_seconds * EARLY_REFUSAL_SHARE:
            return None
        return self._make_refusal(
            service_queue, "the expected time in the queue is longer than a request may wait"
        )

    def submit(self, job: DispatchJob) -> QueuePosition | None:
        """Start, queue or refuse the request; return its queue position if it was queued."""
        service_queue = self._service_queues.get(job.service)
        if service_queue is None:
            service_queue = _ServiceQueue(job.service, FairQueue(self._size_max))
            self._service_queues[job.service] = service_queue
        if not len(service_queue.queue) and self._chooser.count_free_slots(job.service) >= 1:
            service_queue.meter.record(job.cost, self._scheduler.now())
            job.start()
            return None
        deadline = self._scheduler.now() + self._wait_seconds
        result = service_queue.queue.push(job.workspace, job.weight, job.cost, deadline, job)
        QUEUED_REQUESTS.set(sum(len(item.queue) for item in self._service_queues.values()))
        if result.evicted is not None:
            self._refuse(service_queue, result.evicted, "the queue is full")
        if result.ticket is None:
            job.refuse(self._make_refusal(service_queue, "the queue is full"))
            return None
        self._schedule_tick(service_queue)
        return QueuePosition(service_queue, result.ticket)

    def _estimate_wait(self, service_queue: _ServiceQueue, workspace: str) -> float | None:
        rate = service_queue.meter.estimate(self._scheduler.now())
        return service_queue.queue.sum_cost_before(workspace) / rate if rate else None

    def _make_refusal(self, service_queue: _ServiceQueue, detail: str) -> Refusal:
        rate = service_queue.meter.estimate(self._scheduler.now())
        queued_cost = service_queue.queue.sum_cost_before("")
        seconds = math.ceil(queued_cost / rate) if rate else RETRY_AFTER_SECONDS_MIN
        seconds = max(RETRY_AFTER_SECONDS_MIN, min(RETRY_AFTER_SECONDS_MAX, seconds))
        return Refusal(503, Reason.OVERLOADED, detail, retry_after_seconds=seconds)

    def _refuse(
        self, service_queue: _ServiceQueue, ticket: Ticket[DispatchJob], detail: str
    ) -> None:
        ticket.item.refuse(self._make_refusal(service_queue, detail))

    def _on_free_slots(self, service: str) -> None:
        service_queue = self._service_queues.get(service)
        if (
            service_queue is not None
            and len(service_queue.queue)
            and not service_queue.dispatch_scheduled
        ):
            service_queue.dispatch_scheduled = True
            self._scheduler.call_after(0, lambda: self._dispatch_queued(service_queue))

    def _dispatch_queued(self, service_queue: _ServiceQueue) -> None:
        service_queue.dispatch_scheduled = False
        while (
            len(service_queue.queue) and self._chooser.count_free_slots(service_queue.service) >= 1
        ):
            self._expire(service_queue)
            ticket = service_queue.queue.pop()
            if ticket is None:
                break
            service_queue.meter.record(ticket.cost, self._scheduler.now())
            ticket.item.start()
        QUEUED_REQUESTS.set(sum(len(item.queue) for item in self._service_queues.values()))

    def _expire(self, service_queue: _ServiceQueue) -> None:
        for ticket in service_queue.queue.expire(self._scheduler.now()):
            self._refuse(service_queue, ticket, "the request waited too long for a target")

    def _schedule_tick(self, service_queue: _ServiceQueue) -> None:
        """Expire and dispatch periodically, since slots may become free without an event."""
        if service_queue.tick_scheduled or not len(service_queue.queue):
            return
        service_queue.tick_scheduled = True

        def tick() -> None:
            service_queue.tick_scheduled = False
            self._expire(service_queue)
            self._dispatch_queued(service_queue)
            self._schedule_tick(service_queue)

        self._scheduler.call_after(TICK_INTERVAL_SECONDS, tick)
