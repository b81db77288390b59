"""Test with real nodes that a store which comes back without its newest records misleads nobody."""

import time

import pytest

from standins.gateway_fleet import PLAIN_SERVICE, GatewayFleet
from tests.conftest import await_true

NODES = ("node-1", "node-2")
APPLY_SECONDS = 3.0  # by requirement, after which a confirmed change is in force
COPY_SECONDS = 1.0


@pytest.fixture
def fleet():
    """Start two nodes and two plain targets."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1)
        for target_id in ("desk-1", "desk-2"):
            fleet.start_target(target_id, PLAIN_SERVICE)
        for node_id in NODES:
            fleet.start_node(node_id)
        for node_id in NODES:
            fleet.await_ready(node_id)
        await_statuses(fleet, "status", 200)
        time.sleep(COPY_SECONDS)
        yield fleet
    finally:
        fleet.close()


def list_statuses(fleet, route):
    name = f"{route}-{time.monotonic()}"
    return [fleet.send(node_id, route, f"{name}-{node_id}").status for node_id in NODES]


def await_statuses(fleet, route, status, seconds=15.0):
    await_true(
        lambda: list_statuses(fleet, route) == [status] * len(NODES),
        seconds,
        what=f"status {status} of route {route}",
    )


def test_a_change_at_an_offset_that_was_given_out_again_is_in_force_in_time(fleet):
    fleet.configure(2, more_routes=("early",))
    await_statuses(fleet, "early", 200)
    fleet.restore_store(COPY_SECONDS)
    fleet.configure(3, more_routes=("early", "late"))
    await_statuses(fleet, "late", 200, APPLY_SECONDS)


def test_a_change_that_the_store_lost_stays_in_force(fleet):
    fleet.configure(2, more_routes=("early",))
    await_statuses(fleet, "early", 200)
    fleet.restore_store(COPY_SECONDS)
    end = time.monotonic() + APPLY_SECONDS
    while time.monotonic() < end:
        assert list_statuses(fleet, "early") == [200, 200]
        time.sleep(0.05)


def test_a_target_that_was_leaving_gets_no_request_after_a_restoration(fleet):
    fleet.register_target("desk-1", PLAIN_SERVICE, "regina-a", state="draining", sequence=2)
    time.sleep(COPY_SECONDS)
    before = len(fleet.list_runs("desk-1"))
    fleet.restore_store(2 * COPY_SECONDS)
    end = time.monotonic() + APPLY_SECONDS
    while time.monotonic() < end:
        assert list_statuses(fleet, "status") == [200, 200]
        time.sleep(0.05)
    assert len(fleet.list_runs("desk-1")) == before


def test_a_target_whose_registration_the_store_lost_stays_in_use(fleet):
    fleet.append_record("keyed.servers", "desk-1", b"")
    fleet.append_record("keyed.servers", "desk-2", b"")
    await_statuses(fleet, "status", 503)
    time.sleep(COPY_SECONDS)
    fleet.register_target("desk-1", PLAIN_SERVICE, "regina-a", sequence=3)
    await_statuses(fleet, "status", 200)
    fleet.restore_store(COPY_SECONDS)
    end = time.monotonic() + 2.0
    while time.monotonic() < end:
        assert list_statuses(fleet, "status") == [200, 200]
        time.sleep(0.05)
