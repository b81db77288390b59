"""Define the interface of a partitioned store of keyed records with a position per record.

The store keeps the newest record of each key indefinitely; older ones expire, so a reader that
falls too far behind starts over from the newest records.

The store may be restored from a copy that lacks its newest records. It then gives out their offsets
again, to other records, in a new era. A position orders by era, then by offset, so that one of an
earlier era equals no later one, and a reader that holds one starts over.
"""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen
from result import Result

_OFFSET_BITS = 40


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era of the store."""
    return era << _OFFSET_BITS | offset


def get_era(position: int) -> int:
    """Return the era of a position."""
    return position >> _OFFSET_BITS


def get_offset(position: int) -> int:
    """Return the offset of a position in its era."""
    return position & ((1 << _OFFSET_BITS) - 1)


@frozen
class Partition:
    """Identify one partition of a topic."""

    topic: str
    number: int = 0

    def __str__(self) -> str:
        return f"{self.topic}/{self.number}"


@frozen
class KeyedRecord:
    """Hold one record and its position; a value of None deletes the key."""

    key: str
    value: bytes | None
    position: int


@frozen
class RecordBatch:
    """Hold records in the order of their positions; end is the position after the last one.

    whole tells whether these are all keys or only changes, if that differs from what was requested.
    has_more tells that there are records after the end. age_seconds is the time since the store
    sent them, confirmed_at when it was asked (seconds, monotonic; None for the time of the read).
    source_path holds the nodes that they came through, the nearest first; it is empty for a read
    of the store.
    """

    records: list[KeyedRecord]
    end: int
    whole: bool | None = None
    has_more: bool = False
    age_seconds: float = 0.0
    confirmed_at: float | None = None
    source_path: tuple[str, ...] = ()


@frozen
class StoreUnreachable:
    """Report the cause of a failed call; one that may have run may still take effect later.

    seconds is how long the call took, received_bytes how much of its response arrived.
    """

    cause: str
    may_have_run: bool
    seconds: float = 0.0
    received_bytes: int = 0


@frozen
class HistoryExpired:
    """Report that the requested position has expired, by age or by a restoration of the store."""

    cause: str


@frozen
class WriterSequence:
    """Number an append of one writer, so that the store detects repeats and rejects older appends.

    A later epoch of a writer fences off all appends of its earlier epochs.
    """

    writer: str
    epoch: int
    sequence: int


@frozen
class Fenced:
    """Report an append out of sequence: its writer already has a later epoch or sequence."""

    cause: str


ReadFailure = StoreUnreachable | HistoryExpired
AppendFailure = StoreUnreachable | Fenced
NewestDone = Callable[[Result[RecordBatch, StoreUnreachable]], None]
ReadDone = Callable[[Result[RecordBatch, ReadFailure]], None]
AppendDone = Callable[[Result[int, AppendFailure]], None]
LateDone = Callable[[RecordBatch], None]


class KeyedReader(Protocol):
    """Read keyed records; callbacks run asynchronously, never within the call itself.

    A read that fails because its response is late may still pass it to late, if that is given.
    """

    def read_newest(
        self, partition: Partition, done: NewestDone, late: LateDone | None = None
    ) -> None:
        """Read the newest record of each key."""

    def read_from(
        self,
        partition: Partition,
        position: int,
        wait_seconds: float,
        done: ReadDone,
        late: LateDone | None = None,
    ) -> None:
        """Read the records from a position on; wait up to wait_seconds for the first one."""


class KeyedStoreReader(KeyedReader, Protocol):
    """Read the store itself; answered_at is when it last executed a call (seconds, monotonic)."""

    answered_at: float


class KeyedStore(KeyedReader, Protocol):
    """Read and append keyed records."""

    def append(
        self,
        partition: Partition,
        key: str,
        value: bytes | None,
        writer_sequence: WriterSequence | None,
        done: AppendDone,
    ) -> None:
        """Append one record, checked against its writer's sequence if one is given.

        done receives the record's position.
        """
