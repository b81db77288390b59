"""Test that targets that leave or pause get no requests, with real nodes and without a network."""

import time
from concurrent.futures import ThreadPoolExecutor
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bronzetiller.gateway.brittle_targets import BrittleTargets
from bronzetiller.gateway.departures import DepartureNode, Departures
from bronzetiller.gateway.members import Member, decode_member
from bronzetiller.gateway.requests import StatedBounds
from bronzetiller.gateway.selection import compute_retry_after
from bronzetiller.gateway.target_admission import TargetAdmission
from bronzetiller.gateway.target_limits import TargetLimits
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import ResponseHead
from bronzetiller.platform.headers import decode_stated_bounds
from standins.fake_scheduler import FakeScheduler
from standins.gateway_fleet import MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet
from standins.path_engine import make_registration
from tests.conftest import await_true
from tests.raw_target import RawAnswer, RawTarget

NODES = ("node-1", "node-2", "node-3")
REGIONS = {"a": "west", "b": "west", "c": "east"}
DRAIN_SECONDS = 3.0
PAUSE_SECONDS = 4.0
REQUESTS_PER_SECOND = 30


@pytest.fixture
def fleet():
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1, prepaid=1_000_000)
        for target_id in ("engine-1", "engine-2"):
            fleet.start_target(target_id, MODEL_SERVICE, "regina-a", "--slots", "64")
        fleet.start_target("desk-1", PLAIN_SERVICE)
        for node_id in NODES:
            fleet.start_node(node_id)
        for node_id in NODES:
            fleet.await_ready(node_id)
            await_true(lambda to=node_id: send(fleet, to, "score", "warm") == 200, what="tokens")
        yield fleet
    finally:
        fleet.close()


def send(fleet, node_id, route, name):
    reply = fleet.send(node_id, route, name, item=name, X_Prompt_Prefix=f"shared:30,{name}:10")
    return 200 if reply.status == 200 else (reply.status, reply.body)


def send_load(fleet, seconds, route="score", nodes=NODES):
    with ThreadPoolExecutor(24) as pool:
        sent = []
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            node_id = nodes[number % len(nodes)]
            sent.append(pool.submit(send, fleet, node_id, route, f"{route}-{number}"))
            time.sleep(1 / REQUESTS_PER_SECOND)
        return [item.result() for item in sent]


def test_a_target_that_says_that_it_leaves_gets_no_more_requests(fleet):
    send_load(fleet, 3.0)  # until the nodes hold tokens in proportion to their requests
    fleet.set_faults("engine-1", leaving=True)
    said_at = time.time()
    statuses = send_load(fleet, DRAIN_SECONDS + 3.0)
    late = [run for run in fleet.list_runs("engine-1") if run["received_at"] > said_at + 1.2]
    assert not late
    assert statuses == [200] * len(statuses)


def test_a_restarted_node_learns_from_its_peers_which_target_leaves(fleet):
    fleet.set_faults("engine-1", leaving=True)
    send_load(fleet, 2.0)
    fleet.processes["node-3"].kill()
    fleet.restart("node-3")
    fleet.await_ready("node-3")
    time.sleep(2.0)  # two heartbeats
    restarted_at = time.time()
    await_true(lambda: send(fleet, "node-3", "score", "warm") == 200, what="tokens")
    send_load(fleet, 2.0, nodes=("node-3",))
    assert not [run for run in fleet.list_runs("engine-1") if run["received_at"] > restarted_at]


def test_a_target_that_starts_again_under_its_id_begins_anew(fleet):
    fleet.set_faults("engine-1", leaving=True)
    send_load(fleet, 2.0)
    fleet.set_faults("engine-1")
    fleet.register_target("engine-1", MODEL_SERVICE, "regina-a", born=2, sequence=2)
    before = len(fleet.list_runs("engine-1"))
    await_true(
        lambda: send(fleet, "node-1", "score", f"again-{time.time()}")
        and len(fleet.list_runs("engine-1")) > before,
        what="a request at the new start of the target",
    )


def test_a_release_in_which_each_target_says_that_it_leaves_refuses_nobody(fleet):
    send_load(fleet, 3.0)  # until the nodes hold tokens in proportion to their requests
    with ThreadPoolExecutor(1) as pool:
        load = pool.submit(send_load, fleet, 8.0)
        for number in (1, 2):
            fleet.start_target(f"new-{number}", MODEL_SERVICE, "regina-a", "--slots", "64")
            time.sleep(1.5)
            fleet.set_faults(f"engine-{number}", leaving=True)
            time.sleep(1.5)
        statuses = load.result()
    assert statuses == [200] * len(statuses)
    assert all(fleet.list_runs(f"new-{number}") for number in (1, 2))


@pytest.mark.parametrize("proved", [True, False])
def test_a_target_that_pauses_gets_at_most_two_requests(fleet, proved):
    headers = (f"Retry-After: {PAUSE_SECONDS}", "Content-Length: 2")
    headers += ("X-Not-Executed: 1",) if proved else ()
    target = RawTarget(
        "pausing", lambda request: RawAnswer([b"no"], headers, "keep", "503 Service Unavailable")
    )
    value = make_registration("pausing", PLAIN_SERVICE, target.address, "regina-a")
    fleet.append_record("keyed.servers", "pausing", value)
    try:
        statuses = send_load(fleet, PAUSE_SECONDS + 1.5, "order", nodes=("node-1",))
    finally:
        target.close()
    first_at = target.requests[0].received_at
    paused = [
        request
        for request in target.requests
        if first_at + 0.5 < request.received_at < first_at + PAUSE_SECONDS
    ]
    assert len(paused) <= 2
    assert sum(status == 200 for status in statuses) >= 0.95 * len(statuses)


def test_callers_learn_when_a_paused_service_accepts_requests(fleet):
    headers = ("Retry-After: 2.5", "Content-Length: 2", "X-Not-Executed: 1")
    target = RawTarget(
        "pausing", lambda request: RawAnswer([b"no"], headers, "keep", "503 Service Unavailable")
    )
    fleet.append_record("keyed.servers", "desk-1", b"")
    value = make_registration("pausing", PLAIN_SERVICE, target.address, "regina-a")
    fleet.append_record("keyed.servers", "pausing", value)
    try:
        await_true(lambda: send(fleet, "node-1", "order", "o") and target.requests, what="a pause")
        paused_at = target.requests[-1].received_at
        started_at = time.monotonic()
        replies = [fleet.send("node-1", "order", f"o-{number}") for number in range(20)]
        assert time.monotonic() - started_at < 1.0
    finally:
        target.close()
    ends = [started_at + float(reply.headers["retry-after"]) for reply in replies]
    assert all(reply.status == 503 for reply in replies) and len(target.requests) == 1
    assert min(ends) >= paused_at + 2.0 and max(ends) - min(ends) > 0.1


@pytest.mark.parametrize(
    ("status", "headers", "bounds"),
    [
        (200, {"server-leaving": "1"}, StatedBounds(is_leaving=True)),
        (404, {"server-leaving": "1"}, StatedBounds(is_leaving=True)),
        (500, {"server-leaving": "1"}, StatedBounds(is_leaving=True)),
        (200, {"server-leaving": "0"}, StatedBounds()),
        (503, {"retry-after": "1.5"}, StatedBounds(pause_seconds=1.5)),
        (429, {"retry-after": "1.5"}, StatedBounds()),
        (503, {"retry-after": "Wed, 21 Oct 2026 07:28:00 GMT"}, StatedBounds()),
        (503, {"retry-after": "nan"}, StatedBounds()),
        (503, {"retry-after": "-1"}, StatedBounds()),
    ],
)
def test_only_a_response_that_names_its_request_states_a_departure_or_a_pause(
    status, headers, bounds
):
    named = ResponseHead(status, headers | {"x-request-id": "r1"})
    assert decode_stated_bounds(named, "r1") == bounds
    for other in ({}, {"x-request-id": "r0"}):
        unnamed = ResponseHead(status, headers | other)
        assert decode_stated_bounds(unnamed, "r1") == StatedBounds()


class Fleet:
    """Hold nodes that hear of each other's statements once a second."""

    def __init__(self, count, targets):
        self.targets = targets
        self.time = 100.0
        self.nodes = []
        scheduler = FakeScheduler()
        for number in range(count):
            pool = TargetPool()
            for target in range(targets):
                pool.register(make_target(target, 1))
            node_id = f"node-{number}"
            admission = TargetAdmission(
                TargetLimits(node_id, REGIONS),
                BrittleTargets(scheduler, node_id, REGIONS),
                Departures(node_id, REGIONS, pool),
            )
            self.nodes.append((node_id, "abc"[number % 3], pool, admission))

    def answer(self, node, target, bounds):
        _, _, pool, admission = self.nodes[node]
        admission.record_bounds(pool.targets[f"e{target}"], bounds, self.time, ran=True)

    def beat(self):
        """Let each node hear what all nodes report; return the bytes of the reports."""
        members = [
            Member(
                node_id,
                "10.0.0.1:1",
                data_centre,
                "i",
                True,
                leaving=admission.departures.list_stated(self.time),
            )
            for node_id, data_centre, _, admission in self.nodes
        ]
        records = [item.encode() for item in members]
        heard = [
            decode_member(item.node_id, record)
            for item, record in zip(members, records, strict=True)
        ]
        for _, _, pool, admission in self.nodes:
            reports = [DepartureNode(i.node_id, i.data_centre, i.leaving) for i in heard]
            admission.departures.refresh(reports, pool.targets.values(), self.time)
        self.time += 1.0
        return sum(map(len, records))

    def list_usable(self, node):
        return {item.target_id for item in self.nodes[node][2].list_targets("s")}


def make_target(number, started_ms):
    address = Address("10.0.0.1", 8000 + number)
    return Registration(f"e{number}", "s", address, "a", 8, False, started_ms=started_ms)


@pytest.mark.parametrize("count", [6, 330])
def test_all_nodes_learn_of_a_departure_that_one_of_them_heard(count):
    fleet = Fleet(count, 5)
    quiet_bytes = fleet.beat()
    fleet.answer(0, 2, StatedBounds(is_leaving=True))
    for _ in range(3):
        fleet.beat()
    expected = {"e0", "e1", "e3", "e4"}
    assert all(fleet.list_usable(node) == expected for node in range(count))
    assert fleet.beat() - quiet_bytes < 4 * 80  # three nodes report it


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["leave", "restart", "pause", "beat"]),
        st.integers(0, 3),
        st.integers(0, 2),
    ),
    max_size=40,
)


@given(STEPS)
def test_a_statement_holds_for_one_start_of_its_target(steps):
    fleet = Fleet(4, 3)
    started = dict.fromkeys(range(3), 1)
    left = [set() for _ in range(4)]
    paused = {}
    for step, node, target in steps:
        instance = (target, started[target])
        if step == "leave":
            fleet.answer(node, target, StatedBounds(is_leaving=True))
            left[node].add(instance)
        elif step == "restart":
            started[target] += 1
            for _, _, pool, _ in fleet.nodes:
                pool.register(make_target(target, started[target]))
        elif step == "pause":
            fleet.answer(node, target, StatedBounds(pause_seconds=2.5))
            paused[node, instance] = fleet.time + 2.5
        else:
            for _ in range(3):
                fleet.beat()
            known = set().union(*left)
            left = [set(known) for _ in range(4)]
        for index, (_, _, pool, admission) in enumerate(fleet.nodes):
            usable = fleet.list_usable(index)
            for number in range(3):
                now_instance = (number, started[number])
                known_leaving = now_instance in left[index]
                if known_leaving:
                    assert f"e{number}" not in usable
                elif all(now_instance not in item for item in left):
                    assert f"e{number}" in usable
                until = paused.get((index, now_instance), 0.0)
                free_at = admission.find_free_at(pool.targets[f"e{number}"], fleet.time)
                assert free_at == max(until, fleet.time) or until <= fleet.time == free_at


@given(st.floats(0, 60), st.integers(0, 99))
def test_no_caller_is_told_to_return_before_a_target_accepts_requests(earliest, seed):
    draws = Random(seed)
    seconds = [compute_retry_after(earliest, draws.random()) for _ in range(50)]
    assert min(seconds) >= earliest - 0.001
    assert max(seconds) - min(seconds) > 0.2
    assert max(seconds) <= 1.25 * earliest + 0.5
