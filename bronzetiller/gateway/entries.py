"""Choose the nodes that an entry lookup returns to a caller; no I/O."""

from collections.abc import Collection

from bronzetiller.gateway.capacity import can_serve, select_high_capacity
from bronzetiller.gateway.members import Member

ENTRIES_MIN = 2  # so that a caller can fail over to another node


def choose_entries(
    members: Collection[Member], data_centre: str, regions: dict[str, str]
) -> list[Member]:
    """Return the entry nodes for callers in a data centre.

    Callers pick a node at random, so the nodes returned together have similar capacity: the
    strongest in the data centre if they can carry its load, else the strongest in the region if
    they can, else all in the data centre. If these are fewer than ENTRIES_MIN, all nodes in the
    region or the fleet are returned.
    """
    in_data_centre = [item for item in members if item.data_centre == data_centre]
    region = regions.get(data_centre)
    in_region = [item for item in members if regions.get(item.data_centre) == region]
    strong_in_region = select_high_capacity(in_region)
    strong_in_data_centre = [item for item in strong_in_region if item.data_centre == data_centre]
    for entries, served_members in (
        (strong_in_data_centre, in_data_centre),
        (strong_in_region, in_region),
    ):
        load = sum(item.load for item in served_members)
        if len(entries) >= ENTRIES_MIN and can_serve(entries, load):
            return entries
    if len(in_data_centre) >= ENTRIES_MIN:
        return in_data_centre
    return in_region if len(in_region) >= ENTRIES_MIN else list(members)
