"""Shut a node down gracefully, without interrupting requests.

Every node removes the stopping node from its entry lookup at once. Callers may use an address until
the deadline that the lookup gave them, so the node serves requests until the last of these
deadlines has passed and refuses them afterwards. The process exits once nothing is open, or at its
own deadline at the latest; what is still open shortly before is answered.
"""

from collections.abc import Callable
from enum import Enum

from attrs import define

from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler

CHECK_INTERVAL_SECONDS = 0.05
ANSWER_SECONDS = 0.25  # before the end, to send the last responses
ANSWER_PORTION_MAX = 0.25  # of the time to stop
FLUSH_SECONDS = 0.1  # after the last responses, also if the loop was late


class Phase(Enum):
    """Name the phases of a shutdown."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    OVER = "over"


def compute_phase(now: float, refuse_at: float, end_at: float, *, idle: bool) -> Phase:
    """Return the phase of a shutdown in progress from its deadlines (seconds, monotonic)."""
    if now >= end_at:
        return Phase.OVER
    if now < refuse_at:
        return Phase.LEAVING
    return Phase.OVER if idle else Phase.REFUSING


@define(eq=False)
class Drain:
    """Drive a node through the phases of its shutdown."""

    _scheduler: Scheduler
    _announce: Callable[[], None]
    _release: Callable[[], None]
    _is_idle: Callable[[], bool]
    _answer: Callable[[], None]
    _end: Callable[[], None]
    phase: Phase = Phase.SERVING
    _refuse_at: float = 0.0
    _answer_at: float = 0.0
    _end_at: float = 0.0
    _answered: bool = False

    @property
    def stopping(self) -> bool:
        """Return whether the shutdown has begun."""
        return self.phase is not Phase.SERVING

    @property
    def refusing(self) -> bool:
        """Return whether new requests are refused."""
        return self.stopping and self._scheduler.now() >= self._refuse_at

    def can_finish(self, deadline: float) -> bool:
        """Return whether a request with a deadline (seconds, monotonic) ends before the process."""
        return not self.stopping or deadline <= self._answer_at

    def begin(self, cause: str, *, leave_seconds: float, stop_seconds_max: float) -> None:
        """Begin the shutdown; do nothing if it has already begun."""
        if self.stopping:
            return
        now = self._scheduler.now()
        self._refuse_at = now + leave_seconds
        seconds = max(leave_seconds, stop_seconds_max)
        self._end_at = now + seconds
        self._answer_at = self._end_at - min(ANSWER_SECONDS, ANSWER_PORTION_MAX * seconds)
        self.phase = Phase.LEAVING
        log_event("stopping", cause=cause, leave_seconds=leave_seconds)
        self._announce()
        self._check()

    def _check(self) -> None:
        now = self._scheduler.now()
        if now >= self._refuse_at:
            self._release()
        if now >= self._answer_at and not self._answered:
            self._answered = True
            self._answer()
            self._end_at = max(self._end_at, now + FLUSH_SECONDS)
        idle = self._is_idle()
        phase = compute_phase(now, self._refuse_at, self._end_at, idle=idle)
        if phase is not self.phase:
            log_event("stop_phase", phase=phase.value)
        self.phase = phase
        if phase is Phase.OVER:
            log_event("stopped", idle=idle, level=20 if idle else 30)
            self._end()
            return
        next_at = now + CHECK_INTERVAL_SECONDS
        if not self._answered:
            next_at = min(next_at, self._answer_at)
        self._scheduler.call_at(next_at, self._check)
