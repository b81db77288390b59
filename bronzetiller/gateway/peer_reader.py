"""Read a partition of the store through peers."""

import math
import zlib
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.fleet.peers import NOT_CONNECTED, Peers
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
from bronzetiller.sync.read_plan import ANSWERED_SECONDS_MAX, BehindPeer, ReadPlan
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
RECORD_BYTES_MAX = 16 * 1024 * 1024
STORE_PATIENCE_SECONDS = 1.2  # before the peers are asked beside the store
OVERDUE_SECONDS = 1.4  # since the confirmation at a peer that reads the store
NO_SOURCE = "no peer has current data"


StoreRead = Callable[[ReadDone, LateDone], None]


@define(eq=False)
class PeerReader:
    """Read one partition from the sources among the peers, or from the store itself.

    Records that came through this node are rejected, so that no two nodes use each other as the
    source. peer_wait_seconds is the wait at a peer, if it differs from that at the store: the age
    of relayed data is the sum of the waits.
    """

    scheduler: Scheduler
    _peers: Peers
    _store: KeyedStoreReader
    own_id: str
    _find_sources: Callable[[], Sources]
    _find_seeds: Callable[[], list[str]]
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    peer_wait_seconds: float | None = None
    plan: ReadPlan = field(init=False)
    after_store_read: Callable[[], None] = lambda: None
    _position: int = -1

    def __attrs_post_init__(self) -> None:
        self.plan = ReadPlan(self._draw_uniform)

    def reaches_store(self) -> bool:
        """Return whether the store has just answered this node or one of its sources."""
        now = self.scheduler.now()
        answered = now - self._store.answered_at <= ANSWERED_SECONDS_MAX
        return answered or self.plan.expects_data(now)

    def read_newest(
        self, partition: Partition, done: NewestDone, late: LateDone | None = None
    ) -> None:
        """Read the newest record of each key; a peer may return the changes since the last read."""

        def read_store(handle_result: ReadDone, handle_late: LateDone) -> None:
            self._store.read_newest(partition, handle_result, handle_late)

        def finish(result: Result[RecordBatch, ReadFailure]) -> None:
            if isinstance(result, Ok):
                done(Ok(result.ok_value))
                return
            cause = result.err_value.cause
            if self._position >= 0 or self.plan.expects_data(self.scheduler.now()):
                done(Err(StoreUnreachable(cause, False)))
            elif cause == NO_SOURCE:  # of a member, which may not ask the store yet
                self._read_old(partition, list(self._find_sources().peers), cause, done)
            else:
                seeds = sorted(self._find_seeds(), key=lambda seed: self._draw_uniform())
                self._read_old(partition, seeds, cause, done)

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
            wait_seconds if self.peer_wait_seconds is None else self.peer_wait_seconds,
            accepts_compressed=True,
        )
        self._read(message, read_store, done, late)

    def list_behind(self) -> dict[str, BehindPeer]:
        """Return and forget the sources that need what this node reads from the store."""
        peers = self._find_sources().peers
        return {name: item for name, item in self.plan.take_behind().items() if name in peers}

    def _read(
        self,
        message: FetchRecords,
        read_store: StoreRead,
        done: ReadDone,
        late: LateDone | None,
    ) -> None:
        sources = self._find_sources()
        now = self.scheduler.now()
        read = _SourcesRead(
            self,
            message,
            read_store,
            done,
            late,
            list_peers=lambda: self.plan.list_peers(sources, self.scheduler.now()),
            may_ask_store=self.plan.may_read_store(sources, now, self._store.answered_at),
            rejects_overdue=sources.role is Role.READER,
        )
        read.start(store_first=self.plan.prefers_store(sources, now))

    def is_overdue(self, batch: RecordBatch) -> bool:
        """Return whether a peer may have lost the store without knowing it yet."""
        if batch.records or batch.confirmed_at is None or math.isinf(batch.confirmed_at):
            return False
        return self.scheduler.now() - batch.confirmed_at > OVERDUE_SECONDS

    def record(self, batch: RecordBatch) -> None:
        """Record what the follower gets, before it does."""
        self._position = max(self._position, batch.end)

    def decode_offer(self, offer: OfferRecords) -> RecordBatch | None:
        """Return the batch that a peer offers, or None if it came through this node.

        It was made after the message that it answers, and may have been on its way since. A message
        of a later time was another process's, whose clock tells nothing here.
        """
        records = offer.records
        if self.own_id in records.source_path:
            return None
        now = self.scheduler.now()
        stated_at = offer.answers_at
        answers_at = -math.inf if stated_at is None or stated_at > now else stated_at
        try:
            batch = self._make_batch(records, answers_at)
        except zlib.error:
            return None
        return evolve(batch, age_seconds=batch.age_seconds + now - answers_at)

    def fetch(
        self,
        peer: str,
        message: FetchRecords,
        done: Callable[[Result[RecordBatch, str]], None],
        late: LateDone | None = None,
    ) -> None:
        """Fetch from a peer; give up once it has sent nothing for RESPONSE_TIMEOUT_SECONDS.

        A response after that is passed to late.
        """
        started_at = self.scheduler.now()
        finished = False

        def finish(result: Result[RecordBatch, str]) -> None:
            nonlocal finished
            if not finished:
                finished = True
                done(result)

        def fail(cause: str) -> None:
            if finished:
                return
            seconds = round(self.scheduler.now() - started_at, 3)
            log_event(
                "source_avoided", peer=peer, topic=message.topic, cause=cause, seconds=seconds
            )
            finish(Err(cause))

        def handle_response(result: Result[Message, str]) -> None:
            now = self.scheduler.now()
            match result:
                case Ok(Records() as records) if self.own_id in records.source_path:
                    behind = BehindPeer(records.end, records.sent_at)
                    self.plan.record_peer_away(peer, behind, now)
                    fail("the peer reads from this node")
                case Ok(Records() as records):
                    waited = min(max(0.0, records.waited_seconds), now - started_at)
                    try:
                        batch = self._make_batch(records, started_at + waited, peer)
                    except zlib.error as error:
                        self.plan.record_peer_silent(peer, now)
                        fail(f"malformed response: {error}")
                        return
                    if not finished:
                        self.plan.record_peer_read()
                        finish(Ok(batch))
                    elif late is not None:
                        late(batch)
                case Ok(RecordsAway(cause, end, reaches_store, sent_at)):
                    behind_at = None if end is None else BehindPeer(end, sent_at)
                    self.plan.record_peer_away(peer, behind_at, now, reaches_store=reaches_store)
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
            now = self.scheduler.now()
            if self._peers.is_silent(peer, now - RESPONSE_TIMEOUT_SECONDS):
                self.plan.record_peer_silent(peer, now)
                fail("silence")
            else:
                self.scheduler.call_after(RESPONSE_TIMEOUT_SECONDS, check_progress)

        seconds = message.wait_seconds + RESPONSE_TIMEOUT_SECONDS
        self.scheduler.call_after(seconds, check_progress)
        self._peers.request(
            peer, message, message.wait_seconds + TRANSFER_SECONDS_MAX, handle_response
        )

    def _read_old(
        self, partition: Partition, peers: list[str], cause: str, done: NewestDone
    ) -> None:
        """Start with the data of a peer while no current data is in reach."""
        if not peers:
            done(Err(StoreUnreachable(cause, False)))
            return
        message = FetchRecords(
            partition.topic, partition.number, -1, may_be_old=True, accepts_compressed=True
        )

        def handle_batch(result: Result[RecordBatch, str]) -> None:
            match result:
                case Ok(batch):
                    log_event("started_from_peer", peer=peers[0], partition=partition)
                    self.record(batch)
                    done(Ok(batch))
                case Err():
                    self._read_old(partition, peers[1:], cause, done)

        self.fetch(peers[0], message, handle_batch)

    def _make_batch(self, records: Records, asked_at: float, peer: str = "") -> RecordBatch:
        RELAYED_ENTRIES.inc(len(records.entries))
        # Earlier releases state neither a path nor when the store was asked.
        confirmed_at = asked_at - records.confirmed_seconds if records.source_path else -math.inf
        keyed_records = [
            KeyedRecord(item.key, _unpack_value(item), item.offset) for item in records.entries
        ]
        return RecordBatch(
            keyed_records,
            records.end,
            whole=records.whole,
            age_seconds=records.age_seconds,
            confirmed_at=confirmed_at,
            source_path=tuple(records.source_path) or (peer,),
        )


@define(eq=False)
class _SourcesRead:
    """Try the store and the peers in turn for one read.

    Beside a store that does not answer in time, the peers are asked as well, again and again.
    """

    _reader: PeerReader
    _message: FetchRecords
    _read_store: StoreRead
    _done: ReadDone
    _late: LateDone | None
    _list_peers: Callable[[], list[str]]
    _may_ask_store: bool
    _rejects_overdue: bool
    _failure: ReadFailure = StoreUnreachable(NO_SOURCE, False)
    _overdue: RecordBatch | None = None
    _store_open: bool = False
    _fetching: bool = False
    _finished: bool = False
    _peers: list[str] = field(factory=list)

    def start(self, *, store_first: bool) -> None:
        """Ask the store or the best peer."""
        self._peers = self._list_peers()
        if store_first and self._may_ask_store:
            self._ask_store()
        else:
            self._ask_next()

    def _ask_store(self) -> None:
        self._may_ask_store = False
        self._store_open = True
        seconds = STORE_PATIENCE_SECONDS + self._message.wait_seconds
        self._reader.scheduler.call_after(seconds, self._ask_beside_store)
        self._read_store(self._handle_store, self._handle_late)

    def _ask_beside_store(self) -> None:
        if not self._store_open or self._finished:
            return
        self._reader.scheduler.call_after(STORE_PATIENCE_SECONDS, self._ask_beside_store)
        if not self._fetching:
            self._peers = self._list_peers()
            self._ask_next()

    def _ask_next(self) -> None:
        if self._peers:
            self._fetching = True
            peer = self._peers.pop(0)
            self._reader.fetch(peer, self._message, self._handle_fetch, self._handle_late_fetch)
        elif self._may_ask_store:
            self._ask_store()
        elif self._store_open:
            return
        elif self._overdue is not None:
            self._finish_fetch(self._overdue)
        else:
            failure = self._failure
            self._finished = True
            self._reader.scheduler.call_after(0, lambda: self._done(Err(failure)))

    def _handle_fetch(self, result: Result[RecordBatch, str]) -> None:
        self._fetching = False
        if self._finished:
            if isinstance(result, Ok):
                self._handle_late_fetch(result.ok_value)
        elif isinstance(result, Err):
            self._ask_next()
        elif self._rejects_overdue and self._reader.is_overdue(result.ok_value):
            self._overdue = result.ok_value
            self._ask_next()
        else:
            self._finish_fetch(result.ok_value)

    def _handle_late_fetch(self, batch: RecordBatch) -> None:
        if self._late is not None:
            self._reader.record(batch)
            self._late(batch)

    def _finish_fetch(self, batch: RecordBatch) -> None:
        self._finished = True
        if self._store_open:
            self._reader.plan.record_store_lost(self._reader.scheduler.now())
        self._reader.record(batch)
        self._done(Ok(batch))

    def _handle_store(self, result: Result[RecordBatch, ReadFailure]) -> None:
        self._store_open = False
        match result:
            case Ok(batch) if self._finished:
                self._handle_late(batch)
            case Ok(batch):
                self._finished = True
                self._finish_store_read(batch, lambda: self._done(Ok(batch)))
            case Err(StoreUnreachable() as failure):
                self._failure = failure
                self._reader.plan.record_store_lost(self._reader.scheduler.now())
                if not self._finished and not self._fetching:
                    self._ask_next()
            case Err() if not self._finished:
                self._finished = True
                self._done(result)

    def _handle_late(self, batch: RecordBatch) -> None:
        late = self._late
        if late is not None:
            self._finish_store_read(batch, lambda: late(batch))

    def _finish_store_read(self, batch: RecordBatch, deliver: Callable[[], None]) -> None:
        self._reader.plan.record_store_read()
        self._reader.record(batch)
        deliver()
        self._reader.after_store_read()


def _unpack_value(entry: KeyedEntry) -> bytes | None:
    if entry.value is None or not entry.compressed:
        return entry.value
    return zlib.decompressobj().decompress(entry.value, RECORD_BYTES_MAX)
