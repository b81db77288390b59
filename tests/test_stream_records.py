"""Test without a network where streams taken up again may go on, and what that costs."""

from random import Random

import pytest
from attrs import define, field

from bronzetiller.gateway.stream_records import (
    REVIEW_SECONDS,
    STREAMS_PARTITION,
    VERSIONS_PARTITION,
    StreamRecords,
)
from bronzetiller.gateway.stream_slots import SLOT_SECONDS
from bronzetiller.gateway.stream_versions import (
    TAKE_UP_SECONDS,
    BaseVersion,
    decode_base_version,
)
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.net.address import Address
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient

V1, V2, V3 = "s/v1", "s/v2", "s/v3"
SERVICES = {"s"}
NODES = [6, 330]


@define(eq=False)
class Fleet:
    """Hold nodes that see the same targets, and the version at which each stream really began."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    store: MemoryStore = field(factory=MemoryStore)
    random: Random = field(factory=lambda: Random(5))
    pool: TargetPool = field(factory=TargetPool)
    nodes: list = field(factory=list)
    clients: list = field(factory=list)
    began: dict = field(factory=dict)
    starts: int = 0

    def start(self, count):
        for client in self.clients:
            client.stopped = True
        self.nodes, self.clients = [], []
        for number in range(count):
            self.starts += 1
            client = FakeStoreClient(self.scheduler, self.store)
            node = StreamRecords(
                self.scheduler,
                client,
                f"n{number}/{self.starts}",
                self.pool,
                lambda: len(self.nodes),
                lambda number=number: number < 3,
                self.scheduler.now,
                Random(number).random,
            )
            self.clients.append(client)
            self.nodes.append(node)
            node.follower.wait_seconds = node.follower.pause_seconds = 1.0
            node.start()
        self.scheduler.advance(REVIEW_SECONDS + 1.5)

    def kill_all(self):
        self.scheduler.clear()
        self.start(len(self.nodes))

    def serve(self, *versions):
        for target_id in list(self.pool.targets):
            self.pool.remove(target_id, "gone")
        for version in versions:
            for number in range(2):
                name = f"{version}-{number}"
                service, _, software = version.partition("/")
                self.pool.register(
                    Registration(
                        name, service, Address("10.0.0.1", 1), "a", 8, False, software=software
                    )
                )

    def begin(self, count, *versions):
        """Begin streams; return the ids of those that may deliver events."""
        records = []
        for _ in range(count):
            stream_id, version = f"r{len(self.began)}", self.random.choice(versions)
            node = self.random.choice(self.nodes)
            records.append((stream_id, node.record(stream_id, version)))
            self.began[stream_id] = version
        self.scheduler.advance(1.2)
        return [stream_id for stream_id, record in records if record is None or record.written]

    def find(self, stream_id):
        found = []
        self.random.choice(self.nodes).find(stream_id, SERVICES, found.append)
        self.scheduler.advance(0.1)
        return found[0].ok_value if found and found[0].is_ok() else None

    def judge(self, stream_ids):
        """Return how many streams are found at their version; fail if one is found elsewhere."""
        found = [(stream_id, self.find(stream_id)) for stream_id in stream_ids]
        wrong = [item for item in found if item[1] not in (None, self.began[item[0]])]
        assert wrong == []
        return sum(version is not None for _, version in found)

    def count_appends(self):
        return sum(client.appends for client in self.clients)


@pytest.fixture
def make_fleet():
    """Return a function that starts a fleet with version v1 in service."""

    def make(count, *, restored=False):
        fleet = Fleet()
        if restored:
            fleet.store.restore({})
        fleet.serve(V1)
        fleet.start(count)
        return fleet

    return make


@pytest.mark.parametrize("nodes", NODES)
def test_streams_of_the_only_version_cost_no_append(make_fleet, nodes):
    fleet = make_fleet(nodes)
    appends = fleet.count_appends()
    assert len(fleet.begin(200, V1)) == 200 and fleet.count_appends() == appends
    assert fleet.judge(list(fleet.began)[:40]) == 40


@pytest.mark.parametrize("store", ["up", "down"])
def test_streams_after_the_first_start_of_a_restored_store_wait_for_no_record(make_fleet, store):
    fleet = make_fleet(6, restored=True)
    for client in fleet.clients:
        client.mode = store
    begun = fleet.begin(40, V1)
    assert len(begun) == 40
    fleet.kill_all()
    assert fleet.judge(begun) == (40 if store == "up" else 0)
    fleet.scheduler.advance(TAKE_UP_SECONDS)
    assert {node.versions.find_settled_base("s") for node in fleet.nodes} == {V1}


@pytest.mark.parametrize("nodes", NODES)
def test_streams_go_on_at_their_version_through_a_release_and_losses_of_all_nodes(
    make_fleet, nodes
):
    fleet = make_fleet(nodes)
    for versions in ((V1, V2), (V1, V2), (V2,), (V2, V3), (V3,)):
        fleet.serve(*versions)
        begun = fleet.begin(60, *versions)
        fleet.kill_all()
        assert fleet.judge(begun) >= 0.9 * len(begun) and len(begun) >= 55


@pytest.mark.parametrize("nodes", NODES)
def test_streams_of_the_time_before_a_start_are_not_joined_if_the_store_has_lost_their_base(
    make_fleet, nodes
):
    fleet = make_fleet(nodes)
    fleet.scheduler.advance(TAKE_UP_SECONDS + 2.0)
    begun = fleet.begin(10, V1)
    fleet.store.restore({VERSIONS_PARTITION: 1_000, STREAMS_PARTITION: 1_000})
    fleet.serve(V2)
    fleet.kill_all()
    assert fleet.judge(begun) == 0
    fleet.scheduler.advance(TAKE_UP_SECONDS)
    assert {node.versions.find_base("s") for node in fleet.nodes} == {V2}
    appends = fleet.count_appends()
    assert len(fleet.begin(20, V2)) == 20 and fleet.count_appends() == appends


@pytest.mark.parametrize("nodes", NODES)
def test_records_of_a_release_stay_under_the_store_s_rate(make_fleet, nodes):
    fleet = make_fleet(nodes)
    fleet.serve(V1, V2)
    appends, seconds = fleet.count_appends(), 0.0
    while seconds < 5.0:
        for node in fleet.nodes:
            node.record(f"{node._incarnation}-{seconds}", V2)
        fleet.scheduler.advance(0.05)
        seconds += 0.05
    assert fleet.count_appends() - appends <= 350 * 5


def test_the_base_follows_once_no_stream_of_the_former_one_can_be_taken_up(make_fleet):
    fleet = make_fleet(6)
    fleet.scheduler.advance(TAKE_UP_SECONDS)
    fleet.serve(V2)
    fleet.scheduler.advance(TAKE_UP_SECONDS - 3.0)
    assert fleet.nodes[0].versions.find_base("s") == V1
    fleet.scheduler.advance(6.0)
    assert {node.versions.find_base("s") for node in fleet.nodes} == {V2}
    appends = fleet.count_appends()
    assert len(fleet.begin(50, V2)) == 50 and fleet.count_appends() == appends


@pytest.mark.parametrize("settled", [True, False])
def test_a_base_is_decoded_as_it_was_encoded_and_one_of_an_older_node_as_settled(settled):
    base = BaseVersion("s", V1, 2, 1, settled)
    assert decode_base_version("s", base.encode()) == base
    older = b'{"version": "s/v1", "number": 2, "era": 1}'
    assert decode_base_version("s", older).settled
    assert decode_base_version("s", b"[]") is None


def test_no_event_is_delivered_before_its_version_is_recorded(make_fleet):
    fleet = make_fleet(6)
    fleet.serve(V1, V2)
    for client in fleet.clients:
        client.mode = "down"
    begun = fleet.begin(40, V1, V2)
    assert {fleet.began[stream_id] for stream_id in begun} == {V1}
    assert any(not node.is_writable for node in fleet.nodes)
    assert not any(node.may_deliver_unrecorded("s") for node in fleet.nodes)
    fleet.serve(V2)
    assert any(node.may_deliver_unrecorded("s") for node in fleet.nodes)


def test_a_stream_whose_record_a_restoration_may_have_lost_is_not_joined(make_fleet):
    fleet = make_fleet(6)
    fleet.serve(V1, V2)
    begun = fleet.begin(60, V1, V2)
    fleet.store.restore({STREAMS_PARTITION: 1_000})
    fleet.kill_all()
    fleet.judge(begun)
    fleet.scheduler.advance(TAKE_UP_SECONDS + 4.0)
    later = fleet.begin(40, V1, V2)
    fleet.kill_all()
    assert fleet.judge(later) == len(later)


def test_a_restoration_in_steady_state_refuses_streams_for_seconds_only(make_fleet):
    fleet = make_fleet(6)
    fleet.scheduler.advance(TAKE_UP_SECONDS)
    fleet.store.restore({VERSIONS_PARTITION: 1_000, STREAMS_PARTITION: 1_000})
    fleet.scheduler.advance(4.0)
    begun = fleet.begin(40, V1)
    assert fleet.judge(begun) == 40
    assert {node.versions.find_base("s") for node in fleet.nodes} == {V1}


def test_of_proposals_of_several_nodes_one_is_in_force_at_all(make_fleet):
    fleet = Fleet()
    fleet.serve(V1, V2)
    fleet.start(6)
    assert {node.versions.find_base("s") for node in fleet.nodes} == {None}
    fleet.scheduler.advance(TAKE_UP_SECONDS + 4.0)
    assert len({node.versions.find_base("s") for node in fleet.nodes} - {None}) == 1
    begun = fleet.begin(40, V1, V2)
    fleet.kill_all()
    assert fleet.judge(begun) == len(begun)


def test_the_records_of_ended_streams_are_deleted(make_fleet):
    fleet = make_fleet(6)
    fleet.serve(V1, V2)
    fleet.begin(60, V2)
    assert fleet.store.list_newest(STREAMS_PARTITION)
    fleet.scheduler.advance(3 * TAKE_UP_SECONDS)
    assert not fleet.store.list_newest(STREAMS_PARTITION)


def test_a_late_append_does_not_take_streams_out_of_a_record(make_fleet):
    fleet = make_fleet(6)
    fleet.serve(V1, V2)
    node, client = fleet.nodes[0], fleet.clients[0]
    client.mode = "late"
    node.record("r-first", V2)
    fleet.scheduler.advance(0.5)
    client.mode = "up"
    later = node.record("r-later", V2)
    fleet.scheduler.advance(2.0)
    assert later.written
    fleet.store.run_delayed_appends()
    fleet.began |= {"r-first": V2, "r-later": V2}
    fleet.kill_all()
    assert fleet.judge(["r-first", "r-later"]) == 2


def test_no_stream_is_delivered_unrecorded_before_its_service_has_a_base(make_fleet):
    fleet = Fleet()
    fleet.serve(V1, V2)
    fleet.start(6)
    for client in fleet.clients:
        client.mode = "down"
    fleet.begin(40, V1, V2)
    assert any(not node.is_writable for node in fleet.nodes)
    assert not any(node.may_deliver_unrecorded("s") for node in fleet.nodes)


@pytest.mark.parametrize("store", ["up", "down"])
@pytest.mark.parametrize("nodes", NODES)
def test_a_node_that_has_not_seen_a_new_version_does_not_join_its_streams(make_fleet, nodes, store):
    fleet = make_fleet(nodes)
    fleet.scheduler.advance(TAKE_UP_SECONDS + 2.0)
    stale = fleet.nodes[0]
    stale._pool, stale._sees_targets = TargetPool(dict(fleet.pool.targets)), lambda: False
    fleet.nodes = fleet.nodes[1:]
    fleet.serve(V1, V2)
    fleet.scheduler.advance(2.0)
    begun = fleet.begin(20, V1, V2)
    fleet.nodes, fleet.clients[0].mode = [stale], store
    found = fleet.judge(begun)
    assert found == (20 if store == "up" else 0)


def test_streams_of_the_only_version_go_on_while_the_store_fails_for_a_moment(make_fleet):
    fleet = make_fleet(6)
    fleet.scheduler.advance(TAKE_UP_SECONDS + 2.0)
    begun = fleet.begin(10, V1)
    for client in fleet.clients:
        client.mode = "down"
    found = []
    for stream_id in begun:
        fleet.nodes[0].find(stream_id, SERVICES, found.append)
    fleet.scheduler.advance(3.0)
    assert [item.ok_value for item in found] == [V1] * 10


def find_at(nodes, fleet, stream_id):
    """Return the version that each node finds for a stream."""
    found = []
    for node in nodes:
        node.find(stream_id, SERVICES, found.append)
    fleet.scheduler.advance(0.1)
    return [item.ok_value for item in found]


@pytest.mark.parametrize("seconds", [0.0, 0.025, 1.0, SLOT_SECONDS + 0.5])
def test_a_stream_withdrawn_at_one_version_is_found_at_the_one_that_began_it(make_fleet, seconds):
    fleet = make_fleet(3)
    fleet.serve(V1, V2)
    first, second, _ = fleet.nodes
    first.record("r", V2)
    fleet.scheduler.advance(seconds)
    first.record("later", V2)
    first.withdraw("r", 1)
    fleet.scheduler.advance(1.0)
    assert second.record("r", V1) is None
    fleet.scheduler.advance(1.0)
    assert find_at(fleet.nodes, fleet, "r") == [V1] * 3
    assert find_at(fleet.nodes, fleet, "later") == [V2] * 3


def test_a_stream_is_withdrawn_once_the_store_is_back(make_fleet):
    fleet = make_fleet(3)
    fleet.serve(V1, V2)
    first, first_client = fleet.nodes[0], fleet.clients[0]
    first.record("r", V2)
    fleet.scheduler.advance(SLOT_SECONDS)
    first_client.mode = "down"
    first.withdraw("r", 1)
    fleet.scheduler.advance(3.0)
    assert find_at(fleet.nodes[1:], fleet, "r") == [V2] * 2
    first_client.mode = "up"
    fleet.scheduler.advance(2.0)
    assert find_at(fleet.nodes[1:], fleet, "r") == [V1] * 2


def test_the_version_that_began_a_stream_is_found_though_an_older_record_is_written_again(
    make_fleet,
):
    fleet = make_fleet(3)
    fleet.serve(V1, V2, V3)
    node = fleet.nodes[0]
    node.record("r", V2)
    node.record("withdrawn", V2)
    fleet.scheduler.advance(SLOT_SECONDS)
    node.record("r", V3)
    fleet.scheduler.advance(1.0)
    node.withdraw("withdrawn", 1)
    fleet.scheduler.advance(1.0)
    assert find_at(fleet.nodes[1:], fleet, "r") == [V3] * 2


def test_a_stream_that_was_not_recorded_is_withdrawn_without_an_append(make_fleet):
    fleet = make_fleet(3)
    appends = fleet.count_appends()
    fleet.nodes[0].record("r", V1)
    fleet.nodes[0].withdraw("r", 1)
    fleet.scheduler.advance(1.0)
    assert fleet.count_appends() == appends


def test_a_node_is_writable_again_though_its_only_unwritten_stream_was_withdrawn(make_fleet):
    fleet = make_fleet(3)
    fleet.serve(V1, V2)
    node, client = fleet.nodes[0], fleet.clients[0]
    client.mode = "down"
    node.record("r", V2)
    fleet.scheduler.advance(1.5)
    assert not node.is_writable
    node.withdraw("r", 1)
    client.mode = "up"
    fleet.scheduler.advance(3.0)
    assert node.is_writable
    assert find_at(fleet.nodes, fleet, "r") == [V1] * 3


def test_the_record_of_a_stream_sent_twice_stays_until_no_try_is_left(make_fleet):
    fleet = make_fleet(3)
    fleet.serve(V1, V2)
    node = fleet.nodes[0]
    node.record("r", V2)
    node.record("r", V2)
    node.withdraw("r", 1)
    fleet.scheduler.advance(1.0)
    assert find_at(fleet.nodes, fleet, "r") == [V2] * 3
