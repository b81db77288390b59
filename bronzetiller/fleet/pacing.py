"""Keep the append rate of the whole fleet below the limit of the log.

Each writer makes at most one append per interval. If there are too many nodes for a short interval,
they delegate their batches to one node of their data centre, which merges them.
"""

from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.fleet.delegation import AppendDelegator
from bronzetiller.fleet.vm_list import VmList
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.storage.writer import StreamWriter

CHECK_INTERVAL_SECONDS = 1.0


@frozen
class Pace:
    """Define whether batches are merged, and the interval (seconds) of the nodes that append."""

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
    """Return the pace at which all nodes together stay below the append rate limit."""
    direct_seconds = nodes * streams / appends_per_second_max
    if direct_seconds <= max(direct_seconds_max, seconds_min):
        return Pace(False, max(seconds_min, direct_seconds))
    merged_seconds = data_centres * streams / appends_per_second_max
    return Pace(True, max(seconds_min, merged_seconds))


@define(eq=False)
class Pacer:
    """Adjust the append intervals of the writers to the size of the fleet."""

    _scheduler: Scheduler
    _vm_list: VmList
    _delegation: AppendDelegator
    _settings: Settings
    _choose_appender: Callable[[str], str | None]
    _writers: list[StreamWriter] = field(factory=list)

    def start(self, writers: list[StreamWriter]) -> None:
        """Start pacing the writers."""
        self._writers = writers
        self._check()

    def _check(self) -> None:
        self._scheduler.call_after(CHECK_INTERVAL_SECONDS, self._check)
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
