"""Post accepted top-ups to the ledger as credits."""

from collections.abc import Callable
from itertools import islice

from attrs import define, field

from bronzetiller.budgets.records import Credit
from bronzetiller.budgets.shards import Shards
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.records import TopUp

RANK_DELAY_SECONDS = 2.0


@define
class _Pending:
    """Hold a top-up that is not in the ledger yet."""

    top_up: TopUp
    first_seen_at: float | None = None
    append_pending: bool = False


@define
class CreditPoster:
    """Append a credit for each top-up in the configuration that the ledger lacks.

    Any node may post a credit, since the ledger rejects duplicates. The node that ranks first does
    so at once; each node after it waits longer by RANK_DELAY_SECONDS, and posts the credit only if
    it is still missing. Top-ups are never changed or deleted, so each refresh examines only those
    added since the last one.
    """

    _configuration: Configuration
    _shards: Shards
    _rank: Callable[[str], int]
    _seen_count: int = 0
    _pending: dict[str, _Pending] = field(factory=dict)

    def post(self, now: float) -> None:
        """Append the credits that this node has waited long enough for (monotonic seconds)."""
        self._refresh()
        for name, pending in self._pending.items():
            if pending.first_seen_at is None:
                pending.first_seen_at = now
            waited_seconds = now - pending.first_seen_at
            if (
                not pending.append_pending
                and waited_seconds >= self._rank(name) * RANK_DELAY_SECONDS
            ):
                self._append(name, pending)

    def is_pending(self, workspace: str) -> bool:
        """Return whether a top-up of a workspace is not in the ledger yet."""
        self._refresh()
        return any(item.top_up.workspace == workspace for item in self._pending.values())

    def _append(self, name: str, pending: _Pending) -> None:
        def acknowledge(offset: int) -> None:
            pending.append_pending = False

        pending.append_pending = True
        credit = Credit(name, pending.top_up.workspace, pending.top_up.tokens)
        self._shards.append(credit, acknowledge)

    def _refresh(self) -> None:
        top_ups = self._configuration.top_ups()
        for name, top_up in islice(top_ups.items(), self._seen_count, None):
            self._pending[name] = _Pending(top_up)
        self._seen_count = len(top_ups)
        for name, pending in list(self._pending.items()):
            if name in self._shards.find(pending.top_up.workspace).ledger.credit_ids:
                del self._pending[name]
