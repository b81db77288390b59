"""Test the application of single records to a ledger."""

import json

import pytest

from bronzetiller.budgets import ledger as ledgers
from bronzetiller.budgets.ledger import Ledger, Verdict, dump_ledger, load_ledger
from bronzetiller.budgets.records import Bill, Charge, Close, Credit, Grant, Return


@pytest.fixture
def ledger():
    ledger = Ledger()
    ledger.apply(0.0, Credit("top-up-1", "studio", 1000))
    ledger.apply(0.0, Grant("node-1/a/1", "studio", "node-1/a", 400))
    return ledger


def make_bill(request_id, tokens, biller="node-1/a", charges=None, bills_before=-1):
    charges = charges or [Charge("node-1/a/1", tokens)]
    return Bill("studio", request_id, "f", biller, tokens, charges, bills_before)


def test_two_charges_on_one_grant_cannot_together_exceed_it(ledger):
    charges = [Charge("node-1/a/1", 300), Charge("node-1/a/1", 300)]
    assert ledger.apply(0.0, make_bill("r", 600, charges=charges)).verdict is Verdict.GRANT_SPENT
    assert ledger.budgets["studio"].billed == 0


def test_a_bill_older_than_the_retained_bills_is_expired(ledger, monkeypatch):
    monkeypatch.setattr(ledgers, "BILLS_RETAINED_MAX", 3)
    repeated = make_bill("r-0", 10, bills_before=0)
    for index in range(4):
        record = make_bill(f"r-{index}", 10, bills_before=ledger.bill_count)
        assert ledger.apply(0.0, record).verdict is Verdict.ACCEPTED
    assert ledger.find_bill("studio", "r-0") is None
    assert ledger.apply(0.0, repeated).verdict is Verdict.EXPIRED
    assert ledger.budgets["studio"].billed == 40
    assert len(ledger.bills) == 3
    # Shows that the bill count is what prevents the charge: without it the bill is accepted again.
    uncounted = make_bill("r-0", 10)
    assert ledger.apply(0.0, uncounted).verdict is Verdict.ACCEPTED


def test_a_grant_older_than_the_retained_grants_is_expired(ledger, monkeypatch):
    monkeypatch.setattr(ledgers, "GRANTS_RETAINED_MAX", 2)
    for number in range(2, 5):
        ledger.apply(0.0, Grant(f"node-1/a/{number}", "studio", "node-1/a", 10, number - 1))
    repeated = Grant("node-1/a/2", "studio", "node-1/a", 10, 1)
    assert ledger.apply(0.0, repeated).verdict is Verdict.EXPIRED
    assert ledger.budgets["studio"].granted == 430
    assert len(ledger.grant_rulings) == 2


def test_a_repeated_return_is_applied_once(ledger):
    record = Return("return-1", "studio", "node-1/a/1", 100, "node-1/a")
    assert ledger.apply(0.0, record).tokens == 100
    assert ledger.apply(0.0, record).verdict is Verdict.DUPLICATE
    assert ledger.count_free("studio") == 700


def test_a_closed_grant_accepts_only_bills_within_its_limits(ledger):
    close = Close("studio", "node-1/a/1", {"node-2/b": 50, "node-3/c": 20})
    assert ledger.apply(0.0, close).tokens == 330
    assert ledger.apply(0.0, close).verdict is Verdict.DUPLICATE
    assert ledger.apply(0.0, make_bill("own", 30)).verdict is Verdict.GRANT_SPENT
    assert ledger.apply(0.0, make_bill("other", 51, "node-2/b")).verdict is Verdict.GRANT_SPENT
    assert ledger.apply(0.0, make_bill("other", 40, "node-2/b")).verdict is Verdict.ACCEPTED
    budget = ledger.budgets["studio"]
    assert (budget.billed, budget.granted, budget.free) == (40, 70, 930)


def test_a_later_close_can_only_lower_the_limits(ledger):
    ledger.apply(0.0, Close("studio", "node-1/a/1", {"node-2/b": 50, "node-3/c": 20}))
    later = Close("studio", "node-1/a/1", {"node-1/a": 30, "node-2/b": 60, "node-3/c": 5})
    assert ledger.apply(0.0, later).tokens == 15
    assert ledger.apply(0.0, make_bill("own", 30)).verdict is Verdict.GRANT_SPENT
    assert ledger.count_free("studio") == 1000 - 55


@pytest.mark.parametrize("close_first", [True, False])
def test_a_record_in_flight_may_be_appended_before_or_after_the_close(ledger, close_first):
    records = [
        make_bill("in-flight", 20, "node-2/b"),
        Return("return-1", "studio", "node-1/a/1", 10, "node-2/b"),
        Close("studio", "node-1/a/1", {"node-2/b": 80, "node-3/c": 320}),
    ]
    if close_first:
        records.reverse()
    for record in records:
        assert ledger.apply(0.0, record).verdict is Verdict.ACCEPTED
    assert ledger.apply(0.0, make_bill("all", 320, "node-3/c")).verdict is Verdict.ACCEPTED
    assert ledger.apply(0.0, make_bill("rest", 50, "node-2/b")).verdict is Verdict.ACCEPTED
    assert ledger.budgets["studio"].granted == 390


def test_a_deserialized_ledger_applies_records_like_the_original(ledger):
    ledger.apply(1.5, make_bill("r", 30))
    ledger.apply(2.0, Return("return-1", "studio", "node-1/a/1", 100, "node-1/a"))
    copy = load_ledger(json.loads(json.dumps(dump_ledger(ledger))))
    for instance in (ledger, copy):
        instance.apply(3.0, make_bill("r", 30))
        instance.apply(3.0, make_bill("r-2", 40))
        instance.apply(3.0, Close("studio", "node-1/a/1", {"node-2/b": 7}))
    assert dump_ledger(copy) == dump_ledger(ledger)
    assert copy.budgets["studio"].billed == 70
