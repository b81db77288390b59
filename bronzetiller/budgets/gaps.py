"""Detect gaps in a stream, where a snapshot was loaded in place of individual records."""

from attrs import define, field

from bronzetiller.budgets.shards import Shard
from bronzetiller.storage.log_client import Entry


@define(eq=False)
class GapDetector:
    """Detect skipped entries by comparing the offset of each entry with the expected one."""

    _next_offsets: dict[str, int] = field(factory=dict)
    _gaps: set[str] = field(factory=set)

    def watch(self, shard: Shard) -> None:
        """Start watching the stream of a shard."""
        stream = shard.follower.stream
        self._next_offsets[stream] = shard.follower.next_offset

        def check_offset(entry: Entry) -> None:
            if entry.offset != self._next_offsets[stream]:
                self._gaps.add(stream)
            self._next_offsets[stream] = entry.offset + 1

        shard.follower.subscribe(check_offset)

    def pop_gap(self, shard: Shard) -> bool:
        """Return whether there was a gap since the last call."""
        stream = shard.follower.stream
        skipped = self._next_offsets[stream] != shard.follower.next_offset
        has_gap = skipped or stream in self._gaps
        self._gaps.discard(stream)
        self._next_offsets[stream] = shard.follower.next_offset
        return has_gap
