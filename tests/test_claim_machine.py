"""Test claims under delays, duplicates, loss, pauses and crashes."""

from collections import Counter

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

from bronzetiller.budgets.records import Claim, Outcome
from bronzetiller.errors import Ran
from bronzetiller.requests import claims as claims_module
from bronzetiller.requests.claims import Claims, ClaimVerdict, dump_claims, load_claims

NODES = ("node-a", "node-b", "node-c")
KEY = "order-1"
SETTINGS = settings(
    derandomize=True,
    stateful_step_count=40,
    phases=[Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class ClaimMachine(RuleBasedStateMachine):
    """Model nodes that append claims, read the log late, dispatch, and respond to callers.

    Records in flight may arrive late, twice, reordered, or not at all. A node dispatches only a
    claim that it has read back as won, and reports "not run" only after abandoning its claim.
    """

    make_claims = staticmethod(Claims)

    @initialize()
    def start(self):
        self.log = []
        self.in_flight = []
        self.claims_by_node = {node: self.make_claims() for node in NODES}
        self.read = dict.fromkeys(NODES, 0)
        self.attempts = {}
        self.states = {}
        self.runs = Counter()
        self.reported_not_run = set()

    @rule(node=st.sampled_from(NODES))
    def claim(self, node):
        attempt = f"{node}-{len(self.attempts)}"
        self.attempts[attempt] = node
        self.states[attempt] = "claiming"
        self.in_flight.append(Claim("studio", KEY, "body", node, attempt))

    @rule(data=st.data(), result=st.sampled_from(["written", "written", "repeated", "lost"]))
    def append_record(self, data, result):
        """Append a record in flight to the log or lose it; a repeated one stays in flight."""
        if not self.in_flight:
            return
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        if result != "lost":
            self.log.append(self.in_flight[index])
        if result != "repeated":
            del self.in_flight[index]

    @rule(node=st.sampled_from(NODES), count=st.integers(1, 6))
    def read_log(self, node, count):
        """Apply the next records; a node that is not drawn is paused."""
        for _ in range(min(count, len(self.log) - self.read[node])):
            self.read_one(node)

    def read_one(self, node):
        record = self.log[self.read[node]]
        verdict = self.claims_by_node[node].apply(float(self.read[node]), record)
        self.read[node] += 1
        won = verdict is ClaimVerdict.WON and isinstance(record, Claim)
        if won and record.holder == node and self.states[record.attempt_id] == "claiming":
            self.states[record.attempt_id] = "won"

    @rule(data=st.data())
    def dispatch(self, data):
        attempt = self._draw(data, "won")
        if attempt is not None:
            self.states[attempt] = "running"
            self.runs[attempt] += 1

    @rule(data=st.data(), ran=st.sampled_from([Ran.YES, Ran.UNKNOWN]))
    def settle(self, data, ran):
        attempt = self._draw(data, "running")
        if attempt is not None:
            self.states[attempt] = "ended"
            self._append_outcome(attempt, ran)

    @rule(data=st.data(), state=st.sampled_from(["claiming", "won"]))
    def abandon(self, data, state):
        attempt = self._draw(data, state)
        if attempt is not None:
            self.states[attempt] = "ended"
            self.reported_not_run.add(attempt)
            self._append_outcome(attempt, Ran.NO)

    @rule(node=st.sampled_from(NODES), reload=st.booleans())
    def restart(self, node, reload):
        """Restore a snapshot, or lose all state and read the log from its start."""
        if reload:
            self.claims_by_node[node] = self.load(self.claims_by_node[node])
            return
        for attempt, holder in self.attempts.items():
            if holder == node:
                self.states[attempt] = "ended"
        self.claims_by_node[node] = self.make_claims()
        self.read[node] = 0

    @staticmethod
    def load(claims):
        return load_claims(dump_claims(claims))

    @invariant()
    def a_request_runs_at_most_once(self):
        assert self.runs.total() <= 1, self.runs

    @invariant()
    def attempts_reported_not_run_did_not_run(self):
        assert not any(self.runs[attempt] for attempt in self.reported_not_run)

    @invariant()
    def ended_attempts_hold_no_key(self):
        ended = {r.attempt_id for r in self.log if isinstance(r, Outcome) and r.ran is Ran.NO}
        for node in NODES:
            state = self.claims_by_node[node].find("studio", KEY)
            if state is not None and self.read[node] == len(self.log):
                assert state.attempt_id not in ended

    def teardown(self):
        for node in NODES:
            while self.read[node] < len(self.log):
                self.read_one(node)
        states = [dump_claims(claims) for claims in self.claims_by_node.values()]
        assert all(state == states[0] for state in states)

    def _append_outcome(self, attempt, ran):
        self.in_flight.append(Outcome("studio", KEY, attempt, ran))

    def _draw(self, data, state):
        found = sorted(attempt for attempt, known in self.states.items() if known == state)
        return data.draw(st.sampled_from(found)) if found else None


def _run(machine, examples=200):
    run_state_machine_as_test(machine, settings=settings(SETTINGS, max_examples=examples))


def test_a_claimed_request_runs_at_most_once_under_any_faults():
    _run(ClaimMachine)


class _FaultyClaimsMachine(ClaimMachine):
    """Run a faulty variant of Claims, whose state snapshots do not preserve."""

    @staticmethod
    def load(claims):
        return claims

    def teardown(self):
        """Skip the comparison of states, which a faulty variant need not pass."""


def test_without_ended_attempts_a_late_claim_holds_its_key_forever():
    class ClaimsWithoutEndedAttempts(Claims):
        def apply(self, at, record):
            verdict = super().apply(at, record)
            for state in self.states.values():
                state.ended_attempts.clear()
            return verdict

    class Machine(_FaultyClaimsMachine):
        make_claims = ClaimsWithoutEndedAttempts

    with pytest.raises(AssertionError):
        _run(Machine, examples=2_000)


def test_if_every_claim_wins_a_request_runs_twice():
    class ClaimsThatAlwaysWin(Claims):
        def apply(self, at, record):
            super().apply(at, record)
            return ClaimVerdict.WON

    class Machine(_FaultyClaimsMachine):
        make_claims = ClaimsThatAlwaysWin

    with pytest.raises(AssertionError):
        _run(Machine, examples=2_000)


def test_the_oldest_stored_responses_are_evicted_and_claims_expire(monkeypatch):
    monkeypatch.setattr(claims_module, "KEPT_BYTES_MAX", 10)
    claims = Claims()
    for index, body in enumerate(("aaaaaa", "bbbbbb")):
        claims.apply(index, Claim("studio", f"order-{index}", "body", "node-a", f"a-{index}"))
        claims.apply(
            index, Outcome("studio", f"order-{index}", f"a-{index}", Ran.YES, 200, body=body)
        )
    assert claims.find("studio", "order-0").outcome.body_kept is False
    assert claims.find("studio", "order-1").outcome.body == "bbbbbb"
    claims.apply(claims_module.CLAIM_WINDOW_SECONDS + 5, Claim("studio", "order-9", "", "b", "b"))
    assert claims.find("studio", "order-1") is None
    assert claims.kept_bytes_total == 0
