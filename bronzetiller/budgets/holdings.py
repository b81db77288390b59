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
    """Hold the tokens of a node by grant; each token is in one place at a time.

    balances are the unreserved tokens by workspace and grant; committed are those that are
    reserved, or billed without the ledger's ruling on the bill. void names the workspaces of
    grants whose tokens are no longer this node's.
    """

    balances: dict[str, dict[str, int]] = field(factory=dict)
    committed: dict[str, dict[str, int]] = field(factory=dict)
    void_grants: dict[str, str] = field(factory=dict)

    def balance(self, workspace: str) -> int:
        """Return the unreserved tokens of a workspace."""
        return sum(self.balances.get(workspace, {}).values())

    def count_held_of_grant(self, workspace: str, grant_id: str) -> int:
        """Return the tokens of a grant that this node may still bill."""
        balance = self.balances.get(workspace, {}).get(grant_id, 0)
        return balance + self.committed.get(workspace, {}).get(grant_id, 0)

    def count_held(self, workspace: str) -> int:
        """Return the tokens of a workspace that this node may still bill."""
        return self.balance(workspace) + sum(self.committed.get(workspace, {}).values())

    def add(self, workspace: str, grant_id: str, tokens: int) -> None:
        """Take in tokens of a grant; those of a void grant are dropped."""
        if tokens < 0:
            raise InvariantError("tokens added to a holding are negative")
        if tokens and grant_id not in self.void_grants:
            grants = self.balances.setdefault(workspace, {})
            grants[grant_id] = grants.get(grant_id, 0) + tokens

    def reserve(self, workspace: str, tokens: int) -> Reservation | None:
        """Set tokens aside, or nothing where the balance is too small."""
        charges = self.take(workspace, tokens)
        if charges is None:
            return None
        committed = self.committed.setdefault(workspace, {})
        for charge in charges:
            committed[charge.grant_id] = committed.get(charge.grant_id, 0) + charge.tokens
        return Reservation(workspace, charges)

    def take(self, workspace: str, tokens: int, holder: str = "") -> list[Charge] | None:
        """Remove exactly these tokens, only of a holder's grants if one is named, or nothing."""
        grants = self.balances.get(workspace, {})
        usable = [grant_id for grant_id in grants if not holder or is_held_by(grant_id, holder)]
        if sum(grants[grant_id] for grant_id in usable) < tokens:
            return None
        charges = []
        missing = tokens
        for grant_id in usable:
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
        """Spend part of a reservation and put the rest back; return what the bill charges.

        What the bill charges stays committed until it is confirmed or restored.
        """
        if reservation.settled or not 0 <= tokens <= reservation.tokens:
            raise InvariantError("a reservation is settled twice or beyond its tokens")
        reservation.settled = True
        spent = []
        missing = tokens
        for charge in reservation.charges:
            part = min(missing, charge.tokens)
            missing -= part
            if part:
                spent.append(Charge(charge.grant_id, part))
            self._return_to_balance(reservation.workspace, charge.grant_id, charge.tokens - part)
        return spent

    def release(self, reservation: Reservation) -> None:
        """Put a whole reservation back, for a request that was not run."""
        self.settle(reservation, 0)

    def confirm(self, workspace: str, charges: list[Charge]) -> None:
        """Forget charges that the ledger has ruled on, whether spent or void."""
        for charge in charges:
            self._uncommit(workspace, charge.grant_id, charge.tokens)

    def restore(self, workspace: str, charges: list[Charge]) -> None:
        """Put charges back whose bill the ledger dropped as a duplicate."""
        for charge in charges:
            self._return_to_balance(workspace, charge.grant_id, charge.tokens)

    def drop(self, workspace: str, grant_id: str) -> int:
        """Forget the unreserved tokens of a grant that is no longer this node's."""
        self.void_grants[grant_id] = workspace
        return self.balances.get(workspace, {}).pop(grant_id, 0)

    def _return_to_balance(self, workspace: str, grant_id: str, tokens: int) -> None:
        self._uncommit(workspace, grant_id, tokens)
        self.add(workspace, grant_id, tokens)

    def _uncommit(self, workspace: str, grant_id: str, tokens: int) -> None:
        if not tokens:
            return
        committed = self.committed.get(workspace, {})
        left = committed.get(grant_id, 0) - tokens
        if left < 0:
            raise InvariantError("more tokens are uncommitted than were reserved")
        if left:
            committed[grant_id] = left
        else:
            del committed[grant_id]


def make_grant_id(holder: str, number: str) -> str:
    """Return the id of a grant, which names its holder."""
    return f"{holder}/{number}"


def parse_holder(grant_id: str) -> str:
    """Return the incarnation that a grant was given to."""
    return grant_id.rpartition("/")[0]


def is_held_by(grant_id: str, holder: str) -> bool:
    """Say whether a grant was given to an incarnation of a node."""
    return parse_holder(grant_id) == holder
