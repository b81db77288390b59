"""Test in a simulation what a store that answers slowly, now or just before, costs the fleet."""

import logging

import pytest

from standins.configuration_scenarios import LARGE_KILOBYTES, SMALL_KILOBYTES, START_SECONDS
from standins.simulated_fleet import SimulatedFleet, cache_decoding

SLOW_SECONDS = 1.6


@pytest.fixture(autouse=True)
def without_logs(caplog):
    caplog.set_level(logging.CRITICAL, "bronzetiller")


def test_nodes_that_lose_a_store_that_was_slow_before_have_new_versions_from_their_peers():
    with cache_decoding():
        fleet = SimulatedFleet(6)
        fleet.write_configuration(SMALL_KILOBYTES)
        fleet.start_all()
        answer_seconds = fleet.store.answer_seconds
        fleet.store.answer_seconds = 4.0
        fleet.advance(20.0)
        fleet.store.answer_seconds = answer_seconds
        fleet.advance(5.0)
        fleet.cut_from_store(fleet.list_region(fleet.regions[-1]))
        for _ in range(2):
            fleet.write_configuration(SMALL_KILOBYTES)
            within = fleet.await_version(fleet.layout.apply_seconds)
            assert within is not None


def test_nodes_that_restart_together_have_their_configuration_while_the_store_is_slow():
    with cache_decoding():
        fleet = SimulatedFleet(330)
        fleet.write_configuration(LARGE_KILOBYTES)
        fleet.start_all()
        fleet.await_version(30.0)
        for node_id in fleet.node_ids:
            fleet.kill(node_id)
        fleet.advance(1.0)
        fleet.store.answer_seconds = SLOW_SECONDS
        fleet.start_all(spread_seconds=0.0, warm_up_seconds=0.0)
        within = fleet.await_version(4 * SLOW_SECONDS + START_SECONDS)
        assert within is not None
