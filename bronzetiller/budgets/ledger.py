"""Fold a ledger stream into the budgets of its workspaces.

Every node that reads the same prefix reaches the same state and the same verdicts; nothing here
reads a clock. A workspace's granted tokens never exceed its credited tokens, and its billed
tokens never exceed its granted tokens.
"""

from collections import OrderedDict
from enum import StrEnum

from attrs import define, field, frozen

from bronzetiller.budgets.records import Bill, Close, Credit, Grant, LedgerRecord, Return
from bronzetiller.errors import InvariantError

BILL_WINDOW_SECONDS = 24 * 3600.0
RERUNS_MAX = 3


class Verdict(StrEnum):
    """Say what the ledger made of a record."""

    ACCEPTED = "accepted"
    DUPLICATE = "duplicate"
    KEY_REUSED = "key_reused"
    NOTHING_FREE = "nothing_free"
    UNKNOWN_GRANT = "unknown_grant"
    GRANT_SPENT = "grant_spent"
    MALFORMED = "malformed"


@frozen
class Ruling:
    """Give the verdict on a record and the tokens it moved."""

    verdict: Verdict
    tokens: int = 0


@define
class GrantState:
    """Hold what is left of one grant."""

    holder: str
    tokens: int
    spent: int = 0
    returned: int = 0
    closed: bool = False

    @property
    def left(self) -> int:
        """Return the tokens neither spent nor returned."""
        return self.tokens - self.spent - self.returned


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

    def note_rerun(self, bill_id: str) -> None:
        """Count a further run of the request by the id of its bill."""
        if bill_id not in self.rerun_ids and self.reruns <= RERUNS_MAX:
            self.rerun_ids.append(bill_id)


@define
class Ledger:
    """Hold the budgets of all workspaces of one stream."""

    budgets: dict[str, Budget] = field(factory=dict)
    bills: OrderedDict[tuple[str, str], BillState] = field(factory=OrderedDict)
    credit_ids: set[str] = field(factory=set)
    return_ids: set[str] = field(factory=set)
    grant_rulings: dict[str, Ruling] = field(factory=dict)

    def apply(self, at: float, record: LedgerRecord) -> Ruling:
        """Apply one record in the order of the log; at is the log's own time (seconds)."""
        self._forget_old_bills(at)
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
                return Ruling(Verdict.ACCEPTED)
        self._check(record.workspace)
        return ruling

    def find_bill(self, workspace: str, request_id: str) -> BillState | None:
        """Return the bill of a request, if it was billed within the window."""
        return self.bills.get((workspace, request_id))

    def _budget(self, workspace: str) -> Budget:
        return self.budgets.setdefault(workspace, Budget())

    def _apply_credit(self, record: Credit) -> Ruling:
        if record.credit_id in self.credit_ids:
            return Ruling(Verdict.DUPLICATE)
        if record.tokens <= 0:
            return Ruling(Verdict.MALFORMED)
        self.credit_ids.add(record.credit_id)
        self._budget(record.workspace).credited += record.tokens
        return Ruling(Verdict.ACCEPTED, record.tokens)

    def _apply_grant(self, record: Grant) -> Ruling:
        known = self.grant_rulings.get(record.grant_id)
        if known is not None:
            return Ruling(Verdict.DUPLICATE, known.tokens)
        budget = self._budget(record.workspace)
        tokens = min(record.tokens, budget.free)
        if tokens <= 0:
            ruling = Ruling(Verdict.NOTHING_FREE)
        else:
            budget.granted += tokens
            budget.grants[record.grant_id] = GrantState(record.holder, tokens)
            ruling = Ruling(Verdict.ACCEPTED, tokens)
        self.grant_rulings[record.grant_id] = ruling
        return ruling

    def _apply_bill(self, at: float, record: Bill) -> Ruling:
        key = (record.workspace, record.request_id)
        known = self.bills.get(key)
        if known is not None:
            if known.fingerprint != record.fingerprint:
                return Ruling(Verdict.KEY_REUSED)
            if known.bill_id != record.bill_id:
                known.note_rerun(record.bill_id)
            return Ruling(Verdict.DUPLICATE)
        if sum(charge.tokens for charge in record.charges) != record.tokens:
            return Ruling(Verdict.MALFORMED)
        budget = self._budget(record.workspace)
        for charge in record.charges:
            grant = budget.grants.get(charge.grant_id)
            if grant is None:
                return Ruling(Verdict.UNKNOWN_GRANT)
            if charge.tokens < 0 or charge.tokens > grant.left:
                return Ruling(Verdict.GRANT_SPENT)
        for charge in record.charges:
            budget.grants[charge.grant_id].spent += charge.tokens
            self._drop_empty(budget, charge.grant_id)
        budget.billed += record.tokens
        self.bills[key] = BillState(
            at, record.fingerprint, record.biller, record.tokens, record.bill_id
        )
        return Ruling(Verdict.ACCEPTED, record.tokens)

    def _apply_return(self, record: Return) -> Ruling:
        if record.return_id in self.return_ids:
            return Ruling(Verdict.DUPLICATE)
        budget = self._budget(record.workspace)
        grant = budget.grants.get(record.grant_id)
        if grant is None:
            return Ruling(Verdict.UNKNOWN_GRANT)
        if not 0 < record.tokens <= grant.left:
            return Ruling(Verdict.GRANT_SPENT)
        self.return_ids.add(record.return_id)
        self._release(budget, record.grant_id, record.tokens)
        return Ruling(Verdict.ACCEPTED, record.tokens)

    def _apply_close(self, record: Close) -> Ruling:
        budget = self._budget(record.workspace)
        grant = budget.grants.get(record.grant_id)
        if grant is None:
            return Ruling(Verdict.UNKNOWN_GRANT)
        grant.closed = True
        tokens = max(0, grant.left - max(0, record.retained_tokens))
        self._release(budget, record.grant_id, tokens)
        return Ruling(Verdict.ACCEPTED, tokens)

    def _release(self, budget: Budget, grant_id: str, tokens: int) -> None:
        budget.grants[grant_id].returned += tokens
        budget.granted -= tokens
        self._drop_empty(budget, grant_id)

    def _drop_empty(self, budget: Budget, grant_id: str) -> None:
        if budget.grants[grant_id].left == 0:
            del budget.grants[grant_id]

    def _forget_old_bills(self, at: float) -> None:
        while self.bills:
            key = next(iter(self.bills))
            if self.bills[key].at > at - BILL_WINDOW_SECONDS:
                return
            del self.bills[key]

    def _check(self, workspace: str) -> None:
        budget = self._budget(workspace)
        if not 0 <= budget.billed <= budget.granted <= budget.credited:
            raise InvariantError(f"the budget of {workspace} does not add up: {budget}")
