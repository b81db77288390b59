"""Test that all nodes of large fleets have a new configuration in time, in a simulation."""

import logging

import pytest

from standins.configuration_scenarios import run_scenario

pytestmark = pytest.mark.timeout(400)  # a large simulation takes a minute of processor time

SMALL, LARGE, LARGEST = 6, 195, 330


@pytest.fixture(autouse=True)
def without_logs(caplog):
    caplog.set_level(logging.CRITICAL, "bronzetiller")


def check(name, nodes):
    trial = run_scenario(name, nodes, observed_seconds=0.0)
    print(nodes, name, [(item.label, item.seconds, item.outdated) for item in trial.measurements])
    print("kilobytes between regions:", sum(trial.shared_bytes.values()) // 1000)
    late = [item for item in trial.measurements if not item.is_met]
    assert not late


@pytest.mark.parametrize("nodes", [SMALL, LARGE, LARGEST])
def test_versions_written_while_a_region_was_cut_from_the_store_arrive_in_time(nodes):
    check("cut-region", nodes)


@pytest.mark.parametrize("nodes", [SMALL, LARGE])
def test_versions_written_while_all_nodes_were_cut_from_the_store_arrive_in_time(nodes):
    check("cut-all", nodes)


@pytest.mark.parametrize("nodes", [SMALL, LARGE])
def test_a_configuration_that_grew_during_a_cut_and_its_next_versions_arrive_in_time(nodes):
    check("grow-in-cut", nodes)


@pytest.mark.parametrize("nodes", [SMALL, LARGE, LARGEST])
def test_a_large_version_reaches_all_nodes_through_the_links_of_their_readers(nodes):
    check("calm", nodes)


@pytest.mark.parametrize("fault", ["killed", "frozen", "cut-from-store", "isolated"])
@pytest.mark.parametrize("reader", ["region-reader", "reader"])
def test_a_reader_that_fails_during_a_transfer_delays_no_node_for_long(reader, fault):
    check(f"{reader}-{fault}", LARGE)


@pytest.mark.parametrize("nodes", [SMALL, LARGE])
@pytest.mark.parametrize("fault", ["refuse-half", "cut-half"])
def test_nodes_without_the_store_have_new_versions_from_those_that_reach_it(fault, nodes):
    check(fault, nodes)


@pytest.mark.parametrize("nodes", [SMALL, LARGE, LARGEST])
def test_a_version_arrives_in_time_while_other_traffic_fills_the_shared_link(nodes):
    check("full-link", nodes)


@pytest.mark.parametrize("seconds", [1.3, 1.6, 2.5, 4.0])
@pytest.mark.parametrize("nodes", [SMALL, LARGE])
def test_nodes_follow_a_store_that_answers_slowly(nodes, seconds):
    check(f"slow-store-{seconds}", nodes)


@pytest.mark.parametrize("nodes", [SMALL, LARGE, LARGEST])
def test_nodes_that_start_together_have_a_large_configuration_before_callers_come(nodes):
    check("start-together", nodes)
