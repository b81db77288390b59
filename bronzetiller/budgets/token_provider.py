"""Give tokens to peers that ask for them."""

from attrs import define

from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.returns import Returns
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.budgets.workspace_state import WorkspaceState
from bronzetiller.fleet.incarnations import read_node_id
from bronzetiller.metrics import TOKENS_MOVED
from bronzetiller.wire.messages import AskTokens, TransferTokens


@define(eq=False)
class TokenProvider:
    """Take tokens off the own grants for a peer, before the peer hears of them."""

    _holdings: Holdings
    _transfers: Transfers
    _returns: Returns
    _guard: PauseGuard
    _incarnation: str

    def can_issue(self, state: WorkspaceState, ask: AskTokens) -> bool:
        """Say whether the peer would get what it misses, or was answered before."""
        known = ask.transfer_id in self._transfers.issued
        return known or self._count_spare(state, ask) >= ask.missing_tokens

    def issue(self, state: WorkspaceState, ask: AskTokens, *, is_current: bool) -> TransferTokens:
        """Return the answer to an ask; received tokens go back to the ledger instead."""
        workspace = ask.workspace
        spare = self._count_spare(state, ask)
        # What a peer received it can only spend or return, and return only where the log is.
        more = min(ask.wanted_tokens, spare // 2) if ask.log_reachable else 0
        tokens = min(spare, max(ask.missing_tokens, more))
        charges = self._transfers.issue(self._holdings, ask.transfer_id, workspace, tokens)
        given = sum(charge.tokens for charge in charges)
        TOKENS_MOVED.labels("given_to_peer").inc(given)
        returned = 0
        can_return = ask.log_reachable and is_current and not state.waiters
        if given < ask.missing_tokens and can_return:
            returned = self._returns.return_balance(workspace)
        kept = self._holdings.count_held(workspace)
        return TransferTokens(ask.transfer_id, workspace, charges, kept, returned)

    def _count_spare(self, state: WorkspaceState, ask: AskTokens) -> int:
        if not self._guard.may_spend(ask.workspace):
            return 0
        # Of two nodes that both wait, one gives all to the other, else both would refuse.
        own = any(waiter.local for waiter in state.waiters)
        if own and ask.asker > read_node_id(self._incarnation):
            return 0
        return self._transfers.count_spare(self._holdings, ask.workspace)
