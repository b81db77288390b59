"""Record in the store at which version streams began, and look it up for those taken up again.

A node writes the streams of a few seconds into one record, again and again as more begin or one is
withdrawn, and deletes it once none of them can be taken up any more. A lookup reads what changed
since the last one; nobody follows the records.
"""

import json
import time
from collections import OrderedDict
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.gateway.stream_slots import Slot, StreamSlots
from bronzetiller.gateway.stream_versions import (
    TAKE_UP_SECONDS,
    BaseVersion,
    StreamVersions,
    decode_base_version,
)
from bronzetiller.gateway.targets import Target, TargetPool
from bronzetiller.json_values import decode_json
from bronzetiller.logs import log_event
from bronzetiller.metrics import STREAM_RECORD_CALLS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.topics import STREAMS_TOPIC, VERSIONS_TOPIC
from bronzetiller.storage.keyed import (
    AppendFailure,
    HistoryExpired,
    KeyedRecord,
    KeyedStore,
    Partition,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
    WriterSequence,
    get_era,
)
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.backoff import Backoff

VERSIONS_PARTITION = Partition(VERSIONS_TOPIC)
STREAMS_PARTITION = Partition(STREAMS_TOPIC)
VERSIONS_WAIT_SECONDS = 10.0
VERSIONS_PAUSE_SECONDS = 0.05
REVIEW_SECONDS = 1.0
KEPT_SECONDS = 2 * TAKE_UP_SECONDS  # streams that go on are recorded again
DISCARD_SECONDS = 4 * TAKE_UP_SECONDS  # records of nodes that are gone; clocks differ
FLUSH_SECONDS_MIN = 0.02
FLUSH_SECONDS_PER_NODE = 0.003  # all nodes together stay under 350 appends a second
RETRY_SECONDS_MIN = 0.25
RETRY_SECONDS_MAX = 1.0  # streams wait for their records
REMEMBERED_STREAMS_MAX = 20_000
DISCARDED_MAX = 20  # keys that one lookup deletes


@define
class StreamRecord:
    """Hold the version at which a stream begins; written once the store has it."""

    stream_id: str
    version: str
    written: bool = False
    on_written: Callable[[], None] = lambda: None


@define
class _OwnStream:
    """Hold the version of a stream's last try at this node, and count its tries."""

    version: str
    tries: int = 0


FindDone = Callable[[Result[str | None, str]], None]


@define(eq=False)
class StreamRecords:
    """Record streams and look them up on one node."""

    _scheduler: Scheduler
    _store: KeyedStore
    _incarnation: str
    _pool: TargetPool
    _count_nodes: Callable[[], int]
    _is_proposer: Callable[[], bool]
    _sees_targets: Callable[[], bool] = lambda: True
    _read_clock: Callable[[], float] = time.time
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    versions: StreamVersions = field(factory=StreamVersions)
    follower: KeyedFollower = field(init=False)
    is_writable: bool = True
    _own: "OrderedDict[str, _OwnStream]" = field(factory=OrderedDict)
    _slots: StreamSlots = field(init=False)
    _appends: int = 0
    _unwritten: list[StreamRecord] = field(factory=list)
    _writing: list[StreamRecord] = field(factory=list)
    _flush_due: bool = False
    _backoff: Backoff = field(init=False)
    _proposing: set[str] = field(factory=set)
    _position: int = -1
    _found: dict[str, dict[str, str]] = field(factory=dict)
    _lookups: list[Callable[[str | None], None]] = field(factory=list)
    _waiting_lookups: list[Callable[[str | None], None]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._slots = StreamSlots(self._incarnation, self._schedule_delete)
        self._backoff = Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, self._draw_uniform)
        self.follower = KeyedFollower(
            self._scheduler,
            self._store,
            VERSIONS_PARTITION,
            self._apply_versions,
            wait_seconds=VERSIONS_WAIT_SECONDS,
            pause_seconds=VERSIONS_PAUSE_SECONDS,
        )

    def start(self) -> None:
        """Start following the base versions and reviewing them."""
        self.follower.start()
        self._scheduler.call_every(REVIEW_SECONDS, self.review)

    def review(self) -> None:
        """Observe the versions in service, and propose a base for a service that needs one."""
        now = self._scheduler.now()
        if not self._pool.targets or not self.follower.complete:
            return
        self.versions.observe((target.version for target in self._pool.targets.values()), now)
        self.versions.set_era(get_era(self.follower.position), now)
        if not self._is_proposer() or self.follower.is_lost:
            return
        for service in self.versions.list_services():
            proposed = self.versions.propose(service, now)
            if proposed is not None and service not in self._proposing:
                self._propose(proposed)

    def _propose(self, base: BaseVersion) -> None:
        """Append a base; of several nodes' proposals with one number the store accepts the first.

        It is in force once it is read, as the accepted one may be another node's.
        """
        log_event(
            "base_version_proposed",
            service=base.service,
            version=base.version,
            settled=base.settled,
        )
        self._proposing.add(base.service)
        sequence = WriterSequence(f"base/{base.service}", base.era + 1, base.number)
        STREAM_RECORD_CALLS.labels("propose").inc()
        self._store.append(
            VERSIONS_PARTITION,
            base.service,
            base.encode(),
            sequence,
            lambda result: self._proposing.discard(base.service),
        )

    def _apply_versions(self, records: list[KeyedRecord]) -> None:
        for record in records:
            base = None if record.value is None else decode_base_version(record.key, record.value)
            if base is None:
                log_event("base_version_unread", level=30, service=record.key)
                continue
            self.versions.apply(base)
            log_event(
                "base_version",
                service=base.service,
                version=base.version,
                era=base.era,
                settled=base.settled,
            )
        self.versions.set_era(get_era(self.follower.position), self._scheduler.now())

    def record(self, stream_id: str, version: str, *, always: bool = False) -> StreamRecord | None:
        """Record that a try begins a stream; return None if it needs to wait for no record.

        Else no event of it may be delivered before the record is written.
        """
        known = self._own.get(stream_id)
        must_record = always or (known is not None and known.version != version)
        self._remember(stream_id, version)
        if not must_record and not self.versions.needs_record(version):
            return None
        record = StreamRecord(stream_id, version)
        self._unwritten.append(record)
        self._schedule_flush()
        return record if must_record or self.versions.waits_for_record(version) else None

    def withdraw(self, stream_id: str, tries: int) -> None:
        """Forget tries of a stream without an event, as one elsewhere may begin it.

        Its record stays while there is another try here, as the caller may have sent it twice.
        """
        own = self._own.get(stream_id)
        if own is None:
            return
        own.tries -= tries
        if own.tries > 0:
            return
        del self._own[stream_id]
        self._unwritten = [item for item in self._unwritten if item.stream_id != stream_id]
        self._writing = [item for item in self._writing if item.stream_id != stream_id]
        self._slots.remove(stream_id)
        if self._slots.has_outdated:
            self._schedule_flush()

    def may_deliver_unrecorded(self, service: str) -> bool:
        """Return whether a stream may go on though its record cannot be written.

        Without a record it counts as one of the base, which has no target that would go on with it.
        """
        has_base = self.versions.find_base(service) is not None
        return has_base and not self.is_writable and not self.list_base_targets(service)

    def list_base_targets(self, service: str) -> list[Target]:
        """Return the targets whose streams wait for no record and that did not fail."""
        base = self.versions.find_base(service)
        return [
            target
            for target in self._pool.list_targets(service)
            if target.version == base and not target.consecutive_failures
        ]

    def _remember(self, stream_id: str, version: str) -> None:
        own = self._own.setdefault(stream_id, _OwnStream(version))
        own.version = version
        own.tries += 1
        self._own.move_to_end(stream_id)
        while len(self._own) > REMEMBERED_STREAMS_MAX:
            self._own.popitem(last=False)

    def _schedule_flush(self) -> None:
        if self._flush_due:
            return
        self._flush_due = True
        seconds = max(FLUSH_SECONDS_MIN, FLUSH_SECONDS_PER_NODE * self._count_nodes())
        self._scheduler.call_after(seconds, self._flush)

    def _flush(self) -> None:
        """Append the record of the current slot with all streams that began in it.

        If none is new, append the record of a slot from which one was withdrawn.
        """
        slots = self._slots
        if not self._unwritten and not slots.has_outdated and self.is_writable:
            self._flush_due = False
            return
        self._writing, self._unwritten = self._unwritten, []
        is_rewritten = not self._writing and slots.has_outdated
        slot = slots.take_outdated() if is_rewritten else slots.open(self._scheduler.now())
        for record in self._writing:
            slots.add(slot, record.stream_id, record.version)
        value = {"at": self._read_clock(), "streams": _group_by_version(slot.streams)}
        STREAM_RECORD_CALLS.labels("append").inc()
        # Each append has a later epoch, so that one that is executed late is rejected.
        self._appends += 1
        sequence = WriterSequence(f"streams/{self._incarnation}", self._appends, 1)
        self._store.append(
            STREAMS_PARTITION,
            slot.key,
            json.dumps(value).encode(),
            sequence,
            lambda result: self._handle_append(slot, result),
        )

    def _handle_append(self, slot: Slot, result: Result[int, AppendFailure]) -> None:
        records, self._writing = self._writing, []
        if isinstance(result, Err):
            if self.is_writable:
                log_event("stream_records_unwritten", level=30, cause=result.err_value)
            self.is_writable = False
            self._unwritten = records + self._unwritten
            self._slots.mark_outdated(slot)
            self._scheduler.call_after(self._backoff.next_seconds(), self._flush)
            return
        self._flush_due = False
        self._backoff.reset()
        self.is_writable = True
        for record in records:
            record.written = True
            record.on_written()
        if self._unwritten or self._slots.has_outdated:
            self._schedule_flush()

    def _schedule_delete(self, slot: Slot) -> None:
        """Delete the record of a slot once none of its streams can be taken up."""

        def delete() -> None:
            self._slots.forget(slot)
            self._delete(slot.key)

        self._scheduler.call_after(KEPT_SECONDS, delete)

    def _delete(self, key: str) -> None:
        STREAM_RECORD_CALLS.labels("delete").inc()
        self._store.append(STREAMS_PARTITION, key, None, None, lambda result: None)

    def find(self, stream_id: str | None, services: set[str], done: FindDone) -> None:
        """Find the version at which a stream began.

        done receives None if it is unknown, or the cause if the store cannot be read. The store is
        read even if only one version is in service as far as this node has seen.
        """
        if stream_id is not None and stream_id in self._own:
            done(Ok(self._own[stream_id].version))
            return
        if stream_id is None:
            done(Ok(self._find_base(services) if self._is_base_certain(services) else None))
            return
        if not self.follower.complete:
            done(Err("the base versions are not read yet"))
            return

        def finish(failure: str | None) -> None:
            if failure is not None and not self._is_base_certain(services):
                done(Err(failure))
                return
            found = None if failure is not None else self._find_record(stream_id)
            done(Ok(self._find_base(services) if found is None else found))

        self._waiting_lookups.append(finish)
        if not self._lookups:
            self._look_up()

    def _find_base(self, services: set[str]) -> str | None:
        return self.versions.find_settled_base(*services) if len(services) == 1 else None

    def _is_base_certain(self, services: set[str]) -> bool:
        """Return whether streams can only have begun at the base, by what this node sees now.

        Other nodes may have begun streams at targets that a node out of touch has not seen.
        """
        now = self._scheduler.now()
        may_be_recorded = any(self.versions.may_be_recorded(name, now) for name in services)
        return len(services) == 1 and self._sees_targets() and not may_be_recorded

    def _look_up(self) -> None:
        self._lookups, self._waiting_lookups = self._waiting_lookups, []
        STREAM_RECORD_CALLS.labels("lookup").inc()
        self._read()

    def _read(self) -> None:
        if self._position < 0:
            self._store.read_newest(STREAMS_PARTITION, self._handle_newest)
        else:
            self._store.read_from(STREAMS_PARTITION, self._position, 0.0, self._handle_changes)

    def _handle_newest(self, result: Result[RecordBatch, StoreUnreachable]) -> None:
        if isinstance(result, Ok):
            self._found.clear()
            result.ok_value.records.sort(key=lambda record: record.position)
        self._handle_batch(result)

    def _handle_changes(self, result: Result[RecordBatch, ReadFailure]) -> None:
        match result:
            case Err(HistoryExpired()):
                self._position = -1
                self._store.read_newest(STREAMS_PARTITION, self._handle_newest)
            case Ok(batch):
                self._handle_batch(Ok(batch))
            case Err(StoreUnreachable() as failure):
                self._handle_batch(Err(failure))

    def _handle_batch(self, result: Result[RecordBatch, StoreUnreachable]) -> None:
        failure: str | None = None
        match result:
            case Ok(batch):
                self._position = batch.end
                self._apply_streams(batch.records)
                self.versions.set_era(get_era(batch.end), self._scheduler.now())
                if batch.has_more:
                    self._read()
                    return
            case Err(error):
                failure = error.cause
        lookups, self._lookups = self._lookups, []
        for finish in lookups:
            finish(failure)
        if self._waiting_lookups and not self._lookups:
            self._look_up()

    def _apply_streams(self, records: list[KeyedRecord]) -> None:
        expired = []
        for record in records:
            self._found.pop(record.key, None)
            streams, at = decode_streams(record.value)
            if self._read_clock() - at > DISCARD_SECONDS:
                expired.append(record.key)
            elif streams:
                self._found[record.key] = streams
        if self._is_proposer():
            for key in expired[:DISCARDED_MAX]:
                self._delete(key)

    def _find_record(self, stream_id: str) -> str | None:
        """Return the version of the newest record of a stream."""
        found = [streams[stream_id] for streams in self._found.values() if stream_id in streams]
        return found[-1] if found else None


def _group_by_version(streams: dict[str, str]) -> dict[str, list[str]]:
    grouped: dict[str, list[str]] = {}
    for stream_id, version in streams.items():
        grouped.setdefault(version, []).append(stream_id)
    return grouped


def decode_streams(value: bytes | None) -> tuple[dict[str, str], float]:
    """Return the versions by stream and the time of a record; a malformed one holds no streams."""
    if value is None:
        return {}, float("inf")
    try:
        item: Any = decode_json(value)
        streams = {
            str(stream_id): str(version)
            for version, stream_ids in item["streams"].items()
            for stream_id in stream_ids
        }
        return streams, float(item["at"])
    except (ValueError, KeyError, TypeError, AttributeError):
        log_event("stream_record_unread", level=30)
        return {}, float("inf")
