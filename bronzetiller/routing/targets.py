"""Track the targets of all services and choose one for each attempt."""

import math
import time
from collections.abc import Callable, Iterable
from random import Random

from attrs import define, field

from bronzetiller.configuration.records import PlannedStop
from bronzetiller.fleet.vm_list import Vm, VmList, VmState
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_AVOIDANCES
from bronzetiller.net.http_client import TOO_LATE
from bronzetiller.net.scheduler import read_clock
from bronzetiller.routing.engine import AttemptEvent, AttemptListener, CompletionEnd, CompletionPart
from bronzetiller.routing.selection import SelectionRules, select_target
from bronzetiller.routing.service import CallOutcome, OutcomeListener, ServiceFailed
from bronzetiller.routing.target_state import LoadReport, TargetState

RECENTLY_USED_SECONDS = 30.0
PLANNED_STOPS_REFRESH_SECONDS = 0.5
STATUS_UNAVAILABLE = 503
STATUS_TOO_MANY_REQUESTS = 429


@define
class TargetChooser:
    """Choose targets by load, prefix and region; the earliest signal that one is leaving counts.

    The signals are the VM list, a planned stop that is due, and a refusal by the target itself.
    """

    vm_list: VmList
    region: str
    link_seconds: float = 0.03
    random: Random = field(factory=Random)
    now: Callable[[], float] = read_clock
    wall_clock: Callable[[], float] = time.time
    on_free_slots: Callable[[str], None] | None = None
    on_refusal: Callable[[Vm], None] | None = None
    list_planned_stops: Callable[[], Iterable[PlannedStop]] = tuple
    _states: dict[str, TargetState] = field(factory=dict)
    _planned_stops: dict[str, float] = field(factory=dict)
    _planned_stops_read_at: float = float("-inf")
    _services: dict[str, list[Vm]] | None = None

    def __attrs_post_init__(self) -> None:
        self.vm_list.subscribe(self._on_list_change)

    @property
    def outstanding(self) -> dict[str, int]:
        """Return the number of running attempts by target."""
        states = self._states.items()
        return {vm_id: state.outstanding for vm_id, state in states if state.outstanding}

    def choose(self, service: str, excluded: set[str], prefix_key: str = "") -> Vm | None:
        """Return a target of the service that accepts new work, or None."""
        candidates = [
            vm
            for vm in self.find_targets(service)
            if vm.vm_id not in excluded and self.accepts_new_work(vm)
        ]
        rules = SelectionRules(self.region, self.link_seconds)
        return select_target(candidates, self.get_state, rules, prefix_key, self.random, self.now())

    def find_targets(self, service: str) -> list[Vm]:
        """Return the listed targets of a service, including leaving ones."""
        if self._services is None:
            self._services = {}
            for vm in self.vm_list.vms.values():
                if vm.service is not None:
                    self._services.setdefault(vm.service, []).append(vm)
        return self._services.get(service, [])

    def accepts_new_work(self, vm: Vm) -> bool:
        """Return whether neither the VM list nor a planned stop marks the target as leaving."""
        if vm.state is not VmState.LIVE:
            return False
        stop_at = self._read_planned_stops().get(vm.vm_id)
        return stop_at is None or self.wall_clock() < stop_at

    def count_free_slots(self, service: str) -> float:
        """Return how many more requests the targets can start, exact only below one.

        It is infinite without any healthy target: a request is then tried or refused, not queued.
        """
        now = self.now()
        free_slots = 0.0
        healthy = False
        for vm in self.find_targets(service):
            state = self.get_state(vm)
            if not self.accepts_new_work(vm) or state.is_refusing(now):
                continue
            if state.failures == 0:
                healthy = True
                free_slots += max(0.0, state.count_slots(now) - state.estimate_load(now))
            if free_slots >= 1.0:
                return free_slots
        return free_slots if healthy else math.inf

    def get_state(self, vm: Vm) -> TargetState:
        """Return the state of a target, created on first use."""
        state = self._states.get(vm.vm_id)
        if state is None:
            state = self._states[vm.vm_id] = TargetState()
        return state

    def begin(self, vm: Vm) -> None:
        """Record that an attempt has started."""
        state = self.get_state(vm)
        state.outstanding += 1
        state.last_used_at = self.now()

    def end(self, vm: Vm) -> None:
        """Record that an attempt has ended."""
        state = self.get_state(vm)
        state.outstanding -= 1
        if self.on_free_slots is not None and vm.service is not None:
            self.on_free_slots(vm.service)

    def record_response(self, vm: Vm, seconds: float) -> None:
        """Record a complete response and its duration."""
        self.get_state(vm).record_response(seconds)

    def record_first_part_delay(self, vm: Vm, seconds: float) -> None:
        """Record the seconds until the first part of a response."""
        self.get_state(vm).record_first_part_delay(seconds, self.now())

    def record_failure(self, vm: Vm, status: int, cause: str) -> None:
        """Record that a target failed, or that it refused new work itself."""
        state = self.get_state(vm)
        if status in (STATUS_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS):
            state.record_refusal(self.now())
            TARGET_AVOIDANCES.labels("refused").inc()
            if self.on_refusal is not None:
                self.on_refusal(vm)
        else:
            state.record_failure(self.now())
            TARGET_AVOIDANCES.labels("failed").inc()
        log_event("target_avoided", target=vm.vm_id, status=status, cause=cause)

    def record_load(self, vm: Vm, report: LoadReport, outstanding_at_poll: int) -> None:
        """Record the load report of a target."""
        self.get_state(vm).record_load(report, outstanding_at_poll, self.now())
        if self.on_free_slots is not None and vm.service is not None:
            self.on_free_slots(vm.service)

    def list_recently_used(self) -> list[Vm]:
        """Return the live targets with running or recent attempts, to be polled for load."""
        now = self.now()
        recent: list[Vm] = []
        for vm in self.vm_list.vms.values():
            state = self._states.get(vm.vm_id)
            if state is None or vm.state is not VmState.LIVE:
                continue
            if state.outstanding or now - state.last_used_at < RECENTLY_USED_SECONDS:
                recent.append(vm)
        return recent

    def _read_planned_stops(self) -> dict[str, float]:
        now = self.now()
        if now - self._planned_stops_read_at >= PLANNED_STOPS_REFRESH_SECONDS:
            self._planned_stops_read_at = now
            self._planned_stops = {}
            for stop in self.list_planned_stops():
                earliest = min(stop.stop_at, self._planned_stops.get(stop.vm_id, stop.stop_at))
                self._planned_stops[stop.vm_id] = earliest
        return self._planned_stops

    def _on_list_change(self) -> None:
        self._services = None
        for vm_id in self._states.keys() - self.vm_list.vms.keys():
            if not self._states[vm_id].outstanding:
                del self._states[vm_id]


def observe_attempt(chooser: TargetChooser, vm: Vm, listener: AttemptListener) -> AttemptListener:
    """Return a listener that records the outcome of an attempt before it calls listener."""
    started_at = chooser.now()
    has_first_part = False

    def listen(event: AttemptEvent) -> None:
        nonlocal has_first_part
        if isinstance(event, CompletionPart):
            if not has_first_part:
                has_first_part = True
                chooser.record_first_part_delay(vm, chooser.now() - started_at)
        elif isinstance(event, CompletionEnd):
            chooser.record_response(vm, chooser.now() - started_at)
        elif not 400 <= event.status < 500 or event.status == STATUS_TOO_MANY_REQUESTS:
            chooser.record_failure(vm, event.status, event.cause)
        listener(event)

    return listen


def observe_call(chooser: TargetChooser, vm: Vm, listener: OutcomeListener) -> OutcomeListener:
    """Return a listener that records the outcome of a service call before it calls listener."""
    started_at = chooser.now()

    def listen(outcome: CallOutcome) -> None:
        if isinstance(outcome, ServiceFailed):
            if outcome.cause != TOO_LATE:
                chooser.record_failure(vm, 0, outcome.cause)
        elif outcome.status in (STATUS_UNAVAILABLE, STATUS_TOO_MANY_REQUESTS):
            chooser.record_failure(vm, outcome.status, f"status {outcome.status}")
        else:
            chooser.record_response(vm, chooser.now() - started_at)
        listener(outcome)

    return listen
