"""Share the slots of brittle targets among the nodes; no I/O.

A brittle target ends if it has to refuse more than a few requests within a second. While a target
of a service says that it is brittle, each node sends each target of the service only as many
requests at a time as it has a share of the slots, keeps a few requests waiting itself, and refuses
the others, so that the targets have nothing to refuse.

Designed for overload: requests for twice as many slots as there are, at up to some hundred nodes.
"""

from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen

from bronzetiller.gateway.nearest_nodes import NearestNodes
from bronzetiller.gateway.statements import Report, Statement, Statements
from bronzetiller.gateway.targets import Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import QUEUED_REQUESTS
from bronzetiller.net.scheduler import Scheduler, Timer

REPORTERS = 3
# Share of the refusals per second that a target survives; nodes may disagree on who has a share.
REFUSALS_PORTION = 0.8
REFUSALS_MIN = 0.5  # per second, for targets that survive none
WAITING_MIN = 1


@frozen
class BrittleNode:
    """Describe a node that may have a share, and what it reports of services."""

    node_id: str
    data_centre: str
    brittle: Mapping[str, Statement]


@define(eq=False)
class _Waiter:
    """Hold a request that waits for a slot."""

    priority: int
    resume: Callable[[], bool]
    timer: Timer


@define(eq=False)
class BrittleTargets:
    """Hold which services are brittle, and the requests of this node that wait for their slots.

    Times are monotonic seconds. A service states the refusals per second that a target survives.
    """

    _scheduler: Scheduler
    _node_id: str
    _regions: Mapping[str, str]
    _nodes: NearestNodes = field(init=False)
    _services: Statements = field(init=False)
    _targets: dict[str, list[Target]] = field(factory=dict)
    _paused_until: dict[str, float] = field(factory=dict)
    _waiters: dict[str, list[_Waiter]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._nodes = NearestNodes(self._node_id, self._regions)
        self._services = Statements("brittle", self._node_id, self._is_reporter)

    def _is_reporter(self, service: str, node_id: str) -> bool:
        return node_id in self._nodes.rank(service)[:REPORTERS]

    def record_response(self, target: Target, refusals: float | None, now: float) -> None:
        """Record the refusals per second that a target's response states, or that it states none.

        The targets of a service are brittle together.
        """
        self._services.record(target.registration.service, refusals, now)

    def refresh(self, nodes: Iterable[BrittleNode], targets: Iterable[Target], now: float) -> None:
        """Update the nodes that serve callers and what they report, and the targets."""
        nodes = list(nodes)
        self._nodes.update(((node.node_id, node.data_centre) for node in nodes), now)
        self._targets = {}
        for target in targets:
            if not target.registration.leaving:
                self._targets.setdefault(target.registration.service, []).append(target)
        reports = [Report(node.node_id, node.brittle) for node in nodes]
        self._services.merge(reports, self._targets.keys(), now)
        self._paused_until = {
            instance: until for instance, until in self._paused_until.items() if until > now
        }
        for service in list(self._waiters):
            self._resume_next(service)

    def now(self) -> float:
        """Return the time (monotonic seconds)."""
        return self._scheduler.now()

    def list_targets(self, service: str) -> list[Target]:
        """Return the targets of a service, as of the last refresh."""
        return self._targets.get(service, [])

    def list_stated(self) -> dict[str, Statement]:
        """Return what this node should report of services."""
        return self._services.list_reportable(self._scheduler.now())

    def find_free_at(self, target: Target, now: float) -> float:
        """Return when this node may send its next request, infinite if that is not known."""
        if self._services.find(target.registration.service) is None:
            return now
        paused_until = self._paused_until.get(target.instance, 0.0)
        if paused_until > now:
            return paused_until
        return now if target.count_occupied(now) < self._find_share(target) else float("inf")

    def _find_share(self, target: Target) -> int:
        """Return the number of slots of a target that this node may use."""
        ranks = self._nodes.rank(target.instance, target.registration.data_centre)
        if self._node_id not in ranks:
            return 0
        each, rest = divmod(target.registration.slots, len(ranks))
        return each + (ranks.index(self._node_id) < rest)

    def record_refusal(self, target: Target, now: float) -> None:
        """Leave a target alone after it refused a request, so that all nodes cause few refusals."""
        refusals = self._services.find(target.registration.service)
        if refusals is None:
            return
        ranks = self._nodes.rank(target.instance, target.registration.data_centre)
        sharing = min(len(ranks), target.registration.slots)
        seconds = sharing / (REFUSALS_PORTION * max(REFUSALS_MIN, refusals))
        self._paused_until[target.instance] = now + seconds
        log_event("brittle_target_paused", target=target.target_id, seconds=round(seconds, 2))

    def wait(
        self, service: str, until: float, resume: Callable[[], bool], priority: int = 0
    ) -> bool:
        """Call resume once a slot is free, or at the given time; return False if too many wait.

        resume returns False if its request has ended, or waits again as it may not use the slot, so
        that the next one gets the slot.
        """
        if self._services.find(service) is None or until <= self._scheduler.now():
            return False
        waiters = self._waiters.setdefault(service, [])
        if len(waiters) >= self._find_waiting_max(service):
            return False
        waiter = _Waiter(priority, resume, self._scheduler.call_at(until, lambda: expire()))

        def expire() -> None:
            if waiter in waiters:
                self._resume(waiters, waiter)

        waiters.append(waiter)
        QUEUED_REQUESTS.inc()
        for target in self._targets.get(service, ()):
            target.on_release = lambda: self._schedule_resume(service)
        return True

    def _find_waiting_max(self, service: str) -> int:
        """Return how many requests may wait: as many as this node has slots."""
        slots = sum(self._find_share(target) for target in self._targets.get(service, ()))
        return max(WAITING_MIN, slots)

    def _schedule_resume(self, service: str) -> None:
        if self._waiters.get(service):
            self._scheduler.call_after(0, lambda: self._resume_next(service))

    def _resume_next(self, service: str) -> None:
        """Resume the most urgent waiting request that can use a free slot."""
        waiters, now = self._waiters[service], self._scheduler.now()
        targets = self._targets.get(service, ())
        for waiter in sorted(waiters, key=lambda item: item.priority):
            if not any(self.find_free_at(target, now) <= now for target in targets):
                return
            if waiter in waiters and self._resume(waiters, waiter):
                return

    def _resume(self, waiters: list[_Waiter], waiter: _Waiter) -> bool:
        waiters.remove(waiter)
        waiter.timer.cancel()
        QUEUED_REQUESTS.dec()
        return waiter.resume()
