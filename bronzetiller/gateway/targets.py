"""Track the registered targets of each service and what this node observed of each."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from bronzetiller.gateway.requests import LoadReport
from bronzetiller.gateway.target_pace import TargetPace
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_AVOIDANCES
from bronzetiller.net.address import Address

AVOID_SECONDS_MIN = 0.4  # slightly longer than a target takes to refuse or reset again
AVOID_SECONDS_MAX = 4.0  # crashed targets restart within a few seconds
LOAD_REPORT_AGE_SECONDS_MAX = 2.0  # an older report no longer gives the current load
MISDIRECTED_CAUSE = "another target has this address"
CACHED_SEGMENTS_MAX = 4096
QUEUE_DELAY_DECAY_SECONDS = 1.0  # queues of prompts drain within about a second
QUEUE_DELAY_WEIGHT = 0.5  # of the newest sample in the moving average
SURVIVAL_SECONDS = 0.3  # after a loss, when nothing that was sent before it is still unread
FAILURE_DECAY = 0.8  # weight of earlier outcomes in the moving average


@frozen
class Registration:
    """Hold the record that a target publishes in the store."""

    target_id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int = 0
    warm_up_seconds: float | None = 0.0  # left when it was written, None if not stated
    software: str = ""  # its version; those of one service may serve side by side
    heartbeat: int = field(default=0, eq=False)  # rises with each write of the registration


@define(eq=False)
class Target:
    """Hold a registered target and what this node observed of it; times are monotonic seconds."""

    registration: Registration
    in_flight: int = 0
    quiet_since: float = 0.0  # while requests are open: when the target last sent anything
    sent_since_report: int = 0
    load_report: LoadReport | None = None
    load_reported_at: float = 0.0
    pace: TargetPace = field(factory=TargetPace)
    avoid_until: float = 0.0
    consecutive_failures: int = 0
    failure_rate: float = 0.0
    lapsed_until: float | None = None
    lost_at: float = float("-inf")  # when it last closed, reset or refused a connection
    pending_prefill_tokens: int = 0
    queue_delay_seconds: float = 0.0
    queue_delay_at: float = 0.0
    cached_segments: "OrderedDict[str, float]" = field(factory=OrderedDict)
    on_release: Callable[[], None] = lambda: None
    _abandoned_until: list[float] = field(factory=list)
    _heard_at: float = float("-inf")  # the first response to what was sent after the last loss

    @property
    def target_id(self) -> str:
        """Return the target's id."""
        return self.registration.target_id

    @property
    def instance(self) -> str:
        """Return an id that differs between the starts of a target under the same id."""
        return f"{self.registration.target_id}/{self.registration.started_ms}"

    @property
    def version(self) -> str:
        """Return the target's service and the version of its software."""
        return f"{self.registration.service}/{self.registration.software}"

    def record_received(self, started_at: float, now: float) -> None:
        """Record bytes of a response to a request that was started at a time.

        If it is older than a loss, its connection has outlived the loss, and so has the process.
        """
        if started_at < self.lost_at <= now - SURVIVAL_SECONDS:
            self.lost_at = float("-inf")
        self.record_heard(started_at, now)

    def record_heard(self, started_at: float, now: float) -> None:
        """Record that the target responded to a request or a probe that was started at a time."""
        self.quiet_since = now
        if started_at >= self.lost_at >= self._heard_at:
            self._heard_at = now

    @property
    def heard_after_loss_at(self) -> float | None:
        """Return when the target first responded to what was sent after its last loss, or None."""
        return self._heard_at if self._heard_at > self.lost_at else None

    def has_room(self, now: float) -> bool:
        """Return whether the target is not avoided and has a free slot, as far as is known."""
        return self.avoid_until <= now and self.estimate_load(now) < self.registration.slots

    def release(self, abandoned_until: float | None = None) -> None:
        """Record that a request has ended, or that a target may work on it until a time."""
        self.in_flight -= 1
        if abandoned_until is not None:
            self._abandoned_until.append(abandoned_until)
        self.on_release()

    def count_occupied(self, now: float) -> int:
        """Count the slots that requests of this node occupy, cancelled ones for a moment longer."""
        if self._abandoned_until:
            self._abandoned_until = [until for until in self._abandoned_until if until > now]
        return self.in_flight + len(self._abandoned_until)

    def estimate_load(self, now: float) -> int:
        """Estimate the requests at the target: those reported and those sent since the report."""
        if self.load_report is None or now - self.load_reported_at > LOAD_REPORT_AGE_SECONDS_MAX:
            return self.in_flight
        reported = self.load_report.running + self.load_report.waiting
        return max(self.in_flight, reported + self.sent_since_report)

    def estimate_queue_delay(self, now: float) -> float:
        """Estimate how long (seconds) a request waits at the target before its prefill starts."""
        return self.queue_delay_seconds * math.exp(
            (self.queue_delay_at - now) / QUEUE_DELAY_DECAY_SECONDS
        )

    def record_queue_delay(self, seconds: float, now: float) -> None:
        """Record how long a request waited beyond its own prefill."""
        estimated = self.estimate_queue_delay(now)
        self.queue_delay_seconds = estimated + QUEUE_DELAY_WEIGHT * (max(0.0, seconds) - estimated)
        self.queue_delay_at = now

    def record_load(self, load: LoadReport, now: float) -> None:
        """Record a load report of the target."""
        self.load_report = load
        self.load_reported_at = now
        self.sent_since_report = 0

    def record_segments(self, segment_ids: Iterable[str], now: float) -> None:
        """Record prompt segments that were sent to the target as cached there."""
        for segment_id in segment_ids:
            self.cached_segments[segment_id] = now
            self.cached_segments.move_to_end(segment_id)
        while len(self.cached_segments) > CACHED_SEGMENTS_MAX:
            self.cached_segments.popitem(last=False)

    def record_success(self) -> None:
        """Record a successful response."""
        self.consecutive_failures = 0
        self.failure_rate *= FAILURE_DECAY
        self.avoid_until = 0.0

    def record_failure(self, cause: str, now: float) -> None:
        """Record a failure and avoid the target, twice as long for each consecutive failure."""
        self.consecutive_failures += 1
        self.failure_rate = self.failure_rate * FAILURE_DECAY + (1 - FAILURE_DECAY)
        seconds = min(AVOID_SECONDS_MAX, AVOID_SECONDS_MIN * 2 ** (self.consecutive_failures - 1))
        self.avoid_until = now + seconds
        TARGET_AVOIDANCES.labels("failed").inc()
        log_event("target_avoided", target=self.target_id, cause=cause, seconds=seconds)


@define(eq=False)
class TargetPool:
    """Hold the targets of all services by id."""

    targets: dict[str, Target] = field(factory=dict)
    _by_service: dict[str, list[Target]] = field(factory=dict)
    _by_address: dict[Address, list[Target]] = field(factory=dict)  # empty until it is needed
    _leaving_instances: set[str] = field(factory=set)

    def list_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new requests."""
        return self._by_service.get(service, [])

    def list_services(self) -> set[str]:
        """Return the services that have at least one target."""
        return set(self._by_service)

    def list_at(self, address: Address) -> list[Target]:
        """Return the targets that are registered at an address, also those that are leaving."""
        if not self._by_address:
            for target in self.targets.values():
                self._by_address.setdefault(target.registration.address, []).append(target)
        return self._by_address.get(address, [])

    def register(self, registration: Registration) -> None:
        """Add a target or update its registration; a restarted target replaces the earlier one."""
        existing = self.targets.get(registration.target_id)
        if existing is not None and existing.registration.started_ms == registration.started_ms:
            if existing.registration.leaving != registration.leaving:
                log_event("target_changed", target=existing.target_id, leaving=registration.leaving)
            is_indexed = _get_indexed(existing.registration) == _get_indexed(registration)
            existing.registration = registration
            existing.lapsed_until = None
            if is_indexed:  # a pass over 2,700 targets for each heartbeat would fill a core
                return
        else:
            self.targets[registration.target_id] = Target(registration)
            log_event(
                "target_registered",
                target=registration.target_id,
                service=registration.service,
                address=registration.address,
                version=registration.software,
                restarted=existing is not None,
            )
        if existing is None:
            self._add_to_index(self.targets[registration.target_id])
        else:
            self._rebuild_index()

    def remove(self, target_id: str, cause: str) -> None:
        """Remove a target."""
        if self.targets.pop(target_id, None) is not None:
            log_event("target_gone", target=target_id, cause=cause)
            self._rebuild_index()

    def mark_lapsed(self, target_id: str, until: float) -> None:
        """Keep a target until then, as a store outage may have expired its registration."""
        target = self.targets.get(target_id)
        if target is not None and target.lapsed_until is None:
            target.lapsed_until = until
            log_event("target_lapsed", target=target_id)

    def remove_lapsed(self, now: float) -> None:
        """Remove the targets that were not registered again before their deadline."""
        for target in list(self.targets.values()):
            if target.lapsed_until is not None and now >= target.lapsed_until:
                self.remove(target.target_id, "registration not renewed")

    def record_refusal(self, target: Target, cause: str, now: float) -> None:
        """Record that a target refused a request because it is full, leaving or replaced."""
        if cause == MISDIRECTED_CAUSE:
            self.mark_replaced(target)
        elif target.load_reported_at < now:
            target.record_load(
                LoadReport(target.registration.slots, 1, target.registration.slots), now
            )

    def mark_replaced(self, target: Target) -> None:
        """Stop using a target because another one responds at its address."""
        if self.targets.get(target.target_id) is target:
            target.registration = evolve(target.registration, leaving=True)
            log_event("target_replaced", target=target.target_id)
            self._rebuild_index()

    def mark_leaving(self, instance: str) -> None:
        """Stop using a target that says that it is leaving, also once it registers again."""
        if instance not in self._leaving_instances:
            self._leaving_instances.add(instance)
            self._rebuild_index()

    def forget_leaving(self, instance: str) -> None:
        """Forget that a target was leaving, as it has been gone for long."""
        self._leaving_instances.discard(instance)

    def _rebuild_index(self) -> None:
        self._by_service = {}
        self._by_address.clear()
        for target in self.targets.values():
            self._add_to_index(target)

    def _add_to_index(self, target: Target) -> None:
        self._by_address.clear()
        is_leaving = target.instance in self._leaving_instances
        if not target.registration.leaving and not is_leaving:
            self._by_service.setdefault(target.registration.service, []).append(target)


def _get_indexed(registration: Registration) -> tuple[str, Address, bool]:
    """Return the fields of a registration by which the pool finds its target."""
    return registration.service, registration.address, registration.leaving
