"""Extend timeouts while the log responds slowly, so that late responses are not lost each time."""

from attrs import define

EXTRA_SECONDS_MIN = 1.0
EXTRA_SECONDS_MAX = 8.0
EXTRA_SECONDS_DECAY = 0.9


@define
class AdaptiveTimeout:
    """Adapt the time added to a timeout (seconds) to the outcome of recent calls."""

    extra_seconds: float = 0.0

    def extend(self, silence_seconds: float) -> float:
        """Return the timeout of a call whose base timeout is silence_seconds."""
        return silence_seconds + self.extra_seconds

    def record_timeout(self) -> None:
        """Record a call that timed out; double the added time."""
        doubled = max(EXTRA_SECONDS_MIN, 2 * self.extra_seconds)
        self.extra_seconds = min(EXTRA_SECONDS_MAX, doubled)

    def record_response(self, seconds: float) -> None:
        """Record the duration of a call, excluding any wait that it requested."""
        needed = min(EXTRA_SECONDS_MAX, 2 * seconds)
        self.extra_seconds = max(needed, EXTRA_SECONDS_DECAY * self.extra_seconds)
