"""Read a target's response only as fast as it can be passed on; time out a target that is read."""

from collections.abc import Callable
from enum import Enum

from attrs import define, field

from bronzetiller.gateway.attempt import Attempt
from bronzetiller.net.scheduler import Scheduler, Timeout


class Obstacle(Enum):
    """Name what keeps events from being passed on."""

    SLOW_CALLER = "slow caller"
    HELD_EVENTS = "held events"


@define(eq=False)
class ResponseFlow:
    """Hold what keeps the events of a request's current attempt from being passed on.

    on_silence is called if the target of that attempt sends nothing for too long while it is read.
    """

    _scheduler: Scheduler
    _on_silence: Callable[[], None]
    _attempt: Attempt | None = None
    _silence_seconds: float | None = None
    _obstacles: set[Obstacle] = field(factory=set)
    _timeout: Timeout | None = None

    def begin(self, attempt: Attempt) -> None:
        """Apply to the next attempt, whose target may be silent until a limit is set."""
        self._attempt = attempt
        self.limit_silence(None)
        if self._obstacles:
            attempt.pause()

    def limit_silence(self, seconds: float | None) -> None:
        """Time the target out after the given seconds from now, or from when it is read again."""
        self._silence_seconds = seconds
        self._update_timeout()

    def change(self, obstacle: Obstacle, *, flowing: bool) -> None:
        """Stop reading from the target while there is an obstacle."""
        was_flowing = not self._obstacles
        change = self._obstacles.discard if flowing else self._obstacles.add
        change(obstacle)
        is_flowing = not self._obstacles
        if is_flowing == was_flowing:
            return
        self._update_timeout()
        if self._attempt is None:
            return
        if is_flowing:
            self._attempt.resume()
        else:
            self._attempt.pause()

    def handle_caller(self, flowing: bool) -> None:
        """Stop reading from the target while the caller reads more slowly."""
        self.change(Obstacle.SLOW_CALLER, flowing=flowing)

    def end(self) -> None:
        """Release the timeout."""
        self._silence_seconds = None
        if self._timeout is not None:
            self._timeout.cancel()

    def _update_timeout(self) -> None:
        if self._silence_seconds is None or self._obstacles:
            if self._timeout is not None:
                self._timeout.clear()
            return
        if self._timeout is None:
            self._timeout = self._scheduler.create_timeout(self._on_silence)
        self._timeout.expire_after(self._silence_seconds)
