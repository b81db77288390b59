"""Test with real processes that requests stay in allowed regions and out of evacuated ones."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_fleet import MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet
from standins.target_links import TargetLinks
from tests.conftest import await_true, read_metric

DATA_CENTRES = {"node-1": "regina-a", "node-2": "winnipeg-a", "node-3": "calgary-a"}
EVACUATE_SECONDS = 5.0
UNLIMITED_HOST = "other.example"


@pytest.fixture
def fleet():
    """Start a store and two plain targets, in two data centres."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.start_target("desk-r", PLAIN_SERVICE, "regina-a", "--slots", "64")
        fleet.start_target("desk-w", PLAIN_SERVICE, "winnipeg-a", "--slots", "64")
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def links(fleet):
    """Return the links of the fleet's nodes."""
    links = TargetLinks(fleet)
    yield links
    links.close()


def await_members(fleet, node_ids):
    for node_id in node_ids:
        fleet.await_ready(node_id)
    addresses = {fleet.address(node_id) for node_id in node_ids}
    for node_id in node_ids:  # a lookup without limits names all, as no region has two nodes
        await_true(
            lambda to=node_id: len(fleet.resolve(to, "regina-a", UNLIMITED_HOST)) == len(addresses),
            what="members",
        )


def send_many(fleet, node_id, route, prefix, count=20):
    """Send requests one after the other; return the statuses."""
    return [fleet.send(node_id, route, f"{prefix}-{number}").status for number in range(count)]


def list_ids(fleet, target_id):
    return {run["request_id"] for run in fleet.list_runs(target_id)}


def is_in_log(fleet, node_id, text):
    return text in (fleet.folder / f"{node_id}.log").read_text()


def test_requests_run_only_in_regions_that_their_route_and_workspace_allow(fleet):
    fleet.configure(1, regions={"status": ["manitoba"], "score": ["alberta"]})
    fleet.start_target("name-r", MODEL_SERVICE, "regina-a")
    for node_id, data_centre in DATA_CENTRES.items():
        fleet.start_node(node_id, data_centre)
    await_members(fleet, DATA_CENTRES)
    for node_id in DATA_CENTRES:
        assert set(send_many(fleet, node_id, "status", f"s-{node_id}")) == {200}
        reply = fleet.send(node_id, "score", f"m-{node_id}")
        assert reply.status == 503 and float(reply.headers["retry-after"]) >= 1.0
        # The routes agree on no region, so that only the caller's own is left.
        assert fleet.resolve(node_id, "regina-a") == {fleet.address("node-1")}
    assert set(send_many(fleet, "node-1", "order", "o")) == {200}
    assert not any(item.startswith("s-") for item in list_ids(fleet, "desk-r"))
    assert any(item.startswith("o-") for item in list_ids(fleet, "desk-r"))
    assert list_ids(fleet, "name-r") == set()

    fleet.configure(2, regions={"status": ["manitoba", "sask"]}, workspace_regions=["sask"])
    for node_id in DATA_CENTRES:
        await_true(lambda to=node_id: is_in_log(fleet, to, "version=2 before=1"), what="version 2")
        assert set(send_many(fleet, node_id, "status", f"t-{node_id}")) == {200}
    assert not any(item.startswith("t-") for item in list_ids(fleet, "desk-w"))
    expected = {fleet.address("node-1"), fleet.address("node-2")}
    assert fleet.resolve("node-3", "regina-a") == expected

    # Neither retries nor nodes that are cut off take a request out of its regions.
    fleet.processes["desk-r"].kill()
    for node_id in DATA_CENTRES:
        assert set(send_many(fleet, node_id, "status", f"u-{node_id}", 5)) <= {502, 503}
    assert not any(item.startswith("u-") for item in list_ids(fleet, "desk-w"))


@pytest.mark.parametrize("how", ["refused", "silent"])
def test_a_third_data_centre_serves_for_two_that_do_not_reach_each_other(fleet, links, how):
    fleet.configure(
        1, more_routes=("west",), regions={"status": ["manitoba", "alberta"], "west": ["manitoba"]}
    )
    for node_id, data_centre in DATA_CENTRES.items():
        links.start_node(node_id, data_centre)
    links.add_peer("node-1", "node-2")
    links.add_peer("node-2", "node-1")
    await_members(fleet, DATA_CENTRES)
    time.sleep(2.0)  # until the nodes know the links from heartbeats
    links.cut_from("node-1", "desk-w", "node-2", how=how)
    links.cut_from("node-2", "desk-r", "node-1", how=how)
    send_many(fleet, "node-1", "status", "early", 2)
    time.sleep(3.0)
    assert set(send_many(fleet, "node-1", "order", "o")) == {200}  # by the target in reach
    statuses = send_many(fleet, "node-1", "status", "s")
    assert statuses.count(200) >= 15, statuses
    assert is_in_log(fleet, "node-1", "outcome=forwarded")
    # The only peer in the allowed region may have received the request, if its link is silent.
    refusals = {503} if how == "refused" else {503, 504}
    assert set(send_many(fleet, "node-1", "west", "w", 3)) <= refusals
    assert not any(item.startswith(("s-", "w-")) for item in list_ids(fleet, "desk-r"))
    assert not any(item.startswith("w-") for item in list_ids(fleet, "desk-w"))
    assert not is_in_log(fleet, "node-3", "id=w-")  # not even its body
    links.heal("node-1", "node-2")
    await_true(lambda: fleet.send("node-1", "west", f"h-{time.monotonic()}").status == 200)


def is_evacuated(fleet, node_ids):
    name = "bronzetiller_evacuated_data_centres"
    return [read_metric(fleet.address(item, "metrics"), name) for item in node_ids]


def test_an_evacuated_data_centre_gets_no_requests_until_the_evacuation_ends(fleet):
    node_ids = ("node-1", "node-2")
    fleet.configure(1)
    for node_id in node_ids:
        fleet.start_node(node_id, DATA_CENTRES[node_id])
    await_members(fleet, node_ids)
    assert set(send_many(fleet, "node-1", "status", "before")) == {200}
    assert list_ids(fleet, "desk-r")

    fleet.evacuate("regina-a")
    acknowledged_at = time.monotonic()
    await_true(lambda: is_evacuated(fleet, node_ids) == [1, 1], EVACUATE_SECONDS, "an evacuation")
    assert time.monotonic() - acknowledged_at < EVACUATE_SECONDS
    known = list_ids(fleet, "desk-r")
    for node_id in node_ids:
        assert set(send_many(fleet, node_id, "status", f"s-{node_id}")) == {200}
        assert is_in_log(fleet, node_id, "event=evacuation_began data_centre=regina-a")

    # A node that starts meanwhile knows it from its first request on, with the store or without.
    fleet.processes["node-1"].kill()
    fleet.restart("node-1")
    fleet.await_ready("node-1")
    assert set(send_many(fleet, "node-1", "status", "restarted")) == {200}
    fleet.start_node("node-4", "regina-a", "127.0.0.1:9", seeds=("node-2",))
    fleet.await_ready("node-4", 30.0)
    assert set(send_many(fleet, "node-4", "status", "seeded", 5)) == {200}

    # Other versions and a store that is restored leave the evacuation as it is.
    time.sleep(2.0)
    for version in range(2, 12):
        fleet.configure(version)
    fleet.restore_store(1.0)
    time.sleep(2.0)
    node_ids += ("node-4",)  # which learns of all changes through its peer
    assert is_evacuated(fleet, node_ids) == [1, 1, 1]

    fleet.evacuate("winnipeg-a")
    await_true(
        lambda: is_evacuated(fleet, node_ids) == [2, 2, 2], EVACUATE_SECONDS, "an evacuation"
    )
    known_elsewhere = list_ids(fleet, "desk-w")
    for node_id in node_ids:
        reply = fleet.send(node_id, "order", f"none-{node_id}")
        assert reply.status == 503 and float(reply.headers["retry-after"]) >= 1.0
    assert list_ids(fleet, "desk-w") == known_elsewhere and list_ids(fleet, "desk-r") == known

    for data_centre in ("regina-a", "winnipeg-a"):
        fleet.end_evacuation(data_centre)
    await_true(lambda: is_evacuated(fleet, node_ids) == [0, 0, 0], EVACUATE_SECONDS, "the end")
    assert set(send_many(fleet, "node-1", "status", "after")) == {200}
    assert any(item.startswith("after-") for item in list_ids(fleet, "desk-r"))
    assert is_in_log(fleet, "node-1", "event=evacuation_ended data_centre=regina-a")


def test_a_request_under_way_ends_when_its_data_centre_is_evacuated(fleet):
    fleet.configure(1, prepaid=1_000_000)
    fleet.start_target("name-r", MODEL_SERVICE, "regina-a", "--event-seconds", "0.2")
    fleet.start_node("node-1")
    fleet.await_ready("node-1")
    await_true(lambda: fleet.send("node-1", "score", "warm").status == 200, what="tokens")
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(fleet.send, "node-1", "score", "long", X_Token_Usage="40,15")
        await_true(lambda: "long" in list_ids(fleet, "name-r"), what="the run")
        fleet.evacuate("regina-a")
        await_true(lambda: is_evacuated(fleet, ["node-1"]) == [1], what="an evacuation")
        assert not future.done()
        reply = future.result()
    assert reply.status == 200 and reply.complete and reply.body.count(b"\n\n") == 15
    assert fleet.send("node-1", "score", "next").status == 503
