"""Test without a network that all nodes catch up behind a link that many of them share."""

import pytest

from bronzetiller.fleet.neighbours import rank_readers
from bronzetiller.settings import BudgetSettings
from tests.simulated_fleet import STREAM, Link, SimulatedFleet

CURRENT_SECONDS_MAX = 9.0
RECORDS_MISSED = 2_000
RECORD_BYTES = 1_000
SIZES = {6: (1, 2), 195: (3, 20), 330: (4, 27)}


def start_fleet(nodes):
    """Start two nodes near the log and the data centres of one region that is far from it."""
    data_centres, nodes_each = SIZES[nodes]
    groups = {("east", "east-1"): 2}
    groups |= {("west", f"west-{index}"): nodes_each for index in range(data_centres)}
    fleet = SimulatedFleet(groups)
    fleet.log.append(10)
    fleet.start()
    assert not fleet.list_behind()
    return fleet


def measure_recovery(fleet, records=RECORDS_MISSED, seconds_max=60.0):
    """Return the time until every node is current, and how often the data crossed the link."""
    link = fleet.links["west"]
    before = link.bytes_carried
    seconds = fleet.await_current(seconds_max)
    return seconds, (link.bytes_carried - before) / (records * RECORD_BYTES)


@pytest.mark.parametrize("nodes", SIZES)
def test_a_region_that_was_cut_off_catches_up_over_its_shared_link(nodes):
    fleet = start_fleet(nodes)
    fleet.set_cut(True)
    fleet.scheduler.advance(5.0)
    fleet.log.append(RECORDS_MISSED, RECORD_BYTES)
    fleet.scheduler.advance(5.0)
    fleet.set_cut(False)
    seconds, volumes = measure_recovery(fleet)
    print(f"{nodes} nodes: {seconds} s, {volumes:.1f} times the data")
    assert seconds is not None and seconds <= CURRENT_SECONDS_MAX
    assert volumes <= 2.5 * SIZES[nodes][0]


def await_confirmed(fleet):
    """Return the seconds until every node knows that it has every entry of the log."""
    started_at = fleet.scheduler.now()
    while not all(node.follower.caught_up for node in fleet.nodes.values()) or fleet.list_behind():
        fleet.scheduler.advance(0.05)
        assert fleet.scheduler.now() - started_at < 60.0
    return fleet.scheduler.now() - started_at


def test_few_nodes_confirm_budgets_after_a_short_cut_before_requests_are_refused():
    seconds = {}
    for cut_seconds in (quarters / 4 for quarters in range(1, 41)):
        fleet = start_fleet(6)
        fleet.set_cut(True)
        fleet.scheduler.advance(cut_seconds / 2)
        fleet.log.append(20, 100)
        fleet.scheduler.advance(cut_seconds / 2)
        fleet.set_cut(False)
        seconds[cut_seconds] = await_confirmed(fleet)
    assert max(seconds.values()) <= BudgetSettings().wait_seconds, seconds


def lose_log(fleet, node_ids):
    """Cut the connections of some nodes to the log, and only these."""
    for node_id in node_ids:
        fleet.nodes[node_id].http.up = Link(fleet.scheduler, cut=True)
        fleet.nodes[node_id].http.down = Link(fleet.scheduler, cut=True)


@pytest.mark.parametrize("nodes", SIZES)
def test_a_data_centre_that_lost_the_log_catches_up_through_few_of_its_nodes(nodes):
    fleet = start_fleet(nodes)
    lose_log(fleet, [vm.vm_id for vm in fleet.vms if vm.data_centre == "west-0"])
    fleet.scheduler.advance(1.0)
    fleet.log.append(500, RECORD_BYTES)
    seconds, volumes = measure_recovery(fleet, 500)
    print(f"{nodes} nodes: {seconds} s, {volumes:.1f} times the data")
    assert seconds is not None and seconds <= CURRENT_SECONDS_MAX
    assert volumes <= 2.5 * SIZES[nodes][0]
    fleet.log.append(1, RECORD_BYTES)
    assert fleet.await_current(CURRENT_SECONDS_MAX) is not None


@pytest.mark.parametrize("nodes", SIZES)
def test_another_node_takes_over_from_a_reader_that_lost_the_log(nodes):
    fleet = start_fleet(nodes)
    for data_centre in {vm.data_centre for vm in fleet.vms if vm.region == "west"}:
        node_ids = [vm.vm_id for vm in fleet.vms if vm.data_centre == data_centre]
        lose_log(fleet, rank_readers(STREAM, data_centre, node_ids)[:1])
    for _ in range(3):
        fleet.scheduler.advance(0.5)
        fleet.log.append(50, RECORD_BYTES)
        assert fleet.await_current(CURRENT_SECONDS_MAX) is not None


def test_a_connection_on_which_bytes_arrive_is_not_closed_as_silent():
    fleet = start_fleet(6)
    node = fleet.nodes["west-0-0"]
    node.peers.request = lambda *arguments: None
    for _ in range(10):
        node.peers.last_received_at.update(dict.fromkeys(node.peers.open_links, node.peers.now()))
        fleet.scheduler.advance(1.0)
    assert node.peers.drops == 0
    fleet.scheduler.advance(5.0)
    assert node.peers.drops > 0
