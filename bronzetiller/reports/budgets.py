"""Describe budgets and bills from a node's ledgers."""

from collections import Counter

from attrs import field, frozen

from bronzetiller.budgets.ledger import Ledger


@frozen
class BudgetReport:
    """Describe the budget of one workspace, in tokens.

    credited is the sum of free, held and billed; held_by_node splits what grants have set aside
    and nobody has spent yet by the node that was granted it, wherever it was transferred since.
    """

    workspace: str
    credited: int
    free: int
    held: int
    billed: int
    held_by_node: dict[str, int] = field(factory=dict)


@frozen
class BillReport:
    """Describe one bill; at is the log's time of its record (seconds, Unix)."""

    request_id: str
    at: float
    tokens: int
    node_id: str


def report_budget(ledger: Ledger, workspace: str) -> BudgetReport | None:
    """Return the budget of a workspace, or nothing where it never had a credit."""
    budget = ledger.budgets.get(workspace)
    if budget is None:
        return None
    held: Counter[str] = Counter()
    for grant in budget.grants.values():
        held[_get_node_id(grant.holder)] += grant.remaining
    return BudgetReport(
        workspace=workspace,
        credited=budget.credited,
        free=budget.free,
        held=budget.granted - budget.billed,
        billed=budget.billed,
        held_by_node={node_id: tokens for node_id, tokens in sorted(held.items()) if tokens},
    )


def report_bills(ledger: Ledger, workspace: str, limit: int) -> list[BillReport]:
    """Return the newest bills of a workspace that the ledger still remembers, oldest first."""
    bills: list[BillReport] = []
    for name, bill in reversed(ledger.bills.items()):
        if len(bills) == limit:
            break
        owner, _, request_id = name.partition("/")  # no workspace has a slash in its name
        if owner == workspace:
            bills.append(BillReport(request_id, bill.at, bill.tokens, _get_node_id(bill.biller)))
    return bills[::-1]


def _get_node_id(incarnation: str) -> str:
    return incarnation.partition("/")[0]
