"""Count what is cut to bound memory and descriptors, and log it at a limited rate."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bronzetiller.logs import log_event
from bronzetiller.metrics import CALLER_CUTS
from bronzetiller.net.buffer_quota import Buffer

INTERVAL_SECONDS = 1.0  # between two lines about the same kind of cut


@define(eq=False)
class CutReports:
    """Hold when each kind of cut may be logged again, and how many were not logged."""

    _now: Callable[[], float]
    _next_at: dict[str, float] = field(factory=dict)
    _skipped: dict[str, int] = field(factory=dict)

    def report(self, cut: str, **fields: Any) -> None:
        """Count a cut; log it unless the last line about this kind is too recent."""
        CALLER_CUTS.labels(cut).inc()
        if self._now() < self._next_at.get(cut, 0.0):
            self._skipped[cut] = self._skipped.get(cut, 0) + 1
            return
        self._next_at[cut] = self._now() + INTERVAL_SECONDS
        log_event("caller_cut", level=30, cut=cut, before=self._skipped.pop(cut, 0), **fields)

    def report_buffer(self, buffer: Buffer, size: int) -> None:
        """Report a buffer that was dropped with size bytes."""
        address = buffer.group if isinstance(buffer.group, str) else "unknown"
        self.report(buffer.kind.name.lower(), address=address, bytes=size)
