"""Track the run permit of a request, its current target and the targets that it has tried."""

from collections.abc import Callable

from attrs import define, evolve, field

from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.requests.crash_evidence import StreamProof
from bronzetiller.requests.crash_monitor import CrashMonitor, RunPermit
from bronzetiller.requests.quarantine import RequestSignature
from bronzetiller.routing.targets import TargetChooser


@define(eq=False)
class TargetAssignment:
    """Assign one request to targets; one suspected of crashing them is isolated from the others."""

    _crash_monitor: CrashMonitor
    _chooser: TargetChooser
    _signature: RequestSignature
    vm: Vm | None = None
    tried_ids: set[str] = field(factory=set)
    _proof: StreamProof = field(factory=StreamProof)
    _isolating: bool = False
    _permit: RunPermit | None = None

    def await_permit(self, dispatch: Callable[[], None], refuse: Callable[[Refusal], None]) -> None:
        """Call dispatch once the request has a run permit, or refuse if that takes too long."""

        def expire() -> None:
            detail = "the request waited too long to run isolated from other requests"
            refuse(Refusal(503, Reason.DEADLINE, detail, retry_after_seconds=1))

        self._permit = self._crash_monitor.request_permit(self._signature, dispatch, expire)
        self._crash_monitor.admit()

    def mark_proven(self) -> None:
        """Record that the target has begun or gone on to respond, and release the permit."""
        if self._permit is not None:
            permit, self._permit = self._permit, None
            self._crash_monitor.mark_proven(permit)
        if self._proof.advance(self._crash_monitor.now()):
            self._crash_monitor.record_proof(self._signature.segments)

    def mark_completed(self) -> None:
        """Record that the target has completed its response."""
        self._crash_monitor.clear(self._signature)
        if self._proof.complete():
            self._crash_monitor.record_proof(self._signature.segments)

    def report_loss(self, vm: Vm, on_checked: Callable[[], None]) -> None:
        """Have it checked whether the target crashed, when its connection was lost."""
        signature = self._signature
        if self._proof.proven:
            signature = evolve(signature, segments=())
        self._crash_monitor.report_loss(signature, vm, on_checked)

    def release_permit(self) -> None:
        """Release the permit, or cancel the wait for one."""
        if self._permit is not None:
            permit, self._permit = self._permit, None
            self._crash_monitor.release(permit)

    def assign(self, vm: Vm) -> None:
        """Record that the request runs on a target."""
        self._proof.restart()
        self._isolating = self._crash_monitor.is_suspect(self._signature)
        if self._isolating:
            self._crash_monitor.isolate(vm)
        self.vm = vm
        self.tried_ids.add(vm.vm_id)
        self._chooser.begin(vm)

    def unassign(self) -> None:
        """Record that the request has left its target."""
        if self.vm is None:
            return
        if self._isolating:
            self._crash_monitor.end_isolation(self.vm)
        self._chooser.end(self.vm)
        self.vm = None
