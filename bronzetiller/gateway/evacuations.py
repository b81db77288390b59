"""Decide which data centres are evacuated, by the operator's records in the store; no I/O.

Designed for some tens of data centres, one or a few of them evacuated at a time, and for stores
that come back from an older copy.
"""

import math
from collections.abc import Iterable

from attrs import define, field, frozen

from bronzetiller.platform.topics import EVACUATION_KEY_PREFIX

# After a restoration of the store, for the operator to write a record again that the copy lacks.
LOST_SECONDS = 10.0


@frozen
class EvacuationChange:
    """Report that an evacuation began, or that it ended after some seconds."""

    data_centre: str
    ended: bool
    cause: str
    seconds: float = 0.0


@define(eq=False)
class Evacuations:
    """Hold the evacuated data centres with the times since when they are; monotonic seconds.

    An evacuation that a restored store lacks holds until its time in _lost_until.
    """

    since: dict[str, float] = field(factory=dict)
    _lost_until: dict[str, float] = field(factory=dict)

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether no request may be sent to the targets in a data centre."""
        return data_centre in self.since

    def apply(
        self, records: Iterable[tuple[str, bytes | None]], now: float, *, is_restored: bool
    ) -> list[EvacuationChange]:
        """Apply records, given by key and value, and return what changed; others are ignored.

        Deletions that come with a restoration of the store are records that its copy lacks.
        """
        changes: list[EvacuationChange] = []
        for key, value in records:
            data_centre = key.removeprefix(EVACUATION_KEY_PREFIX)
            if not data_centre or data_centre == key:
                continue
            if value:
                self._lost_until.pop(data_centre, None)
                if data_centre not in self.since:
                    self.since[data_centre] = now
                    changes.append(EvacuationChange(data_centre, False, "a record was written"))
            elif is_restored and data_centre in self.since:
                self._lost_until[data_centre] = now + LOST_SECONDS
            else:
                changes += self._end(data_centre, now, "the record was deleted")
        return changes

    def find_lost_until(self) -> float | None:
        """Return when the last of the evacuations ends that a restored store lacks."""
        until = max(self._lost_until.values(), default=-math.inf)
        return until if math.isfinite(until) else None

    def end_lost(self, now: float) -> list[EvacuationChange]:
        """End the evacuations that a restored store lacks and that nobody wrote again."""
        due = [item for item, until in self._lost_until.items() if until <= now]
        cause = "the restored store lacks the record"
        return [change for item in due for change in self._end(item, now, cause)]

    def _end(self, data_centre: str, now: float, cause: str) -> list[EvacuationChange]:
        self._lost_until.pop(data_centre, None)
        began_at = self.since.pop(data_centre, None)
        if began_at is None:
            return []
        return [EvacuationChange(data_centre, True, cause, now - began_at)]
