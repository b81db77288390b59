"""Notice the deaths of targets, tell peers which requests were on them, and gate dispatch."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_DEATHS
from bronzetiller.net.dialer import Connection, ConnectionHandlers, Dialer
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.vm_list import Vm
from bronzetiller.requests.quarantine import Passage, Quarantine, RequestMark
from bronzetiller.wire.messages import MarkedRequest, TargetDied

PROBE_SECONDS = 1.0
PASSAGE_SECONDS = 30.0
REFUSED_CAUSES = ("connect: refused", "connect: errno 111")

Judged = Callable[[], None]
Choose = Callable[[set[str]], Vm | None]


@define(eq=False)
class _Probe:
    vm: Vm
    reporters: list[tuple[RequestMark, Judged]] = field(factory=list)
    connection: Connection | None = None


class DeathWatch:
    """Hold the quarantine of one node and keep it in step with its peers."""

    def __init__(
        self, scheduler: Scheduler, dialer: Dialer, peers: Peers, quarantine: Quarantine
    ) -> None:
        self.quarantine = quarantine
        self._scheduler = scheduler
        self._dialer = dialer
        self._peers = peers
        self._probes: dict[str, _Probe] = {}
        self._isolated: dict[str, int] = {}
        peers.on(TargetDied, self._on_target_died)

    def is_quarantined(self, mark: RequestMark) -> bool:
        """Say whether a request may not run."""
        return self.quarantine.is_quarantined(mark, self._scheduler.now())

    def is_suspect(self, mark: RequestMark) -> bool:
        """Say whether a request was on a target that died."""
        return self.quarantine.is_suspect(mark, self._scheduler.now())

    def enter(self, mark: RequestMark, go: Callable[[], None], expire: Judged) -> Passage:
        """Queue a run; admit calls go once it may run; every passage must be left."""
        passage = self.quarantine.enter(mark, go)

        def check() -> None:
            if self.quarantine.is_waiting(passage):
                self.leave(passage)
                expire()

        self._scheduler.call_after(PASSAGE_SECONDS, check)
        return passage

    def prove(self, passage: Passage) -> None:
        """Note that a target has begun to answer."""
        self.quarantine.prove(passage, self._scheduler.now())
        self.admit()

    def leave(self, passage: Passage) -> None:
        """End the turn of a run, or its wait for one."""
        self.quarantine.leave(passage)
        self.admit()

    def clear(self, mark: RequestMark) -> None:
        """Note that a request was answered whole."""
        self.quarantine.clear(mark)

    def isolate(self, vm: Vm) -> None:
        """Keep other requests of this node off a target while a suspect is on it."""
        self._isolated[vm.vm_id] = self._isolated.get(vm.vm_id, 0) + 1

    def rejoin(self, vm: Vm) -> None:
        """Let other requests onto the target again."""
        self._isolated[vm.vm_id] -= 1
        if not self._isolated[vm.vm_id]:
            del self._isolated[vm.vm_id]

    def choose(self, mark: RequestMark, choose: Choose, busy: set[str]) -> Vm | None:
        """Choose a target apart from suspects, for a suspect apart from all, where one is left."""
        avoided = busy | set(self._isolated) if self.is_suspect(mark) else set(self._isolated)
        return choose(avoided) or choose(set())

    def report_loss(self, mark: RequestMark, vm: Vm, judged: Judged) -> None:
        """Find out whether the target died when a connection with the request on it was lost."""
        probe = self._probes.get(vm.vm_id)
        if probe is not None:
            probe.reporters.append((mark, judged))
            return
        probe = self._probes[vm.vm_id] = _Probe(vm, [(mark, judged)])
        handlers = ConnectionHandlers(
            lambda: self._finish(probe, died=False),
            lambda data: None,
            lambda cause: self._finish(probe, died=cause in REFUSED_CAUSES),
        )
        probe.connection = self._dialer.dial(vm.address, PROBE_SECONDS, handlers)

    def _finish(self, probe: _Probe, *, died: bool) -> None:
        if self._probes.pop(probe.vm.vm_id, None) is None:
            return
        if probe.connection is not None:
            probe.connection.close()
        if died:
            marks = [mark for mark, _ in probe.reporters]
            log_event("target_died", level=30, target=probe.vm.vm_id, requests=len(marks))
            TARGET_DEATHS.inc()
            self._note(probe.vm.vm_id, marks)
        for _, judged in probe.reporters:
            judged()
        self.admit()

    def _note(self, target_id: str, marks: list[RequestMark]) -> None:
        now = self._scheduler.now()
        fresh = [mark for mark in marks if self.quarantine.note_death(mark, target_id, now)]
        for mark in fresh:
            if self.quarantine.is_quarantined(mark, now):
                log_event("quarantined", level=30, workspace=mark.workspace, mark=mark.fingerprint)
        if fresh:
            requests = [MarkedRequest(mark.workspace, mark.fingerprint) for mark in fresh]
            self._peers.broadcast(TargetDied(target_id, requests))

    def _on_target_died(self, message: TargetDied, reply: Reply) -> None:
        marks = [RequestMark(item.workspace, item.fingerprint) for item in message.requests]
        self._note(message.target_id, marks)
        self.admit()

    def admit(self) -> None:
        """Let each run go that may go now."""
        while passages := self.quarantine.admit(self._scheduler.now()):
            for passage in passages:
                passage.go()
