"""Follow a partition of a keyed store and keep the newest value of each key."""

import math
from collections.abc import Callable
from functools import partial

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.logs import log_event
from bronzetiller.metrics import RECORD_FAILURES, STORE_RESTORATIONS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.change_list import ChangeList
from bronzetiller.storage.keyed import (
    HistoryExpired,
    KeyedReader,
    KeyedRecord,
    Partition,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
    get_era,
    get_offset,
)
from bronzetiller.sync.backoff import Backoff

RETRY_SECONDS_MIN = 0.1
RETRY_SECONDS_MAX = 0.8  # changes must be in force within a few seconds
HISTORY_SECONDS_MAX = 2.0  # missed for longer, the newest records are fewer than all that came

LOGGED_KEYS_MAX = 20
LOGGED_CAUSE_MAX = 200  # characters

ChangeListener = Callable[[list[KeyedRecord]], None]


@define(eq=False)
class KeyedFollower:
    """Read a partition until the process exits.

    Each read waits up to wait_seconds for the first new record; the next read starts pause_seconds
    after it. read_at is when the store last sent the values or that they have not changed,
    confirmed_at when it was asked for them, so that no newer ones existed then; lost_at is when
    reads began to fail (None while they succeed), regained_at when they last succeeded again,
    restored_at when the store was last found in a later era (seconds, monotonic). A restoration
    counts as an outage; is_restoring is true while its records are delivered.

    With skips_versions, a follower that received several versions of a key at once reads only the
    newest ones until nothing changes: over a slow connection, each read of all versions would take
    longer than the one before. After reads have failed for some time, every follower does so.

    Records are relayed to other nodes as current until they are relayed_seconds_max old, or,
    without it, as long as the relay chooses.

    confirmed_before is the confirmation before the last one, for a listener that cannot apply it.
    confirmed_by says, for logs, who confirmed the values last, and with how many records.
    """

    _scheduler: Scheduler
    _reader: KeyedReader
    partition: Partition
    _on_change: ChangeListener
    wait_seconds: float
    pause_seconds: float
    skips_versions: bool = False
    relayed_seconds_max: float | None = None
    changes: ChangeList = field(factory=ChangeList)
    values: dict[str, bytes] = field(factory=dict)
    position: int = -1
    complete: bool = False
    source_path: tuple[str, ...] = ()
    read_at: float = 0.0
    confirmed_at: float = float("-inf")
    lost_at: float | None = None
    regained_at: float | None = None
    restored_at: float | None = None
    is_restoring: bool = False
    confirmed_before: float = float("-inf")
    confirmed_by: str = ""
    _discarded: list[str] = field(factory=list)
    _expired: bool = False
    _behind: bool = False
    _backoff: Backoff = field(factory=lambda: Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX))
    _contact_at: float = float("-inf")
    _listeners: list[Callable[[], None]] = field(factory=list)
    _loss_listeners: list[Callable[[], None]] = field(factory=list)

    def start(self) -> None:
        """Start reading."""
        self._read()

    @property
    def is_direct(self) -> bool:
        """Return whether the last records came from the store itself."""
        return self.complete and not self.source_path

    @property
    def is_lost(self) -> bool:
        """Return whether the last read failed."""
        return self.lost_at is not None

    def is_current(self, seconds: float) -> bool:
        """Return whether the partition was read within the last seconds."""
        return self.complete and self._scheduler.now() - self.read_at <= seconds

    def subscribe(self, action: Callable[[], None]) -> None:
        """Call the action after each read that changed a value."""
        self._listeners.append(action)

    def subscribe_to_loss(self, action: Callable[[], None]) -> None:
        """Call the action when reads begin to fail."""
        self._loss_listeners.append(action)

    def discard(self, key: str) -> None:
        """Treat a key as deleted until it is written again, also for the nodes that read from here.

        The deletion has the position of the next record, so that these nodes have not read past it.
        It moves on with the next read, for those that had read further than this node.
        """
        if self.values.pop(key, None) is not None:
            self.changes.add(KeyedRecord(key, None, self.position))
            self._discarded.append(key)

    def may_accept(self, batch: RecordBatch, from_position: int) -> bool:
        """Return whether a batch that no read waits for continues what this follower has."""
        return batch.end >= self.position and (
            batch.whole is True or 0 <= from_position <= self.position
        )

    def accept(self, batch: RecordBatch, from_position: int, asked_at: float) -> None:
        """Apply records that a read did not wait for: a late response, or what a peer offers.

        Without all keys, the batch holds the changes since from_position.
        """
        if not self.may_accept(batch, from_position):
            return
        if batch.whole:
            self._apply_whole(_confirm(batch, asked_at))
        else:
            self._apply_changes(_confirm(batch, asked_at))

    def _read(self) -> None:
        position = self.position
        now = self._scheduler.now()
        if (
            position < 0
            or self._expired
            or self._behind
            or now - self._contact_at > HISTORY_SECONDS_MAX
        ):
            self._reader.read_newest(
                self.partition,
                lambda result: self._handle_newest(result, now, position),
                lambda batch: self._accept_late(batch, True, position, now),
            )
        else:
            self._reader.read_from(
                self.partition,
                position,
                self.wait_seconds,
                lambda result: self._handle_records(result, now),
                lambda batch: self._accept_late(batch, False, position, now),
            )

    def _accept_late(self, batch: RecordBatch, whole: bool, position: int, asked_at: float) -> None:
        batch = batch if batch.whole is not None else evolve(batch, whole=whole)
        self.accept(batch, position, asked_at)

    def _handle_newest(
        self, result: Result[RecordBatch, StoreUnreachable], asked_at: float, asked_position: int
    ) -> None:
        match result:
            case Err(failure):
                self._schedule_retry(failure)
            case Ok(batch) if batch.whole is False:
                self._behind = self._expired = False
                self._apply_changes(_confirm(batch, asked_at))
                self._schedule_read()
            case Ok(batch) if not batch.source_path and batch.end < asked_position:
                # What is written at the positions that were read must not pass for read.
                self._expired = True
                cause = f"the store ends at {batch.end}, before {asked_position}, which was read"
                self._schedule_retry(StoreUnreachable(cause, False))
            case Ok(batch):
                self._apply_whole(_confirm(batch, asked_at))
                self._schedule_read()

    def _handle_records(self, result: Result[RecordBatch, ReadFailure], asked_at: float) -> None:
        match result:
            case Err(HistoryExpired(cause)):
                log_event("history_expired", partition=self.partition, cause=cause)
                self._expired = True
                self._read()
            case Err(StoreUnreachable() as failure):
                self._schedule_retry(failure)
            case Ok(batch) if batch.whole:
                self._apply_whole(_confirm(batch, asked_at))
                self._schedule_read()
            case Ok(batch):
                keys = [record.key for record in batch.records]
                has_newer = batch.has_more or len(keys) > len(set(keys))
                self._behind = self.skips_versions and has_newer
                self._apply_changes(_confirm(batch, asked_at))
                self._schedule_read()

    def _apply_whole(self, batch: RecordBatch) -> None:
        """Replace the values by those of a batch that holds all keys."""
        if self.position > batch.end:  # of a peer that has read less
            self._behind = False
            self._apply_batch(evolve(batch, records=[], end=self.position))
            return
        present = {record.key for record in batch.records}
        deleted = [KeyedRecord(key, None, batch.end) for key in self.values.keys() - present]
        is_new_era = get_era(batch.end) != get_era(self.position)
        if self.position < 0 or self._expired or is_new_era:
            self.changes.restart(batch.end)
        self._behind = self._behind and self.position < batch.end
        self._expired = False
        self._detect_restoration(batch.end)
        self._apply_batch(evolve(batch, records=[*deleted, *batch.records]))

    def _apply_changes(self, batch: RecordBatch) -> None:
        """Apply the changes of a batch that were not read meanwhile."""
        records = [record for record in batch.records if record.position >= self.position]
        end = max(batch.end, self.position)
        self._detect_restoration(end)
        self._apply_batch(evolve(batch, records=records, end=end))

    def _detect_restoration(self, end: int) -> None:
        """Record that the store came back without records that this follower may have read.

        A registration that expired meanwhile, or is missing in the copy, may be written again.
        """
        if self.position < 0 or get_era(end) == get_era(self.position):
            return
        STORE_RESTORATIONS.labels(self.partition.topic).inc()
        log_event(
            "store_restored",
            level=30,
            partition=self.partition,
            era=get_era(end),
            lost_from=get_offset(end),
            read_to=get_offset(self.position),
        )
        self.restored_at = self.regained_at = self._scheduler.now()
        self.is_restoring = True

    def _apply_batch(self, batch: RecordBatch) -> None:
        now = self._contact_at = self._scheduler.now()
        self.source_path = batch.source_path
        if not batch.has_more:
            self.read_at = max(self.read_at, now - batch.age_seconds)
            confirmed_at = -math.inf if batch.confirmed_at is None else batch.confirmed_at
            if confirmed_at > self.confirmed_at:
                self.confirmed_before, self.confirmed_at = self.confirmed_at, confirmed_at
                source = ",".join(batch.source_path) or "store"
                self.confirmed_by = f"{source}:{len(batch.records)}"
        if self.lost_at is not None:
            seconds = round(now - self.lost_at, 3)
            log_event("store_regained", partition=self.partition, lost_seconds=seconds)
            self.regained_at, self.lost_at = now, None
        self._backoff.reset()
        changed = [record for record in batch.records if self._apply(record)]
        for record in batch.records:
            self._run_guarded(record.key, partial(self.changes.add, record))
        self.position = batch.end
        discarded, self._discarded = self._discarded, []
        for key in discarded:
            self.changes.move_deletion(key, self.position)
        self.complete = True
        if changed:
            self._deliver(changed)
            for action in self._listeners:
                action()
        self.is_restoring = False

    def _schedule_read(self) -> None:
        self._scheduler.call_after(self.pause_seconds, self._read)

    def _deliver(self, records: list[KeyedRecord]) -> None:
        """Pass changes on, one by one if the listener fails, so that none stops those after it."""
        keys = ",".join(record.key for record in records[:LOGGED_KEYS_MAX])
        if self._run_guarded(keys, partial(self._on_change, records)) or len(records) == 1:
            return
        for record in records:
            self._run_guarded(record.key, partial(self._on_change, [record]))

    def _run_guarded(self, keys: str, action: Callable[[], None]) -> bool:
        """Run an action on records; return False if it fails."""
        try:
            action()
        except Exception as error:  # whatever others wrote, the records after it must be read
            RECORD_FAILURES.labels(self.partition.topic).inc()
            cause = repr(error)[:LOGGED_CAUSE_MAX]
            log_event("record_failed", level=40, partition=self.partition, keys=keys, cause=cause)
            return False
        return True

    def _apply(self, record: KeyedRecord) -> bool:
        if record.value is None:
            return self.values.pop(record.key, None) is not None
        if self.values.get(record.key) == record.value:
            return False
        self.values[record.key] = record.value
        return True

    def _schedule_retry(self, failure: StoreUnreachable) -> None:
        now = self._scheduler.now()
        if self.lost_at is None:
            self.lost_at = now
            log_event("store_lost", level=30, partition=self.partition, cause=failure.cause)
            for action in self._loss_listeners:
                action()
        delay = self._backoff.next_seconds()
        log_event(
            "store_read_failed",
            partition=self.partition,
            cause=failure.cause,
            seconds=round(failure.seconds, 3),
            bytes=failure.received_bytes,
            failures=self._backoff.failures,
            lost_seconds=round(now - self.lost_at, 3),
        )
        self._scheduler.call_after(delay, self._read)


def _confirm(batch: RecordBatch, asked_at: float) -> RecordBatch:
    """Return a batch with the time of its confirmation, unless it has one.

    A store that ends a wait early cannot be told from one whose response was long under way, so a
    read proves nothing about the time after it was asked for.
    """
    return batch if batch.confirmed_at is not None else evolve(batch, confirmed_at=asked_at)
