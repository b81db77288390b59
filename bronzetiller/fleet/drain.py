"""Stop a node without cutting a request.

The entry lookup of every node stops naming the node at once. Callers keep an address until the
deadline that the lookup gave them, so requests are served until the last such deadline is over and
refused from then on. The process ends once nothing is open, at the latest at its own deadline.
"""

from collections.abc import Callable
from enum import Enum

from attrs import define

from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler

CHECK_SECONDS = 0.05


class Phase(Enum):
    """Name the steps of a stop."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    OVER = "over"


def compute_phase(now: float, refuse_at: float, end_at: float, *, idle: bool) -> Phase:
    """Return the phase of a stop that has begun, by its deadlines (seconds, monotonic)."""
    if now >= end_at:
        return Phase.OVER
    if now < refuse_at:
        return Phase.LEAVING
    return Phase.OVER if idle else Phase.REFUSING


@define(eq=False)
class Drain:
    """Take a node through the phases of its stop."""

    _scheduler: Scheduler
    _announce: Callable[[], None]
    _release: Callable[[], None]
    _is_idle: Callable[[], bool]
    _end: Callable[[], None]
    phase: Phase = Phase.SERVING
    _refuse_at: float = 0.0
    _end_at: float = 0.0

    @property
    def stopping(self) -> bool:
        """Say whether the stop has begun."""
        return self.phase is not Phase.SERVING

    @property
    def refusing(self) -> bool:
        """Say whether new requests are refused."""
        return self.phase in (Phase.REFUSING, Phase.OVER)

    def begin(self, cause: str, *, leave_seconds: float, stop_seconds_max: float) -> None:
        """Begin the stop, once."""
        if self.stopping:
            return
        now = self._scheduler.now()
        self._refuse_at = now + leave_seconds
        self._end_at = now + max(leave_seconds, stop_seconds_max)
        self.phase = Phase.LEAVING
        log_event("stopping", cause=cause, leave_seconds=leave_seconds)
        self._announce()
        self._check()

    def _check(self) -> None:
        now = self._scheduler.now()
        if now >= self._refuse_at:
            self._release()
        idle = self._is_idle()
        phase = compute_phase(now, self._refuse_at, self._end_at, idle=idle)
        if phase is not self.phase:
            log_event("stop_phase", phase=phase.value)
        self.phase = phase
        if phase is Phase.OVER:
            log_event("stopped", idle=idle, level=20 if idle else 30)
            self._end()
            return
        self._scheduler.call_after(CHECK_SECONDS, self._check)
