"""Provide fakes for testing gateway components without a network or a clock."""

from attrs import define, field
from result import Err, Ok

from bronzetiller.storage.keyed import (
    Fenced,
    HistoryExpired,
    KeyedRecord,
    RecordBatch,
    StoreUnreachable,
)
from tests.fake_scheduler import FakeScheduler


@define(eq=False)
class FakeStore:
    """Store keyed records; each node accesses them through a FakeStoreClient."""

    partitions: dict = field(factory=dict)
    first_offsets: dict = field(factory=dict)
    delayed_appends: list = field(factory=list)
    sequences: dict = field(factory=dict)

    def records(self, partition):
        return self.partitions.setdefault(str(partition), [])

    def append(self, partition, key, value, writer_sequence):
        """Append in sequence; return the offset, the first one for a repeat, or None if fenced."""
        records = self.records(partition)
        if writer_sequence is not None:
            writer = (str(partition), writer_sequence.writer)
            epoch, sequence, offsets = self.sequences.get(writer, (-1, 0, {}))
            if writer_sequence.epoch < epoch:
                return None
            if writer_sequence.epoch == epoch:
                if writer_sequence.sequence in offsets:
                    return offsets[writer_sequence.sequence]
                if writer_sequence.sequence != sequence + 1:
                    return None
            else:
                offsets = {}
            offsets[writer_sequence.sequence] = len(records)
            self.sequences[writer] = (writer_sequence.epoch, writer_sequence.sequence, offsets)
        records.append(KeyedRecord(key, value, len(records)))
        return len(records) - 1

    def list_newest(self, partition):
        newest = {record.key: record for record in self.records(partition)}
        return [record for record in newest.values() if record.value is not None]

    def run_delayed_appends(self):
        """Execute the delayed appends; those out of sequence have no effect."""
        delayed_appends, self.delayed_appends = self.delayed_appends, []
        for append in delayed_appends:
            self.append(*append)


@define(eq=False)
class FakeStoreClient:
    """Access the store as one node; mode is up, down, lost (executed, no response) or late."""

    scheduler: FakeScheduler
    store: FakeStore
    mode: str = "up"
    delay: float = 0.01
    stopped: bool = False
    appends: int = 0

    def _respond(self, done, result, delay=None):
        def deliver():
            if not self.stopped:
                done(result)

        self.scheduler.call_after(self.delay if delay is None else delay, deliver)

    def read_newest(self, partition, done):
        if self.mode == "down":
            self._respond(done, Err(StoreUnreachable("down", False)), 1.0)
            return
        records = self.store.records(partition)
        batch = RecordBatch(self.store.list_newest(partition), len(records))
        self._respond(done, Ok(batch))

    def read_from(self, partition, offset, wait_seconds, done):
        if self.mode == "down":
            self._respond(done, Err(StoreUnreachable("down", False)), 1.0)
            return
        first = self.store.first_offsets.get(str(partition), 0)
        if offset < first:
            self._respond(done, Err(HistoryExpired(first)))
            return
        records = self.store.records(partition)
        self._respond(done, Ok(RecordBatch(records[offset:], len(records))))

    def append(self, partition, key, value, writer_sequence, done):
        self.appends += 1
        if self.mode == "down":
            self._respond(done, Err(StoreUnreachable("down", False)), 1.0)
            return
        if self.mode == "late":
            self.store.delayed_appends.append((partition, key, value, writer_sequence))
            self._respond(done, Err(StoreUnreachable("silence", True)), 1.0)
            return
        offset = self.store.append(partition, key, value, writer_sequence)
        if self.mode == "lost":
            self._respond(done, Err(StoreUnreachable("silence", True)), 1.0)
        elif offset is None:
            self._respond(done, Err(Fenced("out of sequence")))
        else:
            self._respond(done, Ok(offset))


@define(eq=False)
class FakePeers:
    """Deliver messages between nodes of one process; silent nodes never respond."""

    network: dict
    scheduler: FakeScheduler
    node_id: str
    handlers: dict = field(factory=dict)
    silent: bool = False
    lost_responses: int = 0

    def on(self, message_class, handle):
        self.handlers[message_class] = handle

    def is_silent(self, node_id, since):
        return self.network[node_id].silent

    def drop_link(self, node_id):
        pass

    def request(self, node_id, message, seconds, on_response):
        peer = self.network.get(node_id)
        if peer is None:
            self.scheduler.call_after(0, lambda: on_response(Err("not connected")))
            return
        finished = []

        def finish(result):
            if not finished:
                finished.append(True)
                on_response(result)

        def reply(response):
            if self.lost_responses:
                self.lost_responses -= 1
                return
            self.scheduler.call_after(0.001, lambda: finish(Ok(response)))

        if not peer.silent:
            self.scheduler.call_after(0.001, lambda: peer.handlers[type(message)](message, reply))
        self.scheduler.call_after(seconds, lambda: finish(Err("timeout")))
