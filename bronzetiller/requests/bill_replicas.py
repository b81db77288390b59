"""Keep the bills of other nodes until the log has them.

Nothing here reads a clock or sends anything, and appending a bill twice does no harm: the fold
takes one bill of a request and drops the rest.
"""

from collections.abc import Callable

from attrs import define, evolve, field

from bronzetiller.budgets.ledger import Verdict
from bronzetiller.budgets.records import Bill, Outcome


@define
class BillReplica:
    """Hold a bill for its owner, with the outcome of a claim that goes with it."""

    bill: Bill
    owner: str
    outcome: Outcome | None = None
    appended: bool = False


@define
class BillReplicas:
    """Hold the bills kept for others by bill id."""

    bills: dict[str, BillReplica] = field(factory=dict)

    def keep(self, item: BillReplica) -> None:
        """Take a bill in; a second copy changes nothing."""
        self.bills.setdefault(item.bill.bill_id, item)

    def drop(self, bill_id: str) -> bool:
        """Forget a bill that the ledger has ruled on; say whether it was kept."""
        return self.bills.pop(bill_id, None) is not None

    def select_orphans(self, is_silent: Callable[[str], bool]) -> list[BillReplica]:
        """Return the bills to append now, each once, because their owners are silent."""
        orphans = [
            item for item in self.bills.values() if not item.appended and is_silent(item.owner)
        ]
        for item in orphans:
            item.appended = True
        return orphans

    def apply_ruling(self, bill: Bill, verdict: Verdict) -> Bill | None:
        """Forget a bill that was ruled on; return the bill to append in its place, if any."""
        item = self.bills.pop(bill.bill_id, None)
        if item is None or verdict is not Verdict.KEY_REUSED:
            return None
        return make_separate_bill(bill)

    def count_tokens(self, grant_id: str) -> int:
        """Return the tokens of one grant that kept bills charge."""
        charges = [charge for item in self.bills.values() for charge in item.bill.charges]
        return sum(charge.tokens for charge in charges if charge.grant_id == grant_id)


def make_separate_bill(bill: Bill) -> Bill:
    """Return the bill of an answer that was given under a key that another request holds.

    Its id is the same for every send of the same request, so that it counts once.
    """
    request_id = f"{bill.request_id}#{bill.fingerprint}"
    return evolve(bill, request_id=request_id, bill_id=f"{bill.bill_id}#")
