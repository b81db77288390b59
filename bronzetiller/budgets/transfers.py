"""Transfer tokens between nodes; a lost or repeated message can only leave tokens unused."""

from attrs import define, field

from bronzetiller.budgets.holdings import Holdings, is_held_by, parse_holder
from bronzetiller.budgets.records import Charge

TRANSFERS_RETAINED_MAX = 10_000


@define
class Transfers:
    """Hold the transfers that a node has issued, and the ids of those that it expects.

    Only the holder of a grant transfers its tokens. Once a node has reported how many tokens of a
    gone holder's grants it holds, it accepts no more of them.
    """

    incarnation: str
    issued: dict[str, list[Charge]] = field(factory=dict)
    awaited: set[str] = field(factory=set)
    reported_holders: set[str] = field(factory=set)

    def issue(
        self, holdings: Holdings, transfer_id: str, workspace: str, tokens: int
    ) -> list[Charge]:
        """Deduct up to the given number of tokens; a repeated id gets the first result again."""
        earlier = self.issued.get(transfer_id)
        if earlier is not None:
            return earlier
        spare = self.count_spare(holdings, workspace)
        charges = holdings.take(workspace, max(0, min(tokens, spare)), self.incarnation) or []
        self.issued[transfer_id] = charges
        if len(self.issued) > TRANSFERS_RETAINED_MAX:
            del self.issued[next(iter(self.issued))]
        return charges

    def count_spare(self, holdings: Holdings, workspace: str) -> int:
        """Return the number of unreserved tokens of the grants issued to this node."""
        grants = holdings.balances.get(workspace, {})
        own = [tokens for grant, tokens in grants.items() if is_held_by(grant, self.incarnation)]
        return sum(own)

    def await_transfer(self, transfer_id: str) -> None:
        """Accept the transfer with this id once."""
        self.awaited.add(transfer_id)

    def abandon(self, transfer_id: str) -> None:
        """Stop accepting the transfer with this id."""
        self.awaited.discard(transfer_id)

    def receive(
        self, holdings: Holdings, transfer_id: str, workspace: str, charges: list[Charge]
    ) -> int:
        """Add an expected transfer to the holdings and return the number of tokens added."""
        if transfer_id not in self.awaited:
            return 0
        self.awaited.discard(transfer_id)
        added = 0
        for charge in charges:
            if parse_holder(charge.grant_id) not in self.reported_holders:
                holdings.add(workspace, charge.grant_id, charge.tokens)
                added += charge.tokens
        return added

    def report_held(self, holdings: Holdings, holder: str) -> dict[str, int]:
        """Return the tokens held, by grant, of a gone holder, and accept no more of them."""
        self.reported_holders.add(holder)
        held: dict[str, int] = {}
        for by_workspace in (holdings.balances, holdings.committed):
            for grants in by_workspace.values():
                for grant_id, tokens in grants.items():
                    if is_held_by(grant_id, holder):
                        held[grant_id] = held.get(grant_id, 0) + tokens
        return held
