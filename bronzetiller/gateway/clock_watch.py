"""Notice jumps of a VM's clock by comparing it with the steady one."""

import time

from attrs import define, field

from bronzetiller.logs import log_event

JUMP_SECONDS = 0.2  # far above the drift between two checks, far below the jumps to notice


def _read_offset() -> float:
    return time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


@define
class ClockWatch:
    """Remember whether the clock ever jumped; suspensions count in both clocks compared."""

    steady: bool = True
    _offset: float = field(factory=_read_offset)

    def check(self) -> None:
        """Compare the clocks again."""
        offset = _read_offset()
        if abs(offset - self._offset) > JUMP_SECONDS:
            log_event("clock_jumped", level=30, seconds=round(offset - self._offset, 3))
            self.steady = False
            self._offset = offset
