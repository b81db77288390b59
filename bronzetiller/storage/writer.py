"""Batch the records of a process into few appends and retry those whose response was lost."""

from collections.abc import Callable

from attrs import define
from result import Err, Ok, Result

from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.log_client import LogClient, LogFailure, Record
from bronzetiller.sync.backoff import Backoff

RETRY_SECONDS_MIN = 0.25
RETRY_SECONDS_MAX = 2.0
UNREACHABLE_SECONDS = 1.0
DIRECT_RETRY_SECONDS = 5.0
BATCH_RECORDS_MAX = 500

AcknowledgedCallback = Callable[[int], None]
AppendDone = Callable[[Result[int, LogFailure]], None]
Delegate = Callable[[str, list[Record], AppendDone], bool]


@define
class _PendingRecord:
    record: Record
    acknowledged: AcknowledgedCallback | None
    done: bool = False


class StreamWriter:
    """Append to one stream, one call at a time; applying a record twice must be harmless.

    An append that is late is repeated with fewer records, and acknowledges its own if it succeeds
    after all.
    """

    def __init__(
        self, scheduler: Scheduler, log: LogClient, stream: str, *, interval_seconds: float
    ) -> None:
        self.stream = stream
        self.interval_seconds = interval_seconds
        self.prefer_delegate = False
        self.on_acknowledged: AcknowledgedCallback | None = None
        self.delegate: Delegate | None = None
        self._scheduler = scheduler
        self._log = log
        self._pending: list[_PendingRecord] = []
        self._busy = False
        self._direct_retry_at = 0.0
        self._delegate_retry_at = 0.0
        self._failing_since: float | None = None
        self._batch_records = BATCH_RECORDS_MAX
        self._backoff = Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX)

    @property
    def reachable(self) -> bool:
        """Return whether appends succeed; a single lost response does not count as an outage."""
        since = self._failing_since
        return since is None or self._scheduler.now() < since + UNREACHABLE_SECONDS

    @property
    def backlog(self) -> int:
        """Return the number of unacknowledged records."""
        return len(self._pending)

    def append(self, record: Record, acknowledged: AcknowledgedCallback | None = None) -> None:
        """Queue a record, retry until the log confirms it, then pass its offset to acknowledged."""
        self._pending.append(_PendingRecord(record, acknowledged))
        if not self._busy:
            self._busy = True
            self._scheduler.call_after(self.interval_seconds, self._flush)

    def _flush(self) -> None:
        batch = self._pending[: self._batch_records]
        if not batch:
            self._busy = False
            return

        records = [item.record for item in batch]
        if self._prefers_delegate() and self._delegate_batch(batch, records):
            return

        def finish(result: Result[int, LogFailure]) -> None:
            failed = isinstance(result, Err)
            self._direct_retry_at = self._scheduler.now() + DIRECT_RETRY_SECONDS if failed else 0.0
            self._finish(batch, result)

        self._log.append(
            self.stream,
            records,
            finish,
            on_late_append=lambda first_offset: self._acknowledge(batch, first_offset),
        )

    def _prefers_delegate(self) -> bool:
        now = self._scheduler.now()
        return now < self._direct_retry_at or (
            self.prefer_delegate and now >= self._delegate_retry_at
        )

    def _delegate_batch(self, batch: list[_PendingRecord], records: list[Record]) -> bool:
        def finish(result: Result[int, LogFailure]) -> None:
            if isinstance(result, Err):
                self._delegate_retry_at = self._scheduler.now() + DIRECT_RETRY_SECONDS
                self._direct_retry_at = 0.0
            self._finish(batch, result)

        if self.delegate is None or not self.delegate(self.stream, records, finish):
            self._direct_retry_at = 0.0
            return False
        return True

    def _finish(self, batch: list[_PendingRecord], result: Result[int, LogFailure]) -> None:
        match result:
            case Ok(first_offset):
                self._batch_records = min(BATCH_RECORDS_MAX, 2 * self._batch_records)
                self._scheduler.call_after(self.interval_seconds, self._flush)
                self._acknowledge(batch, first_offset)
            case Err(failure):
                if self._failing_since is None:
                    log_event("append_failed", level=30, stream=self.stream, cause=failure.cause)
                    self._failing_since = self._scheduler.now()
                if failure.sent:
                    self._batch_records = max(1, len(batch) // 2)
                self._scheduler.call_after(self._backoff.next_seconds(), self._flush)

    def _acknowledge(self, batch: list[_PendingRecord], first_offset: int) -> None:
        self._failing_since = None
        self._backoff.reset()
        acknowledged = [(index, item) for index, item in enumerate(batch) if not item.done]
        for _, item in acknowledged:
            item.done = True
        self._pending = [item for item in self._pending if not item.done]
        if self.on_acknowledged is not None:
            self.on_acknowledged(first_offset + len(batch))
        for index, item in acknowledged:
            if item.acknowledged is not None:
                item.acknowledged(first_offset + index)
