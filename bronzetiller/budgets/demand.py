"""Estimate demand and compute grant sizes; reads no clock."""

import math

from attrs import define

LOW_WATERMARK_RATIO = 0.5
RESERVE_TOKENS_MIN = 1_000


@define
class Demand:
    """Sum the tokens used, with exponential decay; horizon_seconds is the time constant."""

    horizon_seconds: float
    tokens: float = 0.0
    at: float = 0.0

    def observe(self, now: float, tokens: int) -> None:
        """Add reserved tokens, or subtract released ones (a negative number)."""
        self.tokens = max(0.0, self.estimate(now) + tokens)
        self.at = now

    def estimate(self, now: float) -> float:
        """Return the number of tokens that are likely to be used within the next horizon."""
        return self.tokens * math.exp(-max(0.0, now - self.at) / self.horizon_seconds)


def size_grant(
    *, waiting: int, balance: int, demand: float, free: int, tokens_min: int, share_max: float
) -> int:
    """Return the number of tokens to request from the ledger, or 0.

    The grant covers the missing demand, limited to a share of the free tokens, but never less
    than the queued requests lack.
    """
    missing = max(0, waiting - balance)
    wanted = max(math.ceil(demand), tokens_min) + waiting - balance
    return max(missing, min(wanted, int(free * share_max)))


def is_below_watermark(*, balance: int, demand: float) -> bool:
    """Return whether to request tokens now, before any request has to wait."""
    return balance < demand * LOW_WATERMARK_RATIO


def size_reserve(*, free: int, balance: int, tokens: int, share_max: float) -> int:
    """Return the number of tokens that a region reserves in case it is disconnected, or 0.

    A nearly exhausted budget gets no reserve, so that its last tokens stay available to the nodes
    that have requests for them.
    """
    reserve = min(tokens, int((free + balance) * share_max))
    return reserve if reserve >= RESERVE_TOKENS_MIN else 0
