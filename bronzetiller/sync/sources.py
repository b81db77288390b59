"""Choose whom a node reads a partition of the store from; no I/O.

Designed for regions of up to some hundred nodes that share a link to the store: one node of a
region reads the store, one of each data centre reads from that node, and the others from these.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

from attrs import frozen

from bronzetiller.fleet.neighbours import rank_nodes, rank_readers

RELAYED_NODES_MIN = 6  # in smaller regions each node reads the store itself
DEPUTIES = 1
SOURCES_MAX = 3


class Role(Enum):
    """Say when a node reads the store itself.

    A reader does so first, a deputy once its sources have no current data, and a member some time
    later, as all members of a region lose their sources at once.
    """

    READER = "reader"
    DEPUTY = "deputy"
    MEMBER = "member"


@frozen
class SourceNode:
    """Describe a node that may read the store for others; those with high capacity come first."""

    node_id: str
    data_centre: str
    has_high_capacity: bool = True


@frozen
class Sources:
    """Hold the peers to read from, the best first, and the number of nodes of the region."""

    role: Role
    peers: tuple[str, ...] = ()
    region_nodes: int = 1


def choose_sources(
    own_id: str,
    topic: str,
    data_centre: str,
    regions: Mapping[str, str],
    nodes: Iterable[SourceNode],
) -> Sources:
    """Return the sources of a node; regions holds the region of each data centre."""
    region = regions.get(data_centre)
    near = [item for item in nodes if regions.get(item.data_centre) == region]
    if len(near) < RELAYED_NODES_MIN:
        return Sources(Role.READER, region_nodes=len(near))
    ranked = {
        name: rank_data_centre(topic, name, near)
        for name in {item.data_centre for item in near} | {data_centre}
    }
    readers = rank_nodes(f"{region}/{topic}", [ids[0] for ids in ranked.values() if ids])
    own_ranked = ranked[data_centre]
    if own_id in readers:
        role = Role.READER if own_id == readers[0] else Role.DEPUTY
        candidates = readers
    else:
        role = Role.DEPUTY if own_id in own_ranked[: 1 + DEPUTIES] else Role.MEMBER
        candidates = own_ranked or readers
    peers = [node_id for node_id in candidates if node_id != own_id]
    return Sources(role, tuple(peers[:SOURCES_MAX]), len(near))


def rank_data_centre(topic: str, data_centre: str, nodes: Iterable[SourceNode]) -> list[str]:
    """Rank the nodes of a data centre by their priority as its reader."""
    near = [item for item in nodes if item.data_centre == data_centre]
    preferred = [item.node_id for item in near if item.has_high_capacity]
    others = [item.node_id for item in near if not item.has_high_capacity]
    return rank_readers(topic, data_centre, preferred) + rank_readers(topic, data_centre, others)
