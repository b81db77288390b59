"""Track the nodes of the fleet through their records in the store.

In a large data centre one node reads the heartbeats of all nodes; the others receive from it only
what changed in more than the heartbeat: nodes that came, left, fell silent or have another load.
"""

import json
from collections.abc import Callable
from functools import lru_cache
from random import Random
from typing import Any

from attrs import define, evolve, field, frozen
from result import Err, Result

from bronzetiller.gateway.statements import Statement, decode_statements, encode_statements
from bronzetiller.json_values import decode_json
from bronzetiller.logs import log_event
from bronzetiller.net.address import parse_address
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.topics import NODES_TOPIC
from bronzetiller.storage.change_list import ChangeList
from bronzetiller.storage.keyed import (
    AppendFailure,
    KeyedReader,
    KeyedRecord,
    KeyedStore,
    Partition,
)
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.backoff import Backoff

NODES_PARTITION = Partition(NODES_TOPIC)
HEARTBEAT_SECONDS = 1.0
HEARTBEAT_TIMEOUT_SECONDS = 3.5  # three heartbeat intervals and the pause between two reads
# From a heartbeat without a response to the next one, so that a slow store does not make this node
# look silent.
RESPONSE_SECONDS_MAX = 1.25
# From a heartbeat that failed to the next one.
RETRY_SECONDS_MIN = 1.0
RETRY_SECONDS_MAX = 1.5
# Changes of a node's load that are relayed: as a share of it, and at least in requests per second.
LOAD_CHANGE_SHARE_MIN = 0.25
LOAD_CHANGE_MIN = 2.0
DECODED_MEMBERS_MAX = 2_048
# Added to the load of each node, as the load of a small node varies most.
BASE_LOAD_REQUESTS_PER_SECOND = 4.0


@frozen
class Member:
    """Describe a node; beat changes with each heartbeat.

    load is the requests per second that the node receives, capacity those that it can handle, and
    forwarded_load those that it receives from peers.
    limits holds the requests per second that targets state to accept from the fleet, brittle the
    refusals per second that the targets of a service state to survive, cut_off the services of
    which the node reaches no target, leaving the targets that say that they are leaving, and
    cut_off_regions, by service, the regions in which the node reaches none of its targets.
    full is whether the node's own link or processor is full, so that lookups should not name it.
    """

    node_id: str
    address: str
    data_centre: str
    incarnation: str
    serving: bool
    peers_address: str = ""
    beat: int = 0
    load: float = 0.0
    capacity: float = 1.0
    limits: dict[str, Statement] = field(factory=dict)
    brittle: dict[str, Statement] = field(factory=dict)
    cut_off: tuple[str, ...] = ()
    forwarded_load: float = 0.0
    leaving: dict[str, Statement] = field(factory=dict)
    cut_off_regions: dict[str, tuple[str, ...]] = field(factory=dict)
    full: bool = False

    @property
    def expected_load(self) -> float:
        """Return the requests per second to expect at the node."""
        return BASE_LOAD_REQUESTS_PER_SECOND + self.load

    def encode(self) -> bytes:
        """Encode the record as JSON for the store."""
        value = {
            "address": self.address,
            "data_centre": self.data_centre,
            "incarnation": self.incarnation,
            "serving": self.serving,
            "peers_address": self.peers_address,
            "beat": self.beat,
            "load": round(self.load, 2),
            "capacity": round(self.capacity, 2),
            **encode_statements("limits", self.limits),
            **encode_statements("brittle", self.brittle),
            "cut_off": self.cut_off,
            "forwarded_load": round(self.forwarded_load, 2),
            **(encode_statements("leaving", self.leaving) if self.leaving else {}),
            **({"cut_off_regions": self.cut_off_regions} if self.cut_off_regions else {}),
            **({"full": True} if self.full else {}),
        }
        return json.dumps(value).encode()


def decode_member(node_id: str, value: bytes) -> Member | None:
    """Decode a record of the store; return None if it is malformed."""
    member = _decode_anonymous(value)
    return None if member is None else evolve(member, node_id=node_id)


@lru_cache(DECODED_MEMBERS_MAX)
def _decode_anonymous(value: bytes) -> Member | None:
    """Decode a record without the node's id, which is the record's key."""
    try:
        item: Any = decode_json(value)
        peers_address = str(item.get("peers_address", ""))
        for address in filter(None, (str(item["address"]), peers_address)):
            parse_address(address)
        capacity = float(item.get("capacity", 1.0))
        if capacity <= 0:
            raise ValueError(f"a capacity must be positive, not {capacity}")
        return Member(
            "",
            str(item["address"]),
            str(item["data_centre"]),
            str(item["incarnation"]),
            item["serving"] is True,
            peers_address,
            int(item["beat"]),
            float(item.get("load", 0.0)),
            capacity,
            decode_statements("limits", item),
            decode_statements("brittle", item),
            tuple(map(str, item.get("cut_off", ()))),
            float(item.get("forwarded_load", 0.0)),
            decode_statements("leaving", item),
            {
                str(service): tuple(map(str, regions))
                for service, regions in item.get("cut_off_regions", {}).items()
            },
            item.get("full") is True,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def has_member_changed(before: bytes | None, after: bytes | None) -> bool:
    """Return whether a record changed in more than its heartbeat and a little load."""
    known = None if before is None else _decode_anonymous(before)
    newer = None if after is None else _decode_anonymous(after)
    if known is None or newer is None:
        return known is not newer
    if _has_load_changed(known.load, newer.load):
        return True
    if _has_load_changed(known.forwarded_load, newer.forwarded_load):
        return True
    beat, load, forwarded_load = newer.beat, newer.load, newer.forwarded_load
    return evolve(known, beat=beat, load=load, forwarded_load=forwarded_load) != newer


def _has_load_changed(before: float, after: float) -> bool:
    return abs(after - before) > max(LOAD_CHANGE_MIN, LOAD_CHANGE_SHARE_MIN * before)


@define(eq=False)
class Members:
    """Publish this node's record and follow those of the other nodes.

    A node that reads the store itself discards members without heartbeats; one that reads through
    a peer goes by what the peer discards. _last_seen_at holds monotonic seconds by node id, and
    acknowledged_at is when the newest record in the store was sent that says that this node serves.
    """

    _scheduler: Scheduler
    _store: KeyedStore
    _reader: KeyedReader
    _describe_self: Callable[[], Member]
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    members: dict[str, Member] = field(factory=dict)
    _last_seen_at: dict[str, float] = field(factory=dict)
    _newest_beats: dict[str, tuple[str, int]] = field(factory=dict)
    follower: KeyedFollower = field(init=False)
    acknowledged_at: float = float("-inf")
    _publish_from: float = float("-inf")
    _heartbeat_number: int = 0
    _backoff: Backoff = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._backoff = Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, self._draw_uniform)
        self.follower = KeyedFollower(
            self._scheduler,
            self._reader,
            NODES_PARTITION,
            self._on_change,
            wait_seconds=0.0,
            pause_seconds=HEARTBEAT_SECONDS,
            changes=ChangeList(has_member_changed),
        )

    def start(self) -> None:
        """Start publishing and following."""
        self.follower.start()
        self._scheduler.call_every(HEARTBEAT_SECONDS, self._discard_silent)
        self.publish()
        # Nodes that were started at once must not write at once from then on.
        phase_seconds = HEARTBEAT_SECONDS * self._draw_uniform()
        self._scheduler.call_after(phase_seconds, self._publish_regularly)

    def _publish_regularly(self) -> None:
        self._scheduler.call_every(HEARTBEAT_SECONDS, self.publish)
        self.publish()

    def publish(self) -> None:
        """Write this node's record, unless the last write just began or failed."""
        now = self._scheduler.now()
        if now < self._publish_from:
            return
        self._publish_from = now + RESPONSE_SECONDS_MAX
        self._heartbeat_number += 1
        own = evolve(self._describe_self(), beat=self._heartbeat_number)

        def handle_result(result: Result[int, AppendFailure]) -> None:
            if isinstance(result, Err):
                log_event("heartbeat_unwritten", level=30, beat=own.beat, cause=result.err_value)
            else:
                self._backoff.reset()
                self.acknowledged_at = now if own.serving else float("-inf")
            if own.beat != self._heartbeat_number:
                return
            self._publish_from = self._scheduler.now()
            if isinstance(result, Err):
                self._publish_from = max(self._publish_from, now + self._backoff.next_seconds())
                self._scheduler.call_at(self._publish_from, self.publish)

        self._store.append(NODES_PARTITION, own.node_id, own.encode(), None, handle_result)

    def list_serving(self) -> list[Member]:
        """Return the nodes that serve callers; this node's own state is read directly."""
        own = self._describe_self()
        others = [item for item in self.list_others_alive() if item.serving]
        return [*others, own] if own.serving else others

    def list_others_alive(self) -> list[Member]:
        """Return the other nodes that send heartbeats, also those that do not serve callers."""
        own_id = self._describe_self().node_id
        return [
            item
            for item in self.members.values()
            if item.node_id != own_id and not self._is_silent(item.node_id)
        ]

    def _is_silent(self, node_id: str) -> bool:
        """Return whether a node sent no heartbeat for too long, as of the last read.

        Nobody could write heartbeats before the store was regained.
        """
        if not self.follower.is_direct:
            return False
        follower = self.follower
        seen_at = max(self._last_seen_at[node_id], follower.regained_at or 0.0)
        return follower.read_at - seen_at > HEARTBEAT_TIMEOUT_SECONDS

    def _discard_silent(self) -> None:
        """Discard the members without heartbeats; those relayed by a peer count as seen now."""
        if not self.follower.is_direct:
            self._last_seen_at = dict.fromkeys(self.members, self._scheduler.now())
            return
        own_id = self._describe_self().node_id
        for node_id in list(self.members):
            if node_id != own_id and self._is_silent(node_id):
                del self.members[node_id]
                self.follower.discard(node_id)
                log_event("member_silent", member=node_id)

    def count_nodes(self) -> int:
        """Return the number of nodes that serve callers, at least 1."""
        return max(1, len(self.list_serving()))

    def _on_change(self, records: list[KeyedRecord]) -> None:
        for record in records:
            member = None if record.value is None else decode_member(record.key, record.value)
            previous = self.members.get(record.key)
            if member is None:
                if not self._is_lost_in_restoration():
                    self.members.pop(record.key, None)
                continue
            if self._is_outdated(member):
                log_event("member_outdated", member=member.node_id, beat=member.beat)
                continue
            self._newest_beats[record.key] = (member.incarnation, member.beat)
            self.members[record.key] = member
            self._last_seen_at[record.key] = self._scheduler.now()
            if (
                previous is None
                or previous.incarnation != member.incarnation
                or (previous.serving != member.serving)
            ):
                log_event(
                    "member_changed",
                    member=member.node_id,
                    address=member.address,
                    incarnation=member.incarnation,
                    serving=member.serving,
                )

    def _is_lost_in_restoration(self) -> bool:
        """Return whether a record is missing because the store was just restored from a copy.

        Its node writes it again, or falls silent, which only a node that reads directly notices.
        """
        return self.follower.is_direct and self.follower.is_restoring

    def _is_outdated(self, member: Member) -> bool:
        """Return whether a record is older than one that was read, or of a node that fell silent.

        A late append was executed after a newer one, a copy of the store brought the record back,
        or all newest records were read again.
        """
        incarnation, beat = self._newest_beats.get(member.node_id, ("", -1))
        if member.incarnation != incarnation or member.beat > beat:
            return False
        return member.beat < beat or member.node_id not in self.members
