"""Hold which targets are cold, and when this node may send them a request; no I/O.

A cold target is warming up: it is slow, and ends if it gets many more requests per second than its
service states. Coldness ends by the clock: every statement says how much of it is left at most.

Designed for some ten targets of a data centre that become cold at the same moment, before 2 to some
hundred nodes.
"""

import math
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bronzetiller.gateway.cold_shares import ColdShares, Contact, ShareSize, size_shares
from bronzetiller.gateway.configuration import ServiceConfiguration
from bronzetiller.gateway.registered_starts import RegisteredStarts
from bronzetiller.gateway.requests import Urgency
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import COLD_TARGET_REQUESTS, COLD_TARGETS

COLD_SECONDS_MAX = 600.0  # of one statement, so that a wrong one does not hold for good
DEMAND_SECONDS = 3.0  # in which requests count as typical for a service
DEMANDS_MAX = 64  # urgencies that are remembered for each service
# Between requests that this node sends to a cold target though warm ones have room.
TRICKLE_SECONDS = 1.0
LOGGED_CHANGES_MAX = 16  # per refresh; more are logged as one line
REGISTERED, STATED, LOST = "registered", "stated", "lost"


@define(eq=False)
class _WarmUp:
    """Hold until when a target is cold, by which statement, and when that changed last."""

    until: float = float("-inf")
    changed_at: float = float("-inf")
    cause: str = REGISTERED
    stated_at: float = float("-inf")  # when the request was sent whose response stated it last
    registration: Registration | None = None
    taken_at: float = float("-inf")
    has_closed: bool = False
    is_logged: bool = False


@frozen
class _Change:
    target: Target
    cause: str | None
    seconds: float
    has_share: bool


@define(eq=False)
class ColdTargets:
    """Hold the warm-ups of the targets of services that state one; times are monotonic seconds.

    The bound of requests in any second is per_second x overage + slack, over all nodes.
    """

    _node_id: str
    _regions: Mapping[str, str]
    _overage: float = 1.5
    _slack: float = 5.0
    starts: RegisteredStarts = field(factory=RegisteredStarts)
    shares: ColdShares = field(init=False)
    _services: Mapping[str, ServiceConfiguration] = field(factory=dict)
    _sizes: dict[str, ShareSize] = field(factory=dict)
    _warm_ups: dict[str, _WarmUp] = field(factory=dict)
    _demands: dict[str, dict[Urgency, float]] = field(factory=dict)
    _followed: set[str] = field(factory=set)  # services whose targets have been seen
    _was_settled: bool = False

    def __attrs_post_init__(self) -> None:
        self.shares = ColdShares(self._node_id, self._regions)

    @property
    def is_used(self) -> bool:
        """Return whether any service states a warm-up."""
        return bool(self._sizes)

    def set_services(self, services: Mapping[str, ServiceConfiguration]) -> None:
        """Set the services of the configuration."""
        self._services = services
        self._sizes = {
            name: size_shares(item.warm_up_per_second, self._overage, self._slack)
            for name, item in services.items()
            if item.warm_up_per_second > 0
        }

    def refresh(
        self,
        nodes: Iterable[tuple[str, str]],
        targets: Iterable[Target],
        contact: Contact,
        now: float,
    ) -> None:
        """Update the serving nodes and their data centres, and the targets."""
        if not self.is_used:
            self._warm_ups.clear()
            COLD_TARGETS.set(0)
            return
        self.shares.refresh(nodes, contact, now)
        warmed = [item for item in targets if item.registration.service in self._sizes]
        present = {item.instance for item in warmed}
        for instance in self._warm_ups.keys() - present:
            del self._warm_ups[instance]
            self.shares.drop(instance)
        self._log_changes(warmed, now)
        self._followed |= {item.registration.service for item in warmed}

    def record_response(
        self, target: Target, seconds: float | None, sent_at: float, now: float
    ) -> None:
        """Record the warm-up left (seconds) that a response states, to a request sent at a time.

        The response to a request that was sent before the last change may be older than it.
        """
        if seconds is None or target.registration.service not in self._sizes:
            return
        warm_up = self._find(target, now)
        warm_up.stated_at = max(warm_up.stated_at, sent_at)
        until = now + min(COLD_SECONDS_MAX, seconds)
        if sent_at >= warm_up.changed_at or until > warm_up.until:
            warm_up.until, warm_up.changed_at, warm_up.cause = until, now, STATED

    def find_cold_until(self, target: Target, now: float) -> float:
        """Return until when a target is cold, a past time if it is warm, infinite if not known."""
        if target.registration.service not in self._sizes:
            return float("-inf")
        return max(self._find(target, now).until, self._find_doubted_until(target))

    def mark_lost(self, targets: Iterable[Target], now: float) -> list[Target]:
        """Mark targets whose idle connections ended as lost; return those that may be cold now.

        One that closes them again without having started again does so regularly.
        """
        lost = [
            item
            for item in targets
            if item.registration.service in self._sizes and not self._find(item, now).has_closed
        ]
        for target in lost:
            target.lost_at, self._find(target, now).has_closed = now, True
        return lost

    def is_cold(self, target: Target, now: float) -> bool:
        """Return whether a target is cold."""
        return self.find_cold_until(target, now) > now

    def find_free_at(self, target: Target, now: float, urgency: Urgency | None = None) -> float:
        """Return when this node may send its next request, infinite if that is not known."""
        cold_until = self.find_cold_until(target, now)
        if cold_until <= now:
            return now
        is_urgent = urgency is None or urgency <= self._find_demand(target, now)[0]
        place, size = target.registration.data_centre, self._sizes[target.registration.service]
        free_at = self.shares.find_free_at(target.instance, place, size, now, is_urgent=is_urgent)
        return min(free_at, cold_until)

    def take(self, target: Target, now: float) -> None:
        """Use up one request of this node's share, if the target is cold."""
        if self.is_cold(target, now):
            self._find(target, now).taken_at = now
            self.shares.take(target.instance, self._sizes[target.registration.service], now)
            COLD_TARGET_REQUESTS.inc()

    def prefer_warm(
        self, targets: list[Target], urgency: Urgency | None, now: float
    ) -> list[Target]:
        """Return the targets that should get a request, of those that accept one now.

        Warm targets come first while one has room, but for the least urgent requests, of which a
        cold target gets a few.
        """
        if not self._sizes or not targets:
            return targets
        cold: list[Target] = []
        warm: list[Target] = []
        for item in targets:
            (cold if self.is_cold(item, now) else warm).append(item)
        if not cold or not any(item.has_room(now) for item in warm):
            return targets
        if urgency is None or urgency < self._find_demand(cold[0], now)[1]:
            return warm
        due = [item for item in cold if item.has_room(now) and self._is_trickle_due(item, now)]
        return due or warm

    def record_demand(self, service: str, urgency: Urgency | None, now: float) -> None:
        """Record that a request of an urgency is to be sent to a service."""
        if urgency is None or service not in self._sizes:
            return
        demands = self._demands.setdefault(service, {})
        demands[urgency] = now
        if len(demands) > DEMANDS_MAX:
            del demands[min(demands, key=lambda item: demands[item])]

    def _find_demand(self, target: Target, now: float) -> tuple[Urgency, Urgency]:
        """Return the most and the least urgent requests that the target's service gets."""
        demands = self._demands.get(target.registration.service, {})
        recent = [item for item, at in demands.items() if now - at <= DEMAND_SECONDS]
        return (min(recent), max(recent)) if recent else (Urgency(0, 0.0), Urgency(0, 0.0))

    def _is_trickle_due(self, target: Target, now: float) -> bool:
        """Return whether a target that is known to be cold may get a request to spare others."""
        is_known = self._find_doubted_until(target) <= now
        return is_known and now - self._find(target, now).taken_at >= TRICKLE_SECONDS

    def _find_doubted_until(self, target: Target) -> float:
        """Return until when a target may be a cold one that took the place of a lost one.

        A process that responded after the loss started before that.
        """
        if self.starts.is_certain(target):
            return float("-inf")
        warm_up = self._warm_ups.get(target.instance)
        if warm_up is not None and warm_up.stated_at >= target.lost_at:
            return float("-inf")
        if target.heard_after_loss_at is None:
            return float("inf")
        return target.heard_after_loss_at + self._find_seconds(target)

    def _find_seconds(self, target: Target) -> float:
        service = self._services.get(target.registration.service)
        return 0.0 if service is None else min(COLD_SECONDS_MAX, service.warm_up_seconds)

    def _find(self, target: Target, now: float) -> _WarmUp:
        """Return the warm-up of a target, by its newest registration."""
        warm_up = self._warm_ups.get(target.instance)
        if warm_up is None:
            warm_up = self._warm_ups[target.instance] = _WarmUp()
        if warm_up.registration is not target.registration:
            self._apply_registration(warm_up, target, now)
        return warm_up

    def _apply_registration(self, warm_up: _WarmUp, target: Target, now: float) -> None:
        """Apply a registration that was read, which may have been written seconds ago.

        What it states is left at most, but it says nothing of a warm-up that began after it was
        written: it ends only what an earlier one stated.
        """
        before, registration = warm_up.registration, target.registration
        warm_up.registration = registration
        stated = registration.warm_up_seconds
        is_unchanged = before is not None and (
            (stated, registration.heartbeat) == (before.warm_up_seconds, before.heartbeat)
        )
        if is_unchanged or (before is not None and stated is None):
            return
        if stated is None:
            # The targets that were there when this node began may have started long ago.
            is_new = before is None and registration.service in self._followed
            stated = self._find_seconds(target) if is_new else 0.0
        until = now + min(COLD_SECONDS_MAX, stated)
        if until > warm_up.until and stated > 0:
            warm_up.until, warm_up.changed_at, warm_up.cause = until, now, REGISTERED
        elif warm_up.cause == REGISTERED:
            warm_up.until = until

    def _has_share(self, target: Target, now: float) -> bool:
        place, size = target.registration.data_centre, self._sizes[target.registration.service]
        return self.shares.has_share(target.instance, place, size, now)

    def _log_changes(self, targets: list[Target], now: float) -> None:
        """Log which targets became cold or warm since the last refresh."""
        changes = []
        cold = 0
        if self.shares.is_settled(now) != self._was_settled:
            self._was_settled = not self._was_settled
            log_event("cold_shares", used=self._was_settled)
        for target in targets:
            warm_up, until = self._find(target, now), self.find_cold_until(target, now)
            cold += until > now
            if (until > now) == warm_up.is_logged:
                continue
            warm_up.is_logged = until > now
            cause = None
            if until > now:
                cause = warm_up.cause if warm_up.until == until else LOST
            changes.append(_Change(target, cause, until - now, self._has_share(target, now)))
        COLD_TARGETS.set(cold)
        for change in changes[:LOGGED_CHANGES_MAX]:
            _log_change(change)
        if len(changes) > LOGGED_CHANGES_MAX:
            log_event("targets_cold", cold=cold, unlogged=len(changes) - LOGGED_CHANGES_MAX)


def _log_change(change: _Change) -> None:
    target = change.target.target_id
    if change.cause is None:
        log_event("target_warm", target=target)
        return
    seconds = round(change.seconds, 2) if math.isfinite(change.seconds) else None
    log_event(
        "target_cold", target=target, cause=change.cause, seconds=seconds, share=change.has_share
    )
