"""Test with real nodes that new versions come into force while the store responds slowly.

SLOW_STORE_SECONDS holds other response times of the store than those of CI, separated by commas.
"""

import itertools
import os
import time

import pytest

from standins.gateway_fleet import PLAIN_SERVICE, GatewayFleet
from tests.conftest import await_true

NODES = ("node-1", "node-2")
DELAYS_SECONDS = [float(item) for item in os.getenv("SLOW_STORE_SECONDS", "1.3,4").split(",")]
APPLY_SECONDS_MAX = 20.0
VERSIONS = itertools.count(2)
VERSIONS_AT_ONCE = 4
VERSIONS_IN_TURN = 5


@pytest.fixture(scope="module", params=DELAYS_SECONDS)
def fleet(request):
    """Start two nodes and a plain target, with a store that responds late from then on."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1)
        fleet.start_target("desk-1", PLAIN_SERVICE)
        for node_id in NODES:
            fleet.start_node(node_id)
        for node_id in NODES:
            fleet.await_ready(node_id)
        await_in_force(fleet, "status")
        fleet.set_faults("store", delay_seconds=request.param)
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def publish(fleet):
    """Return a function that writes the next version and returns the route that only it has."""

    def write():
        version = next(VERSIONS)
        route = f"added-{version}"
        fleet.configure(version, more_routes=(route,))
        return route

    return write


def await_in_force(fleet, route):
    """Wait until each node serves a route."""

    def is_in_force():
        name = f"{route}-{time.monotonic()}"
        return all(
            fleet.send(node_id, route, f"{name}-{node_id}").status == 200 for node_id in NODES
        )

    await_true(is_in_force, APPLY_SECONDS_MAX, what=f"route {route} in force on each node")


def test_single_versions_of_a_slow_store_come_into_force(fleet, publish):
    for _ in range(2):
        await_in_force(fleet, publish())


def test_a_version_after_several_at_once_of_a_slow_store_comes_into_force(fleet, publish):
    for _ in range(VERSIONS_AT_ONCE):
        publish()
    time.sleep(4.0)
    await_in_force(fleet, publish())


def test_the_last_of_a_version_each_second_of_a_slow_store_comes_into_force(fleet, publish):
    for _ in range(VERSIONS_IN_TURN):
        route = publish()
        time.sleep(1.0)
    await_in_force(fleet, route)
