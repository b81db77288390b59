"""Follow a request from target to target: its turn, the target it is at, those it has tried."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.requests.deaths import DeathWatch, Passage
from bronzetiller.requests.quarantine import RequestMark
from bronzetiller.routing.targets import TargetChooser


@define(eq=False)
class Visits:
    """Hold where one request is; a suspect of ending targets is kept apart from others."""

    _deaths: DeathWatch
    _chooser: TargetChooser
    _mark: RequestMark
    vm: Vm | None = None
    tried: set[str] = field(factory=set)
    _isolating: bool = False
    _passage: Passage | None = None

    def enter(self, dispatch: Callable[[], None], refuse: Callable[[Refusal], None]) -> None:
        """Call dispatch once it is the request's turn, or refuse where that takes too long."""

        def expire() -> None:
            detail = "the request waited too long for a run apart from others"
            refuse(Refusal(503, Reason.DEADLINE, detail, retry_after_seconds=1))

        self._passage = self._deaths.enter(self._mark, dispatch, expire)
        self._deaths.admit()

    def prove(self) -> None:
        """Say that the target has survived the request so far."""
        if self._passage is not None:
            passage, self._passage = self._passage, None
            self._deaths.prove(passage)

    def leave(self) -> None:
        """Give the turn back."""
        if self._passage is not None:
            passage, self._passage = self._passage, None
            self._deaths.leave(passage)

    def begin(self, vm: Vm) -> None:
        """Count the request in at a target."""
        self._isolating = self._deaths.is_suspect(self._mark)
        if self._isolating:
            self._deaths.isolate(vm)
        self.vm = vm
        self.tried.add(vm.vm_id)
        self._chooser.begin(vm)

    def end(self) -> None:
        """Count the request out at its target."""
        if self.vm is None:
            return
        if self._isolating:
            self._deaths.rejoin(self.vm)
        self._chooser.end(self.vm)
        self.vm = None
