"""Post accepted top-ups to the ledger."""

from bronzetiller.budgets.records import Credit
from bronzetiller.budgets.shards import Shards
from bronzetiller.configuration.fold import Configuration


def post_credits(configuration: Configuration, shards: Shards) -> None:
    """Append a credit for each top-up in force that the ledger lacks; doubles are dropped."""
    for name, top_up in configuration.top_ups().items():
        ledger = shards.find(top_up.workspace).ledger
        if name not in ledger.credit_ids:
            shards.append(Credit(name, top_up.workspace, top_up.tokens))


def is_credit_pending(configuration: Configuration, shards: Shards, workspace: str) -> bool:
    """Say whether a top-up in force has not reached the ledger yet."""
    credit_ids = shards.find(workspace).ledger.credit_ids
    return any(
        top_up.workspace == workspace and name not in credit_ids
        for name, top_up in configuration.top_ups().items()
    )
