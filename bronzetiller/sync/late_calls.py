"""Limit the calls that go on after they were reported as late; no I/O.

A late response is still used, and its duration extends the next timeouts, so that a slow store is
not given up each time. A call on a connection that leads nowhere ends after PATIENT_SECONDS.
"""

from collections.abc import Hashable

from attrs import define, field

from bronzetiller.storage.adaptive_timeout import AdaptiveTimeout

PATIENT_SECONDS = 6.0
LATE_CALLS_MAX = 2  # of one kind, so that a silent connection does not keep out a slow one


@define
class LateCalls:
    """Hold the timeout of calls to one server and the number of late ones by kind."""

    _timeout: AdaptiveTimeout = field(factory=AdaptiveTimeout)
    _late: dict[Hashable, int] = field(factory=dict)

    def extend(self, seconds: float) -> float:
        """Return how long to wait for a response that usually takes less than the given seconds."""
        return self._timeout.extend(seconds)

    def begin(self, kind: Hashable) -> bool:
        """Count a late call; return False if it must be cancelled."""
        count = self._late.get(kind, 0)
        if count >= LATE_CALLS_MAX:
            return False
        self._late[kind] = count + 1
        return True

    def end(self, kind: Hashable) -> None:
        """Record the end of a late call."""
        self._late[kind] -= 1
        if not self._late[kind]:
            del self._late[kind]

    def record_response(self, seconds: float) -> None:
        """Record how long a response took, excluding any wait that its call requested."""
        self._timeout.record_response(max(0.0, seconds))
