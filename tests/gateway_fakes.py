"""Provide fakes for testing gateway components without a network or a clock."""

from attrs import define, field
from result import Err, Ok

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


@define(eq=False)
class FakePeers:
    """Deliver messages between nodes of one process; silent nodes never respond."""

    network: dict
    scheduler: FakeScheduler
    node_id: str
    handlers: dict = field(factory=dict)
    silent: bool = False
    lost_responses: int = 0
    loses_offers: bool = False

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
            self.scheduler.call_after(0.001, lambda: finish(Ok(response)))

        if not peer.silent:
            self.scheduler.call_after(0.001, lambda: peer.handlers[type(message)](message, reply))
        self.scheduler.call_after(seconds, lambda: finish(Err("timeout")))
