"""Track which targets this node reaches.

A target that refuses a connection, does not accept one in time or stays silent is out of reach
until a probe on a new connection gets a response. Old connections may live on while new ones fail,
so responses alone do not show that a target is in reach again.

Designed for nodes that are cut off from some or all targets for seconds, by connections that hang,
are reset or are refused.
"""

from collections.abc import Callable, Collection

from attrs import Factory, define, field

from bronzetiller.gateway.configuration import AllowedRegions
from bronzetiller.gateway.permitted_targets import PermittedTargets
from bronzetiller.gateway.targets import Target, TargetPool
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_PROBES, UNREACHABLE_TARGETS
from bronzetiller.net.dialer import CLOSED, CONNECT_TIMEOUT, RESET
from bronzetiller.net.http_client import (
    REFUSED_CAUSES,
    SILENCE,
    TOO_LONG,
    CallEvent,
    CallFailed,
    HttpClient,
    OpenCall,
    ResponseHead,
)
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.probes import make_probe_call

REVIEW_SECONDS = 0.25
SILENCE_SECONDS = 1.0  # of a target with open requests, before it is probed
PROBE_SECONDS = 0.7  # ten round trips between regions
PROBE_INTERVAL_SECONDS = 0.75
PROBES_MAX = 8
TIMEOUT_CAUSES = (CONNECT_TIMEOUT, SILENCE, TOO_LONG)
# The time in which a full link shows in the mean of its use, and a connect timeout before it.
TIMEOUT_DOUBT_SECONDS = 3.0
ENDED_CAUSES = (*REFUSED_CAUSES, CLOSED, RESET)  # of a target whose process may have ended


@define(eq=False)
class Reachability:
    """Hold the targets out of reach, with the times of their last probes (monotonic seconds).

    on_change is called when this node no longer reaches any target of a service, or does again;
    with states_regions, also when this is so for the targets of a service in one region.
    on_response is called with each response to a probe and the time at which the probe was sent.
    While is_congested, this node's own link or processor delays everything, and a timeout says
    nothing about a target.
    """

    _scheduler: Scheduler
    _http: HttpClient
    _pool: TargetPool
    _permitted: PermittedTargets = Factory(
        lambda self: PermittedTargets(self._pool), takes_self=True
    )
    on_change: Callable[[], None] = lambda: None
    states_regions: bool = False
    is_congested: Callable[[], bool] = lambda: False
    on_response: Callable[[Target, ResponseHead, float], None] = lambda *arguments: None
    _probed_at: dict[Target, float] = field(factory=dict)
    _probes: dict[Target, OpenCall] = field(factory=dict)
    _cut_off: tuple[list[str], dict[str, tuple[str, ...]]] = field(factory=lambda: ([], {}))
    _timed_out: dict[Target, float] = field(factory=dict)

    def start(self) -> None:
        """Start reviewing the targets."""
        self._scheduler.call_every(REVIEW_SECONDS, self.review)

    def is_reachable(self, target: Target) -> bool:
        """Return whether a request may be sent to the target."""
        return target not in self._probed_at

    def select(self, targets: list[Target]) -> list[Target]:
        """Return the targets in reach, or all if there are none."""
        if not self._probed_at:
            return targets
        return [item for item in targets if self.is_reachable(item)] or targets

    def is_cut_off(self, services: Collection[str], allowed: AllowedRegions = None) -> bool:
        """Return whether there are targets of the services, and this node reaches none of them.

        Only the targets in allowed regions count.
        """
        if not self._probed_at:
            return False
        targets = self._permitted.list_all(services, allowed)
        return bool(targets) and not any(map(self.is_reachable, targets))

    def list_cut_off(self) -> list[str]:
        """Return the services of which this node reaches no target."""
        if not self._probed_at:
            return []
        return sorted(name for name in self._permitted.list_services() if self.is_cut_off([name]))

    def list_unreached_data_centres(self) -> set[str]:
        """Return the data centres of which this node reaches no target, if it reaches any."""
        if not self._probed_at:
            return set()
        unreached = {item.registration.data_centre for item in self._probed_at}
        reached = {
            item.registration.data_centre
            for item in self._pool.targets.values()
            if self.is_reachable(item)
        }
        return unreached - reached if reached else set()

    def list_cut_off_regions(self) -> dict[str, tuple[str, ...]]:
        """Return the regions in which this node reaches no target of a service, by service.

        Services of which it reaches no target at all are not among them.
        """
        if not self.states_regions or not self._probed_at:
            return {}
        found = {}
        for name in sorted(self._permitted.list_services().difference(self.list_cut_off())):
            regions = sorted(self._permitted.list_regions(name))
            found[name] = tuple(
                item for item in regions if self.is_cut_off([name], frozenset([item]))
            )
        return {name: regions for name, regions in found.items() if regions}

    def record_connect_failure(self, target: Target, cause: str) -> None:
        """Record that a new connection to a target failed, unless this node may be the cause."""
        if cause in TIMEOUT_CAUSES and self.is_congested():
            return
        target.record_failure(cause, self._scheduler.now())
        self._mark_unreachable(target, cause)

    def suspect(self, target: Target) -> None:
        """Probe a target that closed a connection without a response."""
        self._probe(target)

    def review(self) -> None:
        """Probe the targets out of reach again, and those that are silent."""
        now = self._scheduler.now()
        present = set(self._pool.targets.values())
        for target in self._probed_at.keys() - present:
            self._remove(target)
        for target in present:
            is_silent = target.in_flight > 0 and now - target.quiet_since >= SILENCE_SECONDS
            if is_silent or self._awaits_response(target):
                self._probe(target)
        for target, probed_at in sorted(self._probed_at.items(), key=lambda item: item[1]):
            if now - probed_at < PROBE_INTERVAL_SECONDS:
                break
            self._probe(target)

    def _awaits_response(self, target: Target) -> bool:
        """Return whether a target in reach was lost, and has not responded since.

        Its probe was dropped beside PROBES_MAX others, or was on its way before the loss. It may
        get no request before it responds, as it may be a cold one.
        """
        is_lost = target.lost_at > float("-inf") and target.heard_after_loss_at is None
        return is_lost and target not in self._probed_at

    def _probe(self, target: Target) -> None:
        if target in self._probes or len(self._probes) >= PROBES_MAX:
            return
        TARGET_PROBES.inc()
        call = make_probe_call(target.registration.address, PROBE_SECONDS)
        sent_at = self._scheduler.now()
        self._probes[target] = self._http.send(
            call, lambda event: self._end_probe(target, event, sent_at)
        )

    def _end_probe(self, target: Target, event: CallEvent, sent_at: float) -> None:
        if not isinstance(event, ResponseHead | CallFailed):
            return
        probe = self._probes.pop(target, None)
        if probe is None:
            return
        probe.cancel()
        if isinstance(event, ResponseHead):
            target.record_heard(sent_at, self._scheduler.now())
            self.on_response(target, event, sent_at)
            self._mark_reachable(target)
        else:
            self._mark_unreachable(target, event.cause)

    def _mark_unreachable(self, target: Target, cause: str) -> None:
        if self._pool.targets.get(target.target_id) is not target:
            return
        is_timeout = cause in TIMEOUT_CAUSES
        if is_timeout and target not in self._probed_at and self.is_congested():
            return
        is_new = target not in self._probed_at
        self._probed_at[target] = self._scheduler.now()
        if cause in ENDED_CAUSES:
            target.lost_at = self._scheduler.now()
        if not is_new:
            return
        if is_timeout:
            self._timed_out[target] = self._scheduler.now()
        log_event("target_unreachable", level=30, target=target.target_id, cause=cause)
        UNREACHABLE_TARGETS.set(len(self._probed_at))
        self._probe_quiet_targets(target.registration.service)
        self._notify()

    def discard_timeouts(self) -> None:
        """Remove the marks that timeouts set while this node's own link was filling up."""
        since = self._scheduler.now() - TIMEOUT_DOUBT_SECONDS
        doubtful = [item for item, at in self._timed_out.items() if at >= since]
        for target in doubtful:
            self._remove(target)
        if doubtful:
            log_event("target_timeouts_discarded", targets=len(doubtful))
            self._notify()

    def _probe_quiet_targets(self, service: str) -> None:
        """Probe the other targets of a service that have not responded for a moment either."""
        now = self._scheduler.now()
        for target in self._pool.list_targets(service):
            if self.is_reachable(target) and now - target.quiet_since >= REVIEW_SECONDS:
                self._probe(target)

    def _mark_reachable(self, target: Target) -> None:
        """Remove a target's mark; with more targets than are probed at a time, all marks.

        The cause of most marks has ended then, and the others are set again by the next failures.
        """
        if target not in self._probed_at:
            return
        ended = list(self._probed_at) if len(self._probed_at) > PROBES_MAX else [target]
        for item in ended:
            self._remove(item)
        log_event("target_reachable", target=target.target_id, cleared=len(ended))
        self._notify()

    def _notify(self) -> None:
        cut_off = self.list_cut_off(), self.list_cut_off_regions()
        if cut_off != self._cut_off:
            self._cut_off = cut_off
            self.on_change()

    def _remove(self, target: Target) -> None:
        del self._probed_at[target]
        self._timed_out.pop(target, None)
        UNREACHABLE_TARGETS.set(len(self._probed_at))
