"""Choose the peers that serve the requests of a node that is cut off from targets; no I/O.

Designed for a node, most nodes of a data centre or most of a fleet that reach no target of a
service for seconds, while peers that do have capacity left. Peers that are cut off themselves say
so in their heartbeats. All nodes that are cut off together forward at most what the peers in touch
can bear; the rest is refused at once. Requests that are limited to regions go only to peers there.
"""

from collections.abc import Callable, Collection

from attrs import define, field

from bronzetiller.gateway.allowed_regions import allows
from bronzetiller.gateway.configuration import AllowedRegions
from bronzetiller.gateway.failure_sums import FailureSums
from bronzetiller.gateway.members import Member
from bronzetiller.gateway.placement import Distances

PEER_UTILIZATION_MAX = 0.7  # of a peer's capacity, with the requests that are forwarded to it
PEER_SHARE_MIN = 0.02  # of a peer's capacity, as its load is known with a delay
BURST_SECONDS = 1.0
AVOID_SECONDS = 2.0  # after a peer did not accept a connection
SAME_DATA_CENTRE_WEIGHT = 1.0
SAME_REGION_WEIGHT = 0.7
OTHER_REGION_WEIGHT = 0.2  # links between regions are slow and narrow


@define(eq=False)
class PeerForwarder:
    """Choose peers and count the requests forwarded to them; times are monotonic seconds.

    list_regions returns the regions in which a service has targets, list_unreached the data centres
    that this node does not reach.
    """

    _own_id: str
    _distances: Distances
    _list_members: Callable[[], list[Member]]
    _draw_uniform: Callable[[], float]
    _list_regions: Callable[[str], set[str]] = lambda service: set()
    _list_unreached: Callable[[], set[str]] = set
    _is_congested: Callable[[], bool] = lambda: False
    _requests: float = 0.0
    _refilled_at: float = 0.0
    _avoid_until: dict[str, float] = field(factory=dict)
    failures: FailureSums = field(factory=FailureSums)

    def list_peers(
        self, services: Collection[str], now: float, allowed: AllowedRegions = None
    ) -> list[Member]:
        """Return the peers in allowed regions that reach targets of one of the services there.

        None while this node's own link is full, which the forwarded requests would share. Peers in
        other data centres that this node does not reach are returned if there are no others: a
        connection to them may open and stay silent.
        """
        if self._is_congested():
            return []
        peers = [
            item
            for item in self._list_members()
            if item.node_id != self._own_id
            and not item.full
            and self._reaches(item, services, allowed)
            and allows(allowed, self._distances.regions.get(item.data_centre))
            and self._avoid_until.get(item.node_id, 0.0) <= now
        ]
        unreached = self._list_unreached() - {self._distances.data_centre}
        return [item for item in peers if item.data_centre not in unreached] or peers

    def choose(
        self, services: Collection[str], now: float, allowed: AllowedRegions = None
    ) -> Member | None:
        """Choose a peer for one request and count it; None if the peers can bear no more."""
        peers = self.list_peers(services, now, allowed)
        self._refill(services, peers, now, allowed)
        if not peers or self._requests < 1.0:
            return None
        self._requests -= 1.0
        # The largest of these draws is each peer's with a probability in proportion to its weight.
        return max(peers, key=lambda item: self._draw_uniform() ** (1.0 / self._weigh(item)))

    def avoid(self, node_id: str, now: float) -> None:
        """Leave a peer alone that could not be reached."""
        self._avoid_until[node_id] = now + AVOID_SECONDS

    def _reaches(self, member: Member, services: Collection[str], allowed: AllowedRegions) -> bool:
        """Return whether a member reaches a target of the services in an allowed region."""
        reached = set(services).difference(member.cut_off)
        if allowed is None:
            return bool(reached)
        return any(
            self._list_regions(name)
            .intersection(allowed)
            .difference(member.cut_off_regions.get(name, ()))
            for name in reached
        )

    def _refill(
        self,
        services: Collection[str],
        peers: list[Member],
        now: float,
        allowed: AllowedRegions,
    ) -> None:
        """Add the requests that may be forwarded since the last one."""
        cut_off = 1 + sum(
            not self._reaches(item, services, allowed)
            for item in self._list_members()
            if item.node_id != self._own_id
        )
        rate = sum(map(_estimate_spare, peers)) / cut_off
        burst = max(1.0, BURST_SECONDS * rate)
        self._requests = min(burst, self._requests + rate * (now - self._refilled_at))
        self._refilled_at = now

    def _weigh(self, member: Member) -> float:
        weight = OTHER_REGION_WEIGHT
        if member.data_centre == self._distances.data_centre:
            weight = SAME_DATA_CENTRE_WEIGHT
        elif self._distances.regions.get(member.data_centre) == self._distances.region:
            weight = SAME_REGION_WEIGHT
        return weight * max(PEER_SHARE_MIN * member.capacity, _estimate_spare(member))


def _estimate_spare(member: Member) -> float:
    """Return the requests per second that a member can serve beside those of its own callers."""
    own_load = member.load - member.forwarded_load
    return max(0.0, PEER_UTILIZATION_MAX * member.capacity - own_load)
