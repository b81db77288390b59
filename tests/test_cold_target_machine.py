"""Test the requests that all nodes together send to a cold target, while nodes come and go.

Every node sends as much as it may at any moment. A node that joins may know nobody, nodes are cut
off from the store or lost, and views of the fleet are as old as their nodes read them.
"""

from bisect import bisect_right
from collections import deque
from random import Random

import pytest
from attrs import define, field
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from bronzetiller.gateway import cold_shares
from bronzetiller.gateway.cold_shares import Contact
from bronzetiller.gateway.cold_targets import ColdTargets
from bronzetiller.gateway.configuration import ServiceConfiguration
from bronzetiller.gateway.members import HEARTBEAT_TIMEOUT_SECONDS
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.net.address import Address

REGIONS = {"a": "west", "b": "west", "c": "east"}
PER_SECOND = 10.0
ALLOWED = 1.5 * PER_SECOND + 5
SERVICES = {"s": ServiceConfiguration("s", 0, 3.0, PER_SECOND)}
WINDOW_SECONDS = 1.0
STEP_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.0
REFRESH_SECONDS = 0.5
LAG_SECONDS_MAX = 3.0  # of what a node reads through its peers
FLIGHT_SECONDS_MAX = 0.2  # of a request to the target
FLEET_MAX = 330


@define(eq=False)
class Node:
    """Hold one process: what it knows, and when it next writes, reads and decides."""

    node_id: str
    data_centre: str
    cold: ColdTargets
    lag: float
    next_write: float
    next_read: float
    next_refresh: float
    reads: bool = True
    writes: bool = True
    serving: bool = True
    frozen_until: float = 0.0
    acknowledged_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    view: list = field(factory=list)
    beats: dict = field(factory=dict)
    seen_at: dict = field(factory=dict)


@define(eq=False)
class Fleet:
    """Hold the nodes, the store and the requests that arrived at one target, which stays cold."""

    random: Random = field(factory=lambda: Random(7))
    now: float = 100.0
    store: dict = field(factory=dict)
    places: dict = field(factory=dict)
    nodes: list = field(factory=list)
    arrivals: list = field(factory=list)
    joined: int = 0
    target: Target = field(
        factory=lambda: Target(
            Registration("e0", "s", Address("10.0.0.1", 8000), "a", 8, False, 1, 500.0)
        )
    )

    def join(self, count, *, linked=True):
        for _ in range(min(count, FLEET_MAX - len(self.nodes))):
            node_id = f"node-{self.joined}"
            self.places[node_id] = "abc"[self.joined % 3]
            self.joined += 1
            self.start(node_id, linked=linked)

    def start(self, node_id, *, linked=True):
        draw = self.random.random
        cold = ColdTargets(node_id, REGIONS)
        cold.set_services(SERVICES)
        node = Node(
            node_id,
            self.places[node_id],
            cold,
            lag=LAG_SECONDS_MAX * draw(),
            next_write=self.now + draw(),
            next_read=self.now + draw(),
            next_refresh=self.now + REFRESH_SECONDS * draw(),
            reads=linked,
            writes=linked,
        )
        self.nodes.append(node)

    def write(self, node):
        node.next_write += HEARTBEAT_SECONDS
        if node.writes:
            self.store.setdefault(node.node_id, []).append((self.now, node.serving))
            node.acknowledged_at = self.now if node.serving else float("-inf")

    def read(self, node):
        node.next_read += HEARTBEAT_SECONDS
        if not node.reads:
            return
        as_of = self.now - node.lag
        for node_id, beats in self.store.items():
            index = bisect_right(beats, (as_of, True))
            if index and node.beats.get(node_id) != beats[index - 1]:
                node.beats[node_id], node.seen_at[node_id] = beats[index - 1], self.now
        node.confirmed_at = max(node.confirmed_at, as_of)
        node.view = [
            (node_id, self.places[node_id])
            for node_id, (_, serving) in node.beats.items()
            if serving and self.now - node.seen_at[node_id] <= HEARTBEAT_TIMEOUT_SECONDS
        ]

    def refresh(self, node):
        node.next_refresh += REFRESH_SECONDS
        others = [item for item in node.view if item[0] != node.node_id]
        own = [(node.node_id, node.data_centre)] if node.serving else []
        contact = Contact(node.acknowledged_at, node.confirmed_at)
        node.cold.refresh([*others, *own], [self.target], contact, self.now)

    def send(self, node):
        while node.cold.find_free_at(self.target, self.now) <= self.now:
            node.cold.take(self.target, self.now)
            self.arrivals.append(self.now + FLIGHT_SECONDS_MAX * self.random.random())

    def cut_shares(self):
        """Cut off the nodes that have the shares from the store."""
        size = cold_shares.size_shares(PER_SECOND, 1.5, 5.0)
        for node in self.nodes:
            if node.cold.shares.has_share(self.target.instance, "a", size, self.now):
                node.reads = node.writes = False

    def play(self, seconds, *, sends=True):
        end = self.now + seconds
        while self.now < end:
            for node in self.nodes:
                if self.now < node.frozen_until:
                    continue
                if sends and node.cold.shares.is_settled(self.now):
                    self.send(node)  # also before a node that was frozen knows what it missed
                if self.now >= node.next_write:
                    self.write(node)
                if self.now >= node.next_read:
                    self.read(node)
                if self.now >= node.next_refresh:
                    self.refresh(node)
            self.now += STEP_SECONDS

    def count_busiest_second(self):
        window, busiest = deque(), 0
        for at in sorted(self.arrivals):
            window.append(at)
            while window[0] <= at - WINDOW_SECONDS:
                window.popleft()
            busiest = max(busiest, len(window))
        return busiest


class ColdTargetMachine(RuleBasedStateMachine):
    """Change the fleet in any order; the rate holds at every moment."""

    size = 6

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.fleet.join(self.size)
        self.fleet.play(9.0)

    def pick(self, portion):
        nodes = self.fleet.nodes
        return self.fleet.random.sample(nodes, min(len(nodes), round(portion * len(nodes)) or 1))

    @rule(seconds=st.sampled_from([0.3, 1.0, 2.5, 4.0, 9.0]))
    def play(self, seconds):
        self.fleet.play(seconds)
        assert self.fleet.count_busiest_second() <= ALLOWED
        recent = self.fleet.now - 2 * WINDOW_SECONDS
        self.fleet.arrivals = [at for at in self.fleet.arrivals if at > recent]

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def save_requests(self, seconds):
        self.fleet.play(seconds, sends=False)

    @rule(portion=st.sampled_from([0.1, 0.5, 3.0]), linked=st.booleans())
    def join(self, portion, linked):
        self.fleet.join(max(1, round(portion * self.size)), linked=linked)

    @rule(portion=st.sampled_from([0.05, 0.5, 0.9]))
    def lose(self, portion):
        for node in self.pick(portion):
            self.fleet.nodes.remove(node)

    @rule(
        portion=st.sampled_from([0.05, 0.5, 1.0]),
        links=st.sampled_from([(False, False), (True, False), (False, True)]),
    )
    def cut(self, portion, links):
        for node in self.pick(portion):
            node.reads, node.writes = links

    @rule(portion=st.sampled_from([0.1, 1.0]), seconds=st.sampled_from([2.0, 4.0, 8.0]))
    def freeze(self, portion, seconds):
        for node in self.pick(portion):
            node.frozen_until = self.fleet.now + seconds

    @rule(portion=st.sampled_from([0.1, 0.5, 1.0]))
    def restart(self, portion):
        for node in self.pick(portion):
            self.fleet.nodes.remove(node)
            self.fleet.start(node.node_id)

    @rule(data_centre=st.sampled_from("abc"))
    def cut_data_centre(self, data_centre):
        for node in self.fleet.nodes:
            if node.data_centre == data_centre:
                node.reads = node.writes = False

    @rule(portion=st.sampled_from([0.3, 1.0]))
    def heal(self, portion):
        for node in self.pick(portion):
            node.reads = node.writes = True

    @rule(portion=st.sampled_from([0.1, 0.5]))
    def stop(self, portion):
        for node in self.pick(portion):
            node.serving = False

    def teardown(self):
        self.play(4.0)


@pytest.mark.parametrize(("size", "examples"), [(6, 100), (84, 20), (330, 5)])
def test_all_nodes_together_keep_to_the_rate_of_a_cold_target(size, examples):
    class SizedMachine(ColdTargetMachine):
        pass

    SizedMachine.size = size
    run_state_machine_as_test(
        SizedMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=14,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )


def grow(fleet):
    """Let a small fleet become a large one, while its nodes are cut off one after the other."""
    fleet.join(6)
    fleet.play(9.5)
    for _ in range(6):
        fleet.cut_shares()
        fleet.join(54)
        fleet.play(8.0)
    fleet.play(9.5)


def start_without_knowledge(fleet):
    """Let nodes join that cannot reach the store or read it late, beside ones that can."""
    fleet.join(6)
    fleet.play(9.5)
    fleet.join(80, linked=False)
    fleet.play(8.0)
    for node in fleet.nodes:
        node.reads = node.writes = True
    fleet.play(9.5)


def lose_sight(fleet):
    """Cut off the nodes that have the shares, so that others take their places, again and again."""
    fleet.join(84)
    for _ in range(4):
        fleet.play(9.5)
        fleet.cut_shares()
    fleet.play(9.5)


SCENARIOS = [grow, start_without_knowledge, lose_sight]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_the_rate_holds_while_the_fleet_changes(scenario):
    fleet = Fleet()
    scenario(fleet)
    assert 10 <= fleet.count_busiest_second() <= ALLOWED


@pytest.mark.parametrize(
    ("name", "value", "scenario"),
    [
        ("SETTLE_SECONDS", 0.0, start_without_knowledge),
        ("HEARTBEAT_SECONDS_MAX", 1e9, lose_sight),
        ("HEARTBEAT_SECONDS_MAX", 1e9, grow),
    ],
)
def test_the_rate_does_not_hold_without_the_rules_for_new_and_lost_nodes(
    monkeypatch, name, value, scenario
):
    monkeypatch.setattr(cold_shares, name, value)
    if value > 1:
        monkeypatch.setattr(cold_shares, "VIEW_SECONDS_MAX", value)
    fleet = Fleet()
    scenario(fleet)
    assert fleet.count_busiest_second() > ALLOWED


@pytest.mark.parametrize("size", [1, 6, 84, 330])
def test_most_of_the_rate_is_used_in_a_fleet_that_does_not_change(size):
    fleet = Fleet()
    fleet.join(size)
    fleet.play(11.0)
    before = len(fleet.arrivals)
    fleet.play(10.0)
    shares = min(size, cold_shares.SHARES_MAX)
    assert len(fleet.arrivals) - before >= 0.8 * PER_SECOND * 10.0 * shares / 3


def test_nodes_stop_before_others_take_their_places():
    assert cold_shares.HEARTBEAT_SECONDS_MAX <= HEARTBEAT_TIMEOUT_SECONDS
    assert cold_shares.SETTLE_SECONDS >= cold_shares.VIEW_SECONDS_MAX + WINDOW_SECONDS
