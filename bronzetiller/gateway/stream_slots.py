"""Group the streams of one node into the records that it writes; no I/O.

A stream is in the record of one slot at most, so that the records of a node never name two versions
of it, in whatever order they are written.
"""

from collections.abc import Callable

from attrs import define, field

SLOT_SECONDS = 2.5  # streams that begin within it share a record


@define(eq=False)
class Slot:
    """Hold the streams of one record and their versions; ends_at is in monotonic seconds."""

    key: str
    ends_at: float
    streams: dict[str, str] = field(factory=dict)


@define(eq=False)
class StreamSlots:
    """Hold the slots whose records the store may have; on_open is called with each new one."""

    _incarnation: str
    _on_open: Callable[[Slot], None]
    _opened: int = 0
    _current: Slot | None = None
    _slots: dict[str, Slot] = field(factory=dict)  # by stream
    _outdated: list[Slot] = field(factory=list)  # whose records hold streams that were removed

    @property
    def has_outdated(self) -> bool:
        """Return whether the record of a slot must be written again."""
        return bool(self._outdated)

    def open(self, now: float) -> Slot:
        """Return the current slot, whose record is about to be written."""
        if self._current is None or now >= self._current.ends_at:
            self._opened += 1
            self._current = Slot(f"{self._incarnation}/{self._opened}", now + SLOT_SECONDS)
            self._on_open(self._current)
        if self._current in self._outdated:
            self._outdated.remove(self._current)
        return self._current

    def add(self, slot: Slot, stream_id: str, version: str) -> None:
        """Add a stream to a slot, and remove it from an earlier one."""
        earlier = self._slots.get(stream_id)
        if earlier is not None:
            del earlier.streams[stream_id]
        slot.streams[stream_id] = version
        self._slots[stream_id] = slot

    def remove(self, stream_id: str) -> None:
        """Remove a stream, which outdates the record that has it."""
        slot = self._slots.pop(stream_id, None)
        if slot is not None:
            del slot.streams[stream_id]
            self.mark_outdated(slot)

    def mark_outdated(self, slot: Slot) -> None:
        """Record that the record of a slot must be written again."""
        if slot not in self._outdated:
            self._outdated.append(slot)

    def take_outdated(self) -> Slot:
        """Return a slot whose record must be written again and is about to be."""
        return self._outdated.pop(0)

    def forget(self, slot: Slot) -> None:
        """Forget a slot whose record is deleted."""
        if slot in self._outdated:
            self._outdated.remove(slot)
        for stream_id in slot.streams:
            del self._slots[stream_id]
        slot.streams = {}
