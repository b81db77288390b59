"""Test reads of the store through a peer: relayed changes, and direct reads as a fallback."""

import json

import pytest
from attrs import define, evolve, field

from bronzetiller.gateway.followers import has_registration_changed
from bronzetiller.gateway.members import Member, Members
from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.gateway.readers import list_source_nodes
from bronzetiller.gateway.relay import RelayedPartition, register_fetch_handler
from bronzetiller.storage.change_list import DELETIONS_KEPT_MAX, ChangeList
from bronzetiller.storage.keyed import KeyedRecord, Partition
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.sources import RELAYED_NODES_MIN, Role, Sources, choose_sources
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from standins.path_engine import make_registration
from tests.gateway_fakes import FakePeers, FakeStoreClient

PARTITION = Partition("keyed.test")


def make_sources(reader):
    """Return the sources of a node that reads from a reader, or of one that reads the store."""
    return Sources(Role.DEPUTY, (reader,)) if reader else Sources(Role.READER)


@define(eq=False)
class Node:
    follower: KeyedFollower
    client: FakeStoreClient
    source: PeerReader
    peers: FakePeers


@define(eq=False)
class Cluster:
    """Hold nodes that read one partition, some of them through another node."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    store: MemoryStore = field(factory=MemoryStore)
    network: dict = field(factory=dict)
    reads: dict = field(factory=dict)

    def start(self, node_id, reader=None, seeds=(), mode="up", wait_seconds=0.5, **options):
        scheduler = self.scheduler
        client = FakeStoreClient(scheduler, self.store, mode=mode)
        peers = self.network[node_id] = FakePeers(self.network, scheduler, node_id)
        sources = make_sources(reader)
        source = PeerReader(scheduler, peers, client, node_id, lambda: sources, lambda: list(seeds))
        follower = KeyedFollower(
            scheduler,
            source,
            PARTITION,
            lambda changed: None,
            wait_seconds=wait_seconds,
            pause_seconds=0.1,
            **options,
        )
        relayed = RelayedPartition(scheduler, follower, source, peers)
        register_fetch_handler(peers, {PARTITION.topic: relayed})
        follower.start()
        scheduler.advance(1.0)
        return Node(follower, client, source, peers)

    def write(self, key, value):
        self.store.append(PARTITION, key, value, None)
        self.scheduler.advance(1.0)


@pytest.fixture
def cluster():
    """Return a cluster without nodes, whose store holds one record."""
    cluster = Cluster()
    cluster.write("a", b"1")
    return cluster


def test_changes_and_deletions_reach_a_node_through_its_reader(cluster):
    cluster.start("reader")
    node = cluster.start("node", reader="reader", mode="down")
    assert node.follower.values == {"a": b"1"}
    cluster.write("b", b"2")
    cluster.write("a", None)
    assert node.follower.values == {"b": b"2"} and not node.follower.is_lost


def test_a_change_is_relayed_as_soon_as_the_reader_has_it(cluster):
    cluster.start("reader")
    node = cluster.start("node", reader="reader", mode="down", wait_seconds=30.0)
    cluster.write("a", b"2")
    assert node.follower.values == {"a": b"2"}


def test_a_node_reads_the_store_itself_when_its_reader_is_silent_or_disconnected(cluster):
    reader = cluster.start("reader")
    node = cluster.start("node", reader="reader")
    reader.peers.silent = True
    cluster.write("a", b"2")
    cluster.scheduler.advance(1.0)
    assert node.follower.values == {"a": b"2"} and node.follower.is_direct
    reader.peers.silent = False
    reader.client.mode = "down"
    cluster.scheduler.advance(3.0)
    cluster.write("a", b"3")
    cluster.scheduler.advance(1.0)
    assert node.follower.values == {"a": b"3"}


def test_nodes_that_read_from_each_other_still_receive_changes(cluster):
    first = cluster.start("first", reader="second")
    second = cluster.start("second", reader="first")
    cluster.write("a", b"2")
    cluster.scheduler.advance(3.0)
    assert first.follower.values == second.follower.values == {"a": b"2"}


def test_a_stale_reader_does_not_revert_a_node(cluster):
    reader = cluster.start("reader")
    node = cluster.start("node", reader="reader")
    node.peers.loses_offers = True
    reader.client.mode = "down"
    cluster.scheduler.advance(2.0)
    cluster.write("a", b"2")
    cluster.scheduler.advance(2.0)
    offset = node.follower.position
    assert node.follower.values == {"a": b"2"} and offset > reader.follower.position
    reader.client.mode = "up"
    cluster.scheduler.advance(3.0)
    assert node.follower.values == {"a": b"2"} and node.follower.position >= offset


def test_keys_deleted_before_a_reader_started_are_removed(cluster):
    reader = cluster.start("reader")
    node = cluster.start("node", reader="reader")
    node.client.mode = "down"
    reader.peers.silent = True
    cluster.scheduler.advance(2.0)
    cluster.store.append(PARTITION, "a", None, None)
    cluster.store.append(PARTITION, "b", b"2", None)
    cluster.start("reader")  # a new incarnation, which has never read the key
    cluster.scheduler.advance(4.0)
    assert node.follower.values == {"b": b"2"}


def test_a_node_starts_from_a_seed_while_the_store_is_unreachable(cluster):
    seed = cluster.start("seed")
    seed.client.mode = "down"
    cluster.scheduler.advance(5.0)
    node = cluster.start("node", seeds=("gone", "seed"), mode="down")
    cluster.scheduler.advance(4.0)
    assert node.follower.complete and node.follower.values == {"a": b"1"}
    node.client.mode = "up"
    cluster.write("a", b"2")
    cluster.scheduler.advance(2.0)
    assert node.follower.values == {"a": b"2"}


def test_target_heartbeats_are_not_relayed(cluster):
    def register(number, **fields):
        value = make_registration("e1", "s", "10.0.0.1:80", "a", **fields)
        return json.dumps(json.loads(value) | {"sequence": number}).encode()

    reader = cluster.start("reader", changes=ChangeList(has_registration_changed))
    cluster.write("e1", register(1))
    offset = reader.follower.position
    cluster.write("e1", register(2))
    assert reader.follower.changes.list_since(offset) == (False, [])
    cluster.write("e1", register(3, state="draining"))
    assert len(reader.follower.changes.list_since(offset)[1]) == 1


def make_members(count, data_centre="a"):
    return [Member(f"n{index}", "", data_centre, "x", True) for index in range(count)]


@define(eq=False)
class Fleet:
    """Hold nodes of one data centre that follow the members, some of them through a reader."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    store: MemoryStore = field(factory=MemoryStore)
    network: dict = field(factory=dict)
    clients: dict = field(factory=dict)
    loads: dict = field(factory=dict)
    starts: int = 0

    def start(self, node_id, reader=None):
        scheduler = self.scheduler
        client = self.clients[node_id] = FakeStoreClient(scheduler, self.store)
        peers = self.network[node_id] = FakePeers(self.network, scheduler, node_id)
        sources = make_sources(reader)
        source = PeerReader(scheduler, peers, client, node_id, lambda: sources, lambda: [])

        self.starts += 1
        incarnation = f"{node_id}/{self.starts}"

        def describe():
            load = self.loads.get(node_id, 1.0)
            return Member(node_id, "10.0.0.1:1", "a", incarnation, True, load=load)

        members = Members(scheduler, client, source, describe)
        relayed = RelayedPartition(scheduler, members.follower, source, peers)
        register_fetch_handler(peers, {members.follower.partition.topic: relayed})
        members.start()
        return members

    def stop(self, node_id):
        self.clients[node_id].stopped = True
        self.network[node_id].silent = True


@pytest.fixture
def fleet():
    """Return a fleet without nodes."""
    return Fleet()


def list_ids(members):
    return {item.node_id for item in members.list_serving()}


def test_members_are_known_through_the_reader_until_they_fall_silent(fleet):
    fleet.start("reader")
    follower = fleet.start("follower", reader="reader")
    fleet.start("other", reader="reader")
    fleet.scheduler.advance(10.0)
    assert list_ids(follower) == {"reader", "follower", "other"}
    fleet.stop("other")
    fleet.scheduler.advance(7.0)
    assert list_ids(follower) == {"reader", "follower"}
    fleet.start("other", reader="reader")
    fleet.scheduler.advance(3.0)
    assert list_ids(follower) == {"reader", "follower", "other"}


def test_heartbeats_are_not_relayed_but_other_loads_are(fleet):
    reader = fleet.start("reader")
    follower = fleet.start("follower", reader="reader")
    fleet.scheduler.advance(5.0)
    offset = reader.follower.position
    fleet.scheduler.advance(5.0)
    assert reader.follower.changes.list_since(offset) == (False, [])
    fleet.loads["reader"] = 100.0
    fleet.scheduler.advance(3.0)
    loads = {item.node_id: item.load for item in follower.list_serving()}
    assert loads["reader"] == 100.0


def test_a_late_heartbeat_does_not_replace_a_newer_one(fleet):
    reader = fleet.start("reader")
    fleet.scheduler.advance(5.0)
    partition = reader.follower.partition
    old = Member("other", "10.0.0.2:1", "a", "x", True, beat=3, load=1.0)
    new = evolve(old, beat=4, load=9.0)
    fleet.store.append(partition, "other", new.encode(), None)
    fleet.scheduler.advance(2.0)
    fleet.store.append(partition, "other", old.encode(), None)
    fleet.scheduler.advance(2.0)
    assert {item.load for item in reader.list_serving() if item.node_id == "other"} == {9.0}


def test_members_stay_known_after_the_reader_is_lost(fleet):
    fleet.start("reader")
    follower = fleet.start("follower", reader="reader")
    fleet.start("other")
    fleet.scheduler.advance(10.0)
    fleet.stop("reader")
    for _ in range(50):
        fleet.scheduler.advance(0.2)
        assert {"follower", "other"} <= list_ids(follower)
    assert list_ids(follower) == {"follower", "other"}


def test_members_stay_known_through_an_outage_of_the_store(fleet):
    nodes = [fleet.start(f"node-{index}") for index in range(3)]
    fleet.scheduler.advance(4.3)  # every heartbeat has been read
    for client in fleet.clients.values():
        client.mode = "down"
    fleet.scheduler.advance(8.0)
    fleet.clients["node-0"].mode = "up"  # the others cannot write heartbeats yet
    fleet.scheduler.advance(2.5)
    assert len(list_ids(nodes[0])) == 3
    for client in fleet.clients.values():
        client.mode = "up"
    for _ in range(25):
        fleet.scheduler.advance(0.2)
        assert all(len(list_ids(node)) == 3 for node in nodes)


def find_sources(own_id, members, data_centre="a", regions=None):
    nodes = list_source_nodes(members)
    return choose_sources(own_id, "t", data_centre, regions or {"a": "r"}, nodes)


def test_one_node_of_a_large_data_centre_reads_the_store():
    members = make_members(RELAYED_NODES_MIN)
    sources = {item.node_id: find_sources(item.node_id, members) for item in members}
    reader = next(name for name, item in sources.items() if item.role is Role.READER)
    assert all(item.peers[0] == reader for name, item in sources.items() if name != reader)
    assert [item.role for item in sources.values()].count(Role.READER) == 1
    few = make_members(RELAYED_NODES_MIN - 1)
    assert {find_sources(item.node_id, few).role for item in few} == {Role.READER}


def test_readers_that_may_have_missed_dropped_deletions_get_all_keys():
    changes = ChangeList()
    changes.add(KeyedRecord("kept", b"1", 0))
    for number in range(DELETIONS_KEPT_MAX + 1):
        changes.add(KeyedRecord(f"k{number}", b"1", 2 * number + 1))
        changes.add(KeyedRecord(f"k{number}", None, 2 * number + 2))
    assert changes.list_since(2) == (True, [KeyedRecord("kept", b"1", 0)])
    whole, since = changes.list_since(3)
    assert not whole and len(since) == DELETIONS_KEPT_MAX


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("written", [0, 1, 2, 3, 4])
def test_a_node_behind_a_reader_notices_that_the_store_was_restored(cluster, lost, written):
    cluster.start("reader")
    node = cluster.start("node", reader="reader", mode="down")
    for key in ("b", "c", "d"):
        cluster.write(key, b"old")
    cluster.store.restore({PARTITION: lost})
    for number in range(written):
        cluster.store.append(PARTITION, f"new-{number}", b"new", None)
    cluster.scheduler.advance(2.0)
    kept = dict.fromkeys(("b", "c", "d")[: 3 - lost], b"old")
    assert node.follower.values == {"a": b"1"} | kept | {f"new-{n}": b"new" for n in range(written)}
    assert node.follower.restored_at is not None


def test_a_node_ahead_of_its_reader_does_not_return_to_the_era_before(cluster):
    reader = cluster.start("reader")
    node = cluster.start("node", reader="reader")
    cluster.write("b", b"old")
    reader.client.mode = "down"
    cluster.store.restore({PARTITION: 1})
    cluster.store.append(PARTITION, "c", b"new", None)
    cluster.scheduler.advance(4.0)
    assert node.follower.values == {"a": b"1", "c": b"new"}
    reader.client.mode = "up"
    for _ in range(20):
        cluster.scheduler.advance(0.2)
        assert node.follower.values == {"a": b"1", "c": b"new"}


class RunningScheduler(FakeScheduler):
    """Let time pass with each look at the clock, as the real one does."""

    def now(self):
        self.time += 1e-6
        return self.time


@pytest.mark.parametrize("make_scheduler", [FakeScheduler, RunningScheduler])
def test_members_stay_known_while_the_store_lacks_their_records(make_scheduler):
    fleet = Fleet(make_scheduler())
    reader = fleet.start("reader")
    fleet.scheduler.advance(5.0)
    fleet.start("other", reader="reader")
    fleet.scheduler.advance(3.0)
    fleet.store.restore({reader.follower.partition: 8})
    for _ in range(30):
        fleet.scheduler.advance(0.2)
        assert list_ids(reader) == {"reader", "other"}


def test_a_node_that_is_gone_is_not_a_member_again_after_a_restoration(fleet):
    reader = fleet.start("reader")
    fleet.start("other")
    fleet.scheduler.advance(3.0)
    fleet.stop("other")
    fleet.scheduler.advance(7.0)
    assert list_ids(reader) == {"reader"}
    fleet.store.restore({reader.follower.partition: 7})
    for _ in range(30):
        fleet.scheduler.advance(0.2)
        assert list_ids(reader) == {"reader"}
