"""Estimate the load that the callers of each data centre bring; no I/O.

A heartbeat states the requests that a node receives, wherever their callers are. Callers draw the
named nodes with equal probability, so the loads are divided between the data centres that named
each node, in proportion to the load that each of them would bring there.

Designed for some ten data centres and up to some hundred nodes, with loads that are a second old.
"""

from collections.abc import Collection

from attrs import define, field

from bronzetiller.gateway.members import Member

# Time constant with which loads follow an answer: callers keep it for 2 or 6 s, nodes average their
# loads over 5 s and state them once a second.
ANSWER_SECONDS = 6.0
SHARE_MIN = 0.001  # smaller parts of callers that still use a node are forgotten
ITERATIONS = 20
# Of the difference to the mean of the region, at each update. Data centres that are told of the
# same nodes cannot be told apart; without this, noise attributes the load of all of them to one.
EVEN_PART = 0.03
DEMAND_MIN = 0.1  # requests per second, so that the estimate can grow again


@define(eq=False)
class CallerDemand:
    """Hold the requests per second of each data centre's callers.

    _shares holds, by data centre and node id, the part of the callers that use the node.
    """

    _regions: dict[str, str] = field(factory=dict)
    rates: dict[str, float] = field(factory=dict)
    _shares: dict[str, dict[str, float]] = field(factory=dict)
    _updated_at: float | None = None

    def record_answers(self, answers: dict[str, Collection[str]], now: float) -> None:
        """Record which nodes (ids) were named to each data centre until now (seconds)."""
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        part = min(1.0, max(0.0, elapsed) / ANSWER_SECONDS)
        for data_centre, node_ids in answers.items():
            shares = self._shares.get(data_centre)
            named = dict.fromkeys(node_ids, 1.0 / len(node_ids)) if node_ids else {}
            if not shares:
                self._shares[data_centre] = named
                continue
            self._shares[data_centre] = {
                node_id: share
                for node_id in shares.keys() | named.keys()
                if (share := _approach(shares.get(node_id, 0.0), named.get(node_id, 0.0), part))
                > SHARE_MIN
            }

    def update(self, members: Collection[Member]) -> None:
        """Estimate the rates from the loads that the members state."""
        present = {item.node_id for item in members}
        shares = {name: _restrict(items, present) for name, items in self._shares.items()}
        named_by: dict[str, list[tuple[str, float]]] = {}
        for name, items in shares.items():
            for node_id, share in items.items():
                named_by.setdefault(node_id, []).append((name, share))
        rates = _sum_by_data_centre(members) | self.rates
        rates = {name: max(DEMAND_MIN, rates.get(name, 0.0)) for name in shares.keys() | rates}
        self._even_out(rates)
        for _ in range(ITERATIONS):
            rates = _divide_loads(members, named_by, rates)
        self.rates = rates

    def _even_out(self, rates: dict[str, float]) -> None:
        """Move the rates a little towards the mean of their region; the next steps correct that."""
        by_region: dict[str, list[str]] = {}
        for name in rates:
            by_region.setdefault(self._regions.get(name, name), []).append(name)
        for names in by_region.values():
            mean = sum(rates[name] for name in names) / len(names)
            for name in names:
                rates[name] = _approach(rates[name], mean, EVEN_PART)


def _sum_by_data_centre(members: Collection[Member]) -> dict[str, float]:
    rates: dict[str, float] = {}
    for member in members:
        rates[member.data_centre] = rates.get(member.data_centre, 0.0) + member.load
    return rates


def _approach(before: float, after: float, part: float) -> float:
    return before + part * (after - before)


def _restrict(shares: dict[str, float], present: Collection[str]) -> dict[str, float]:
    """Return the shares of nodes that are present, as callers of others have moved to these."""
    kept = {node_id: share for node_id, share in shares.items() if node_id in present}
    total = sum(kept.values())
    return {node_id: share / total for node_id, share in kept.items()} if total else {}


def _divide_loads(
    members: Collection[Member],
    named_by: dict[str, list[tuple[str, float]]],
    rates: dict[str, float],
) -> dict[str, float]:
    """Divide each node's load between the data centres that named it, else give it to its own.

    This is one step of expectation maximization for loads that are sums of unknown rates.
    """
    divided = dict.fromkeys(rates, 0.0)
    for member in members:
        load = max(0.0, member.load - member.forwarded_load)
        sources = named_by.get(member.node_id, [])
        total = sum(rates[name] * share for name, share in sources)
        if not total:
            divided[member.data_centre] = divided.get(member.data_centre, 0.0) + load
            continue
        for name, share in sources:
            divided[name] += load * rates[name] * share / total
    return {name: max(DEMAND_MIN, rate) for name, rate in divided.items()}
