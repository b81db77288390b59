"""Share the limits of requests per second that targets state among the nodes; no I/O.

Designed for targets that accept a few requests per second from the whole fleet, before 2 to some
hundred nodes that choose targets independently. Only the nodes nearest to a target have a share of
its limit: if every node had one, each could send at any moment the requests that it has saved up,
and together they would exceed the limit many times over.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bronzetiller.gateway.nearest_nodes import NearestNodes
from bronzetiller.gateway.statements import Report, Statement, Statements
from bronzetiller.gateway.targets import Target

SHARED_PORTION = 0.95  # of the limit, as nodes may briefly disagree on who has a share
SHARES_MIN = 3
# All shares of a target together may save up these requests, and those of so many seconds.
SAVED_REQUESTS = 3.0
SAVED_SECONDS = 1.4
SHARE_REQUESTS_MAX = 2.0
LIMIT_MIN = 0.1  # requests per second, so that a node hears of the end of a limit of 0
GONE_SECONDS = 60.0  # in which a target whose registration is missing may come back


@frozen
class LimitedNode:
    """Describe a node that may have a share, and the limits that it reports."""

    node_id: str
    data_centre: str
    limits: Mapping[str, Statement]


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
    _nodes: NearestNodes = field(init=False)
    _limits: Statements = field(init=False)
    _targets: dict[str, Target] = field(factory=dict)
    _gone_until: dict[str, float] = field(factory=dict)
    _shares: dict[str, _Share] = field(factory=dict)
    _now: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._nodes = NearestNodes(self._node_id, self._regions)
        self._limits = Statements("limit", self._node_id, self._is_owner)

    def record_response(self, target: Target, limit: float | None, now: float) -> None:
        """Record the limit that a target's response states, or that it states none.

        A response that states none frees one more request, which shows whether the limit has ended.
        """
        if limit is None and self._limits.find(target.instance) is None:
            return
        self._targets.setdefault(target.instance, target)
        self._limits.record(target.instance, limit, now)
        rate = self._find_rate(target)
        if limit is None and rate:
            share = self._refill(target, rate, now)
            share.requests = min(self._find_share_max(target), share.requests + 1.0)

    def refresh(self, nodes: Iterable[LimitedNode], targets: Iterable[Target], now: float) -> None:
        """Update the nodes that serve callers and what they report, and the targets."""
        self._now = now
        nodes = list(nodes)
        self._nodes.update(((node.node_id, node.data_centre) for node in nodes), now)
        if not self._limits.list_subjects() and not any(node.limits for node in nodes):
            return
        self._update_targets(targets, now)
        reports = [Report(node.node_id, node.limits) for node in nodes]
        self._limits.merge(reports, self._targets.keys(), now)

    def _update_targets(self, targets: Iterable[Target], now: float) -> None:
        """Update the targets; forget what those stated that have been gone for long."""
        self._targets = {target.instance: target for target in targets}
        for instance in list(self._limits.list_subjects()):
            if instance in self._targets:
                self._gone_until.pop(instance, None)
            elif now >= self._gone_until.setdefault(instance, now + GONE_SECONDS):
                del self._gone_until[instance]
                self._limits.forget(instance)
                self._shares.pop(instance, None)

    def list_stated(self) -> dict[str, Statement]:
        """Return the limits to report: those of this node's shares, and those that peers lack."""
        reportable = self._limits.list_reportable(self._now)
        return {name: item for name, item in reportable.items() if name in self._targets}

    def take(self, target: Target, now: float) -> None:
        """Use up one request of this node's share, if the target has a limit."""
        rate = self._find_rate(target)
        if rate is not None:
            self._refill(target, rate, now).requests -= 1.0

    def find_free_at(self, target: Target, now: float) -> float:
        """Return when this node may send its next request, infinite if it has no share."""
        rate = self._find_rate(target)
        if rate is None:
            return now
        if rate == 0.0:
            return float("inf")
        return now + max(0.0, (1.0 - self._refill(target, rate, now).requests) / rate)

    def _find_rate(self, target: Target) -> float | None:
        """Return the rate of this node's share, 0 without a share, None without a limit."""
        limit = self._limits.find(target.instance)
        if limit is None:
            return None
        owners = self._list_owners(target)
        if self._node_id not in owners:
            return 0.0
        return SHARED_PORTION * max(LIMIT_MIN, limit) / len(owners)

    def _find_share_max(self, target: Target) -> float:
        """Return the number of requests that this node's share may save up."""
        limit = self._limits.find(target.instance) or 0.0
        saved = (SAVED_REQUESTS + SAVED_SECONDS * limit) / len(self._list_owners(target))
        return min(SHARE_REQUESTS_MAX, max(1.0, saved))

    def _list_owners(self, target: Target) -> list[str]:
        """Return the nodes that have a share."""
        count = SHARES_MIN + int(self._limits.find(target.instance) or 0.0)
        return self._nodes.rank(target.instance, target.registration.data_centre)[:count]

    def _is_owner(self, instance: str, node_id: str) -> bool:
        target = self._targets.get(instance)
        return target is not None and node_id in self._list_owners(target)

    def _refill(self, target: Target, rate: float, now: float) -> _Share:
        share = self._shares.setdefault(target.instance, _Share(1.0, now))
        saved_max = self._find_share_max(target)
        share.requests = min(saved_max, share.requests + rate * (now - share.at))
        share.at = now
        return share
