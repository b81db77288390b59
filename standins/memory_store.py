"""Store keyed records in memory, with the sequencing of writers, for tests without a network."""

from collections.abc import Iterable

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.storage.keyed import (
    HistoryExpired,
    KeyedRecord,
    Partition,
    RecordBatch,
    WriterSequence,
    get_era,
    get_offset,
    make_position,
)

Append = tuple[Partition, str, bytes | None, WriterSequence | None]
WriterState = tuple[int, int, dict[int, int]]
NEW_WRITER: WriterState = (-1, 0, {})


@define(eq=False)
class MemoryStore:
    """Store keyed records without a network; append and read take effect at once.

    Records hold their offsets; what is read has positions of the current era.
    """

    partitions: dict[str, list[KeyedRecord]] = field(factory=dict)
    first_offsets: dict[str, int] = field(factory=dict)
    delayed_appends: list[Append] = field(factory=list)
    sequences: dict[tuple[str, str], WriterState] = field(factory=dict)
    era: int = 0
    _replaced_sequences: dict[str, list[tuple[str, WriterState] | None]] = field(factory=dict)

    def records(self, partition: Partition) -> list[KeyedRecord]:
        return self.partitions.setdefault(str(partition), [])

    def append(
        self,
        partition: Partition,
        key: str,
        value: bytes | None,
        writer_sequence: WriterSequence | None,
    ) -> int | None:
        """Append in sequence; return the position, the first one for a repeat, None if fenced."""
        records = self.records(partition)
        replaced: tuple[str, WriterState] | None = None
        if writer_sequence is not None:
            writer = (str(partition), writer_sequence.writer)
            replaced = (writer_sequence.writer, self.sequences.get(writer, NEW_WRITER))
            epoch, sequence, offsets = replaced[1]
            if writer_sequence.epoch < epoch:
                return None
            if writer_sequence.epoch == epoch:
                if writer_sequence.sequence in offsets:
                    return make_position(self.era, offsets[writer_sequence.sequence])
                if writer_sequence.sequence != sequence + 1:
                    return None
            else:
                offsets = {}
            self.sequences[writer] = (
                writer_sequence.epoch,
                writer_sequence.sequence,
                offsets | {writer_sequence.sequence: len(records)},
            )
        records.append(KeyedRecord(key, value, len(records)))
        self._replaced_sequences.setdefault(str(partition), []).append(replaced)
        return make_position(self.era, len(records) - 1)

    def list_newest(self, partition: Partition) -> list[KeyedRecord]:
        newest = {record.key: record for record in self.records(partition)}
        return self._locate(record for record in newest.values() if record.value is not None)

    def find_end(self, partition: Partition) -> int:
        """Return the position after the last record."""
        return make_position(self.era, len(self.records(partition)))

    def read_from(self, partition: Partition, position: int) -> Result[RecordBatch, HistoryExpired]:
        """Return the records from a position on."""
        records = self.records(partition)
        offset = get_offset(position)
        known = self.first_offsets.get(str(partition), 0) <= offset <= len(records)
        if get_era(position) != self.era or not known:
            return Err(HistoryExpired(f"position {position} in era {self.era}"))
        return Ok(RecordBatch(self._locate(records[offset:]), self.find_end(partition)))

    def restore(self, lost: dict[Partition, int]) -> None:
        """Come back from a copy that lacks the newest records, so many of each partition."""
        self.era += 1
        for partition, count in lost.items():
            records = self.records(partition)
            replaced_sequences = self._replaced_sequences.get(str(partition), [])
            for _ in range(min(count, len(records))):
                records.pop()
                replaced = replaced_sequences.pop() if replaced_sequences else None
                if replaced is not None:
                    writer, state = replaced
                    self.sequences[str(partition), writer] = state
            first = self.first_offsets.get(str(partition), 0)
            self.first_offsets[str(partition)] = min(first, len(records))

    def run_delayed_appends(self) -> None:
        """Execute the delayed appends; those out of sequence have no effect."""
        delayed_appends, self.delayed_appends = self.delayed_appends, []
        for append in delayed_appends:
            self.append(*append)

    def _locate(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        return [
            evolve(record, position=make_position(self.era, record.position)) for record in records
        ]
