"""Obtain tokens from the ledger and from peers, so that requests find tokens to reserve."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.budgets.closes import apply_close, drop_closed_grants, prune_void_grants
from bronzetiller.budgets.demand import Demand, is_low, size_grant, size_reserve
from bronzetiller.budgets.gaps import GapDetector
from bronzetiller.budgets.holdings import Holdings, Reservation, make_grant_id
from bronzetiller.budgets.ledger import ApplyResult, Budget, Ledger
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.records import Bill, Close, Credit, Grant, LedgerRecord, Return
from bronzetiller.budgets.returns import Returns
from bronzetiller.budgets.shards import Shard, Shards
from bronzetiller.budgets.sources import (
    Shortage,
    Source,
    TokenRequestOutcome,
    choose_source,
    is_short,
)
from bronzetiller.budgets.token_provider import TokenProvider
from bronzetiller.budgets.token_requester import TokenRequest, TokenRequester
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.budgets.workspace_state import Account, Waiter
from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.incarnations import read_node_id
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_ASKED, TOKENS_MOVED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import BudgetSettings
from bronzetiller.storage.log_client import Entry
from bronzetiller.wire.messages import AskTokens, TransferTokens

RETRY_SECONDS = 0.2
PEER_WAIT_SECONDS = 1.2
PROBE_SECONDS = 0.5
AFTER_PAUSE_SECONDS = 1.0
IDLE_CHECK_SECONDS = 1.0

Obtained = Callable[[Result[Reservation, Refusal]], None]
Answer = Callable[[TransferTokens], None]


@define(eq=False)
class GrantManager:
    """Reserve tokens at once where the holdings suffice, else once they have come."""

    _scheduler: Scheduler
    _shards: Shards
    _holdings: Holdings
    _transfers: Transfers
    _asker: TokenRequester
    _returns: Returns
    _guard: PauseGuard
    _settings: BudgetSettings
    _incarnation: str
    _is_credit_pending: Callable[[str], bool]
    _list_peers: Callable[[], list[str]]
    _accounts: dict[str, Account] = field(factory=dict)
    _gaps: GapDetector = field(factory=GapDetector)
    _giver: TokenProvider = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._giver = TokenProvider(
            self._holdings, self._transfers, self._returns, self._guard, self._incarnation
        )

    def start(self) -> None:
        """Follow the ledger and return idle tokens from now on."""
        self._shards.subscribe(self._on_record_applied)
        self._guard.confirmed = self._advance_all
        for shard in self._shards.all:
            self._gaps.watch(shard)
        self._scheduler.call_every(IDLE_CHECK_SECONDS, self._check)

    def obtain(self, workspace: str, tokens: int, obtained: Obtained) -> None:
        """Give a reservation, or a refusal once the wait is over; never both."""
        account = self._account(workspace)
        account.demand.observe(self._scheduler.now(), tokens)

        def try_serve() -> bool:
            reservation = self._reserve(workspace, tokens)
            if reservation is not None:
                obtained(Ok(reservation))
            return reservation is not None

        def refuse(refusal: Refusal) -> None:
            account.demand.observe(self._scheduler.now(), -tokens)
            obtained(Err(refusal))

        if not account.waiters and try_serve():
            self._ask_ahead(workspace, account, tokens)
            return
        waiter = Waiter(tokens, try_serve, refuse, local=True)
        self._wait(workspace, account, waiter, self._settings.wait_seconds)

    def handle_token_request(self, ask: AskTokens, answer: Answer) -> None:
        """Give tokens to a peer; for one that is cut off from the log, after a grant."""
        workspace = ask.workspace
        account = self._account(workspace)

        def issue(refusal: Refusal | None = None) -> None:
            answer(self._giver.issue(account, ask, is_current=self._is_fresh(workspace)))

        def try_serve() -> bool:
            if not self._giver.can_issue(account, ask):
                return False
            issue()
            return True

        if try_serve():
            return
        if not ask.may_wait or not self._is_fresh(workspace):
            issue()
            return
        waiter = Waiter(ask.missing_tokens, try_serve, issue, local=False)
        self._wait(workspace, account, waiter, PEER_WAIT_SECONDS)

    def set_reserve(self, workspace: str, *, kept: bool) -> None:
        """Keep the region's reserve of a workspace on this node, or no longer."""
        account = self._accounts.get(workspace)
        if not kept:
            if account is not None:
                account.reserve_tokens = 0
            return
        balance = self._holdings.balance(workspace)
        reserve = size_reserve(
            free=self._find_budget(workspace).free,
            balance=balance,
            tokens=self._settings.region_reserve_tokens,
            share_max=self._settings.region_reserve_share_max,
        )
        if not reserve or not self._is_fresh(workspace):
            return
        account = self._account(workspace)
        account.reserve_tokens = reserve
        if is_low(balance=balance, demand=reserve):
            self._request_grant(workspace, account, "reserve")

    def return_all(self) -> None:
        """Return every unreserved token, before the node stops."""
        for workspace in list(self._holdings.balances):
            self._returns.return_balance(workspace)

    def _account(self, workspace: str) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            demand = Demand(self._settings.grant_horizon_seconds)
            account = self._accounts[workspace] = Account(demand)
            account.used_at = self._scheduler.now()
        return account

    def _reserve(self, workspace: str, tokens: int) -> Reservation | None:
        if not self._guard.may_spend(workspace):
            return None
        reservation = self._holdings.reserve(workspace, tokens)
        if reservation is not None:
            self._account(workspace).used_at = self._scheduler.now()
        return reservation

    def _is_fresh(self, workspace: str) -> bool:
        return self._shards.find(workspace).is_current

    def _wait(self, workspace: str, account: Account, waiter: Waiter, seconds: float) -> None:
        def expire() -> None:
            # The wait was over while the process was paused; the ledger is being read again.
            if not waiter.extended and not self._guard.may_spend(workspace):
                waiter.extended = True
                waiter.timer = self._scheduler.call_after(AFTER_PAUSE_SECONDS, expire)
                return
            account.waiters.remove(waiter)
            waiter.refuse(_refuse_unconfirmed())
            self._advance(workspace)

        waiter.timer = self._scheduler.call_after(seconds, expire)
        account.waiters.append(waiter)
        self._advance(workspace)

    def _advance_all(self) -> None:
        for workspace in list(self._accounts):
            self._advance(workspace)

    def _advance(self, workspace: str) -> None:
        account = self._account(workspace)
        while account.waiters and account.waiters[0].try_serve():
            self._remove(account, account.waiters[0])
        if not account.waiters:
            account.asked = None
            account.short_rounds = account.rounds = 0
            return
        if not self._guard.may_spend(workspace):
            return
        waiter = account.waiters[0]
        match choose_source(self._describe(workspace, account, waiter)):
            case Source.LEDGER:
                self._request_grant(workspace, account, "waiting")
                self._retry_later(workspace, account)  # the log may fall out of reach meanwhile
            case Source.PEERS if any(other.local for other in account.waiters):
                self._ask_peers(workspace, account)
            case Source.RETURN:
                self._serve_others(account)
                self._returns.return_balance(workspace)
                self._retry_later(workspace, account)
            case Source.EXHAUSTED:
                account.short_rounds = 0
                self._remove(account, waiter)
                waiter.refuse(_refuse_exhausted())
                self._advance(workspace)
            case _:
                self._serve_others(account)
                self._retry_later(workspace, account)

    def _serve_others(self, account: Account) -> None:
        for waiter in list(account.waiters):
            if waiter.try_serve():
                self._remove(account, waiter)

    def _remove(self, account: Account, waiter: Waiter) -> None:
        account.waiters.remove(waiter)
        if waiter.timer is not None:
            waiter.timer.cancel()

    def _describe(self, workspace: str, account: Account, waiter: Waiter) -> Shortage:
        budget = self._find_budget(workspace)
        return Shortage(
            needed=waiter.tokens,
            balance=self._holdings.balance(workspace),
            held=self._holdings.count_held(workspace),
            free=budget.free,
            unspent=budget.credited - budget.billed,
            fresh=self._is_fresh(workspace),
            record_pending=account.requested is not None or self._returns.is_pending(workspace),
            credit_pending=self._is_credit_pending(workspace),
            asking=account.asking,
            asked=account.asked,
            short_rounds=account.short_rounds,
        )

    def _find_budget(self, workspace: str) -> Budget:
        return self._shards.find(workspace).ledger.budgets.get(workspace) or Budget()

    def _ask_ahead(self, workspace: str, account: Account, tokens: int) -> None:
        balance = self._holdings.balance(workspace)
        demand = self._estimate_need(account)
        if account.requested is not None or not is_low(balance=balance, demand=demand):
            return
        size = self._size_grant(workspace, account)
        if size >= max(balance, tokens) and self._is_fresh(workspace):
            self._request_grant(workspace, account, "ahead")

    def _size_grant(self, workspace: str, account: Account) -> int:
        return size_grant(
            waiting=sum(waiter.tokens for waiter in account.waiters),
            balance=self._holdings.balance(workspace),
            demand=self._estimate_need(account),
            free=self._find_budget(workspace).free,
            tokens_min=max(self._settings.grant_tokens_min, account.reserve_tokens),
            share_max=self._settings.grant_share_max,
        )

    def _estimate_need(self, account: Account) -> float:
        """Return the tokens that a node uses while it may be cut off, at its present demand."""
        demand = account.demand.estimate(self._scheduler.now())
        return demand * self._settings.grant_cover_seconds / self._settings.grant_horizon_seconds

    def _request_grant(self, workspace: str, account: Account, cause: str) -> None:
        tokens = self._size_grant(workspace, account)
        if tokens <= 0 or account.requested is not None:
            return
        account.probe_at = self._scheduler.now() + PROBE_SECONDS
        account.requested = make_grant_id(self._incarnation, uuid4().hex[:12])
        count = self._shards.find(workspace).ledger.grant_count
        GRANTS_ASKED.labels(cause).inc()
        least = 1
        if account.waiters:
            least = account.waiters[0].tokens - self._holdings.balance(workspace)
        self._shards.append(
            Grant(account.requested, workspace, self._incarnation, tokens, count, max(1, least))
        )

    def _ask_peers(self, workspace: str, account: Account) -> None:
        waiter = next(waiter for waiter in account.waiters if waiter.local)
        grants = self._find_budget(workspace).grants.values()
        left: dict[str, int] = {}
        for grant in grants:
            if grant.holder != self._incarnation:
                node_id = read_node_id(grant.holder)
                left[node_id] = left.get(node_id, 0) + grant.remaining
        node_ids = sorted(left, key=lambda node_id: -left[node_id])
        fresh = self._is_fresh(workspace)
        if not fresh:
            node_ids += [node_id for node_id in self._list_peers() if node_id not in left]
        missing = waiter.tokens - self._holdings.balance(workspace)
        demand = int(account.demand.estimate(self._scheduler.now()))
        # Peers that have tokens come before those that would first have to obtain a grant.
        may_wait = not fresh and account.rounds > 0
        account.rounds += 1
        wanted = max(missing, demand)
        ask = TokenRequest(workspace, missing, wanted, fresh, may_wait, node_ids, complete=fresh)

        def finish(outcome: TokenRequestOutcome) -> None:
            account.asking = False
            account.asked = outcome
            if account.waiters:
                short = is_short(self._describe(workspace, account, account.waiters[0]))
                account.short_rounds = account.short_rounds + 1 if short else 0
            self._advance(workspace)

        account.asking = True
        self._asker.ask(ask, finish)

    def _retry_later(self, workspace: str, account: Account) -> None:
        if account.retry is not None or account.asking:
            return

        def retry() -> None:
            account.retry = None
            account.asked = None
            self._probe(workspace, account)
            self._advance(workspace)

        account.retry = self._scheduler.call_after(RETRY_SECONDS, retry)

    def _probe(self, workspace: str, account: Account) -> None:
        """Read the log itself where a ruling is late, as the peer that relays it may be dead."""
        now = self._scheduler.now()
        if account.requested is not None and now >= account.probe_at:
            account.probe_at = now + PROBE_SECONDS
            self._shards.find(workspace).follower.probe()

    def _check(self) -> None:
        for shard in self._shards.all:
            if self._gaps.take_gap(shard):
                self._reconcile(shard)
        self._return_idle()
        self._returns.return_surplus()
        self._asker.repeat_unanswered()
        prune_void_grants(self._holdings, lambda workspace: self._shards.find(workspace).ledger)
        self._forget_idle()

    def _reconcile(self, shard: Shard) -> None:
        """Learn from the state of the ledger what became of records whose rulings were missed."""
        log_event("holdings_reconciled", stream=shard.follower.stream)
        for workspace, account in list(self._accounts.items()):
            if self._shards.find(workspace) is shard:
                self._reconcile_grant(shard.ledger, workspace, account)
                drop_closed_grants(self._holdings, self._incarnation, workspace, shard.ledger)
        self._returns.reconcile(shard)
        self._advance_all()

    def _reconcile_grant(self, ledger: Ledger, workspace: str, account: Account) -> None:
        if account.requested is None or account.requested not in ledger.grant_rulings:
            return
        grant = ledger.find_grant(workspace, account.requested)
        if grant is not None and not grant.closed:
            self._holdings.add(workspace, account.requested, grant.remaining)
        account.requested = None

    def _forget_idle(self) -> None:
        for workspace, account in list(self._accounts.items()):
            busy = account.waiters or account.requested is not None or account.asking
            kept = bool(busy or account.reserve_tokens)
            demand = account.demand.estimate(self._scheduler.now())
            if not kept and demand < 1 and not self._holdings.count_held(workspace):
                del self._accounts[workspace]

    def _return_idle(self) -> None:
        now = self._scheduler.now()
        for workspace, account in list(self._accounts.items()):
            idle_at = account.used_at + self._settings.idle_return_seconds
            if now >= idle_at and not account.waiters and self._is_fresh(workspace):
                self._returns.return_balance(workspace, keep=account.reserve_tokens)

    def _on_record_applied(self, entry: Entry, record: LedgerRecord, ruling: ApplyResult) -> None:
        match record:
            case Grant() if record.holder == self._incarnation:
                self._take_grant(record, ruling)
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
        if record.workspace in self._accounts and ruling.tokens:
            self._advance(record.workspace)

    def _take_grant(self, record: Grant, ruling: ApplyResult) -> None:
        account = self._account(record.workspace)
        if account.requested != record.grant_id:
            return
        account.requested = None
        self._holdings.add(record.workspace, record.grant_id, ruling.tokens)
        TOKENS_MOVED.labels("granted").inc(ruling.tokens)
        if account.waiters and not ruling.tokens:
            self._advance(record.workspace)


def _refuse_exhausted() -> Refusal:
    return Refusal(402, Reason.BUDGET_EXHAUSTED, "the budget has too few tokens left")


def _refuse_unconfirmed() -> Refusal:
    detail = "the tokens left in the budget could not be confirmed in time"
    return Refusal(503, Reason.BUDGET_UNCONFIRMED, detail, retry_after_seconds=1)
