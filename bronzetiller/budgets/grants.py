"""Obtain grants, so that requests find tokens to reserve."""

from collections import deque
from collections.abc import Callable
from uuid import uuid4

from attrs import define
from result import Err, Ok, Result

from bronzetiller.budgets.holdings import Holdings, Reservation
from bronzetiller.budgets.ledger import Ruling
from bronzetiller.budgets.records import Credit, Grant, LedgerRecord
from bronzetiller.budgets.shards import Shards
from bronzetiller.errors import Reason, Refusal
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.platform.log_client import Entry
from bronzetiller.settings import BudgetSettings

Obtained = Callable[[Result[Reservation, Refusal]], None]


@define(eq=False)
class _Waiter:
    tokens: int
    obtained: Obtained
    timer: Timer | None = None


class GrantKeeper:
    """Reserve tokens at once where the holdings suffice, else after a grant."""

    def __init__(
        self,
        scheduler: Scheduler,
        shards: Shards,
        holdings: Holdings,
        settings: BudgetSettings,
        incarnation: str,
        is_credit_pending: Callable[[str], bool],
    ) -> None:
        self._scheduler = scheduler
        self._shards = shards
        self._holdings = holdings
        self._settings = settings
        self._incarnation = incarnation
        self._is_credit_pending = is_credit_pending
        self._waiters: dict[str, deque[_Waiter]] = {}
        self._requested: dict[str, str] = {}
        shards.subscribe(self._on_ruling)

    def obtain(self, workspace: str, tokens: int, obtained: Obtained) -> None:
        """Give a reservation, or a refusal once the wait is over; never both."""
        waiters = self._waiters.setdefault(workspace, deque())
        if not waiters:
            reservation = self._holdings.reserve(workspace, tokens)
            if reservation is not None:
                obtained(Ok(reservation))
                return
        waiter = _Waiter(tokens, obtained)
        waiter.timer = self._scheduler.call_after(
            self._settings.wait_seconds, lambda: self._expire(workspace, waiter)
        )
        waiters.append(waiter)
        self._request_grant(workspace)

    def _request_grant(self, workspace: str) -> None:
        if workspace in self._requested:
            return
        missing = sum(waiter.tokens for waiter in self._waiters[workspace])
        missing -= self._holdings.balance(workspace)
        grant_id = f"{self._incarnation}/{uuid4().hex[:12]}"
        self._requested[workspace] = grant_id
        tokens = missing + self._settings.grant_tokens_min
        self._shards.append(Grant(grant_id, workspace, self._incarnation, tokens))

    def _on_ruling(self, entry: Entry, record: LedgerRecord, ruling: Ruling) -> None:
        if isinstance(record, Credit) and self._waiters.get(record.workspace):
            self._request_grant(record.workspace)
            return
        if not isinstance(record, Grant) or record.holder != self._incarnation:
            return
        if self._requested.get(record.workspace) != record.grant_id:
            return
        del self._requested[record.workspace]
        self._holdings.add(record.workspace, record.grant_id, ruling.tokens)
        self._serve(record.workspace, ruling.tokens > 0)

    def _serve(self, workspace: str, granted: bool) -> None:
        waiters = self._waiters.get(workspace, deque())
        while waiters:
            reservation = self._holdings.reserve(workspace, waiters[0].tokens)
            if reservation is None:
                break
            self._finish(waiters.popleft(), Ok(reservation))
        if not waiters:
            return
        if granted:
            self._request_grant(workspace)
            return
        if self._is_credit_pending(workspace):
            return
        refusal = Refusal(402, Reason.BUDGET_EXHAUSTED, "the budget has too few tokens left")
        while waiters:
            self._finish(waiters.popleft(), Err(refusal))

    def _finish(self, waiter: _Waiter, result: Result[Reservation, Refusal]) -> None:
        if waiter.timer is not None:
            waiter.timer.cancel()
        waiter.obtained(result)

    def _expire(self, workspace: str, waiter: _Waiter) -> None:
        self._waiters[workspace].remove(waiter)
        detail = "the tokens left in the budget could not be confirmed in time"
        refusal = Refusal(503, Reason.BUDGET_UNCONFIRMED, detail, retry_after_seconds=1)
        waiter.obtained(Err(refusal))
