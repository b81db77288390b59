"""Respond to token requests from peers."""

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
    """Deduct tokens of this node's grants for a peer, before the response is sent."""

    _holdings: Holdings
    _transfers: Transfers
    _returns: Returns
    _guard: PauseGuard
    _incarnation: str

    def can_issue(self, state: WorkspaceState, request: AskTokens) -> bool:
        """Return whether enough tokens can be issued, or the request was processed before."""
        already_issued = request.transfer_id in self._transfers.issued
        return already_issued or self._count_spare(state, request) >= request.missing_tokens

    def issue(
        self, state: WorkspaceState, request: AskTokens, *, is_current: bool
    ) -> TransferTokens:
        """Return the response to a token request.

        If the grants issued to this node do not suffice, its other tokens, which were received from
        peers and cannot be passed on, are returned to the ledger, where the peer can obtain them.
        """
        workspace = request.workspace
        spare = self._count_spare(state, request)
        # A peer can only spend received tokens or return them, and it can return them only while
        # the log is reachable. So send no extra tokens to a peer without the log.
        preferred = min(request.wanted_tokens, spare // 2) if request.log_reachable else 0
        tokens = min(spare, max(request.missing_tokens, preferred))
        charges = self._transfers.issue(self._holdings, request.transfer_id, workspace, tokens)
        issued = sum(charge.tokens for charge in charges)
        TOKENS_MOVED.labels("given_to_peer").inc(issued)
        can_return = request.log_reachable and is_current and not state.waiters
        if issued < request.missing_tokens and can_return:
            self._returns.return_balance(workspace)
        kept_tokens = self._holdings.count_held(workspace)
        returned = self._returns.count_pending_tokens(workspace)
        return TransferTokens(request.transfer_id, workspace, charges, kept_tokens, returned)

    def _count_spare(self, state: WorkspaceState, request: AskTokens) -> int:
        if not self._guard.may_spend(request.workspace):
            return 0
        # If the peer and this node both have requests waiting, the node with the larger id gives
        # its tokens to the other. Otherwise both could end up with too few and refuse.
        has_local_waiter = any(waiter.local for waiter in state.waiters)
        if has_local_waiter and request.asker > read_node_id(self._incarnation):
            return 0
        return self._transfers.count_spare(self._holdings, request.workspace)
