"""Sum up failures of one kind by peer, so that a burst of them takes one line of the log; no I/O.

Designed for hundreds of failures a second at a few peers.
"""

from collections import Counter
from typing import Any

from attrs import define, field

CAUSES_MAX = 3  # named in a line, the most frequent first


@define(eq=False)
class _Sum:
    """Hold the failures of one peer since its last line."""

    request_id: str
    causes: Counter[str] = field(factory=Counter)


@define(eq=False)
class FailureSums:
    """Hold the failures that are not logged yet, by peer."""

    _sums: dict[str, _Sum] = field(factory=dict)

    def record(self, peer: str, request_id: str, cause: str) -> bool:
        """Record a failure; return whether it is the first one since the peer's last line."""
        is_first = peer not in self._sums
        self._sums.setdefault(peer, _Sum(request_id)).causes[cause] += 1
        return is_first

    def take(self, peer: str) -> dict[str, Any]:
        """Remove a peer's failures and return the fields of its line; id is the first request."""
        taken = self._sums.pop(peer)
        causes = [cause for cause, _ in taken.causes.most_common(CAUSES_MAX)]
        return {
            "id": taken.request_id,
            "peer": peer,
            "cause": "; ".join(causes),
            "failures": taken.causes.total(),
        }
