"""Bill a request once and confirm the bill before its answer ends."""

from collections.abc import Callable

from attrs import define
from result import Err, Ok, Result

from bronzetiller.budgets.holdings import Holdings, Reservation
from bronzetiller.budgets.ledger import Ruling, Verdict
from bronzetiller.budgets.records import Bill, LedgerRecord
from bronzetiller.budgets.shards import Shards
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.metrics import TOKENS_BILLED
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.platform.log_client import Entry

CONFIRM_SECONDS = 20.0

Billed = Callable[[Result[int, Refusal]], None]


@define(eq=False)
class _Open:
    bill: Bill
    billed: Billed | None
    timer: Timer | None = None


class Biller:
    """Append bills and wait for the ledger's ruling."""

    def __init__(
        self, scheduler: Scheduler, shards: Shards, holdings: Holdings, incarnation: str
    ) -> None:
        self._scheduler = scheduler
        self._shards = shards
        self._holdings = holdings
        self._incarnation = incarnation
        self._open: dict[tuple[str, str], _Open] = {}
        shards.subscribe(self._on_ruling)

    def bill(
        self,
        request_id: str,
        fingerprint: str,
        reservation: Reservation,
        tokens: int,
        billed: Billed,
    ) -> None:
        """Charge a request; billed comes once the bill is certain to reach the ledger."""
        charges = self._holdings.settle(reservation, tokens)
        bill = Bill(
            reservation.workspace,
            request_id,
            fingerprint,
            self._incarnation,
            tokens,
            charges,
            self._shards.find(reservation.workspace).ledger.bill_count,
        )
        item = _Open(bill, billed)
        self._open[(bill.workspace, bill.request_id)] = item
        item.timer = self._scheduler.call_after(CONFIRM_SECONDS, lambda: self._expire(item))
        self._shards.append(bill)

    def _on_ruling(self, entry: Entry, record: LedgerRecord, ruling: Ruling) -> None:
        if not isinstance(record, Bill) or record.biller != self._incarnation:
            return
        item = self._open.pop((record.workspace, record.request_id), None)
        if item is None:
            return
        match ruling.verdict:
            case Verdict.ACCEPTED:
                TOKENS_BILLED.inc(record.tokens)
                self._holdings.confirm(record.workspace, record.charges)
                self._confirm(item, Ok(record.tokens))
            case Verdict.DUPLICATE:
                self._holdings.restore(record.workspace, record.charges)
                self._confirm(item, Ok(0))
            case Verdict.KEY_REUSED:
                self._holdings.restore(record.workspace, record.charges)
                detail = "the idempotency key was used for another request"
                self._confirm(item, Err(Refusal(422, Reason.KEY_REUSED, detail, Ran.YES)))
            case _:
                self._holdings.confirm(record.workspace, record.charges)
                detail = "the tokens reserved for the request are no longer this node's"
                self._confirm(item, Err(Refusal(503, Reason.BILL_VOID, detail, Ran.YES)))

    def _confirm(self, item: _Open, result: Result[int, Refusal]) -> None:
        if item.timer is not None:
            item.timer.cancel()
        if item.billed is not None:
            billed, item.billed = item.billed, None
            billed(result)

    def _expire(self, item: _Open) -> None:
        detail = "the answer is complete but its bill could not be recorded"
        self._confirm(item, Err(Refusal(503, Reason.BILL_UNCONFIRMED, detail, Ran.YES)))
