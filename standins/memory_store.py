"""Store keyed records in memory, with the sequencing of writers, for tests without a network."""

from attrs import define, field

from bronzetiller.storage.keyed import KeyedRecord, Partition, WriterSequence

Append = tuple[Partition, str, bytes | None, WriterSequence | None]


@define(eq=False)
class MemoryStore:
    """Store keyed records without a network; append and read take effect at once."""

    partitions: dict[str, list[KeyedRecord]] = field(factory=dict)
    first_offsets: dict[str, int] = field(factory=dict)
    delayed_appends: list[Append] = field(factory=list)
    sequences: dict[tuple[str, str], tuple[int, int, dict[int, int]]] = field(factory=dict)

    def records(self, partition: Partition) -> list[KeyedRecord]:
        return self.partitions.setdefault(str(partition), [])

    def append(
        self,
        partition: Partition,
        key: str,
        value: bytes | None,
        writer_sequence: WriterSequence | None,
    ) -> int | None:
        """Append in sequence; return the offset, the first one for a repeat, or None if fenced."""
        records = self.records(partition)
        if writer_sequence is not None:
            writer = (str(partition), writer_sequence.writer)
            epoch, sequence, offsets = self.sequences.get(writer, (-1, 0, {}))
            if writer_sequence.epoch < epoch:
                return None
            if writer_sequence.epoch == epoch:
                if writer_sequence.sequence in offsets:
                    return offsets[writer_sequence.sequence]
                if writer_sequence.sequence != sequence + 1:
                    return None
            else:
                offsets = {}
            offsets[writer_sequence.sequence] = len(records)
            self.sequences[writer] = (writer_sequence.epoch, writer_sequence.sequence, offsets)
        records.append(KeyedRecord(key, value, len(records)))
        return len(records) - 1

    def list_newest(self, partition: Partition) -> list[KeyedRecord]:
        newest = {record.key: record for record in self.records(partition)}
        return [record for record in newest.values() if record.value is not None]

    def run_delayed_appends(self) -> None:
        """Execute the delayed appends; those out of sequence have no effect."""
        delayed_appends, self.delayed_appends = self.delayed_appends, []
        for append in delayed_appends:
            self.append(*append)
