"""Tell requests that end the targets they run on from requests that were merely there.

Each request is known by its workspace and the digest of its body. The first death of a target
makes every request on it a suspect. Suspects run one at a time until they have proved themselves
by a first part of an answer, so that a second death mostly has one suspect, which is quarantined.
Where it has several, each gets one more run. Nothing here reads a clock; times are seconds of one
monotonic clock.
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
    """Identify what a request asks, whoever sends it again."""

    workspace: str
    fingerprint: str


@frozen
class TargetCrash:
    """Name a target that died with a request outstanding and when that was noted."""

    target_id: str
    recorded_at: float

    def is_same_crash(self, target_id: str, now: float) -> bool:
        """Say whether a death noted at another time is this one."""
        return self.target_id == target_id and abs(now - self.recorded_at) < SAME_CRASH_SECONDS


@define(eq=False)
class RunPermit:
    """Hold the turn of one run of a request."""

    signature: RequestSignature
    start: Callable[[], None]


@define
class Quarantine:
    """Hold the deaths of targets by request, and the requests that have proved nothing yet."""

    expiry_seconds: float
    crashes: OrderedDict[RequestSignature, list[TargetCrash]] = field(factory=OrderedDict)
    _proven_at: OrderedDict[RequestSignature, float] = field(factory=OrderedDict)
    _unproven: dict[RequestSignature, RunPermit] = field(factory=dict)
    _waiting: deque[RunPermit] = field(factory=deque)

    def record_crash(self, signature: RequestSignature, target_id: str, now: float) -> bool:
        """Count a death, unless it is one that was counted; say whether it is new."""
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
        """Return the deaths that count against a request."""
        known = self.crashes.get(signature, [])
        return sum(1 for crash in known if not self._is_expired(crash, now))

    def group_crashes(self, now: float) -> dict[str, list[RequestSignature]]:
        """Return the requests that each death counts against, by the target that died."""
        grouped: dict[str, list[RequestSignature]] = {}
        for signature, crashes in self.crashes.items():
            for crash in crashes:
                if not self._is_expired(crash, now):
                    grouped.setdefault(crash.target_id, []).append(signature)
        return grouped

    def is_quarantined(self, signature: RequestSignature, now: float) -> bool:
        """Say whether a request may not run."""
        crashes = [
            crash for crash in self.crashes.get(signature, []) if not self._is_expired(crash, now)
        ]
        if len(crashes) < CRASHES_ALONE_MAX:
            return False
        return len(crashes) >= CRASHES_MAX or not self._has_other_suspect(signature, crashes[-1])

    def is_suspect(self, signature: RequestSignature, now: float) -> bool:
        """Say whether a request was on a target that died."""
        return self.count_crashes(signature, now) > 0

    def request_permit(self, signature: RequestSignature, start: Callable[[], None]) -> RunPermit:
        """Queue a run until admit lets it go; every passage must be left."""
        permit = RunPermit(signature, start)
        self._waiting.append(permit)
        return permit

    def mark_proven(self, permit: RunPermit, now: float) -> None:
        """Count the request as harmless for now, since a target has begun to answer it."""
        self._proven_at.pop(permit.signature, None)
        self._proven_at[permit.signature] = now
        while len(self._proven_at) > PROVEN_MAX:
            self._proven_at.popitem(last=False)
        self.release(permit)

    def clear(self, signature: RequestSignature) -> None:
        """Forget the deaths of a suspect that was answered whole."""
        self.crashes.pop(signature, None)

    def release(self, permit: RunPermit) -> None:
        """End the turn of a run, or its wait for one."""
        if self._unproven.get(permit.signature) is permit:
            del self._unproven[permit.signature]
        if permit in self._waiting:
            self._waiting.remove(permit)

    def is_waiting(self, permit: RunPermit) -> bool:
        """Say whether a run has not been let go yet."""
        return permit in self._waiting

    def admit(self, now: float) -> list[RunPermit]:
        """Take the waiting runs that may run now out of the queue."""
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
        """Say whether another request that had been on a dead target was on this one too."""
        for other, crashes in self.crashes.items():
            if other == signature:
                continue
            for index, known in enumerate(crashes):
                if index > 0 and known.is_same_crash(crash.target_id, crash.recorded_at):
                    return True
        return False

    def _is_expired(self, crash: TargetCrash, now: float) -> bool:
        return now - crash.recorded_at >= self.expiry_seconds
