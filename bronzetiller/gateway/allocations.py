"""Compute how many prepaid tokens a node holds for each workspace; no I/O.

Each node keeps a record in the store: the tokens handed out to it, and those it has committed to
requests. The order of the store's log decides which node gets the last tokens: a node that
increased its own total uses the increase only as far as the records before it in the log leave
tokens free. Nodes that write later count the increase in full, so that all nodes together never
use more than a budget.

Tokens held by a node that crashes are lost, except those that it cannot have spent: a node commits
no more than it has reported, plus a slack that grows with the time since the report. Its next
incarnation on the same VM counts that as spent and returns the rest. Records of two kinds report:
holding records, which all nodes with tokens read, and use records, which only the next incarnation
reads, so that a node can write one for each request.
"""

import json
import math
from typing import Any

from attrs import define, evolve, field, frozen

from bronzetiller.json_values import decode_json

# Weight of a node's share of the workspace's use, against its share of all load.
RATE_WEIGHT = 0.6
# Share of the remaining budget that all nodes hold together; the rest serves single requests.
HELD_SHARE = 0.9
# Records without reach_seconds allow all held tokens to be committed after this time.
LEGACY_REACH_SECONDS = 6.0
# Time after the slack delay in which a disconnected node gains all it holds, at increasing speed,
# so that a loss of all nodes within a few seconds of a disconnection makes few tokens unavailable.
REACH_SECONDS = 20.0
# Share of the held tokens that may be committed before the next report.
SLACK_HELD_SHARE = 0.06
# Share of the held tokens, so that slack also grows at a node whose rate is not known.
SLACK_HELD_SHARE_PER_SECOND = 0.03
# Seconds of use, and in mean latencies of an append: the use that must not wait for a report.
SLACK_RATE_SECONDS = 0.5
SLACK_LATENCIES = 2.0
# Seconds of use; a slower store makes requests wait, as they do while it is unreachable.
SLACK_RATE_SECONDS_MAX = 1.0
# Factor of the current rate; a disconnected node delays requests of a burst above that rate.
SLACK_RATE_FACTOR = 1.5
# Share of the held tokens; a rate measured over a few requests may be far too high.
SLACK_RATE_HELD_SHARE_MAX = 0.06
# Two report intervals and a retry; a restart takes about as long.
SLACK_DELAY_SECONDS = 1.2
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
    without a further report, slack_per_second more each second once slack_delay seconds have
    passed, and all it holds reach_seconds after that (0: LEGACY_REACH_SECONDS after the report).
    rate is the node's use in tokens per second. in_doubt counts those committed tokens that are
    reserved for requests under way, or that a restart counted as spent without a report of it.
    """

    handed_out: int = 0
    committed: int = 0
    slack: int = 0
    slack_per_second: int = 0
    rate: int = 0
    slack_delay: float = 0.0
    reach_seconds: float = 0.0
    in_doubt: int = 0

    @property
    def is_used(self) -> bool:
        """Return whether the node holds or ever used any of the tokens."""
        return bool(self.handed_out or self.committed)

    def bound_committed(self, seconds: float) -> int:
        """Return an upper bound of the committed tokens, some seconds after the report."""
        growing_seconds = max(0.0, seconds - self.slack_delay)
        growth = self.slack_per_second * growing_seconds
        if self.reach_seconds:
            held = max(0, self.handed_out - self.committed)
            growth += held * min(1.0, growing_seconds / self.reach_seconds) ** 2
        elif seconds > LEGACY_REACH_SECONDS:
            return self.handed_out
        return min(self.handed_out, self.committed + self.slack + math.ceil(growth))

    def predict_bound(self, committed: int) -> float:
        """Return the seconds after the report at which that many tokens may be committed."""
        lacking = committed - self.committed - self.slack
        if lacking <= 0:
            return 0.0
        if not self.reach_seconds:
            if self.slack_per_second <= 0:
                return LEGACY_REACH_SECONDS
            return min(LEGACY_REACH_SECONDS, self.slack_delay + lacking / self.slack_per_second)
        quadratic = max(0, self.handed_out - self.committed) / self.reach_seconds**2
        linear = self.slack_per_second
        root = math.sqrt(linear**2 + 4 * quadratic * lacking)
        if root + linear <= 0:
            return self.slack_delay + self.reach_seconds
        return self.slack_delay + min(self.reach_seconds, 2 * lacking / (root + linear))


@frozen
class HoldingRecord:
    """Hold a node's accounts as the store keeps them.

    epoch increases with each incarnation of the node, number with each record of a partition, and
    order with each record of an incarnation in any partition. reported_at is the Unix time
    (seconds) by the VM's clock. clock_steady is false once a jump of the clock was detected, so
    that no elapsed time can be computed from reported_at.
    """

    holder: str
    epoch: int
    number: int
    reported_at: float
    clock_steady: bool
    accounts: dict[str, Account]
    order: int = 0
    era: int | None = None
    vouched: bool = False

    def encode(self) -> bytes:
        """Encode the record as JSON for the store."""
        value = {
            "holder": self.holder,
            "epoch": self.epoch,
            "number": self.number,
            "order": self.order,
            "reported_at": round(self.reported_at, 3),
            "clock_steady": self.clock_steady,
            "era": self.era,
            "vouched": self.vouched,
            "accounts": {
                name: [
                    item.handed_out,
                    item.committed,
                    item.slack,
                    item.slack_per_second,
                    item.rate,
                    item.slack_delay,
                    item.reach_seconds,
                    item.in_doubt,
                ]
                for name, item in self.accounts.items()
            },
        }
        return json.dumps(value, separators=(",", ":")).encode()


def decode_holding_record(value: bytes) -> HoldingRecord | None:
    """Decode a record of the store; return None if it is malformed."""
    try:
        item: Any = decode_json(value)
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
            int(item.get("order", 0)),
            None if item.get("era") is None else int(item["era"]),
            item.get("vouched") is True,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _decode_account(numbers: list[Any]) -> Account:
    """Decode an account; records of earlier versions lack its last fields."""
    seconds = (float(number) for number in numbers[5:7])
    in_doubt = int(numbers[7]) if len(numbers) > 7 else 0
    account = Account(*(int(number) for number in numbers[:5]), *seconds)
    return evolve(account, in_doubt=in_doubt)


def count_all_spent(record: HoldingRecord) -> dict[str, Account]:
    """Return a new incarnation's accounts if the last one's newest record may be lost."""
    return {
        name: _make_spent_account(account, account.handed_out)
        for name, account in record.accounts.items()
    }


def reclaim_accounts(
    record: HoldingRecord, use_record: HoldingRecord | None, now: float
) -> dict[str, Account]:
    """Return a new incarnation's accounts, with all that the last one may have spent as spent.

    now is the Unix time by the same VM's clock, read when the new incarnation starts.
    """
    newest = record
    if use_record is not None and use_record.holder == record.holder:
        newest = max(record, use_record, key=lambda item: item.order)
    accounts = {}
    for name, account in record.accounts.items():
        spent, reported = account.handed_out, account
        if name in newest.accounts:
            reported = newest.accounts[name]
            spent = min(spent, _bound_spent(newest, name, now))
        accounts[name] = _make_spent_account(reported, spent)
    return accounts


def _make_spent_account(reported: Account, spent: int) -> Account:
    """Return an account of tokens that all count as spent; some were not reported as committed."""
    in_doubt = min(spent, reported.in_doubt + max(0, spent - reported.committed))
    return Account(handed_out=spent, committed=spent, in_doubt=in_doubt)


def _bound_spent(record: HoldingRecord, workspace: str, now: float) -> int:
    """Return an upper bound of the tokens spent since a record; all if its age is not known."""
    account = record.accounts[workspace]
    elapsed = now - record.reported_at
    if not record.clock_steady or elapsed < 0:
        return account.handed_out
    return account.bound_committed(elapsed)


@frozen
class Report:
    """Hold one workspace's account in a record, with the record's order and time (monotonic)."""

    order: int = 0
    account: Account = field(factory=Account)
    made_at: float = 0.0

    def count_committed_max(self, now: float) -> int:
        """Return the tokens that may be committed in all."""
        return self.account.bound_committed(now - self.made_at)

    def predict(self, committed: int) -> float:
        """Return when that many tokens may be committed."""
        return self.made_at + self.account.predict_bound(committed)


@define
class Reports:
    """Bound a node's use of one workspace by the records that its next incarnation may find.

    That incarnation goes by the newest record in the store: the newest acknowledged one, or a later
    one of those that were sent and that the store may or may not have.
    """

    newest: Report = field(factory=Report)
    _pending: dict[int, Report] = field(factory=dict)

    def propose(self, report: Report) -> None:
        """Apply a report that is about to be sent."""
        self._pending[report.order] = report

    def accept(self, order: int) -> None:
        """Apply a report that the store has acknowledged, if it covers this workspace."""
        report = self._pending.pop(order, None)
        if report is not None and order > self.newest.order:
            self.newest = report

    def drop(self, order: int) -> None:
        """Discard a report that was never recorded."""
        self._pending.pop(order, None)

    def count_committed_max(self, now: float) -> int:
        """Return the tokens that may be committed in all."""
        return min(item.count_committed_max(now) for item in self._list_applicable())

    def predict(self, committed: int) -> float:
        """Return when that many tokens may be committed without a further record."""
        return max(item.predict(committed) for item in self._list_applicable())

    def list_pending(self) -> list[Report]:
        """Return the reports that count beside the newest acknowledged one."""
        return [item for order, item in self._pending.items() if order > self.newest.order]

    def _list_applicable(self) -> list[Report]:
        return [self.newest, *self.list_pending()]


@define
class Allocation:
    """Hold the tokens of one workspace at this node; times are monotonic seconds.

    recorded_total is what the holding records give to this node; proposed_total is a total that was
    sent and that the store may or may not have. waiting holds the tokens of each queued request by
    its id. use_slack_held_share bounds the slack for expected use by a share of the held tokens.
    reclaimed_in_doubt counts tokens that were counted as spent when the node started.
    """

    workspace: str
    prepaid: int
    use_slack_held_share: float = 1.0
    spent: int = 0
    reserved: int = 0
    recorded_total: int = 0
    proposed_total: int | None = None
    reports: Reports = field(factory=Reports)
    waiting: dict[int, int] = field(factory=dict)
    reclaimed_in_doubt: int = 0
    _mean_square: float = 0.0

    @property
    def committed(self) -> int:
        """Return the tokens that are spent or reserved."""
        return self.spent + self.reserved

    @property
    def handed_out(self) -> int:
        """Return the tokens that this node may commit once they are reported."""
        if self.proposed_total is None:
            return self.recorded_total
        return min(self.recorded_total, self.proposed_total)

    @property
    def held(self) -> int:
        """Return the tokens that this node holds and has not committed."""
        return self.handed_out - self.committed

    @property
    def in_doubt(self) -> int:
        """Return the committed tokens of which it is not known whether they are used."""
        return self.reclaimed_in_doubt + self.reserved

    @property
    def typical_size(self) -> float:
        """Return the size of a request: the root mean square, so that large ones weigh more."""
        return math.sqrt(self._mean_square)

    def count_available(self, now: float) -> int:
        """Return the tokens that can be reserved before the next report."""
        return min(self.reports.count_committed_max(now), self.handed_out) - self.committed

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
        if tokens > self.held:
            return None
        return max(now, self.reports.predict(self.committed + tokens))

    @property
    def queued(self) -> int:
        """Return the tokens that queued requests need."""
        return sum(self.waiting.values())

    @property
    def shortage(self) -> int:
        """Return the tokens that queued requests need and the node does not hold."""
        return max(0, self.queued - self.held)

    @property
    def awaits_use_record(self) -> bool:
        """Return whether a queued request needs only a further report."""
        return bool(self.waiting) and min(self.waiting.values()) <= self.held

    def reclaim(self, account: Account) -> None:
        """Continue from what the last incarnation may have spent."""
        self.spent += account.committed
        self.reclaimed_in_doubt = account.in_doubt
        self.recorded_total = account.handed_out
        self.reports = Reports(Report(account=account))

    def propose(
        self, order: int, handed_out: int, rate: float, slack_seconds: float, now: float
    ) -> Account:
        """Return the account of a holding record, and apply its limits from now on."""
        self.proposed_total = handed_out
        return self._propose_account(order, handed_out, rate, slack_seconds, now)

    def propose_use(self, order: int, rate: float, slack_seconds: float, now: float) -> Account:
        """Return the account of a use record, and apply its limits from now on."""
        return self._propose_account(order, self.handed_out, rate, slack_seconds, now)

    def _propose_account(
        self, order: int, handed_out: int, rate: float, slack_seconds: float, now: float
    ) -> Account:
        held = max(0, handed_out - self.committed)
        growth = min(SLACK_RATE_FACTOR * rate, SLACK_RATE_HELD_SHARE_MAX * held)
        use_slack = min(slack_seconds * rate, self.use_slack_held_share * held)
        account = Account(
            handed_out,
            self.committed,
            max(math.ceil(SLACK_HELD_SHARE * held + use_slack), self.queued),
            math.ceil(growth + SLACK_HELD_SHARE_PER_SECOND * held),
            int(rate),
            SLACK_DELAY_SECONDS,
            REACH_SECONDS,
            self.in_doubt,
        )
        self.reports.propose(Report(order, account, now))
        return account

    def accept(self, order: int, handed_out_by_others: int) -> int:
        """Apply the recorded total as far as tokens are free; return the change."""
        self.reports.accept(order)
        if self.proposed_total is None:
            return 0
        before = self.recorded_total
        available = max(0, self.prepaid - handed_out_by_others)
        self.recorded_total = min(self.proposed_total, max(before, available))
        self.proposed_total = None
        return self.recorded_total - before

    def drop_proposal(self, order: int) -> None:
        """Discard a holding record that was never recorded."""
        self.reports.drop(order)
        self.proposed_total = None

    def abandon_proposal(self, order: int) -> None:
        """Discard a holding record that may have been recorded, and be lost since.

        Other nodes may have read it and taken what it returned.
        """
        if self.proposed_total is not None:
            self.recorded_total = min(self.recorded_total, self.proposed_total)
        self.drop_proposal(order)


def compute_slack_seconds(latency: float) -> float:
    """Return the seconds of use that may be committed without waiting for a report.

    Designed for a store that responds within a tenth of a request's latency target: nearly every
    request waits for the record that covers it, and a loss of all nodes makes hardly any tokens
    unavailable. A slow store would delay each request by several appends.
    """
    return min(SLACK_RATE_SECONDS_MAX, SLACK_RATE_SECONDS + SLACK_LATENCIES * latency)


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
