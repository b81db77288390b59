"""Infer which request, or which part that requests share, crashes the targets that run it.

A crash counts against every request on the target that was not proven harmless, by its
fingerprints: one of the whole request, and one of each part that it may share with others. The
fingerprint that crashes targets is on each of them; others are there by chance, or because they
share requests with it.

Targets of one software version crash alike, those of another one may survive. So a response proves
a fingerprint harmless at its own version only, and a request whose fingerprint is quarantined may
run at the versions that survived it.

Designed for single requests or parts that crash every target of a version, among many harmless
requests that share their other parts. This module reads no clock; times are Unix seconds.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable

from attrs import define, evolve, field, frozen

CRASHES_MAX = 3  # fewer would quarantine requests that merely shared the target
QUARANTINE_SECONDS = 60.0  # after the third crash; twice as long after each further one
RETENTION_SECONDS = 3600.0
CRASHES_KEPT_MAX = 256
PROOF_STREAM_SECONDS = 0.5  # of a stream that goes on, until it proves its request harmless
# A response this long before a crash proves a segment harmless: it would have crashed its target.
PROOF_SECONDS = 5.0
PROVEN_MAX = 10_000
REQUEST_PREFIX = "request:"  # of the fingerprint of a request's workspace, path and body
CALL_PREFIX = "call:"  # of the fingerprint that also covers its query and prompt


@frozen
class Crash:
    """Hold the incarnation of a target that crashed, when, and the fingerprints on it.

    version is that of the target's software; it is empty if the target states none.
    """

    target: str
    at: float
    fingerprints: frozenset[str]
    version: str = ""


@frozen
class QuarantinedFingerprint:
    """Hold the fingerprint for which a request must not run, and until when.

    It may run at the versions in survivors; those in crashed are known to crash.
    """

    fingerprint: str
    until: float
    last_crash_at: float
    survivors: frozenset[str] = frozenset()
    crashed: frozenset[str] = frozenset()


@define(eq=False)
class CrashEvidence:
    """Hold the crashes that a fleet has observed, and which of them count against a fingerprint.

    Reports may arrive in any order, late and repeatedly. A crash no longer counts against a
    fingerprint once it is cleared, since a response proved the fingerprint harmless.
    """

    _crashes: OrderedDict[str, Crash] = field(factory=OrderedDict)
    _cleared: dict[str, set[str]] = field(factory=dict)
    _counting: dict[str, dict[str, float]] = field(factory=dict)
    _suspects: set[str] = field(factory=set)
    _survivors: dict[str, set[str]] = field(factory=dict)

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def add(self, crash: Crash) -> list[str]:
        """Add the report of a crash, or join it with earlier ones; return the new suspects."""
        before = set(self._suspects)
        known = self._crashes.get(crash.target)
        if known is not None:
            crash = evolve(
                known,
                at=min(known.at, crash.at),
                fingerprints=known.fingerprints | crash.fingerprints,
                version=max(known.version, crash.version),
            )
        self._crashes[crash.target] = crash
        for fingerprint in crash.fingerprints:
            if crash.target not in self._cleared.get(fingerprint, ()):
                self._counting.setdefault(fingerprint, {})[crash.target] = crash.at
                self._update_suspects(fingerprint)
        while len(self._crashes) > CRASHES_KEPT_MAX:
            self._remove(next(iter(self._crashes)))
        return sorted(self._suspects - before)

    def clear(self, fingerprint: str, targets: Iterable[str]) -> None:
        """Stop counting the crashes of these targets against a fingerprint."""
        cleared = self._cleared.setdefault(fingerprint, set())
        for target in targets:
            cleared.add(target)
            self._stop_counting(fingerprint, target)

    def add_survivor(self, fingerprint: str, version: str) -> None:
        """Record that targets of a version survive requests with a fingerprint."""
        self._survivors.setdefault(fingerprint, set()).add(version)

    def expire(self, now: float) -> None:
        """Forget the crashes that are too old to count."""
        expiry = now - RETENTION_SECONDS
        for target in [item.target for item in self._crashes.values() if item.at < expiry]:
            self._remove(target)
        for fingerprint, targets in list(self._cleared.items()):
            targets &= self._crashes.keys()
            if not targets:
                del self._cleared[fingerprint]
        for fingerprint in self._survivors.keys() - self._counting.keys():
            del self._survivors[fingerprint]

    def knows(self, target: str) -> bool:
        """Return whether the crash of a target is known."""
        return target in self._crashes

    def list_crashes(self) -> set[str]:
        """Return the targets whose crashes are known."""
        return set(self._crashes)

    def list_suspects(self) -> list[str]:
        """Return the fingerprints that were on enough crashed targets to be quarantined."""
        return sorted(self._suspects)

    def list_targets(self, fingerprint: str) -> set[str]:
        """Return the crashed targets that count against a fingerprint."""
        return set(self._counting.get(fingerprint, ()))

    def list_targets_by_version(self, fingerprint: str) -> list[tuple[str, str]]:
        """Return the crashed targets that count against a fingerprint, with their versions."""
        return [
            (target, self._crashes[target].version)
            for target in self._counting.get(fingerprint, ())
        ]

    def list_fingerprints(self, target: str) -> list[str]:
        """Return the fingerprints against which the crash of a target counts."""
        crash = self._crashes.get(target)
        names = () if crash is None else crash.fingerprints
        return sorted(name for name in names if target in self._counting.get(name, ()))

    def list_crashed_versions(self, fingerprint: str) -> set[str]:
        """Return the versions whose crashes count against a fingerprint."""
        return {self._crashes[target].version for target in self._counting.get(fingerprint, ())}

    def list_survivors(self, fingerprint: str) -> set[str]:
        """Return the versions that are proven to survive a fingerprint."""
        return self._survivors.get(fingerprint, set()) - self.list_crashed_versions(fingerprint)

    def find_quarantined(
        self, fingerprints: Collection[str], now: float
    ) -> QuarantinedFingerprint | None:
        """Return why a request with these fingerprints must not run now, or None if it may."""
        suspected = self.find_suspected(fingerprints)
        return suspected if suspected is not None and now < suspected.until else None

    def find_suspected(self, fingerprints: Collection[str]) -> QuarantinedFingerprint | None:
        """Return why a request with these fingerprints is suspected, or None.

        Once its quarantine has ended, a suspect should run on one target before it runs on more.
        """
        found: QuarantinedFingerprint | None = None
        for fingerprint in fingerprints:
            if fingerprint not in self._suspects or self._is_explained(fingerprint, fingerprints):
                continue
            crashed_at = self._counting[fingerprint]
            last_crash_at = max(crashed_at.values())
            doublings = len(crashed_at) - CRASHES_MAX
            until = last_crash_at + QUARANTINE_SECONDS * 2.0**doublings
            survivors = frozenset(self.list_survivors(fingerprint))
            crashed = frozenset(self.list_crashed_versions(fingerprint))
            if found is None:
                found = QuarantinedFingerprint(
                    fingerprint, until, last_crash_at, survivors, crashed
                )
            else:
                found = evolve(
                    found,
                    until=max(found.until, until),
                    last_crash_at=max(found.last_crash_at, last_crash_at),
                    survivors=found.survivors & survivors,
                    crashed=found.crashed | crashed,
                )
        return found

    def _is_explained(self, fingerprint: str, fingerprints: Collection[str]) -> bool:
        """Return whether a suspect that the request lacks accounts for nearly all the crashes."""
        targets = self._counting[fingerprint].keys()
        others = self._suspects.difference(fingerprints)
        return any(
            len(targets - self._counting[other].keys()) < CRASHES_MAX
            and not self._outranks(fingerprint, other)
            for other in others
        )

    def _outranks(self, fingerprint: str, other: str) -> bool:
        """Return whether a whole request is suspected more than another whole request.

        Without this order, two requests that crashed the same targets would excuse each other.
        """
        pair = (fingerprint, other)
        if not all(name.startswith((REQUEST_PREFIX, CALL_PREFIX)) for name in pair):
            return False
        ranks = [(len(self._counting[name]), name.startswith(CALL_PREFIX), name) for name in pair]
        return ranks[0] > ranks[1]

    def _remove(self, target: str) -> None:
        for fingerprint in self._crashes.pop(target).fingerprints:
            self._stop_counting(fingerprint, target)

    def _stop_counting(self, fingerprint: str, target: str) -> None:
        counting = self._counting.get(fingerprint, {})
        counting.pop(target, None)
        if not counting:
            self._counting.pop(fingerprint, None)
        self._update_suspects(fingerprint)

    def _update_suspects(self, fingerprint: str) -> None:
        if len(self._counting.get(fingerprint, ())) >= CRASHES_MAX:
            self._suspects.add(fingerprint)
        else:
            self._suspects.discard(fingerprint)


@define
class StreamProof:
    """Hold whether a response went on for long enough to prove its request harmless.

    Times are monotonic seconds of this node.
    """

    proven: bool = False
    _due_at: float | None = None

    def restart(self) -> None:
        """Begin with the response of another target."""
        self._due_at = None

    def advance(self, now: float) -> bool:
        """Record a part of the response; return whether it is the one that proves the request."""
        if self.proven:
            return False
        if self._due_at is None:
            self._due_at = now + PROOF_STREAM_SECONDS
        self.proven = now >= self._due_at
        return self.proven

    def complete(self) -> bool:
        """Record the end of the response; return whether it is what proves the request."""
        was_proven, self.proven = self.proven, True
        return not was_proven


@define(eq=False)
class Proofs:
    """Hold when responses proved fingerprints harmless, by version, and when crashes were heard of.

    Times are monotonic seconds of this node.
    """

    _proven_at: OrderedDict[str, dict[str, float]] = field(factory=OrderedDict)
    _heard_at: dict[str, float] = field(factory=dict)

    def record(self, fingerprints: Iterable[str], now: float, version: str = "") -> None:
        """Record that a target of a version survived a request with these fingerprints."""
        for fingerprint in fingerprints:
            self._proven_at.setdefault(fingerprint, {})[version] = now
            self._proven_at.move_to_end(fingerprint)
        while len(self._proven_at) > PROVEN_MAX:
            self._proven_at.popitem(last=False)

    def hear(self, target: str, now: float) -> None:
        """Record when the crash of a target was first heard of."""
        self._heard_at.setdefault(target, now)

    def keep(self, targets: Collection[str]) -> None:
        """Forget all crashes but those of these targets."""
        self._heard_at = {
            target: heard_at for target, heard_at in self._heard_at.items() if target in targets
        }

    def clear(self, evidence: CrashEvidence) -> dict[str, set[str]]:
        """Clear the suspects that are proven harmless; return the cleared crashes of each."""
        cleared: dict[str, set[str]] = {}
        for fingerprint in evidence.list_suspects():
            proven_at = self._proven_at.get(fingerprint, {})
            targets = {
                target
                for target, version in evidence.list_targets_by_version(fingerprint)
                if version in proven_at
                and self._heard_at[target] <= proven_at[version] + PROOF_SECONDS
            }
            if targets:
                evidence.clear(fingerprint, targets)
                cleared[fingerprint] = targets
        return cleared

    def find_survivors(self, evidence: CrashEvidence) -> list[tuple[str, str]]:
        """Return suspects and versions proven to survive them that the evidence lacks."""
        return [
            (fingerprint, version)
            for fingerprint in evidence.list_suspects()
            for version in self._proven_at.get(fingerprint, {})
            if version not in evidence.list_crashed_versions(fingerprint)
            and version not in evidence.list_survivors(fingerprint)
        ]
