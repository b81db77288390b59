"""Return unused tokens to the ledger."""

from uuid import uuid4

from attrs import define, field

from bronzetiller.budgets.holdings import Holdings, is_held_by
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.records import Return
from bronzetiller.budgets.shards import Shard, Shards
from bronzetiller.logs import log_event
from bronzetiller.metrics import TOKENS_MOVED


@define(eq=False)
class Returns:
    """Return tokens to the ledger, and track the returns that it has not applied yet.

    Tokens are removed from the holdings before the return is appended.
    """

    _shards: Shards
    _holdings: Holdings
    _guard: PauseGuard
    _incarnation: str
    _pending: dict[str, Return] = field(factory=dict)

    def is_pending(self, workspace: str) -> bool:
        """Return whether the ledger has not yet applied all returns of the workspace."""
        return any(record.workspace == workspace for record in self._pending.values())

    def count_pending(self, grant_id: str) -> int:
        """Return the number of tokens of a grant whose return has not been applied yet."""
        return sum(item.tokens for item in self._pending.values() if item.grant_id == grant_id)

    def count_pending_tokens(self, workspace: str) -> int:
        """Return the tokens of a workspace whose return has not been applied yet."""
        pending = self._pending.values()
        return sum(record.tokens for record in pending if record.workspace == workspace)

    def count_pending_by_grant(self, holder: str) -> dict[str, int]:
        """Return, by grant of a holder, the tokens whose return has not been applied yet."""
        grant_ids = {item.grant_id for item in self._pending.values()}
        return {
            grant_id: self.count_pending(grant_id)
            for grant_id in grant_ids
            if is_held_by(grant_id, holder)
        }

    def return_balance(self, workspace: str, keep: int = 0) -> int:
        """Return the unreserved tokens beyond keep to the ledger, and give their number."""
        if not self._guard.may_spend(workspace):
            return 0
        tokens = max(0, self._holdings.balance(workspace) - keep)
        for charge in self._holdings.take(workspace, tokens) or []:
            self._append(workspace, charge.grant_id, charge.tokens)
        return tokens

    def return_surplus(self) -> None:
        """Return tokens of closed grants that this node may still use but does not hold."""
        for shard in self._shards.all:
            if not shard.is_current:
                continue
            for workspace, budget in shard.ledger.budgets.items():
                for grant_id, grant in budget.grants.items():
                    if grant.closed and grant.available(self._incarnation):
                        available = grant.available(self._incarnation)
                        self._return_surplus_of(workspace, grant_id, available)

    def mark_applied(self, record: Return) -> None:
        """Stop tracking a return that the ledger has applied."""
        self._pending.pop(record.return_id, None)

    def reconcile(self, shard: Shard) -> None:
        """Stop tracking the returns that the ledger has applied according to its state."""
        for record in list(self._pending.values()):
            if self._shards.find(record.workspace) is shard:
                grant = shard.ledger.find_grant(record.workspace, record.grant_id)
                if grant is None or record.return_id in grant.return_ids:
                    del self._pending[record.return_id]

    def _return_surplus_of(self, workspace: str, grant_id: str, available: int) -> None:
        surplus = (
            available
            - self.count_pending(grant_id)
            - self._holdings.count_held_of_grant(workspace, grant_id)
        )
        if surplus > 0 and self._guard.may_spend(workspace):
            self._append(workspace, grant_id, surplus)

    def _append(self, workspace: str, grant_id: str, tokens: int) -> None:
        record = Return(uuid4().hex, workspace, grant_id, tokens, self._incarnation)
        self._pending[record.return_id] = record
        TOKENS_MOVED.labels("returned").inc(tokens)
        log_event("tokens_returned", workspace=workspace, grant=grant_id, tokens=tokens)
        self._shards.append(record)
