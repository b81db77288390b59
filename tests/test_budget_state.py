"""Test that the refusal of a budget says where its tokens are."""

import pytest

from bronzetiller.callers import problems
from bronzetiller.gateway.allocations import (
    Account,
    Allocation,
    HoldingRecord,
    decode_holding_record,
    reclaim_accounts,
)
from bronzetiller.gateway.budget_refusals import refuse_exhausted
from bronzetiller.gateway.budget_state import (
    BudgetState,
    add_budget,
    describe_budget,
    select_budget_fields,
)

LAST_REPORT = Account(1_000, 600, slack=50, slack_delay=1.2, reach_seconds=20.0, in_doubt=100)


def make_record(account):
    return HoldingRecord("node-1/1", 1, 1, 100.0, True, {"studio": account})


def test_every_token_of_a_budget_is_in_one_place():
    allocation = Allocation("studio", 5_000)
    allocation.reclaim(Account(650, 650, in_doubt=150))
    allocation.recorded_total, allocation.reserved = 1_000, 40
    state = describe_budget(allocation, [Account(2_000, 1_500, in_doubt=300)])
    assert state == BudgetState(5_000, 500 + 1_200, 310, 500, 190 + 300)
    assert (
        state.prepaid - (state.used + state.held + state.held_elsewhere + state.in_doubt) == 2_000
    )


def test_what_a_restart_counts_as_spent_without_a_report_of_it_is_in_doubt():
    account = reclaim_accounts(make_record(LAST_REPORT), None, 101.0)["studio"]
    assert (account.committed, account.in_doubt) == (650, 150)


def test_tokens_in_doubt_stay_so_over_further_restarts():
    account = reclaim_accounts(make_record(LAST_REPORT), None, 101.0)["studio"]
    record = decode_holding_record(make_record(account).encode())
    assert reclaim_accounts(record, None, 200.0)["studio"] == account


@pytest.fixture
def lines(monkeypatch):
    """Return the fields of the lines that are logged."""
    lines = []
    monkeypatch.setattr(problems, "log_event", lambda event, **fields: lines.append(fields))
    return lines


def test_a_refusal_logs_what_the_node_that_decided_knows(lines):
    own, decider = BudgetState(10, 1, 2, 3, 4), BudgetState(10, 5, 0, 1, 4)
    known = select_budget_fields({"used": 5, "held": 0, "reason": 9})  # of another release
    assert known == {"used": 5, "held": 0}
    refusal = add_budget(refuse_exhausted(), "studio", decider)
    problems.record_refusal(add_budget(refusal, "studio", own), id="request-1")
    (line,) = lines
    assert {name: line[name] for name in ("workspace", "used", "in_doubt", "id")} == {
        "workspace": "studio",
        "used": 5,
        "in_doubt": 4,
        "id": "request-1",
    }
    assert refusal == refuse_exhausted()  # callers get the same response
