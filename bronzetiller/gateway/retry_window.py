"""Limit the retries that all nodes together send to a service; no I/O.

Each node may use its share of the operator's limit: a ratio of the requests that it forwards
itself, plus an equal part of the fixed allowance per window.
"""

from collections import deque

from attrs import define, field

SAFETY_FACTOR = 0.8  # of the operator's limits, as windows slide and a restart resets the counts


@define
class RetryWindow:
    """Count the requests and retries of a service in a sliding window."""

    ratio: float
    allowance: float
    window_seconds: float
    _requests: deque[float] = field(factory=deque)
    _retries: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def try_spend(self, now: float, nodes: int) -> bool:
        """Count a retry and return True, unless this node's share of the limit is used up."""
        self._expire(now)
        limit = SAFETY_FACTOR * (self.ratio * len(self._requests) + self.allowance / max(1, nodes))
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
