"""Maintain connections to the peers that this node sends requests to."""

from collections.abc import Callable, Iterable

from attrs import define

from bronzetiller.fleet.peers import Peers, PeerVm
from bronzetiller.gateway.members import Member
from bronzetiller.gateway.placement import Distances
from bronzetiller.net.address import Address, parse_address
from bronzetiller.net.scheduler import Scheduler

REFRESH_SECONDS = 0.5  # half of a heartbeat interval


def make_seed_id(address: Address) -> str:
    """Return an id for a peer of which only the address is known."""
    return f"seed/{address}"


@define(eq=False)
class PeerLinks:
    """Link to the members that are needed, and to the seeds until the store has been read."""

    _scheduler: Scheduler
    _peers: Peers
    _distances: Distances
    _seeds: list[Address]
    _list_members: Callable[[], list[Member]]
    _list_wanted_ids: Callable[[], Iterable[str]]
    _is_complete: Callable[[], bool]

    def start(self) -> None:
        """Start following the membership."""
        self._scheduler.call_every(REFRESH_SECONDS, self.refresh)
        self.refresh()

    def list_seeds(self) -> list[str]:
        """Return the ids of the seeds."""
        return [make_seed_id(address) for address in self._seeds]

    def refresh(self) -> None:
        """Connect to the peers that are needed now and disconnect from all others."""
        wanted = set(self._list_wanted_ids())
        vms = [
            PeerVm(item.node_id, parse_address(item.peers_address), self._classify_distance(item))
            for item in self._list_members()
            if item.node_id in wanted and item.peers_address
        ]
        if not self._is_complete():
            vms += [PeerVm(make_seed_id(address), address) for address in self._seeds]
        self._peers.set_peers(vms)

    def _classify_distance(self, member: Member) -> str:
        if member.data_centre == self._distances.data_centre:
            return "near"
        same_region = self._distances.regions.get(member.data_centre) == self._distances.region
        return "region" if same_region else "far"
