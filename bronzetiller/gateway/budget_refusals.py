"""Create the refusals of requests whose tokens cannot be reserved."""

from bronzetiller.errors import Reason, Refusal
from bronzetiller.sync.confirmation import choose_retry_seconds, is_outdated

UNCONFIRMED_RETRY_SECONDS = 0.6  # nodes have reported again by then, and tokens may be free


def refuse_exhausted() -> Refusal:
    """Return the refusal for a budget with too few tokens left, until it is topped up."""
    detail = "the remaining budget does not cover the request"
    return Refusal(402, Reason.BUDGET_EXHAUSTED, detail)


def refuse_uncovered(confirmation_age: float, draw: float) -> Refusal:
    """Return the refusal for a budget that was too small when the configuration was confirmed.

    The age of the confirmation is in seconds; draw is uniform from [0, 1).
    """
    if not is_outdated(confirmation_age):
        return refuse_exhausted()
    cause = f"the configuration was last confirmed {confirmation_age:.1f} s ago"
    return refuse_unconfirmed(cause, choose_retry_seconds(confirmation_age, draw))


def refuse_held_elsewhere() -> Refusal:
    """Return the refusal for a budget that would suffice, but is held by other nodes."""
    return refuse_unconfirmed("other nodes hold the remaining tokens")


def refuse_unconfirmed(cause: str, seconds: float = 0.0) -> Refusal:
    """Return the refusal for a budget whose state is not known for some seconds more."""
    detail = f"the budget cannot be confirmed: {cause}"
    seconds = max(UNCONFIRMED_RETRY_SECONDS, round(seconds, 1))
    return Refusal(503, Reason.BUDGET_UNCONFIRMED, detail, retry_after_seconds=seconds)
