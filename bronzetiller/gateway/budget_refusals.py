"""Make the refusals of requests whose tokens cannot be set aside."""

from bronzetiller.errors import Reason, Refusal

UNCONFIRMED_RETRY_SECONDS = 0.6  # a few reports of the nodes, after which tokens may be free


def refuse_exhausted() -> Refusal:
    """Say that the whole fleet has too few tokens left; a top-up alone changes that."""
    detail = "what is left of the budget does not cover the request"
    return Refusal(402, Reason.BUDGET_EXHAUSTED, detail)


def refuse_held_elsewhere() -> Refusal:
    """Say that the budget covers the request, in parts that nodes hold."""
    return refuse_unconfirmed("other nodes hold what is left of it")


def refuse_unconfirmed(cause: str) -> Refusal:
    """Say that it is not known now whether the budget covers the request."""
    detail = f"the budget cannot be confirmed: {cause}"
    return Refusal(
        503, Reason.BUDGET_UNCONFIRMED, detail, retry_after_seconds=UNCONFIRMED_RETRY_SECONDS
    )
