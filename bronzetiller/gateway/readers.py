"""Choose the nodes that a node reads a topic of the store from; no I/O."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from bronzetiller.gateway.capacity import select_high_capacity
from bronzetiller.gateway.members import Member
from bronzetiller.platform.topics import NODES_TOPIC
from bronzetiller.sync.sources import SourceNode, Sources, choose_sources


@define(eq=False)
class SourceMap:
    """Cache the sources of one node by topic until the members change."""

    _own_id: str
    _data_centre: str
    _regions: Mapping[str, str]
    _nodes: list[SourceNode] = field(factory=list)
    _sources: dict[str, Sources] = field(factory=dict)

    def refresh(self, members: Iterable[Member]) -> None:
        """Update the nodes of the fleet."""
        nodes = list_source_nodes(members)
        if nodes != self._nodes:
            self._nodes = nodes
            self._sources.clear()

    def find(self, topic: str) -> Sources:
        """Return the sources of a topic."""
        sources = self._sources.get(topic)
        if sources is None:
            # Through another region a region without the store would see its own nodes fall silent.
            sources = choose_sources(
                self._own_id,
                topic,
                self._data_centre,
                self._regions,
                self._nodes,
                uses_far=topic != NODES_TOPIC,
            )
            self._sources[topic] = sources
        return sources


def list_source_nodes(members: Iterable[Member]) -> list[SourceNode]:
    """Return the members as sources; those near the highest capacity of their data centre first."""
    by_data_centre: dict[str, list[Member]] = {}
    for member in members:
        by_data_centre.setdefault(member.data_centre, []).append(member)
    nodes = []
    for near in by_data_centre.values():
        high = {item.node_id for item in select_high_capacity(near)}
        nodes += [SourceNode(item.node_id, item.data_centre, item.node_id in high) for item in near]
    return sorted(nodes, key=lambda item: item.node_id)
