"""Track for how long a server has answered promptly, without a long gap; no I/O."""

import math

from attrs import define

GAP_SECONDS_MAX = 2.0  # a heartbeat is written every 1.25 s
ANSWER_SECONDS_MAX = 0.5  # a server that takes longer is in trouble, or the way to it is


@define
class Contact:
    """Hold when a server answered (seconds on the scheduler's clock)."""

    _began_at: float = math.inf
    _answered_at: float = -math.inf

    def record_answer(self, now: float, seconds: float) -> None:
        """Record that the server answered any call, and how long that took."""
        if seconds > ANSWER_SECONDS_MAX:
            self._answered_at = -math.inf
            return
        if now - self._answered_at > GAP_SECONDS_MAX:
            self._began_at = now
        self._answered_at = now

    def measure(self, now: float) -> float:
        """Return for how many seconds it has answered, 0 if it does not now."""
        return 0.0 if now - self._answered_at > GAP_SECONDS_MAX else now - self._began_at
