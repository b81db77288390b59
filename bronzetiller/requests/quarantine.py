"""Distinguish requests that crash their targets from requests that merely ran on the same target.

Each request is identified by its workspace and the digest of its body. The first crash of a target
makes every request on it a suspect. Suspects run one at a time until the first part of a response
proves them harmless, so that a second crash usually has a single suspect, which is quarantined.
If it has several, each gets one more run. This module reads no clock; times are monotonic seconds.
"""

from collections import OrderedDict, deque
from collections.abc import Callable

from attrs import define, field, frozen

CRASHES_ALONE_MAX = 2
CRASHES_MAX = 3
SAME_CRASH_SECONDS = 5.0
PROVEN_SECONDS = 120.0
PROVEN_MAX = 10_000
SUSPECTS_MAX = 10_000


@frozen
class RequestSignature:
    """Identify a request by its content, whoever sends it and under whatever id.

    segments are the digests of the parts of its prompt that other requests may share.
    """

    workspace: str
    fingerprint: str
    segments: tuple[str, ...] = field(default=(), eq=False)


@frozen
class TargetCrash:
    """Hold a target that crashed with a request outstanding, and when that was recorded."""

    target_id: str
    recorded_at: float

    def is_same_crash(self, target_id: str, now: float) -> bool:
        """Return whether a crash recorded at another time is this one."""
        return self.target_id == target_id and abs(now - self.recorded_at) < SAME_CRASH_SECONDS


@define(eq=False)
class RunPermit:
    """Hold the permit of one run of a request, or its place in the queue for one."""

    signature: RequestSignature
    start: Callable[[], None]


@define
class Quarantine:
    """Hold the crashes by request, and the runs of requests that are not proven harmless."""

    expiry_seconds: float
    crashes: OrderedDict[RequestSignature, list[TargetCrash]] = field(factory=OrderedDict)
    _proven_at: OrderedDict[RequestSignature, float] = field(factory=OrderedDict)
    _unproven: dict[RequestSignature, RunPermit] = field(factory=dict)
    _waiting: deque[RunPermit] = field(factory=deque)

    def record_crash(self, signature: RequestSignature, target_id: str, now: float) -> bool:
        """Record a crash unless it is already recorded; return whether it is new."""
        known = [
            crash for crash in self.crashes.pop(signature, []) if not self._is_expired(crash, now)
        ]
        same = any(crash.is_same_crash(target_id, now) for crash in known)
        if not same:
            known.append(TargetCrash(target_id, now))
        self.crashes[signature] = known
        self._proven_at.pop(signature, None)
        while len(self.crashes) > SUSPECTS_MAX:
            self.crashes.popitem(last=False)
        return not same

    def count_crashes(self, signature: RequestSignature, now: float) -> int:
        """Return how many crashes count against a request."""
        known = self.crashes.get(signature, [])
        return sum(1 for crash in known if not self._is_expired(crash, now))

    def group_crashes(self, now: float) -> dict[str, list[RequestSignature]]:
        """Return, by crashed target, the requests that the crash counts against."""
        grouped: dict[str, list[RequestSignature]] = {}
        for signature, crashes in self.crashes.items():
            for crash in crashes:
                if not self._is_expired(crash, now):
                    grouped.setdefault(crash.target_id, []).append(signature)
        return grouped

    def is_quarantined(self, signature: RequestSignature, now: float) -> bool:
        """Return whether a request must not run."""
        crashes = [
            crash for crash in self.crashes.get(signature, []) if not self._is_expired(crash, now)
        ]
        if len(crashes) < CRASHES_ALONE_MAX:
            return False
        return len(crashes) >= CRASHES_MAX or not self._has_other_suspect(signature, crashes[-1])

    def is_suspect(self, signature: RequestSignature, now: float) -> bool:
        """Return whether a request was running on a target that crashed."""
        return self.count_crashes(signature, now) > 0

    def request_permit(self, signature: RequestSignature, start: Callable[[], None]) -> RunPermit:
        """Queue a run until admit grants its permit; every permit must be released."""
        permit = RunPermit(signature, start)
        self._waiting.append(permit)
        return permit

    def mark_proven(self, permit: RunPermit, now: float) -> None:
        """Treat the request as harmless for now, since a target has begun to respond to it."""
        self._proven_at.pop(permit.signature, None)
        self._proven_at[permit.signature] = now
        while len(self._proven_at) > PROVEN_MAX:
            self._proven_at.popitem(last=False)
        self.release(permit)

    def clear(self, signature: RequestSignature) -> None:
        """Forget the crashes of a suspect that got a complete response."""
        self.crashes.pop(signature, None)

    def release(self, permit: RunPermit) -> None:
        """Release the permit of a run, or cancel its wait for one."""
        if self._unproven.get(permit.signature) is permit:
            del self._unproven[permit.signature]
        if permit in self._waiting:
            self._waiting.remove(permit)

    def is_waiting(self, permit: RunPermit) -> bool:
        """Return whether a run still waits for its permit."""
        return permit in self._waiting

    def admit(self, now: float) -> list[RunPermit]:
        """Remove the runs that may run now from the queue and return them."""
        admitted: list[RunPermit] = []
        waiting, self._waiting = self._waiting, deque()
        for permit in waiting:
            if self._may_run(permit.signature, now):
                self._record_run(permit, now)
                admitted.append(permit)
            else:
                self._waiting.append(permit)
        return admitted

    def _record_run(self, permit: RunPermit, now: float) -> None:
        if not self._is_proven(permit.signature, now) and not self.is_quarantined(
            permit.signature, now
        ):
            self._unproven[permit.signature] = permit

    def _may_run(self, signature: RequestSignature, now: float) -> bool:
        if self.is_quarantined(signature, now) or self._is_proven(signature, now):
            return True
        if signature in self._unproven:
            return False
        if not self.is_suspect(signature, now):
            return True
        return not any(self.is_suspect(other, now) for other in self._unproven)

    def _is_proven(self, signature: RequestSignature, now: float) -> bool:
        proven_at = self._proven_at.get(signature)
        return proven_at is not None and now - proven_at < PROVEN_SECONDS

    def _has_other_suspect(self, signature: RequestSignature, crash: TargetCrash) -> bool:
        """Return whether another request that was already a suspect ran on the target too."""
        for other, crashes in self.crashes.items():
            if other == signature:
                continue
            for index, known in enumerate(crashes):
                if index > 0 and known.is_same_crash(crash.target_id, crash.recorded_at):
                    return True
        return False

    def _is_expired(self, crash: TargetCrash, now: float) -> bool:
        return now - crash.recorded_at >= self.expiry_seconds
