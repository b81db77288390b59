"""Read what other nodes wrote while this node writes nothing, to remember it.

The store may lose it; see holding_records.
"""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.gateway.allocations import decode_holding_record
from bronzetiller.gateway.holding_records import HoldingRecords
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.keyed import (
    KeyedStore,
    Partition,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
)
from bronzetiller.sync.backoff import Backoff

# A node that holds tokens must notice soon that the store has lost records, its own among them; a
# witness must have read those of the others.
IDLE_READ_SECONDS = 1.0
RETRY_SECONDS_MIN = 0.5


@define(eq=False)
class IdleReads:
    """Read holding records from a position on, one read at a time."""

    _scheduler: Scheduler
    _store: KeyedStore
    _partition: Partition
    _records: HoldingRecords
    _on_result: Callable[[Result[RecordBatch, ReadFailure]], None]
    _draw_uniform: Callable[[], float]
    _in_progress: bool = False
    _end: int = -1
    _next_at: float = float("-inf")
    _backoff: Backoff = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._backoff = Backoff(RETRY_SECONDS_MIN, IDLE_READ_SECONDS, self._draw_uniform)

    def is_due(self, known_at: float) -> bool:
        """Return whether to read; known_at is when the records were last read otherwise."""
        now = self._scheduler.now()
        due_at = max(self._next_at, known_at + IDLE_READ_SECONDS)
        return not self._in_progress and now >= due_at

    def read(self, position: int) -> None:
        """Read from a position on, or from the end of the last read if that is later."""

        def handle_records(result: Result[RecordBatch, ReadFailure]) -> None:
            self._in_progress = False
            match result:
                case Ok(batch):
                    self._backoff.reset()
                    self._end = batch.end
                    if batch.has_more:
                        self._next_at = self._scheduler.now()
                    for item in batch.records:
                        record = decode_holding_record(item.value or b"")
                        if record is not None:
                            self._records.remember(item.key, record)
                case Err(StoreUnreachable() as failure):
                    self._next_at = self._scheduler.now() + self._backoff.next_seconds()
                    log_event("holdings_unread", cause=failure)
            self._on_result(result)

        self._in_progress = True
        self._next_at = self._scheduler.now() + IDLE_READ_SECONDS
        self._store.read_from(self._partition, max(position, self._end), 0.0, handle_records)
