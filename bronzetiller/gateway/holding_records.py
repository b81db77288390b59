"""Hold the newest holding record of each node through restorations of the store; no I/O.

The store may come back without its newest records. What a node has read stays known to it, and
every record is written again in the new era: by its node, or by one of a few others if that node is
gone. Until all records known are of the new era, or a settling time has passed, tokens that look
free may be in use, and a node that starts cannot know what its last incarnation held.

Designed for fleets in which most nodes outlive a restoration: a node that is gone costs at most
VOUCHERS_MAX appends, at any number of nodes.
"""

import heapq
import zlib

from attrs import define, evolve, field

from bronzetiller.gateway.allocations import HoldingRecord

# For nodes to write their own records again: an idle one reads the store once a second.
REWRITE_SECONDS = 1.5
VOUCH_INTERVAL_SECONDS = 0.2  # an append and a read by the node that is next in order
VOUCHERS_MAX = 5
SETTLING_SECONDS = 3.0


@define(eq=False)
class HoldingRecords:
    """Hold the newest record of each node by epoch and number, and what the store has of it.

    Times are monotonic seconds of this node.
    """

    _node_id: str
    newest: dict[str, HoldingRecord] = field(factory=dict)
    era: int = -1
    _stored: dict[str, HoldingRecord] = field(factory=dict)
    _remembered: dict[str, HoldingRecord] = field(factory=dict)
    _settles_at: float | None = None
    _rewritten_at: float = 0.0
    _vouched: set[str] = field(factory=set)

    def begin_era(self, era: int, now: float) -> bool:
        """Prepare for all newest records of an era; return whether the store was restored."""
        restored = era != self.era and self.era >= 0
        if restored:
            for node_id, record in self._remembered.items():
                self.apply(node_id, record)
            self._remembered.clear()
            self._stored.clear()
            self._vouched.clear()
            self._start_settling(now)
        self.era = era
        return restored

    def end_read(self, now: float) -> None:
        """Start settling if records of an earlier era are found by a node that just started."""
        if self._settles_at is None and self.list_outdated():
            self._start_settling(now)

    def _start_settling(self, now: float) -> None:
        self._rewritten_at = now + REWRITE_SECONDS
        self._settles_at = now + SETTLING_SECONDS

    def apply(self, node_id: str, record: HoldingRecord) -> None:
        """Apply a record that the store has."""
        self._stored[node_id] = record
        known = self.newest.get(node_id)
        if known is None or _get_order(record) >= _get_order(known):
            self.newest[node_id] = record

    def remember(self, node_id: str, record: HoldingRecord) -> None:
        """Keep a record that the store has, for the case that the store loses it."""
        self._remembered[node_id] = record

    @property
    def is_settled(self) -> bool:
        """Return whether all holdings are known, as far as any node can tell."""
        return self._settles_at is None

    def settle(self, now: float) -> bool:
        """Return whether all holdings have just become known."""
        if self._settles_at is None or now < self._rewritten_at:
            return False
        if now < self._settles_at and self.list_outdated():
            return False
        self._settles_at = None
        return True

    def count_seconds_left(self, now: float) -> float:
        """Return the time until all holdings count as known, at most."""
        return 0.0 if self._settles_at is None else max(0.0, self._settles_at - now)

    def is_certain(self, record: HoldingRecord) -> bool:
        """Return whether a record is the last one of its node that the store acknowledged."""
        return record.era in (None, self.era) and not record.vouched

    def is_outdated(self, node_id: str) -> bool:
        """Return whether the store lacks a node's newest record, or has it of an earlier era."""
        stored = self._stored.get(node_id)
        return self._is_lost(node_id) or (stored is not None and stored.era not in (None, self.era))

    def _is_lost(self, node_id: str) -> bool:
        stored, known = self._stored.get(node_id), self.newest.get(node_id)
        if known is None:
            return False
        return stored is None or _get_order(stored) < _get_order(known)

    def list_outdated(self) -> list[str]:
        """Return the nodes whose records must be written again."""
        return [node_id for node_id in self.newest if self.is_outdated(node_id)]

    def take_vouched(self, now: float, *, is_starting: bool) -> dict[str, HoldingRecord]:
        """Return the records that this node is to write again now, each once.

        A node that is starting has no record of its own yet and writes only what the store lost,
        which few of them know.
        """
        if self._settles_at is None or now < self._rewritten_at:
            return {}
        outdated = [name for name in self.list_outdated() if name not in self._vouched]
        if is_starting:
            chosen = [name for name in outdated if self._is_lost(name)]
        else:
            passed = int((now - self._rewritten_at) / VOUCH_INTERVAL_SECONDS)
            vouchers = min(VOUCHERS_MAX, passed + 1)
            chosen = [
                name
                for name in outdated
                if name != self._node_id and self._node_id in self._choose_vouchers(name, vouchers)
            ]
        self._vouched.update(chosen)
        return {name: evolve(self.newest[name], era=self.era, vouched=True) for name in chosen}

    def _choose_vouchers(self, node_id: str, count: int) -> list[str]:
        """Return some of the nodes that wrote in this era, in an order that all nodes agree on."""
        present = [
            name
            for name, record in self._stored.items()
            if record.era == self.era and not record.vouched
        ]
        return heapq.nsmallest(
            count, present, lambda name: zlib.crc32(f"{name}/{node_id}".encode())
        )


def _get_order(record: HoldingRecord) -> tuple[int, int]:
    return record.epoch, record.number
