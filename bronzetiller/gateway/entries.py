"""Choose the nodes that an entry lookup returns to a caller; no I/O.

Designed for data centres of a few large VMs and many small ones, one of which brings half of all
requests for a minute, and for callers that send all of their requests through a few connections:
small nodes are named only where the part of each stays well below what it bears.
"""

import math
from collections.abc import Callable, Collection
from enum import IntEnum

from attrs import define, evolve, field, frozen

from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.gateway.caller_demand import CallerDemand
from bronzetiller.gateway.capacity import (
    REQUEST_LINK_BYTES,
    UTILIZATION_MAX,
    can_serve,
    select_high_capacity,
)
from bronzetiller.gateway.members import Member
from bronzetiller.platform.lookup import ADDRESSES_MAX

ENTRIES_MIN = 2  # so that a caller can fail over to another node
REFRESH_SECONDS = 1.0  # the interval of the heartbeats
# Callers keep an answer for 2 s, some for 6 s, and loads are averages over 5 s: an answer is judged
# by its effect only after this time.
HOLD_SECONDS = 10.0
# Of the load, at which an earlier stage is taken again. Loads that move by a few percent around a
# bound must not change the answer.
RELEASE_FACTOR = 1.25
# Of its capacity, that a large node bears; a small one bears UTILIZATION_MAX, as few callers with
# one connection each fill its link.
LARGE_UTILIZATION_MAX = 0.75
HEADROOM_GAIN_MIN = 0.1  # of another overloaded set, before it replaces the current one
# A node of another region with this much is named though near ones have more: loads of some
# requests a second must not decide it.
IDLE_HEADROOM = 0.75
REGION_LINK_MBPS = 30.0  # between regions
REGION_LINK_SHARE = 0.33  # for callers; the rest is for targets, peers and the store


class Stage(IntEnum):
    """Order the sets of nodes: a later one is taken only where no earlier one suffices."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER_REGIONS = 2
    SMALL_NEAR = 3
    SMALL_REGION = 4
    ANY = 5


@frozen
class Candidate:
    """Hold a set of nodes that may be named together."""

    stage: Stage
    entries: tuple[Member, ...]
    with_full: bool = False

    @property
    def node_ids(self) -> frozenset[str]:
        """Return the ids of the nodes."""
        return frozenset(item.node_id for item in self.entries)


@frozen
class Choice:
    """Hold the nodes named to a data centre, and since when (monotonic seconds).

    with_full is whether nodes may be named that say that they are full, as the others are too.
    """

    stage: Stage
    node_ids: frozenset[str]
    since: float
    with_full: bool = False


@frozen
class Demand:
    """Hold the load of a data centre's callers, and what others bring to each node (requests/s).

    remote_max is the load that callers may bring to other regions.
    """

    rate: float
    region_rate: float
    others: dict[str, float] = field(factory=dict)
    remote_max: float = float("inf")

    def scale(self, factor: float) -> "Demand":
        """Return the demand with all loads multiplied by a factor."""
        others = {node_id: factor * load for node_id, load in self.others.items()}
        return Demand(factor * self.rate, factor * self.region_rate, others, self.remote_max)


def choose_entries(
    members: Collection[Member], data_centre: str, regions: dict[str, str]
) -> list[Member]:
    """Return the entry nodes for callers in a data centre, by the loads of its own nodes alone."""
    region = regions.get(data_centre)
    demand = Demand(
        sum(item.load for item in members if item.data_centre == data_centre),
        sum(item.load for item in members if regions.get(item.data_centre) == region),
        remote_max=compute_remote_max(0.0),
    )
    return list(_choose(members, data_centre, regions, demand, None).entries)


def limit_entries(
    entries: Collection[Member],
    permitted: Collection[Member],
    data_centre: str,
    regions: dict[str, str],
) -> list[Member]:
    """Return the permitted ones of the entry nodes; if there are none, choose among the permitted.

    permitted may be all nodes of other regions, most of them small or full.
    """
    entry_ids = {item.node_id for item in entries}
    limited = [item for item in permitted if item.node_id in entry_ids]
    if limited or not permitted:
        return limited
    return choose_entries(permitted, data_centre, regions) or list(permitted)


def compute_remote_max(used: float) -> float:
    """Return the requests per second that callers may send to other regions beside those used."""
    link = REGION_LINK_SHARE * REGION_LINK_MBPS * 1_000_000 / 8 / REQUEST_LINK_BYTES
    return max(0.0, link - used)


def compute_headroom(entries: Collection[Member], demand: Demand) -> float:
    """Return the smallest headroom of the nodes, as a share of what each bears.

    Each named node gets an equal part of the load of the callers that are told of it.
    """
    part = demand.rate / len(entries)
    large_ids = {item.node_id for item in select_high_capacity(entries)}

    def compute_one(member: Member) -> float:
        limit = LARGE_UTILIZATION_MAX if member.node_id in large_ids else UTILIZATION_MAX
        load = part + demand.others.get(member.node_id, 0.0)
        return 1.0 - load / (limit * member.capacity)

    return min(map(compute_one, entries))


@define(eq=False)
class EntryChoices:
    """Hold the entry nodes of each data centre; they change only if the loads clearly do."""

    _regions: dict[str, str]
    on_change: Callable[[str, Choice, Demand], None] = lambda data_centre, choice, demand: None
    demand: CallerDemand = field(init=False)
    _choices: dict[str, Choice] = field(factory=dict)
    _refreshed_at: float = float("-inf")
    _member_ids: frozenset[str] = frozenset()
    _full_ids: frozenset[str] = frozenset()

    def __attrs_post_init__(self) -> None:
        self.demand = CallerDemand(self._regions)

    def choose(self, members: Collection[Member], data_centre: str, now: float) -> list[Member]:
        """Return the entry nodes for callers in a data centre."""
        self.refresh(members, now)
        choice = self._choices.get(data_centre)
        if choice is None:
            return choose_entries(members, data_centre, self._regions)
        return [item for item in members if item.node_id in choice.node_ids]

    def choose_permitted(
        self,
        members: Collection[Member],
        permitted: Collection[Member],
        data_centre: str,
        now: float,
    ) -> list[Member]:
        """Return the entry nodes that may serve a host, or a choice among those that may."""
        chosen = self.choose(members, data_centre, now)
        return limit_entries(chosen, permitted, data_centre, self._regions)

    def refresh(self, members: Collection[Member], now: float) -> None:
        """Choose again if nodes came or left, or once an interval of the heartbeats has passed."""
        member_ids = frozenset(item.node_id for item in members)
        full_ids = frozenset(item.node_id for item in members if item.full)
        is_due = now - self._refreshed_at >= REFRESH_SECONDS
        is_known = member_ids == self._member_ids and full_ids == self._full_ids
        if not members or (is_known and not is_due):
            return
        self._full_ids = full_ids
        have_members_changed = member_ids != self._member_ids
        self._member_ids = member_ids
        self._refreshed_at = now
        answers: dict[str, Collection[str]] = {
            name: choice.node_ids for name, choice in self._choices.items()
        }
        self.demand.record_answers(answers, now)
        self.demand.update(members)
        present = {item.data_centre for item in members}
        # A data centre whose nodes are all gone may be known from its former nodes alone.
        for data_centre in sorted(present.union(self._regions, self._choices)):
            current = self._choices.get(data_centre)
            is_held = current is not None and now - current.since < HOLD_SECONDS
            self._refresh_choice(
                members, data_centre, now, is_held=is_held and not have_members_changed
            )

    def _refresh_choice(
        self, members: Collection[Member], data_centre: str, now: float, *, is_held: bool
    ) -> None:
        current = self._choices.get(data_centre)
        demand = self._make_demand(members, data_centre)
        chosen = _choose(members, data_centre, self._regions, demand, current, is_held=is_held)
        if current is not None and current.node_ids == chosen.node_ids:
            self._choices[data_centre] = evolve(current, with_full=chosen.with_full)
            return
        since = float("-inf") if current is None else current.since
        if current is not None and current.stage is not chosen.stage:
            since = now
        choice = Choice(chosen.stage, chosen.node_ids, since, chosen.with_full)
        self._choices[data_centre] = choice
        if current is not None or chosen.stage is not Stage.DATA_CENTRE:
            self.on_change(data_centre, choice, demand)

    def _make_demand(self, members: Collection[Member], data_centre: str) -> Demand:
        """Return the load of a data centre's callers, and that of others by their answers."""
        rates = self.demand.rates
        region = self._regions.get(data_centre)
        centres = {item.node_id: item.data_centre for item in members}
        others = {item.node_id: item.forwarded_load for item in members}
        region_rate = rates.get(data_centre, 0.0)
        remote_used = 0.0
        for name, rate in rates.items():
            if name == data_centre:
                continue
            choice = self._choices.get(name)
            named = [item for item in choice.node_ids if item in centres] if choice else []
            if not named:
                region_rate += rate if self._regions.get(name) == region else 0.0
                continue
            part = rate / len(named)
            for node_id in named:
                others[node_id] += part
                node_region = self._regions.get(centres[node_id])
                region_rate += part if node_region == region else 0.0
                remote_used += part if node_region != self._regions.get(name) else 0.0
        return Demand(
            rates.get(data_centre, 0.0), region_rate, others, compute_remote_max(remote_used)
        )


def _choose(
    members: Collection[Member],
    data_centre: str,
    regions: dict[str, str],
    demand: Demand,
    current: Choice | None,
    *,
    is_held: bool = False,
) -> Candidate:
    """Return the set to name; the current one stays while it is held or another gains little."""
    candidates = _list_candidates(members, data_centre, regions, demand, current)
    if any(item.full for item in members) and not _bear(candidates, demand, current):
        candidates = [
            evolve(item, with_full=True)
            for item in _list_candidates(
                members, data_centre, regions, demand, current, with_full=True
            )
        ]
    if not candidates:
        return Candidate(Stage.ANY, tuple(members))
    best = _find_best(candidates, demand)
    kept = next((item for item in candidates if current and item.stage is current.stage), None)
    if kept is None or best is kept:
        return best
    if is_held:
        return kept
    if best.stage < kept.stage:
        released = _find_best(candidates, demand.scale(RELEASE_FACTOR))
        return released if released.stage < kept.stage else kept
    gain = compute_headroom(best.entries, demand) - compute_headroom(kept.entries, demand)
    return best if _suffices(best, demand) or gain >= HEADROOM_GAIN_MIN else kept


def _bear(candidates: Collection[Candidate], demand: Demand, current: Choice | None) -> bool:
    """Return whether nodes with room bear the load without those that are full.

    Once they did not, they must bear it with a margin, so that the full nodes do not come and go.
    """
    if current is not None and current.with_full:
        demand = demand.scale(RELEASE_FACTOR)
    return any(compute_headroom(item.entries, demand) >= 0.0 for item in candidates)


def _find_best(candidates: Collection[Candidate], demand: Demand) -> Candidate:
    """Return the first set of large nodes that suffices, else the set with the most headroom.

    Sets with small nodes count only where large nodes alone would get more than they bear.
    """
    large = [item for item in candidates if item.stage < Stage.SMALL_NEAR]
    first = next((item for item in large if _suffices(item, demand)), None)
    if first is not None:
        return first
    best = max(
        large or candidates, key=lambda item: compute_headroom(item.entries, demand), default=None
    )
    assert best is not None
    if compute_headroom(best.entries, demand) >= 0.0:
        return best
    with_small = (
        item for item in candidates if item.stage in (Stage.SMALL_NEAR, Stage.SMALL_REGION)
    )
    return next(
        (item for item in with_small if compute_headroom(item.entries, demand) >= 0.0), best
    )


def _suffices(candidate: Candidate, demand: Demand) -> bool:
    """Return whether large nodes can serve the load, including bursts."""
    if candidate.stage is Stage.REGION:
        return can_serve(candidate.entries, demand.region_rate)
    if candidate.stage is Stage.DATA_CENTRE:
        others = sum(demand.others.get(item.node_id, 0.0) for item in candidate.entries)
        return can_serve(candidate.entries, demand.rate + others)
    burst_factor = LARGE_UTILIZATION_MAX / UTILIZATION_MAX
    return compute_headroom(candidate.entries, demand.scale(burst_factor)) >= 0.0


def _list_candidates(
    members: Collection[Member],
    data_centre: str,
    regions: dict[str, str],
    demand: Demand,
    current: Choice | None,
    *,
    with_full: bool = False,
) -> list[Candidate]:
    """List the sets of enough nodes in the order in which they are considered.

    All near nodes, whatever they bear, are the only set where there are too few large ones and the
    small ones do not bear the load.
    """

    def is_in_region(member: Member) -> bool:
        return regions.get(member.data_centre) == regions.get(data_centre)

    def has_room(member: Member) -> bool:
        return with_full or not member.full

    # A small node does not count as a large one because all large ones are full.
    strong = list(filter(has_room, select_high_capacity(list(filter(is_in_region, members)))))
    remote = [
        item for item in select_high_capacity(members) if has_room(item) and not is_in_region(item)
    ]
    members = list(filter(has_room, members))
    near = [item for item in members if item.data_centre == data_centre]
    in_region = list(filter(is_in_region, members))
    sets = [
        (Stage.DATA_CENTRE, [item for item in strong if item.data_centre == data_centre]),
        (Stage.REGION, strong),
        (Stage.OTHER_REGIONS, _add_remote(strong, remote, data_centre, demand, current)),
    ]
    listed = [Candidate(stage, tuple(items)) for stage, items in sets if len(items) >= ENTRIES_MIN]
    for stage, more in ((Stage.SMALL_NEAR, near), (Stage.SMALL_REGION, in_region)):
        items = _add_small(strong, more, data_centre)
        bears = len(items) >= ENTRIES_MIN and compute_headroom(items, demand) >= 0.0
        if bears or (listed and current is not None and current.stage is stage):
            listed.append(Candidate(stage, tuple(items)))
    if listed:
        return listed
    for items in (near, in_region, list(members)):
        if len(items) >= ENTRIES_MIN:
            return [Candidate(Stage.ANY, tuple(items))]
    return []


def _add_small(strong: list[Member], more: list[Member], data_centre: str) -> list[Member]:
    """Add small nodes, at most as many as a lookup names, others for each data centre."""
    by_id = {item.node_id: item for item in more}
    for item in strong:
        by_id.pop(item.node_id, None)
    room = max(0, ADDRESSES_MAX - len(strong))
    ids = list(by_id)
    if len(ids) > room:
        ids = rank_nodes(f"entries/{data_centre}", ids)[:room]
    return [*strong, *(by_id[item] for item in ids)]


def _add_remote(
    strong: list[Member],
    remote: list[Member],
    data_centre: str,
    demand: Demand,
    current: Choice | None,
) -> list[Member]:
    """Add as many nodes of other regions as the link between regions bears; none: no candidate.

    A set has at most the nodes that a lookup names, which also bounds the processor time: with 330
    large nodes, trying each of them took 160 ms a second.

    The current ones stay while the link bears them with a margin. Each data centre ranks them in
    another order, so that several do not choose the same.
    """
    if not remote:
        return []
    by_id = {item.node_id: item for item in remote}
    kept = [by_id[item] for item in sorted(current.node_ids) if item in by_id] if current else []
    remote_load = _count_remote(demand, len(strong), len(kept)) if kept else math.inf
    is_kept_borne = remote_load <= RELEASE_FACTOR * demand.remote_max
    # Without two near nodes the set is the only one, and nodes that came later belong to it.
    if is_kept_borne and len(strong) >= ENTRIES_MIN:
        return [*strong, *kept]
    room = ADDRESSES_MAX - len(strong)
    if room <= 0:
        return []
    near_headroom = compute_headroom(strong, demand) if strong else -math.inf
    added = kept[:room] if is_kept_borne else []
    wanted_headroom = min(near_headroom, IDLE_HEADROOM)
    for node_id in rank_nodes(f"entries/{data_centre}", by_id.keys() - {m.node_id for m in added}):
        remote_load = _count_remote(demand, len(strong), len(added) + 1)
        if len(added) == room or remote_load > demand.remote_max:
            break
        if compute_headroom([*strong, by_id[node_id]], demand) >= wanted_headroom:
            added.append(by_id[node_id])
    return [*strong, *added] if added else []


def _count_remote(demand: Demand, near_count: int, remote_count: int) -> float:
    """Return the requests per second that callers would send to other regions."""
    return demand.rate * remote_count / (near_count + remote_count)
