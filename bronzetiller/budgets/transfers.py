"""Move tokens between nodes so that a lost or repeated message can only leave tokens unused."""

from attrs import define, field

from bronzetiller.budgets.holdings import Holdings, is_held_by, parse_holder
from bronzetiller.budgets.records import Charge

TRANSFERS_RETAINED_MAX = 10_000


@define
class Transfers:
    """Remember the transfers that a node has given and those that it awaits.

    Only a grant's own holder gives its tokens; a node that has reported what it holds of a gone
    holder's grants takes no more of them.
    """

    incarnation: str
    issued: dict[str, list[Charge]] = field(factory=dict)
    awaited: set[str] = field(factory=set)
    reported_holders: set[str] = field(factory=set)

    def issue(
        self, holdings: Holdings, transfer_id: str, workspace: str, tokens: int
    ) -> list[Charge]:
        """Take up to these tokens off the holdings; a repeated id gets the first answer again."""
        known = self.issued.get(transfer_id)
        if known is not None:
            return known
        spare = self.count_spare(holdings, workspace)
        charges = holdings.take(workspace, max(0, min(tokens, spare)), self.incarnation) or []
        self.issued[transfer_id] = charges
        if len(self.issued) > TRANSFERS_RETAINED_MAX:
            del self.issued[next(iter(self.issued))]
        return charges

    def count_spare(self, holdings: Holdings, workspace: str) -> int:
        """Return the unreserved tokens of this node's own grants."""
        grants = holdings.balances.get(workspace, {})
        own = [tokens for grant, tokens in grants.items() if is_held_by(grant, self.incarnation)]
        return sum(own)

    def await_transfer(self, transfer_id: str) -> None:
        """Expect a transfer once."""
        self.awaited.add(transfer_id)

    def abandon(self, transfer_id: str) -> None:
        """Expect a transfer no longer."""
        self.awaited.discard(transfer_id)

    def receive(
        self, holdings: Holdings, transfer_id: str, workspace: str, charges: list[Charge]
    ) -> int:
        """Take in an awaited transfer once; return its tokens."""
        if transfer_id not in self.awaited:
            return 0
        self.awaited.discard(transfer_id)
        taken = 0
        for charge in charges:
            if parse_holder(charge.grant_id) not in self.reported_holders:
                holdings.add(workspace, charge.grant_id, charge.tokens)
                taken += charge.tokens
        return taken

    def report_held(self, holdings: Holdings, holder: str) -> dict[str, int]:
        """Return the tokens held by grant of a gone holder, and take no more of them."""
        self.reported_holders.add(holder)
        held: dict[str, int] = {}
        for place in (holdings.balances, holdings.committed):
            for grants in place.values():
                for grant_id, tokens in grants.items():
                    if is_held_by(grant_id, holder):
                        held[grant_id] = held.get(grant_id, 0) + tokens
        return held
