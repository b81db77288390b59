"""Follow a stream of the log and apply its entries in order."""

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
PageCallback = Callable[[Result[Page, LogFailure]], None]
PageReader = Callable[[int, PageCallback], None]


class StreamFollower:
    """Apply entries exactly once and in order, from the log or from a peer that relays it.

    log_readable is true if the last read of the log itself succeeded, reachable if the source in
    use (the log or a peer) is current. end_offset is the highest offset reported by the log or a
    peer. complete becomes true once the stream has been read to its end since the process started.
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
        self.choose_relay: Callable[[], PageReader | None] = lambda: None
        self._scheduler = scheduler
        self._log = log
        self._subscribers: list[Subscriber] = []
        self._retry_seconds = RETRY_SECONDS_MIN
        self._random = random.Random()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call the subscriber with each entry, after earlier subscribers."""
        self._subscribers.append(subscriber)

    @property
    def caught_up(self) -> bool:
        """Return whether the source is current and all entries up to end_offset are applied."""
        return self.reachable and self.next_offset >= self.end_offset

    def start(self) -> None:
        """Follow the stream until the process exits."""
        self._read()

    def keep_recent(self, entries_max: int) -> None:
        """Set how many recent entries are kept in memory for peers."""
        self.recent = deque(self.recent, maxlen=entries_max)

    def record_end_offset(self, offset: int) -> None:
        """Record an end offset reported by a peer or an append."""
        self.end_offset = max(self.end_offset, offset)

    def apply_entries(self, entries: list[Entry]) -> None:
        """Apply the entries that are next in order; skip all others."""
        for entry in entries:
            if entry.offset != self.next_offset:
                continue
            self.next_offset += 1
            self.recent.append(entry)
            for subscriber in self._subscribers:
                subscriber(entry)
        self.end_offset = max(self.end_offset, self.next_offset)

    def restart_at(self, offset: int) -> None:
        """Continue from the offset of a loaded snapshot."""
        self.next_offset = offset
        self.end_offset = max(self.end_offset, offset)
        self.recent.clear()

    def read_recent(self, from_offset: int, limit: int) -> list[Entry]:
        """Return up to limit entries from the offset on, as far as they are in memory."""
        if not self.recent or from_offset < self.recent[0].offset:
            return []
        start = from_offset - self.recent[0].offset
        return [self.recent[i] for i in range(start, min(start + limit, len(self.recent)))]

    def probe(self) -> None:
        """Read the log once to check whether it is reachable again."""

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
