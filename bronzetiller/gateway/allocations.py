"""Decide how many prepaid tokens a node holds for each workspace; pure.

Each node keeps one record in the store: the tokens handed out to it, and those it has committed
to requests. The order of the store's log decides who gets the last tokens: a node that raised its
own record uses the raise only as far as the records before it leave room. Whoever writes later
counts the raise in full, so that all nodes together never use more than a budget.

A node that dies takes what it held with it, but for what it cannot have spent: between two reports
it commits at most a slack that grows with the time since the last one, and all it holds only once
it has been cut off for longer than a restart takes. Its next incarnation on the
same VM counts that slack as spent and hands back the rest.
"""

import json
import math
from typing import Any

from attrs import define, evolve, field, frozen

RATE_WEIGHT = 0.6  # of a workspace's own use against the load of all, in a node's share
HELD_SHARE = 0.9  # of what is left of a budget, held by all nodes; the rest serves single requests
DISCONNECTED_SECONDS = (
    6.0  # without a report, after which all that is held may go: restarts take less
)
SLACK_HELD_SHARE = 0.03  # of the held tokens, that may go before the next report
SLACK_REQUESTS = 0.5  # of the usual size; a request beyond the slack waits for one report
SLACK_RATE_SECONDS = 0.5  # of the usual rate, between two reports
SLACK_RATE_FACTOR = 1.0  # of the usual rate; a node that is cut off waits out its bursts
SLACK_DELAY_SECONDS = 1.2  # two reports and a repeat; a restart takes about as long
SLACK_HELD_SHARE_PER_SECOND = 0.03  # of the held tokens, for a node without a known rate
CHANGE_SHARE_MIN = 0.15  # of the target, below which a difference is left as it is
SIZE_DECAY = 0.9  # weight of earlier requests in their usual size
PREFETCH_REQUESTS_MIN = 2.0  # requests of usual size, below which nothing is held ahead of need


@frozen
class Account:
    """Hold one workspace's tokens in a node's record.

    handed_out is all that the node ever got less what it handed back; committed is spent or set
    aside for requests; the slack (tokens, and after slack_delay seconds tokens a second) may be
    committed beyond that without a further report. rate is the node's use in tokens a second.
    """

    handed_out: int = 0
    committed: int = 0
    slack: int = 0
    slack_per_second: int = 0
    rate: int = 0
    slack_delay: float = 0.0

    @property
    def is_used(self) -> bool:
        """Say whether the node holds or ever used any of the tokens."""
        return bool(self.handed_out or self.committed)

    def bound_committed(self, seconds: float) -> int:
        """Return the most that can have been committed so long after the report."""
        if seconds > DISCONNECTED_SECONDS:
            return self.handed_out
        growth = self.slack_per_second * max(0.0, seconds - self.slack_delay)
        return min(self.handed_out, self.committed + self.slack + math.ceil(growth))


@frozen
class HoldingRecord:
    """Hold a node's accounts; reported_at is the Unix time (seconds) by the VM's clock.

    epoch grows with each incarnation of the node, number with each record of an incarnation.

    clock_steady is false once the clock was seen to jump, so that no elapsed time follows from it.
    """

    holder: str
    epoch: int
    number: int
    reported_at: float
    clock_steady: bool
    accounts: dict[str, Account]

    def encode(self) -> bytes:
        """Return the record as the store keeps it."""
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
    """Read a record of the store, or nothing where it is malformed."""
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
    """Read an account; one without a delay is from a node whose slack grew at once."""
    account = Account(*(int(number) for number in numbers[:5]))
    return account if len(numbers) < 6 else evolve(account, slack_delay=float(numbers[5]))


def reclaim_accounts(record: HoldingRecord, now: float) -> dict[str, Account]:
    """Return the accounts of a node's next incarnation: what the last one may have spent is spent.

    now is the Unix time by the same VM's clock, read as the new incarnation starts.
    """
    elapsed = now - record.reported_at
    known = record.clock_steady and elapsed >= 0
    accounts = {}
    for name, account in record.accounts.items():
        spent = account.bound_committed(elapsed) if known else account.handed_out
        accounts[name] = Account(handed_out=spent, committed=spent)
    return accounts


@define
class Allocation:
    """Hold the tokens of one workspace at this node; times are monotonic seconds.

    reported is the account that the store has acknowledged, proposed the one that it may have.
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
        """Return the tokens that are spent or set aside."""
        return self.spent + self.reserved

    @property
    def held(self) -> int:
        """Return the tokens that this node has and has not committed."""
        ceiling = self.reported.handed_out
        if self.proposed is not None:
            ceiling = min(ceiling, self.proposed.handed_out)
        return ceiling - self.committed

    @property
    def typical_size(self) -> float:
        """Return the size of a request (root of the mean square, as large ones weigh most)."""
        return math.sqrt(self._mean_square)

    def count_available(self, now: float) -> int:
        """Return the tokens that can be set aside before the next report."""
        upper_bound = self.reported.bound_committed(now - self.reported_at)
        if self.proposed is not None:
            upper_bound = min(upper_bound, self.proposed.bound_committed(now - self.proposed_at))
        return upper_bound - self.committed

    def reserve(self, tokens: int, now: float) -> bool:
        """Set tokens aside for a request, or say that too few are available."""
        if tokens > self.count_available(now):
            return False
        self.reserved += tokens
        self._mean_square = SIZE_DECAY * self._mean_square + (1 - SIZE_DECAY) * tokens**2
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Spend a part of what was set aside and put the rest back."""
        self.reserved -= reserved
        self.spent += min(reserved, used)

    def predict_available(self, tokens: int, now: float) -> float | None:
        """Return when the tokens can be set aside without a further report, or nothing."""
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
        """Return the tokens that waiting requests need and the node does not hold."""
        return max(0, sum(self.waiting.values()) - self.held)

    def propose(self, handed_out: int, rate: float, now: float) -> Account:
        """Return the account to report, and keep within it from now on."""
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
        """Take the recorded proposal into force as far as there is room; return the change."""
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
        """Forget a proposal that was never recorded."""
        self.proposed = None


def blend_shares(load_share: float, rate: float, rates_total: float) -> float:
    """Return a node's share of a workspace's use: by its use of late and by its share of all."""
    if rates_total <= 0:
        return load_share
    return RATE_WEIGHT * rate / rates_total + (1 - RATE_WEIGHT) * load_share


def compute_target(allocation: Allocation, *, remaining: int, share: float) -> int:
    """Return the tokens that a node should hold: its share of what is left of the budget.

    Near the end of a budget nothing is held ahead, so that its last tokens are not scattered over
    nodes in parts too small for a request.
    """
    target = int(HELD_SHARE * share * max(0, remaining))
    return 0 if target < PREFETCH_REQUESTS_MIN * allocation.typical_size else target


def compute_change(allocation: Allocation, *, target: int, free: int) -> int:
    """Return the tokens to take (positive) or hand back (negative).

    Free tokens are those that no node was handed out; they are negative where a budget shrank.
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
    """Return what the smallest waiting request lacks, if there is as much."""
    lacking = min(allocation.waiting.values()) - allocation.held
    return lacking if 0 < lacking <= free else 0
