"""Decide which nodes to name to a caller that asks where to connect; pure."""

from collections.abc import Collection

from bronzetiller.gateway.capacity import can_serve, select_high_capacity
from bronzetiller.gateway.members import Member

NAMED_MIN = 2  # addresses to name at least, so that a caller can leave one that failed


def choose_entries(
    members: Collection[Member], data_centre: str, regions: dict[str, str]
) -> list[Member]:
    """Return the nodes to name to a caller in a data centre.

    Callers pick at random, so that only nodes of like capacity are named together: the strong ones
    nearby while they carry the load there, or else those of the region, or else all nearby.
    """
    near = [item for item in members if item.data_centre == data_centre]
    region = regions.get(data_centre)
    around = [item for item in members if regions.get(item.data_centre) == region]
    strong_around = select_high_capacity(around)
    strong_near = [item for item in strong_around if item.data_centre == data_centre]
    for named, served in ((strong_near, near), (strong_around, around)):
        load = sum(item.load for item in served)
        if len(named) >= NAMED_MIN and can_serve(named, load):
            return named
    if len(near) >= NAMED_MIN:
        return near
    return around if len(around) >= NAMED_MIN else list(members)
