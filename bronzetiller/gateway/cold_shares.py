"""Share among the nodes what cold targets accept, so that all together never exceed it; no I/O.

A few nodes nearest to a target have a share, the others none. A node uses its shares only while its
own heartbeats and its view of the fleet are recent, and only once its heartbeats have been so for
longer than a view may be old. Any two nodes that use shares therefore know of each other, and no
more than the intended number of them rank first at the same time, whatever other nodes they know.

Designed for targets that accept some requests per second, before 2 to some hundred nodes of which
any number may be cut off, lost or just started.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bronzetiller.gateway.nearest_nodes import NearestNodes

# Age of the newest own heartbeat in the store. Other nodes keep a node for as long without one
# (members.HEARTBEAT_TIMEOUT_SECONDS), so that it stops before they take its place.
HEARTBEAT_SECONDS_MAX = 3.5
# Age of the view of the fleet: up to 3.3 s through two relays at 330 nodes, and half a second until
# it is used, both in the simulated fleet.
VIEW_SECONDS_MAX = 5.0
# Of uninterrupted heartbeats before a node uses shares: the age of the others' views, the second in
# which arrivals are counted, and the time that requests which were already sent may take.
SETTLE_SECONDS = 6.5
SHARES_MAX = 3
# Of the bound; the rest covers requests that are delayed on the way and arrive closer together.
USED_PORTION = 0.85
# Of the bound for each node with a share: one saved request, and one in the second.
REQUESTS_PER_SHARE_MIN = 2.0
# From which a share saves two requests, so that one is left for the most urgent requests.
REQUESTS_PER_SHARE_OF_TWO = 5.0


@frozen
class Contact:
    """Hold when the newest heartbeat in the store was sent, and as of when the nodes are known.

    All are monotonic seconds; the heartbeat says that this node serves callers. restored_at is when
    the store was last found in an older state, which may lack nodes until they write again.
    """

    acknowledged_at: float
    confirmed_at: float
    restored_at: float = float("-inf")


@frozen
class ShareSize:
    """Hold the number of shares of a target, the requests that each saves, and its rate."""

    count: int
    saved_max: float
    requests_per_second: float


def size_shares(per_second: float, overage: float, slack: float) -> ShareSize:
    """Size the shares so that what all save, and get in a second, fits the bound of one second.

    A share that moves counts once, as the node that gets it has saved nothing yet.
    """
    usable = USED_PORTION * (per_second * overage + slack)
    count = min(SHARES_MAX, int(usable / REQUESTS_PER_SHARE_MIN))
    if count == 0 or per_second <= 0:
        return ShareSize(0, 0.0, 0.0)
    saved_max = 2.0 if usable / count >= REQUESTS_PER_SHARE_OF_TWO else 1.0
    total = min(per_second, usable - count * saved_max)
    return ShareSize(count, saved_max, total / count)


@define
class _Share:
    """Hold the requests that a node may still send to a target, as of a time."""

    requests: float
    at: float


@define(eq=False)
class ColdShares:
    """Hold this node's shares of cold targets; times are monotonic seconds."""

    _node_id: str
    _regions: Mapping[str, str]
    _nodes: NearestNodes = field(init=False)
    _kept_until: float = float("-inf")
    _viewed_until: float = float("-inf")
    _settled_from: float = float("inf")
    _shares: dict[str, _Share] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._nodes = NearestNodes(self._node_id, self._regions)

    def refresh(self, nodes: Iterable[tuple[str, str]], contact: Contact, now: float) -> None:
        """Update the serving nodes, given with their data centres; this node is one if it serves.

        After a gap in its heartbeats, others may have taken its place. After a restoration of the
        store, the nodes may not know each other.
        """
        nodes = list(nodes)
        was_kept = now <= self._kept_until
        self._nodes.update(nodes, now)
        is_serving = any(node_id == self._node_id for node_id, _ in nodes)
        kept_until = contact.acknowledged_at + HEARTBEAT_SECONDS_MAX
        self._kept_until = kept_until if is_serving else float("-inf")
        self._viewed_until = contact.confirmed_at + VIEW_SECONDS_MAX
        if now > self._kept_until:
            self._settled_from = float("inf")
        elif not was_kept:
            self._settled_from = now + SETTLE_SECONDS
            self._shares.clear()
        if contact.restored_at + SETTLE_SECONDS > self._settled_from:
            self._settled_from = contact.restored_at + SETTLE_SECONDS
            self._shares.clear()

    def is_settled(self, now: float) -> bool:
        """Return whether this node may use shares."""
        return self._settled_from <= now <= min(self._kept_until, self._viewed_until)

    def has_share(self, subject: str, data_centre: str, size: ShareSize, now: float) -> bool:
        """Return whether this node has a share of a target."""
        if not self.is_settled(now):
            return False
        return self._node_id in self._nodes.rank(subject, data_centre)[: size.count]

    def find_free_at(
        self, subject: str, data_centre: str, size: ShareSize, now: float, *, is_urgent: bool
    ) -> float:
        """Return when this node may send its next request, infinite if it has no share.

        Requests that are not urgent leave one for those that are, if the share saves two.
        """
        if not self.has_share(subject, data_centre, size, now):
            self._shares.pop(subject, None)
            return float("inf")
        share = self._refill(subject, size, now)
        needed = 1.0 if is_urgent else size.saved_max
        return now + max(0.0, (needed - share.requests) / size.requests_per_second)

    def take(self, subject: str, size: ShareSize, now: float) -> None:
        """Use up one request of this node's share."""
        self._refill(subject, size, now).requests -= 1.0

    def drop(self, subject: str) -> None:
        """Drop what was saved for a target."""
        self._shares.pop(subject, None)

    def _refill(self, subject: str, size: ShareSize, now: float) -> _Share:
        share = self._shares.setdefault(subject, _Share(0.0, now))
        gained = size.requests_per_second * (now - share.at)
        share.requests = min(size.saved_max, share.requests + gained)
        share.at = now
        return share
