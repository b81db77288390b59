"""Detect crashed targets, and quarantine the requests and prompt segments that crash them.

A target that closes or resets a connection during a request may have crashed; a new connection
attempt shows whether it did. Nodes share their observations, so that a request is quarantined at
whichever node it arrives, and the responses of any node prove a segment harmless.
"""

import hashlib
import time
from collections.abc import Callable, Collection

from attrs import define, evolve, field

from bronzetiller.gateway.requests import Prompt
from bronzetiller.gateway.targets import Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_CRASHES
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import HttpClient, ProbeResult
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.requests.crash_evidence import (
    CALL_PREFIX,
    CRASHES_MAX,
    REQUEST_PREFIX,
    Crash,
    CrashEvidence,
    Proofs,
    QuarantinedFingerprint,
)

PROBE_SECONDS = 0.5
PROBE_PAUSE_SECONDS = 0.05
# How long an uncertain probe is repeated: half of the contact_ms within which all nodes must hold a
# request back, so that the other half is left for the report.
PROBE_REPEAT_SECONDS = 2.0
EXPIRY_INTERVAL_SECONDS = 60.0
# Nodes spread their clearances over this time for each node, so that one or a few write them.
CLEARANCE_SECONDS_PER_NODE = 0.01
CLEARANCE_SECONDS_MAX = 1.0
TRIAL_SPREAD_SECONDS = 20.0  # after which one node more may try a suspect
TRIAL_SECONDS = 5.0  # for a trial at an untested version to crash its target or to survive
LOGGED_FINGERPRINTS_MAX = 40
FINGERPRINTED_SEGMENTS_MAX = 32
PROBE_EVENTS = {
    ProbeResult.ACCEPTED: "target_alive",
    ProbeResult.REFUSED: "target_crashed",
    ProbeResult.UNCERTAIN: "target_uncertain",
}


@define
class CrashReport:
    """Hold what one node observed: crashes by target, and what responses proved by fingerprint.

    Crashes of the cleared targets do not count against a fingerprint; survived lists versions.
    """

    crashes: dict[str, Crash] = field(factory=dict)
    cleared: dict[str, set[str]] = field(factory=dict)
    survived: dict[str, set[str]] = field(factory=dict)


def make_fingerprints(workspace: str, exchange: Exchange, prompt: Prompt | None) -> list[str]:
    """Return digests that identify a request, the same at every node and for every retry.

    The first one is of the request, the second one also of its query and its prompt, and the others
    are of the prompt segments that other requests may share.
    """
    method, path = exchange.method.encode(), exchange.path.encode()
    request = REQUEST_PREFIX + _compute_digest(workspace.encode(), method, path, exchange.body)
    parts = [request.encode(), exchange.query.encode()]
    if prompt is not None:
        parts += [f"{item.segment_id}:{item.tokens}".encode() for item in prompt.segments]
    call = CALL_PREFIX + _compute_digest(*parts)
    return [request, call, *make_segment_fingerprints(prompt)]


def make_segment_fingerprints(prompt: Prompt | None) -> list[str]:
    """Return the fingerprints of shared prompt segments, the same for every request with one."""
    segment_ids = list_shared_segments(prompt)[:FINGERPRINTED_SEGMENTS_MAX]
    return [f"segment:{segment_id}" for segment_id in segment_ids]


def list_shared_segments(prompt: Prompt | None) -> list[str]:
    """Return the ids of the prompt segments that other requests may share."""
    return [] if prompt is None else [item.segment_id for item in prompt.shared_segments]


def _compute_digest(*parts: bytes | bytearray) -> str:
    digest = hashlib.blake2b(digest_size=8)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@define
class _Probe:
    """Hold the requests whose connections a target closed, which one probe of it decides on.

    An uncertain probe is repeated until the deadline (seconds, monotonic).
    """

    deadline: float
    fingerprints: set[str] = field(factory=set)
    listeners: list[Callable[[bool], None]] = field(factory=list)

    def add(self, fingerprints: Collection[str], listener: Callable[[bool], None] | None) -> None:
        """Add a request."""
        self.fingerprints.update(fingerprints)
        if listener is not None:
            self.listeners.append(listener)


@define(eq=False)
class CrashTracker:
    """Hold the crashes that this node and its peers observed, and what was proven harmless."""

    _scheduler: Scheduler
    _http: HttpClient
    _count_nodes: Callable[[], int] = lambda: 1
    _draw_uniform: Callable[[], float] = lambda: 0.5
    _read_clock: Callable[[], float] = time.time
    _rank_node: Callable[[str], int] = lambda fingerprint: 0
    on_report_change: Callable[[], None] = lambda: None
    report: CrashReport = field(factory=CrashReport)
    evidence: CrashEvidence = field(factory=CrashEvidence)
    proofs: Proofs = field(factory=Proofs)
    _clearances: dict[str, set[str]] = field(factory=dict)
    _survivals: set[tuple[str, str]] = field(factory=set)
    _proof_report_due: bool = False
    _trials_until: dict[tuple[str, str], float] = field(factory=dict)
    _running_probes: dict[str, _Probe] = field(factory=dict)
    _next_probes: dict[str, _Probe] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._scheduler.call_every(EXPIRY_INTERVAL_SECONDS, self._expire)

    def report_loss(
        self,
        target: Target,
        fingerprints: Collection[str],
        on_checked: Callable[[bool], None] | None = None,
    ) -> None:
        """Probe a target that closed the connection during a request, to see if it crashed.

        on_checked receives True if the target accepted a connection that was opened afterwards.
        """
        if target.instance in self._running_probes:
            # The connection of the running probe may be older than this loss.
            next_probe = self._next_probes.setdefault(target.instance, self._make_probe())
            next_probe.add(fingerprints, on_checked)
            return
        probe = self._make_probe()
        probe.add(fingerprints, on_checked)
        self._start_probe(target, probe)

    def _make_probe(self) -> _Probe:
        return _Probe(self._scheduler.now() + PROBE_REPEAT_SECONDS)

    def _start_probe(self, target: Target, probe: _Probe) -> None:
        self._running_probes[target.instance] = probe
        self._http.probe(
            target.registration.address,
            PROBE_SECONDS,
            lambda result: self._handle_probe_result(target, result),
        )

    def record_proof(self, fingerprints: Collection[str], version: str) -> None:
        """Record that a target of a version survived a request with these fingerprints."""
        self.proofs.record(fingerprints, self._scheduler.now(), version)
        if self.evidence:
            self._clear_proven()

    def may_run(self, quarantined: QuarantinedFingerprint, version: str) -> bool:
        """Return whether a suspected request may run at a version.

        It may at one that is proven to survive it. At one that has not been tested, or once its
        quarantine has ended, a few nodes may try it, one request at a time.
        """
        if version in quarantined.survivors:
            return True
        now = self._scheduler.now()
        if self._trials_until.get((quarantined.fingerprint, version), 0.0) > now:
            return False
        has_crashed = bool(quarantined.crashed & {version, ""})  # a crash without one may be of any
        begins_at = quarantined.until if has_crashed else quarantined.last_crash_at
        nodes = 1 + (now - begins_at) // TRIAL_SPREAD_SECONDS
        return now >= begins_at and self._rank_node(quarantined.fingerprint) < nodes

    def record_trial(self, quarantined: QuarantinedFingerprint, version: str) -> None:
        """Record that a quarantined request was sent to a target of a version."""
        if version in quarantined.survivors:
            return
        log_event("crash_suspect_tried", fingerprint=quarantined.fingerprint, version=version)
        trial = (quarantined.fingerprint, version)
        self._trials_until[trial] = self._scheduler.now() + TRIAL_SECONDS

    def select_targets(
        self,
        targets: list[Target],
        quarantined: QuarantinedFingerprint | None,
        get_fingerprints: Callable[[], Collection[str]],
    ) -> list[Target]:
        """Return the targets at which a request may run.

        One crash before its quarantine, those of other versions than the crashed ones are enough:
        one of them may prove that it survives.
        """
        if quarantined is not None:
            return [item for item in targets if self.may_run(quarantined, item.version)]
        suspected = self.list_suspected_versions(get_fingerprints)
        others = [item for item in targets if item.version not in suspected]
        return others or targets

    def list_suspected_versions(self, get_fingerprints: Callable[[], Collection[str]]) -> set[str]:
        """Return the versions at which one more crash would quarantine a request."""
        if not self.evidence:
            return set()
        return {
            version
            for fingerprint in get_fingerprints()
            if len(self.evidence.list_targets(fingerprint)) >= CRASHES_MAX - 1
            for version in self.evidence.list_crashed_versions(fingerprint)
        }

    def find_quarantined(
        self, get_fingerprints: Callable[[], Collection[str]]
    ) -> QuarantinedFingerprint | None:
        """Return why a request may run only where may_run says so, or None; times are monotonic.

        Its fingerprints are computed only if there were crashes.
        """
        if not self.evidence:
            return None
        suspected = self.evidence.find_suspected(get_fingerprints())
        if suspected is None:
            return None
        offset = self._scheduler.now() - self._read_clock()
        return evolve(
            suspected,
            until=suspected.until + offset,
            last_crash_at=suspected.last_crash_at + offset,
        )

    def merge_report(self, report: CrashReport, *, own: bool) -> None:
        """Add the report of a node, or of this node's last incarnation."""
        for crash in report.crashes.values():
            self._add_crash(crash)
            if own:
                self.report.crashes.setdefault(crash.target, crash)
        for fingerprint, targets in report.cleared.items():
            self.evidence.clear(fingerprint, targets)
            if own:
                self.report.cleared.setdefault(fingerprint, set()).update(targets)
            elif fingerprint in self._clearances:
                self._clearances[fingerprint] -= targets
        for fingerprint, versions in report.survived.items():
            for version in versions:
                self.evidence.add_survivor(fingerprint, version)
                self._survivals.discard((fingerprint, version))
            if own:
                self.report.survived.setdefault(fingerprint, set()).update(versions)
        self._clear_proven()

    def _handle_probe_result(self, target: Target, result: ProbeResult) -> None:
        probe = self._running_probes.pop(target.instance)
        next_probe = self._next_probes.pop(target.instance, None)
        if next_probe is not None and result is ProbeResult.ACCEPTED:
            self._start_probe(target, next_probe)
        elif next_probe is not None:
            probe.fingerprints |= next_probe.fingerprints
            probe.listeners += next_probe.listeners
            probe.deadline = next_probe.deadline
        log_event(
            PROBE_EVENTS[result],
            target=target.instance,
            probe=result.value,
            suspects=",".join(sorted(probe.fingerprints)[:LOGGED_FINGERPRINTS_MAX]),
        )
        if result is ProbeResult.REFUSED and probe.fingerprints:
            self._record_crash(target, probe.fingerprints)
        listeners, probe.listeners = probe.listeners, []
        if result is ProbeResult.UNCERTAIN and self._scheduler.now() < probe.deadline:
            # An ending process closes its connections before its listening socket.
            self._running_probes[target.instance] = probe
            self._scheduler.call_after(
                PROBE_PAUSE_SECONDS, lambda: self._start_probe(target, probe)
            )
        for listener in listeners:
            listener(result is ProbeResult.ACCEPTED)

    def _record_crash(self, target: Target, fingerprints: set[str]) -> None:
        known = self.report.crashes.get(target.instance)
        if known is None:
            TARGET_CRASHES.inc()
            known = Crash(target.instance, self._read_clock(), frozenset(), target.version)
        crash = evolve(known, fingerprints=known.fingerprints | fingerprints)
        self.report.crashes[target.instance] = crash
        self._add_crash(crash)
        self._clear_proven()
        self.on_report_change()

    def _add_crash(self, crash: Crash) -> None:
        self.proofs.hear(crash.target, self._scheduler.now())
        for fingerprint in self.evidence.add(crash):
            targets = ",".join(sorted(self.evidence.list_targets(fingerprint)))
            log_event("crash_suspect", level=30, fingerprint=fingerprint, targets=targets)

    def _clear_proven(self) -> None:
        """Apply what responses of this node proved to the suspects, and report it later."""
        for fingerprint, targets in self.proofs.clear(self.evidence).items():
            log_event("crash_suspect_cleared", fingerprint=fingerprint, crashes=len(targets))
            self._clearances.setdefault(fingerprint, set()).update(targets)
        for fingerprint, version in self.proofs.find_survivors(self.evidence):
            log_event("crash_suspect_survived", fingerprint=fingerprint, version=version)
            self.evidence.add_survivor(fingerprint, version)
            self._survivals.add((fingerprint, version))
        if (self._clearances or self._survivals) and not self._proof_report_due:
            self._proof_report_due = True
            seconds = min(CLEARANCE_SECONDS_MAX, CLEARANCE_SECONDS_PER_NODE * self._count_nodes())
            self._scheduler.call_after(seconds * self._draw_uniform(), self._report_proofs)

    def _report_proofs(self) -> None:
        """Report what was proven and no peer has reported meanwhile."""
        self._proof_report_due = False
        clearances, self._clearances = self._clearances, {}
        survivals, self._survivals = self._survivals, set()
        missing = {fingerprint: targets for fingerprint, targets in clearances.items() if targets}
        for fingerprint, targets in missing.items():
            self.report.cleared.setdefault(fingerprint, set()).update(targets)
        for fingerprint, version in survivals:
            self.report.survived.setdefault(fingerprint, set()).add(version)
        if missing or survivals:
            self.on_report_change()

    def _expire(self) -> None:
        self.evidence.expire(self._read_clock())
        known = self.evidence.list_crashes()
        self.proofs.keep(known)
        report = CrashReport(
            {target: crash for target, crash in self.report.crashes.items() if target in known},
            {
                fingerprint: kept
                for fingerprint, targets in self.report.cleared.items()
                if (kept := targets & known)
            },
            {
                fingerprint: versions
                for fingerprint, versions in self.report.survived.items()
                if self.evidence.list_targets(fingerprint)
            },
        )
        now = self._scheduler.now()
        self._trials_until = {
            trial: until for trial, until in self._trials_until.items() if until > now
        }
        if report != self.report:
            self.report = report
            self.on_report_change()
