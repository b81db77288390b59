"""Describe a budget for the log lines of refusals, as far as one node knows it; no I/O."""

from collections.abc import Iterable

from attrs import asdict, evolve, fields_dict, frozen

from bronzetiller.errors import Refusal
from bronzetiller.gateway.allocations import Account, Allocation


@frozen
class BudgetState:
    """Divide a budget, in tokens: known as used, held here, held by others, and in doubt.

    Tokens in doubt are reserved for requests under way or were counted as spent by a restart.
    What is missing up to prepaid is free.
    """

    prepaid: int
    used: int
    held: int
    held_elsewhere: int
    in_doubt: int


def describe_budget(allocation: Allocation, others: Iterable[Account]) -> BudgetState:
    """Return the state of a budget by this node's allocation and the records of the others."""
    used, held_elsewhere = allocation.committed - allocation.in_doubt, 0
    in_doubt = allocation.in_doubt
    for account in others:
        used += account.committed - account.in_doubt
        held_elsewhere += account.handed_out - account.committed
        in_doubt += account.in_doubt
    return BudgetState(allocation.prepaid, used, allocation.held, held_elsewhere, in_doubt)


def select_budget_fields(budget: dict[str, int]) -> dict[str, str | int]:
    """Return those fields of a peer's message that a log line may have."""
    return {name: budget[name] for name in fields_dict(BudgetState) if name in budget}


def add_budget(refusal: Refusal, workspace: str, state: BudgetState | None) -> Refusal:
    """Return a refusal whose log line names the workspace and the state of its budget.

    What the node that decided on the refusal knows takes precedence.
    """
    known = refusal.log_fields or ({} if state is None else asdict(state))
    return evolve(refusal, log_fields={"workspace": workspace, **known})
