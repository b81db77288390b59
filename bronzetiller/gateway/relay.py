"""Relay partitions of the store to peers."""

import zlib

from attrs import define, field

from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.keyed import KeyedRecord
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.wire.messages import (
    FetchRecords,
    KeyedEntry,
    OfferRecords,
    Records,
    RecordsAway,
)

COMPRESSED_BYTES_MIN = 2_048
# Records are relayed until they are older than two read intervals of this node and its source.
AGE_SECONDS_MARGIN = 1.5


@define(eq=False)
class _PendingFetch:
    """Hold a fetch that waits for new records."""

    message: FetchRecords
    reply: Reply
    received_at: float


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
            # Older data than the store's may still be newer than the peer's.
            is_newer = 0 <= message.from_offset < self._follower.position
            reply(self._make_records(message) if is_newer else self._make_away())
            return
        records = self._make_records(message)
        if records.entries or not message.wait_seconds:
            reply(records)
            return
        pending = _PendingFetch(message, reply, self._scheduler.now())
        self._pending.append(pending)
        self._scheduler.call_after(message.wait_seconds, lambda: self._time_out(pending))

    def accept(self, offer: OfferRecords) -> None:
        """Apply what a peer offers, unless this node has a current source itself."""
        follower = self._follower
        if self._is_current() and follower.position >= offer.records.end:
            return
        batch = self._source.decode_offer(offer)
        if batch is None or not follower.may_accept(batch, offer.from_offset):
            return
        log_event(
            "records_offered",
            partition=follower.partition,
            path=",".join(batch.source_path),
            records=len(batch.records),
            advances=batch.end > follower.position,
        )
        self._source.record(batch)
        follower.accept(batch, offer.from_offset, self._scheduler.now())

    def _is_current(self) -> bool:
        follower = self._follower
        seconds = follower.relayed_seconds_max
        if seconds is None:
            interval = follower.wait_seconds + follower.pause_seconds
            seconds = 2 * interval + AGE_SECONDS_MARGIN
        return not follower.is_lost and follower.is_current(seconds)

    def _make_away(self) -> RecordsAway:
        cause = "store unreachable" if self._follower.is_lost else "no current store data"
        return RecordsAway(
            cause, self._follower.position, self._source.reaches_store(), self._scheduler.now()
        )

    def _reply_to_pending(self) -> None:
        for pending in list(self._pending):
            records = self._make_records(pending.message, pending.received_at)
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
        if self._is_current():
            pending.reply(self._make_records(pending.message, pending.received_at))
        else:
            pending.reply(self._make_away())

    def _make_records(self, message: FetchRecords, received_at: float | None = None) -> Records:
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
            source_path=[self._source.own_id, *follower.source_path],
            sent_at=now,
            waited_seconds=0.0 if received_at is None else now - received_at,
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
        for peer, behind in self._source.list_behind().items():
            message = FetchRecords(topic, number, behind.end, accepts_compressed=True)
            if self._follower.position < behind.end:
                continue
            offer = OfferRecords(
                topic, number, behind.end, self._make_records(message), behind.stated_at
            )
            self._peers.send(peer, offer)


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
