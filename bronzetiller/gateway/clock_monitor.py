"""Detect jumps of a VM's wall clock by comparing it with the boot-time clock."""

import time
from collections.abc import Callable

from attrs import define, field

from bronzetiller.logs import log_event

JUMP_SECONDS_MIN = 0.2  # well above the drift between two checks, well below real jumps


def read_offset() -> float:
    """Return the wall clock minus the boot-time clock (seconds)."""
    return time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


@define
class ClockMonitor:
    """Track whether the wall clock ever jumped; both clocks advance while a VM is suspended."""

    steady: bool = True
    _read_offset: Callable[[], float] = read_offset
    _offset: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._offset = self._read_offset()

    def check(self) -> None:
        """Compare the clocks and record a jump."""
        offset = self._read_offset()
        if abs(offset - self._offset) > JUMP_SECONDS_MIN:
            log_event("clock_jumped", level=30, seconds=round(offset - self._offset, 3))
            self.steady = False
            self._offset = offset
