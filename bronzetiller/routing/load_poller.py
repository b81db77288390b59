"""Poll the targets in use for their load, at a limited rate."""

from collections import deque

from attrs import define, field
from result import Ok

from bronzetiller.fleet.vm_list import Vm
from bronzetiller.net.http_client import (
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.target_state import decode_load_report
from bronzetiller.routing.targets import TargetChooser

SILENCE_SECONDS = 2.0
BODY_BYTES_MAX = 16 * 1024
LOAD_PATH = "/v1/load"


@define(eq=False)
class LoadPoller:
    """Poll the targets one after another, each at most once per interval."""

    _scheduler: Scheduler
    _http: HttpClient
    _chooser: TargetChooser
    _interval_seconds: float
    _polls_per_second: float
    _due: deque[Vm] = field(factory=deque)
    _in_flight: set[str] = field(factory=set)

    def start(self) -> None:
        """Start polling; it continues for the life of the process."""
        self._poll_next()

    def poll(self, vm: Vm) -> None:
        """Poll one target now, unless a poll of it is in flight."""
        if vm.vm_id in self._in_flight:
            return
        self._in_flight.add(vm.vm_id)
        outstanding = self._chooser.get_state(vm).outstanding
        call = HttpCall(
            vm.address,
            "GET",
            LOAD_PATH,
            {},
            b"",
            SILENCE_SECONDS,
            body_bytes_max=BODY_BYTES_MAX,
            seconds_max=2 * SILENCE_SECONDS,
        )
        status = 0
        body = b""

        def listen(event: CallEvent) -> None:
            nonlocal status, body
            if isinstance(event, ResponseHead):
                status = event.status
            elif isinstance(event, BodyPart):
                body += event.data
            elif isinstance(event, ResponseEnd | CallFailed):
                self._in_flight.discard(vm.vm_id)
                if isinstance(event, ResponseEnd) and status == 200:
                    self._handle_report(vm, body, outstanding)

        self._http.send(call, listen)

    def _handle_report(self, vm: Vm, body: bytes, outstanding: int) -> None:
        match decode_load_report(body):
            case Ok(report):
                self._chooser.record_load(vm, report, outstanding)

    def _poll_next(self) -> None:
        if not self._due:
            self._due.extend(self._chooser.list_recently_used())
            delay_seconds = self._interval_seconds
        else:
            delay_seconds = 1.0 / self._polls_per_second
        self._scheduler.call_after(delay_seconds, self._poll_next)
        if self._due:
            self.poll(self._due.popleft())
