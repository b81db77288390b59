"""Keep the newest change of each key of a partition, in order, to send to other nodes."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.storage.keyed import KeyedRecord

DELETIONS_KEPT_MAX = 1_000  # a few hours of leaving targets; a reader further behind gets all keys

SignificanceTest = Callable[[bytes | None, bytes | None], bool]


def values_differ(before: bytes | None, after: bytes | None) -> bool:
    """Return whether the value changed at all."""
    return before != after


@define(eq=False)
class ChangeList:
    """Hold the significant changes of a partition, including deletions.

    A reader that requests changes from a position before complete_from may have missed a deletion,
    so it gets all keys.
    """

    is_significant: SignificanceTest = values_differ
    complete_from: int = 0
    _changes: dict[str, KeyedRecord] = field(factory=dict)

    def restart(self, position: int) -> None:
        """Discard all changes; those before the position are unknown."""
        self._changes.clear()
        self.complete_from = position

    def add(self, record: KeyedRecord) -> None:
        """Add a record of the partition if its change is significant."""
        known = self._changes.get(record.key)
        if not self.is_significant(None if known is None else known.value, record.value):
            return
        self._changes.pop(record.key, None)
        self._changes[record.key] = record
        if record.value is None:
            self._discard_old_deletions()

    def move_deletion(self, key: str, position: int) -> None:
        """Give a deletion, if it is the last change of its key, a later position."""
        known = self._changes.get(key)
        if known is not None and known.value is None:
            del self._changes[key]
            self._changes[key] = KeyedRecord(key, None, position)

    def list_since(self, position: int) -> tuple[bool, list[KeyedRecord]]:
        """Return whether the list holds all keys, and the changes from the position on."""
        if position < self.complete_from:
            return True, [item for item in self._changes.values() if item.value is not None]
        return False, [item for item in self._changes.values() if item.position >= position]

    def _discard_old_deletions(self) -> None:
        deleted = [item for item in self._changes.values() if item.value is None]
        for item in deleted[: max(0, len(deleted) - DELETIONS_KEPT_MAX)]:
            del self._changes[item.key]
            self.complete_from = max(self.complete_from, item.position + 1)
