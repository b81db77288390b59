"""Notice the deaths of targets, tell peers which requests were on them, and gate dispatch."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_DEATHS
from bronzetiller.net.dialer import CLOSED, RESET, Connection, ConnectionHandlers, Dialer
from bronzetiller.net.http_client import REFUSED_CAUSES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.requests.quarantine import Passage, Quarantine, RequestMark
from bronzetiller.routing.targets import TargetChooser
from bronzetiller.wire.messages import DeathNoted, MarkedRequest, TargetDied

PROBE_SECONDS = 1.0
SETTLE_SECONDS = 0.1
DIALS_MAX = 3
AVOID_SECONDS = 5.0
PASSAGE_SECONDS = 30.0
TELL_SECONDS = 0.5
REPORTS_SECONDS = 0.5
PEERS_CHECK_SECONDS = 0.25

Judged = Callable[[], None]
Choose = Callable[[set[str]], Vm | None]


@define(eq=False)
class _Probe:
    vm: Vm
    reporters: list[tuple[RequestMark, Judged]] = field(factory=list)
    connection: Connection | None = None
    dials: int = 0


class DeathWatch:
    """Hold the quarantine of one node and keep it in step with its peers."""

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
        self._dead_until: dict[str, float] = {}
        self._known_peers: set[str] = set()
        peers.on(TargetDied, self._on_target_died)
        scheduler.call_every(PEERS_CHECK_SECONDS, self._tell_new_peers)

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

    def choose(
        self, mark: RequestMark, choose: Choose, chooser: TargetChooser, service: str
    ) -> Vm | None:
        """Choose a target apart from suspects; for a suspect, one that no other node uses so."""
        dead = {vm_id for vm_id, until in self._dead_until.items() if until > self._scheduler.now()}
        apart = dead | set(self._isolated)
        avoided = [apart, dead, set()]
        if self.is_suspect(mark):
            busy = set(chooser.outstanding)
            foreign = self._list_foreign([vm.vm_id for vm in chooser.find_targets(service)])
            own = [apart | busy | foreign, apart | foreign, dead | foreign]
            avoided = [*own, apart | busy, *avoided]
        return next((vm for vm in map(choose, avoided) if vm is not None), None)

    def _list_foreign(self, targets: list[str]) -> set[str]:
        """Return the targets left to the suspects of other nodes, by an order that all share."""
        nodes = sorted({self._node_id, *self._peers.connected()})
        own = nodes.index(self._node_id)
        return {vm_id for i, vm_id in enumerate(sorted(targets)) if i % len(nodes) != own}

    def report_loss(self, mark: RequestMark, vm: Vm, judged: Judged) -> None:
        """Find out whether the target died when a connection with the request on it was lost."""
        probe = self._probes.get(vm.vm_id)
        if probe is not None:
            probe.reporters.append((mark, judged))
            return
        probe = self._probes[vm.vm_id] = _Probe(vm, [(mark, judged)])
        self._dial(probe)

    def _dial(self, probe: _Probe) -> None:
        """Connect; a target that is just ending may accept once more and close at once."""
        probe.dials += 1
        dial = probe.dials

        def settle() -> None:
            self._scheduler.call_after(SETTLE_SECONDS, check)

        def check() -> None:
            if probe.dials == dial:
                self._finish(probe, died=False)

        def close(cause: str) -> None:
            if cause in (CLOSED, RESET) and probe.dials < DIALS_MAX:
                self._dial(probe)
            else:
                self._finish(probe, died=cause in REFUSED_CAUSES)

        handlers = ConnectionHandlers(settle, lambda data: None, close)
        probe.connection = self._dialer.dial(probe.vm.address, PROBE_SECONDS, handlers)

    def _finish(self, probe: _Probe, *, died: bool) -> None:
        if self._probes.pop(probe.vm.vm_id, None) is None:
            return
        if probe.connection is not None:
            probe.connection.close()
        if died:
            marks = [mark for mark, _ in probe.reporters]
            log_event("target_died", level=30, target=probe.vm.vm_id, requests=len(marks))
            TARGET_DEATHS.inc()
            self._note(probe.vm.vm_id, marks, lambda: self._await_reports(probe))
        else:
            self._judge(probe)

    def _await_reports(self, probe: _Probe) -> None:
        """Give peers time to tell who else was on the target, before one request is blamed."""
        blamed = any(self.is_quarantined(mark) for mark, _ in probe.reporters)
        self._scheduler.call_after(REPORTS_SECONDS if blamed else 0.0, lambda: self._judge(probe))

    def _judge(self, probe: _Probe) -> None:
        for _, judged in probe.reporters:
            judged()
        self.admit()

    def _note(self, target_id: str, marks: list[RequestMark], told: Judged) -> None:
        """Count a death and tell the peers; told comes once those that can answer have."""
        now = self._scheduler.now()
        self._dead_until = {vm: until for vm, until in self._dead_until.items() if until > now}
        self._dead_until[target_id] = now + AVOID_SECONDS
        fresh = [mark for mark in marks if self.quarantine.note_death(mark, target_id, now)]
        for mark in fresh:
            if self.quarantine.is_quarantined(mark, now):
                log_event("quarantined", level=30, workspace=mark.workspace, mark=mark.fingerprint)
        unanswered = set(self._peers.connected()) if fresh else set()
        if not unanswered:
            told()
            return

        def answer(node_id: str) -> None:
            unanswered.discard(node_id)
            if not unanswered:
                told()

        message = _make_message(target_id, fresh)
        for node_id in list(unanswered):
            self._peers.ask(node_id, message, TELL_SECONDS, lambda _, to=node_id: answer(to))  # type: ignore[misc]

    def _on_target_died(self, message: TargetDied, reply: Reply) -> None:
        marks = [RequestMark(item.workspace, item.fingerprint) for item in message.requests]
        self._note(message.target_id, marks, lambda: None)
        reply(DeathNoted())
        self.admit()

    def _tell_new_peers(self) -> None:
        connected = set(self._peers.connected())
        for node_id in connected - self._known_peers:
            for target_id, marks in self.quarantine.group_deaths(self._scheduler.now()).items():
                self._peers.send(node_id, _make_message(target_id, marks))
        self._known_peers = connected

    def admit(self) -> None:
        """Let each run go that may go now."""
        while passages := self.quarantine.admit(self._scheduler.now()):
            for passage in passages:
                passage.go()


def _make_message(target_id: str, marks: list[RequestMark]) -> TargetDied:
    requests = [MarkedRequest(mark.workspace, mark.fingerprint) for mark in marks]
    return TargetDied(target_id, requests)
