"""Test without I/O that requests that are limited to regions are served nowhere else."""

import json
from random import Random

import pytest
from attrs import evolve

from bronzetiller.gateway.allowed_regions import (
    allows,
    choose_host_regions,
    choose_regions,
    select_members,
)
from bronzetiller.gateway.entries import limit_entries
from bronzetiller.gateway.forwarding import PeerForwarder
from bronzetiller.gateway.members import Member, decode_member
from bronzetiller.gateway.permitted_targets import PermittedTargets
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.reachability import Reachability
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.platform.decoding import decode_configuration
from standins.fake_scheduler import FakeScheduler
from standins.gateway_fleet import HOST, KEY, make_configuration
from tests.test_forwarding import FakeHttp

REGIONS = {"a": "west", "b": "west", "c": "east", "d": "north"}


def decode(route_regions=None, workspace_regions=None):
    value = make_configuration(1)
    for route in value["routes"]:
        if route["name"] == "draft":
            route["allowed_regions"] = route_regions
    value["tenants"][0]["allowed_regions"] = workspace_regions
    return decode_configuration(json.dumps(value).encode())


@pytest.mark.parametrize(
    ("route", "workspace", "expected"),
    [
        (None, None, None),
        ([], [], None),
        (["west"], None, {"west"}),
        (None, ["east"], {"east"}),
        (["west", "east"], ["east", "north"], {"east"}),
        (["west"], ["east"], set()),
    ],
)
def test_a_request_is_limited_to_what_both_its_route_and_its_workspace_allow(
    route, workspace, expected
):
    configuration = decode(route, workspace).ok_value
    allowed = choose_regions(configuration.find_route(HOST, "/draft/1"), configuration.keys[KEY])
    assert allowed == expected
    assert configuration.has_allowed_regions == (expected is not None)


@pytest.mark.parametrize("malformed", ["west", [1], {"west": True}, 3])
def test_a_malformed_list_of_regions_does_not_pass_for_no_limit(malformed):
    assert decode(malformed).is_err()


def test_an_unknown_region_is_allowed_only_if_any_is():
    assert allows(None, None) and allows(frozenset({"west"}), "west")
    assert not allows(frozenset({"west"}), None) and not allows(frozenset(), "west")


def make_member(node_id, data_centre, **fields):
    member = Member(node_id, "10.0.0.1:1", data_centre, f"{node_id}/1", True)
    return evolve(member, capacity=100.0, **fields)


@pytest.mark.parametrize(
    ("host", "region", "expected"),
    [
        (HOST, "west", {"in-a", "in-c"}),  # the caller's region, and what the routes allow
        (f"{HOST.upper()}:8080", "north", {"in-c", "in-d"}),
        (HOST, None, {"in-c"}),
        ("other.example", "west", {"in-a", "in-c", "in-d"}),
    ],
)
def test_a_lookup_names_nodes_in_the_region_of_the_caller_and_in_allowed_ones(
    host, region, expected
):
    members = [make_member(f"in-{item}", item) for item in "acd"]
    allowed = choose_host_regions(decode(["east"]).ok_value, host)
    selected = select_members(members, allowed, region, REGIONS)
    assert {item.node_id for item in selected} == expected


def test_a_lookup_names_all_nodes_if_no_other_is_left():
    members = [make_member("in-d", "d")]
    assert select_members(members, frozenset({"east"}), "west", REGIONS) == members


def test_a_lookup_chooses_among_allowed_nodes_by_capacity_if_no_entry_node_is_allowed():
    entries = [make_member("near", "a")]
    large = [evolve(make_member(f"large-{n}", "c"), capacity=500.0) for n in range(2)]
    small = [evolve(make_member(f"small-{n}", "c"), capacity=20.0) for n in range(30)]
    named = limit_entries(entries, [*small, *large], "a", REGIONS)
    assert {item.node_id for item in named} == {"large-0", "large-1"}
    assert limit_entries(entries, [*small, *entries], "a", REGIONS) == entries
    assert limit_entries(entries, [], "a", REGIONS) == []


def test_a_lookup_names_the_region_of_the_caller_while_the_routes_are_not_known():
    members = [make_member("in-d", "d"), make_member("in-a", "a")]
    assert choose_host_regions(None, HOST) == frozenset()
    assert select_members(members, frozenset(), "west", REGIONS) == members[1:]


@pytest.fixture
def pool():
    """Register a target of service s in each data centre, one of t in c, one of u elsewhere."""
    pool = TargetPool()
    for number, (service, data_centre) in enumerate(
        [("s", "a"), ("s", "b"), ("s", "c"), ("s", "d"), ("t", "c"), ("u", "?")]
    ):
        address = Address("10.0.0.1", number)
        pool.register(Registration(f"e{number}", service, address, data_centre, 8, False))
    return pool


def test_only_targets_in_allowed_regions_are_permitted(pool):
    permitted = PermittedTargets(pool, REGIONS)
    assert [item.target_id for item in permitted.list_targets("s", frozenset({"west"}))] == [
        "e0",
        "e1",
    ]
    assert permitted.list_services(frozenset({"east"})) == {"s", "t"}
    assert permitted.list_services() == {"s", "t", "u"}
    assert permitted.list_regions("u") == set()
    assert permitted.explain_lack(["t", "s"], frozenset({"west"})) is None
    assert permitted.explain_lack(["nothing"], frozenset({"west"})) is None
    assert "only in west" in permitted.explain_lack(["t"], frozenset({"west"}))
    assert "only in no region" in permitted.explain_lack(["s"], frozenset())


def test_a_node_is_cut_off_from_a_region_while_it_reaches_targets_in_others(pool):
    scheduler = FakeScheduler()
    reachability = Reachability(
        scheduler, FakeHttp(scheduler, {0, 1, 3, 5}), pool, PermittedTargets(pool, REGIONS)
    )
    changes = []
    reachability.on_change = lambda: changes.append(reachability.list_cut_off_regions())
    reachability.states_regions = True
    for target_id in ("e2", "e4"):
        reachability.record_connect_failure(pool.targets[target_id], "connect: timeout")
    assert not reachability.is_cut_off(["s"])
    assert not reachability.is_cut_off(["s"], frozenset({"east", "west"}))
    assert reachability.is_cut_off(["s"], frozenset({"east"}))
    assert reachability.list_cut_off() == ["t"]
    assert reachability.list_cut_off_regions() == {"s": ("east",)}
    assert changes[-1] == {"s": ("east",)}
    assert reachability.list_unreached_data_centres() == {"c"}
    reachability.states_regions = False
    assert reachability.list_cut_off_regions() == {}


def choose_peer(pool, members, services, allowed, unreached=()):
    distances = Distances("a", "west", REGIONS)
    forwarder = PeerForwarder(
        "node-0",
        distances,
        lambda: members,
        Random(1).random,
        PermittedTargets(pool, REGIONS).list_regions,
        lambda: set(unreached),
    )
    peer = forwarder.choose(services, 100.0, allowed)
    assert (peer is None) == (not forwarder.list_peers(services, 100.0, allowed))
    return None if peer is None else peer.node_id


def test_a_request_is_forwarded_only_to_a_peer_in_an_allowed_region_that_reaches_a_target_there(
    pool,
):
    east, north = make_member("east", "c"), make_member("north", "d")
    east_only, east_or_north = frozenset({"east"}), frozenset({"east", "north"})
    assert choose_peer(pool, [east, north], ["s"], east_only) == "east"
    assert choose_peer(pool, [north], ["s"], east_only) is None
    # Service t has targets in the east alone, which the peer in the north still reaches.
    cut_off = evolve(east, cut_off=("t",))
    assert choose_peer(pool, [cut_off, north], ["t"], east_or_north) == "north"
    partly = evolve(east, cut_off_regions={"s": ("east", "north")})
    partly = decode_member("east", partly.encode())
    assert choose_peer(pool, [partly], ["s"], east_or_north) is None
    assert choose_peer(pool, [partly], ["s"], None) == "east"
    assert choose_peer(pool, [partly], ["s", "t"], east_or_north) == "east"


@pytest.mark.parametrize("allowed", [None, frozenset({"east", "north"})])
def test_a_peer_in_a_data_centre_that_is_not_reached_is_the_last_choice(pool, allowed):
    east, north = make_member("east", "c"), make_member("north", "d")
    for unreached, expected in (("c", "north"), ("d", "east")):
        assert choose_peer(pool, [east, north], ["s"], allowed, unreached) == expected
    assert choose_peer(pool, [east], ["s"], allowed, "c") == "east"
    # The data centre of the node itself is in reach, whatever happened to its targets.
    near = make_member("near", "a")
    assert choose_peer(pool, [near], ["s"], None, "a") == "near"
    chosen = choose_peer(pool, [near, evolve(north, load=100.0)], ["s"], None, "a")
    assert chosen == "near"


def test_a_node_that_reaches_no_target_takes_no_data_centre_for_the_cause(pool):
    scheduler = FakeScheduler()
    reachability = Reachability(scheduler, FakeHttp(scheduler), pool)
    for target in pool.targets.values():
        assert target.registration.data_centre not in reachability.list_unreached_data_centres()
        reachability.record_connect_failure(target, "connect: timeout")
    assert reachability.list_unreached_data_centres() == set()
