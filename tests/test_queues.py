"""Test fair queueing within limits and the early refusal of requests under overload."""

import math
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bronzetiller.routing.queues import FairQueue, RateMeter
from standins.fleet import call_json
from tests.conftest import KEY, await_ready, await_true, send_chat

WEIGHTS = {"large": 10, "middle": 2, "small": 1}
SIZE_MAX = 12
COST_MAX = 50.0


class QueueMachine(RuleBasedStateMachine):
    """Push, pop, cancel and expire tickets; compare the queue with a plain list."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(SIZE_MAX)
        self.waiting = []
        self.now = 0.0
        self.served_before = {}

    @rule(workspace=st.sampled_from(list(WEIGHTS)), cost=st.floats(1, COST_MAX))
    def push(self, workspace, cost):
        queued = self.queue.count(workspace)
        full = len(self.queue) == SIZE_MAX
        result = self.queue.push(workspace, WEIGHTS[workspace], cost, self.now + 5, object())
        if result.evicted is not None:
            assert full and result.evicted.workspace != workspace
            self.waiting.remove(result.evicted)
        if result.ticket is not None:
            self.waiting.append(result.ticket)
            self.served_before[result.ticket] = 0.0
        else:
            active = {ticket.workspace for ticket in self.waiting} | {workspace}
            share = SIZE_MAX * WEIGHTS[workspace] / sum(WEIGHTS[name] for name in active)
            assert full and queued + 1 > share - 1e-9

    @rule()
    def pop(self):
        ticket = self.queue.pop()
        assert (ticket is None) == (not self.waiting)
        if ticket is None:
            return
        self.waiting.remove(ticket)
        same_workspace = [other for other in self.waiting if other.workspace == ticket.workspace]
        assert all(other.start_tag >= ticket.start_tag for other in same_workspace)
        for other in self.waiting:
            if other.workspace != ticket.workspace:
                self.served_before[other] += ticket.cost / ticket.weight

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            ticket = data.draw(st.sampled_from(self.waiting))
            self.waiting.remove(ticket)
            self.queue.cancel(ticket)

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.now += seconds
        expired = self.queue.expire(self.now)
        assert all(ticket.deadline <= self.now for ticket in expired)
        self.waiting = [ticket for ticket in self.waiting if ticket not in expired]

    @invariant()
    def holds_the_queued_requests_and_starves_none(self):
        assert len(self.queue) == len(self.waiting) <= SIZE_MAX
        assert Counter(t.workspace for t in self.waiting) == Counter(
            {name: self.queue.count(name) for name in WEIGHTS if self.queue.count(name)}
        )
        for ticket in self.waiting:
            ahead = SIZE_MAX * COST_MAX / ticket.weight
            assert self.served_before[ticket] <= 2 * (ahead + 3 * COST_MAX)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(derandomize=True, max_examples=80, deadline=None)


def serve(queue, weights, rounds):
    """Keep requests of every workspace queued; return the cost served for each."""
    served = Counter()
    for name, weight in weights.items():
        for _ in range(20):
            queue.push(name, weight, 10.0, math.inf, None)
    for _ in range(rounds):
        ticket = queue.pop()
        served[ticket.workspace] += ticket.cost
        queue.push(ticket.workspace, ticket.weight, 10.0, math.inf, None)
    return served


def test_shares_follow_weights_if_one_is_ten_times_the_others():
    weights = {"large": 10} | {f"ordinary-{n}": 1 for n in range(9)}
    served = serve(FairQueue(10_000), weights, 1900)
    assert served["large"] == 10_000
    assert all(served[name] == 1_000 for name in weights if name != "large")
    unweighted = serve(FairQueue(10_000), dict.fromkeys(weights, 1), 1900)
    assert unweighted["large"] == 1_900


def test_a_flood_from_one_workspace_leaves_the_others_their_share():
    queue = FairQueue(100)
    for _ in range(500):
        queue.push("flood", 1, 1.0, math.inf, None)
    admissions = [queue.push("ordinary", 1, 1.0, math.inf, None) for _ in range(60)]
    assert sum(result.ticket is not None for result in admissions) == 50
    assert {queue.pop().workspace for _ in range(3)} == {"flood", "ordinary"}


def test_the_meter_follows_a_rate():
    meter = RateMeter()
    assert meter.estimate(0.0) is None
    for step in range(200):
        meter.record(10.0, step * 0.1)
    assert 80 < meter.estimate(20.0) < 120
    assert meter.estimate(60.0) < 1


def test_overload_is_refused_early_and_the_refused_were_not_run(make_fleet):
    fleet = make_fleet()
    fleet.start_platform()
    slow = ("--slots", "2", "--token-seconds", "0.05")
    fleet.add_target("engine-1", "names", "west", "west-1", *slow)
    limits = {"requests_waiting_max": 8, "queue_seconds": 3.0}
    routing = {"load_interval_seconds": 0.2}
    fleet.add_node("node-1", "west", "west-1", limits=limits, routing=routing)
    fleet.publish_workspace("studio", KEY, 1_000_000)
    fleet.publish("route", "namer", {"service": "names"})
    await_ready(fleet, "node-1")
    address = fleet.caller_address("node-1")
    engine = fleet.vms["engine-1"]["address"]
    await_true(lambda: send_chat(address)[0] == 200, what="a response")
    await_true(lambda: call_json(engine, "/v1/load")["running"] == 0)
    with ThreadPoolExecutor(60) as pool:
        results = list(pool.map(lambda n: send_chat(address, f"load {n}"), range(60)))
    refused = [body for status, body in results if status != 200]
    assert {(body["reason"], body["ran"]) for body in refused} == {("overloaded", "no")}
    assert all(1 <= body["retry_after_seconds"] <= 60 for body in refused)
    ran = {run["prompt"] for run in call_json(engine, "/control/requests")["requests"]}
    completed = {f"load {n}" for n, (status, _) in enumerate(results) if status == 200}
    assert ran - {"hello"} == completed and len(completed) >= 10
