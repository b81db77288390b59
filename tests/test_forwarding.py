"""Test which targets a node takes as out of reach, and which peers it forwards to, without I/O."""

from collections import Counter
from random import Random

import pytest
from attrs import define, evolve, field

from bronzetiller.gateway.forwarded_request import ForwardedRequest
from bronzetiller.gateway.forwarding import AVOID_SECONDS, PEER_UTILIZATION_MAX, PeerForwarder
from bronzetiller.gateway.members import Member, decode_member
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.reachability import (
    PROBE_INTERVAL_SECONDS,
    PROBES_MAX,
    SILENCE_SECONDS,
    Reachability,
)
from bronzetiller.gateway.requests import RequestMetadata
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.net.buffer_quota import BufferQuota
from bronzetiller.net.http_client import CallFailed, ResponseEnd, ResponseHead
from bronzetiller.requests.execution import Execution
from standins.fake_scheduler import FakeScheduler

REGIONS = {"a": "west", "b": "west", "c": "east"}
CAPACITY = 100.0
SERVICE = "s"


class FakeOpenCall:
    sent = False
    earlier_requests = 0

    def cancel(self):
        pass


@define(eq=False)
class FakeHttp:
    """Respond to probes of the targets that are in reach."""

    scheduler: FakeScheduler
    reached: set = field(factory=set)
    probed: list = field(factory=list)
    answer: object = CallFailed("connect: timeout", False)

    def send(self, call, on_event):
        self.probed.append(call.address.port)
        is_reached = call.address.port in self.reached
        open_call = FakeOpenCall()

        def respond():
            answer = ResponseHead(404, {}) if is_reached else self.answer
            open_call.sent = getattr(answer, "sent", True)
            on_event(answer)
            if isinstance(answer, ResponseHead):
                on_event(ResponseEnd())

        self.scheduler.call_after(0.01, respond)
        return open_call


@define(eq=False)
class Node:
    """Hold one node's targets, 0 to count - 1, and what it takes as out of reach."""

    count: int
    scheduler: FakeScheduler = field(factory=FakeScheduler)
    pool: TargetPool = field(factory=TargetPool)
    http: FakeHttp = field(init=False)
    reachability: Reachability = field(init=False)

    def __attrs_post_init__(self):
        for number in range(self.count):
            address = Address("10.0.0.1", number)
            self.pool.register(Registration(f"e{number}", SERVICE, address, "a", 8, False))
        self.http = FakeHttp(self.scheduler)
        self.reachability = Reachability(self.scheduler, self.http, self.pool)
        self.reachability.start()

    def fail(self, number):
        target = self.pool.targets[f"e{number}"]
        self.reachability.record_connect_failure(target, "connect: refused")


def test_a_node_is_cut_off_once_it_reaches_no_target_of_a_service():
    node = Node(3)
    node.fail(0)
    assert not node.reachability.is_cut_off([SERVICE])
    assert [item.target_id for item in node.reachability.select(node.pool.list_targets(SERVICE))]
    node.scheduler.advance(0.1)  # the probes of the other targets fail
    assert node.reachability.is_cut_off([SERVICE])
    assert node.reachability.list_cut_off() == [SERVICE]
    node.http.reached = {1}
    node.scheduler.advance(2 * PROBE_INTERVAL_SECONDS)
    assert not node.reachability.is_cut_off([SERVICE])
    reached = node.reachability.select(node.pool.list_targets(SERVICE))
    assert [item.target_id for item in reached] == ["e1"]


def test_a_silent_target_is_probed_and_out_of_reach_only_if_the_probe_fails():
    node = Node(2)
    node.http.reached = {1}
    for target in node.pool.targets.values():
        target.in_flight, target.quiet_since = 1, node.scheduler.now()
    node.scheduler.advance(SILENCE_SECONDS + 0.5)
    assert sorted(set(node.http.probed)) == [0, 1]
    reached = node.reachability.select(node.pool.list_targets(SERVICE))
    assert [item.target_id for item in reached] == ["e1"]


def test_a_node_before_many_targets_probes_a_few_at_a_time_and_returns_at_once():
    node = Node(300)
    for number in range(300):
        node.fail(number)
    node.http.probed.clear()
    node.scheduler.advance(10.0)
    assert len(node.http.probed) <= PROBES_MAX * 45
    node.http.reached = set(range(300))
    node.scheduler.advance(2 * PROBE_INTERVAL_SECONDS)
    assert node.reachability.list_cut_off() == []
    assert len(node.reachability.select(node.pool.list_targets(SERVICE))) == 300


def test_each_lost_target_is_probed_until_it_responds_however_many_are_lost_at_once():
    node = Node(3 * PROBES_MAX)
    node.http.reached = set(range(node.count))
    targets = list(node.pool.targets.values())
    for target in targets:
        target.lost_at = node.scheduler.now()
        node.reachability.suspect(target)
    assert len(node.http.probed) == PROBES_MAX
    node.scheduler.advance(3.0)
    # A target that may be cold gets no request from a node without the store before it responds.
    assert [item for item in targets if item.heard_after_loss_at is None] == []
    assert len(node.http.probed) == node.count


def test_targets_that_are_gone_are_not_probed():
    node = Node(2)
    node.fail(0)
    node.pool.remove("e0", "gone")
    node.scheduler.advance(1.0)
    node.http.probed.clear()
    node.scheduler.advance(5.0)
    assert 0 not in node.http.probed


def make_members(size, cut_off):
    return [
        Member(
            f"node-{number}",
            f"10.0.0.{number % 250}:1",
            "abc"[number % 3],
            "i",
            True,
            load=30.0,
            capacity=CAPACITY,
            cut_off=(SERVICE,) if number in cut_off else (),
        )
        for number in range(size)
    ]


def play_second(members, forwarders, random, now, demand):
    """Forward demand requests a second of each node; return how many each peer gets."""
    forwarded = Counter()
    steps = [(random.random(), name) for name in forwarders for _ in range(int(demand))]
    for at, name in sorted(steps):
        peer = forwarders[name].choose([SERVICE], now + at)
        if peer is not None:
            forwarded[peer.node_id] += 1
    for index, member in enumerate(members):
        count = forwarded[member.node_id]
        members[index] = evolve(member, load=30.0 + count, forwarded_load=float(count))
    return forwarded


@pytest.mark.parametrize(
    ("size", "cut_off"),
    [(4, range(1)), (4, range(3)), (6, range(0, 6, 3)), (330, range(0, 330, 3)), (330, range(300))],
)
def test_nodes_in_touch_get_no_more_than_they_can_bear(size, cut_off):
    random = Random(7)
    members = make_members(size, cut_off)
    forwarders = {
        f"node-{number}": PeerForwarder(
            f"node-{number}",
            Distances("abc"[number % 3], REGIONS["abc"[number % 3]], REGIONS),
            lambda: members,
            random.random,
        )
        for number in cut_off
    }
    in_touch = [item for item in members if not item.cut_off]
    spare = sum(PEER_UTILIZATION_MAX * CAPACITY - 30.0 for _ in in_touch)
    for second in range(12):
        forwarded = play_second(members, forwarders, random, 100.0 + second, 30.0)
        assert not forwarded.keys() - {item.node_id for item in in_touch}
        if second >= 6:
            assert sum(forwarded.values()) <= 1.2 * spare
            # Peers differ by distance and chance, but none gets far more than it can bear.
            assert max(forwarded.values()) <= 1.5 * CAPACITY
    assert sum(forwarded.values()) >= 0.6 * min(spare, 30.0 * len(cut_off))


def test_a_peer_that_is_not_reached_is_left_alone_for_a_while():
    members = make_members(2, [0])
    forwarder = PeerForwarder(
        "node-0", Distances("a", "west", REGIONS), lambda: members, Random(1).random
    )
    forwarder.avoid("node-1", 100.0)
    assert forwarder.choose([SERVICE], 100.5) is None
    assert forwarder.choose([SERVICE], 103.0).node_id == "node-1"


def test_a_heartbeat_names_the_services_that_a_node_does_not_reach():
    member = make_members(1, [0])[0]
    assert decode_member("node-0", member.encode()).cut_off == (SERVICE,)


@define(eq=False)
class FakeExchange:
    method: str = "GET"
    path: str = "/status/2f"
    query: str = ""
    headers: dict = field(factory=lambda: {"host": "h"})
    body: bytes = b""
    started: bool = False
    done: bool = False


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ({}, 502),  # an older node, or one that passes on a target's refusal
        ({"retry-after": "1"}, 502),
        ({"x-not-executed": "1"}, 502),
        ({"x-request-id": "r0", "x-not-executed": "1"}, 502),
        ({"x-request-id": "r1", "x-not-executed": "1"}, 503),
    ],
)
@pytest.mark.parametrize("peer_status", [408, 429, 503])
def test_a_refusal_of_a_peer_is_passed_on_only_with_its_proof(headers, status, peer_status):
    scheduler, ends = FakeScheduler(), []
    members = make_members(3, [0])
    forwarder = PeerForwarder(
        "node-0", Distances("a", "west", REGIONS), lambda: members, Random(1).random
    )
    http = FakeHttp(scheduler, answer=ResponseHead(peer_status, headers))
    request = ForwardedRequest(
        scheduler,
        http,
        forwarder,
        FakeExchange(),
        RequestMetadata("r1", "", None, None, None, {}),
        {SERVICE},
        110.0,
        False,
        False,
        0,
        1,
        lambda attempt: None,
        lambda events, refusal: ends.append(refusal),
        Execution(),
        BufferQuota(),
    )
    assert request.start()
    scheduler.advance(1.0)
    assert [item.status for item in ends] == [status]
    assert len(http.probed) == (2 if status == 503 else 1)  # both peers prove that it was not run


@pytest.mark.parametrize(("may_have_run", "status"), [(False, 503), (True, 502)])
@pytest.mark.parametrize("lost", [False, True])
def test_a_request_that_may_have_run_is_never_refused_as_not_run(may_have_run, status, lost):
    scheduler = FakeScheduler()
    members = make_members(3, [0])
    distances = Distances("a", "west", REGIONS)
    forwarder = PeerForwarder("node-0", distances, lambda: members, Random(1).random)
    http = FakeHttp(scheduler, answer=CallFailed("connect: refused", False))
    metadata = RequestMetadata("r1", "", None, None, None, {})
    ends = []
    request = ForwardedRequest(
        scheduler,
        http,
        forwarder,
        FakeExchange(),
        metadata,
        {SERVICE},
        110.0,
        False,
        True,
        0,
        1,
        lambda attempt: None,
        lambda events, refusal: ends.append(refusal),
        Execution(earlier_may_have_run=may_have_run),
        BufferQuota(),
    )
    assert request.start()
    if lost:  # the first of two peers may have received it
        http.answer = CallFailed("reset by the other end", True)
    scheduler.advance(1.0)
    assert [item.status for item in ends] == [502 if lost else status]
    assert len(http.probed) == 2


def test_failures_at_a_peer_take_one_line_for_each_second(monkeypatch):
    """Guard against a line for each request of a node whose link is full."""
    lines, scheduler = [], FakeScheduler()
    monkeypatch.setattr(
        "bronzetiller.gateway.forwarded_request.log_event",
        lambda name, **fields: lines.append((name, fields)),
    )
    members = make_members(3, [0])
    forwarder = PeerForwarder(
        "node-0", Distances("a", "west", REGIONS), lambda: members, Random(1).random
    )
    http = FakeHttp(scheduler, answer=CallFailed("connect: timeout", False))

    def send(number):
        ForwardedRequest(
            scheduler,
            http,
            forwarder,
            FakeExchange(),
            RequestMetadata(f"r{number}", "", None, None, None, {}),
            {SERVICE},
            scheduler.now() + 10.0,
            False,
            True,
            0,
            1,
            lambda attempt: None,
            lambda events, refusal: None,
            Execution(),
            BufferQuota(),
        ).start()

    for number in range(40):
        send(number)
    scheduler.advance(0.9)
    assert lines == []
    scheduler.advance(0.2)
    assert {name for name, _ in lines} == {"forward_failed"}
    assert sorted(fields["peer"] for _, fields in lines) == ["node-1", "node-2"]
    assert sum(fields["failures"] for _, fields in lines) == len(http.probed) > 2
    assert {fields["cause"] for _, fields in lines} == {"connect: timeout"}
    scheduler.advance(AVOID_SECONDS)
    send(40)
    scheduler.advance(1.1)
    assert len(lines) > 2 and lines[-1][1]["id"] == "r40"
