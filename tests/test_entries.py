"""Test which nodes lookups name while one data centre brings most of the load."""

import math
from random import Random

import pytest
from attrs import evolve

from bronzetiller.gateway import entries
from bronzetiller.gateway.caller_demand import CallerDemand
from bronzetiller.gateway.capacity import UTILIZATION_MAX
from bronzetiller.gateway.entries import EntryChoices, Stage, choose_entries
from bronzetiller.gateway.members import Member, has_member_changed

REGIONS = {name: "west" if name in "abc" else "east" for name in "abcdef"}
LARGE, SMALL = 224.0, 39.0
METER_SECONDS = 5.0
CALLERS = 80  # of each data centre, half of which send nine tenths of its requests
REDRAW_PROBABILITY = 0.05  # of a caller in a second: it opens a new connection


def make_fleet(lost=()):
    """Return 2 large and 10 small nodes in each of 6 data centres."""
    return {
        node_id: Member(
            node_id,
            f"10.0.0.{number}:1",
            name,
            "x",
            True,
            capacity=LARGE if number < 2 else SMALL,
        )
        for name in REGIONS
        for number in range(12)
        if (node_id := f"{name}{number}") not in lost
    }


class Caller:
    """Hold a caller with the answer that it keeps and the node of its connection."""

    def __init__(self, data_centre, number, random):
        self.data_centre = data_centre
        self.weight = (0.9 if number < CALLERS // 2 else 0.1) / (CALLERS // 2)
        self.kept_seconds = 6.0 if number % 3 == 0 else 2.0
        self.until = random.uniform(0.0, self.kept_seconds)
        self.named = []
        self.node_id = None

    def step(self, now, look_up, random):
        if now >= self.until or not self.named:
            self.named = look_up(self.data_centre)
            self.until = now + self.kept_seconds
        if self.node_id not in self.named or random.random() < REDRAW_PROBABILITY:
            self.node_id = random.choice(self.named)


class Play:
    """Play the callers of all data centres; loads reach the lookups once a second."""

    def __init__(self, lost=(), seed=1):
        self.random = Random(seed)
        self.members = make_fleet(lost)
        self.changes = []
        self.choices = EntryChoices(
            REGIONS, lambda name, choice, demand: self.changes.append((self.now, name, choice))
        )
        self.callers = [
            Caller(name, number, self.random) for name in REGIONS for number in range(CALLERS)
        ]
        self.now = 0.0
        self.highest = dict.fromkeys(self.members, 0.0)
        self.meters = dict.fromkeys(self.members, 0.0)

    def look_up(self, data_centre):
        members = list(self.members.values())
        return [item.node_id for item in self.choices.choose(members, data_centre, self.now)]

    def run(self, seconds, total, share, noise=0.05):
        """Let data centre a bring share(progress) of the total load (requests per second)."""
        for step in range(int(seconds)):
            part = share(step / seconds)
            received = dict.fromkeys(self.members, 0.0)
            for caller in self.callers:
                caller.step(self.now, self.look_up, self.random)
                own = part if caller.data_centre == "a" else (1 - part) / 5
                factor = self.random.uniform(1 - noise, 1 + noise)
                received[caller.node_id] += total * own * caller.weight * factor
            decay = math.exp(-1 / METER_SECONDS)
            for node_id, load in received.items():
                self.meters[node_id] = decay * self.meters[node_id] + (1 - decay) * load
                self.highest[node_id] = max(self.highest[node_id], self.meters[node_id])
                self.members[node_id] = evolve(
                    self.members[node_id], load=round(self.meters[node_id], 2)
                )
            self.now += 1.0

    def find_highest(self, capacity):
        """Return the highest load of a node of that capacity."""
        return max(
            self.highest[node_id]
            for node_id, member in self.members.items()
            if member.capacity == capacity
        )


def swell(progress):
    """Return the share of one data centre that grows to 45 % and shrinks again."""
    return 1 / 6 + (0.45 - 1 / 6) * math.sin(math.pi * progress)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("total", "lost"),
    [(360, ()), (360, ("a0",)), (360, ("a0", "a1")), (600, ()), (600, ("a0", "b1")), (900, ())],
)
def test_no_small_node_carries_the_load_of_a_data_centre_that_brings_half(total, lost, seed):
    """Guard against lookups that name small nodes with links that the load then fills."""
    play = Play(lost, seed)
    play.run(20, total, lambda _: 1 / 6)
    play.run(60, total, swell)
    play.run(100, total, lambda _: 1 / 6)
    assert play.find_highest(LARGE) <= LARGE * 0.8
    assert play.find_highest(SMALL) <= SMALL * UTILIZATION_MAX
    expected = {item for item in ("a0", "a1") if item not in lost}
    if len(expected) == 2:
        assert set(play.look_up("a")) == expected, "idle machines are released after the peak"
    by_name = [name for _, name, _ in play.changes]
    assert by_name.count("a") <= 5, play.changes
    assert len(by_name) <= 14, play.changes


class ViewsPlay(Play):
    """Have four nodes respond to lookups, which learn of a load only once it changed clearly."""

    def __init__(self, lost, seed):
        super().__init__(lost, seed)
        self.views = [self.make_view() for _ in range(4)]
        self.seen = [dict(self.members) for _ in self.views]

    def make_view(self):
        return EntryChoices(REGIONS, lambda *change: self.changes.append((self.now, *change[:2])))

    def look_up(self, data_centre):
        number = self.random.randrange(len(self.views))
        for node_id, member in self.members.items():
            if has_member_changed(self.seen[number][node_id].encode(), member.encode()):
                self.seen[number][node_id] = member
        members = list(self.seen[number].values())
        return [item.node_id for item in self.views[number].choose(members, data_centre, self.now)]


@pytest.mark.parametrize(("total", "lost"), [(360, ("a0",)), (600, ()), (900, ())])
def test_nodes_that_know_other_loads_and_one_that_restarts_do_not_disturb_the_choice(total, lost):
    """Guard against an estimate that holds only if all nodes respond alike to lookups."""
    play = ViewsPlay(lost, seed=1)
    play.run(20, total, lambda _: 1 / 6)
    play.run(30, total, lambda progress: swell(progress / 2))
    play.views[0] = play.make_view()
    play.run(30, total, lambda progress: swell(0.5 + progress / 2))
    play.run(60, total, lambda _: 1 / 6)
    assert play.find_highest(LARGE) <= LARGE * 0.9
    assert play.find_highest(SMALL) <= SMALL * UTILIZATION_MAX
    assert len(play.changes) <= 4 * 5, play.changes


@pytest.mark.parametrize("total", [470, 500, 580, 900])
def test_an_answer_does_not_follow_loads_that_move_by_a_few_percent(total):
    """Guard against answers that alternate around a bound, which moves all callers each time."""
    play = Play()
    play.run(60, total, lambda _: 0.45)
    before = len(play.changes)
    play.run(240, total, lambda progress: 0.45 + 0.02 * math.sin(40 * progress), noise=0.1)
    assert len(play.changes) - before <= 2, play.changes[before:]


def test_nodes_of_other_regions_are_named_for_what_the_link_between_regions_bears():
    members = list(make_fleet(lost=("a0", "a1", "b0", "b1")).values())
    loaded = [
        evolve(item, load=13.0) if item.data_centre == "a" and item.capacity == SMALL else item
        for item in members
    ]
    entries = choose_entries(loaded, "a", REGIONS)
    assert {item.node_id for item in entries} == {"c0", "c1"}
    busy = [evolve(item, load=18.0) if item.data_centre == "a" else item for item in members]
    busy = [evolve(item, load=30.0) if item.node_id in ("c0", "c1") else item for item in busy]
    choices = EntryChoices(REGIONS)
    named = choices.choose(busy, "a", 0.0)
    remote = [item for item in named if REGIONS[item.data_centre] == "east"]
    assert {item.node_id for item in named} > {"c0", "c1"} and remote
    assert 180.0 * len(remote) / len(named) <= 78.0
    assert all(item.capacity == LARGE for item in named)


def test_demand_is_attributed_to_the_callers_that_bring_it():
    """Guard against taking the load that is served elsewhere for the load of that place."""
    members = [evolve(item, load=0.0) for item in make_fleet().values()]
    loads = {"a0": 60.0, "a1": 60.0, "b0": 80.0, "b1": 80.0, "c0": 70.0, "c1": 70.0}
    members = [evolve(item, load=loads.get(item.node_id, 0.0)) for item in members]
    demand = CallerDemand()
    answers = {name: [f"{name}0", f"{name}1"] for name in "bc"} | {"a": sorted(loads)}
    demand.record_answers(answers, 0.0)
    for _ in range(30):
        demand.update(members)
    assert demand.rates["a"] == pytest.approx(360.0, rel=0.05)
    assert demand.rates["b"] == pytest.approx(40.0, rel=0.1)
    assert demand.rates["c"] == pytest.approx(20.0, rel=0.1)


def test_no_set_with_an_overloaded_small_node_replaces_one_with_more_headroom():
    members = list(make_fleet().values())
    loaded = [evolve(item, load=200.0) if item.capacity == LARGE else item for item in members]
    for data_centre in REGIONS:
        entries = choose_entries(loaded, data_centre, REGIONS)
        assert all(item.capacity == LARGE for item in entries)


def test_a_set_with_small_nodes_has_no_more_of_them_than_a_lookup_names():
    """Guard against parts that are estimated for more nodes than callers are told of."""
    members = [
        Member(f"n{number}", f"10.0.0.1:{number + 1}", "a", "x", True, capacity=capacity, load=5.0)
        for number, capacity in enumerate([LARGE] * 2 + [SMALL] * 120)
    ]
    entries = choose_entries(members, "a", REGIONS)
    assert len(entries) == 64 and {"n0", "n1"} <= {item.node_id for item in entries}


@pytest.mark.parametrize("near", [110, 40])
def test_a_large_fleet_of_equal_nodes_costs_little_time(near, monkeypatch):
    """Guard against a cost that grows with the square of the nodes, in each second."""
    judged = []
    compute = entries.compute_headroom
    monkeypatch.setattr(
        entries,
        "compute_headroom",
        lambda items, demand: judged.append(len(items)) or compute(items, demand),
    )
    members = [
        Member(
            f"n{number}",
            f"10.0.0.1:{number + 1}",
            "a" if number < near else "d",
            "x",
            True,
            capacity=LARGE,
            load=2.0,
        )
        for number in range(330)
    ]
    named = choose_entries(members, "a", REGIONS)
    assert {item.data_centre for item in named} == {"a"}
    assert max(judged) <= max(near, 64)
    assert sum(judged) <= 10 * len(members)


def test_callers_of_a_data_centre_that_is_gone_are_told_of_others():
    """Guard against an empty answer, or one of all nodes, where the settings lack a place."""
    known = {name: region for name, region in REGIONS.items() if name != "a"}
    members, choices = make_fleet(), EntryChoices(known)
    assert {item.node_id for item in choices.choose(members.values(), "a", 0.0)} == {"a0", "a1"}
    left = [item for item in members.values() if item.data_centre != "a"]
    named = choices.choose(left, "a", 10.0)
    assert len(named) >= 2 and all(item.capacity == LARGE for item in named)


def test_lookups_limited_to_a_region_name_large_nodes_with_room_there():
    """Guard against naming small and full nodes where the general choice lies elsewhere."""
    members, choices = make_fleet(), EntryChoices(REGIONS)
    all_members = [evolve(item, full=item.node_id == "d0") for item in members.values()]
    permitted = [item for item in all_members if REGIONS[item.data_centre] == "east"]
    named = choices.choose_permitted(all_members, permitted, "a", 0.0)
    assert {item.node_id for item in named} == {"d1", "e0", "e1", "f0", "f1"}
    near = choices.choose_permitted(all_members, all_members, "a", 0.0)
    assert {item.node_id for item in near} == {"a0", "a1"}
    assert choices.choose_permitted(all_members, permitted[:1], "a", 0.0) == permitted[:1]


def test_all_nodes_are_named_where_each_region_has_one():
    """Guard against leaving out nodes that came after the first two, as long as all are idle."""
    regions = {"a": "west", "b": "north", "c": "east"}
    members = [
        Member(f"{name}0", "10.0.0.1:1", name, "x", True, capacity=LARGE, load=0.3 * number)
        for number, name in enumerate(regions)
    ]
    for order in (members, members[::-1]):
        choices = EntryChoices(regions)
        for number in range(10):
            present = order[: 1 + number // 2]
            named = {name: choices.choose(present, name, number) for name in regions}
        assert all(len(items) == 3 for items in named.values()), named


def test_a_lost_node_is_replaced_in_the_next_answer():
    play = Play()
    play.run(10, 360, lambda _: 0.2)
    assert play.look_up("a") == ["a0", "a1"]
    del play.members["a0"]
    assert set(play.look_up("a")) == {"a1", "b0", "b1", "c0", "c1"}
    assert [choice.stage for _, name, choice in play.changes if name == "a"] == [Stage.REGION]
