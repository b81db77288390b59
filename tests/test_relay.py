"""Test reading and appending records through peers."""

import pytest

from bronzetiller.fleet.relay import choose_log_peer, choose_reader, choose_source
from bronzetiller.wire.messages import Heartbeat
from standins.fleet import call_json
from tests.conftest import KEY, await_ready, await_true, read_metric, read_records, send_chat

PROPAGATION_SECONDS_MAX = 6.0
FILLER_BYTES = 2_000
FILLER_COUNT = 150


def make_heartbeat(node_id, location, offset, *, reachable=True, stopping=False):
    region, data_centre = location
    return Heartbeat(
        node_id,
        f"{node_id}/1",
        region,
        data_centre,
        "10.0.0.1:1",
        stopping,
        {"configuration": offset},
        log_reachable=reachable,
    )


OWN = make_heartbeat("a", ("west", "west-1"), 5)
LIVE = {
    "b": make_heartbeat("b", ("west", "west-1"), 6, reachable=False),
    "c": make_heartbeat("c", ("west", "west-2"), 9),
    "d": make_heartbeat("d", ("east", "east-1"), 12),
    "e": make_heartbeat("e", ("west", "west-1"), 5, stopping=True),
}


def test_missing_entries_come_from_the_nearest_peer_that_has_them():
    assert choose_source(OWN, LIVE, "configuration", 5, far=True) == "b"
    assert choose_source(OWN, LIVE, "configuration", 6, far=True) == "c"
    assert choose_source(OWN, LIVE, "configuration", 6, far=False) is None
    assert choose_source(OWN, LIVE, "configuration", 12, far=True) is None


def test_nodes_that_miss_entries_do_not_all_fetch_them_from_one_peer():
    far = {
        f"far-{index}": make_heartbeat(f"far-{index}", ("east", "east-1"), 9 + index % 2)
        for index in range(6)
    }
    sources = {
        choose_source(
            make_heartbeat(f"own-{index}", ("west", "west-1"), 5),
            far,
            "configuration",
            5,
            far=True,
        )
        for index in range(40)
    }
    assert sources == set(far)


def test_appends_go_through_the_nearest_peer_that_reaches_the_log():
    assert choose_log_peer(OWN, LIVE, "ledger-0") == "c"
    assert choose_log_peer(OWN, {"b": LIVE["b"]}, "ledger-0") is None


def test_every_node_of_a_data_centre_chooses_the_same_reader():
    assert choose_reader("ledger-0", "east-1", ["a", "b"]) == choose_reader(
        "ledger-0", "east-1", ["b", "a"]
    )


@pytest.fixture
def start(make_fleet):
    """Return a function that starts one node in the west and two in the east."""

    def start(**settings):
        fleet = make_fleet(with_links=True)
        fleet.start_platform()
        fleet.add_target("engine-1", "names", "east", "east-1")
        fleet.add_node("node-1", "west", "west-1", **settings)
        fleet.add_node("node-2", "east", "east-1", **settings)
        fleet.add_node("node-3", "east", "east-1", **settings)
        fleet.publish("route", "namer", {"service": "names"})
        fleet.publish_workspace("studio", KEY, 100_000)
        await_ready(fleet, "node-1", "node-2", "node-3")
        for node_id in ("node-1", "node-2", "node-3"):
            address = fleet.caller_address(node_id)
            await_true(
                lambda address=address: read_metric(address, "bronzetiller_peers_heard") == 2,
                what=f"heartbeats at {node_id}",
            )
        return fleet

    return start


def _await_success(fleet, node_id, key, request_id=None):
    address = fleet.caller_address(node_id)
    await_true(
        lambda: send_chat(address, key=key, request_id=request_id)[0] == 200,
        seconds=PROPAGATION_SECONDS_MAX,
        what=f"a successful response from {node_id}",
    )


def test_a_data_centre_cut_off_from_the_store_learns_and_appends_through_peers(start):
    fleet = start()
    _await_success(fleet, "node-2", KEY)
    fleet.set_fault(lambda source, destination: source in ("node-2", "node-3"), cut=True)
    fleet.publish_workspace("late", "late-key", 10_000)
    for node_id in ("node-2", "node-3"):
        _await_success(fleet, node_id, "late-key", request_id=f"during-{node_id}")
    await_true(
        lambda: {"during-node-2", "during-node-3"}
        <= {bill["request_id"] for bill in read_records(fleet, "bill")},
        what="the bills of both nodes in the log",
    )

    fleet.heal()
    fleet.publish_workspace("later", "later-key", 10_000)
    for node_id in ("node-2", "node-3"):
        _await_success(fleet, node_id, "later-key")


def _count_crossings(fleet):
    """Return how often on average each record crossed the links between the east and the log."""

    def reads_log(source, destination):
        return source in ("node-2", "node-3") and destination == "log"

    before = fleet.count_link_bytes(reads_log)
    filler = {"service": "names", "workspaces": ["x" * FILLER_BYTES]}
    for index in range(FILLER_COUNT):
        fleet.publish("route", f"filler-{index}", filler)
    fleet.publish_workspace("last", "last-key", 10_000)
    for node_id in ("node-2", "node-3"):
        _await_success(fleet, node_id, "last-key")
    return (fleet.count_link_bytes(reads_log) - before) / (FILLER_COUNT * FILLER_BYTES)


def test_a_record_crosses_the_link_once_per_data_centre(start):
    crossings_without_relay = _count_crossings(start(fleet={"relay": False}))
    assert _count_crossings(start()) < 0.7 * crossings_without_relay


def _await_lookup_without(fleet, node_id, address):
    entry = fleet.caller_address(node_id)
    await_true(
        lambda: address not in call_json(entry, "/v1/entry")["addresses"],
        seconds=PROPAGATION_SECONDS_MAX,
        what=f"the lookup of {node_id} without the silent node",
    )


def test_an_unresponsive_reader_blocks_no_node(start):
    fleet = start()
    for frozen, other in (("node-2", "node-3"), ("node-3", "node-2")):
        fleet.processes[frozen].freeze()
        fleet.publish_workspace(f"without-{frozen}", f"key-{frozen}", 10_000)
        _await_success(fleet, other, f"key-{frozen}")
        _await_lookup_without(fleet, other, fleet.caller_address(frozen))
        fleet.processes[frozen].thaw()
        _await_success(fleet, frozen, f"key-{frozen}")
