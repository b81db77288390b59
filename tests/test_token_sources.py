"""Test the choice of token sources, grant sizes and pause detection."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bronzetiller.budgets.demand import Demand, size_grant
from bronzetiller.budgets.pauses import PAUSE_SECONDS_MAX, PauseDetector, PauseGuard
from bronzetiller.budgets.shards import Shards
from bronzetiller.budgets.sources import (
    NextStep,
    Shortage,
    TokenRequestOutcome,
    choose_next_step,
    is_fleet_short,
)
from bronzetiller.storage.log_client import LogFailure, Page

SHORTAGE = Shortage(
    needed=100,
    balance=10,
    held=10,
    free=0,
    unspent=500,
    ledger_current=True,
    record_pending=False,
    credit_pending=False,
    peer_request_running=False,
    peer_outcome=None,
    short_rounds=0,
)
EMPTY_ROUND = TokenRequestOutcome(received_tokens=0, kept_tokens=0, complete=True)


def test_tokens_are_sought_in_the_ledger_then_from_peers_before_a_refusal():
    assert choose_next_step(evolve(SHORTAGE, free=90)) is NextStep.LEDGER
    assert choose_next_step(evolve(SHORTAGE, free=89)) is NextStep.PEERS
    after_peers = evolve(SHORTAGE, peer_outcome=EMPTY_ROUND, short_rounds=2)
    assert choose_next_step(after_peers) is NextStep.RETURN
    assert choose_next_step(evolve(after_peers, balance=0)) is NextStep.EXHAUSTED


@given(
    shortage=st.builds(
        Shortage,
        needed=st.integers(1, 100),
        balance=st.integers(0, 20),
        held=st.integers(0, 50),
        free=st.integers(0, 50),
        unspent=st.integers(0, 200),
        ledger_current=st.booleans(),
        record_pending=st.booleans(),
        credit_pending=st.booleans(),
        peer_request_running=st.booleans(),
        peer_outcome=st.none()
        | st.builds(TokenRequestOutcome, st.just(0), st.integers(0, 50), st.booleans()),
        short_rounds=st.integers(0, 3),
    )
)
@settings(derandomize=True, database=None, max_examples=500)
def test_a_budget_is_exhausted_only_if_the_ledger_is_current_and_no_credit_is_pending(shortage):
    if choose_next_step(shortage) is NextStep.EXHAUSTED:
        assert shortage.ledger_current
        assert not shortage.credit_pending
        assert not shortage.record_pending
        assert shortage.unspent < shortage.needed or shortage.short_rounds >= 2
    if is_fleet_short(shortage):
        assert shortage.peer_outcome.complete
        assert shortage.free + shortage.held + shortage.peer_outcome.kept_tokens < shortage.needed


def test_a_grant_follows_demand_shrinks_with_the_budget_and_covers_queued_requests():
    def compute_size(**changes):
        values = {"waiting": 0, "balance": 0, "demand": 0.0, "free": 10_000} | changes
        return size_grant(tokens_min=100, share_max=0.25, **values)

    assert compute_size() == 100
    assert compute_size(demand=900.0) == 900
    assert compute_size(demand=900.0, balance=400) == 500
    assert compute_size(demand=900.0, free=400) == 100
    assert compute_size(waiting=300, free=400) == 300
    assert compute_size(demand=900.0, balance=2_000) <= 0


def test_demand_decays_within_a_few_horizons():
    demand = Demand(10.0)
    demand.observe(0.0, 1_000)
    assert demand.estimate(0.0) == 1_000
    assert 350 < demand.estimate(10.0) < 380
    demand.observe(0.0, -1_000)
    assert demand.estimate(0.0) == 0


def test_a_pause_is_detected_on_either_clock():
    detector = PauseDetector(0.0, 1000.0)
    assert detector.observe(0.1, 1000.1) < PAUSE_SECONDS_MAX
    assert detector.observe(60.0, 1000.2) > PAUSE_SECONDS_MAX
    assert detector.observe(60.1, 1060.2) > PAUSE_SECONDS_MAX


class FakeScheduler:
    def __init__(self):
        self.time = 0.0
        self.actions = []

    def now(self):
        return self.time

    def call_after(self, seconds, action):
        self.actions.append(action)

    call_every = call_after


class FakeLog:
    def __init__(self):
        self.reads = []

    def read(self, stream, from_offset, done, *, wait_seconds):
        self.reads.append((stream, done))


def test_nothing_is_spent_after_a_pause_until_the_ledger_is_read_to_its_end():
    scheduler, log = FakeScheduler(), FakeLog()
    shards = Shards(scheduler, log, 1, append_interval_seconds=0.0)
    guard = PauseGuard(scheduler, log, shards)
    guard.start()
    assert guard.may_spend("studio")
    scheduler.time += PAUSE_SECONDS_MAX + 1
    assert not guard.may_spend("studio")
    _, finish_read = log.reads.pop()
    finish_read(Err(LogFailure("connection lost", True)))
    assert not guard.may_spend("studio")
    scheduler.actions.pop()()
    scheduler.time += PAUSE_SECONDS_MAX + 1
    assert not guard.may_spend("studio")
    (_, finish_stale_read), (_, finish_fresh_read) = log.reads
    finish_stale_read(Ok(Page([], 0, 0)))  # this read started before the second pause
    assert not guard.may_spend("studio")
    finish_fresh_read(Ok(Page([], 0, 0)))
    assert guard.may_spend("studio")
