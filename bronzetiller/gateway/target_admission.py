"""Decide when this node may send a target its next request, by what targets state; no I/O."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.gateway.brittle_targets import BrittleTargets
from bronzetiller.gateway.cold_targets import ColdTargets
from bronzetiller.gateway.departures import Departures
from bronzetiller.gateway.pauses import Pauses
from bronzetiller.gateway.requests import StatedBounds, Urgency
from bronzetiller.gateway.target_limits import TargetLimits
from bronzetiller.gateway.targets import MISDIRECTED_CAUSE, Target


@define(eq=False)
class TargetAdmission:
    """Combine limits of requests per second, shares of brittle and of cold targets, and the rest.

    The rest are departures and pauses.
    """

    limits: TargetLimits
    brittle: BrittleTargets
    departures: Departures
    pauses: Pauses = field(factory=Pauses)
    cold: ColdTargets = field(factory=lambda: ColdTargets("", {}))

    def record_bounds(
        self,
        target: Target,
        bounds: StatedBounds,
        now: float,
        *,
        ran: bool,
        sent_at: float = float("-inf"),
    ) -> None:
        """Record what a response to a request that was sent at a time states.

        Only one to a request that ran ends a statement.
        """
        self.cold.record_response(target, bounds.warm_up_seconds, sent_at, now)
        if ran or bounds.requests_per_second is not None:
            self.limits.record_response(target, bounds.requests_per_second, now)
        if ran or bounds.refusals_per_second is not None:
            self.brittle.record_response(target, bounds.refusals_per_second, now)
        if bounds.is_leaving:
            self.departures.record(target, now)
        if bounds.pause_seconds is not None:
            self.pauses.record(target, bounds.pause_seconds, now)

    def record_refusal(self, target: Target, cause: str, now: float) -> None:
        """Record that a target refused a request."""
        if cause != MISDIRECTED_CAUSE:
            self.brittle.record_refusal(target, now)

    def take(self, target: Target, now: float) -> None:
        """Use up one request that this node may send to the target."""
        self.limits.take(target, now)
        self.cold.take(target, now)

    def find_free_at(self, target: Target, now: float, urgency: Urgency | None = None) -> float:
        """Return when this node may send its next request, infinite if that is not known.

        A request without an urgency counts as the most urgent one.
        """
        return max(
            self.limits.find_free_at(target, now),
            self.brittle.find_free_at(target, now),
            self.cold.find_free_at(target, now, urgency),
            self.pauses.find_end(target),
        )

    def wait(self, service: str, until: float, resume: Callable[[], bool], priority: int) -> bool:
        """Call resume once a brittle target has a slot; return False if too many wait.

        Nothing waits for a slot if all targets of the service are cold for longer.
        """
        targets, now = self.brittle.list_targets(service), self.brittle.now()
        if targets and all(self.cold.find_free_at(item, now) > until for item in targets):
            return False
        return self.brittle.wait(service, until, resume, priority)
