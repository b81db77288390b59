"""Choose the nodes that hold a workspace's tokens, and the order of requests to them; no I/O.

Designed for many small nodes, each with a few requests per second of each workspace. If every node
held a part of each budget, most of it would be at nodes that do not need it while the store is
unreachable, and every report would go to all nodes. Instead a few nodes of each region hold a
workspace's tokens and reserve them for the requests of all other nodes.
"""

from collections.abc import Iterable

from attrs import frozen

from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.gateway.capacity import select_high_capacity
from bronzetiller.gateway.members import Member

# Of one workspace at one node; requests to its holders then use a tenth of a slow link.
HIGH_DEMAND_REQUESTS_PER_SECOND = 4.0
WITNESSES = 8  # nodes that read all holdings though they may hold none
HOLDERS_PER_REGION = 3  # a crash makes at most a third of the region's tokens unavailable


@frozen
class HolderOrder:
    """List the holders of a workspace in the order in which a node sends them requests."""

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()


@frozen
class HolderRequest:
    """Describe a request to one holder; with may_wait it may first get tokens from the store."""

    node_id: str
    may_wait: bool = False


def choose_witnesses(members: Iterable[Member]) -> set[str]:
    """Return the nodes that read all nodes' holdings, the same at all nodes with the same members.

    Designed for budgets that few nodes hold: if all of these are lost right after the store came
    back without its newest records, others must know what they held.
    """
    return set(rank_nodes("holdings", [item.node_id for item in members])[:WITNESSES])


def choose_holders(
    workspace: str, members: Iterable[Member], regions: dict[str, str]
) -> dict[str, list[str]]:
    """Return a workspace's holders by region, the same at all nodes with the same members."""
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
    """Order holders for one node: itself first, then by a rank that spreads nodes over them."""
    near = rank_nodes(f"{own_id}/{workspace}", holders.get(region, []))
    far = [item for name, items in holders.items() if name != region for item in items]
    return HolderOrder(
        near=tuple(sorted(near, key=lambda node_id: node_id != own_id)),
        far=tuple(rank_nodes(f"{own_id}/{workspace}", far)),
    )


def estimate_share(
    own_id: str, holders: dict[str, list[str]], members: Iterable[Member], regions: dict[str, str]
) -> float:
    """Return the share of a workspace's requests whose tokens a node should hold."""
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
    """Put a node before the holders, as it has enough requests to hold tokens itself."""
    if own_id in order.near:
        return order
    return HolderOrder((own_id, *order.near), order.far)


def plan_nearby_requests(order: HolderOrder) -> list[HolderRequest]:
    """Return the first requests: to nearby holders, for tokens that they hold already."""
    return [HolderRequest(node_id) for node_id in order.near]


def plan_fallback_requests(
    order: HolderOrder, waiting_holder_id: str, *, store_unreachable: bool
) -> list[HolderRequest]:
    """Return the requests to send once no nearby holder has enough tokens.

    The store knows best how many tokens remain; while it is unreachable, holders in other regions
    come first.
    """
    from_store = [HolderRequest(waiting_holder_id, may_wait=True)]
    elsewhere = [HolderRequest(node_id) for node_id in order.far]
    return elsewhere + from_store if store_unreachable else from_store + elsewhere
