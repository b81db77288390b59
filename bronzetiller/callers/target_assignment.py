"""Follow a request from target to target: its turn, the target it is at, those it has tried."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.requests.crash_monitor import CrashMonitor, RunPermit
from bronzetiller.requests.quarantine import RequestSignature
from bronzetiller.routing.targets import TargetChooser


@define(eq=False)
class TargetAssignment:
    """Hold where one request is; a suspect of ending targets is kept apart from others."""

    _crash_monitor: CrashMonitor
    _chooser: TargetChooser
    _signature: RequestSignature
    vm: Vm | None = None
    tried_ids: set[str] = field(factory=set)
    _isolating: bool = False
    _permit: RunPermit | None = None

    def await_permit(self, dispatch: Callable[[], None], refuse: Callable[[Refusal], None]) -> None:
        """Call dispatch once it is the request's turn, or refuse where that takes too long."""

        def expire() -> None:
            detail = "the request waited too long for a run apart from others"
            refuse(Refusal(503, Reason.DEADLINE, detail, retry_after_seconds=1))

        self._permit = self._crash_monitor.request_permit(self._signature, dispatch, expire)
        self._crash_monitor.admit()

    def mark_proven(self) -> None:
        """Say that the target has survived the request so far."""
        if self._permit is not None:
            permit, self._permit = self._permit, None
            self._crash_monitor.mark_proven(permit)

    def leave(self) -> None:
        """Give the turn back."""
        if self._permit is not None:
            permit, self._permit = self._permit, None
            self._crash_monitor.release(permit)

    def begin(self, vm: Vm) -> None:
        """Count the request in at a target."""
        self._isolating = self._crash_monitor.is_suspect(self._signature)
        if self._isolating:
            self._crash_monitor.isolate(vm)
        self.vm = vm
        self.tried_ids.add(vm.vm_id)
        self._chooser.begin(vm)

    def end(self) -> None:
        """Count the request out at its target."""
        if self.vm is None:
            return
        if self._isolating:
            self._crash_monitor.end_isolation(self.vm)
        self._chooser.end(self.vm)
        self.vm = None
