"""Choose the node of a data centre that reads the store for the other nodes there; no I/O.

Designed for about 15 nodes per data centre, which would otherwise each read every registration
and configuration over a link between regions that all traffic shares.
"""

from collections.abc import Iterable

from bronzetiller.fleet.neighbours import rank_readers
from bronzetiller.gateway.capacity import select_high_capacity
from bronzetiller.gateway.members import Member

RELAYED_NODES_MIN = 6  # in smaller data centres each node reads the store itself


def choose_reader(
    own_id: str, topic: str, data_centre: str, members: Iterable[Member]
) -> str | None:
    """Return the node to read a topic from, or None if this node reads the store itself."""
    near = [item for item in members if item.data_centre == data_centre]
    if len(near) < RELAYED_NODES_MIN:
        return None
    high_capacity = [item.node_id for item in select_high_capacity(near)]
    reader = rank_readers(topic, data_centre, high_capacity)[0]
    return None if reader == own_id else reader
