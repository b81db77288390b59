"""Test which targets count as cold, and which requests they get, without a network."""

import json

import pytest
from attrs import evolve

from bronzetiller.gateway import cold_targets
from bronzetiller.gateway.brittle_targets import BrittleNode, BrittleTargets
from bronzetiller.gateway.cold_shares import (
    SETTLE_SECONDS,
    USED_PORTION,
    Contact,
    ShareSize,
    size_shares,
)
from bronzetiller.gateway.cold_targets import (
    LOGGED_CHANGES_MAX,
    TRICKLE_SECONDS,
    ColdTargets,
)
from bronzetiller.gateway.configuration import ServiceConfiguration
from bronzetiller.gateway.departures import Departures
from bronzetiller.gateway.members import Member, Members
from bronzetiller.gateway.registered_starts import REGISTRATION_SECONDS, RegisteredStarts
from bronzetiller.gateway.requests import LoadReport, StatedBounds, Urgency
from bronzetiller.gateway.selection import compute_retry_after
from bronzetiller.gateway.target_admission import TargetAdmission
from bronzetiller.gateway.target_limits import LimitedNode, TargetLimits
from bronzetiller.gateway.targets import Registration, Target, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import ResponseHead
from bronzetiller.net.idle_connections import EARLY_CLOSE_SECONDS, IdleConnections
from bronzetiller.platform.decoding import decode_configuration, decode_registration
from bronzetiller.platform.headers import decode_stated_bounds
from standins.fake_scheduler import FakeScheduler
from standins.gateway_fleet import PLAIN_SERVICE, make_configuration
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient

REGIONS = {"a": "west"}
SERVICES = {
    "s": ServiceConfiguration("s", 0, 3.0, 10.0),
    "never": ServiceConfiguration("never", 0, 3.0, 0.0),
}
NO_CONTACT = Contact(float("-inf"), float("-inf"))
URGENT, PATIENT = Urgency(0, 0.4), Urgency(2, 2.0)


def make_target(number=0, left=0.0, service="s", started_ms=1):
    address = Address("10.0.0.1", 8000 + number)
    return Target(Registration(f"e{number}", service, address, "a", 8, False, started_ms, left))


def beat(target, left):
    registration = target.registration
    target.registration = evolve(
        registration, warm_up_seconds=left, heartbeat=registration.heartbeat + 1
    )


@pytest.fixture
def cold():
    """Return the cold targets of a node that does not know the fleet yet."""
    cold = ColdTargets("node-1", REGIONS)
    cold.set_services(SERVICES)
    return cold


@pytest.fixture
def settled():
    """Return the cold targets of the only node of a fleet, settled at 100.0."""
    cold = ColdTargets("node-1", REGIONS)
    cold.set_services(SERVICES)
    settle(cold, until=100.0)
    return cold


def settle(cold, until):
    for at in (until - SETTLE_SECONDS - 0.1, until - 5.0, until - 2.0, until):
        cold.refresh([("node-1", "a")], [], Contact(at, at), at)


def test_a_restored_store_that_lacks_nodes_gives_their_shares_to_nobody(settled):
    target, size = make_target(left=60.0), size_shares(10.0, 1.5, 5.0)
    assert settled.shares.has_share(target.instance, "a", size, 100.0)
    for step in range(14):
        at = 100.5 + 0.5 * step
        settled.refresh([("node-1", "a")], [], Contact(at, at, restored_at=100.4), at)
        is_over = at >= 100.4 + SETTLE_SECONDS
        assert settled.shares.has_share(target.instance, "a", size, at) == is_over


def test_a_registration_says_how_long_a_target_is_cold_at_most(cold):
    target = make_target(left=2.0)
    assert cold.find_cold_until(target, 100.0) == 102.0
    beat(target, 1.5)
    assert cold.find_cold_until(target, 101.0) == 102.5  # it was read late
    beat(target, 0.0)
    assert not cold.is_cold(target, 101.1)


def test_a_target_becomes_cold_again_by_its_registration(cold):
    target = make_target()
    assert not cold.is_cold(target, 100.0)
    beat(target, 3.0)
    assert cold.find_cold_until(target, 101.0) == 104.0


def test_a_registration_read_late_does_not_end_what_a_response_stated(cold):
    target = make_target()
    cold.record_response(target, 3.0, 99.0, 100.0)
    beat(target, 0.0)
    assert cold.find_cold_until(target, 101.0) == 103.0


def test_only_a_response_to_a_later_request_ends_a_warm_up(cold):
    target = make_target(left=3.0)
    assert cold.is_cold(target, 100.0)
    cold.record_response(target, 0.0, 99.9, 100.2)
    assert cold.is_cold(target, 100.2)
    cold.record_response(target, 0.0, 100.1, 100.3)
    assert not cold.is_cold(target, 100.3)
    cold.record_response(target, None, 100.3, 100.4)
    assert not cold.is_cold(target, 100.4)


def test_a_new_target_that_states_nothing_is_cold_except_at_the_first_start(cold):
    first, later = make_target(0, None), make_target(1, None)
    cold.refresh([], [first], NO_CONTACT, 100.0)
    assert not cold.is_cold(first, 100.0)
    assert cold.find_cold_until(later, 101.0) == 104.0
    restarted = make_target(0, None, started_ms=2)
    assert cold.find_cold_until(restarted, 102.0) == 105.0
    beat(restarted, None)
    assert cold.find_cold_until(restarted, 103.0) == 105.0


def test_a_target_registered_again_without_a_warm_up_left_is_warm(cold):
    cold.refresh([], [make_target(0)], NO_CONTACT, 100.0)
    assert not cold.is_cold(make_target(0, 0.0, started_ms=2), 101.0)


@pytest.mark.parametrize("left", [float("inf"), 1e9])
def test_a_wrong_statement_does_not_hold_for_good(cold, left):
    target = make_target(left=left)
    assert cold.find_cold_until(target, 100.0) <= 100.0 + cold_targets.COLD_SECONDS_MAX


def test_a_lost_target_is_cold_until_its_start_is_certain():
    confirmed_at = 100.0
    starts = RegisteredStarts(lambda: confirmed_at)
    cold = ColdTargets("node-1", REGIONS, starts=starts)
    cold.set_services(SERVICES)
    target, other = make_target(), make_target(1, service="never")
    assert not cold.is_cold(target, 100.0)
    target.lost_at = other.lost_at = 100.0
    assert cold.find_free_at(target, 100.1) == float("inf")
    assert not cold.is_cold(other, 100.1)
    confirmed_at = 100.0 + REGISTRATION_SECONDS
    assert not cold.is_cold(target, 103.0)


def test_a_lost_target_that_responds_is_warm_after_a_warm_up_also_without_the_store():
    cold = ColdTargets("node-1", REGIONS, starts=RegisteredStarts(lambda: 0.0))
    cold.set_services(SERVICES)
    target = make_target()
    target.lost_at = 100.0
    target.record_received(99.9, 100.1)
    assert cold.find_cold_until(target, 100.1) == float("inf")
    target.record_received(100.5, 100.6)
    target.record_received(101.5, 101.6)
    assert cold.find_cold_until(target, 101.6) == 103.6
    target.lost_at = 102.0
    assert cold.find_cold_until(target, 102.0) == float("inf")
    cold.record_response(target, 0.0, 102.1, 102.2)
    assert not cold.is_cold(target, 102.2)


def test_targets_that_close_idle_connections_are_lost_if_their_service_states_a_warm_up(cold):
    target, other = make_target(), make_target(1, service="never")
    assert cold.mark_lost([target, other], 100.0) == [target]
    assert (target.lost_at, other.lost_at) == (100.0, float("-inf"))
    assert cold.mark_lost([target], 110.0) == []  # it closes idle connections regularly
    restarted = make_target(started_ms=2)
    assert cold.mark_lost([restarted], 120.0) == [restarted]


@pytest.mark.parametrize(
    ("idle_seconds", "keep_alive_seconds", "reports"),
    [(1.0, 30.0, 1), (EARLY_CLOSE_SECONDS + 0.1, 30.0, 0), (1.0, 0.5, 0)],
)
def test_a_close_counts_as_a_loss_only_soon_after_a_response(
    idle_seconds, keep_alive_seconds, reports
):
    class Connection:
        address = Address("10.0.0.1", 1)

    class Ids:
        is_full = False

    kept = Connection()
    kept.carried_ids, kept.keep_alive_seconds = Ids(), keep_alive_seconds
    kept.idle_until = 100.0 + keep_alive_seconds
    closed = []
    idle = IdleConnections(on_early_close=closed.append)
    idle.record_close(kept, 100.0 + idle_seconds)
    assert closed == []  # a connection that is in use reports its loss itself
    idle.add(kept)
    idle.record_close(kept, 100.0 + idle_seconds)
    assert len(closed) == reports


def test_nothing_changes_for_services_without_a_warm_up(cold):
    target = make_target(left=3.0, service="never")
    cold.record_response(target, 3.0, 100.0, 100.0)
    assert cold.find_free_at(target, 100.0, PATIENT) == 100.0
    assert cold.prefer_warm([target], PATIENT, 100.0) == [target]


def test_a_node_that_does_not_know_the_fleet_says_when_a_cold_target_is_warm(cold):
    target = make_target(left=2.0)
    assert cold.find_free_at(target, 100.0, URGENT) == 102.0
    assert cold.find_free_at(target, 102.0, URGENT) == 102.0


@pytest.mark.parametrize("per_second", [0.0, 0.5, 1.0, 2.0, 10.0, 100.0])
@pytest.mark.parametrize(("overage", "slack"), [(1.5, 5.0), (1.0, 0.0), (0.0, 0.0), (1.0, 2.0)])
def test_shares_fit_the_bound_of_a_second(per_second, overage, slack):
    size = size_shares(per_second, overage, slack)
    most = size.count * (size.saved_max + size.requests_per_second)
    assert most <= USED_PORTION * (per_second * overage + slack) + 1e-9
    assert size.count * size.requests_per_second <= per_second + 1e-9
    assert size.count == 0 or size.requests_per_second > 0


def test_the_shares_of_a_service_that_states_ten_requests_are_three_of_two_and_a_rate():
    assert size_shares(10.0, 1.5, 5.0) == ShareSize(3, 2.0, pytest.approx(10 / 3))


def test_the_share_goes_to_the_most_urgent_requests_first(settled):
    target = make_target(left=60.0)
    for urgency in (URGENT, PATIENT):
        settled.record_demand("s", urgency, 100.0)
    settled.find_free_at(target, 100.0)
    now = 100.0 + 1.5 * 3 / 10  # one and a half requests are saved
    assert settled.find_free_at(target, now, URGENT) == now
    assert settled.find_free_at(target, now, PATIENT) == pytest.approx(now + 0.5 * 3 / 10)
    settled.take(target, now)
    assert settled.find_free_at(target, now, URGENT) == pytest.approx(now + 0.5 * 3 / 10)


def test_requests_use_the_whole_share_if_there_are_no_more_urgent_ones(settled):
    target = make_target(left=60.0)
    settled.record_demand("s", URGENT, 100.0)
    settled.find_free_at(target, 100.0)
    now = 100.0 + cold_targets.DEMAND_SECONDS + 0.1
    settled.record_demand("s", PATIENT, now)
    settled.take(target, now)
    assert settled.find_free_at(target, now, PATIENT) == now


def test_warm_targets_get_the_requests_while_one_has_room(settled):
    warm, cold_target = make_target(0), make_target(1, left=60.0)
    settled.record_demand("s", URGENT, 100.0)
    settled.record_demand("s", PATIENT, 100.0)
    both = [warm, cold_target]
    assert settled.prefer_warm(both, URGENT, 100.0) == [warm]
    assert settled.prefer_warm(both, None, 100.0) == [warm]
    warm.record_load(LoadReport(8, 0, 8), 100.0)
    assert settled.prefer_warm(both, URGENT, 100.0) == both
    assert settled.prefer_warm([cold_target], URGENT, 100.0) == [cold_target]


def test_a_cold_target_gets_a_few_of_the_requests_that_lose_least(settled):
    warm, cold_target = make_target(0), make_target(1, left=60.0)
    settled.record_demand("s", URGENT, 100.0)
    settled.record_demand("s", PATIENT, 100.0)
    both = [warm, cold_target]
    assert settled.prefer_warm(both, PATIENT, 100.0) == [cold_target]
    settled.take(cold_target, 100.0)
    assert settled.prefer_warm(both, PATIENT, 100.5) == [warm]
    assert settled.prefer_warm(both, PATIENT, 100.0 + TRICKLE_SECONDS) == [cold_target]
    settled.starts.get_confirmed_at = lambda: 0.0
    cold_target.lost_at = 100.0
    assert settled.prefer_warm(both, PATIENT, 105.0) == [warm]


def make_admission(cold, scheduler):
    return TargetAdmission(
        TargetLimits("node-1", REGIONS),
        BrittleTargets(scheduler, "node-1", REGIONS),
        Departures("node-1", REGIONS, TargetPool()),
        cold=cold,
    )


def test_the_latest_of_all_reasons_decides_when_a_target_is_free(settled):
    admission = make_admission(settled, FakeScheduler())
    target = make_target()
    admission.limits.refresh([LimitedNode("node-1", "a", {})], [target], 100.0)
    bounds = StatedBounds(requests_per_second=1.0, warm_up_seconds=20.0)
    admission.record_bounds(target, bounds, 100.0, ran=True, sent_at=99.9)
    assert admission.find_free_at(target, 100.0) == pytest.approx(100.3)
    admission.take(target, 100.5)
    assert admission.find_free_at(target, 100.5) > 101.0  # by the limit, 100.8 by the share
    pause = StatedBounds(pause_seconds=2.5)
    admission.record_bounds(target, pause, 100.5, ran=False)
    assert admission.find_free_at(target, 100.5) == 103.0


def test_a_refusal_of_a_cold_target_states_its_warm_up_too(settled):
    admission = make_admission(settled, FakeScheduler())
    target = make_target()
    bounds = StatedBounds(warm_up_seconds=2.0)
    admission.record_bounds(target, bounds, 100.0, ran=False, sent_at=99.9)
    assert settled.find_cold_until(target, 100.0) == 102.0


def test_no_request_waits_for_a_slot_of_targets_that_are_cold_for_longer(cold):
    scheduler = FakeScheduler()
    admission = make_admission(cold, scheduler)
    target = make_target(left=3.0)
    admission.brittle.refresh([BrittleNode("node-1", "a", {})], [target], 100.0)
    admission.record_bounds(target, StatedBounds(refusals_per_second=5.0), 100.0, ran=True)
    assert not admission.wait("s", 101.0, lambda: True, 0)
    assert admission.wait("s", 104.0, lambda: True, 0)


def test_a_retry_is_never_before_the_end_of_a_warm_up_and_soon_if_the_end_is_unknown():
    assert compute_retry_after(2.0, 0.0) == 2.0
    assert compute_retry_after(float("inf"), 0.0) == compute_retry_after(None, 0.0)


def test_each_change_is_logged_once_and_many_at_once_are_counted(monkeypatch, cold):
    lines = []
    monkeypatch.setattr(cold_targets, "log_event", lambda name, **fields: lines.append(name))
    targets = [make_target(number, left=2.0) for number in range(LOGGED_CHANGES_MAX + 5)]
    for at in (100.0, 100.5, 101.0):
        cold.refresh([], targets, NO_CONTACT, at)
    assert lines == ["target_cold"] * LOGGED_CHANGES_MAX + ["targets_cold"]
    cold.refresh([], targets[:1], NO_CONTACT, 103.0)
    assert lines[-1] == "target_warm"


def test_only_heartbeats_of_a_serving_node_that_the_store_took_count():
    """A node whose record is not in the store is unknown to the others, who have its shares."""
    scheduler, store, serving = FakeScheduler(), MemoryStore(), False
    client = FakeStoreClient(scheduler, store)

    def describe():
        return Member("node-1", "10.0.0.1:1", "a", "node-1/1", serving)

    members = Members(scheduler, client, client, describe, draw_uniform=lambda: 0.5)
    members.start()
    scheduler.advance(3.0)
    assert members.acknowledged_at == float("-inf")
    serving = True
    scheduler.advance(3.0)
    assert scheduler.now() - members.acknowledged_at <= 1.0
    client.mode = "lost"
    acknowledged_at = members.acknowledged_at
    scheduler.advance(5.0)
    assert members.acknowledged_at <= acknowledged_at + 1.0
    client.mode, serving = "up", False
    scheduler.advance(3.0)
    assert members.acknowledged_at == float("-inf")


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"warmup_s": 3.0, "warmup_per_s": 10}, (3.0, 10.0)),
        ({}, (0.0, 0.0)),
        ({"warmup_s": None, "warmup_per_s": 0}, (0.0, 0.0)),
        ({"warmup_s": -1, "warmup_per_s": -2.5}, (0.0, 0.0)),
    ],
)
def test_the_configuration_states_the_warm_up_of_a_service(fields, expected):
    document = make_configuration(1)
    document["services"][1] |= fields
    configuration = decode_configuration(json.dumps(document).encode()).unwrap()
    service = configuration.services[PLAIN_SERVICE]
    assert (service.warm_up_seconds, service.warm_up_per_second) == expected


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"warmup_left_ms": 2500}, 2.5),
        ({"warmup_left_ms": 0}, 0.0),
        ({"warmup_left_ms": -5}, 0.0),
        ({}, None),
    ],
)
def test_a_registration_states_the_warm_up_left_or_nothing(fields, expected):
    value = {"service": "s", "address": "10.0.0.1:1", "zone": "a", "slots": 8, "state": "ready"}
    registration = decode_registration("e0", json.dumps(value | fields).encode()).unwrap()
    assert registration.warm_up_seconds == expected


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"x-request-id": "r1", "x-warmup-ms": "1500"}, 1.5),
        ({"x-request-id": "r1", "x-warmup-ms": "0"}, 0.0),
        ({"x-request-id": "r1", "x-warmup-ms": "soon"}, None),
        ({"x-request-id": "r1"}, None),
        ({"x-warmup-ms": "1500"}, None),  # it may be an old response
    ],
)
def test_a_response_states_the_warm_up_left_or_nothing(headers, expected):
    assert decode_stated_bounds(ResponseHead(200, headers), "r1").warm_up_seconds == expected
