"""Detect jumps of a VM's wall clock by comparing it with the boot-time clock."""

import time
from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.logs import log_event

JUMP_SECONDS_MIN = 0.2  # well above the drift between two checks, well below real jumps


def read_offset() -> float:
    """Return the wall clock minus the boot-time clock (seconds)."""
    return time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


@frozen
class ClockReading:
    """Hold the Unix time and the boot-time clock of a VM (seconds), read together.

    The boot-time clock goes on over a restart of the process and starts again with the VM.
    """

    unix: float
    boot: float = 0.0

    def count_seconds_since(self, earlier: "ClockReading") -> float | None:
        """Return an upper bound of the seconds since an earlier reading, or None if unknown.

        A jump back of the wall clock hides time; without a restart of the VM the boot-time clock
        still shows it.
        """
        elapsed = self.unix - earlier.unix
        if elapsed < 0:
            return None
        return max(elapsed, self.boot - earlier.boot) if earlier.boot else elapsed


def read_clocks() -> ClockReading:
    """Read the clocks of this VM."""
    return ClockReading(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME))


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
