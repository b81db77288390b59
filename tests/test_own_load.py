"""Test what a node does while its own link or processor is full."""

import json
from random import Random
from types import SimpleNamespace

import pytest
from attrs import evolve

from bronzetiller.fleet.drain import Drain
from bronzetiller.gateway import own_load
from bronzetiller.gateway.application import Application
from bronzetiller.gateway.configuration import GatewayConfiguration
from bronzetiller.gateway.entries import EntryChoices, Stage
from bronzetiller.gateway.forwarding import PeerForwarder
from bronzetiller.gateway.members import Member, decode_member
from bronzetiller.gateway.own_load import (
    HOLD_SECONDS,
    HOLD_SECONDS_MAX,
    SAMPLE_SECONDS,
    OwnLoad,
)
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.reachability import TIMEOUT_DOUBT_SECONDS
from bronzetiller.gateway.settings import GatewayCapacity
from bronzetiller.net.dialer import CONNECT_TIMEOUT
from standins.fake_scheduler import FakeScheduler
from standins.gateway_fleet import PLAIN_SERVICE, GatewayFleet, send_request
from tests.conftest import await_true
from tests.test_entries import REGIONS, make_fleet
from tests.test_forwarding import SERVICE, Node

LINK_MBPS = 5.0
LINK_BYTES = LINK_MBPS * 1_000_000 / 8  # per second


class Meter:
    """Feed a node's load with a use of its link and a delay of its loop."""

    def __init__(self):
        self.load = OwnLoad(GatewayCapacity(0.5, 1.0, LINK_MBPS))
        self.now = 100.0
        self.received = 0
        self.changes = []

    def run(self, seconds, share=0.0, delay=0.0):
        end = self.now + seconds
        while self.now < end:
            self.now += SAMPLE_SECONDS + delay
            self.received += share * LINK_BYTES * (SAMPLE_SECONDS + delay)
            if self.load.record(0, int(self.received), self.now):
                self.changes.append(self.now)
        return self.load


def test_a_link_is_full_after_two_seconds_and_has_room_only_after_a_hold():
    meter = Meter()
    meter.run(10, share=0.8)
    assert not meter.load.is_full
    began = meter.now
    assert meter.run(3, share=0.95).is_full
    assert meter.load.cause == "link" and meter.load.is_congested
    meter.run(HOLD_SECONDS - 4)
    assert meter.load.is_full and not meter.load.is_congested
    meter.run(3)
    assert not meter.load.is_full
    assert len(meter.changes) == 2 and meter.changes[1] - began >= HOLD_SECONDS


def test_one_body_or_one_pause_does_not_make_a_node_full():
    """Guard against leaving the lookups for a burst, or after a VM was suspended."""
    meter = Meter()
    meter.run(5, share=0.2)
    meter.run(1, share=1.0)
    meter.run(5, share=0.2)
    meter.run(SAMPLE_SECONDS, delay=4.0)
    assert not meter.run(5, share=0.2).is_full and not meter.changes


def test_a_processor_is_full_while_the_loop_is_late():
    meter = Meter()
    assert not meter.run(10, delay=0.08).is_full
    assert meter.run(4, delay=0.25).is_full
    assert meter.load.cause == "processor" and meter.load.is_congested
    assert not meter.run(12).is_full


def test_a_node_that_fills_up_again_and_again_stays_out_longer():
    """Guard against an oscillation with the time for which callers keep an answer."""
    meter = Meter()
    for _ in range(240):
        meter.run(1, share=0.3 if meter.load.is_full else 1.0)
    assert len(meter.changes) <= 2 * 240 / HOLD_SECONDS_MAX + 4


def test_a_loop_that_is_slightly_late_for_good_neither_fills_a_node_nor_hides_a_cut():
    """Guard against a node that stays full, and takes no timeout for evidence, after one peak."""
    meter = Meter()
    assert meter.run(4, delay=0.25).is_full
    assert not meter.run(HOLD_SECONDS_MAX + 4, delay=0.05).is_full
    assert not meter.load.is_congested


def test_a_timeout_over_a_full_link_is_no_evidence_about_a_target():
    """Guard against taking an overload for a network cut."""
    node, congested = Node(3), [False]
    node.http.reached = {0, 1, 2}
    node.reachability.is_congested = lambda: congested[0]
    first, second, third = node.pool.list_targets(SERVICE)
    node.reachability.record_connect_failure(first, CONNECT_TIMEOUT)
    assert not node.reachability.is_reachable(first)
    congested[0] = True
    node.reachability.discard_timeouts()
    node.reachability.record_connect_failure(second, CONNECT_TIMEOUT)
    assert all(map(node.reachability.is_reachable, (first, second, third)))
    assert second.avoid_until == 0.0
    node.reachability.record_connect_failure(third, "connect: refused")
    assert not node.reachability.is_reachable(third), "a refusal is evidence"


def test_targets_that_timed_out_long_before_the_link_was_full_stay_out_of_reach():
    node = Node(2)
    node.http.reached = set()
    target = node.pool.list_targets(SERVICE)[0]
    node.reachability.record_connect_failure(target, CONNECT_TIMEOUT)
    node.scheduler.advance(TIMEOUT_DOUBT_SECONDS + 0.1)
    node.reachability.discard_timeouts()
    assert not node.reachability.is_reachable(target)


def test_nothing_is_forwarded_over_a_full_link_or_to_a_full_peer():
    members = [
        Member(f"n{number}", f"10.0.0.{number}:1", "a", "x", True, capacity=100.0)
        for number in range(3)
    ]
    members[1] = evolve(members[1], full=True)
    congested = [False]
    forwarder = PeerForwarder(
        "n0",
        Distances("a", "west", {"a": "west"}),
        lambda: members,
        Random(1).random,
        is_congested=lambda: congested[0],
    )
    assert [item.node_id for item in forwarder.list_peers([SERVICE], 5.0)] == ["n2"]
    congested[0] = True
    assert forwarder.list_peers([SERVICE], 5.0) == []
    assert forwarder.choose([SERVICE], 5.0) is None


def fill(members, *node_ids):
    return [evolve(item, full=item.node_id in node_ids) for item in members.values()]


def list_ids(choices, members, now, data_centre="a"):
    return {item.node_id for item in choices.choose(members, data_centre, now)}


def test_a_full_node_is_not_named_until_it_has_room_again():
    members, choices = make_fleet(), EntryChoices(REGIONS)
    assert list_ids(choices, fill(members), 0.0) == {"a0", "a1"}
    assert list_ids(choices, fill(members, "a0"), 1.0) == {"a1", "b0", "b1", "c0", "c1"}
    assert list_ids(choices, fill(members), 5.0) >= {"a0", "a1"}
    assert list_ids(choices, fill(members), 20.0) == {"a0", "a1"}


def test_small_nodes_are_not_taken_for_large_ones_while_these_are_full():
    members = make_fleet()
    large = [item.node_id for item in members.values() if item.capacity > 100]
    near = [item for item in large if REGIONS[item[0]] == "west"]
    loaded = {key: evolve(item, load=45.0) for key, item in members.items()}
    choices = EntryChoices(REGIONS)
    for now in range(3):
        named = {name: list_ids(choices, fill(loaded, *near), now) for name in "abc"}
    small = [name for name in "abc" if not named[name] <= set(large)]
    assert len(small) <= 1, "small nodes would get more than they bear"


def test_all_nodes_are_named_again_if_all_are_full():
    members, choices, changes = make_fleet(), EntryChoices(REGIONS), []
    choices.on_change = lambda name, choice, demand: changes.append(choice)
    before = list_ids(choices, fill(members), 0.0)
    assert list_ids(choices, fill(members, *members), 1.0) == before
    loaded = {key: evolve(item, load=160.0) for key, item in members.items() if item.capacity > 100}
    overloaded = EntryChoices(REGIONS)
    named = {
        item for name in "abc" for item in list_ids(overloaded, fill(loaded, "a0", "b0"), 0.0, name)
    }
    assert {"a0", "b0"} <= named, "the others do not bear the load of the full ones"
    assert all(choice.stage is Stage.DATA_CENTRE for choice in changes)


def test_heartbeats_state_a_full_node_and_older_ones_count_as_having_room():
    member = Member("n1", "10.0.0.1:1", "a", "x", True, full=True)
    assert decode_member("n1", member.encode()) == member
    plain = evolve(member, full=False)
    assert b"full" not in plain.encode() and decode_member("n1", plain.encode()) == plain


class FakeExchange:
    def __init__(self):
        self.headers = {"host": "h", "x-request-id": "r1", "bronzetiller-forwarded": "0"}
        self.method, self.path, self.query, self.body = "POST", "/x", "", b"x" * 12_000
        self.closes = self.started = self.done = False

    def close_after_response(self):
        self.closes = True

    def respond(self, status, headers, body):
        self.status, self.answer_headers, self.answer = status, headers, json.loads(body)


def test_a_full_node_closes_connections_and_refuses_nothing_for_that():
    """Guard against callers that stay, and against refusing what a node can still serve."""
    meter, scheduler = Meter(), FakeScheduler()
    context = SimpleNamespace(scheduler=scheduler, draw_uniform=lambda: 0.5)
    drain = Drain(scheduler, *[lambda: None] * 5)
    configuration = GatewayConfiguration(1, {}, {}, {}, {})
    application = Application(
        context, lambda: configuration, lambda: drain, lambda: 0.0, lambda: "", own_load=meter.load
    )
    before = FakeExchange()
    application.serve(before)
    assert not before.closes
    meter.run(4, share=1.0)
    scheduler.time = meter.now
    exchanges = [FakeExchange() for _ in range(40)]
    for exchange in exchanges:
        application.serve(exchange)
    assert all(item.closes and item.status == 404 for item in exchanges)


@pytest.fixture
def small_fleet():
    """Start three nodes with links of half a Mbit/s, by their settings."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1)
        fleet.start_target("desk-1", PLAIN_SERVICE)
        for number in (1, 2, 3):
            fleet.start_node(f"node-{number}", capacity={"link_mbps": 0.5})
        for number in (1, 2, 3):
            fleet.await_ready(f"node-{number}")
            await_true(
                lambda number=number: fleet.send(f"node-{number}", "status", "warm").status == 200,
                what="a target",
            )
        yield fleet
    finally:
        fleet.close()


def test_a_node_whose_link_is_full_leaves_the_lookup_and_returns(small_fleet):
    def list_addresses():
        path = "/-/resolve?name=x&zone=regina-a"
        reply = send_request(small_fleet.address("node-2", "lookup"), "GET", path, {})
        return set(json.loads(reply.body)["addresses"])

    nodes = {small_fleet.address(f"node-{number}") for number in (1, 2, 3)}
    await_true(lambda: list_addresses() == nodes, what="all nodes in the lookup")
    body = b"x" * 400_000
    assert small_fleet.send("node-1", "order", "large", body, item="large").status == 200
    others = nodes - {small_fleet.address("node-1")}
    await_true(lambda: list_addresses() == others, 10.0, "a lookup without the full node")
    reply = small_fleet.send("node-1", "status", "while-full")
    assert reply.headers["connection"].lower() == "close" and reply.status == 200
    await_true(lambda: list_addresses() == nodes, 60.0, "the node in the lookup again")
    assert small_fleet.send("node-1", "status", "after").status == 200


def test_constants_keep_a_node_out_for_longer_than_callers_keep_answers():
    assert own_load.HOLD_SECONDS > 6.0
    assert own_load.RELEASED_LINK_SHARE < own_load.CONGESTED_LINK_SHARE
    assert own_load.CONGESTED_LINK_SHARE < own_load.FULL_LINK_SHARE < 0.91
