"""Read partitions of the store through peers, and relay them to peers."""

import math
import zlib
from collections.abc import Callable
from random import Random

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.fleet.peers import NOT_CONNECTED, Peers, Reply
from bronzetiller.logs import log_event
from bronzetiller.metrics import RELAYED_ENTRIES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.keyed import (
    KeyedRecord,
    KeyedStoreReader,
    LateDone,
    NewestDone,
    Partition,
    ReadDone,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
)
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.read_plan import ANSWERED_SECONDS_MAX, ReadPlan
from bronzetiller.sync.sources import Role, Sources
from bronzetiller.wire.messages import (
    FetchRecords,
    KeyedEntry,
    Message,
    OfferRecords,
    Records,
    RecordsAway,
)

RESPONSE_TIMEOUT_SECONDS = 0.5  # without any byte from the peer, in addition to the requested wait
TRANSFER_SECONDS_MAX = 6.0
COMPRESSED_BYTES_MIN = 2_048
RECORD_BYTES_MAX = 16 * 1024 * 1024
OVERDUE_SECONDS = 1.4  # since the confirmation at a peer that reads the store
NO_SOURCE = "no peer has current data"
# Records are relayed until they are older than two read intervals of this node and its source.
AGE_SECONDS_MARGIN = 1.5


@define(eq=False)
class PeerReader:
    """Read one partition from the sources among the peers, or from the store itself.

    source_path holds the nodes that the last records came through; it is empty if they came from
    the store, and None before the first read. Records that came through this node are rejected, so
    that no two nodes use each other as the source. peer_wait_seconds_max limits the wait at a peer,
    as the age of relayed data is the sum of the waits.
    """

    _scheduler: Scheduler
    _peers: Peers
    _store: KeyedStoreReader
    own_id: str
    _find_sources: Callable[[], Sources]
    _find_seeds: Callable[[], list[str]]
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    peer_wait_seconds_max: float = math.inf
    source_path: tuple[str, ...] | None = None
    plan: ReadPlan = field(init=False)
    after_store_read: Callable[[], None] = lambda: None
    _position: int = -1

    def __attrs_post_init__(self) -> None:
        self.plan = ReadPlan(self._draw_uniform)

    @property
    def is_direct(self) -> bool:
        """Return whether the last records came from the store itself."""
        return self.source_path == ()

    def reaches_store(self) -> bool:
        """Return whether the store has just answered this node or one of its sources."""
        now = self._scheduler.now()
        answered = now - self._store.answered_at <= ANSWERED_SECONDS_MAX
        return answered or self.plan.expects_data(now)

    def read_newest(
        self, partition: Partition, done: NewestDone, late: LateDone | None = None
    ) -> None:
        """Read the newest record of each key; a peer may return the changes since the last read."""

        def read_store(handle_result: ReadDone, handle_late: LateDone) -> None:
            self._store.read_newest(partition, handle_result, handle_late)

        def finish(result: Result[RecordBatch, ReadFailure]) -> None:
            match result:
                case Ok(batch):
                    done(Ok(batch))
                case Err(failure) if self._position >= 0:
                    done(Err(StoreUnreachable(failure.cause, False)))
                case Err(failure):
                    seeds = self._find_seeds()
                    self._read_from_seeds(partition, seeds, failure.cause, done)

        message = FetchRecords(
            partition.topic, partition.number, self._position, accepts_compressed=True
        )
        self._read(message, read_store, finish, late)

    def read_from(
        self,
        partition: Partition,
        position: int,
        wait_seconds: float,
        done: ReadDone,
        late: LateDone | None = None,
    ) -> None:
        """Read the records from a position on; wait up to wait_seconds for the first one."""

        def read_store(handle_result: ReadDone, handle_late: LateDone) -> None:
            self._store.read_from(partition, position, wait_seconds, handle_result, handle_late)

        message = FetchRecords(
            partition.topic,
            partition.number,
            position,
            min(wait_seconds, self.peer_wait_seconds_max),
            accepts_compressed=True,
        )
        self._read(message, read_store, done, late)

    def _read(
        self,
        message: FetchRecords,
        read_store: Callable[[ReadDone, LateDone], None],
        done: ReadDone,
        late: LateDone | None,
    ) -> None:
        """Try the store and the peers in the order of the plan."""
        sources = self._find_sources()
        now = self._scheduler.now()
        steps: list[Callable[[], None]] = [
            lambda peer=peer: self._fetch(peer, message, handle_fetch)  # type: ignore[misc]
            for peer in self.plan.list_peers(sources, now)
        ]
        if self.plan.may_read_store(sources, now, self._store.answered_at):
            at = 0 if self.plan.prefers_store(sources, now) else len(steps)
            steps.insert(at, lambda: read_store(handle_store, handle_late))
        failure: ReadFailure = StoreUnreachable(NO_SOURCE, False)
        overdue: RecordBatch | None = None

        def try_next() -> None:
            if steps:
                steps.pop(0)()
            elif overdue is not None:
                finish_fetch(overdue)
            else:
                self._scheduler.call_after(0, lambda: done(Err(failure)))

        def finish_fetch(batch: RecordBatch) -> None:
            self._accept(batch)
            done(Ok(batch))

        def handle_fetch(result: Result[RecordBatch, str]) -> None:
            nonlocal overdue
            if isinstance(result, Err):
                try_next()
            elif sources.role is Role.READER and self._is_overdue(result.ok_value):
                overdue = result.ok_value
                try_next()
            else:
                finish_fetch(result.ok_value)

        def handle_store(result: Result[RecordBatch, ReadFailure]) -> None:
            nonlocal failure
            match result:
                case Ok(batch):
                    finish_store_read(batch, lambda: done(Ok(batch)))
                case Err(StoreUnreachable() as cause):
                    failure = cause
                    self.plan.record_store_lost(self._scheduler.now())
                    try_next()
                case Err():
                    done(result)

        def handle_late(batch: RecordBatch) -> None:
            if late is not None:
                finish_store_read(batch, lambda: late(batch))

        def finish_store_read(batch: RecordBatch, deliver: Callable[[], None]) -> None:
            self.plan.record_store_read()
            self._accept(batch)
            deliver()
            self.after_store_read()

        try_next()

    def _is_overdue(self, batch: RecordBatch) -> bool:
        """Return whether a peer may have lost the store without knowing it yet."""
        if batch.records or batch.confirmed_at is None:
            return False
        return self._scheduler.now() - batch.confirmed_at > OVERDUE_SECONDS

    def _accept(self, batch: RecordBatch) -> None:
        self.source_path = batch.source_path
        self._position = max(self._position, batch.end)

    def accept_offer(self, records: Records) -> RecordBatch | None:
        """Return the batch that a peer offers, or None if it came through this node."""
        if self.own_id in records.source_path:
            return None
        batch = self._make_batch(records, self._scheduler.now())
        self._accept(batch)
        return batch

    def _fetch(
        self,
        peer: str,
        message: FetchRecords,
        done: Callable[[Result[RecordBatch, str]], None],
    ) -> None:
        """Fetch from a peer; give up once it has sent nothing for RESPONSE_TIMEOUT_SECONDS."""
        started_at = self._scheduler.now()
        finished = False

        def finish(result: Result[RecordBatch, str]) -> None:
            nonlocal finished
            if not finished:
                finished = True
                done(result)

        def fail(cause: str) -> None:
            if finished:
                return
            seconds = round(self._scheduler.now() - started_at, 3)
            log_event(
                "source_avoided", peer=peer, topic=message.topic, cause=cause, seconds=seconds
            )
            finish(Err(cause))

        def handle_response(result: Result[Message, str]) -> None:
            now = self._scheduler.now()
            match result:
                case Ok(Records() as records) if self.own_id in records.source_path:
                    self.plan.record_peer_away(peer, None, now)
                    fail("the peer reads from this node")
                case Ok(Records() as records):
                    # A response without records was made when the requested wait ended.
                    waited = 0.0 if records.entries else min(now - started_at, message.wait_seconds)
                    batch = self._make_batch(records, started_at + waited, peer)
                    self.plan.record_peer_read()
                    finish(Ok(batch))
                case Ok(RecordsAway(cause, end, reaches_store)):
                    self.plan.record_peer_away(peer, end, now, reaches_store=reaches_store)
                    fail(cause)
                case Ok(other):
                    self.plan.record_peer_silent(peer, now)
                    fail(f"unexpected {type(other).__name__}")
                case Err(cause):
                    if cause == NOT_CONNECTED:  # yet
                        self.plan.record_peer_away(peer, None, now)
                    else:
                        self.plan.record_peer_silent(peer, now)
                    fail(cause)

        def check_progress() -> None:
            if finished:
                return
            now = self._scheduler.now()
            if self._peers.is_silent(peer, now - RESPONSE_TIMEOUT_SECONDS):
                self.plan.record_peer_silent(peer, now)
                fail("silence")
            else:
                self._scheduler.call_after(RESPONSE_TIMEOUT_SECONDS, check_progress)

        seconds = message.wait_seconds + RESPONSE_TIMEOUT_SECONDS
        self._scheduler.call_after(seconds, check_progress)
        self._peers.request(
            peer, message, message.wait_seconds + TRANSFER_SECONDS_MAX, handle_response
        )

    def _read_from_seeds(
        self, partition: Partition, seeds: list[str], cause: str, done: NewestDone
    ) -> None:
        """Start with the data of a seed while the store is unreachable."""
        if not seeds:
            done(Err(StoreUnreachable(cause, False)))
            return
        message = FetchRecords(
            partition.topic, partition.number, -1, may_be_old=True, accepts_compressed=True
        )

        def handle_batch(result: Result[RecordBatch, str]) -> None:
            match result:
                case Ok(batch):
                    log_event("started_from_peer", peer=seeds[0], partition=partition)
                    self._accept(batch)
                    done(Ok(batch))
                case Err():
                    self._read_from_seeds(partition, seeds[1:], cause, done)

        self._fetch(seeds[0], message, handle_batch)

    def _make_batch(self, records: Records, asked_at: float, peer: str = "") -> RecordBatch:
        RELAYED_ENTRIES.inc(len(records.entries))
        keyed_records = [
            KeyedRecord(item.key, _unpack_value(item), item.offset) for item in records.entries
        ]
        return RecordBatch(
            keyed_records,
            records.end,
            whole=records.whole,
            age_seconds=records.age_seconds,
            confirmed_at=asked_at - records.confirmed_seconds,
            source_path=tuple(records.source_path) or (peer,),
        )


def _unpack_value(entry: KeyedEntry) -> bytes | None:
    if entry.value is None or not entry.compressed:
        return entry.value
    return zlib.decompressobj().decompress(entry.value, RECORD_BYTES_MAX)


@define(eq=False)
class _PendingFetch:
    """Hold a fetch that waits for new records."""

    message: FetchRecords
    reply: Reply


@define(eq=False)
class RelayedPartition:
    """Serve the peers that read a partition through this node."""

    _scheduler: Scheduler
    _follower: KeyedFollower
    _source: PeerReader
    _peers: Peers
    _pending: list[_PendingFetch] = field(factory=list)
    _compressed: dict[str, tuple[int, bytes]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._follower.subscribe(self._reply_to_pending)
        self._follower.subscribe_to_loss(self._reject_pending)
        self._source.after_store_read = self._offer_to_sources

    def fetch(self, message: FetchRecords, reply: Reply) -> None:
        """Reply at once, or as soon as there are new records within the requested wait."""
        if message.may_be_old and self._follower.complete:
            reply(self._make_records(message))
            return
        if not self._is_current():
            reply(self._make_away())
            return
        records = self._make_records(message)
        if records.entries or not message.wait_seconds:
            reply(records)
            return
        pending = _PendingFetch(message, reply)
        self._pending.append(pending)
        self._scheduler.call_after(message.wait_seconds, lambda: self._time_out(pending))

    def accept(self, offer: OfferRecords) -> None:
        """Apply what a peer offers, unless this node has a current source itself."""
        follower = self._follower
        if self._is_current() and follower.position >= offer.records.end:
            return
        batch = self._source.accept_offer(offer.records)
        if batch is not None:
            log_event(
                "records_offered",
                partition=follower.partition,
                path=",".join(batch.source_path),
                records=len(batch.records),
                advances=batch.end > follower.position,
            )
            follower.accept(batch, offer.from_offset, self._scheduler.now())

    def _is_current(self) -> bool:
        follower = self._follower
        interval = follower.wait_seconds + follower.pause_seconds
        return not follower.is_lost and follower.is_current(2 * interval + AGE_SECONDS_MARGIN)

    def _make_away(self) -> RecordsAway:
        cause = "store unreachable" if self._follower.is_lost else "no current store data"
        return RecordsAway(cause, self._follower.position, self._source.reaches_store())

    def _reply_to_pending(self) -> None:
        for pending in list(self._pending):
            records = self._make_records(pending.message)
            if records.entries:
                self._pending.remove(pending)
                pending.reply(records)

    def _reject_pending(self) -> None:
        pending_fetches, self._pending = self._pending, []
        for pending in pending_fetches:
            pending.reply(self._make_away())

    def _time_out(self, pending: _PendingFetch) -> None:
        if pending not in self._pending:
            return
        self._pending.remove(pending)
        current = self._is_current()
        pending.reply(self._make_records(pending.message) if current else self._make_away())

    def _make_records(self, message: FetchRecords) -> Records:
        follower = self._follower
        now = self._scheduler.now()
        whole, changes = follower.changes.list_since(message.from_offset)
        entries = [self._make_entry(item, message.accepts_compressed) for item in changes]
        return Records(
            max(message.from_offset, follower.position),
            whole,
            entries,
            age_seconds=max(0.0, now - follower.read_at),
            confirmed_seconds=max(0.0, now - follower.confirmed_at),
            source_path=[self._source.own_id, *(self._source.source_path or ())],
        )

    def _make_entry(self, record: KeyedRecord, may_compress: bool) -> KeyedEntry:
        value = record.value
        if value is None or not may_compress or len(value) < COMPRESSED_BYTES_MIN:
            return KeyedEntry(record.key, value, record.position)
        position, compressed = self._compressed.get(record.key, (-1, b""))
        if position != record.position:
            compressed = zlib.compress(value)
            self._compressed[record.key] = (record.position, compressed)
        return KeyedEntry(record.key, compressed, record.position, compressed=True)

    def _offer_to_sources(self) -> None:
        """Offer what this node read from the store to its sources that have no current data."""
        topic, number = self._follower.partition.topic, self._follower.partition.number
        for peer, end in self._source.plan.take_behind().items():
            records = self._make_records(FetchRecords(topic, number, end, accepts_compressed=True))
            if records.end < end:
                continue
            self._peers.send(peer, OfferRecords(topic, number, end, records))


def register_fetch_handler(peers: Peers, partitions: dict[str, RelayedPartition]) -> None:
    """Start serving the peers' fetches and offers of these partitions, given by topic."""

    def fetch(message: FetchRecords, reply: Reply) -> None:
        partition = partitions.get(message.topic)
        if partition is None:
            reply(RecordsAway("the node does not follow this topic"))
        else:
            partition.fetch(message, reply)

    def accept(offer: OfferRecords, reply: Reply) -> None:
        partition = partitions.get(offer.topic)
        if partition is not None:
            partition.accept(offer)

    peers.on(FetchRecords, fetch)
    peers.on(OfferRecords, accept)
