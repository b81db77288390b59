"""Follow a stream of the log and apply its entries in order."""

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
    PageCallback,
)
from bronzetiller.sync.backoff import Backoff
from bronzetiller.sync.log_reading import PageSize, Wait

RETRY_SECONDS_MIN = 0.1
RETRY_SECONDS_MAX = 2.0
CONTACT_SECONDS_MAX = 5.0  # after which the log is checked before it is read
UNCOORDINATED_RECORDS_MAX = 100  # so few are read without waiting for another reader
RECENT_ENTRIES_MAX = 4_000

Subscriber = Callable[[Entry], None]
PageReader = Callable[[int, PageCallback], None]


class StreamFollower:
    """Apply entries exactly once and in order, from the log or from a peer that relays it.

    log_readable is true if the last read of the log itself succeeded, reachable if the source in
    use (the log or a peer) is current. end_offset is the highest offset reported by the log or a
    peer. complete becomes true once the stream has been read to its end since the process started.

    A follower that lost the log, or has not read it itself for a while, asks for its end only until
    it responds, and reads what it missed after choose_election_seconds, so that one node of many
    can read it for the others. wait tells what it waits for; choose_again ends the wait.
    """

    def __init__(self, scheduler: Scheduler, log: LogClient, stream: str) -> None:
        self.stream = stream
        self.next_offset = 0
        self.end_offset = 0
        self.reachable = False
        self.complete = False
        self.recent: deque[Entry] = deque(maxlen=RECENT_ENTRIES_MAX)
        self.on_expired: Callable[[int], None] | None = None
        self.choose_relay: Callable[[], PageReader | None] = lambda: None
        self.choose_election_seconds: Callable[[], float] = lambda: 0.0
        self.on_contact_change: Callable[[], None] = lambda: None
        self.on_reachable: Callable[[], None] = lambda: None
        self.wait = Wait.RETRY
        self._log_readable = False
        self._contact_at = float("-inf")
        self._scheduler = scheduler
        self._log = log
        self._subscribers: list[Subscriber] = []
        self._backoff = Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX)
        self._page_size = PageSize()
        self._checking = False
        self._check_callbacks: list[Callable[[], None]] = []
        self._needs_turn = False
        self._attempt = 0

    @property
    def log_readable(self) -> bool:
        """Return whether the last read of the log itself succeeded."""
        return self._log_readable

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call the subscriber with each entry, after earlier subscribers."""
        self._subscribers.append(subscriber)

    @property
    def caught_up(self) -> bool:
        """Return whether the source is current and all entries up to end_offset are applied."""
        return self.reachable and self.next_offset >= self.end_offset

    def start(self) -> None:
        """Follow the stream until the process exits."""
        self._contact_at = self._scheduler.now()
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
        """Read the log itself once, in addition to the source in use."""

        def handle_page(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page):
                    self._apply_log_page(page)

        self._log.read(self.stream, self.next_offset, handle_page, wait_seconds=0.0)

    def choose_again(self) -> None:
        """Choose a source again in place of waiting for the one in use."""
        self._read()

    def check_log(self, done: Callable[[], None] = lambda: None) -> None:
        """Check whether the log responds, by a read of its end, unless a check is in progress."""
        self._check_callbacks.append(done)
        if self._checking:
            return
        self._checking = True
        started_at = self._scheduler.now()

        def handle_late_page(page: Page) -> None:
            self._record_contact(page)

        def handle_page(result: Result[Page, LogFailure]) -> None:
            self._checking = False
            match result:
                case Ok(page):
                    self._record_contact(page)
                case Err(failure) if self._contact_at < started_at:
                    self._set_log_readable(failure.first_offset is not None)
            callbacks, self._check_callbacks = self._check_callbacks, []
            for callback in callbacks:
                callback()

        self._log.read(
            self.stream,
            max(self.next_offset, self.end_offset),
            handle_page,
            wait_seconds=0.0,
            records_max=1,
            on_late_page=handle_late_page,
        )

    def _record_contact(self, page: Page) -> None:
        self.record_end_offset(page.end_offset)
        self._set_log_readable(True)

    def _set_log_readable(self, readable: bool) -> None:
        if readable:
            self._contact_at = self._scheduler.now()
        else:
            self._needs_turn = True
        if readable != self._log_readable:
            self._log_readable = readable
            self.on_contact_change()

    def _is_in_contact(self) -> bool:
        return (
            not self._needs_turn and self._scheduler.now() < self._contact_at + CONTACT_SECONDS_MAX
        )

    def _read(self) -> None:
        self._attempt += 1
        relay = self.choose_relay()
        if relay is not None:
            self.wait = Wait.PEER
            relay(self.next_offset, self._make_relay_callback())
        elif self._is_in_contact():
            self.wait = Wait.LOG
            self._read_log()
        else:
            self.wait = Wait.TURN
            self._await_log()

    def _read_after(self, seconds: float, *, take_turn: bool = False) -> None:
        """Read after a delay unless another source is chosen before."""
        attempt = self._attempt

        def read() -> None:
            if attempt == self._attempt:
                self._needs_turn = self._needs_turn and not take_turn
                self._read()

        self._scheduler.call_after(seconds, read)

    def _retry(self) -> None:
        self.wait = Wait.RETRY
        self._read_after(self._backoff.next_seconds())

    def _read_log(self) -> None:
        self._log.read(
            self.stream,
            self.next_offset,
            self._on_page,
            wait_seconds=READ_WAIT_SECONDS if self.caught_up else 0.0,
            records_max=self._page_size.records,
            on_late_page=self._apply_log_page,
        )

    def _await_log(self) -> None:
        """Check the log until it responds, then give way to the node that reads it first."""
        attempt = self._attempt

        def continue_reading() -> None:
            if attempt != self._attempt:
                return
            if not self.log_readable:
                self._record_loss("the log does not respond")
                self._retry()
                return
            self._backoff.reset()
            is_far_behind = self.end_offset - self.next_offset > UNCOORDINATED_RECORDS_MAX
            self._read_after(
                self.choose_election_seconds() if is_far_behind else 0.0, take_turn=True
            )

        self._needs_turn = True
        self.check_log(continue_reading)

    def _make_relay_callback(self) -> PageCallback:
        attempt = self._attempt

        def handle_page(result: Result[Page, LogFailure]) -> None:
            if attempt == self._attempt:
                self._on_relayed(result)
            elif isinstance(result, Ok):
                self.apply_entries(result.ok_value.entries)

        return handle_page

    def _on_relayed(self, result: Result[Page, LogFailure]) -> None:
        match result:
            case Ok(page):
                self._apply_page(page)
                self._read()
            case Err(_):
                self._read_after(0.0)

    def _on_page(self, result: Result[Page, LogFailure]) -> None:
        match result:
            case Ok(page):
                self._apply_log_page(page)
                self._read()
            case Err(failure):
                self._on_failure(failure)

    def _apply_log_page(self, page: Page) -> None:
        self._needs_turn = False
        self._set_log_readable(True)
        self._page_size.record_page(len(page.entries), page.transfer_seconds)
        self._apply_page(page)

    def _apply_page(self, page: Page) -> None:
        became_reachable = page.current and not self.reachable
        if became_reachable:
            log_event("log_reachable", stream=self.stream, offset=page.end_offset)
        self.reachable = page.current
        self._backoff.reset()
        self.record_end_offset(page.end_offset)
        self.apply_entries(page.entries)
        self.complete = self.complete or self.caught_up
        if became_reachable:
            self.on_reachable()

    def _on_failure(self, failure: LogFailure) -> None:
        if failure.incomplete:
            self._page_size.record_incomplete_page()
        if failure.first_offset is not None:
            self._set_log_readable(True)
            if self.on_expired is not None:
                self.on_expired(failure.first_offset)
        else:
            self._record_loss(failure.cause)
            self._set_log_readable(False)
            self._needs_turn = not failure.incomplete
        self._retry()

    def _record_loss(self, cause: str) -> None:
        """Record that there is no current source."""
        if self.reachable:
            log_event("log_unreachable", level=30, stream=self.stream, cause=cause)
        self.reachable = False
