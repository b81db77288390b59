"""Test without I/O that nodes learn of evacuations and their ends, and send by what they know."""

import json

import pytest
from attrs import define, field

from bronzetiller.gateway.evacuations import LOST_SECONDS, Evacuations
from bronzetiller.gateway.followers import ConfigurationFollower
from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.gateway.permitted_targets import PermittedTargets
from bronzetiller.gateway.relay import RelayedPartition, register_fetch_handler
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from bronzetiller.storage.keyed import Partition
from bronzetiller.sync.confirmation import ConfigurationBounds, may_send, may_serve
from bronzetiller.sync.sources import Role, Sources
from standins.fake_scheduler import FakeScheduler
from standins.gateway_fleet import make_configuration
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakePeers, FakeStoreClient
from tests.test_gateway_relay import RunningScheduler

PARTITION = Partition(OPERATOR_TOPIC)
KEY = "evacuate/a"


@pytest.mark.parametrize("value", [b"{}", b'{"since": 1}', b"malformed"])
def test_an_evacuation_holds_from_its_record_to_its_deletion(value):
    evacuations = Evacuations()
    (began,) = evacuations.apply([(KEY, value)], 5.0, is_restored=False)
    assert (began.data_centre, began.ended) == ("a", False)
    assert evacuations.apply([(KEY, value)], 6.0, is_restored=False) == []
    assert evacuations.since == {"a": 5.0} and not evacuations.is_evacuated("b")
    (ended,) = evacuations.apply([(KEY, None)], 8.5, is_restored=False)
    assert ended.ended and ended.seconds == 3.5
    assert not evacuations.is_evacuated("a")


@pytest.mark.parametrize("key", ["config", "evacuate", "evacuate/", "x/evacuate/a"])
def test_other_keys_evacuate_nothing(key):
    evacuations = Evacuations()
    assert evacuations.apply([(key, b"{}"), (key, None)], 5.0, is_restored=False) == []


def test_only_targets_elsewhere_are_permitted_and_a_refusal_names_what_is_evacuated():
    pool, evacuations = TargetPool(), Evacuations()
    for number, data_centre in enumerate("ab"):
        address = Address("10.0.0.1", number)
        pool.register(Registration(f"e{number}", "s", address, data_centre, 8, False))
    permitted = PermittedTargets(pool, {"a": "west", "b": "east"}, evacuations)
    evacuations.apply([(KEY, b"{}")], 5.0, is_restored=False)
    assert [item.target_id for item in permitted.list_targets("s")] == ["e1"]
    assert permitted.explain_lack(["s"], None) is None
    assert permitted.list_services(frozenset({"west"})) == set()
    detail = "no target may be used; requests are allowed only in west; evacuated: a"
    assert permitted.explain_lack(["s"], frozenset({"west"})) == detail
    evacuations.apply([("evacuate/b", b"{}")], 5.0, is_restored=False)
    assert permitted.explain_lack(["s"], None) == "no target may be used; evacuated: a, b"
    permitted.may_send = lambda: False
    assert "not confirmed" in permitted.explain_lack(["s"], None)


def test_a_service_counts_as_available_without_a_look_at_all_of_its_targets():
    class CountedRegions(dict):
        reads = 0

        def get(self, key, default=None):
            self.reads += 1
            return super().get(key, default)

    pool, regions = TargetPool(), CountedRegions(a="west")
    for number in range(300):
        address = Address("10.0.0.1", number)
        pool.register(Registration(f"e{number}", f"s{number % 3}", address, "a", 8, False))
    permitted = PermittedTargets(pool, regions)
    assert permitted.list_services(frozenset({"west"})) == {"s0", "s1", "s2"}
    assert permitted.explain_lack(["s0"], frozenset({"west"})) is None
    assert regions.reads <= 4  # one for each service and question


@pytest.mark.parametrize(
    ("age", "contact", "evacuate_ms", "expected"),
    [
        (4.1, 10.0, 5_000.0, True),
        (4.3, 10.0, 5_000.0, False),
        (5.1, 3.9, 5_000.0, True),  # without the store, a node goes on by what it knows
        (5.1, 10.0, None, True),
    ],
)
def test_a_node_in_contact_sends_nothing_by_evacuations_that_may_be_outdated(
    age, contact, evacuate_ms, expected
):
    bounds = ConfigurationBounds(apply_ms=9_000.0, contact_ms=4_000.0, evacuate_ms=evacuate_ms)
    assert may_send(age, contact, bounds) == expected
    assert may_serve(age, contact, bounds) == expected


@pytest.mark.parametrize("evacuate_ms", [0.5, 800.0])
def test_a_bound_within_which_no_request_could_be_sent_is_refused(evacuate_ms):
    with pytest.raises(ValueError, match="evacuate_ms"):
        ConfigurationBounds(evacuate_ms=evacuate_ms)


@define(eq=False)
class Node:
    follower: ConfigurationFollower
    client: FakeStoreClient

    @property
    def evacuated(self):
        return set(self.follower.evacuations.since)


@define(eq=False)
class Cluster:
    """Hold nodes that follow the operator's records, some of them through another node."""

    scheduler: FakeScheduler = field(factory=RunningScheduler)
    store: MemoryStore = field(factory=MemoryStore)
    network: dict = field(factory=dict)

    def start(self, node_id, reader=None, mode="up", seeds=()):
        scheduler = self.scheduler
        client = FakeStoreClient(scheduler, self.store, mode=mode)
        peers = self.network[node_id] = FakePeers(self.network, scheduler, node_id)
        sources = Sources(Role.DEPUTY, (reader,)) if reader else Sources(Role.READER)
        source = PeerReader(scheduler, peers, client, node_id, lambda: sources, lambda: list(seeds))
        node = Node(ConfigurationFollower(scheduler, source, lambda changed: None), client)
        relayed = RelayedPartition(scheduler, node.follower.follower, source, peers)
        register_fetch_handler(peers, {OPERATOR_TOPIC: relayed})
        node.follower.follower.start()
        scheduler.advance(1.0)
        return node

    def write(self, key, value, seconds=1.0):
        self.store.append(PARTITION, key, value, None)
        self.scheduler.advance(seconds)

    def configure(self, version, seconds=1.0):
        value = json.dumps(make_configuration(version)).encode()
        self.write(CONFIGURATION_KEY, value, seconds)


@pytest.fixture
def cluster():
    """Return a cluster without nodes, whose store holds a configuration."""
    cluster = Cluster()
    cluster.configure(1)
    return cluster


def test_an_evacuation_and_its_end_reach_nodes_directly_and_through_relays(cluster):
    nodes = [cluster.start("reader")]
    nodes.append(cluster.start("node", reader="reader", mode="down"))
    nodes.append(cluster.start("third", reader="node", mode="down"))
    cluster.write(KEY, b"{}", 3.0)
    assert [node.evacuated for node in nodes] == [{"a"}] * 3
    cluster.write("evacuate/b", b"{}", 3.0)
    cluster.write(KEY, None, 3.0)
    assert [node.evacuated for node in nodes] == [{"b"}] * 3


def test_a_node_that_starts_during_an_evacuation_knows_it_with_its_first_configuration(cluster):
    cluster.start("reader")
    cluster.write(KEY, b"{}")
    known = []
    for node_id, reader, mode in (("direct", None, "up"), ("relayed", "reader", "down")):
        node = cluster.start(node_id, reader, mode)
        assert node.follower.configuration is not None
        known.append(node.evacuated)
    assert known == [{"a"}] * 2
    # Even if the configuration cannot be read.
    cluster.write(CONFIGURATION_KEY, b"malformed")
    node = cluster.start("late")
    assert node.follower.configuration is None and node.evacuated == {"a"}


@pytest.mark.parametrize("expires", [False, True])
def test_a_follower_that_reads_only_the_newest_records_notices_that_an_evacuation_ended(
    cluster, expires
):
    reader = cluster.start("reader")
    node = cluster.start("node", reader="reader", mode="down")
    cluster.write(KEY, b"{}")
    cluster.scheduler.advance(2.0)
    reader.client.mode = "down"
    cluster.scheduler.advance(4.0)  # longer than the history that is read record by record
    cluster.store.append(PARTITION, KEY, None, None)
    for version in range(2, 30):
        cluster.configure(version, 0.0)
    if expires:
        cluster.store.first_offsets[str(PARTITION)] = len(cluster.store.records(PARTITION))
    assert reader.evacuated == node.evacuated == {"a"}
    reader.client.mode = "up"
    cluster.scheduler.advance(4.0)
    assert reader.evacuated == node.evacuated == set()
    assert node.follower.configuration.version == 29


def test_a_storm_of_versions_hides_neither_an_evacuation_nor_its_end(cluster):
    node = cluster.start("node")
    version = 1
    for value in (b"{}", None):
        for number in range(30):
            version += 1
            cluster.configure(version, 0.01)
            if number == 15:
                cluster.write(KEY, value, 0.01)
        cluster.scheduler.advance(1.0)
        assert node.evacuated == ({"a"} if value else set())


def test_an_evacuation_that_a_restored_store_lost_holds_until_the_operator_had_time(cluster):
    reader = cluster.start("reader")
    node = cluster.start("node", reader="reader", mode="down")
    cluster.write(KEY, b"{}", 3.0)
    cluster.store.restore({PARTITION: 1})
    cluster.scheduler.advance(LOST_SECONDS - 2.0)
    assert reader.evacuated == node.evacuated == {"a"}
    # What is passed on is what the store has, so that a new node knows no more than the store.
    assert cluster.start("new", reader="node", mode="down").evacuated == set()
    cluster.scheduler.advance(6.0)
    assert reader.evacuated == node.evacuated == set()


def test_an_evacuation_that_is_written_again_after_a_restoration_goes_on(cluster):
    node = cluster.start("node")
    cluster.write(KEY, b"{}")
    since = dict(node.follower.evacuations.since)
    cluster.store.restore({PARTITION: 1})
    cluster.scheduler.advance(3.0)
    cluster.write(KEY, b"{}", 2 * LOST_SECONDS)
    assert node.follower.evacuations.since == since
    cluster.write(KEY, None)
    assert node.evacuated == set()


def test_an_evacuation_that_a_restored_store_brings_back_holds_again(cluster):
    node = cluster.start("node")
    cluster.write(KEY, b"{}")
    cluster.write(KEY, None)
    assert node.evacuated == set()
    cluster.store.restore({PARTITION: 1})
    cluster.scheduler.advance(2 * LOST_SECONDS)
    assert node.evacuated == {"a"}


def test_a_deletion_after_a_restoration_that_lost_nothing_ends_an_evacuation_at_once(cluster):
    node = cluster.start("node")
    cluster.write(KEY, b"{}")
    cluster.configure(2)
    cluster.store.restore({PARTITION: 1})
    cluster.scheduler.advance(1.0)
    assert node.evacuated == {"a"}
    cluster.write(KEY, None)
    assert node.evacuated == set()
