"""Test with real processes that all nodes together spare a target that is warming up."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from bronzetiller.gateway.cold_shares import SETTLE_SECONDS
from standins.gateway_fleet import PLAIN_SERVICE, GatewayFleet
from tests.conftest import await_true

NODES = ("node-1", "node-2", "node-3")
PER_SECOND = 10
ALLOWED = 1.5 * PER_SECOND + 5
REQUESTS_PER_SECOND = 60
READ_SECONDS = 2.0  # until all nodes have read a registration
SLOTS = ("--slots", "64")


@pytest.fixture
def fleet():
    """Start three nodes and a warm target, of a service whose targets warm up."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1, service_fields={"warmup_s": 3.0, "warmup_per_s": PER_SECOND})
        fleet.start_target("desk-1", PLAIN_SERVICE, "regina-a", *SLOTS)
        for node_id in NODES:
            fleet.start_node(node_id)
        for node_id in NODES:
            fleet.await_ready(node_id)
            await_true(lambda to=node_id: send(fleet, to, "first").status == 200, what="a target")
        yield fleet
    finally:
        fleet.close()


def send(fleet, node_id, request_id):
    return fleet.send(node_id, "status", request_id)


def send_load(fleet, seconds, name):
    """Send requests to the nodes in turn; return their responses."""
    with ThreadPoolExecutor(24) as pool:
        futures = []
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            futures.append(pool.submit(send, fleet, NODES[number % 3], f"{name}-{number}"))
            time.sleep(1 / REQUESTS_PER_SECOND)
        return [future.result() for future in futures]


def list_arrivals(fleet, target_id, since, until):
    arrivals = [run["received_at"] for run in fleet.list_runs(target_id)]
    return [at for at in arrivals if since <= at < until]


def count_busiest_second(arrivals):
    return max((sum(start <= at < start + 1.0 for at in arrivals) for start in arrivals), default=0)


def test_a_target_that_restarts_is_spared_before_its_registration_is_read(fleet):
    address = ["--listen", f"127.0.0.1:{find_free_port()}"]
    arguments = ["standins.path_engine", "--id", "desk-2", *address, *SLOTS]
    fleet.start_helper("desk-2", arguments)
    fleet.register_target("desk-2", PLAIN_SERVICE, "regina-a", born=1)
    time.sleep(SETTLE_SECONDS + 3.0)
    with ThreadPoolExecutor(1) as pool:
        load = pool.submit(send_load, fleet, 7.0, "restart")
        time.sleep(1.5)
        fleet.processes["desk-2"].kill()
        time.sleep(0.5)
        restarted_at = time.time()
        fleet.start_helper("desk-2", arguments)
        time.sleep(1.5)  # it still starts, and is in the list of targets as it was
        fleet.register_target("desk-2", PLAIN_SERVICE, "regina-a", born=2, warmup_left_ms=2_000)
        load.result()
    arrivals = list_arrivals(fleet, "desk-2", restarted_at, restarted_at + 3.0)
    assert count_busiest_second(arrivals) <= ALLOWED


def find_free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def test_a_cold_target_gets_few_requests_until_it_is_warm(fleet):
    time.sleep(SETTLE_SECONDS + 3.0)

    # A target starts and is cold, while a warm one has room.
    started_at = time.time()
    fleet.start_target("desk-2", PLAIN_SERVICE, "regina-a", *SLOTS, warmup_left_ms=5_000, born=7)
    responses = send_load(fleet, 4.0, "start")
    assert {response.status for response in responses} == {200}
    arrivals = list_arrivals(fleet, "desk-2", started_at, started_at + 4.0)
    assert 1 <= count_busiest_second(arrivals) <= ALLOWED
    time.sleep(max(0.0, started_at + 5.0 + READ_SECONDS - time.time()))
    since = time.time()
    send_load(fleet, 2.0, "warm")
    assert len(list_arrivals(fleet, "desk-2", since, since + 3.0)) > 2 * ALLOWED

    # Both become cold at once, without a restart; one says so in its registration.
    since = time.time()
    fleet.register_target("desk-1", PLAIN_SERVICE, "regina-a", warmup_left_ms=9_000, sequence=2)
    fleet.set_faults("desk-2", warmup_ms=2_000)
    time.sleep(READ_SECONDS)
    responses = send_load(fleet, 4.0, "cold")
    for target_id in ("desk-1", "desk-2"):
        arrivals = list_arrivals(fleet, target_id, since + READ_SECONDS + 0.5, since + 8.0)
        assert 1 <= count_busiest_second(arrivals) <= ALLOWED
    refused = [response for response in responses if response.status != 200]
    assert refused
    assert {response.status for response in refused} == {503}
    assert all(float(response.headers["retry-after"]) > 0 for response in refused)

    # It is used again once it is warm.
    fleet.set_faults("desk-2")
    time.sleep(max(0.0, since + 9.0 + READ_SECONDS - time.time()))
    assert {response.status for response in send_load(fleet, 1.0, "again")} == {200}
