"""Bill each request once and confirm the bill before its response ends."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define
from result import Err, Ok, Result

from bronzetiller.budgets.holdings import Holdings, Reservation
from bronzetiller.budgets.ledger import RERUNS_MAX, ApplyResult, Verdict
from bronzetiller.budgets.records import Bill, LedgerRecord, Outcome
from bronzetiller.budgets.shards import Shards
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.metrics import TOKENS_BILLED
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.requests.bill_replicas import make_separate_bill
from bronzetiller.requests.bill_replicator import BillReplicator, Replication
from bronzetiller.settings import RequestSettings
from bronzetiller.storage.log_client import Entry

SKIPPED_CHECK_INTERVAL_SECONDS = 1.0

BilledCallback = Callable[[Result[int, Refusal]], None]


@define(eq=False)
class _OpenBill:
    bill: Bill
    outcome: Outcome | None
    on_billed: BilledCallback | None
    expiry_timer: Timer | None = None
    replication_timer: Timer | None = None
    replication: Replication | None = None
    offset: int | None = None


class Biller:
    """Append bills to the ledger.

    A response ends once the ledger has applied its bill or enough peers hold a replica of it.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        shards: Shards,
        holdings: Holdings,
        replicator: BillReplicator,
        settings: RequestSettings,
        incarnation: str,
    ) -> None:
        self._scheduler = scheduler
        self._shards = shards
        self._holdings = holdings
        self._replicator = replicator
        self._settings = settings
        self._incarnation = incarnation
        self._open_bills: dict[str, _OpenBill] = {}
        shards.subscribe(self._on_record_applied)
        scheduler.call_every(SKIPPED_CHECK_INTERVAL_SECONDS, self._append_skipped_again)

    @property
    def is_durable(self) -> bool:
        """Return whether enough peers hold a replica of each bill not applied yet."""
        return all(
            open_bill.replication is not None and open_bill.replication.is_durable
            for open_bill in self._open_bills.values()
        )

    def can_confirm(self, workspace: str) -> bool:
        """Return whether a bill of the workspace can be confirmed now."""
        return self._shards.find(workspace).is_log_reachable or self._replicator.can_replicate

    def count_open_bills(self, workspace: str, request_id: str) -> int:
        """Count the bills for a request id that the ledger has not applied yet."""
        bills = [open_bill.bill for open_bill in self._open_bills.values()]
        return sum(
            1 for bill in bills if (bill.workspace, bill.request_id) == (workspace, request_id)
        )

    def bill(
        self,
        request_id: str,
        fingerprint: str,
        reservation: Reservation,
        tokens: int,
        on_billed: BilledCallback,
        outcome: Outcome | None = None,
    ) -> None:
        """Charge a request; on_billed is called once the bill is certain to reach the ledger.

        The outcome of a claim is appended to the log right after the bill.
        """
        charges = self._holdings.settle(reservation, tokens)
        bill = Bill(
            reservation.workspace,
            request_id,
            fingerprint,
            self._incarnation,
            tokens,
            charges,
            self._shards.find(reservation.workspace).ledger.bill_count,
            uuid4().hex,
        )
        open_bill = _OpenBill(bill, outcome, on_billed)
        self._open_bills[bill.bill_id] = open_bill
        call_after = self._scheduler.call_after
        open_bill.expiry_timer = call_after(
            self._settings.confirm_seconds, lambda: self._expire(open_bill)
        )
        reachable = self._shards.find(bill.workspace).is_log_reachable
        replication_delay_seconds = self._settings.copy_after_seconds if reachable else 0.0
        open_bill.replication_timer = call_after(
            replication_delay_seconds, lambda: self._replicate(open_bill)
        )
        self._append(open_bill)
        if outcome is not None:
            self._shards.append(outcome)

    def _append(self, open_bill: _OpenBill) -> None:
        def acknowledge(offset: int) -> None:
            open_bill.offset = offset

        open_bill.offset = None
        self._shards.append(open_bill.bill, acknowledge)

    def _append_skipped_again(self) -> None:
        """Append bills again whose results were skipped, such as by loading a snapshot."""
        for open_bill in list(self._open_bills.values()):
            next_offset = self._shards.find(open_bill.bill.workspace).follower.next_offset
            if open_bill.offset is not None and open_bill.offset < next_offset:
                self._append(open_bill)

    def _replicate(self, open_bill: _OpenBill) -> None:
        open_bill.replication = self._replicator.replicate(
            open_bill.bill,
            open_bill.outcome,
            lambda: self._confirm(open_bill, Ok(open_bill.bill.tokens)),
        )

    def _on_record_applied(self, entry: Entry, record: LedgerRecord, result: ApplyResult) -> None:
        if not isinstance(record, Bill) or record.biller != self._incarnation:
            return
        open_bill = self._open_bills.pop(record.bill_id, None)
        if open_bill is None:
            return
        if open_bill.replication_timer is not None:
            open_bill.replication_timer.cancel()
        if open_bill.replication is not None:
            self._replicator.drop_replicas(open_bill.replication)
        self._handle_verdict(open_bill, record, result.verdict)

    def _handle_verdict(self, open_bill: _OpenBill, bill: Bill, verdict: Verdict) -> None:
        match verdict:
            case Verdict.ACCEPTED:
                TOKENS_BILLED.inc(bill.tokens)
                self._holdings.confirm(bill.workspace, bill.charges)
                self._confirm(open_bill, Ok(bill.tokens))
            case Verdict.DUPLICATE:
                self._handle_duplicate(open_bill, bill)
            case Verdict.KEY_REUSED if open_bill.replication is not None:
                self._bill_separately(bill)
                self._confirm(open_bill, Ok(bill.tokens))
            case Verdict.KEY_REUSED:
                self._holdings.restore(bill.workspace, bill.charges)
                detail = "the idempotency key was used for a different request"
                self._confirm(open_bill, Err(Refusal(422, Reason.KEY_REUSED, detail, Ran.YES)))
            case _:
                self._holdings.confirm(bill.workspace, bill.charges)
                detail = "the tokens reserved for the request no longer belong to this node"
                self._confirm(open_bill, Err(Refusal(503, Reason.BILL_VOID, detail, Ran.YES)))

    def _bill_separately(self, bill: Bill) -> None:
        separate_bill = make_separate_bill(bill)
        open_bill = self._open_bills[separate_bill.bill_id] = _OpenBill(separate_bill, None, None)
        self._append(open_bill)

    def _handle_duplicate(self, open_bill: _OpenBill, bill: Bill) -> None:
        """Return the charges to the balance unless the bill is a copy of the accepted one."""
        recorded = self._shards.find(bill.workspace).ledger.find_bill(
            bill.workspace, bill.request_id
        )
        if recorded is not None and recorded.bill_id == bill.bill_id:
            self._holdings.confirm(bill.workspace, bill.charges)
            self._confirm(open_bill, Ok(bill.tokens))
            return
        self._holdings.restore(bill.workspace, bill.charges)
        if recorded is not None and recorded.reruns > RERUNS_MAX:
            self._confirm(open_bill, Err(refuse_rerun()))
            return
        self._confirm(open_bill, Ok(0))

    def _confirm(self, open_bill: _OpenBill, result: Result[int, Refusal]) -> None:
        if open_bill.expiry_timer is not None:
            open_bill.expiry_timer.cancel()
        if open_bill.on_billed is not None:
            on_billed, open_bill.on_billed = open_bill.on_billed, None
            on_billed(result)

    def _expire(self, open_bill: _OpenBill) -> None:
        detail = "the response is complete but its bill could not be recorded"
        refusal = Refusal(503, Reason.BILL_UNCONFIRMED, detail, Ran.YES, retry_after_seconds=1)
        self._confirm(open_bill, Err(refusal))


def refuse_rerun() -> Refusal:
    """Return the refusal of a request whose billed key allows no further reruns."""
    detail = "the request was billed and the reruns that its bill covers are used up"
    return Refusal(409, Reason.RERUNS_SPENT, detail, Ran.YES)
