"""Detect crashed targets, share their requests with peers, and gate dispatch by quarantine."""

from collections.abc import Callable, Collection

from attrs import define, field

from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_CRASHES
from bronzetiller.net.dialer import CLOSED, RESET, Connection, ConnectionHandlers, Dialer
from bronzetiller.net.http_client import REFUSED_CAUSES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.requests.crash_evidence import Crash, CrashEvidence, Proofs
from bronzetiller.requests.quarantine import (
    SAME_CRASH_SECONDS,
    Quarantine,
    RequestSignature,
    RunPermit,
)
from bronzetiller.routing.targets import TargetChooser
from bronzetiller.wire.messages import DeathNoted, MarkedRequest, SegmentsProven, TargetDied

PROBE_SECONDS = 1.0
PROBE_OPEN_SECONDS = 0.1  # a probed target whose connection stays open this long is alive
DIALS_MAX = 3
AVOID_SECONDS = 5.0
PERMIT_WAIT_SECONDS = 30.0
PEER_TIMEOUT_SECONDS = 0.5
PEER_REPORT_WAIT_SECONDS = 0.5
PEERS_CHECK_INTERVAL_SECONDS = 0.25
EXPIRY_INTERVAL_SECONDS = 60.0

Callback = Callable[[], None]
Choose = Callable[[set[str]], Vm | None]


@define(eq=False)
class _Probe:
    vm: Vm
    reporters: list[tuple[RequestSignature, Callback]] = field(factory=list)
    connection: Connection | None = None
    dials: int = 0


class CrashMonitor:
    """Apply the quarantine on one node and synchronize it with the peers."""

    def __init__(
        self,
        scheduler: Scheduler,
        dialer: Dialer,
        peers: Peers,
        quarantine: Quarantine,
        node_id: str,
    ) -> None:
        self.quarantine = quarantine
        self._scheduler = scheduler
        self._dialer = dialer
        self._peers = peers
        self._node_id = node_id
        self._probes: dict[str, _Probe] = {}
        self._isolated: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        self._known_peers: set[str] = set()
        self._evidence = CrashEvidence()
        self._proofs = Proofs()
        self._crash_names: dict[str, tuple[str, float]] = {}
        peers.on(TargetDied, self._on_target_died)
        peers.on(SegmentsProven, self._on_segments_proven)
        scheduler.call_every(EXPIRY_INTERVAL_SECONDS, self._expire_evidence)
        scheduler.call_every(PEERS_CHECK_INTERVAL_SECONDS, self._send_crashes_to_new_peers)

    def is_quarantined(self, signature: RequestSignature) -> bool:
        """Return whether a request must not run, for its own crashes or those of a segment."""
        now = self._scheduler.now()
        return (
            self.quarantine.is_quarantined(signature, now)
            or self._evidence.find_quarantined(signature.segments, now) is not None
        )

    def now(self) -> float:
        """Return the time (monotonic seconds)."""
        return self._scheduler.now()

    def record_proof(self, segments: Collection[str]) -> None:
        """Record that a target survived a request with these prompt segments."""
        self._proofs.record(segments, self._scheduler.now())
        if self._evidence:
            self._clear_proven()

    def is_suspect(self, signature: RequestSignature) -> bool:
        """Return whether a request was running on a target that crashed."""
        return self.quarantine.is_suspect(signature, self._scheduler.now())

    def request_permit(
        self, signature: RequestSignature, start: Callable[[], None], expire: Callback
    ) -> RunPermit:
        """Queue a run; admit calls start once it may run; every permit must be released."""
        permit = self.quarantine.request_permit(signature, start)

        def expire_if_waiting() -> None:
            if self.quarantine.is_waiting(permit):
                self.release(permit)
                expire()

        self._scheduler.call_after(PERMIT_WAIT_SECONDS, expire_if_waiting)
        return permit

    def mark_proven(self, permit: RunPermit) -> None:
        """Record that a target has begun to respond to the run."""
        self.quarantine.mark_proven(permit, self._scheduler.now())
        self.admit()

    def release(self, permit: RunPermit) -> None:
        """Release the permit of a run, or cancel its wait for one."""
        self.quarantine.release(permit)
        self.admit()

    def clear(self, signature: RequestSignature) -> None:
        """Forget the crashes of a request that got a complete response."""
        self.quarantine.clear(signature)

    def isolate(self, vm: Vm) -> None:
        """Keep other requests of this node off a target while a suspect runs on it."""
        self._isolated[vm.vm_id] = self._isolated.get(vm.vm_id, 0) + 1

    def end_isolation(self, vm: Vm) -> None:
        """Allow other requests on the target again."""
        self._isolated[vm.vm_id] -= 1
        if not self._isolated[vm.vm_id]:
            del self._isolated[vm.vm_id]

    def choose(
        self, signature: RequestSignature, choose: Choose, chooser: TargetChooser, service: str
    ) -> Vm | None:
        """Choose a target away from suspects; for a suspect, one that peers do not use for theirs.

        If no target meets all conditions, they are relaxed one after the other.
        """
        crashed = {
            vm_id for vm_id, until in self._avoided_until.items() if until > self._scheduler.now()
        }
        crashed_or_isolated = crashed | set(self._isolated)
        avoided = [crashed_or_isolated, crashed, set()]
        if self.is_suspect(signature):
            busy = set(chooser.outstanding)
            targets_of_peers = self._list_targets_of_peers(
                [vm.vm_id for vm in chooser.find_targets(service)]
            )
            for_suspect = [
                crashed_or_isolated | busy | targets_of_peers,
                crashed_or_isolated | targets_of_peers,
                crashed | targets_of_peers,
            ]
            avoided = [*for_suspect, crashed_or_isolated | busy, *avoided]
        return next((vm for vm in map(choose, avoided) if vm is not None), None)

    def _list_targets_of_peers(self, targets: list[str]) -> set[str]:
        """Return the targets left to suspects of peers; all nodes split them in the same order."""
        nodes = sorted({self._node_id, *self._peers.connected()})
        own_index = nodes.index(self._node_id)
        return {vm_id for i, vm_id in enumerate(sorted(targets)) if i % len(nodes) != own_index}

    def report_loss(self, signature: RequestSignature, vm: Vm, on_checked: Callback) -> None:
        """Probe whether the target crashed when a connection carrying the request was lost."""
        probe = self._probes.get(vm.vm_id)
        if probe is not None:
            probe.reporters.append((signature, on_checked))
            return
        probe = self._probes[vm.vm_id] = _Probe(vm, [(signature, on_checked)])
        self._dial(probe)

    def _dial(self, probe: _Probe) -> None:
        """Dial the target.

        A process that is just terminating may accept one more connection and close it at once,
        so an early close is retried.
        """
        probe.dials += 1
        dial = probe.dials

        def on_connected() -> None:
            self._scheduler.call_after(PROBE_OPEN_SECONDS, finish_alive)

        def finish_alive() -> None:
            if probe.dials == dial:
                self._finish(probe, crashed=False)

        def on_closed(cause: str) -> None:
            if cause in (CLOSED, RESET) and probe.dials < DIALS_MAX:
                self._dial(probe)
            else:
                self._finish(probe, crashed=cause in REFUSED_CAUSES)

        handlers = ConnectionHandlers(on_connected, lambda data: None, on_closed)
        probe.connection = self._dialer.dial(probe.vm.address, PROBE_SECONDS, handlers)

    def _finish(self, probe: _Probe, *, crashed: bool) -> None:
        if self._probes.pop(probe.vm.vm_id, None) is None:
            return
        if probe.connection is not None:
            probe.connection.close()
        if crashed:
            signatures = [signature for signature, _ in probe.reporters]
            log_event("target_died", level=30, target=probe.vm.vm_id, requests=len(signatures))
            TARGET_CRASHES.inc()
            self._record_crash(probe.vm.vm_id, signatures, lambda: self._await_reports(probe))
        else:
            self._notify_reporters(probe)

    def _await_reports(self, probe: _Probe) -> None:
        """Give peers time to report other requests on the target before one is quarantined."""
        quarantined = any(self.is_quarantined(signature) for signature, _ in probe.reporters)
        self._scheduler.call_after(
            PEER_REPORT_WAIT_SECONDS if quarantined else 0.0, lambda: self._notify_reporters(probe)
        )

    def _notify_reporters(self, probe: _Probe) -> None:
        for _, on_checked in probe.reporters:
            on_checked()
        self.admit()

    def _record_crash(
        self, target_id: str, signatures: list[RequestSignature], on_acknowledged: Callback
    ) -> None:
        """Record and report a crash; call on_acknowledged once the peers replied or timed out."""
        now = self._scheduler.now()
        self._avoided_until = {
            vm: until for vm, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[target_id] = now + AVOID_SECONDS
        self._record_segments(target_id, {name for item in signatures for name in item.segments})
        new = [item for item in signatures if self.quarantine.record_crash(item, target_id, now)]
        for item in new:
            if self.quarantine.is_quarantined(item, now):
                log_event("quarantined", level=30, workspace=item.workspace, mark=item.fingerprint)
        unanswered = set(self._peers.connected()) if new else set()
        if not unanswered:
            on_acknowledged()
            return

        def done(node_id: str) -> None:
            unanswered.discard(node_id)
            if not unanswered:
                on_acknowledged()

        message = self._make_message(target_id, new)
        for node_id in list(unanswered):
            self._peers.request(
                node_id,
                message,
                PEER_TIMEOUT_SECONDS,
                lambda _, to=node_id: done(to),  # type: ignore[misc]
            )

    def _on_target_died(self, message: TargetDied, reply: Reply) -> None:
        signatures = [
            RequestSignature(item.workspace, item.fingerprint) for item in message.requests
        ]
        self._record_segments(message.target_id, message.segments)
        self._record_crash(message.target_id, signatures, lambda: None)
        reply(DeathNoted())
        self.admit()

    def _on_segments_proven(self, message: SegmentsProven, reply: Reply) -> None:
        for segment in message.segments:
            self._evidence.clear(segment, self._evidence.list_targets(segment))

    def _record_segments(self, target_id: str, segments: Collection[str]) -> None:
        if not segments:
            return
        now = self._scheduler.now()
        name, at = self._crash_names.get(target_id, ("", -SAME_CRASH_SECONDS))
        if now - at >= SAME_CRASH_SECONDS:
            name, at = f"{target_id}/{now:.3f}", now
            self._crash_names[target_id] = (name, at)
        self._proofs.hear(name, now)
        for segment in self._evidence.add(Crash(name, at, frozenset(segments))):
            targets = ",".join(sorted(self._evidence.list_targets(segment)))
            log_event("crash_suspect", level=30, segment=segment, targets=targets)
        self._clear_proven()

    def _clear_proven(self) -> None:
        """Clear the segments that a response of this node proved harmless, and tell the peers."""
        cleared = self._proofs.clear(self._evidence)
        if not cleared:
            return
        log_event("crash_suspects_cleared", segments=",".join(cleared))
        for node_id in self._peers.connected():
            self._peers.send(node_id, SegmentsProven(list(cleared)))

    def _expire_evidence(self) -> None:
        self._evidence.expire(self._scheduler.now())
        known = self._evidence.list_crashes()
        self._proofs.keep(known)
        self._crash_names = {
            target_id: (name, at)
            for target_id, (name, at) in self._crash_names.items()
            if name in known
        }

    def _list_segments(self, target_id: str) -> list[str]:
        """Return the segments against which the last crash of a target counts."""
        name, _ = self._crash_names.get(target_id, ("", 0.0))
        return self._evidence.list_fingerprints(name)

    def _send_crashes_to_new_peers(self) -> None:
        connected = set(self._peers.connected())
        for node_id in connected - self._known_peers:
            for target_id, signatures in self.quarantine.group_crashes(
                self._scheduler.now()
            ).items():
                self._peers.send(node_id, self._make_message(target_id, signatures))
        self._known_peers = connected

    def admit(self) -> None:
        """Start every waiting run that may run now."""
        while permits := self.quarantine.admit(self._scheduler.now()):
            for permit in permits:
                permit.start()

    def _make_message(self, target_id: str, signatures: list[RequestSignature]) -> TargetDied:
        requests = [
            MarkedRequest(signature.workspace, signature.fingerprint) for signature in signatures
        ]
        return TargetDied(target_id, requests, self._list_segments(target_id))
