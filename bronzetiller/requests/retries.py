"""Limit the retries of a node to a share of its requests."""

from attrs import define

SAVED_RETRIES_MAX = 20.0


@define
class RetryBudget:
    """Hold the number of retries allowed now; each request adds a share of one."""

    share: float
    balance: float = SAVED_RETRIES_MAX

    def record_request(self) -> None:
        """Add the share of one request to the balance."""
        self.balance = min(SAVED_RETRIES_MAX, self.balance + self.share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
