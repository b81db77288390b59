"""Bound the repeats that all nodes together send to a service; pure.

Each node takes its share of what the operator allows: a ratio of the requests that it forwards
itself, and its part of the fixed allowance of a window.
"""

from collections import deque

from attrs import define, field

SAFETY = 0.8  # of the operator's figures, as windows slide and nodes restart without their counts


@define
class RetryWindow:
    """Count the requests and repeats of a service within a sliding window (seconds)."""

    ratio: float
    allowance: float
    window_seconds: float
    _requests: deque[float] = field(factory=deque)
    _repeats: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float, nodes: int) -> bool:
        """Count a repeat, or say that none is left for this node, one of so many."""
        self._expire(now)
        most = SAFETY * (self.ratio * len(self._requests) + self.allowance / max(1, nodes))
        if len(self._repeats) + 1 > most:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
