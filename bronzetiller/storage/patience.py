"""Wait longer for a log that answers late, so that its answers are not given up each time."""

from attrs import define

SLOW_SECONDS_MIN = 1.0
SLOW_SECONDS_MAX = 8.0
DECAY = 0.9


@define
class Patience:
    """Hold how much longer than usual to wait (seconds), by how calls went of late."""

    slow_seconds: float = 0.0

    def extend(self, silence_seconds: float) -> float:
        """Return the silence to allow for a call that usually gets silence_seconds."""
        return silence_seconds + self.slow_seconds

    def note_silence(self) -> None:
        """Take note of a call without an answer: allow twice as much."""
        doubled = max(SLOW_SECONDS_MIN, 2 * self.slow_seconds)
        self.slow_seconds = min(SLOW_SECONDS_MAX, doubled)

    def note_answer(self, seconds: float) -> None:
        """Take note of the time an answer took, without any wait that was asked for."""
        usual = min(SLOW_SECONDS_MAX, 2 * seconds)
        self.slow_seconds = max(usual, DECAY * self.slow_seconds)
