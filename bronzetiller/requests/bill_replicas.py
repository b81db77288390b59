"""Hold replicas of other nodes' bills until the log has them.

This module reads no clock and does no I/O. Appending a bill twice is safe: the ledger accepts one
bill for each request and ignores duplicates.
"""

from collections.abc import Callable

from attrs import define, evolve, field

from bronzetiller.budgets.ledger import Verdict
from bronzetiller.budgets.records import Bill, Outcome


@define
class BillReplica:
    """Hold a bill on behalf of its owner, with the outcome of the claim, if any."""

    bill: Bill
    owner: str
    outcome: Outcome | None = None
    appended: bool = False


@define
class BillReplicas:
    """Hold the replicas by bill id."""

    bills: dict[str, BillReplica] = field(factory=dict)

    def keep(self, replica: BillReplica) -> None:
        """Add a replica unless the bill is already held."""
        self.bills.setdefault(replica.bill.bill_id, replica)

    def drop(self, bill_id: str) -> bool:
        """Remove a bill that the ledger has applied; return whether it was held."""
        return self.bills.pop(bill_id, None) is not None

    def select_orphans(self, is_silent: Callable[[str], bool]) -> list[BillReplica]:
        """Return the bills whose owners timed out, each only once, to be appended."""
        orphans = [
            replica
            for replica in self.bills.values()
            if not replica.appended and is_silent(replica.owner)
        ]
        for replica in orphans:
            replica.appended = True
        return orphans

    def apply_verdict(self, bill: Bill, verdict: Verdict) -> Bill | None:
        """Remove an applied bill; return the bill to append in its place, if any."""
        replica = self.bills.pop(bill.bill_id, None)
        if replica is None or verdict is not Verdict.KEY_REUSED:
            return None
        return make_separate_bill(bill)

    def count_tokens(self, grant_id: str) -> int:
        """Return the tokens of one grant that the held bills charge."""
        charges = [charge for replica in self.bills.values() for charge in replica.bill.charges]
        return sum(charge.tokens for charge in charges if charge.grant_id == grant_id)


def make_separate_bill(bill: Bill) -> Bill:
    """Return the bill of a response delivered under a key that is billed to a different request.

    Its request id is derived from the key and the fingerprint, so that repeats count once.
    """
    request_id = f"{bill.request_id}#{bill.fingerprint}"
    return evolve(bill, request_id=request_id, bill_id=f"{bill.bill_id}#")
