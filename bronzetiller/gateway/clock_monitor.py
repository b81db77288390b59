"""Notice jumps of a VM's clock by comparing it with the steady one."""

import time
from collections.abc import Callable

from attrs import define, field

from bronzetiller.logs import log_event

JUMP_SECONDS_MIN = 0.2  # far above the drift between two checks, far below the jumps to notice


def read_offset() -> float:
    """Return the clock less the steady one (seconds)."""
    return time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


@define
class ClockMonitor:
    """Remember whether the clock ever jumped; suspensions count in both clocks compared."""

    steady: bool = True
    _read_offset: Callable[[], float] = read_offset
    _offset: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._offset = self._read_offset()

    def check(self) -> None:
        """Compare the clocks again."""
        offset = self._read_offset()
        if abs(offset - self._offset) > JUMP_SECONDS_MIN:
            log_event("clock_jumped", level=30, seconds=round(offset - self._offset, 3))
            self.steady = False
            self._offset = offset
