"""Test billing and bill replication under delays, duplicates, loss and crashes."""

import pytest
from attrs import define, field
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok

from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.ledger import Ledger, Verdict
from bronzetiller.budgets.records import Bill, Credit, Grant
from bronzetiller.net.scheduler import Timer
from bronzetiller.requests import billing as billing_module
from bronzetiller.requests.bill_replicas import BillReplicas
from bronzetiller.requests.bill_replicator import BillReplicator
from bronzetiller.requests.billing import Biller
from bronzetiller.settings import RequestSettings

NODES = ("node-a", "node-b", "node-c", "node-d")
CRASHES_MAX = 2
GRANT_TOKENS = 1_000
SETTINGS = settings(
    derandomize=True,
    stateful_step_count=40,
    phases=[Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@define(eq=False)
class FakeScheduler:
    time: float = 0.0
    timers: list = field(factory=list)

    def now(self):
        return self.time

    def call_after(self, seconds, action):
        self.timers.append(Timer(self.time + seconds, action))
        return self.timers[-1]

    def call_every(self, seconds, action):
        def repeat():
            self.call_after(seconds, repeat)
            action()

        self.call_after(seconds, repeat)

    def run_due(self):
        due = [timer for timer in self.timers if timer.deadline <= self.time]
        self.timers = [timer for timer in self.timers if timer.deadline > self.time]
        for timer in due:
            if timer.action is not None:
                timer.action()


@define(eq=False)
class FakeVm:
    vm_id: str
    data_centre: str


@define(eq=False)
class FakeNode:
    """Implement the parts of a node that billing uses, including its links to peers."""

    machine: "BillMachine"
    node_id: str
    ledger: Ledger = field(factory=Ledger)
    next_offset: int = 0
    listeners: list = field(factory=list)
    handlers: dict = field(factory=dict)
    unwritten: list = field(factory=list)
    holdings: Holdings = field(factory=Holdings)
    scheduler: FakeScheduler = field(factory=FakeScheduler)
    alive: bool = True
    is_log_reachable: bool = True
    bill_replicator: BillReplicator = field(init=False)
    biller: Biller = field(init=False)

    def __attrs_post_init__(self):
        self.bill_replicator = BillReplicator(
            self.scheduler,
            self,
            self,
            self,
            node_id=self.node_id,
            data_centre=self.node_id,
            copies=2,
            copies_least=2,
            is_gone=lambda owner: not self.machine.nodes[owner].alive,
            is_reported=lambda holder: False,
        )
        self.biller = Biller(
            self.scheduler,
            self,
            self.holdings,
            self.bill_replicator,
            RequestSettings(),
            self.node_id,
        )

    @property
    def follower(self):
        return self

    def find(self, workspace):
        return self

    def subscribe(self, listener):
        self.listeners.append(listener)

    def append(self, record, acknowledged=None):
        self.unwritten.append((record, acknowledged))

    def find_routers(self):
        return [FakeVm(node_id, node_id) for node_id in NODES]

    def connected(self):
        return [
            other for other in NODES if other != self.node_id and self.machine.nodes[other].alive
        ]

    def on(self, message_class, handle):
        self.handlers[message_class] = handle

    def send(self, node_id, message):
        self.machine.messages.append((self, node_id, message, lambda result: None))
        return True

    def request(self, node_id, message, seconds, handle_response):
        self.machine.messages.append((self, node_id, message, handle_response))

    def read_one(self, notify=True):
        record = self.machine.log[self.next_offset]
        self.next_offset += 1
        result = self.ledger.apply(0.0, record)
        for listener in self.listeners if notify else []:
            listener(None, record, result)


class BillMachine(RuleBasedStateMachine):
    """Bill requests that share a few keys on failing nodes; check bills and grants at the end."""

    make_node = staticmethod(FakeNode)

    @initialize()
    def start(self):
        self.log = [Credit("credit", "studio", GRANT_TOKENS * len(NODES))]
        self.messages = []
        self.nodes = {node_id: self.make_node(self, node_id) for node_id in NODES}
        self.released = []
        for node_id, node in self.nodes.items():
            self.log.append(Grant(f"{node_id}/1", "studio", node_id, GRANT_TOKENS))
            node.holdings.add("studio", f"{node_id}/1", GRANT_TOKENS)

    @rule(
        node_id=st.sampled_from(NODES),
        key=st.sampled_from(["key-1", "key-2", "key-3"]),
        body=st.sampled_from(["body", "body", "other"]),
        tokens=st.integers(1, 20),
    )
    def serve(self, node_id, key, body, tokens):
        node = self.nodes[node_id]
        reservation = node.holdings.reserve("studio", 20)
        if not node.alive or reservation is None:
            return

        def release(result):
            if isinstance(result, Ok):
                self.released.append((key, body))

        node.biller.bill(key, body, reservation, tokens, release)

    @rule(
        node_id=st.sampled_from(NODES), append_result=st.sampled_from(["written", "response lost"])
    )
    def write(self, node_id, append_result):
        """Append a record to the log; if the response is lost, the node appends it again."""
        node = self.nodes[node_id]
        if node.alive and node.unwritten:
            record, acknowledged = node.unwritten[0]
            self.log.append(record)
            if append_result == "written":
                del node.unwritten[0]
                if acknowledged is not None:
                    acknowledged(len(self.log) - 1)

    @rule(data=st.data(), delivery=st.sampled_from(["arrives", "arrives", "arrives", "lost"]))
    def deliver(self, data, delivery):
        """Deliver up to four messages in any order, or lose one."""
        for _ in range(1 if delivery == "lost" else 4):
            if self.messages:
                self._deliver(data.draw(st.integers(0, len(self.messages) - 1)), delivery)

    @rule(node_id=st.sampled_from(NODES), count=st.integers(1, 8))
    def read(self, node_id, count):
        node = self.nodes[node_id]
        for _ in range(min(count, len(self.log) - node.next_offset) if node.alive else 0):
            node.read_one()

    @rule(node_id=st.sampled_from(NODES), seconds=st.sampled_from([0.4, 0.6, 4.0, 30.0]))
    def wait(self, node_id, seconds):
        """Advance the clock of one node; the others are paused meanwhile."""
        node = self.nodes[node_id]
        if node.alive:
            node.scheduler.time += seconds
            node.scheduler.run_due()

    @rule(node_id=st.sampled_from(NODES))
    def load_snapshot(self, node_id):
        """Advance to the end of the log without notifying the listeners."""
        node = self.nodes[node_id]
        while node.alive and node.next_offset < len(self.log):
            node.read_one(notify=False)

    @rule(data=st.data())
    def crash(self, data):
        """Kill a node that has records which are not in the log yet."""
        alive_nodes = [node for node in self.nodes.values() if node.alive]
        busy = [node for node in alive_nodes if node.unwritten]
        if busy and len(NODES) - len(alive_nodes) < CRASHES_MAX:
            data.draw(st.sampled_from(busy)).alive = False

    @invariant()
    def no_node_holds_more_than_its_grant(self):
        for node_id, node in self.nodes.items():
            assert node.holdings.count_held_of_grant("studio", f"{node_id}/1") <= GRANT_TOKENS

    def teardown(self):
        for _ in range(60):
            self._settle()
        ledger, accepted = Ledger(), []
        for record in self.log:
            result = ledger.apply(0.0, record)
            if isinstance(record, Bill) and result.verdict is Verdict.ACCEPTED:
                accepted.append((record.request_id.partition("#")[0], record.fingerprint))
        for response in self.released:
            assert response in accepted, f"{response} was delivered and never billed"
        assert len(set(accepted)) == len(accepted), accepted
        for node_id, node in self.nodes.items():
            if node.alive:
                grant = ledger.find_grant("studio", f"{node_id}/1")
                assert (
                    node.holdings.count_held_of_grant("studio", f"{node_id}/1") == grant.remaining
                )

    def _settle(self):
        """Deliver all messages and appends and advance the clocks, without further faults."""
        while self.messages:
            self._deliver(0, "arrives")
        for node in self.nodes.values():
            while node.alive and node.unwritten:
                self.write(node.node_id, "written")
        for node in self.nodes.values():
            if node.alive:
                self.read(node.node_id, len(self.log))
                self.wait(node.node_id, 1.0)

    def _deliver(self, index, delivery):
        sender, receiver_id, message, handle_response = self.messages.pop(index)
        receiver = self.nodes[receiver_id]
        replies = []
        if delivery == "arrives" and receiver.alive:
            receiver.handlers[type(message)](message, replies.append)
        if sender.alive:
            handle_response(Ok(replies[0]) if replies else Err("timeout"))


def _run(machine, examples=250):
    run_state_machine_as_test(machine, settings=settings(SETTINGS, max_examples=examples))


def test_each_response_is_billed_once_under_any_faults():
    _run(BillMachine)


def kill_a_node_whose_bills_are_replicated(machine):
    """Complete a response on its replicas, then kill its node before the bill is in the log."""
    machine.start()
    owner = machine.nodes["node-a"]
    for node_id in machine.nodes:
        machine.read(node_id, len(machine.log))
    machine.serve("node-a", "key-1", "body", 5)
    while not machine.released and owner.scheduler.time < 10:
        machine.wait("node-a", 0.4)
        while machine.messages:
            machine._deliver(0, "arrives")
    assert machine.released and owner.unwritten
    owner.alive = False
    machine.teardown()


def test_replicas_bill_the_responses_of_a_killed_node():
    kill_a_node_whose_bills_are_replicated(BillMachine())


def test_without_replicas_bills_are_lost(monkeypatch):
    monkeypatch.setattr(BillReplicas, "keep", lambda self, item: None)
    with pytest.raises(AssertionError, match="never billed"):
        kill_a_node_whose_bills_are_replicated(BillMachine())


def test_charges_returned_for_a_copy_of_an_accepted_bill_are_held_twice(monkeypatch):
    def return_charges(self, item, bill):
        self._holdings.restore(bill.workspace, bill.charges)
        self._confirm(item, Ok(0))

    monkeypatch.setattr(billing_module.Biller, "_handle_duplicate", return_charges)
    with pytest.raises(AssertionError):
        _run(BillMachine, examples=2_000)


def test_a_peer_that_has_reported_a_holder_accepts_no_more_bills_on_its_grants():
    machine = BillMachine()
    machine.start()
    owner = machine.nodes["node-a"]
    for node in machine.nodes.values():
        node.bill_replicator._is_reported = {"node-a"}.__contains__
    machine.serve("node-a", "key-1", "body", 5)
    owner.scheduler.time = 0.5
    owner.scheduler.run_due()
    assert machine.messages
    while machine.messages and owner.scheduler.time < 5:
        machine._deliver(0, "arrives")
        machine.wait("node-a", 0.1)
    assert not machine.released
    assert not any(node.bill_replicator.list_bills() for node in machine.nodes.values())
