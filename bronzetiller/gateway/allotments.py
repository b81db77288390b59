"""Decide how many prepaid tokens a node holds for each workspace; pure.

A budget is one record that counts the tokens handed out to all nodes. A node adds to it, under the
condition that nobody else did meanwhile, before it spends; what it hands back it subtracts. What a
dead node held stays handed out, so that nothing is ever spent twice.
"""

import json
import math
from typing import Any

from attrs import define, field, frozen

HORIZON_SECONDS = 11.0  # nodes are cut off from the store for up to about ten seconds
LOW_SHARE = 0.7  # of the wanted tokens, below which more are asked for
SURPLUS_FACTOR = 2.0  # times the wanted tokens, above which the rest is handed back
FIRST_SHARE = 0.3  # of a budget, held by all nodes together before any demand is known
FREE_SHARE_MAX = 0.5  # of the free tokens that all nodes may ask for ahead of need


@frozen
class BudgetRecord:
    """Count the tokens that nodes hold or have spent; writer names the last change."""

    handed_out: int = 0
    writer: str = ""

    def encode(self) -> bytes:
        """Return the record as the store keeps it."""
        return json.dumps({"handed_out": self.handed_out, "writer": self.writer}).encode()


def read_budget_record(value: bytes) -> BudgetRecord | None:
    """Read a record of the store, or nothing where it is malformed."""
    try:
        item: Any = json.loads(value)
        record = BudgetRecord(item["handed_out"], item["writer"])
    except (ValueError, KeyError, TypeError):
        return None
    valid = type(record.handed_out) is int and type(record.writer) is str
    return record if valid else None


@define
class Allotment:
    """Hold the tokens of one workspace at this node.

    balance are the tokens that can be reserved, reserved those of requests that run.
    """

    workspace: str
    prepaid: int
    balance: int = 0
    reserved: int = 0
    waiting: dict[int, int] = field(factory=dict)
    largest: int = 0

    def reserve(self, tokens: int) -> bool:
        """Set tokens aside for a request, or say that the balance does not cover them."""
        self.largest = max(self.largest, tokens)
        if tokens > self.balance:
            return False
        self.balance -= tokens
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Spend a part of what was set aside and put the rest back."""
        self.reserved -= reserved
        self.balance += max(0, reserved - used)

    @property
    def shortage(self) -> int:
        """Return the tokens that waiting requests lack."""
        return max(0, sum(self.waiting.values()) - self.balance)


def size_wanted(allotment: Allotment, *, rate: float | None, nodes: int) -> int:
    """Return the tokens that a node should hold, by its use a second."""
    if rate is None:
        return math.ceil(FIRST_SHARE * allotment.prepaid / max(1, nodes))
    return math.ceil(rate * HORIZON_SECONDS) + allotment.largest


def size_request(allotment: Allotment, *, wanted: int, free: int, nodes: int) -> int:
    """Return the tokens to ask for, or 0: what waiting requests lack, and ahead of need a share."""
    shortage = allotment.shortage
    if shortage > free:
        # The newest requests may not fit; the smallest that does is served.
        fitting = list(allotment.waiting.values())
        lacking = min(fitting, default=0) - allotment.balance
        return lacking if 0 < lacking <= free else 0
    ahead = 0
    if allotment.balance < LOW_SHARE * wanted:
        ahead = min(wanted - allotment.balance, int(free * FREE_SHARE_MAX / max(1, nodes)))
    return max(shortage, ahead, 0)


def size_return(allotment: Allotment, *, wanted: int) -> int:
    """Return the tokens to hand back, or 0."""
    if allotment.waiting or allotment.balance <= SURPLUS_FACTOR * wanted + allotment.largest:
        return 0
    return allotment.balance - wanted
