"""Hold the token balances of a node, and reserve tokens for requests before dispatch."""

from attrs import define, field

from bronzetiller.budgets.records import Charge
from bronzetiller.errors import InvariantError


@define
class Reservation:
    """Hold the tokens reserved for one request, by grant."""

    workspace: str
    charges: list[Charge]
    settled: bool = False

    @property
    def tokens(self) -> int:
        """Return the number of reserved tokens."""
        return sum(charge.tokens for charge in self.charges)


@define
class Holdings:
    """Hold the tokens of a node by workspace and grant.

    balances counts the unreserved tokens, committed those that are reserved or charged by a bill
    that the ledger has not applied yet. void_grants maps each lost grant to its workspace.
    """

    balances: dict[str, dict[str, int]] = field(factory=dict)
    committed: dict[str, dict[str, int]] = field(factory=dict)
    void_grants: dict[str, str] = field(factory=dict)

    def balance(self, workspace: str) -> int:
        """Return the number of unreserved tokens of a workspace."""
        return sum(self.balances.get(workspace, {}).values())

    def count_held_of_grant(self, workspace: str, grant_id: str) -> int:
        """Return the number of tokens of a grant that this node may still bill."""
        balance = self.balances.get(workspace, {}).get(grant_id, 0)
        return balance + self.committed.get(workspace, {}).get(grant_id, 0)

    def count_held(self, workspace: str) -> int:
        """Return the number of tokens of a workspace that this node may still bill."""
        return self.balance(workspace) + sum(self.committed.get(workspace, {}).values())

    def add(self, workspace: str, grant_id: str, tokens: int) -> None:
        """Add tokens of a grant to the balance; drop them if the grant is void."""
        if tokens < 0:
            raise InvariantError("cannot add a negative number of tokens to a balance")
        if tokens and grant_id not in self.void_grants:
            grants = self.balances.setdefault(workspace, {})
            grants[grant_id] = grants.get(grant_id, 0) + tokens

    def reserve(self, workspace: str, tokens: int) -> Reservation | None:
        """Reserve tokens, or return None if the balance is too small."""
        charges = self.take(workspace, tokens)
        if charges is None:
            return None
        committed = self.committed.setdefault(workspace, {})
        for charge in charges:
            committed[charge.grant_id] = committed.get(charge.grant_id, 0) + charge.tokens
        return Reservation(workspace, charges)

    def take(self, workspace: str, tokens: int, holder: str = "") -> list[Charge] | None:
        """Remove tokens from the balance, or return None and remove none if it is too small.

        If a holder is given, only tokens of its grants are removed.
        """
        grants = self.balances.get(workspace, {})
        eligible = [grant_id for grant_id in grants if not holder or is_held_by(grant_id, holder)]
        if sum(grants[grant_id] for grant_id in eligible) < tokens:
            return None
        charges = []
        missing = tokens
        for grant_id in eligible:
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
        """Spend part of a reservation, release the rest and return the charges for the bill.

        The charged tokens stay committed until they are confirmed or restored.
        """
        if reservation.settled or not 0 <= tokens <= reservation.tokens:
            raise InvariantError("reservation settled twice, or for more tokens than reserved")
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
        """Return a whole reservation to the balance, for a request that was not executed."""
        self.settle(reservation, 0)

    def confirm(self, workspace: str, charges: list[Charge]) -> None:
        """Remove the charges of a bill that the ledger has accepted or rejected as void."""
        for charge in charges:
            self._uncommit(workspace, charge.grant_id, charge.tokens)

    def restore(self, workspace: str, charges: list[Charge]) -> None:
        """Return charges to the balance whose bill the ledger rejected as a duplicate."""
        for charge in charges:
            self._return_to_balance(workspace, charge.grant_id, charge.tokens)

    def drop(self, workspace: str, grant_id: str) -> int:
        """Mark a grant as void, remove its unreserved tokens and return their number."""
        self.void_grants[grant_id] = workspace
        return self.balances.get(workspace, {}).pop(grant_id, 0)

    def _return_to_balance(self, workspace: str, grant_id: str, tokens: int) -> None:
        self._uncommit(workspace, grant_id, tokens)
        self.add(workspace, grant_id, tokens)

    def _uncommit(self, workspace: str, grant_id: str, tokens: int) -> None:
        if not tokens:
            return
        committed = self.committed.get(workspace, {})
        remaining = committed.get(grant_id, 0) - tokens
        if remaining < 0:
            raise InvariantError("cannot release more tokens than are committed")
        if remaining:
            committed[grant_id] = remaining
        else:
            del committed[grant_id]


def make_grant_id(holder: str, suffix: str) -> str:
    """Return a grant id, which starts with the holder's incarnation."""
    return f"{holder}/{suffix}"


def parse_holder(grant_id: str) -> str:
    """Return the incarnation that a grant was issued to, as encoded in its id."""
    return grant_id.rpartition("/")[0]


def is_held_by(grant_id: str, holder: str) -> bool:
    """Return whether a grant was issued to an incarnation."""
    return parse_holder(grant_id) == holder
