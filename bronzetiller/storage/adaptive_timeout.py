"""Wait longer for a log that answers late, so that its answers are not given up each time."""

from attrs import define

EXTRA_SECONDS_MIN = 1.0
EXTRA_SECONDS_MAX = 8.0
DECAY = 0.9


@define
class AdaptiveTimeout:
    """Hold how much longer than usual to wait (seconds), by how calls went of late."""

    extra_seconds: float = 0.0

    def extend(self, silence_seconds: float) -> float:
        """Return the silence to allow for a call that usually gets silence_seconds."""
        return silence_seconds + self.extra_seconds

    def record_silence(self) -> None:
        """Take note of a call without an answer: allow twice as much."""
        doubled = max(EXTRA_SECONDS_MIN, 2 * self.extra_seconds)
        self.extra_seconds = min(EXTRA_SECONDS_MAX, doubled)

    def record_response(self, seconds: float) -> None:
        """Take note of the time an answer took, without any wait that was asked for."""
        usual = min(EXTRA_SECONDS_MAX, 2 * seconds)
        self.extra_seconds = max(usual, DECAY * self.extra_seconds)
