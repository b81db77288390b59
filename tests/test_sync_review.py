"""Test that nodes find their configuration and stay up to date, in cases that a review found."""

import logging

import pytest
from attrs import define, field
from result import Err, Ok

from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.gateway.relay import RelayedPartition, register_fetch_handler
from bronzetiller.platform.store import LATE, RESPONSE_TIMEOUT_SECONDS
from bronzetiller.storage.adaptive_timeout import AdaptiveTimeout
from bronzetiller.storage.keyed import Partition, StoreUnreachable
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.sources import Role, Sources
from standins import simulated_fleet
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from standins.simulated_fleet import LAYOUTS, Layout, SimulatedFleet, cache_decoding
from tests.gateway_fakes import FakePeers, FakeStoreClient

PARTITION = Partition("keyed.test")
IN_FORCE_SECONDS_MAX = 3.0
IN_FORCE_AT_SCALE_SECONDS_MAX = 9.0


@pytest.fixture(autouse=True)
def quiet_logs():
    """Silence the logs of many nodes."""
    logging.disable()
    yield
    logging.disable(logging.NOTSET)


@define(eq=False)
class SlowPeers(FakePeers):
    """Deliver the responses of peers late; until then nothing is received from them."""

    response_seconds: float = 0.0
    received_at: dict = field(factory=dict)

    def is_silent(self, node_id, since):
        return self.received_at.get(node_id, float("-inf")) < since

    def request(self, node_id, message, seconds, on_response):
        def deliver(result):
            if isinstance(result, Ok):
                self.scheduler.call_after(self.response_seconds, lambda: receive(result))
            else:
                on_response(result)

        def receive(result):
            self.received_at[node_id] = self.scheduler.now()
            on_response(result)

        super().request(node_id, message, seconds, deliver)


class Node:
    """Follow a partition from the given sources."""

    def __init__(self, scheduler, store, network, node_id, sources, response_seconds=0.0):
        self.peers = network[node_id] = SlowPeers(
            network, scheduler, node_id, response_seconds=response_seconds
        )
        self.client = FakeStoreClient(scheduler, store)
        self.client.answered_at = 0.0
        self.source = PeerReader(
            scheduler, self.peers, self.client, node_id, lambda: sources, lambda: []
        )
        self.follower = KeyedFollower(
            scheduler, self.source, PARTITION, lambda changed: None, 1.0, 0.05
        )
        relayed = RelayedPartition(scheduler, self.follower, self.source, self.peers)
        register_fetch_handler(self.peers, {PARTITION.topic: relayed})


@pytest.mark.parametrize("role", [Role.MEMBER, Role.DEPUTY])
@pytest.mark.parametrize("seconds", [0.2, 0.7, 1.5, 3.0])
def test_a_node_whose_sources_respond_slowly_does_not_stay_outdated(seconds, role):
    scheduler, store, network = FakeScheduler(), MemoryStore(), {}
    store.append(PARTITION, "a", b"1", None)
    readers = [
        Node(scheduler, store, network, f"reader-{number}", Sources(Role.READER))
        for number in range(3)
    ]
    sources = Sources(role, tuple(item.peers.node_id for item in readers), 97)
    node = Node(scheduler, store, network, "node", sources, seconds)
    # Heartbeats, which the store answers.
    scheduler.call_every(1.0, lambda: setattr(node.client, "answered_at", scheduler.now()))
    for item in (*readers, node):
        item.follower.start()
    scheduler.advance(20.0)
    assert node.follower.values == {"a": b"1"}
    store.append(PARTITION, "a", b"2", None)
    scheduler.advance(IN_FORCE_SECONDS_MAX + 2 * seconds)
    assert node.follower.values == {"a": b"2"}


class SilentStoreClient(FakeStoreClient):
    """Access a store that was slow and is silent now: the adapted timeout passes first."""

    def read_from(self, partition, position, wait_seconds, done, late=None):
        if self.mode == "up":
            super().read_from(partition, position, wait_seconds, done, late)
            return
        timeout = AdaptiveTimeout()
        timeout.record_response(4.0)
        seconds = timeout.extend(RESPONSE_TIMEOUT_SECONDS) + wait_seconds
        self._respond(done, Err(StoreUnreachable(LATE, True)), seconds)

    def read_newest(self, partition, done, late=None):
        if self.mode == "up":
            super().read_newest(partition, done, late)
        else:
            self.read_from(partition, -1, 0.0, done, late)


@pytest.mark.parametrize("role", [Role.READER, Role.DEPUTY])
def test_a_node_that_waits_for_a_silent_store_reads_from_a_source_that_is_current_again(role):
    scheduler, store, network = FakeScheduler(), MemoryStore(), {}
    store.append(PARTITION, "a", b"1", None)
    reader = Node(scheduler, store, network, "reader", Sources(Role.READER))
    node = Node(scheduler, store, network, "node", Sources(role, ("reader",), 97))
    node.source._store = node.client = SilentStoreClient(scheduler, store)
    for item in (reader, node):
        item.follower.start()
    scheduler.advance(3.0)
    node.client.mode = reader.client.mode = "down"
    scheduler.advance(4.0)
    reader.client.mode = "up"
    scheduler.advance(2.0)
    store.append(PARTITION, "a", b"2", None)
    scheduler.advance(IN_FORCE_SECONDS_MAX)
    assert reader.follower.values == {"a": b"2"}
    assert node.follower.values == {"a": b"2"}


@pytest.fixture
def start_fleet(monkeypatch):
    """Return a function that starts a fleet of two regions with twelve nodes each."""
    layout = Layout({"east": [6, 6], "west": [6, 6]}, 75.0, 4, IN_FORCE_SECONDS_MAX)
    monkeypatch.setitem(LAYOUTS, 24, layout)

    def start():
        fleet = SimulatedFleet(24)
        fleet.write_configuration(10)
        fleet.start_all()
        return fleet

    with cache_decoding():
        yield start


def test_members_that_restart_while_the_store_is_away_start_from_the_data_of_others(start_fleet):
    fleet = start_fleet()
    fleet.store.down = True
    fleet.advance(6.0)
    restarted = fleet.list_region("west")[-3:]
    for node_id in restarted:
        fleet.kill(node_id)
    fleet.advance(0.5)
    for node_id in restarted:
        fleet.start(node_id)
    fleet.advance(15.0)
    outdated = fleet.list_outdated(restarted)
    assert outdated == []


def test_a_region_without_the_store_that_loses_its_reader_reads_through_other_regions(start_fleet):
    fleet = start_fleet()
    west = fleet.list_region("west")
    reader = fleet.find_region_reader("west")
    fleet.cut_from_store(west)
    fleet.advance(3.0)
    fleet.write_configuration(10)
    assert fleet.await_version(IN_FORCE_SECONDS_MAX) is not None
    fleet.kill(reader)
    fleet.advance(6.0)
    fleet.write_configuration(10)
    fleet.advance(9.0)
    outdated = fleet.list_outdated()
    assert outdated == []


def test_a_large_version_arrives_in_time_over_the_slow_links_of_a_data_centre(monkeypatch):
    monkeypatch.setattr(simulated_fleet, "FAST_LINK_MBPS", 2.0)
    monkeypatch.setattr(simulated_fleet, "SLOW_LINK_MBPS", 2.0)
    layout = Layout({"east": [2], "west": [35]}, 75.0, 4, IN_FORCE_AT_SCALE_SECONDS_MAX)
    monkeypatch.setitem(LAYOUTS, 37, layout)
    with cache_decoding():
        fleet = SimulatedFleet(37)
        fleet.write_configuration(10)
        fleet.start_all()
        fleet.write_configuration(500)
        seconds = fleet.await_version(40.0)
        print("seconds:", seconds)
    assert seconds is not None and seconds <= IN_FORCE_AT_SCALE_SECONDS_MAX
