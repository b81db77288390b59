"""Decide when this node may send a target its next request, by what targets state; no I/O."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.gateway.brittle_targets import BrittleTargets
from bronzetiller.gateway.departures import Departures
from bronzetiller.gateway.pauses import Pauses
from bronzetiller.gateway.requests import StatedBounds
from bronzetiller.gateway.target_limits import TargetLimits
from bronzetiller.gateway.targets import MISDIRECTED_CAUSE, Target


@define(eq=False)
class TargetAdmission:
    """Combine limits of requests per second, shares of brittle targets, departures and pauses."""

    limits: TargetLimits
    brittle: BrittleTargets
    departures: Departures
    pauses: Pauses = field(factory=Pauses)

    def record_bounds(self, target: Target, bounds: StatedBounds, now: float, *, ran: bool) -> None:
        """Record what a response states; only one to a request that ran ends a statement."""
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

    def find_free_at(self, target: Target, now: float) -> float:
        """Return when this node may send its next request, infinite if that is not known."""
        return max(
            self.limits.find_free_at(target, now),
            self.brittle.find_free_at(target, now),
            self.pauses.find_end(target),
        )

    def wait(self, service: str, until: float, resume: Callable[[], bool], priority: int) -> bool:
        """Call resume once a brittle target has a slot; return False if too many wait."""
        return self.brittle.wait(service, until, resume, priority)
