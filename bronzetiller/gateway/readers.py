"""Decide which node of a data centre reads the store for the others there; pure.

The load this answers: some 15 nodes a data centre that would each read every registration and
configuration, over a link between regions that all traffic shares.
"""

from collections.abc import Iterable

from bronzetiller.fleet.neighbours import rank_readers
from bronzetiller.gateway.capacity import select_high_capacity
from bronzetiller.gateway.members import Member

RELAYED_NODES_MIN = 6  # of a data centre; in smaller ones each node reads the store itself


def choose_reader(
    own_id: str, topic: str, data_centre: str, members: Iterable[Member]
) -> str | None:
    """Return the node to read a topic from, or nothing for a node that reads the store itself."""
    near = [item for item in members if item.data_centre == data_centre]
    if len(near) < RELAYED_NODES_MIN:
        return None
    high_capacity = [item.node_id for item in select_high_capacity(near)]
    reader = rank_readers(topic, data_centre, high_capacity)[0]
    return None if reader == own_id else reader
