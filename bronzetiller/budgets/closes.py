"""Decide what a gone holder's grants leave to live nodes, without any input or output."""

from bronzetiller.budgets.holdings import Holdings, is_held_by
from bronzetiller.budgets.ledger import Ledger, Ruling, Verdict
from bronzetiller.budgets.records import Bill, Close
from bronzetiller.wire.messages import HoldingsReport


def follow_close(holdings: Holdings, incarnation: str, record: Close, ruling: Ruling) -> int:
    """Drop the tokens of a closed grant unless the close retains them; return the dropped."""
    if ruling.verdict is not Verdict.ACCEPTED:
        return 0
    held = holdings.held(record.workspace, record.grant_id)
    if held <= record.retained.get(incarnation, 0):
        return 0
    return holdings.drop(record.workspace, record.grant_id)


def follow_state(holdings: Holdings, incarnation: str, workspace: str, ledger: Ledger) -> None:
    """Drop the tokens of grants that were closed or used up in records that were not read."""
    for grant_id in list(holdings.balances.get(workspace, {})):
        grant = ledger.find_grant(workspace, grant_id)
        if grant is None or holdings.held(workspace, grant_id) > grant.available(incarnation):
            holdings.drop(workspace, grant_id)


def make_closes(holder: str, reports: list[HoldingsReport], ledger: Ledger) -> list[Close]:
    """Return the closes that a full set of reports allows.

    A bill that several nodes keep counts once, and not at all where its biller has reported it
    or the ledger has it.
    """
    retained: dict[str, dict[str, int]] = {}
    for report in reports:
        for grant_id, tokens in report.retained.items():
            _count(retained, grant_id, report.incarnation, tokens)
    reporters = {report.incarnation for report in reports}
    for bill in _list_kept_bills(reports):
        if bill.biller in reporters or ledger.find_bill(bill.workspace, bill.request_id):
            continue
        for charge in bill.charges:
            _count(retained, charge.grant_id, bill.biller, charge.tokens)
    return [
        Close(workspace, grant_id, retained.get(grant_id, {}))
        for workspace, budget in ledger.budgets.items()
        for grant_id, grant in budget.grants.items()
        if grant.holder == holder
    ]


def select_bills(bills: list[Bill], holder: str) -> list[Bill]:
    """Return the bills that charge a holder's grants."""
    return [
        bill
        for bill in bills
        if any(is_held_by(charge.grant_id, holder) for charge in bill.charges)
    ]


def _list_kept_bills(reports: list[HoldingsReport]) -> list[Bill]:
    bills = [bill for report in reports for bill in report.kept_bills]
    return list({(bill.workspace, bill.request_id): bill for bill in bills}.values())


def _count(retained: dict[str, dict[str, int]], grant_id: str, biller: str, tokens: int) -> None:
    billers = retained.setdefault(grant_id, {})
    billers[biller] = billers.get(biller, 0) + tokens
