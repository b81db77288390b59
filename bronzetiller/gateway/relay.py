"""Read partitions of the store through a peer, and relay them to peers."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.logs import log_event
from bronzetiller.metrics import RELAYED_ENTRIES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.keyed import (
    HistoryExpired,
    KeyedReader,
    KeyedRecord,
    NewestDone,
    Partition,
    ReadDone,
    RecordBatch,
    StoreUnreachable,
)
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.wire.messages import FetchRecords, KeyedEntry, Message, Records, RecordsAway

# Added to the wait that was requested; a configuration of 250 KB takes 0.4 s over 5 Mbit/s.
RESPONSE_TIMEOUT_SECONDS = 0.5
AVOID_SECONDS = 1.0  # after a reader did not respond or could not reach the store
# A read of 1 s, 1.2 s for its response, and the pause between reads; older data is not relayed.
STALE_AFTER_SECONDS = 2.5


@define(eq=False)
class PeerReader:
    """Read one partition from the data centre's reader node, or else from the store itself.

    is_direct is true if the last read came from the store. Only such data is relayed, so that no
    two nodes use each other as the source.
    """

    _scheduler: Scheduler
    _peers: Peers
    _store: KeyedReader
    _find_reader: Callable[[], str | None]
    _find_seeds: Callable[[], list[str]]
    is_direct: bool = False
    _avoid_until: float = 0.0
    _has_read: bool = False

    def read_newest(self, partition: Partition, done: NewestDone) -> None:
        """Read the newest record of each key."""

        def handle_result(result: Result[Records, str]) -> None:
            if isinstance(result, Ok):
                done(Ok(self._make_batch(result.ok_value)))
            else:
                self._read_newest_directly(partition, done)

        self._request_from_reader(
            FetchRecords(partition.topic, partition.number, -1), handle_result
        )

    def read_from(
        self, partition: Partition, position: int, wait_seconds: float, done: ReadDone
    ) -> None:
        """Read the records from a position on; wait up to wait_seconds for the first one."""

        def handle_result(result: Result[Records, str]) -> None:
            if isinstance(result, Err):
                self._store.read_from(partition, position, wait_seconds, handle_direct_result)
            elif result.ok_value.whole:
                done(Err(HistoryExpired("the peer has dropped changes")))
            else:
                done(Ok(self._make_batch(result.ok_value)))

        def handle_direct_result(
            result: Result[RecordBatch, StoreUnreachable | HistoryExpired],
        ) -> None:
            self.is_direct = self.is_direct or isinstance(result, Ok)
            done(result)

        message = FetchRecords(partition.topic, partition.number, position, wait_seconds)
        self._request_from_reader(message, handle_result)

    def _request_from_reader(
        self, message: FetchRecords, handle_result: Callable[[Result[Records, str]], None]
    ) -> None:
        now = self._scheduler.now()
        reader = self._find_reader() if now >= self._avoid_until else None
        if reader is None:
            handle_result(Err("no reader is available"))
            return

        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(Records() as records):
                    self.is_direct = False
                    handle_result(Ok(records))
                case Ok(RecordsAway(cause)) | Err(cause):
                    self._avoid(reader, message.topic, cause)
                    handle_result(Err(cause))
                case Ok(other):
                    self._avoid(reader, message.topic, f"unexpected {type(other).__name__}")
                    handle_result(Err("unexpected response"))

        self._peers.request(
            reader, message, message.wait_seconds + RESPONSE_TIMEOUT_SECONDS, handle_response
        )

    def _avoid(self, reader: str, topic: str, cause: str) -> None:
        self._avoid_until = self._scheduler.now() + AVOID_SECONDS
        log_event("reader_avoided", peer=reader, topic=topic, cause=cause)

    def _read_newest_directly(self, partition: Partition, done: NewestDone) -> None:
        def handle_result(result: Result[RecordBatch, StoreUnreachable]) -> None:
            if isinstance(result, Ok):
                self.is_direct = self._has_read = True
                done(result)
            elif self._has_read:
                done(result)
            else:
                self._read_from_seeds(partition, self._find_seeds(), result, done)

        self._store.read_newest(partition, handle_result)

    def _read_from_seeds(
        self,
        partition: Partition,
        seeds: list[str],
        failure: Err[StoreUnreachable],
        done: NewestDone,
    ) -> None:
        """Start with the data of a seed while the store is unreachable."""
        if not seeds:
            done(failure)
            return
        message = FetchRecords(partition.topic, partition.number, -1, may_be_old=True)

        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(Records() as records):
                    log_event("started_from_peer", peer=seeds[0], partition=partition)
                    done(Ok(self._make_batch(records)))
                case _:
                    self._read_from_seeds(partition, seeds[1:], failure, done)

        self._peers.request(seeds[0], message, RESPONSE_TIMEOUT_SECONDS, handle_response)

    def _make_batch(self, records: Records) -> RecordBatch:
        self._has_read = True
        RELAYED_ENTRIES.inc(len(records.entries))
        keyed_records = [KeyedRecord(item.key, item.value, item.offset) for item in records.entries]
        return RecordBatch(keyed_records, records.end)


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
    _pending: list[_PendingFetch] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._follower.subscribe(self._reply_to_pending)

    def fetch(self, message: FetchRecords, reply: Reply) -> None:
        """Reply at once, or as soon as there are new records within the requested wait."""
        follower = self._follower
        if message.may_be_old and follower.complete:
            reply(self._make_records(message))
            return
        stale = self._scheduler.now() - follower.read_at > STALE_AFTER_SECONDS
        if not follower.complete or follower.is_lost or stale or not self._source.is_direct:
            reply(RecordsAway("store unreachable" if follower.is_lost else "no current store data"))
            return
        records = self._make_records(message)
        if records.entries or not message.wait_seconds:
            reply(records)
            return
        pending = _PendingFetch(message, reply)
        self._pending.append(pending)
        self._scheduler.call_after(message.wait_seconds, lambda: self._time_out(pending))

    def _reply_to_pending(self) -> None:
        for pending in list(self._pending):
            records = self._make_records(pending.message)
            if records.entries:
                self._pending.remove(pending)
                pending.reply(records)

    def _time_out(self, pending: _PendingFetch) -> None:
        if pending not in self._pending:
            return
        self._pending.remove(pending)
        if self._follower.is_lost:
            pending.reply(RecordsAway("store unreachable"))
        else:
            pending.reply(self._make_records(pending.message))

    def _make_records(self, message: FetchRecords) -> Records:
        whole, changes = self._follower.changes.list_since(message.from_offset)
        entries = [KeyedEntry(item.key, item.value, item.position) for item in changes]
        return Records(max(message.from_offset, self._follower.position), whole, entries)


def register_fetch_handler(peers: Peers, partitions: dict[str, RelayedPartition]) -> None:
    """Start serving the peers' fetches of these partitions, given by topic."""

    def fetch(message: FetchRecords, reply: Reply) -> None:
        partition = partitions.get(message.topic)
        if partition is None:
            reply(RecordsAway("the node does not follow this topic"))
        else:
            partition.fetch(message, reply)

    peers.on(FetchRecords, fetch)
