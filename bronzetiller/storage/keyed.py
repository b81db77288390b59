"""Describe a store of keyed records, kept by partition; each partition numbers its records.

The newest record of each key is kept for good; older ones expire, so that a reader that fell
behind starts again from the newest ones.
"""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen
from result import Result


@frozen
class Partition:
    """Name one partition of a topic."""

    topic: str
    number: int = 0

    def __str__(self) -> str:
        return f"{self.topic}/{self.number}"


@frozen
class KeyedRecord:
    """Hold one record; without a value it deletes its key."""

    key: str
    value: bytes | None
    offset: int


@frozen
class RecordBatch:
    """Hold records in the order of their offsets; end is the offset of the next one."""

    records: list[KeyedRecord]
    end: int


@frozen
class StoreUnreachable:
    """Say why a call gave no result; one that may have run may also run seconds later."""

    cause: str
    may_have_run: bool


@frozen
class HistoryExpired:
    """Say that the records asked for are no longer kept."""

    first_offset: int


@frozen
class WriterSequence:
    """Number an append of one writer: a repeat is recognised, an older one than the last refused.

    A writer's later epoch bars all appends of its earlier ones.
    """

    writer: str
    epoch: int
    sequence: int


@frozen
class Fenced:
    """Say that an append came out of turn: its writer has a later epoch or sequence."""

    cause: str


ReadFailure = StoreUnreachable | HistoryExpired
AppendFailure = StoreUnreachable | Fenced
NewestDone = Callable[[Result[RecordBatch, StoreUnreachable]], None]
ReadDone = Callable[[Result[RecordBatch, ReadFailure]], None]
AppendDone = Callable[[Result[int, AppendFailure]], None]


class KeyedReader(Protocol):
    """Read keyed records; results come through the callbacks, never at once."""

    def read_newest(self, partition: Partition, done: NewestDone) -> None:
        """Read the newest record of each key."""

    def read_from(
        self, partition: Partition, offset: int, wait_seconds: float, done: ReadDone
    ) -> None:
        """Read the records from an offset on; wait for the first one."""


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
        """Append one record, in its writer's turn if one is given."""
