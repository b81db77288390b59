"""Fold a ledger stream into the budgets of its workspaces.

Every node that reads the same prefix reaches the same state and the same verdicts; nothing here
reads a clock. A workspace's granted tokens never exceed its credited tokens, and its billed
tokens never exceed its granted tokens.

Memory is bounded by counts, so that an outage forgets nothing: the newest bills and grants are
remembered, and a record written before the oldest remembered one is void, since the ledger could
not tell it from a duplicate.
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
    """Say what the ledger made of a record."""

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
    """Give the verdict on a record and the tokens it moved."""

    verdict: Verdict
    tokens: int = 0


@define
class GrantState:
    """Hold what is left of one grant, and what each biller has billed or returned of it.

    Once it is closed, limits are the most that each biller may ever use of it.
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
        """Return the tokens neither spent nor returned."""
        return self.tokens - self.spent - self.returned

    def available(self, biller: str) -> int:
        """Return the tokens that a biller may still bill or return."""
        if not self.closed:
            return self.remaining
        rest = self.limits.get(biller, 0) - self.used.get(biller, 0)
        return max(0, min(self.remaining, rest))

    def record_usage(self, biller: str, tokens: int) -> None:
        """Count tokens that a biller has billed or returned."""
        self.used[biller] = self.used.get(biller, 0) + tokens


@define
class Budget:
    """Hold the budget of one workspace."""

    credited: int = 0
    granted: int = 0
    billed: int = 0
    grants: dict[str, GrantState] = field(factory=dict)

    @property
    def free(self) -> int:
        """Return the tokens that no grant has set aside."""
        return self.credited - self.granted


@define
class BillState:
    """Remember a request's bill, to drop the next one for it."""

    at: float
    fingerprint: str
    biller: str
    tokens: int
    bill_id: str = ""
    rerun_ids: list[str] = field(factory=list)

    @property
    def reruns(self) -> int:
        """Return how often the request was run again, up to one more than is allowed."""
        return len(self.rerun_ids)

    def record_rerun(self, bill_id: str) -> None:
        """Count a further run of the request by the id of its bill."""
        if bill_id not in self.rerun_ids and self.reruns <= RERUNS_MAX:
            self.rerun_ids.append(bill_id)


@define
class Ledger:
    """Hold the budgets of all workspaces of one stream."""

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
        """Return the number of grants ruled on so far."""
        return self.grants_forgotten + len(self.grant_rulings)

    def apply(self, at: float, record: LedgerRecord) -> ApplyResult:
        """Apply one record in the order of the log; at is the log's own time (seconds)."""
        match record:
            case Credit():
                ruling = self._apply_credit(record)
            case Grant():
                ruling = self._apply_grant(record)
            case Bill():
                ruling = self._apply_bill(at, record)
            case Return():
                ruling = self._apply_return(record)
            case Close():
                ruling = self._apply_close(record)
            case _:
                return ApplyResult(Verdict.ACCEPTED)
        self._check_invariant(record.workspace)
        return ruling

    def find_bill(self, workspace: str, request_id: str) -> BillState | None:
        """Return the bill of a request, if it is still remembered."""
        return self.bills.get(_make_bill_key(workspace, request_id))

    def find_grant(self, workspace: str, grant_id: str) -> GrantState | None:
        """Return a grant that has tokens left."""
        budget = self.budgets.get(workspace)
        return None if budget is None else budget.grants.get(grant_id)

    def count_free(self, workspace: str) -> int:
        """Return the tokens of a workspace that no grant has set aside."""
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
        known = self.grant_rulings.get(record.grant_id)
        if known is not None:
            return ApplyResult(Verdict.DUPLICATE, known.tokens)
        budget = self._get_budget(record.workspace)
        if UNKNOWN_COUNT < record.grants_before < self.grants_forgotten:
            return ApplyResult(Verdict.EXPIRED)
        if record.grant_id in budget.grants:
            return ApplyResult(Verdict.DUPLICATE)
        tokens = self._limit_grant(budget, record.tokens)
        if tokens < max(1, record.tokens_least):
            ruling = ApplyResult(Verdict.NOTHING_FREE)
        else:
            budget.granted += tokens
            budget.grants[record.grant_id] = GrantState(record.holder, tokens)
            ruling = ApplyResult(Verdict.ACCEPTED, tokens)
        self._retain_grant(record.grant_id, ruling)
        return ruling

    def _limit_grant(self, budget: Budget, tokens: int) -> int:
        return min(tokens, budget.free)

    def _apply_bill(self, at: float, record: Bill) -> ApplyResult:
        key = _make_bill_key(record.workspace, record.request_id)
        known = self.bills.get(key)
        if known is not None:
            if known.fingerprint != record.fingerprint:
                return ApplyResult(Verdict.KEY_REUSED)
            if known.bill_id != record.bill_id:
                known.record_rerun(record.bill_id)
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
            limits = {name: min(most, limits.get(name, 0)) for name, most in grant.limits.items()}
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

    def _retain_grant(self, grant_id: str, ruling: ApplyResult) -> None:
        self.grant_rulings[grant_id] = ruling
        if len(self.grant_rulings) > GRANTS_RETAINED_MAX:
            del self.grant_rulings[next(iter(self.grant_rulings))]
            self.grants_forgotten += 1

    def _check_invariant(self, workspace: str) -> None:
        budget = self._get_budget(workspace)
        if not 0 <= budget.billed <= budget.granted <= budget.credited:
            raise InvariantError(f"the budget of {workspace} does not add up: {budget}")


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
    """Return the state as JSON values, equal for equal prefixes of the stream."""
    value: dict[str, Any] = _CONVERTER.unstructure(ledger)
    return value


def load_ledger(value: dict[str, Any]) -> Ledger:
    """Read a state that dump_ledger returned."""
    return _CONVERTER.structure(value, Ledger)
