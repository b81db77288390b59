"""Follow the configuration and the targets in the store."""

import math
from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok

from bronzetiller.gateway.configuration import GatewayConfiguration
from bronzetiller.gateway.evacuations import EvacuationChange, Evacuations
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.logs import log_event
from bronzetiller.metrics import CONFIGURATION_VERSION, DECISIONS, EVACUATED_DATA_CENTRES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.decoding import decode_configuration, decode_registration
from bronzetiller.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC, REGISTRATIONS_TOPIC
from bronzetiller.storage.change_list import ChangeList
from bronzetiller.storage.keyed import KeyedReader, KeyedRecord, Partition
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.confirmation import is_outdated

CONFIGURATION_WAIT_SECONDS = 0.4  # a confirmation is older than this when the next one comes
CONFIGURATION_PAUSE_SECONDS = 0.05
CONFIGURATION_RELAYED_SECONDS_MAX = 3.6  # a large one may take as long from node to node
CONFIGURATION_PEER_WAIT_SECONDS = 0.5
TARGETS_PAUSE_SECONDS = 0.5  # targets write about once a second; changes may apply seconds late
LAPSE_GRACE_SECONDS = 2.2  # after an outage, for targets to renew expired registrations
# After a restoration of the store: for targets to replace registrations of an older state, or for
# these to expire after three heartbeats.
OUTDATED_SECONDS = 4.0
HEARTBEATS_KEPT_MAX = 8_192


@define(eq=False)
class ConfigurationFollower:
    """Hold the newest configuration, which no older version replaces, and the evacuations."""

    _scheduler: Scheduler
    _reader: KeyedReader
    _on_change: Callable[[GatewayConfiguration], None]
    evacuations: Evacuations = field(factory=Evacuations)
    configuration: GatewayConfiguration | None = None
    _activated_at: float | None = None
    _unread_from: float | None = None
    _unconfirmed: bool = True
    follower: KeyedFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.follower = KeyedFollower(
            self._scheduler,
            self._reader,
            Partition(OPERATOR_TOPIC),
            self._apply_records,
            wait_seconds=CONFIGURATION_WAIT_SECONDS,
            pause_seconds=CONFIGURATION_PAUSE_SECONDS,
            skips_versions=True,
            relayed_seconds_max=CONFIGURATION_RELAYED_SECONDS_MAX,
        )

    def compute_confirmation_age(self) -> float:
        """Return the seconds since the configuration was last known to be current at the store."""
        if not self.follower.complete:
            return math.inf
        confirmed_at = (
            self.follower.confirmed_at if self._unread_from is None else self._unread_from
        )
        return max(0.0, self._scheduler.now() - confirmed_at)

    def log_confirmation(self) -> None:
        """Log that the configuration ceased to be confirmed, or is confirmed again."""
        age = self.compute_confirmation_age()
        if is_outdated(age) == self._unconfirmed:
            return
        self._unconfirmed = not self._unconfirmed
        version = -1 if self.configuration is None else self.configuration.version
        log_event(
            "configuration_unconfirmed" if self._unconfirmed else "configuration_confirmed",
            version=version,
            confirmation_age=round(age, 3),
            confirmed_by=self.follower.confirmed_by,
        )

    def _apply_records(self, records: list[KeyedRecord]) -> None:
        self._apply_evacuations(records)
        values = [item.value for item in records if item.key == CONFIGURATION_KEY and item.value]
        if not values:
            return
        if self._unread_from is None:  # until the version is applied, however that fails
            self._unread_from = self.follower.confirmed_before
        match decode_configuration(values[-1]):
            case Err(reason):
                DECISIONS.labels("rejected").inc()
                log_event("configuration_unread", level=40, cause=reason)
            case Ok(configuration):
                self._unread_from = None
                self._activate(configuration, len(values[-1]))

    def _apply_evacuations(self, records: list[KeyedRecord]) -> None:
        """Apply evacuations and their ends; those that a restored store lost hold for a while."""
        changes = self.evacuations.apply(
            ((item.key, item.value) for item in records),
            self._scheduler.now(),
            is_restored=self.follower.is_restoring,
        )
        self._log_evacuations(changes)
        until = self.evacuations.find_lost_until()
        if self.follower.is_restoring and until is not None:
            self._scheduler.call_at(until, self._end_lost_evacuations)

    def _end_lost_evacuations(self) -> None:
        self._log_evacuations(self.evacuations.end_lost(self._scheduler.now()))

    def _log_evacuations(self, changes: list[EvacuationChange]) -> None:
        for change in changes:
            log_event(
                "evacuation_ended" if change.ended else "evacuation_began",
                data_centre=change.data_centre,
                seconds=round(change.seconds, 3),
                cause=change.cause,
                source=",".join(self.follower.source_path) or "store",
                confirmation_age=round(self.compute_confirmation_age(), 3),
                confirmed_by=self.follower.confirmed_by,
            )
        EVACUATED_DATA_CENTRES.set(len(self.evacuations.since))

    def _activate(self, configuration: GatewayConfiguration, size: int) -> None:
        known = -1 if self.configuration is None else self.configuration.version
        if configuration.version <= known:
            log_event("configuration_older", level=30, version=configuration.version, known=known)
            return
        now, activated_at = self._scheduler.now(), self._activated_at
        self.configuration, self._activated_at = configuration, now
        DECISIONS.labels("accepted").inc()
        CONFIGURATION_VERSION.set(configuration.version)
        log_event(
            "configuration_in_force",
            version=configuration.version,
            before=known,
            bytes=size,
            source=",".join(self.follower.source_path) or "store",
            confirmation_age=round(self.compute_confirmation_age(), 3),
            confirmed_by=self.follower.confirmed_by,
            after_seconds=None if activated_at is None else round(now - activated_at, 3),
        )
        self._on_change(configuration)


@define(eq=False)
class TargetsFollower:
    """Apply the targets' registrations in the store to the pool."""

    _scheduler: Scheduler
    _reader: KeyedReader
    _pool: TargetPool
    _heartbeats: OrderedDict[tuple[str, int], int] = field(factory=OrderedDict)
    follower: KeyedFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.follower = KeyedFollower(
            self._scheduler,
            self._reader,
            Partition(REGISTRATIONS_TOPIC),
            self._apply_records,
            wait_seconds=0.0,
            pause_seconds=TARGETS_PAUSE_SECONDS,
            changes=ChangeList(has_registration_changed),
        )

    def _apply_records(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if record.value is None:
                self._remove(record.key)
                continue
            match decode_registration(record.key, record.value):
                case Ok(registration):
                    self._apply(registration)
                case Err(reason):
                    log_event("registration_unread", level=30, target=record.key, cause=reason)
                    self._pool.remove(record.key, "registration is malformed")

    def _apply(self, registration: Registration) -> None:
        """Register a target, unless a copy of the store brought back an older state of it."""
        target_id = registration.target_id
        instance = (target_id, registration.started_ms)
        restored_at = self.follower.restored_at
        until = -math.inf if restored_at is None else restored_at + OUTDATED_SECONDS
        is_older = registration.heartbeat <= self._heartbeats.get(instance, -1)
        if is_older and self._scheduler.now() < until:
            log_event("registration_outdated", target=target_id, heartbeat=registration.heartbeat)
            self._scheduler.call_at(until, lambda: self._apply_unchanged(target_id))
            return
        self._heartbeats[instance] = registration.heartbeat
        self._heartbeats.move_to_end(instance)
        if len(self._heartbeats) > HEARTBEATS_KEPT_MAX:
            self._heartbeats.popitem(last=False)
        self._pool.register(registration)

    def _apply_unchanged(self, target_id: str) -> None:
        """Apply the registration that a target left as the copy of the store had it."""
        value = self.follower.values.get(target_id)
        if value is not None:
            self._apply_records([KeyedRecord(target_id, value, self.follower.position)])

    def _remove(self, target_id: str) -> None:
        """Remove a target, or mark it lapsed if an outage may have expired its registration."""
        regained_at = self.follower.regained_at
        now = self._scheduler.now()
        if regained_at is not None and now < regained_at + LAPSE_GRACE_SECONDS:
            until = regained_at + LAPSE_GRACE_SECONDS
            self._pool.mark_lapsed(target_id, until)
            self._scheduler.call_at(until, lambda: self._pool.remove_lapsed(self._scheduler.now()))
        else:
            self._pool.remove(target_id, "registration removed")


def has_registration_changed(before: bytes | None, after: bytes | None) -> bool:
    """Return whether a registration changed in more than its heartbeat count."""
    if before is None or after is None:
        return before != after
    return decode_registration("", before) != decode_registration("", after)
