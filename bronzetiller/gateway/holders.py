"""Decide which nodes hold the tokens of a workspace, and in which order to ask them; pure.

The load this answers: many small nodes, each with a few requests a second of each workspace. Were
every node to hold a part of each budget, most of it would lie where no request needs it once the
store is away, and every report would go to all nodes. A few nodes of each region hold a
workspace's tokens and set them aside for the requests of all others.
"""

from collections.abc import Iterable

from attrs import frozen

from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.gateway.capacity import select_high_capacity
from bronzetiller.gateway.members import Member

HEAVY_REQUESTS_PER_SECOND = 4.0  # of one workspace at a node; asks take a tenth of a weak link
HOLDERS_PER_REGION = 3  # the death of one strands at most a third of what its region holds


@frozen
class HolderOrder:
    """Name the holders of a workspace in the order in which one node asks them."""

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()


@frozen
class HolderRequest:
    """Ask one holder; with may_wait it may first take tokens from the store."""

    node_id: str
    may_wait: bool = False


def choose_holders(
    workspace: str, members: Iterable[Member], regions: dict[str, str]
) -> dict[str, list[str]]:
    """Return the holders of a workspace by region; all nodes with the same list agree."""
    by_region: dict[str, list[Member]] = {}
    for member in members:
        by_region.setdefault(regions.get(member.data_centre, ""), []).append(member)
    return {region: _rank_holders(workspace, items) for region, items in by_region.items()}


def _rank_holders(workspace: str, members: list[Member]) -> list[str]:
    high_capacity = {item.node_id for item in select_high_capacity(members)}
    ranked = rank_nodes(workspace, [item.node_id for item in members])
    return sorted(ranked, key=lambda node_id: node_id not in high_capacity)[:HOLDERS_PER_REGION]


def order_holders(
    own_id: str, workspace: str, holders: dict[str, list[str]], region: str
) -> HolderOrder:
    """Order the holders for one node: itself first, then by its own rank, which spreads nodes."""
    near = rank_nodes(f"{own_id}/{workspace}", holders.get(region, []))
    far = [item for name, items in holders.items() if name != region for item in items]
    return HolderOrder(
        near=tuple(sorted(near, key=lambda node_id: node_id != own_id)),
        far=tuple(rank_nodes(f"{own_id}/{workspace}", far)),
    )


def estimate_share(
    own_id: str, holders: dict[str, list[str]], members: Iterable[Member], regions: dict[str, str]
) -> float:
    """Return the part of a workspace's requests whose tokens a node is to hold."""
    region = next((name for name, items in holders.items() if own_id in items), None)
    if region is None:
        return 0.0
    loads: dict[str, float] = {}
    for member in members:
        name = regions.get(member.data_centre, "")
        loads[name] = loads.get(name, 0.0) + member.expected_load
    total = sum(loads.values())
    return loads.get(region, 0.0) / total / len(holders[region]) if total else 0.0


def put_own_node_first(own_id: str, order: HolderOrder) -> HolderOrder:
    """Put a node before the holders: it has so many requests that it holds tokens itself."""
    if own_id in order.near:
        return order
    return HolderOrder((own_id, *order.near), order.far)


def plan_nearby_requests(order: HolderOrder) -> list[HolderRequest]:
    """Return whom to ask first: those nearby, for tokens that they hold already."""
    return [HolderRequest(node_id) for node_id in order.near]


def plan_fallback_requests(
    order: HolderOrder, waiting_holder_id: str, *, store_unreachable: bool
) -> list[HolderRequest]:
    """Return whom to ask once nobody nearby holds enough.

    The store knows best what is left; while it is away, the other regions' holders come first.
    """
    from_store = [HolderRequest(waiting_holder_id, may_wait=True)]
    elsewhere = [HolderRequest(node_id) for node_id in order.far]
    return elsewhere + from_store if store_unreachable else from_store + elsewhere
