"""Test without a network that nodes load snapshots from a slow log and from busy peers."""

import random

import pytest
from attrs import define, evolve, field
from result import Err, Ok

from bronzetiller.fleet.snapshot_manager import SnapshotManager
from bronzetiller.fleet.snapshot_reader import WINDOW_RECORDS, SnapshotSearch, SnapshotTransfer
from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import Entry, LogFailure, Page
from bronzetiller.storage.snapshots import Fold, dump_piece, split_snapshot
from bronzetiller.wire.messages import FetchSnapshot
from standins.fake_scheduler import FakeScheduler

STREAM = "ledger-0"
REQUEST_SECONDS = 1.0
LOADING_NODES = 15
LOAD_SECONDS_MAX = 9.0


def make_state(seed):
    """Return a state that takes several pieces."""
    numbers = random.Random(seed)
    return [numbers.random() for _ in range(50_000)]


@define(eq=False)
class SlowPeers:
    """Deliver each request and its response in REQUEST_SECONDS; some get no response."""

    scheduler: FakeScheduler
    handlers: dict = field(factory=dict)
    lost_requests: set = field(factory=set)
    requests: int = 0

    def on(self, message_class, handle):
        self.handlers[message_class] = handle

    def is_silent(self, node_id, since):
        return False

    def request(self, node_id, message, seconds, on_response):
        self.requests += 1
        if self.requests in self.lost_requests:
            self.scheduler.call_after(0.1, lambda: on_response(Err("connection lost")))
            return

        def reply(response):
            self.scheduler.call_after(REQUEST_SECONDS / 2, lambda: on_response(Ok(response)))

        self.scheduler.call_after(
            REQUEST_SECONDS / 2, lambda: self.handlers[type(message)](message, reply)
        )


class NoPeers:
    def live(self):
        return {}


class SilentLog:
    def read(self, stream, from_offset, done, **options):
        pass


class Source:
    """Hold a node whose stream advances while others load its state."""

    def __init__(self):
        self.scheduler = FakeScheduler()
        self.dumps = 0
        self.peers = SlowPeers(self.scheduler)
        self.follower = StreamFollower(self.scheduler, SilentLog(), STREAM)
        self.follower.next_offset = 100
        manager = SnapshotManager(self.scheduler, SilentLog(), self.peers, NoPeers(), None, None)
        manager.add(self.follower, [Fold("state", self.dump, lambda value: lambda: None)])
        self.peers.on(FetchSnapshot, manager._on_fetch)

    def dump(self):
        self.dumps += 1
        return make_state(self.follower.next_offset)

    def advance(self, seconds):
        for _ in range(int(seconds / 0.1)):
            self.scheduler.advance(0.1)
            self.follower.next_offset += 1

    def load(self):
        """Load the state as one more node, again after each failure; return its snapshots."""
        loaded = []

        def finish(snapshot):
            if snapshot is None:
                self.scheduler.call_after(0.5, start)
            else:
                loaded.append(snapshot)

        def start():
            SnapshotTransfer(self.scheduler, self.peers, "source", STREAM, finish).start()

        start()
        return loaded


@pytest.fixture
def source():
    return Source()


def test_nodes_that_load_the_state_of_one_peer_do_not_make_each_other_start_anew(source):
    loads = []
    for _ in range(LOADING_NODES):
        loads.append(source.load())
        source.advance(0.3)
    source.advance(LOAD_SECONDS_MAX)
    assert all(loads)
    assert source.dumps <= 3


def test_a_transfer_goes_on_at_the_piece_that_was_lost(source):
    source.peers.lost_requests = {3, 4}
    loaded = source.load()
    source.advance(LOAD_SECONDS_MAX)
    assert len(loaded) == 1
    assert source.peers.requests <= len(split_snapshot(STREAM, 0, [_make_fold()])) + 2


def _make_fold():
    return Fold("state", lambda: make_state(100), lambda value: lambda: None)


class FaultyLog:
    """Hold the pieces of a snapshot, then a window of one that is not complete.

    Reads of some numbers fail or are late.
    """

    def __init__(self, scheduler, failing_reads=(), late_reads=()):
        self.scheduler = scheduler
        self.failing_reads = failing_reads
        self.late_reads = late_reads
        self.reads = []
        complete = split_snapshot(STREAM, 100, [_make_fold()])
        incomplete = evolve(complete[0], offset=200, digest="other")
        self.pieces = len(complete)
        pieces = [*complete, *[incomplete] * WINDOW_RECORDS]
        self.entries = [
            Entry(offset, 1.0, dump_piece(piece)) for offset, piece in enumerate(pieces)
        ]

    def read(self, stream, from_offset, done, *, wait_seconds, records_max, on_late_page=None):
        self.reads.append(from_offset)
        number = len(self.reads)
        entries = self.entries[from_offset : from_offset + records_max]
        page = Page(entries, 0, len(self.entries))
        if number in self.failing_reads or number in self.late_reads:
            self.scheduler.call_after(3.5, lambda: done(Err(LogFailure("silence", True))))
        else:
            self.scheduler.call_after(0.01, lambda: done(Ok(page)))
        if number in self.late_reads and on_late_page is not None:
            self.scheduler.call_after(6.0, lambda: on_late_page(page))


def search(log):
    found = []
    SnapshotSearch(log.scheduler, log, STREAM, found.append).start()
    return found


def test_a_search_reads_a_page_that_failed_again_and_not_those_before_it():
    log = FaultyLog(FakeScheduler(), failing_reads=(3, 4))
    found = search(log)
    log.scheduler.advance(LOAD_SECONDS_MAX)
    assert found[0].ok_value.snapshot.offset == 100
    assert log.reads.count(log.pieces) == 1


def test_a_search_takes_the_pages_that_arrive_late():
    log = FaultyLog(FakeScheduler(), late_reads=range(2, 50))
    found = search(log)
    log.scheduler.advance(60.0)
    assert len(found) == 1 and found[0].ok_value.snapshot.offset == 100


def test_a_search_of_a_log_that_is_down_ends_so_that_peers_are_asked():
    log = FaultyLog(FakeScheduler(), failing_reads=range(1, 50))
    found = search(log)
    log.scheduler.advance(20.0)
    assert len(found) == 1 and isinstance(found[0], Err)
