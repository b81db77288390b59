"""Rank the nodes of the fleet by their distance to a data centre; no I/O."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from bronzetiller.fleet.neighbours import rank_nodes

# After which a node that lost sight of most others at once takes them as gone. Before, it may have
# been cut off, and the others still use their shares.
VANISHED_SECONDS = 60.0


@define(eq=False)
class NearestNodes:
    """Hold the data centres of the nodes; all nodes with the same members agree on the ranks."""

    node_id: str
    _regions: Mapping[str, str]
    _data_centres: dict[str, str] = field(factory=dict)
    _vanished_until: float | None = None
    _ranks: dict[tuple[str, str], list[str]] = field(factory=dict)

    def update(self, nodes: Iterable[tuple[str, str]], now: float) -> None:
        """Update the nodes, given with their data centres.

        Nodes that vanish are kept for a while if they were most of the fleet.
        """
        present = dict(nodes)
        known = self._data_centres
        remaining = len(present.keys() & known.keys())
        if 2 * remaining > len(known):
            self._vanished_until = None
        else:
            if self._vanished_until is None:
                self._vanished_until = now + VANISHED_SECONDS
            if now < self._vanished_until:
                present = known | present
        if present != known:
            self._data_centres = present
            self._ranks.clear()

    def rank(self, subject: str, data_centre: str = "") -> list[str]:
        """Return the nodes, the nearest to a data centre first, or this node if none is known."""
        key = (subject, data_centre)
        ranks = self._ranks.get(key)
        if ranks is None:
            ranks = rank_nodes(subject, list(self._data_centres) or [self.node_id])
            ranks.sort(key=lambda node_id: self._rate_distance(node_id, data_centre))
            self._ranks[key] = ranks
        return ranks

    def _rate_distance(self, node_id: str, data_centre: str) -> int:
        own = self._data_centres.get(node_id, data_centre)
        if own == data_centre:
            return 0
        return 1 if self._regions.get(own) == self._regions.get(data_centre) else 2
