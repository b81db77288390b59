"""Build reports on budgets and bills from the ledgers of a node."""

from collections import Counter

from attrs import field, frozen

from bronzetiller.budgets.ledger import Ledger


@frozen
class BudgetReport:
    """Describe the budget of one workspace, in tokens.

    credited is the sum of free, held and billed. held_by_node splits the granted but unspent tokens
    by the node that the grant was made to, even if that node has transferred them since.
    """

    workspace: str
    credited: int
    free: int
    held: int
    billed: int
    held_by_node: dict[str, int] = field(factory=dict)


@frozen
class BillReport:
    """Describe one bill; at is the time of its log record (seconds, Unix)."""

    request_id: str
    at: float
    tokens: int
    node_id: str


def report_budget(ledger: Ledger, workspace: str) -> BudgetReport | None:
    """Return the budget of a workspace, or None if it has never been credited."""
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
    """Return the newest retained bills of a workspace, oldest first."""
    bills: list[BillReport] = []
    for name, bill in reversed(ledger.bills.items()):
        if len(bills) == limit:
            break
        owner, _, request_id = name.partition("/")  # workspace names contain no slash
        if owner == workspace:
            bills.append(BillReport(request_id, bill.at, bill.tokens, _get_node_id(bill.biller)))
    return bills[::-1]


def _get_node_id(incarnation: str) -> str:
    return incarnation.partition("/")[0]
