"""Notice streams that go on behind a gap, whose records only a snapshot covers."""

from attrs import define, field

from bronzetiller.budgets.shards import Shard
from bronzetiller.storage.log_client import Entry


@define(eq=False)
class GapDetector:
    """Compare the offset of each entry with the one before."""

    _positions: dict[str, int] = field(factory=dict)
    _gaps: set[str] = field(factory=set)

    def watch(self, shard: Shard) -> None:
        """Watch the stream of a shard from now on."""
        stream = shard.follower.stream
        self._positions[stream] = shard.follower.next_offset

        def follow(entry: Entry) -> None:
            if entry.offset != self._positions[stream]:
                self._gaps.add(stream)
            self._positions[stream] = entry.offset + 1

        shard.follower.subscribe(follow)

    def pop_gap(self, shard: Shard) -> bool:
        """Say whether there was a gap since the last call."""
        stream = shard.follower.stream
        skipped = self._positions[stream] != shard.follower.next_offset
        found = skipped or stream in self._gaps
        self._gaps.discard(stream)
        self._positions[stream] = shard.follower.next_offset
        return found
