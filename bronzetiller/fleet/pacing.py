"""Keep the appends of the whole fleet under the rate that the log takes.

Each writer makes at most one append per interval. Where the nodes are too many for a short
interval, they hand their batches to one node of their data centre, which merges them.
"""

from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.fleet.delegation import AppendDelegator
from bronzetiller.fleet.vm_list import VmList
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.storage.writer import StreamWriter

CHECK_SECONDS = 1.0


@frozen
class Pace:
    """Say whether nodes append for themselves, and the interval (seconds) of those that append."""

    merged: bool
    append_seconds: float


def choose_pace(
    nodes: int,
    data_centres: int,
    streams: int,
    *,
    appends_per_second_max: float,
    seconds_min: float,
    direct_seconds_max: float,
) -> Pace:
    """Return the pace at which all nodes together stay under the rate."""
    direct = nodes * streams / appends_per_second_max
    if direct <= max(direct_seconds_max, seconds_min):
        return Pace(False, max(seconds_min, direct))
    merged = data_centres * streams / appends_per_second_max
    return Pace(True, max(seconds_min, merged))


@define(eq=False)
class Pacer:
    """Set the intervals of the writers as the fleet grows and shrinks."""

    _scheduler: Scheduler
    _vm_list: VmList
    _delegation: AppendDelegator
    _settings: Settings
    _choose_appender: Callable[[str], str | None]
    _writers: list[StreamWriter] = field(factory=list)

    def start(self, writers: list[StreamWriter]) -> None:
        """Begin to pace the writers."""
        self._writers = writers
        self._check()

    def _check(self) -> None:
        self._scheduler.call_after(CHECK_SECONDS, self._check)
        routers = self._vm_list.find_routers()
        seconds_min = self._settings.budgets.append_interval_seconds
        pace = choose_pace(
            max(1, len(routers)),
            max(1, len({vm.data_centre for vm in routers})),
            len(self._writers),
            appends_per_second_max=self._settings.fleet.appends_per_second_max,
            seconds_min=seconds_min,
            direct_seconds_max=self._settings.fleet.direct_append_seconds_max,
        )
        self._delegation.merge_seconds = pace.append_seconds if pace.merged else 0.0
        for writer in self._writers:
            self._apply_pace(writer, pace, seconds_min)

    def _apply_pace(self, writer: StreamWriter, pace: Pace, seconds_min: float) -> None:
        appender = self._choose_appender(writer.stream) if pace.merged else None
        writer.prefer_delegate = appender is not None
        writer.interval_seconds = seconds_min if writer.prefer_delegate else pace.append_seconds
