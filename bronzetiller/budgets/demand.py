"""Size grants by the demand on a node, without reading any clock."""

import math

from attrs import define

LOW_WATERMARK_RATIO = 0.5
RESERVE_TOKENS_MIN = 1_000


@define
class Demand:
    """Estimate the tokens used within the horizon, weighing older use exponentially less."""

    horizon_seconds: float
    tokens: float = 0.0
    at: float = 0.0

    def observe(self, now: float, tokens: int) -> None:
        """Count reserved tokens in, or released tokens (negative) out."""
        self.tokens = max(0.0, self.estimate(now) + tokens)
        self.at = now

    def estimate(self, now: float) -> float:
        """Return the tokens that the next horizon is likely to use."""
        return self.tokens * math.exp(-max(0.0, now - self.at) / self.horizon_seconds)


def size_grant(
    *, waiting: int, balance: int, demand: float, free: int, tokens_min: int, share_max: float
) -> int:
    """Return the tokens to ask the ledger for, or 0.

    That is what the demand lacks, within a share of what is free, yet never less than what the
    waiting requests lack.
    """
    missing = max(0, waiting - balance)
    wanted = max(math.ceil(demand), tokens_min) + waiting - balance
    return max(missing, min(wanted, int(free * share_max)))


def is_below_watermark(*, balance: int, demand: float) -> bool:
    """Say whether to ask ahead, before any request has to wait."""
    return balance < demand * LOW_WATERMARK_RATIO


def size_reserve(*, free: int, balance: int, tokens: int, share_max: float) -> int:
    """Return the tokens that a region keeps of a budget against being cut off, or 0.

    A budget near its end keeps none, since its last tokens are worth more where they are asked for.
    """
    reserve = min(tokens, int((free + balance) * share_max))
    return reserve if reserve >= RESERVE_TOKENS_MIN else 0
