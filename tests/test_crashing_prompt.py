"""Test with real processes that a prompt segment which crashes targets is contained."""

import time

import pytest

from standins.gateway_fleet import MODEL_SERVICE, GatewayFleet
from tests.conftest import await_true

NODES = ("node-1", "node-2")
TARGETS = tuple(f"engine-{number}" for number in range(10))
CONTACT_SECONDS = 4.0  # after the fifth crash, until all nodes must hold such requests back
CRASHES_BEFORE_CONTAINMENT = 5
LATER_REQUESTS_MAX = 3


@pytest.fixture
def fleet():
    """Start two nodes and ten targets that exit at the first event of a prompt with segment bad."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1, prepaid=1_000_000)
        for target_id in TARGETS:
            fleet.start_target(target_id, MODEL_SERVICE, "regina-a", "--crash-segment", "bad")
        for node_id in NODES:
            fleet.start_node(node_id)
        for node_id in NODES:
            fleet.await_ready(node_id)
            await_served(fleet, node_id)
        yield fleet
    finally:
        fleet.close()


def await_served(fleet, node_id):
    await_true(lambda: send_prompt(fleet, node_id, "warm").status == 200, what="tokens")


def send_prompt(fleet, node_id, request_id, *middle):
    segments = ("first", *middle, f"own-{request_id}")
    prefix = ",".join(f"{segment}:10" for segment in segments)
    return fleet.send(
        node_id,
        "score",
        request_id,
        X_Prompt_Prefix=prefix,
        X_Token_Usage=f"{10 * len(segments)},10",
    )


def count_crashed(fleet):
    return sum(fleet.processes[target_id].popen.poll() is not None for target_id in TARGETS)


def send_crashing(fleet, prefix, count):
    for number in range(count):
        send_prompt(fleet, NODES[number % 2], f"{prefix}-{number}", "bad")
        time.sleep(0.1)


def test_a_prompt_segment_that_crashes_targets_stops_reaching_them(fleet):
    send_crashing(fleet, "early", CRASHES_BEFORE_CONTAINMENT)
    time.sleep(CONTACT_SECONDS)
    crashed = count_crashed(fleet)
    send_crashing(fleet, "late", 8)
    assert count_crashed(fleet) - crashed <= LATER_REQUESTS_MAX
    replies = [send_prompt(fleet, node_id, f"sound-{node_id}") for node_id in NODES]
    assert [reply.status for reply in replies] == [200, 200]
