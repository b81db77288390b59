"""Post accepted top-ups to the ledger."""

from itertools import islice

from attrs import define, field

from bronzetiller.budgets.records import Credit
from bronzetiller.budgets.shards import Shards
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.records import TopUp


@define
class CreditPoster:
    """Hold the top-ups in force that the ledger lacks.

    Top-ups are never changed or deleted, so those looked at before need no second look, however
    many there have been.
    """

    _configuration: Configuration
    _shards: Shards
    _seen: int = 0
    _pending: dict[str, TopUp] = field(factory=dict)

    def post(self) -> None:
        """Append a credit for each top-up that the ledger lacks; doubles are dropped."""
        self._refresh()
        for name, top_up in self._pending.items():
            self._shards.append(Credit(name, top_up.workspace, top_up.tokens))

    def is_pending(self, workspace: str) -> bool:
        """Say whether a top-up of a workspace has not reached the ledger yet."""
        self._refresh()
        return any(top_up.workspace == workspace for top_up in self._pending.values())

    def _refresh(self) -> None:
        top_ups = self._configuration.top_ups()
        self._pending.update(islice(top_ups.items(), self._seen, None))
        self._seen = len(top_ups)
        for name, top_up in list(self._pending.items()):
            if name in self._shards.find(top_up.workspace).ledger.credit_ids:
                del self._pending[name]
