"""Reserve tokens for each region, so that it can serve every workspace while disconnected."""

from collections.abc import Callable, Iterable

from attrs import define

from bronzetiller.budgets.grants import GrantManager
from bronzetiller.net.scheduler import Scheduler

CHECK_INTERVAL_SECONDS = 1.0


@define(eq=False)
class RegionReserves:
    """Assign the region's reserve of each workspace to the node of the region that ranks first."""

    _scheduler: Scheduler
    _grant_manager: GrantManager
    _list_workspaces: Callable[[], Iterable[str]]
    _rank: Callable[[str], int]

    def start(self) -> None:
        """Start checking periodically, for the life of the process."""
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        for workspace in self._list_workspaces():
            is_first = self._rank(f"reserve/{workspace}") == 0
            self._grant_manager.set_reserve(workspace, enabled=is_first)
