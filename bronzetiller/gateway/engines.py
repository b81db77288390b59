"""Know the targets of each service: who is registered, and what this node has seen of each."""

import math
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from bronzetiller.gateway.requests import HeardLoad
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_AVOIDANCES
from bronzetiller.net.address import Address

AVOID_SECONDS_MIN = 0.4  # a little over the time a target needs to refuse or reset again
AVOID_SECONDS_MAX = 4.0  # targets that crash are back after some seconds
HEARD_SECONDS_MAX = 2.0  # a report older than this says nothing of the load now
OTHER_TARGET = "another target has the address"
CACHED_PARTS_MAX = 4096
DELAY_FADE_SECONDS = 1.0  # queues of prompts drain within about a second
DELAY_WEIGHT = 0.5  # of the newest wait against the earlier ones
FAILURE_DECAY = 0.8  # weight of a target's earlier outcomes against its newest one


@frozen
class Registration:
    """Hold what a target says of itself in the store."""

    engine_id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    leaving: bool
    started_ms: int = 0
    warm_up_seconds: float = 0.0


@define(eq=False)
class Engine:
    """Hold one registered target and what this node has seen of it; times are monotonic seconds."""

    registration: Registration
    in_flight: int = 0
    sent_since_heard: int = 0
    heard: HeardLoad | None = None
    heard_at: float = 0.0
    avoid_until: float = 0.0
    failures_in_a_row: int = 0
    failure_share: float = 0.0
    lapsed_until: float | None = None
    unread_tokens: int = 0
    delay_seconds: float = 0.0
    delayed_at: float = 0.0
    cached_parts: "OrderedDict[str, float]" = field(factory=OrderedDict)

    @property
    def engine_id(self) -> str:
        """Return the target's id."""
        return self.registration.engine_id

    def estimate_load(self, now: float) -> int:
        """Estimate the requests at the target: what it reported and what was sent since."""
        if self.heard is None or now - self.heard_at > HEARD_SECONDS_MAX:
            return self.in_flight
        reported = self.heard.running + self.heard.waiting
        return max(self.in_flight, reported + self.sent_since_heard)

    def estimate_delay(self, now: float) -> float:
        """Estimate how long (seconds) a request waits there before its own prompt is read."""
        return self.delay_seconds * math.exp((self.delayed_at - now) / DELAY_FADE_SECONDS)

    def note_delay(self, seconds: float, now: float) -> None:
        """Count the time that a request waited beyond the reading of its own prompt."""
        known = self.estimate_delay(now)
        self.delay_seconds = known + DELAY_WEIGHT * (max(0.0, seconds) - known)
        self.delayed_at = now

    def note_load(self, load: HeardLoad, now: float) -> None:
        """Take a report of the target's load."""
        self.heard = load
        self.heard_at = now
        self.sent_since_heard = 0

    def note_parts(self, part_ids: Iterable[str], now: float) -> None:
        """Remember the prompt parts that the target has read."""
        for part_id in part_ids:
            self.cached_parts[part_id] = now
            self.cached_parts.move_to_end(part_id)
        while len(self.cached_parts) > CACHED_PARTS_MAX:
            self.cached_parts.popitem(last=False)

    def note_success(self) -> None:
        """Count an answer."""
        self.failures_in_a_row = 0
        self.failure_share *= FAILURE_DECAY
        self.avoid_until = 0.0

    def note_failure(self, cause: str, now: float) -> None:
        """Count a failure and avoid the target, longer with each one in a row."""
        self.failures_in_a_row += 1
        self.failure_share = self.failure_share * FAILURE_DECAY + (1 - FAILURE_DECAY)
        seconds = min(AVOID_SECONDS_MAX, AVOID_SECONDS_MIN * 2 ** (self.failures_in_a_row - 1))
        self.avoid_until = now + seconds
        TARGET_AVOIDANCES.labels("failed").inc()
        log_event("target_avoided", target=self.engine_id, cause=cause, seconds=seconds)


@define(eq=False)
class EnginePool:
    """Hold the targets of all services by id."""

    engines: dict[str, Engine] = field(factory=dict)
    _by_service: dict[str, list[Engine]] = field(factory=dict)

    def list_service(self, service: str) -> list[Engine]:
        """Return the targets that take new work."""
        return self._by_service.get(service, [])

    def list_services(self) -> set[str]:
        """Return the services that have a target."""
        return set(self._by_service)

    def register(self, registration: Registration) -> None:
        """Take in a target's registration, new or changed."""
        known = self.engines.get(registration.engine_id)
        if known is not None and known.registration.started_ms == registration.started_ms:
            if known.registration.leaving != registration.leaving:
                log_event("target_changed", target=known.engine_id, leaving=registration.leaving)
            known.registration = registration
            known.lapsed_until = None
        else:
            self.engines[registration.engine_id] = Engine(registration)
            log_event(
                "target_registered",
                target=registration.engine_id,
                service=registration.service,
                address=registration.address,
                restarted=known is not None,
            )
        self._index()

    def remove(self, engine_id: str, cause: str) -> None:
        """Forget a target."""
        if self.engines.pop(engine_id, None) is not None:
            log_event("target_gone", target=engine_id, cause=cause)
            self._index()

    def lapse(self, engine_id: str, until: float) -> None:
        """Keep a target whose registration may only have expired in an outage of the store."""
        engine = self.engines.get(engine_id)
        if engine is not None and engine.lapsed_until is None:
            engine.lapsed_until = until
            log_event("target_lapsed", target=engine_id)

    def expire_lapsed(self, now: float) -> None:
        """Forget the targets whose registrations have not come back in time."""
        for engine in list(self.engines.values()):
            if engine.lapsed_until is not None and now >= engine.lapsed_until:
                self.remove(engine.engine_id, "registration not renewed")

    def note_refusal(self, engine: Engine, cause: str, now: float) -> None:
        """Take note that a target did not run a request: it is full, leaving or replaced."""
        if cause == OTHER_TARGET:
            self.refuse_address(engine)
        elif engine.heard_at < now:
            engine.note_load(
                HeardLoad(engine.registration.slots, 1, engine.registration.slots), now
            )

    def refuse_address(self, engine: Engine) -> None:
        """Stop using a target at whose address another one answers."""
        if self.engines.get(engine.engine_id) is engine:
            engine.registration = evolve(engine.registration, leaving=True)
            log_event("target_replaced", target=engine.engine_id)
            self._index()

    def _index(self) -> None:
        self._by_service = {}
        for engine in self.engines.values():
            if not engine.registration.leaving:
                self._by_service.setdefault(engine.registration.service, []).append(engine)
