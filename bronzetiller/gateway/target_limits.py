"""Share the limits of requests per second that targets state among the nodes; no I/O.

Designed for targets that accept a few requests per second from the whole fleet, before 2 to some
hundred nodes that choose targets independently. Only the nodes nearest to a target have a share of
its limit: if every node had one, each could send at any moment the request that it has saved up,
and together they would exceed the limit many times over.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.gateway.targets import Target

SHARED_PORTION = 0.9  # of the limit, as nodes may briefly disagree on who has a share
# A share holds at most one request, so a burst has as many requests as there are shares.
SHARE_REQUESTS_MAX = 1.0
SHARES_MIN = 3
LIMIT_MIN = 0.1  # requests per second, so that a node hears of the end of a limit of 0
# A node without a share hears no more of a limit; after this its peers' reports decide.
UNSHARED_SECONDS = 10.0
UNUSED_SECONDS = 30.0  # after which a node with a share that it did not use forgets the limit


@frozen
class LimitedNode:
    """Describe a node that may have a share, and the limits that targets state to it."""

    node_id: str
    data_centre: str
    limits: Mapping[str, float]


@frozen
class _Statement:
    limit: float
    at: float


@define
class _Share:
    """Hold the requests that a node may still send to a target, as of a time."""

    requests: float
    at: float


@define(eq=False)
class TargetLimits:
    """Hold the limits that targets state to this node and its peers, and this node's shares.

    Times are monotonic seconds, rates and limits requests per second.
    """

    _node_id: str
    _regions: Mapping[str, str]
    _nodes: list[LimitedNode] = field(factory=list)
    _stated: dict[str, _Statement] = field(factory=dict)
    _by_peers: dict[str, float] = field(factory=dict)
    _shares: dict[str, _Share] = field(factory=dict)
    _owners: dict[tuple[str, int], list[str]] = field(factory=dict)

    def record_response(self, target: Target, limit: float | None, now: float) -> None:
        """Record the limit that a target's response states, or that it states none."""
        if limit is not None:
            self._stated[target.instance] = _Statement(limit, now)
        elif self._stated.pop(target.instance, None) is not None:
            self._shares.pop(target.instance, None)

    def refresh(self, nodes: Iterable[LimitedNode], targets: Iterable[Target], now: float) -> None:
        """Update the nodes that serve callers; forget old statements and targets not given."""
        self._nodes = list(nodes)
        self._owners.clear()
        self._by_peers = {}
        for node in self._nodes:
            for instance, limit in node.limits.items():
                if node.node_id != self._node_id:
                    self._by_peers[instance] = min(limit, self._by_peers.get(instance, limit))
        if not self._stated and not self._shares:
            return
        present = {target.instance: target for target in targets}
        for instance, statement in list(self._stated.items()):
            target = present.get(instance)
            if target is None or now - statement.at > self._find_validity(target):
                del self._stated[instance]
        for instance in self._shares.keys() - present.keys():
            del self._shares[instance]

    def _find_validity(self, target: Target) -> float:
        """Return how long (seconds) a limit holds that the target has not stated again."""
        return UNSHARED_SECONDS if self._find_rate(target) == 0.0 else UNUSED_SECONDS

    def list_stated(self) -> dict[str, float]:
        """Return the limits that targets state to this node, to be sent to its peers."""
        return {instance: statement.limit for instance, statement in self._stated.items()}

    def take(self, target: Target, now: float) -> None:
        """Use up one request of this node's share, if the target has a limit."""
        rate = self._find_rate(target)
        if rate is not None:
            self._refill(target.instance, rate, now).requests -= 1.0

    def find_free_at(self, target: Target, now: float) -> float:
        """Return when this node may send its next request, infinite if it has no share."""
        rate = self._find_rate(target)
        if rate is None:
            return now
        if rate == 0.0:
            return float("inf")
        return now + max(0.0, (1.0 - self._refill(target.instance, rate, now).requests) / rate)

    def _find_rate(self, target: Target) -> float | None:
        """Return the rate of this node's share, 0 without a share, None without a limit."""
        if not self._stated and not self._by_peers:
            return None
        limit = self._find_limit(target.instance)
        if limit is None:
            return None
        owners = self._list_owners(target, limit)
        if self._node_id not in owners:
            return 0.0
        return SHARED_PORTION * max(LIMIT_MIN, limit) / len(owners)

    def _find_limit(self, instance: str) -> float | None:
        statement = self._stated.get(instance)
        known = [] if statement is None else [statement.limit]
        if instance in self._by_peers:
            known.append(self._by_peers[instance])
        return min(known, default=None)

    def _list_owners(self, target: Target, limit: float) -> list[str]:
        """Return the nodes that have a share; all nodes with the same members agree on them."""
        count = SHARES_MIN + int(limit)
        owners = self._owners.get((target.instance, count))
        if owners is None:
            distances = {
                node.node_id: self._rate_distance(node.data_centre, target.registration.data_centre)
                for node in self._nodes
            }
            ranked = rank_nodes(target.instance, list(distances) or [self._node_id])
            owners = sorted(ranked, key=lambda item: distances.get(item, 0))[:count]
            self._owners[target.instance, count] = owners
        return owners

    def _rate_distance(self, first: str, second: str) -> int:
        if first == second:
            return 0
        return 1 if self._regions.get(first) == self._regions.get(second) else 2

    def _refill(self, instance: str, rate: float, now: float) -> _Share:
        share = self._shares.setdefault(instance, _Share(SHARE_REQUESTS_MAX, now))
        share.requests = min(SHARE_REQUESTS_MAX, share.requests + rate * (now - share.at))
        share.at = now
        return share
