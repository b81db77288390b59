"""Test without a network that all nodes catch up behind a link that many of them share."""

import pytest

from tests.simulated_fleet import SimulatedFleet

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


def measure_recovery(fleet, seconds_max=60.0):
    """Return the time until every node is current, and the data each data centre read."""
    link = fleet.links["west"]
    before = link.bytes_carried
    seconds = fleet.await_current(seconds_max)
    volume = RECORDS_MISSED * RECORD_BYTES
    return seconds, (link.bytes_carried - before) / volume


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
