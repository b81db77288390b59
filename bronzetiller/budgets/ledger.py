"""Compute workspace budgets from the records of a ledger stream.

The computation is deterministic and reads no clock: every node that applies the same prefix of a
stream reaches the same state and the same verdicts. Granted tokens never exceed credited tokens,
and billed tokens never exceed granted tokens.

The bills and grants retained for detecting duplicates are limited by count, not by age, so that
an outage, however long, evicts none. A record written before the oldest retained one is rejected
as expired, since it can no longer be distinguished from a duplicate.
"""

from enum import StrEnum
from typing import Any

from attrs import define, field, frozen
from cattrs.preconf.json import make_converter

from bronzetiller.budgets.records import (
    UNKNOWN_COUNT,
    Bill,
    Charge,
    Close,
    Credit,
    Grant,
    LedgerRecord,
    Return,
)
from bronzetiller.errors import InvariantError

BILLS_RETAINED_MAX = 100_000
GRANTS_RETAINED_MAX = 20_000
RERUNS_MAX = 3


class Verdict(StrEnum):
    """Name the outcome of applying a record to the ledger."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    KEY_REUSED = "key_reused"
    NOTHING_FREE = "nothing_free"
    UNKNOWN_GRANT = "unknown_grant"
    GRANT_SPENT = "grant_spent"
    EXPIRED = "expired"
    MALFORMED = "malformed"


@frozen
class ApplyResult:
    """Hold the verdict on an applied record and the number of tokens it moved."""

    verdict: Verdict
    tokens: int = 0


@define
class GrantState:
    """Hold the remaining tokens of a grant and its usage by incarnation.

    used counts the tokens that each incarnation has billed or returned. In a closed grant it may
    not exceed the incarnation's entry in limits; without an entry no more tokens may be used.
    """

    holder: str
    tokens: int
    spent: int = 0
    returned: int = 0
    closed: bool = False
    used: dict[str, int] = field(factory=dict)
    limits: dict[str, int] = field(factory=dict)
    return_ids: dict[str, int] = field(factory=dict)

    @property
    def remaining(self) -> int:
        """Return the number of tokens neither spent nor returned."""
        return self.tokens - self.spent - self.returned

    def available(self, biller: str) -> int:
        """Return the number of tokens that an incarnation may still bill or return."""
        if not self.closed:
            return self.remaining
        allowance = self.limits.get(biller, 0) - self.used.get(biller, 0)
        return max(0, min(self.remaining, allowance))

    def record_usage(self, biller: str, tokens: int) -> None:
        """Add to the tokens that an incarnation has billed or returned."""
        self.used[biller] = self.used.get(biller, 0) + tokens


@define
class Budget:
    """Count the tokens of a workspace, and hold its grants that have tokens remaining."""

    credited: int = 0
    granted: int = 0
    billed: int = 0
    grants: dict[str, GrantState] = field(factory=dict)

    @property
    def free(self) -> int:
        """Return the number of credited tokens that no grant covers."""
        return self.credited - self.granted


@define
class BillState:
    """Hold the accepted bill of a request, to reject later bills for the same request."""

    at: float
    fingerprint: str
    biller: str
    tokens: int
    bill_id: str = ""
    rerun_ids: list[str] = field(factory=list)

    @property
    def reruns(self) -> int:
        """Return the number of repeated executions, counted up to RERUNS_MAX + 1."""
        return len(self.rerun_ids)

    def record_rerun(self, bill_id: str) -> None:
        """Count a repeated execution of the request, identified by the id of its bill."""
        if bill_id not in self.rerun_ids and self.reruns <= RERUNS_MAX:
            self.rerun_ids.append(bill_id)


@define
class Ledger:
    """Hold the budgets of all workspaces in one ledger stream."""

    budgets: dict[str, Budget] = field(factory=dict)
    bills: dict[str, BillState] = field(factory=dict)
    bills_forgotten: int = 0
    credit_ids: dict[str, int] = field(factory=dict)
    grant_rulings: dict[str, ApplyResult] = field(factory=dict)
    grants_forgotten: int = 0

    @property
    def bill_count(self) -> int:
        """Return the number of bills accepted so far."""
        return self.bills_forgotten + len(self.bills)

    @property
    def grant_count(self) -> int:
        """Return the number of grant records processed so far, whether accepted or refused."""
        return self.grants_forgotten + len(self.grant_rulings)

    def apply(self, at: float, record: LedgerRecord) -> ApplyResult:
        """Apply one record, in log order; at is the timestamp that the log assigned (seconds)."""
        match record:
            case Credit():
                result = self._apply_credit(record)
            case Grant():
                result = self._apply_grant(record)
            case Bill():
                result = self._apply_bill(at, record)
            case Return():
                result = self._apply_return(record)
            case Close():
                result = self._apply_close(record)
            case _:
                return ApplyResult(Verdict.ACCEPTED)
        self._check_invariant(record.workspace)
        return result

    def find_bill(self, workspace: str, request_id: str) -> BillState | None:
        """Return the bill of a request, or None if there is none or it is no longer retained."""
        return self.bills.get(_make_bill_key(workspace, request_id))

    def find_grant(self, workspace: str, grant_id: str) -> GrantState | None:
        """Return a grant, or None if it is unknown or has no tokens remaining."""
        budget = self.budgets.get(workspace)
        return None if budget is None else budget.grants.get(grant_id)

    def count_free(self, workspace: str) -> int:
        """Return the number of credited tokens of a workspace that no grant covers."""
        budget = self.budgets.get(workspace)
        return 0 if budget is None else budget.free

    def _get_budget(self, workspace: str) -> Budget:
        return self.budgets.setdefault(workspace, Budget())

    def _apply_credit(self, record: Credit) -> ApplyResult:
        if record.credit_id in self.credit_ids:
            return ApplyResult(Verdict.DUPLICATE)
        if record.tokens <= 0:
            return ApplyResult(Verdict.MALFORMED)
        self.credit_ids[record.credit_id] = record.tokens
        self._get_budget(record.workspace).credited += record.tokens
        return ApplyResult(Verdict.ACCEPTED, record.tokens)

    def _apply_grant(self, record: Grant) -> ApplyResult:
        earlier = self.grant_rulings.get(record.grant_id)
        if earlier is not None:
            return ApplyResult(Verdict.DUPLICATE, earlier.tokens)
        budget = self._get_budget(record.workspace)
        if UNKNOWN_COUNT < record.grants_before < self.grants_forgotten:
            return ApplyResult(Verdict.EXPIRED)
        if record.grant_id in budget.grants:
            return ApplyResult(Verdict.DUPLICATE)
        tokens = self._limit_grant(budget, record.tokens)
        if tokens < max(1, record.tokens_least):
            result = ApplyResult(Verdict.NOTHING_FREE)
        else:
            budget.granted += tokens
            budget.grants[record.grant_id] = GrantState(record.holder, tokens)
            result = ApplyResult(Verdict.ACCEPTED, tokens)
        self._retain_grant(record.grant_id, result)
        return result

    def _limit_grant(self, budget: Budget, tokens: int) -> int:
        return min(tokens, budget.free)

    def _apply_bill(self, at: float, record: Bill) -> ApplyResult:
        key = _make_bill_key(record.workspace, record.request_id)
        earlier = self.bills.get(key)
        if earlier is not None:
            if earlier.fingerprint != record.fingerprint:
                return ApplyResult(Verdict.KEY_REUSED)
            if earlier.bill_id != record.bill_id:
                earlier.record_rerun(record.bill_id)
            return ApplyResult(Verdict.DUPLICATE)
        if UNKNOWN_COUNT < record.bills_before < self.bills_forgotten:
            return ApplyResult(Verdict.EXPIRED)
        charges = _merge_charges(record.charges)
        if charges is None or sum(charges.values()) != record.tokens:
            return ApplyResult(Verdict.MALFORMED)
        budget = self._get_budget(record.workspace)
        for grant_id, tokens in charges.items():
            grant = budget.grants.get(grant_id)
            if grant is None:
                return ApplyResult(Verdict.UNKNOWN_GRANT)
            if tokens > grant.available(record.biller):
                return ApplyResult(Verdict.GRANT_SPENT)
        for grant_id, tokens in charges.items():
            budget.grants[grant_id].spent += tokens
            budget.grants[grant_id].record_usage(record.biller, tokens)
            self._delete_if_empty(budget, grant_id)
        budget.billed += record.tokens
        state = BillState(at, record.fingerprint, record.biller, record.tokens, record.bill_id)
        self._retain_bill(key, state)
        return ApplyResult(Verdict.ACCEPTED, record.tokens)

    def _apply_return(self, record: Return) -> ApplyResult:
        budget = self._get_budget(record.workspace)
        grant = budget.grants.get(record.grant_id)
        if grant is None:
            return ApplyResult(Verdict.UNKNOWN_GRANT)
        if record.return_id in grant.return_ids:
            return ApplyResult(Verdict.DUPLICATE)
        if not 0 < record.tokens <= grant.available(record.holder):
            return ApplyResult(Verdict.GRANT_SPENT)
        grant.return_ids[record.return_id] = record.tokens
        grant.record_usage(record.holder, record.tokens)
        self._release(budget, record.grant_id, record.tokens)
        return ApplyResult(Verdict.ACCEPTED, record.tokens)

    def _apply_close(self, record: Close) -> ApplyResult:
        budget = self._get_budget(record.workspace)
        grant = budget.grants.get(record.grant_id)
        if grant is None:
            return ApplyResult(Verdict.UNKNOWN_GRANT)
        limits = record.limits
        if grant.closed:
            limits = {name: min(limit, limits.get(name, 0)) for name, limit in grant.limits.items()}
            if limits == grant.limits:
                return ApplyResult(Verdict.DUPLICATE)
        grant.closed = True
        grant.limits = dict(sorted(limits.items()))
        tokens = max(0, grant.remaining - sum(grant.available(name) for name in limits))
        self._release(budget, record.grant_id, tokens)
        return ApplyResult(Verdict.ACCEPTED, tokens)

    def _release(self, budget: Budget, grant_id: str, tokens: int) -> None:
        budget.grants[grant_id].returned += tokens
        budget.granted -= tokens
        self._delete_if_empty(budget, grant_id)

    def _delete_if_empty(self, budget: Budget, grant_id: str) -> None:
        if budget.grants[grant_id].remaining == 0:
            del budget.grants[grant_id]

    def _retain_bill(self, key: str, state: BillState) -> None:
        self.bills[key] = state
        if len(self.bills) > BILLS_RETAINED_MAX:
            del self.bills[next(iter(self.bills))]
            self.bills_forgotten += 1

    def _retain_grant(self, grant_id: str, result: ApplyResult) -> None:
        self.grant_rulings[grant_id] = result
        if len(self.grant_rulings) > GRANTS_RETAINED_MAX:
            del self.grant_rulings[next(iter(self.grant_rulings))]
            self.grants_forgotten += 1

    def _check_invariant(self, workspace: str) -> None:
        budget = self._get_budget(workspace)
        if not 0 <= budget.billed <= budget.granted <= budget.credited:
            raise InvariantError(
                f"budget of workspace {workspace} violates 0 <= billed <= granted <= credited:"
                f" {budget}"
            )


def _make_bill_key(workspace: str, request_id: str) -> str:
    return f"{workspace}/{request_id}"


def _merge_charges(charges: list[Charge]) -> dict[str, int] | None:
    merged: dict[str, int] = {}
    for charge in charges:
        if charge.tokens < 0:
            return None
        merged[charge.grant_id] = merged.get(charge.grant_id, 0) + charge.tokens
    return merged


_CONVERTER = make_converter()


def dump_ledger(ledger: Ledger) -> dict[str, Any]:
    """Serialize the ledger to JSON values, equal for equal prefixes of the stream."""
    value: dict[str, Any] = _CONVERTER.unstructure(ledger)
    return value


def load_ledger(value: dict[str, Any]) -> Ledger:
    """Deserialize a ledger from the output of dump_ledger."""
    return _CONVERTER.structure(value, Ledger)
