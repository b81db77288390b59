"""Follow what the close of a grant leaves to a node."""

from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.ledger import Ruling, Verdict
from bronzetiller.budgets.records import Close


def follow_close(holdings: Holdings, incarnation: str, record: Close, ruling: Ruling) -> int:
    """Drop the tokens of a closed grant unless the close retains them; return the dropped."""
    if ruling.verdict is not Verdict.ACCEPTED:
        return 0
    held = holdings.held(record.workspace, record.grant_id)
    if held <= record.retained.get(incarnation, 0):
        return 0
    return holdings.drop(record.workspace, record.grant_id)
