"""Test how nodes share the slots of brittle targets, without a network."""

from collections import deque
from random import Random

import pytest
from attrs import define, field

from bronzetiller.gateway.brittle_targets import BrittleNode, BrittleTargets
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.net.address import Address
from standins.fake_scheduler import FakeScheduler

REGIONS = {"a": "west", "b": "west", "c": "east"}
SERVICE = "s"
CONTACT_SECONDS = 4.0
STEP_SECONDS = 0.01
BACK_SECONDS = 3.0
LATENCY_SECONDS = 0.002


@define(eq=False)
class Engine:
    """Imitate a target that ends if it refuses more than some requests within a second."""

    target_id: str
    slots: int
    brittle: int | None
    starts: int = 1
    down_until: float = 0.0
    running: list = field(factory=list)
    refusals: deque = field(factory=deque)
    falls: list = field(factory=list)

    def register(self):
        number = int(self.target_id[1:])
        address = Address("10.0.0.1", 8000 + number)
        data_centre = "abc"[number % 3]
        return Registration(
            f"{self.target_id}-{self.starts}", SERVICE, address, data_centre, self.slots, False
        )

    def accept(self, now, ends_at):
        """Return True if the request runs, False if it is refused, None if there is no process."""
        if now < self.down_until:
            return None
        if len(self.running) < self.slots:
            self.running.append(ends_at)
            return True
        self.refusals.append(now)
        while self.refusals[0] <= now - 1.0:
            self.refusals.popleft()
        if self.brittle is not None and len(self.refusals) > self.brittle:
            self.falls.append(now)
            self.running.clear()
            self.refusals.clear()
            self.down_until = now + BACK_SECONDS
            self.starts += 1
        return False


@define(eq=False)
class Node:
    """Hold one node's view of the targets."""

    node_id: str
    data_centre: str
    brittle: BrittleTargets
    targets: dict = field(factory=dict)


@define(eq=False)
class Fleet:
    """Hold nodes that send random requests to targets and share heartbeats once a second."""

    size: int
    engines: list
    service_seconds: float = 0.3
    random: Random = field(factory=lambda: Random(5))
    scheduler: FakeScheduler = field(factory=FakeScheduler)
    nodes: list = field(factory=list)
    served: int = 0
    refused: int = 0
    busy_samples: list = field(factory=list)
    started_at: float = 0.0

    def __attrs_post_init__(self):
        for number in range(self.size):
            node_id, data_centre = f"node-{number}", "abc"[number % 3]
            brittle = BrittleTargets(self.scheduler, node_id, REGIONS)
            self.nodes.append(Node(node_id, data_centre, brittle))
        self.started_at = self.scheduler.now()
        self.follow()
        self.scheduler.call_every(1.0, self.follow)

    def follow(self):
        """Let all nodes read the registrations and the heartbeats."""
        now = self.scheduler.now()
        registrations = {
            item.target_id: item
            for item in (engine.register() for engine in self.engines if now >= engine.down_until)
        }
        members = [
            BrittleNode(node.node_id, node.data_centre, node.brittle.list_stated())
            for node in self.nodes
        ]
        for node in self.nodes:
            for target_id in node.targets.keys() - registrations.keys():
                del node.targets[target_id]
            for target_id, registration in registrations.items():
                node.targets.setdefault(target_id, Target(registration))
            node.brittle.refresh(members, node.targets.values(), now)

    def find_engine(self, target):
        return next(
            engine
            for engine in self.engines
            if engine.target_id == target.target_id.partition("-")[0]
        )

    def send(self, node, waited=False):
        """Send a request to the free target with the fewest requests of the node."""
        now = self.scheduler.now()
        free = [
            item for item in node.targets.values() if node.brittle.find_free_at(item, now) <= now
        ]
        if not free:

            def resume():
                self.send(node, waited=True)
                return True

            if waited or not node.brittle.wait(SERVICE, now + 0.15, resume):
                self.refused += 1
            return
        target = min(free, key=lambda item: (item.in_flight, self.random.random()))
        target.in_flight += 1
        seconds = self.random.uniform(0.5, 1.5) * self.service_seconds
        engine = self.find_engine(target)
        accepted = engine.accept(now, now + seconds)
        if accepted:
            starts = engine.starts
            self.scheduler.call_after(
                seconds, lambda: self.end_run(node, target, engine, starts, now + seconds)
            )
        else:
            self.scheduler.call_after(LATENCY_SECONDS, lambda: self.lose(node, target, accepted))

    def end_run(self, node, target, engine, starts, ends_at):
        if engine.starts == starts:
            engine.running.remove(ends_at)
            self.served += 1
            node.brittle.record_response(target, engine.brittle, self.scheduler.now())
        target.release()

    def lose(self, node, target, accepted):
        now = self.scheduler.now()
        self.refused += 1
        if accepted is False:
            node.brittle.record_response(target, self.find_engine(target).brittle, now)
            node.brittle.record_refusal(target, now)
        else:
            target.avoid_until = now + 1.0
        target.release()

    def play(self, seconds, demand, spread=None):
        """Send demand requests a second, from all nodes or from the first spread of them."""
        end = self.scheduler.now() + seconds
        while self.scheduler.now() < end:
            expected = demand * STEP_SECONDS
            while self.random.random() < expected:
                expected -= 1.0
                self.send(self.random.choice(self.nodes[: spread or self.size]))
            self.busy_samples.append(sum(len(engine.running) for engine in self.engines))
            self.scheduler.advance(STEP_SECONDS)

    def count_falls(self):
        since = self.started_at + CONTACT_SECONDS
        return sum(at > since for engine in self.engines for at in engine.falls)

    def find_use(self, samples):
        slots = sum(engine.slots for engine in self.engines)
        return sum(samples) / len(samples) / slots


def make_engines(count, slots, brittle):
    return [Engine(f"e{number}", slots, brittle) for number in range(count)]


def find_falls_allowed(fleet):
    return 2 + len(fleet.engines) / 10


@pytest.mark.parametrize("brittle", [1, 3])
@pytest.mark.parametrize(("size", "engines", "slots"), [(4, 6, 4), (6, 3, 6), (6, 5, 64)])
def test_brittle_targets_seldom_fall_and_their_slots_are_used(size, engines, slots, brittle):
    fleet = Fleet(size, make_engines(engines, slots, brittle))
    demand = 2 * engines * slots / fleet.service_seconds
    fleet.play(6.0, demand)
    before = len(fleet.busy_samples)
    fleet.play(10.0, demand)
    assert fleet.count_falls() <= find_falls_allowed(fleet)
    assert fleet.find_use(fleet.busy_samples[before:]) >= 0.8


def test_brittle_targets_seldom_fall_before_330_nodes():
    fleet = Fleet(330, make_engines(20, 8, 3))
    fleet.play(12.0, 2 * 20 * 8 / fleet.service_seconds)
    assert fleet.count_falls() <= find_falls_allowed(fleet)


def test_a_target_that_is_back_counts_as_brittle_before_it_says_so():
    fleet = Fleet(4, make_engines(2, 4, 3))
    fleet.play(6.0, 60.0)
    for engine in fleet.engines:
        engine.down_until = fleet.scheduler.now() + BACK_SECONDS
        engine.starts += 1
        engine.running.clear()
    fleet.play(5.0, 200.0)
    assert fleet.count_falls() <= find_falls_allowed(fleet)


def test_slots_are_not_shared_once_no_target_says_that_it_is_brittle():
    fleet = Fleet(6, make_engines(3, 6, 2))
    fleet.play(6.0, 40.0)
    for engine in fleet.engines:
        engine.brittle = None
    fleet.play(5.0, 40.0)
    now = fleet.scheduler.now()
    for node in fleet.nodes:
        for target in node.targets.values():
            target.in_flight = 50
            assert node.brittle.find_free_at(target, now) == now


def test_a_waiting_request_that_may_not_use_a_free_slot_leaves_it_to_the_next_one():
    scheduler = FakeScheduler()
    brittle = BrittleTargets(scheduler, "node-0", REGIONS)
    target = Target(Registration("e0", SERVICE, Address("10.0.0.1", 1), "a", 1, False))
    now = scheduler.now()
    brittle.record_response(target, 1.0, now)
    brittle.refresh([BrittleNode("node-0", "a", {})], [target], now)
    target.in_flight = 1
    other = Target(Registration("e1", SERVICE, Address("10.0.0.1", 2), "a", 1, False))
    other.in_flight = 1
    brittle.refresh([BrittleNode("node-0", "a", {})], [target, other], now)
    resumed = []

    def wait_again():
        resumed.append("limited")
        return not brittle.wait(SERVICE, now + 5.0, wait_again, 0)

    def use_slot():
        resumed.append("next")
        target.in_flight += 1
        return True

    assert brittle.wait(SERVICE, now + 5.0, wait_again, 0)
    assert brittle.wait(SERVICE, now + 5.0, use_slot, 1)
    target.release()
    scheduler.advance(0.1)
    assert resumed == ["limited", "next"] and target.in_flight == 1
