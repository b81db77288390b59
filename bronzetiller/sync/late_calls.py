"""Limit the calls that go on after they were reported as late; no I/O.

A late response is still used, and its duration extends the next timeouts, so that a slow store is
not given up each time. A call on a connection that leads nowhere ends after PATIENT_SECONDS.
"""

from collections.abc import Callable, Hashable

from attrs import define, field

from bronzetiller.storage.adaptive_timeout import AdaptiveTimeout

PATIENT_SECONDS = 12.0
LATE_CALLS_MAX = 2  # of one kind, so that a silent connection does not keep out a slow one

Cancel = Callable[[], None]


@define
class LateCalls:
    """Hold the timeout of calls to one server, and the late ones by kind."""

    _timeout: AdaptiveTimeout = field(factory=AdaptiveTimeout)
    _late: dict[Hashable, list[Cancel]] = field(factory=dict)

    def extend(self, seconds: float) -> float:
        """Return how long to wait for a response that usually takes less than the given seconds."""
        return self._timeout.extend(seconds)

    def begin(self, kind: Hashable, cancel: Cancel) -> bool:
        """Add a late call; return False if there are too many, so that it must be cancelled."""
        calls = self._late.setdefault(kind, [])
        if len(calls) >= LATE_CALLS_MAX:
            return False
        calls.append(cancel)
        return True

    def end(self, kind: Hashable, cancel: Cancel) -> None:
        """Remove a late call that has ended or receives its response."""
        if cancel in self._late.get(kind, ()):
            self._late[kind].remove(cancel)

    def cancel_others(self, kind: Hashable) -> None:
        """Cancel the late calls of a kind, as the response to another one has begun to arrive."""
        for cancel in self._late.pop(kind, ()):
            cancel()

    def record_response(self, seconds: float) -> None:
        """Record how long a response took, excluding any wait that its call requested."""
        self._timeout.record_response(max(0.0, seconds))
