"""Look up the token holders of each workspace in the newest list of members."""

from collections.abc import Callable, Iterable

from attrs import define, field

from bronzetiller.gateway.holders import (
    HolderOrder,
    choose_holders,
    choose_witnesses,
    estimate_share,
    order_holders,
)
from bronzetiller.gateway.members import Member
from bronzetiller.gateway.placement import Distances


@define(eq=False)
class HolderMap:
    """Cache the holders of each workspace until the members change."""

    _node_id: str
    _distances: Distances
    _list_members: Callable[[], list[Member]]
    members: list[Member] = field(factory=list)
    _holders: dict[str, dict[str, list[str]]] = field(factory=dict)
    _orders: dict[str, HolderOrder] = field(factory=dict)
    _witnesses: set[str] = field(factory=set)

    def refresh(self) -> None:
        """Update the list of members; clear the cache if nodes joined or left."""
        members = self._list_members()
        if {item.node_id for item in members} != {item.node_id for item in self.members}:
            self._holders.clear()
            self._orders.clear()
            self._witnesses = choose_witnesses(members)
        self.members = members

    def is_witness(self) -> bool:
        """Return whether this node reads all nodes' holdings though it may hold none."""
        return self._node_id in self._witnesses

    def find_holders(self, workspace: str) -> dict[str, list[str]]:
        """Return the holders of a workspace by region."""
        holders = self._holders.get(workspace)
        if holders is None:
            holders = choose_holders(workspace, self.members, self._distances.regions)
            self._holders[workspace] = holders
        return holders

    def find_order(self, workspace: str) -> HolderOrder:
        """Return a workspace's holders in the order in which this node sends them requests."""
        order = self._orders.get(workspace)
        if order is None:
            holders = self.find_holders(workspace)
            order = order_holders(self._node_id, workspace, holders, self._distances.region)
            self._orders[workspace] = order
        return order

    def estimate_share(self, workspace: str) -> float:
        """Return the share of a workspace's requests whose tokens this node should hold."""
        holders = self.find_holders(workspace)
        return estimate_share(self._node_id, holders, self.members, self._distances.regions)

    def list_holders(self, workspaces: Iterable[str]) -> set[str]:
        """Return the ids of the nodes that hold tokens of any of the workspaces."""
        return {
            node_id
            for workspace in workspaces
            for node_ids in self.find_holders(workspace).values()
            for node_id in node_ids
        }
