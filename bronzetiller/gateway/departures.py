"""Hold which targets say that they are leaving, and tell the peers; no I/O.

A target that says so in a response gets no new requests, whatever its registration says. The
statement holds for one start of the target: one that starts again begins anew.

Designed for releases that replace all targets of a service one after the other, at up to some
hundred nodes: a few nodes report each leaving target, as for limits.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bronzetiller.gateway.nearest_nodes import NearestNodes
from bronzetiller.gateway.statements import Report, Statement, Statements
from bronzetiller.gateway.targets import Target, TargetPool

REPORTERS = 3
LEAVING = 1.0  # the value of the statement
GONE_SECONDS = 60.0  # in which a target whose registration is missing may come back


@frozen
class DepartureNode:
    """Describe a node and the leaving targets that it reports."""

    node_id: str
    data_centre: str
    leaving: Mapping[str, Statement]


@define(eq=False)
class Departures:
    """Hold the leaving targets by instance, and keep them out of the pool."""

    _node_id: str
    _regions: Mapping[str, str]
    _pool: TargetPool
    _nodes: NearestNodes = field(init=False)
    _statements: Statements = field(init=False)
    _gone_until: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._nodes = NearestNodes(self._node_id, self._regions)
        self._statements = Statements("leaving", self._node_id, self._is_reporter)

    def _is_reporter(self, instance: str, node_id: str) -> bool:
        return node_id in self._nodes.rank(instance)[:REPORTERS]

    def record(self, target: Target, now: float) -> None:
        """Record that a target says that it is leaving."""
        self._statements.record(target.instance, LEAVING, now)
        self._pool.mark_leaving(target.instance)

    def refresh(
        self, nodes: Iterable[DepartureNode], targets: Iterable[Target], now: float
    ) -> None:
        """Apply what the nodes report; forget targets that have been gone for long."""
        nodes = list(nodes)
        self._nodes.update(((node.node_id, node.data_centre) for node in nodes), now)
        if not self._statements.list_subjects() and not any(node.leaving for node in nodes):
            return
        present = {target.instance for target in targets}
        reports = [Report(node.node_id, node.leaving) for node in nodes]
        self._statements.merge(reports, present, now)
        for instance in list(self._statements.list_subjects()):
            if instance in present:
                self._gone_until.pop(instance, None)
                self._pool.mark_leaving(instance)
            elif now >= self._gone_until.setdefault(instance, now + GONE_SECONDS):
                del self._gone_until[instance]
                self._statements.forget(instance)
                self._pool.forget_leaving(instance)

    def list_stated(self, now: float) -> dict[str, Statement]:
        """Return the statements that this node should report, of targets that are not gone."""
        reportable = self._statements.list_reportable(now)
        return {name: item for name, item in reportable.items() if name not in self._gone_until}
