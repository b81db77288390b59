"""Compute how many prepaid tokens a node holds for each workspace; no I/O.

Each node keeps one record in the store: the tokens handed out to it, and those it has committed
to requests. The order of the store's log decides which node gets the last tokens: a node that
increased its own total uses the increase only as far as the records before it in the log leave
tokens free. Nodes that write later count the increase in full, so that all nodes together never
use more than a budget.

Tokens held by a node that crashes are lost, except those that it cannot have spent: between two
reports a node commits at most a slack that grows with the time since the last report, and it may
commit all it holds only after it has been disconnected from the store for longer than a restart
takes. Its next incarnation on the same VM counts that slack as spent and returns the rest.
"""

import json
import math
from typing import Any

from attrs import define, evolve, field, frozen

# Weight of a node's share of the workspace's use, against its share of all load.
RATE_WEIGHT = 0.6
# Share of the remaining budget that all nodes hold together; the rest serves single requests.
HELD_SHARE = 0.9
# Time without a report after which a node may commit all it holds; a restart takes less.
DISCONNECTED_SECONDS = 6.0
# Share of the held tokens that may be committed before the next report.
SLACK_HELD_SHARE = 0.03
# In requests of typical size; a request that exceeds the slack waits for one report.
SLACK_REQUESTS = 0.5
# Seconds of use at the current rate, which covers the time between two reports.
SLACK_RATE_SECONDS = 0.5
# Factor of the current rate; a disconnected node delays requests of a burst above that rate.
SLACK_RATE_FACTOR = 1.0
# Two report intervals and a retry; a restart takes about as long.
SLACK_DELAY_SECONDS = 1.2
# Share of the held tokens, so that slack also grows at a node whose rate is not known.
SLACK_HELD_SHARE_PER_SECOND = 0.03
# Share of the target; smaller differences are not corrected.
CHANGE_SHARE_MIN = 0.15
# Weight of earlier requests in the typical size.
SIZE_DECAY = 0.9
# In requests of typical size; with a smaller target a node prefetches nothing.
PREFETCH_REQUESTS_MIN = 2.0


@frozen
class Account:
    """Hold one workspace's tokens in a node's record.

    handed_out counts all tokens that the node ever received less those it returned; committed
    counts those spent or reserved for requests. Beyond that the node may commit slack tokens
    without a further report, and slack_per_second more each second once slack_delay seconds have
    passed. rate is the node's use in tokens per second.
    """

    handed_out: int = 0
    committed: int = 0
    slack: int = 0
    slack_per_second: int = 0
    rate: int = 0
    slack_delay: float = 0.0

    @property
    def is_used(self) -> bool:
        """Return whether the node holds or ever used any of the tokens."""
        return bool(self.handed_out or self.committed)

    def bound_committed(self, seconds: float) -> int:
        """Return an upper bound of the committed tokens, some seconds after the report."""
        if seconds > DISCONNECTED_SECONDS:
            return self.handed_out
        growth = self.slack_per_second * max(0.0, seconds - self.slack_delay)
        return min(self.handed_out, self.committed + self.slack + math.ceil(growth))


@frozen
class HoldingRecord:
    """Hold a node's accounts as the store keeps them.

    epoch increases with each incarnation of the node, number with each record of an incarnation.
    reported_at is the Unix time (seconds) by the VM's clock. clock_steady is false once a jump of
    the clock was detected, so that no elapsed time can be computed from reported_at.
    """

    holder: str
    epoch: int
    number: int
    reported_at: float
    clock_steady: bool
    accounts: dict[str, Account]

    def encode(self) -> bytes:
        """Encode the record as JSON for the store."""
        value = {
            "holder": self.holder,
            "epoch": self.epoch,
            "number": self.number,
            "reported_at": round(self.reported_at, 3),
            "clock_steady": self.clock_steady,
            "accounts": {
                name: [
                    item.handed_out,
                    item.committed,
                    item.slack,
                    item.slack_per_second,
                    item.rate,
                    item.slack_delay,
                ]
                for name, item in self.accounts.items()
            },
        }
        return json.dumps(value, separators=(",", ":")).encode()


def decode_holding_record(value: bytes) -> HoldingRecord | None:
    """Decode a record of the store; return None if it is malformed."""
    try:
        item: Any = json.loads(value)
        accounts = {
            str(name): _decode_account(numbers) for name, numbers in item["accounts"].items()
        }
        return HoldingRecord(
            str(item["holder"]),
            int(item["epoch"]),
            int(item["number"]),
            float(item["reported_at"]),
            item["clock_steady"] is True,
            accounts,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _decode_account(numbers: list[Any]) -> Account:
    """Decode an account; without slack_delay its slack grows from the report on."""
    account = Account(*(int(number) for number in numbers[:5]))
    return account if len(numbers) < 6 else evolve(account, slack_delay=float(numbers[5]))


def reclaim_accounts(record: HoldingRecord, now: float) -> dict[str, Account]:
    """Return a new incarnation's accounts, with all that the last one may have spent as spent.

    now is the Unix time by the same VM's clock, read when the new incarnation starts.
    """
    elapsed = now - record.reported_at
    elapsed_known = record.clock_steady and elapsed >= 0
    accounts = {}
    for name, account in record.accounts.items():
        spent = account.bound_committed(elapsed) if elapsed_known else account.handed_out
        accounts[name] = Account(handed_out=spent, committed=spent)
    return accounts


@define
class Allocation:
    """Hold the tokens of one workspace at this node; times are monotonic seconds.

    reported is the account that the store has acknowledged; proposed is one that was sent and that
    the store may or may not have. waiting holds the tokens of each queued request by its id.
    """

    workspace: str
    prepaid: int
    spent: int = 0
    reserved: int = 0
    reported: Account = field(factory=Account)
    reported_at: float = 0.0
    proposed: Account | None = None
    proposed_at: float = 0.0
    waiting: dict[int, int] = field(factory=dict)
    _mean_square: float = 0.0

    @property
    def committed(self) -> int:
        """Return the tokens that are spent or reserved."""
        return self.spent + self.reserved

    @property
    def held(self) -> int:
        """Return the tokens that this node holds and has not committed."""
        ceiling = self.reported.handed_out
        if self.proposed is not None:
            ceiling = min(ceiling, self.proposed.handed_out)
        return ceiling - self.committed

    @property
    def typical_size(self) -> float:
        """Return the size of a request: the root mean square, so that large ones weigh more."""
        return math.sqrt(self._mean_square)

    def count_available(self, now: float) -> int:
        """Return the tokens that can be reserved before the next report."""
        upper_bound = self.reported.bound_committed(now - self.reported_at)
        if self.proposed is not None:
            upper_bound = min(upper_bound, self.proposed.bound_committed(now - self.proposed_at))
        return upper_bound - self.committed

    def reserve(self, tokens: int, now: float) -> bool:
        """Reserve tokens for a request; return False if too few are available."""
        if tokens > self.count_available(now):
            return False
        self.reserved += tokens
        self._mean_square = SIZE_DECAY * self._mean_square + (1 - SIZE_DECAY) * tokens**2
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Spend the used part of a reservation and release the rest."""
        self.reserved -= reserved
        self.spent += min(reserved, used)

    def predict_available(self, tokens: int, now: float) -> float | None:
        """Return when the tokens can be reserved without a further report, or None."""
        account = self.reported
        if tokens > self.held or self.proposed is not None:
            return None
        lacking = self.committed + tokens - account.committed - account.slack
        if account.slack_per_second <= 0:
            return self.reported_at + DISCONNECTED_SECONDS
        seconds = min(
            DISCONNECTED_SECONDS, account.slack_delay + lacking / account.slack_per_second
        )
        return max(now, self.reported_at + seconds)

    @property
    def shortage(self) -> int:
        """Return the tokens that queued requests need and the node does not hold."""
        return max(0, sum(self.waiting.values()) - self.held)

    def propose(self, handed_out: int, rate: float, now: float) -> Account:
        """Return the account to report, and apply its limits from now on."""
        held = max(0, handed_out - self.committed)
        slack = SLACK_HELD_SHARE * held + SLACK_REQUESTS * self.typical_size
        slack += SLACK_RATE_SECONDS * rate
        slack = max(slack, sum(self.waiting.values()))
        per_second = SLACK_RATE_FACTOR * rate + SLACK_HELD_SHARE_PER_SECOND * held
        self.proposed = Account(
            handed_out,
            self.committed,
            math.ceil(slack),
            math.ceil(per_second),
            int(rate),
            SLACK_DELAY_SECONDS,
        )
        self.proposed_at = now
        return self.proposed

    def accept(self, handed_out_by_others: int) -> int:
        """Apply the recorded proposal as far as tokens are free; return the change."""
        if self.proposed is None:
            return 0
        before = self.reported.handed_out
        available = max(0, self.prepaid - handed_out_by_others)
        handed_out = min(self.proposed.handed_out, max(before, available))
        self.reported = evolve(self.proposed, handed_out=handed_out)
        self.reported_at = self.proposed_at
        self.proposed = None
        return handed_out - before

    def drop_proposal(self) -> None:
        """Discard a proposal that was never recorded."""
        self.proposed = None


def blend_shares(load_share: float, rate: float, rates_total: float) -> float:
    """Return a node's expected share of a workspace, from its recent use and its load share."""
    if rates_total <= 0:
        return load_share
    return RATE_WEIGHT * rate / rates_total + (1 - RATE_WEIGHT) * load_share


def compute_target(allocation: Allocation, *, remaining: int, share: float) -> int:
    """Return the tokens that a node should hold: its share of the remaining budget.

    Near the end of a budget nodes prefetch nothing, so that its last tokens are not split over
    nodes in parts too small for a request.
    """
    target = int(HELD_SHARE * share * max(0, remaining))
    return 0 if target < PREFETCH_REQUESTS_MIN * allocation.typical_size else target


def compute_change(allocation: Allocation, *, target: int, free: int) -> int:
    """Return the tokens to acquire (positive) or return (negative).

    Free tokens are those not handed out to any node; they are negative after a budget was reduced.
    """
    shortage = allocation.shortage
    if shortage > 0:
        if shortage > free:
            return _cover_smallest_request(allocation, free)
        return max(shortage, min(target - allocation.held, free))
    difference = target - allocation.held
    if abs(difference) < CHANGE_SHARE_MIN * target:
        return 0
    return min(difference, max(0, free)) if difference > 0 else difference


def _cover_smallest_request(allocation: Allocation, free: int) -> int:
    """Return the tokens that the smallest queued request lacks, or 0 if fewer are free."""
    lacking = min(allocation.waiting.values()) - allocation.held
    return lacking if 0 < lacking <= free else 0
