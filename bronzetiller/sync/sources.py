"""Choose whom a node reads a partition of the store from; no I/O.

Designed for regions of up to some hundred nodes that share a link to the store: one node of a
region reads the store, one of each data centre reads from that node, and the others from these.
Nodes that read the store have peers as well, also in other regions, for when they lose it, and so
has the reader of each data centre, for when that of the region is lost too.
"""

from collections.abc import Iterable, Mapping
from enum import Enum

from attrs import frozen

from bronzetiller.fleet.neighbours import rank_nodes, rank_readers

RELAYED_NODES_MIN = 6  # in smaller regions each node reads the store itself
DEPUTIES = 1
SOURCES_MAX = 3
FAR_SOURCES_MAX = 2


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
    *,
    uses_far: bool = True,
) -> Sources:
    """Return the sources of a node; regions holds the region of each data centre.

    Without uses_far, all of them are in the node's own region.
    """
    region = regions.get(data_centre)
    by_region: dict[str | None, list[SourceNode]] = {}
    for item in nodes:
        by_region.setdefault(regions.get(item.data_centre), []).append(item)
    near = by_region.pop(region, [])
    far = _choose_far(own_id, topic, by_region) if uses_far else []
    if len(near) < RELAYED_NODES_MIN:
        near_ids = rank_nodes(own_id, (item.node_id for item in near))
        peers = [item for item in near_ids if item != own_id][:SOURCES_MAX]
        return Sources(Role.READER, (*peers, *far), len(near))
    readers = rank_region(topic, region, near)
    own_ranked = rank_data_centre(topic, data_centre, near)
    if own_id == readers[0]:
        return Sources(Role.READER, (*readers[1 : 1 + SOURCES_MAX], *far), len(near))
    if own_id in readers or not own_ranked:
        # The reader of the region may be gone, which no node without the store can tell.
        peers = [*_list_others(own_id, readers), *far]
        return Sources(Role.DEPUTY, tuple(peers), len(near))
    if own_id in own_ranked[: 1 + DEPUTIES]:
        remote = [item for item in readers if item != own_ranked[0]]
        return Sources(Role.DEPUTY, (own_ranked[0], *remote[: SOURCES_MAX - 1]), len(near))
    return Sources(Role.MEMBER, _list_others(own_id, own_ranked), len(near))


def _list_others(own_id: str, ranked: list[str]) -> tuple[str, ...]:
    return tuple([item for item in ranked if item != own_id][:SOURCES_MAX])


def _choose_far(
    own_id: str, topic: str, by_region: Mapping[str | None, list[SourceNode]]
) -> list[str]:
    """Return the nodes of other regions that are likely to read the store."""
    found = []
    for region, nodes in by_region.items():
        if len(nodes) < RELAYED_NODES_MIN:
            found += rank_nodes(own_id, (item.node_id for item in nodes))[:1]
        else:
            found += rank_region(topic, region, nodes)[:1]
    return rank_nodes(own_id, found)[:FAR_SOURCES_MAX]


def rank_region(topic: str, region: str | None, nodes: list[SourceNode]) -> list[str]:
    """Rank the readers of a region's data centres by their priority as its reader."""
    data_centres = {item.data_centre for item in nodes}
    readers = [rank_data_centre(topic, name, nodes)[0] for name in data_centres]
    return rank_nodes(f"{region}/{topic}", readers)


def rank_data_centre(topic: str, data_centre: str, nodes: Iterable[SourceNode]) -> list[str]:
    """Rank the nodes of a data centre by their priority as its reader."""
    near = [item for item in nodes if item.data_centre == data_centre]
    preferred = [item.node_id for item in near if item.has_high_capacity]
    others = [item.node_id for item in near if not item.has_high_capacity]
    return rank_readers(topic, data_centre, preferred) + rank_readers(topic, data_centre, others)
