"""Space out repeated attempts; no I/O."""

from collections.abc import Callable
from random import Random

from attrs import define, field

JITTER_SHARE_MIN = 0.5
FAILURES_COUNTED_MAX = 16


@define
class Backoff:
    """Double the delay between attempts (seconds) up to a maximum, with jitter."""

    seconds_min: float
    seconds_max: float
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    failures: int = 0

    def next_seconds(self) -> float:
        """Count a failure and return the delay before the next attempt."""
        seconds = min(self.seconds_max, self.seconds_min * 2**self.failures)
        self.failures = min(self.failures + 1, FAILURES_COUNTED_MAX)
        return seconds * (JITTER_SHARE_MIN + (1 - JITTER_SHARE_MIN) * self._draw_uniform())

    def reset(self) -> None:
        """Start over with the shortest delay, after a success."""
        self.failures = 0
