"""Follow one stream of the log and apply its entries in order."""

import random
from collections import deque
from collections.abc import Callable

from result import Err, Ok, Result

from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.log_client import (
    READ_WAIT_SECONDS,
    Entry,
    LogClient,
    LogFailure,
    Page,
)

RETRY_SECONDS_MIN = 0.1
RETRY_SECONDS_MAX = 1.0
RECENT_ENTRIES_MAX = 4_000

Subscriber = Callable[[Entry], None]
PageReceived = Callable[[Result[Page, LogFailure]], None]
Reader = Callable[[int, PageReceived], None]


class StreamFollower:
    """Apply entries once and in order, from the log or from a peer that relays it.

    direct says whether the last read of the log itself succeeded; reachable whether the source
    in use, the log or a peer, is current; end_offset is the highest offset that the log or a peer
    has named. complete says that the stream was once read to its end since the start.
    """

    def __init__(self, scheduler: Scheduler, log: LogClient, stream: str) -> None:
        self.stream = stream
        self.next_offset = 0
        self.end_offset = 0
        self.log_readable = False
        self.reachable = False
        self.complete = False
        self.recent: deque[Entry] = deque(maxlen=RECENT_ENTRIES_MAX)
        self.on_expired: Callable[[int], None] | None = None
        self.choose_relay: Callable[[], Reader | None] = lambda: None
        self._scheduler = scheduler
        self._log = log
        self._subscribers: list[Subscriber] = []
        self._retry_seconds = RETRY_SECONDS_MIN
        self._random = random.Random()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Hand each entry to the subscriber, after those subscribed before."""
        self._subscribers.append(subscriber)

    @property
    def caught_up(self) -> bool:
        """Say whether the source is current and everything that was named is applied."""
        return self.reachable and self.next_offset >= self.end_offset

    def start(self) -> None:
        """Begin to read the log; go on for the life of the process."""
        self._read()

    def keep_recent(self, entries_max: int) -> None:
        """Keep so many entries in memory for peers."""
        self.recent = deque(self.recent, maxlen=entries_max)

    def record_end_offset(self, offset: int) -> None:
        """Take note of an offset that a peer has reached."""
        self.end_offset = max(self.end_offset, offset)

    def apply_entries(self, entries: list[Entry]) -> None:
        """Apply the entries that come next; skip those already applied."""
        for entry in entries:
            if entry.offset != self.next_offset:
                continue
            self.next_offset += 1
            self.recent.append(entry)
            for subscriber in self._subscribers:
                subscriber(entry)
        self.end_offset = max(self.end_offset, self.next_offset)

    def restart_at(self, offset: int) -> None:
        """Go on from an offset that a snapshot covers."""
        self.next_offset = offset
        self.end_offset = max(self.end_offset, offset)
        self.recent.clear()

    def read_recent(self, from_offset: int, limit: int) -> list[Entry]:
        """Return the entries kept in memory from the offset on."""
        if not self.recent or from_offset < self.recent[0].offset:
            return []
        start = from_offset - self.recent[0].offset
        return [self.recent[i] for i in range(start, min(start + limit, len(self.recent)))]

    def probe(self) -> None:
        """Read the log once, to learn whether it can be reached again."""

        def handle_page(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page):
                    self.log_readable = True
                    self._apply_page(page)

        self._log.read(self.stream, self.next_offset, handle_page, wait_seconds=0.0)

    def _read(self) -> None:
        relay = self.choose_relay()
        if relay is not None:
            relay(self.next_offset, self._on_relayed)
            return
        wait_seconds = READ_WAIT_SECONDS if self.caught_up else 0.0
        self._log.read(self.stream, self.next_offset, self._on_page, wait_seconds=wait_seconds)

    def _on_relayed(self, result: Result[Page, LogFailure]) -> None:
        match result:
            case Ok(page):
                self._apply_page(page)
                self._read()
            case Err(_):
                self._scheduler.call_after(0, self._read)

    def _on_page(self, result: Result[Page, LogFailure]) -> None:
        match result:
            case Ok(page):
                self.log_readable = True
                self._apply_page(page)
                self._read()
            case Err(failure):
                self._on_failure(failure)

    def _apply_page(self, page: Page) -> None:
        if page.current and not self.reachable:
            log_event("log_reachable", stream=self.stream, offset=page.end_offset)
        self.reachable = page.current
        self._retry_seconds = RETRY_SECONDS_MIN
        self.record_end_offset(page.end_offset)
        self.apply_entries(page.entries)
        self.complete = self.complete or self.caught_up

    def _on_failure(self, failure: LogFailure) -> None:
        if failure.first_offset is not None:
            self.log_readable = True
            if self.on_expired is not None:
                self.on_expired(failure.first_offset)
        else:
            if self.reachable:
                log_event("log_unreachable", level=30, stream=self.stream, cause=failure.cause)
            self.log_readable = self.reachable = False
        delay = self._retry_seconds * self._random.uniform(0.5, 1.0)
        self._retry_seconds = min(RETRY_SECONDS_MAX, self._retry_seconds * 2)
        self._scheduler.call_after(delay, self._read)
