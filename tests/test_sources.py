"""Test whom a node reads a partition of the store from, and when it reads the store itself."""

import pytest

from bronzetiller.sync.read_plan import (
    ANSWERED_SECONDS_MAX,
    EXPECTED_SECONDS_MAX,
    MEMBER_DELAY_SECONDS_MAX,
    MEMBER_DELAY_SECONDS_PER_NODE,
    STORE_RETRY_SECONDS_MAX,
    STORE_RETRY_SECONDS_MIN,
    BehindPeer,
    ReadPlan,
)
from bronzetiller.sync.sources import (
    RELAYED_NODES_MIN,
    Role,
    SourceNode,
    Sources,
    choose_sources,
)

FLEETS = {  # nodes of each data centre
    6: {"a": 2, "b": 2, "c": 2},
    195: {"a": 33, "b": 33, "c": 33, "d": 32, "e": 32, "f": 32},
    330: {name: 27 + (index < 6) for index, name in enumerate("abcdefghijkl")},
}
REGION_COUNTS = {6: 2, 195: 2, 330: 3}


def make_fleet(size):
    """Return the region of each data centre and the nodes, two of high capacity in each."""
    names = list(FLEETS[size])
    regions = {name: f"r{index % REGION_COUNTS[size]}" for index, name in enumerate(names)}
    nodes = [
        SourceNode(f"{name}-{index}", name, index < 2)
        for name, count in FLEETS[size].items()
        for index in range(count)
    ]
    return regions, nodes


def find_all(topic, regions, nodes):
    return {
        item.node_id: choose_sources(item.node_id, topic, item.data_centre, regions, nodes)
        for item in nodes
    }


@pytest.mark.parametrize("topic", ["configuration", "nodes"])
@pytest.mark.parametrize("size", [195, 330])
def test_one_node_of_each_region_reads_the_store_and_no_two_nodes_read_from_each_other(size, topic):
    regions, nodes = make_fleet(size)
    sources = find_all(topic, regions, nodes)
    places = {item.node_id: item.data_centre for item in nodes}
    readers = [name for name, item in sources.items() if item.role is Role.READER]
    assert sorted(regions[places[name]] for name in readers) == sorted(set(regions.values()))
    for name, item in sources.items():
        hops = 0
        while item.role is not Role.READER:
            name, hops = item.peers[0], hops + 1
            item = sources[name]
        assert hops <= 2


@pytest.mark.parametrize("size", [195, 330])
def test_few_nodes_of_a_region_go_on_asking_a_store_that_they_lost(size):
    regions, nodes = make_fleet(size)
    sources = find_all("configuration", regions, nodes)
    asking = [name for name, item in sources.items() if item.role is not Role.MEMBER]
    assert len(asking) <= 2 * len(regions)
    children = [item.peers[0] for item in sources.values() if item.peers]
    assert max(map(children.count, children)) <= max(FLEETS[size].values()) + 4


def test_high_capacity_nodes_of_the_same_region_serve_the_others():
    regions, nodes = make_fleet(195)
    high = {item.node_id for item in nodes if item.has_high_capacity}
    places = {item.node_id: item.data_centre for item in nodes}
    with_far_peers = []
    for name, item in find_all("configuration", regions, nodes).items():
        assert item.peers[0] in high and name not in item.peers
        near = [regions[places[peer]] == regions[places[name]] for peer in item.peers]
        assert near[0] and near == sorted(near, reverse=True)
        if not all(near):
            with_far_peers.append(name)
    # Only the readers of data centres, in case that of the region is gone.
    assert sorted(map(places.get, with_far_peers)) == sorted(set(places.values()))


@pytest.mark.parametrize("size", [6, 195, 330])
def test_nodes_that_read_the_store_have_peers_in_another_region_for_when_they_lose_it(size):
    regions, nodes = make_fleet(size)
    places = {item.node_id: item.data_centre for item in nodes}
    for name, item in find_all("configuration", regions, nodes).items():
        if item.role is Role.READER:
            assert any(regions[places[peer]] != regions[places[name]] for peer in item.peers)


def test_nodes_of_a_small_region_read_the_store_themselves():
    regions, nodes = make_fleet(6)
    sources = find_all("configuration", regions, nodes)
    assert {item.role for item in sources.values()} == {Role.READER}
    assert len(nodes) // 2 < RELAYED_NODES_MIN


def test_another_node_takes_over_when_the_reader_of_a_region_is_gone():
    regions, nodes = make_fleet(195)
    before = find_all("configuration", regions, nodes)
    reader = next(name for name, item in before.items() if item.role is Role.READER)
    left = [item for item in nodes if item.node_id != reader]
    after = find_all("configuration", regions, left)
    successors = {name for name, item in after.items() if item.role is Role.READER}
    for name in successors - {item for item in before if before[item].role is Role.READER}:
        assert before[name].role is Role.DEPUTY


MEMBER = Sources(Role.MEMBER, ("reader", "deputy"), region_nodes=97)


def test_a_member_asks_the_store_after_a_delay_and_only_if_it_answers_other_calls():
    plan = ReadPlan(lambda: 0.5)
    delay = min(MEMBER_DELAY_SECONDS_MAX, 97 * MEMBER_DELAY_SECONDS_PER_NODE) * 0.5
    assert not plan.may_read_store(MEMBER, 100.0, 100.0)
    assert not plan.may_read_store(MEMBER, 100.0 + delay - 0.01, 100.0)
    assert plan.may_read_store(MEMBER, 100.0 + delay, 100.0)
    later = 100.0 + delay + ANSWERED_SECONDS_MAX
    assert not plan.may_read_store(MEMBER, later, 100.0)
    plan.record_peer_read()
    assert not plan.may_read_store(MEMBER, later, later)


@pytest.mark.parametrize("role", [Role.READER, Role.DEPUTY])
def test_readers_and_deputies_ask_the_store_at_once(role):
    plan = ReadPlan(lambda: 0.5)
    assert plan.may_read_store(Sources(role, ("peer",)), 100.0, float("-inf"))


def test_a_peer_without_data_is_left_out_for_a_short_time_and_offered_what_was_read():
    plan = ReadPlan(lambda: 0.5)
    plan.record_peer_away("reader", BehindPeer(7), 100.0)
    assert plan.list_peers(MEMBER, 100.0) == ["deputy"]
    assert plan.list_peers(MEMBER, 101.0) == ["reader", "deputy"]
    assert plan.take_behind() == {"reader": BehindPeer(7)}
    assert plan.take_behind() == {}


def test_a_silent_peer_is_not_offered_anything():
    plan = ReadPlan(lambda: 0.5)
    plan.record_peer_away("reader", BehindPeer(7), 100.0)
    plan.record_peer_silent("reader", 100.5)
    assert plan.take_behind() == {}


def test_a_member_leaves_the_store_to_a_source_that_reaches_it_but_not_for_ever():
    plan = ReadPlan(lambda: 0.0)
    now = 100.0
    while now < 100.0 + EXPECTED_SECONDS_MAX:
        plan.record_peer_away("reader", BehindPeer(7), now, reaches_store=True)
        assert not plan.may_read_store(MEMBER, now, now)
        now += 0.5
    for _ in range(4):
        plan.record_peer_away("reader", BehindPeer(7), now, reaches_store=True)
        now += 0.5
    assert plan.may_read_store(MEMBER, now, now)


def test_a_reader_that_lost_the_store_asks_its_peers_before_it_tries_again():
    plan = ReadPlan(lambda: 1.0)
    reader = Sources(Role.READER, ("peer",))
    assert plan.prefers_store(reader, 100.0)
    plan.record_store_lost(100.0)
    assert not plan.prefers_store(reader, 100.0 + STORE_RETRY_SECONDS_MIN / 2)
    assert plan.prefers_store(reader, 100.0 + STORE_RETRY_SECONDS_MAX)
    plan.record_store_lost(102.0)
    plan.record_store_read()
    assert plan.prefers_store(reader, 102.0)
