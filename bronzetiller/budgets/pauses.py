"""Notice pauses of the whole process, after which its grants may be another's."""

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
    """Compare passes of the loop on two clocks, since a paused VM may stop either of them."""

    monotonic: float
    wall: float

    def observe(self, monotonic: float, wall: float) -> float:
        """Return the seconds since the last pass, by the clock that ran further."""
        gap = max(monotonic - self.monotonic, wall - self.wall)
        self.monotonic = monotonic
        self.wall = wall
        return gap


@define(eq=False)
class PauseGuard:
    """Forbid the use of grants from a pause until the ledger has been read to an end beyond it."""

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
        """Begin to watch the loop."""
        self._detector.observe(self._scheduler.now(), time.time())
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self.check)

    def check(self) -> None:
        """Compare the clocks; call it before any use of tokens, as events outrun timers."""
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
        """Say whether the tokens of a workspace may be reserved, given or returned."""
        self.check()
        return self._shards.find(workspace).follower.stream not in self._unconfirmed

    def may_spend_all(self) -> bool:
        """Say whether no ledger stream waits to be confirmed."""
        self.check()
        return not self._unconfirmed

    def _confirm(self, shard: Shard, pause: int) -> None:
        follower = shard.follower
        if self._unconfirmed.get(follower.stream) != pause:
            return

        def retry() -> None:
            self._scheduler.call_after(RETRY_INTERVAL_SECONDS, lambda: self._confirm(shard, pause))

        def handle_relayed_read(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page) if page.current:
                    self._apply_page(shard, pause, page)
            retry()

        def handle_read(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page):
                    self._apply_page(shard, pause, page)
                    retry()
                    return
            relay = follower.choose_relay()
            if relay is None:
                retry()
            else:
                relay(follower.next_offset, handle_relayed_read)

        self._log.read(follower.stream, follower.next_offset, handle_read, wait_seconds=0.0)

    def _apply_page(self, shard: Shard, pause: int, page: Page) -> None:
        shard.follower.apply_entries(page.entries)
        if shard.follower.next_offset >= page.end_offset:
            self._mark_confirmed(shard.follower.stream, pause)

    def _mark_confirmed(self, stream: str, pause: int) -> None:
        if self._unconfirmed.get(stream) == pause:
            del self._unconfirmed[stream]
            log_event("ledger_confirmed", stream=stream)
            self.on_confirmed()
