"""Append a node's holding records to one partition of the store, one at a time."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.gateway.allocations import HoldingRecord
from bronzetiller.logs import log_event
from bronzetiller.metrics import VOUCHED_RECORDS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.keyed import (
    AppendFailure,
    Fenced,
    KeyedStore,
    Partition,
    StoreUnreachable,
    WriterSequence,
)
from bronzetiller.sync.backoff import Backoff

# Holdings decide whether requests are refused, so that calls must resume soon after an outage.
RETRY_SECONDS_MIN = 0.25
RETRY_SECONDS_MAX = 1.5
LATENCY_WEIGHT = 0.2  # of the newest append in the mean latency

MakeRecord = Callable[[int, int], HoldingRecord]
AppendCallback = Callable[[Result[int, AppendFailure]], None]


@define(eq=False)
class RecordWriter:
    """Append records under increasing numbers, so that the store executes each at most once.

    An append without a response is repeated until the store responds, as it may have been executed.
    latency is the mean time of an append (seconds).
    """

    _scheduler: Scheduler
    _store: KeyedStore
    partition: Partition
    _node_id: str
    _on_store_failure: Callable[[str], None]
    _draw_uniform: Callable[[], float]
    epoch: int = 0
    latency: float = 0.0
    in_progress: bool = False
    _number: int = 0
    _outcome_unknown: bool = False
    _backoff: Backoff = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._backoff = make_backoff(self._draw_uniform)

    def append(self, make_record: MakeRecord, done: AppendCallback) -> HoldingRecord:
        """Append the record made from an epoch and a number; done gets its offset.

        A failure means that the record was not and will never be appended. After Fenced the writer
        has a later epoch.
        """
        self._number += 1
        self.in_progress = True
        record = make_record(self.epoch, self._number)
        self._send(record, done)
        return record

    def _send(self, record: HoldingRecord, done: AppendCallback) -> None:
        sent_at = self._scheduler.now()

        def handle_result(result: Result[int, AppendFailure]) -> None:
            match result:
                case Ok():
                    elapsed = self._scheduler.now() - sent_at
                    self.latency += LATENCY_WEIGHT * (elapsed - self.latency)
                case Err(Fenced(cause)):
                    log_event(
                        "holding_record_fenced",
                        level=40,
                        partition=self.partition,
                        epoch=record.epoch,
                        cause=cause,
                    )
                    self.epoch += 1
                case Err(StoreUnreachable(cause, may_have_run)):
                    self._on_store_failure(cause)
                    self._outcome_unknown = self._outcome_unknown or may_have_run
                    if self._outcome_unknown:
                        self._scheduler.call_after(
                            self._backoff.next_seconds(), lambda: self._send(record, done)
                        )
                        return
                    self._number -= 1
            self._backoff.reset()
            self._outcome_unknown = False
            self.in_progress = False
            done(result)

        writer_sequence = WriterSequence(self._node_id, record.epoch, record.number)
        self._store.append(
            self.partition, self._node_id, record.encode(), writer_sequence, handle_result
        )


def make_backoff(draw_uniform: Callable[[], float]) -> Backoff:
    """Return the delays between calls of a store that does not respond."""
    return Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, draw_uniform)


def vouch(store: KeyedStore, partition: Partition, node_id: str, record: HoldingRecord) -> None:
    """Write the record of a node that did not do so itself."""

    def handle_result(result: Result[int, AppendFailure]) -> None:
        written = isinstance(result, Ok)
        VOUCHED_RECORDS.labels("written" if written else "failed").inc()
        log_event("holding_vouched", peer=node_id, epoch=record.epoch, written=written)

    store.append(partition, node_id, record.encode(), None, handle_result)
