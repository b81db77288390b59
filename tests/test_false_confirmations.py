"""Test what a follower of the store takes for a proof that it holds the newest records."""

import struct
import time

import pytest
from attrs import define
from result import Err, Ok

from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.gateway.relay import RelayedPartition, register_fetch_handler
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import BodyPart, ResponseEnd, ResponseHead
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.store import PlatformStore
from bronzetiller.storage.keyed import HistoryExpired, Partition
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.sources import Role, Sources
from bronzetiller.wire.messages import FetchRecords, OfferRecords, Records
from standins.fake_scheduler import FakeScheduler
from standins.keyed_store import LENGTH
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeHttp, FakePeers, FakeStoreClient

PARTITION = Partition("keyed.test")
HEADER = struct.Struct(">QQ")


def test_the_time_that_a_vm_was_suspended_counts(monkeypatch):
    clocks = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 100.0}
    monkeypatch.setattr(time, "clock_gettime", clocks.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: clocks[time.CLOCK_MONOTONIC])
    scheduler, ran = Scheduler(), []
    confirmed_at = scheduler.now()
    scheduler.call_after(5.0, lambda: ran.append("due"))
    clocks[time.CLOCK_BOOTTIME] += 6.0
    scheduler._run_due()
    assert scheduler.now() - confirmed_at == pytest.approx(6.0) and ran == ["due"]


@pytest.fixture
def read_store():
    """Return a function that reads from offset 5 and returns the result for a response's body."""

    def read(body):
        http, done = FakeHttp(), []
        store = PlatformStore(http, Address("10.0.0.1", 80))
        store.read_from(PARTITION, 5, 1.0, done.append)
        call = http.calls[0]
        for event in (ResponseHead(200, {}), BodyPart(body), ResponseEnd()):
            call.listener(event)
        return done[0]

    return read


@pytest.mark.parametrize(("end", "first"), [(10, 10), (10, 8), (6, 6), (4, 0)])
def test_records_that_were_deleted_before_they_were_read_do_not_count_as_read(
    read_store, end, first
):
    records = b"".join(LENGTH.pack(3) + b"\x01kv" for _ in range(first, end))
    result = read_store(HEADER.pack(end, first) + records)
    assert isinstance(result, Err) and isinstance(result.err_value, HistoryExpired)


def test_a_read_without_new_records_is_not_taken_for_expired_history(read_store):
    result = read_store(HEADER.pack(5, 5))
    assert isinstance(result, Ok) and result.ok_value.end == 5 and not result.ok_value.has_more


@define(eq=False)
class EarlyClient(FakeStoreClient):
    """Access a store that ends each wait at once, over a link that takes almost as long."""

    def read_from(self, partition, position, wait_seconds, done, late=None):
        result = self.store.read_from(partition, position)
        self._respond(done, result, 0.9 * wait_seconds)


def test_a_wait_that_the_store_ended_early_proves_nothing_about_the_time_after_its_start():
    scheduler, store = FakeScheduler(), MemoryStore()
    store.append(PARTITION, "a", b"1", None)
    client = EarlyClient(scheduler, store)
    follower = KeyedFollower(scheduler, client, PARTITION, lambda changed: None, 1.0, 0.05)
    follower.start()
    scheduler.advance(0.1)
    written_at = scheduler.now()
    store.append(PARTITION, "a", b"2", None)
    scheduler.advance(0.88)
    assert follower.values == {"a": b"1"}
    assert follower.confirmed_at <= written_at


@pytest.fixture
def pair():
    """Return the follower of a node that reads through another one, and that one's follower."""
    scheduler, store, network = FakeScheduler(), MemoryStore(), {}
    store.append(PARTITION, "a", b"1", None)
    followers = {}
    for node_id, sources in (
        ("source", Sources(Role.READER)),
        ("member", Sources(Role.MEMBER, ("source",), 97)),
    ):
        peers = network[node_id] = FakePeers(network, scheduler, node_id)
        client = FakeStoreClient(scheduler, store)
        reader = PeerReader(
            scheduler, peers, client, node_id, lambda sources=sources: sources, lambda: []
        )
        follower = KeyedFollower(scheduler, reader, PARTITION, lambda changed: None, 1.0, 0.05)
        relayed = RelayedPartition(scheduler, follower, reader, peers)
        register_fetch_handler(peers, {PARTITION.topic: relayed})
        followers[node_id] = follower
        follower.start()
    return followers["member"], followers["source"], scheduler, store


def test_a_relayed_confirmation_is_never_later_than_that_of_its_source(pair):
    member, source, scheduler, _ = pair
    for _ in range(100):
        scheduler.advance(0.05)
        assert member.confirmed_at <= source.confirmed_at + 1e-6
    assert scheduler.now() - member.confirmed_at < 5.0


def test_a_source_that_responds_before_its_wait_ends_confirms_no_more_than_it_states(pair):
    member, source, scheduler, _ = pair
    message = FetchRecords(PARTITION.topic, 0, source.position, wait_seconds=1.0)
    reader, batches = member._reader, []
    scheduler.advance(1.0)
    records = Records(source.position, False, [], confirmed_seconds=0.2, source_path=["source"])
    reader._peers.network["source"].handlers[FetchRecords] = lambda message, reply: (
        scheduler.call_after(0.8, lambda: reply(records))
    )
    asked_at = scheduler.now()
    reader.fetch("source", message, batches.append)
    scheduler.advance(0.95)
    assert batches[0].ok_value.confirmed_at == pytest.approx(asked_at - 0.2)


@pytest.mark.parametrize("stated_after_seconds", [0.5, 100.0])
def test_an_offer_in_response_to_a_message_of_a_later_time_confirms_nothing(
    pair, stated_after_seconds
):
    member, source, scheduler, _ = pair
    scheduler.advance(1.0)
    records = Records(source.position, False, [], confirmed_seconds=0.1, source_path=["source"])
    stated_at = scheduler.now() + stated_after_seconds
    offer = OfferRecords(PARTITION.topic, 0, member.position, records, stated_at)
    assert member._reader.decode_offer(offer).confirmed_at == float("-inf")


def test_a_page_that_promises_more_and_has_no_keys_is_not_the_last_one():
    http, done = FakeHttp(), []
    PlatformStore(http, Address("10.0.0.1", 80)).read_newest(PARTITION, done.append)
    body = b'{"items": [], "end": 7, "more_pages": true}'
    for event in (ResponseHead(200, {}), BodyPart(body), ResponseEnd()):
        http.calls[0].listener(event)
    assert isinstance(done[0], Err)
