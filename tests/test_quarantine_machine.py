"""Test the quarantine under crashes of targets and late, duplicate or lost messages."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bronzetiller.requests.quarantine import (
    CRASHES_ALONE_MAX,
    CRASHES_MAX,
    SAME_CRASH_SECONDS,
    Quarantine,
    RequestSignature,
)

NODES = ("node-a", "node-b")
CRASHER = RequestSignature("studio", "crasher")
OTHERS = [RequestSignature("studio", f"other-{index}") for index in range(3)]
EXPIRY_SECONDS = 600.0
SETTINGS = settings(
    derandomize=True,
    stateful_step_count=40,
    phases=[Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class QuarantineMachine(RuleBasedStateMachine):
    """Run requests on targets; the crasher crashes every target that it runs on."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.quarantines = {node: Quarantine(EXPIRY_SECONDS) for node in NODES}
        self.running = {node: [] for node in NODES}
        self.messages = []
        self.targets = 0
        self.crashes_by_node = dict.fromkeys(NODES, 0)

    @rule(node=st.sampled_from(NODES), signature=st.sampled_from([CRASHER, *OTHERS]))
    def send(self, node, signature):
        self.quarantines[node].request_permit(signature, lambda: None)

    @rule(node=st.sampled_from(NODES))
    def admit(self, node):
        for permit in self.quarantines[node].admit(self.now):
            if self.quarantines[node].is_quarantined(permit.signature, self.now):
                self.quarantines[node].release(permit)
            else:
                self.running[node].append(permit)

    @rule(node=st.sampled_from(NODES))
    def send_crasher(self, node):
        """Send the crasher and admit the runs that may start."""
        self.send(node, CRASHER)
        self.admit(node)

    @rule(node=st.sampled_from(NODES), all_runs=st.booleans())
    def crash(self, node, all_runs):
        """Crash the target of the crasher, on which either all runs of the node are or it alone."""
        running = self.running[node]
        crashers = [permit for permit in running if permit.signature == CRASHER]
        if not crashers:
            return
        crashed = running if all_runs else crashers
        self.targets += 1
        self.crashes_by_node[node] += 1
        self.running[node] = [permit for permit in running if permit not in crashed]
        signatures = [permit.signature for permit in crashed]
        target = f"target-{self.targets}"
        for signature in signatures:
            self.quarantines[node].record_crash(signature, target, self.now)
        for permit in crashed:
            self.quarantines[node].release(permit)
        self.messages += [(other, target, signatures) for other in NODES if other != node]

    @rule(node=st.sampled_from(NODES), data=st.data())
    def finish(self, node, data):
        harmless = [permit for permit in self.running[node] if permit.signature != CRASHER]
        if harmless:
            permit = data.draw(st.sampled_from(harmless))
            self.running[node].remove(permit)
            self.quarantines[node].mark_proven(permit, self.now)
            self.quarantines[node].clear(permit.signature)

    @rule(data=st.data(), delivery=st.sampled_from(["arrives", "arrives twice", "lost"]))
    def deliver(self, data, delivery):
        if not self.messages:
            return
        index = data.draw(st.integers(0, len(self.messages) - 1))
        node, target, signatures = self.messages.pop(index)
        for _ in range(["lost", "arrives", "arrives twice"].index(delivery)):
            for signature in signatures:
                self.quarantines[node].record_crash(signature, target, self.now)

    @rule(seconds=st.sampled_from([0.1, SAME_CRASH_SECONDS / 4]))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def a_request_crashes_few_targets_through_each_node(self):
        assert all(
            count <= CRASHES_MAX for count in self.crashes_by_node.values()
        ), self.crashes_by_node

    @invariant()
    def unproven_runs_of_one_request_do_not_overlap(self):
        for running in self.running.values():
            assert sum(permit.signature == CRASHER for permit in running) <= 1

    def teardown(self):
        """Deliver every message, then let the crashes expire."""
        while self.messages:
            node, target, signatures = self.messages.pop()
            for signature in signatures:
                self.quarantines[node].record_crash(signature, target, self.now)
        for node, quarantine in self.quarantines.items():
            for permit in self.running[node]:
                quarantine.release(permit)
            self.running[node] = []
            waiting = len(quarantine._waiting)
            admitted = 0
            while permits := quarantine.admit(self.now):
                admitted += len(permits)
                for permit in permits:
                    quarantine.release(permit)
            assert admitted == waiting, "a run still waits although nothing blocks it"
            after_expiry = self.now + EXPIRY_SECONDS
            assert not any(
                quarantine.is_suspect(signature, after_expiry) for signature in [CRASHER, *OTHERS]
            )


def _run(examples=150):
    machine_settings = settings(SETTINGS, max_examples=examples)
    run_state_machine_as_test(QuarantineMachine, settings=machine_settings)


def test_a_request_crashes_few_targets_whether_or_not_messages_arrive():
    _run()


def test_without_quarantine_a_request_keeps_crashing_targets(monkeypatch):
    monkeypatch.setattr(Quarantine, "is_quarantined", lambda self, signature, now: False)
    with pytest.raises(AssertionError):
        _run(examples=2_000)


def test_without_permits_several_runs_of_an_unproven_request_overlap(monkeypatch):
    monkeypatch.setattr(Quarantine, "_may_run", lambda self, signature, now: True)
    with pytest.raises(AssertionError):
        _run(examples=2_000)


def test_a_second_crash_quarantines_a_request_only_if_it_alone_was_on_both_targets():
    quarantine = Quarantine(EXPIRY_SECONDS)
    alone, shared, neighbour = OTHERS
    for signature in (alone, shared, neighbour):
        quarantine.record_crash(signature, "target-1", 0.0)
    quarantine.record_crash(alone, "target-2", 10.0)
    assert quarantine.is_quarantined(alone, 10.0)
    for signature in (shared, neighbour):
        quarantine.record_crash(signature, "target-3", 20.0)
    assert not quarantine.is_quarantined(shared, 20.0)
    quarantine.record_crash(shared, "target-4", 30.0)
    assert quarantine.is_quarantined(shared, 30.0) and not quarantine.is_quarantined(
        neighbour, 30.0
    )
    assert CRASHES_ALONE_MAX < quarantine.count_crashes(shared, 30.0) == CRASHES_MAX
