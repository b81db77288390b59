"""Detect process pauses, after which the node's grants may have been closed by others."""

import time
from collections.abc import Callable

from attrs import define, field
from result import Ok, Result

from bronzetiller.budgets.shards import Shard, Shards
from bronzetiller.logs import log_event
from bronzetiller.metrics import LOOP_PAUSES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.log_client import LogClient, LogFailure, Page

PAUSE_SECONDS_MAX = 3.0
CHECK_INTERVAL_SECONDS = 0.25
RETRY_INTERVAL_SECONDS = 0.25


@define
class PauseDetector:
    """Measure event loop gaps on two clocks, since either of them may stop while a VM is paused."""

    monotonic: float
    wall: float

    def observe(self, monotonic: float, wall: float) -> float:
        """Return the seconds since the last call, on the clock that advanced more."""
        gap = max(monotonic - self.monotonic, wall - self.wall)
        self.monotonic = monotonic
        self.wall = wall
        return gap


@define(eq=False)
class PauseGuard:
    """Block the use of grants after a pause until the ledger has been read to its current end."""

    _scheduler: Scheduler
    _log: LogClient
    _shards: Shards
    on_confirmed: Callable[[], None] = lambda: None
    _detector: PauseDetector = field(init=False)
    _unconfirmed: dict[str, int] = field(factory=dict)
    _pause_count: int = 0

    def __attrs_post_init__(self) -> None:
        self._detector = PauseDetector(self._scheduler.now(), time.time())

    def start(self) -> None:
        """Start checking for pauses periodically."""
        self._detector.observe(self._scheduler.now(), time.time())
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self.check)

    def check(self) -> None:
        """Check for a pause; call this before using tokens, as events may run before timers."""
        gap = self._detector.observe(self._scheduler.now(), time.time())
        if gap <= PAUSE_SECONDS_MAX:
            return
        LOOP_PAUSES.inc()
        log_event("loop_paused", level=30, seconds=round(gap, 3))
        self._pause_count += 1
        for shard in self._shards.all:
            stream = shard.follower.stream
            self._unconfirmed[stream] = self._pause_count
            self._confirm(shard, self._pause_count)

    def may_spend(self, workspace: str) -> bool:
        """Return whether the tokens of a workspace may be reserved, transferred or returned."""
        self.check()
        return self._shards.find(workspace).follower.stream not in self._unconfirmed

    def may_spend_all(self) -> bool:
        """Return whether no ledger stream is waiting to be confirmed."""
        self.check()
        return not self._unconfirmed

    def _confirm(self, shard: Shard, pause_number: int) -> None:
        follower = shard.follower
        if self._unconfirmed.get(follower.stream) != pause_number:
            return

        def retry() -> None:
            self._scheduler.call_after(
                RETRY_INTERVAL_SECONDS, lambda: self._confirm(shard, pause_number)
            )

        def handle_relayed_read(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page) if page.current:
                    self._apply_page(shard, pause_number, page)
            retry()

        def handle_read(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page):
                    self._apply_page(shard, pause_number, page)
                    retry()
                    return
            relay = follower.choose_relay()
            if relay is None:
                retry()
            else:
                relay(follower.next_offset, handle_relayed_read)

        self._log.read(follower.stream, follower.next_offset, handle_read, wait_seconds=0.0)

    def _apply_page(self, shard: Shard, pause_number: int, page: Page) -> None:
        shard.follower.apply_entries(page.entries)
        if shard.follower.next_offset >= page.end_offset:
            self._mark_confirmed(shard.follower.stream, pause_number)

    def _mark_confirmed(self, stream: str, pause_number: int) -> None:
        if self._unconfirmed.get(stream) == pause_number:
            del self._unconfirmed[stream]
            log_event("ledger_confirmed", stream=stream)
            self.on_confirmed()
