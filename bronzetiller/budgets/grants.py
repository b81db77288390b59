"""Supply a node with tokens: grants from the ledger, transfers from peers, a request queue."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.budgets.closes import apply_close, drop_closed_grants, prune_void_grants
from bronzetiller.budgets.demand import Demand, is_below_watermark, size_grant, size_reserve
from bronzetiller.budgets.gaps import GapDetector
from bronzetiller.budgets.holdings import Holdings, Reservation, make_grant_id
from bronzetiller.budgets.ledger import ApplyResult, Budget, Ledger
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.records import Bill, Close, Credit, Grant, LedgerRecord, Return
from bronzetiller.budgets.returns import Returns
from bronzetiller.budgets.shards import Shard, Shards
from bronzetiller.budgets.sources import (
    NextStep,
    Shortage,
    TokenRequestOutcome,
    choose_next_step,
    is_fleet_short,
)
from bronzetiller.budgets.token_provider import TokenProvider
from bronzetiller.budgets.token_requester import TokenRequest, TokenRequester
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.budgets.workspace_state import Waiter, WorkspaceState
from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.incarnations import read_node_id
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_REQUESTED, TOKENS_MOVED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import BudgetSettings
from bronzetiller.storage.log_client import Entry
from bronzetiller.wire.messages import AskTokens, TransferTokens

RETRY_INTERVAL_SECONDS = 0.2
PEER_WAIT_SECONDS_MAX = 1.2
PROBE_DELAY_SECONDS = 0.5
WAIT_AFTER_PAUSE_SECONDS = 1.0
MAINTENANCE_INTERVAL_SECONDS = 1.0

ReservationCallback = Callable[[Result[Reservation, Refusal]], None]
TransferCallback = Callable[[TransferTokens], None]


@define(eq=False)
class GrantManager:
    """Reserve tokens for requests, and queue those that must wait for more tokens."""

    _scheduler: Scheduler
    _shards: Shards
    _holdings: Holdings
    _transfers: Transfers
    _requester: TokenRequester
    _returns: Returns
    _guard: PauseGuard
    _settings: BudgetSettings
    _incarnation: str
    _is_credit_pending: Callable[[str], bool]
    _list_peers: Callable[[], list[str]]
    _states: dict[str, WorkspaceState] = field(factory=dict)
    _gaps: GapDetector = field(factory=GapDetector)
    _provider: TokenProvider = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._provider = TokenProvider(
            self._holdings, self._transfers, self._returns, self._guard, self._incarnation
        )

    def start(self) -> None:
        """Start following the ledger and returning idle tokens."""
        self._shards.subscribe(self._on_record_applied)
        self._guard.on_confirmed = self._process_all_queues
        for shard in self._shards.all:
            self._gaps.watch(shard)
        self._scheduler.call_every(MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance)

    def reserve_when_available(
        self, workspace: str, tokens: int, on_result: ReservationCallback
    ) -> None:
        """Reserve tokens; pass on_result a reservation, or a refusal when the wait times out."""
        state = self._get_state(workspace)
        state.demand.observe(self._scheduler.now(), tokens)

        def try_serve() -> bool:
            reservation = self._reserve(workspace, tokens)
            if reservation is not None:
                on_result(Ok(reservation))
            return reservation is not None

        def refuse(refusal: Refusal) -> None:
            state.demand.observe(self._scheduler.now(), -tokens)
            on_result(Err(refusal))

        if not state.waiters and try_serve():
            self._prefetch_grant(workspace, state, tokens)
            return
        waiter = Waiter(tokens, try_serve, refuse, local=True)
        self._enqueue(workspace, state, waiter, self._settings.wait_seconds)

    def handle_token_request(self, request: AskTokens, reply: TransferCallback) -> None:
        """Transfer tokens to a peer; if the request may wait, obtain a grant for it first."""
        workspace = request.workspace
        state = self._get_state(workspace)

        def issue(refusal: Refusal | None = None) -> None:
            reply(
                self._provider.issue(state, request, is_current=self._is_ledger_current(workspace))
            )

        def try_serve() -> bool:
            if not self._provider.can_issue(state, request):
                return False
            issue()
            return True

        if try_serve():
            return
        if not request.may_wait or not self._is_ledger_current(workspace):
            issue()
            return
        waiter = Waiter(request.missing_tokens, try_serve, issue, local=False)
        self._enqueue(workspace, state, waiter, PEER_WAIT_SECONDS_MAX)

    def set_reserve(self, workspace: str, *, enabled: bool) -> None:
        """Start or stop holding the region's reserve of a workspace on this node."""
        state = self._states.get(workspace)
        if not enabled:
            if state is not None:
                state.reserve_tokens = 0
            return
        balance = self._holdings.balance(workspace)
        reserve = size_reserve(
            free=self._get_budget(workspace).free,
            balance=balance,
            tokens=self._settings.region_reserve_tokens,
            share_max=self._settings.region_reserve_share_max,
        )
        if not reserve or not self._is_ledger_current(workspace):
            return
        state = self._get_state(workspace)
        state.reserve_tokens = reserve
        if is_below_watermark(balance=balance, demand=reserve):
            self._request_grant(workspace, state, "reserve")

    def return_all(self) -> None:
        """Return all unreserved tokens to the ledger, before the node stops."""
        for workspace in list(self._holdings.balances):
            self._returns.return_balance(workspace)

    def _get_state(self, workspace: str) -> WorkspaceState:
        state = self._states.get(workspace)
        if state is None:
            demand = Demand(self._settings.grant_horizon_seconds)
            state = self._states[workspace] = WorkspaceState(demand)
            state.last_used_at = self._scheduler.now()
        return state

    def _reserve(self, workspace: str, tokens: int) -> Reservation | None:
        if not self._guard.may_spend(workspace):
            return None
        reservation = self._holdings.reserve(workspace, tokens)
        if reservation is not None:
            self._get_state(workspace).last_used_at = self._scheduler.now()
        return reservation

    def _is_ledger_current(self, workspace: str) -> bool:
        return self._shards.find(workspace).is_current

    def _enqueue(
        self, workspace: str, state: WorkspaceState, waiter: Waiter, seconds: float
    ) -> None:
        def expire() -> None:
            # The timeout elapsed while the process was paused. The ledger is being read again to
            # confirm the grants, so extend the wait once.
            if not waiter.extended and not self._guard.may_spend(workspace):
                waiter.extended = True
                waiter.timer = self._scheduler.call_after(WAIT_AFTER_PAUSE_SECONDS, expire)
                return
            state.waiters.remove(waiter)
            waiter.refuse(_refuse_unconfirmed())
            self._process_queue(workspace)

        waiter.timer = self._scheduler.call_after(seconds, expire)
        state.waiters.append(waiter)
        self._process_queue(workspace)

    def _process_all_queues(self) -> None:
        for workspace in list(self._states):
            self._process_queue(workspace)

    def _process_queue(self, workspace: str) -> None:
        state = self._get_state(workspace)
        while state.waiters and state.waiters[0].try_serve():
            self._remove(state, state.waiters[0])
        if not state.waiters:
            state.peer_outcome = None
            state.short_rounds = state.round_count = 0
            return
        if not self._guard.may_spend(workspace):
            return
        waiter = state.waiters[0]
        match choose_next_step(self._describe_shortage(workspace, state, waiter)):
            case NextStep.LEDGER:
                self._request_grant(workspace, state, "waiting")
                self._retry_later(workspace, state)  # the log may become unreachable meanwhile
            case NextStep.PEERS if any(other.local for other in state.waiters):
                self._request_from_peers(workspace, state)
            case NextStep.RETURN:
                self._serve_fitting(state)
                self._returns.return_balance(workspace)
                self._retry_later(workspace, state)
            case NextStep.EXHAUSTED:
                state.short_rounds = 0
                self._remove(state, waiter)
                waiter.refuse(_refuse_exhausted())
                self._process_queue(workspace)
            case _:
                self._serve_fitting(state)
                self._retry_later(workspace, state)

    def _serve_fitting(self, state: WorkspaceState) -> None:
        for waiter in list(state.waiters):
            if waiter.try_serve():
                self._remove(state, waiter)

    def _remove(self, state: WorkspaceState, waiter: Waiter) -> None:
        state.waiters.remove(waiter)
        if waiter.timer is not None:
            waiter.timer.cancel()

    def _describe_shortage(self, workspace: str, state: WorkspaceState, waiter: Waiter) -> Shortage:
        budget = self._get_budget(workspace)
        return Shortage(
            needed=waiter.tokens,
            balance=self._holdings.balance(workspace),
            held=self._holdings.count_held(workspace),
            free=budget.free,
            unspent=budget.credited - budget.billed,
            ledger_current=self._is_ledger_current(workspace),
            record_pending=state.pending_grant_id is not None
            or self._returns.is_pending(workspace),
            credit_pending=self._is_credit_pending(workspace),
            peer_request_running=state.peer_request_running,
            peer_outcome=state.peer_outcome,
            short_rounds=state.short_rounds,
        )

    def _get_budget(self, workspace: str) -> Budget:
        return self._shards.find(workspace).ledger.budgets.get(workspace) or Budget()

    def _prefetch_grant(self, workspace: str, state: WorkspaceState, tokens: int) -> None:
        balance = self._holdings.balance(workspace)
        demand = self._estimate_cover(state)
        if state.pending_grant_id is not None or not is_below_watermark(
            balance=balance, demand=demand
        ):
            return
        size = self._size_grant(workspace, state)
        if size >= max(balance, tokens) and self._is_ledger_current(workspace):
            self._request_grant(workspace, state, "ahead")

    def _size_grant(self, workspace: str, state: WorkspaceState) -> int:
        return size_grant(
            waiting=sum(waiter.tokens for waiter in state.waiters),
            balance=self._holdings.balance(workspace),
            demand=self._estimate_cover(state),
            free=self._get_budget(workspace).free,
            tokens_min=max(self._settings.grant_tokens_min, state.reserve_tokens),
            share_max=self._settings.grant_share_max,
        )

    def _estimate_cover(self, state: WorkspaceState) -> float:
        """Return the tokens for serving grant_cover_seconds without the log, at current demand."""
        demand = state.demand.estimate(self._scheduler.now())
        return demand * self._settings.grant_cover_seconds / self._settings.grant_horizon_seconds

    def _request_grant(self, workspace: str, state: WorkspaceState, cause: str) -> None:
        tokens = self._size_grant(workspace, state)
        if tokens <= 0 or state.pending_grant_id is not None:
            return
        state.probe_at = self._scheduler.now() + PROBE_DELAY_SECONDS
        state.pending_grant_id = make_grant_id(self._incarnation, uuid4().hex[:12])
        count = self._shards.find(workspace).ledger.grant_count
        GRANTS_REQUESTED.labels(cause).inc()
        tokens_least = 1
        if state.waiters:
            tokens_least = state.waiters[0].tokens - self._holdings.balance(workspace)
        self._shards.append(
            Grant(
                state.pending_grant_id,
                workspace,
                self._incarnation,
                tokens,
                count,
                max(1, tokens_least),
            )
        )

    def _request_from_peers(self, workspace: str, state: WorkspaceState) -> None:
        waiter = next(waiter for waiter in state.waiters if waiter.local)
        grants = self._get_budget(workspace).grants.values()
        tokens_by_node: dict[str, int] = {}
        for grant in grants:
            if grant.holder != self._incarnation:
                node_id = read_node_id(grant.holder)
                tokens_by_node[node_id] = tokens_by_node.get(node_id, 0) + grant.remaining
        node_ids = sorted(tokens_by_node, key=lambda node_id: -tokens_by_node[node_id])
        ledger_current = self._is_ledger_current(workspace)
        if not ledger_current:
            node_ids += [node_id for node_id in self._list_peers() if node_id not in tokens_by_node]
        missing = waiter.tokens - self._holdings.balance(workspace)
        demand = int(state.demand.estimate(self._scheduler.now()))
        # The first round takes tokens that peers already have; only later rounds let a peer
        # obtain a grant, which takes longer.
        may_wait = not ledger_current and state.round_count > 0
        state.round_count += 1
        wanted = max(missing, demand)
        token_request = TokenRequest(
            workspace, missing, wanted, ledger_current, may_wait, node_ids, complete=ledger_current
        )

        def finish(outcome: TokenRequestOutcome) -> None:
            state.peer_request_running = False
            state.peer_outcome = outcome
            if state.waiters:
                is_short = is_fleet_short(
                    self._describe_shortage(workspace, state, state.waiters[0])
                )
                state.short_rounds = state.short_rounds + 1 if is_short else 0
            self._process_queue(workspace)

        state.peer_request_running = True
        self._requester.start_round(token_request, finish)

    def _retry_later(self, workspace: str, state: WorkspaceState) -> None:
        if state.retry_timer is not None or state.peer_request_running:
            return

        def retry() -> None:
            state.retry_timer = None
            state.peer_outcome = None
            self._probe(workspace, state)
            self._process_queue(workspace)

        state.retry_timer = self._scheduler.call_after(RETRY_INTERVAL_SECONDS, retry)

    def _probe(self, workspace: str, state: WorkspaceState) -> None:
        """Read the log directly if a grant is overdue; the peer that relays it may have failed."""
        now = self._scheduler.now()
        if state.pending_grant_id is not None and now >= state.probe_at:
            state.probe_at = now + PROBE_DELAY_SECONDS
            self._shards.find(workspace).follower.probe()

    def _run_maintenance(self) -> None:
        for shard in self._shards.all:
            if self._gaps.pop_gap(shard):
                self._reconcile(shard)
        self._return_idle()
        self._returns.return_surplus()
        self._requester.retry_unanswered()
        prune_void_grants(self._holdings, lambda workspace: self._shards.find(workspace).ledger)
        self._delete_idle_states()

    def _reconcile(self, shard: Shard) -> None:
        """Update holdings and pending records from the ledger state, after skipped records."""
        log_event("holdings_reconciled", stream=shard.follower.stream)
        for workspace, state in list(self._states.items()):
            if self._shards.find(workspace) is shard:
                self._reconcile_grant(shard.ledger, workspace, state)
                drop_closed_grants(self._holdings, self._incarnation, workspace, shard.ledger)
        self._returns.reconcile(shard)
        self._process_all_queues()

    def _reconcile_grant(self, ledger: Ledger, workspace: str, state: WorkspaceState) -> None:
        if state.pending_grant_id is None or state.pending_grant_id not in ledger.grant_rulings:
            return
        grant = ledger.find_grant(workspace, state.pending_grant_id)
        if grant is not None and not grant.closed:
            self._holdings.add(workspace, state.pending_grant_id, grant.remaining)
        state.pending_grant_id = None

    def _delete_idle_states(self) -> None:
        for workspace, state in list(self._states.items()):
            busy = state.waiters or state.pending_grant_id is not None or state.peer_request_running
            in_use = bool(busy or state.reserve_tokens)
            demand = state.demand.estimate(self._scheduler.now())
            if not in_use and demand < 1 and not self._holdings.count_held(workspace):
                del self._states[workspace]

    def _return_idle(self) -> None:
        now = self._scheduler.now()
        for workspace, state in list(self._states.items()):
            idle_at = state.last_used_at + self._settings.idle_return_seconds
            if now >= idle_at and not state.waiters and self._is_ledger_current(workspace):
                self._returns.return_balance(workspace, keep=state.reserve_tokens)

    def _on_record_applied(self, entry: Entry, record: LedgerRecord, result: ApplyResult) -> None:
        match record:
            case Grant() if record.holder == self._incarnation:
                self._handle_grant(record, result)
            case Return() if record.holder == self._incarnation:
                self._returns.mark_applied(record)
            case Close():
                ledger = self._shards.find(record.workspace).ledger
                dropped = apply_close(self._holdings, self._incarnation, record, ledger)
                TOKENS_MOVED.labels("dropped").inc(dropped)
            case Credit() | Bill():
                pass
            case _:
                return
        if record.workspace in self._states and result.tokens:
            self._process_queue(record.workspace)

    def _handle_grant(self, record: Grant, result: ApplyResult) -> None:
        state = self._get_state(record.workspace)
        if state.pending_grant_id != record.grant_id:
            return
        state.pending_grant_id = None
        self._holdings.add(record.workspace, record.grant_id, result.tokens)
        TOKENS_MOVED.labels("granted").inc(result.tokens)
        if state.waiters and not result.tokens:
            self._process_queue(record.workspace)


def _refuse_exhausted() -> Refusal:
    return Refusal(402, Reason.BUDGET_EXHAUSTED, "the budget has too few tokens left")


def _refuse_unconfirmed() -> Refusal:
    detail = "the tokens left in the budget could not be confirmed in time"
    return Refusal(503, Reason.BUDGET_UNCONFIRMED, detail, retry_after_seconds=1)
