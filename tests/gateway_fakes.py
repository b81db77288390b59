"""Provide fakes for testing gateway components without a network or a clock."""

from attrs import define, field
from result import Err, Ok

from bronzetiller.storage.adaptive_timeout import AdaptiveTimeout
from bronzetiller.storage.keyed import (
    Fenced,
    RecordBatch,
    StoreUnreachable,
)
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore


@define(eq=False)
class FakeStoreClient:
    """Access the store as one node; mode is up, down, lost (executed, no response) or late."""

    scheduler: FakeScheduler
    store: MemoryStore
    mode: str = "up"
    delay: float = 0.01
    stopped: bool = False
    appends: int = 0
    answered_at: float = float("-inf")

    def _respond(self, done, result, delay=None):
        def deliver():
            if not self.stopped:
                if isinstance(result, Ok):
                    self.answered_at = self.scheduler.now()
                done(result)

        self.scheduler.call_after(self.delay if delay is None else delay, deliver)

    def read_newest(self, partition, done, late=None):
        if self.mode == "down":
            self._respond(done, Err(StoreUnreachable("down", False)), 1.0)
            return
        batch = RecordBatch(self.store.list_newest(partition), self.store.find_end(partition))
        self._respond(done, Ok(batch))

    def read_from(self, partition, position, wait_seconds, done, late=None):
        if self.mode == "down":
            self._respond(done, Err(StoreUnreachable("down", False)), 1.0)
            return
        self._respond(done, self.store.read_from(partition, position))

    def append(self, partition, key, value, writer_sequence, done):
        if self.stopped:
            return
        self.appends += 1
        if self.mode == "down":
            self._respond(done, Err(StoreUnreachable("down", False)), 1.0)
            return
        if self.mode == "late":
            self.store.delayed_appends.append((partition, key, value, writer_sequence))
            self._respond(done, Err(StoreUnreachable("silence", True)), 1.0)
            return
        position = self.store.append(partition, key, value, writer_sequence)
        if self.mode == "lost":
            self._respond(done, Err(StoreUnreachable("silence", True)), 1.0)
        elif position is None:
            self._respond(done, Err(Fenced("out of sequence")))
        else:
            self._respond(done, Ok(position))


PAGE_RECORDS = 2


class PagedClient(FakeStoreClient):
    """Read at most PAGE_RECORDS records at once, as a store does with pages of limited size."""

    def read_from(self, partition, position, wait_seconds, done, late=None):
        result = self.store.read_from(partition, position)
        if isinstance(result, Ok) and len(result.ok_value.records) > PAGE_RECORDS:
            records = result.ok_value.records[:PAGE_RECORDS]
            result = Ok(RecordBatch(records, records[-1].position + 1, has_more=True))
        self._respond(done, result)


@define(eq=False)
class FakePeers:
    """Deliver messages between nodes of one process; silent nodes never respond.

    Messages of this node, and the responses to it, take delay_seconds each.
    """

    network: dict
    scheduler: FakeScheduler
    node_id: str
    handlers: dict = field(factory=dict)
    silent: bool = False
    lost_responses: int = 0
    loses_offers: bool = False
    delay_seconds: float = 0.001

    def on(self, message_class, handle):
        self.handlers[message_class] = handle

    def is_silent(self, node_id, since):
        return self.network[node_id].silent

    def drop_link(self, node_id):
        pass

    def send(self, node_id, message):
        peer = self.network.get(node_id)
        if peer is None or peer.silent or self.loses_offers:
            return False
        handle = peer.handlers[type(message)]
        self.scheduler.call_after(0.001, lambda: handle(message, lambda response: None))
        return True

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
            self.scheduler.call_after(self.delay_seconds, lambda: finish(Ok(response)))

        if not peer.silent:
            handle = peer.handlers[type(message)]
            self.scheduler.call_after(self.delay_seconds, lambda: handle(message, reply))
        self.scheduler.call_after(seconds, lambda: finish(Err("timeout")))


@define(eq=False)
class SharedLink:
    """Carry the store's traffic of many nodes, in the order in which it was sent.

    What is sent for a caller that has given up takes its time on the link all the same.
    """

    scheduler: FakeScheduler
    bytes_per_second: float = 3_750_000.0  # 30 Mbit/s
    cut_until: float = float("-inf")
    sent_bytes: int = 0
    _free_at: float = 0.0

    @property
    def is_cut(self):
        return self.scheduler.now() < self.cut_until

    def send(self, size):
        """Return the seconds until the first and the last byte arrive."""
        now = self.scheduler.now()
        self.sent_bytes += size
        starts_at = max(now, self._free_at)
        self._free_at = starts_at + size / self.bytes_per_second
        return starts_at - now, self._free_at - now


RESPONSE_TIMEOUT_SECONDS = 1.2
CONNECT_TIMEOUT_SECONDS = 1.0
CALL_BYTES = 300  # of the heads of a request and its response


@define(eq=False)
class SlowStoreClient:
    """Access the store as one node over a link; timeouts follow what the store takes.

    An append is executed whether or not its caller still waits. calls holds the time, the topic
    and the size of each call.
    """

    scheduler: FakeScheduler
    store: MemoryStore
    delay_seconds: float = 0.0
    link: SharedLink = field(default=None)
    timeout: AdaptiveTimeout = field(factory=AdaptiveTimeout)
    calls: list = field(factory=list)
    open_calls: list = field(factory=list)
    open_calls_max: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.link = self.link or SharedLink(self.scheduler, float("inf"))

    def read_newest(self, partition, done, late=None):
        def execute():
            batch = RecordBatch(self.store.list_newest(partition), self.store.find_end(partition))
            return Ok(batch), 4 * _count_bytes(batch) // 3

        self._call("newest", partition, execute, done)

    def read_from(self, partition, position, wait_seconds, done, late=None):
        def execute():
            result = self.store.read_from(partition, position)
            return result, _count_bytes(result.ok_value) if result.is_ok() else 0

        self._call("read", partition, execute, done)

    def append(self, partition, key, value, writer_sequence, done):
        def execute():
            position = self.store.append(partition, key, value, writer_sequence)
            result = Err(Fenced("out of sequence")) if position is None else Ok(position)
            return result, len(value or b"")

        self._call("append", partition, execute, done)

    def list_calls(self, kind, partition):
        """Return the times and sizes of the calls of a kind that were sent."""
        return [item[2:] for item in self.calls if item[:2] == (kind, partition)]

    def _call(self, kind, partition, execute, done):
        sent_at = self.scheduler.now()
        timeout_seconds = self.timeout.extend(RESPONSE_TIMEOUT_SECONDS)
        name = (kind, partition)
        self.open_calls.append(name)
        self.open_calls_max[name] = max(
            self.open_calls_max.get(name, 0), self.open_calls.count(name)
        )
        finished = []

        def finish(result):
            if not finished:
                finished.append(True)
                self.open_calls.remove(name)
                done(result)

        def respond():
            result, size = execute()
            self.calls.append((*name, sent_at, size))
            first, last = self.link.send(CALL_BYTES + size)
            now = self.scheduler.now()
            if now + first - sent_at > timeout_seconds:
                return
            timer.cancel()
            self.scheduler.call_after(last, lambda: accept(result))

        def accept(result):
            self.timeout.record_response(self.scheduler.now() - sent_at)
            finish(result)

        def give_up():
            self.timeout.record_timeout()
            finish(Err(StoreUnreachable("silence", True)))

        if self.link.is_cut:
            self.calls.append((*name, sent_at, 0))
            failure = Err(StoreUnreachable("connect: timeout", False))
            self.scheduler.call_after(CONNECT_TIMEOUT_SECONDS, lambda: finish(failure))
            return
        timer = self.scheduler.call_after(timeout_seconds, give_up)
        self.scheduler.call_after(self.delay_seconds, respond)


def _count_bytes(batch):
    return sum(len(item.key) + len(item.value or b"") + 5 for item in batch.records)


@define(eq=False)
class FakeCall:
    """Hold a call whose response the test sends."""

    path: str
    listener: object
    sent: bool = True
    cancelled: bool = False

    def cancel(self):
        self.cancelled = True


@define(eq=False)
class FakeHttp:
    """Keep the calls that are sent."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    calls: list = field(factory=list)

    def send(self, call, listener):
        self.calls.append(FakeCall(call.path, listener))
        return self.calls[-1]

    def close_idle(self, address):
        pass
