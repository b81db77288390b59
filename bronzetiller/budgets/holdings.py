"""Hold the tokens that this node may spend, and reserve them before a request is dispatched."""

from attrs import define, field

from bronzetiller.budgets.records import Charge
from bronzetiller.errors import InvariantError


@define
class Reservation:
    """Set tokens of some grants aside for one request."""

    workspace: str
    charges: list[Charge]
    settled: bool = False

    @property
    def tokens(self) -> int:
        """Return the reserved tokens."""
        return sum(charge.tokens for charge in self.charges)


@define
class Holdings:
    """Hold unreserved tokens by workspace and grant; each token is in one place at a time."""

    balances: dict[str, dict[str, int]] = field(factory=dict)

    def balance(self, workspace: str) -> int:
        """Return the unreserved tokens of a workspace."""
        return sum(self.balances.get(workspace, {}).values())

    def add(self, workspace: str, grant_id: str, tokens: int) -> None:
        """Take in tokens of a grant."""
        if tokens < 0:
            raise InvariantError("tokens added to a holding are negative")
        if tokens:
            grants = self.balances.setdefault(workspace, {})
            grants[grant_id] = grants.get(grant_id, 0) + tokens

    def reserve(self, workspace: str, tokens: int) -> Reservation | None:
        """Set tokens aside, or nothing where the balance is too small."""
        charges = self.take(workspace, tokens)
        return None if charges is None else Reservation(workspace, charges)

    def take(self, workspace: str, tokens: int) -> list[Charge] | None:
        """Remove exactly these tokens from the balance, or nothing."""
        if self.balance(workspace) < tokens:
            return None
        grants = self.balances.get(workspace, {})
        charges = []
        missing = tokens
        for grant_id in list(grants):
            if not missing:
                break
            part = min(missing, grants[grant_id])
            charges.append(Charge(grant_id, part))
            missing -= part
            grants[grant_id] -= part
            if not grants[grant_id]:
                del grants[grant_id]
        return charges

    def settle(self, reservation: Reservation, tokens: int) -> list[Charge]:
        """Spend part of a reservation and put the rest back; return what the bill charges."""
        if reservation.settled or tokens > reservation.tokens:
            raise InvariantError("a reservation is settled twice or beyond its tokens")
        reservation.settled = True
        spent = []
        missing = tokens
        for charge in reservation.charges:
            part = min(missing, charge.tokens)
            missing -= part
            if part:
                spent.append(Charge(charge.grant_id, part))
            self.add(reservation.workspace, charge.grant_id, charge.tokens - part)
        return spent

    def release(self, reservation: Reservation) -> None:
        """Put a whole reservation back, for a request that was not run."""
        self.settle(reservation, 0)

    def restore(self, workspace: str, charges: list[Charge]) -> None:
        """Put charges back whose bill the ledger dropped as a duplicate."""
        for charge in charges:
            self.add(workspace, charge.grant_id, charge.tokens)
