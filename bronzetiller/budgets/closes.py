"""Compute the closes of grants whose holder is gone; no I/O."""

from collections.abc import Callable

from bronzetiller.budgets.holdings import Holdings, is_held_by
from bronzetiller.budgets.ledger import GrantState, Ledger
from bronzetiller.budgets.records import Bill, Close
from bronzetiller.wire.messages import HoldingsReport


def apply_close(holdings: Holdings, incarnation: str, record: Close, ledger: Ledger) -> int:
    """Drop this node's tokens of a closed grant if its limit is lower; return their number."""
    grant = ledger.find_grant(record.workspace, record.grant_id)
    available = 0 if grant is None else grant.available(incarnation)
    if holdings.count_held_of_grant(record.workspace, record.grant_id) <= available:
        return 0
    return holdings.drop(record.workspace, record.grant_id)


def drop_closed_grants(
    holdings: Holdings, incarnation: str, workspace: str, ledger: Ledger
) -> None:
    """Drop the tokens of grants that were closed or used up by records that this node skipped."""
    for grant_id in list(holdings.balances.get(workspace, {})):
        grant = ledger.find_grant(workspace, grant_id)
        if grant is None or holdings.count_held_of_grant(workspace, grant_id) > grant.available(
            incarnation
        ):
            holdings.drop(workspace, grant_id)


def prune_void_grants(holdings: Holdings, find_ledger: Callable[[str], Ledger]) -> None:
    """Delete the void grants that neither the ledger nor a reservation refers to any more."""
    for grant_id, workspace in list(holdings.void_grants.items()):
        committed = holdings.committed.get(workspace, {})
        if (
            grant_id not in committed
            and find_ledger(workspace).find_grant(workspace, grant_id) is None
        ):
            del holdings.void_grants[grant_id]


def compute_limits(held: dict[str, int], ledger: Ledger, incarnation: str) -> dict[str, int]:
    """Return the limits of an incarnation by grant: tokens used, in its ledger copy, plus held."""
    limits = {}
    for budget in ledger.budgets.values():
        for grant_id in held.keys() & budget.grants.keys():
            used = budget.grants[grant_id].used.get(incarnation, 0)
            limits[grant_id] = used + held[grant_id]
    return held | limits


def build_closes(holder: str, reports: list[HoldingsReport], ledger: Ledger) -> list[Close]:
    """Return a close for each grant of a gone holder, from the reports of all live nodes.

    A bill replica that several nodes hold counts once. It does not count at all if its biller is
    among the reporters, whose limit includes it, or if the ledger has the bill already.
    """
    reporters = {report.incarnation for report in reports}
    bills = [
        bill
        for bill in _merge_bill_replicas(reports)
        if bill.biller not in reporters
        and ledger.find_bill(bill.workspace, bill.request_id) is None
    ]
    closes = []
    for workspace, budget in ledger.budgets.items():
        for grant_id, grant in budget.grants.items():
            if grant.holder == holder:
                limits = {item.incarnation: item.limits.get(grant_id, 0) for item in reports}
                limits = {name: limit for name, limit in limits.items() if limit}
                _add_bill_replicas(limits, bills, grant_id, grant)
                closes.append(Close(workspace, grant_id, limits))
    return closes


def select_bills(bills: list[Bill], holder: str) -> list[Bill]:
    """Return the bills that charge grants of a holder."""
    return [
        bill
        for bill in bills
        if any(is_held_by(charge.grant_id, holder) for charge in bill.charges)
    ]


def _merge_bill_replicas(reports: list[HoldingsReport]) -> list[Bill]:
    bills = [bill for report in reports for bill in report.kept_bills]
    return list({(bill.workspace, bill.request_id): bill for bill in bills}.values())


def _add_bill_replicas(
    limits: dict[str, int], bills: list[Bill], grant_id: str, grant: GrantState
) -> None:
    for bill in bills:
        for charge in bill.charges:
            if charge.grant_id == grant_id:
                used = grant.used.get(bill.biller, 0)
                limits[bill.biller] = limits.get(bill.biller, used) + charge.tokens
