"""Bound the retries of a node to a share of its requests."""

from attrs import define

BALANCE_MAX = 20.0


@define
class RetryBudget:
    """Hold how many retries are allowed now; each request adds a share of one."""

    share: float
    balance: float = BALANCE_MAX

    def record_request(self) -> None:
        """Count a request in."""
        self.balance = min(BALANCE_MAX, self.balance + self.share)

    def try_spend(self) -> bool:
        """Use one retry, or say that none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
