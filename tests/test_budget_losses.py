"""Test how much of a budget a restart takes out of reach near its end, and just after a start."""

import time

import pytest

from bronzetiller import process_start
from bronzetiller.gateway.allocations import Allocation, HoldingRecord, reclaim_accounts

RATE = 1_000.0  # tokens a second
SLACK_SECONDS = 0.5
NOW = 50.0


@pytest.fixture
def lose():
    """Return what a restart counts as spent of a node's unspent tokens."""

    def lose(held, use_slack_held_share=1.0, seconds=1.0):
        allocation = Allocation("studio", 100_000, use_slack_held_share)
        account = allocation.propose(1, held, RATE, SLACK_SECONDS, NOW)
        record = HoldingRecord("node-1/1", 1, 1, NOW, True, {"studio": account})
        return reclaim_accounts(record, None, NOW + seconds)["studio"].committed

    return lose


def test_the_slack_for_expected_use_is_a_share_of_few_tokens(lose):
    assert lose(1_000) == 60 + 500  # over half of what the node holds
    assert lose(1_000, use_slack_held_share=0.1) == 60 + 100


def test_the_slack_for_expected_use_of_many_tokens_stays(lose):
    assert lose(10_000, use_slack_held_share=0.1) == lose(10_000) == 600 + 500


def test_a_disconnected_node_goes_on_at_its_rate_though_the_slack_is_bounded(lose):
    assert lose(1_000, use_slack_held_share=0.1, seconds=8.0) > 0.5 * 1_000


@pytest.fixture
def clocks(monkeypatch):
    """Set the clocks of the process, whose start was recorded at 7 s of the steady clock."""
    clocks = {"time": 1_000.0, "monotonic": 7.0}
    for name in clocks:
        monkeypatch.setattr(time, name, lambda name=name: clocks[name])
    monkeypatch.setattr(process_start, "_started_at", None)
    return clocks


def test_a_start_before_the_imports_takes_growing_slack_from_a_loss(lose, clocks):
    process_start.record_process_start()
    clocks.update(time=1_000.4, monotonic=7.4)  # the imports are done
    elapsed = 1_000.4 - process_start.compute_start_time()
    assert elapsed == pytest.approx(0.4)
    assert lose(10_000, seconds=1.6 - elapsed) < lose(10_000, seconds=1.6)


def test_a_clock_that_is_set_during_the_imports_does_not_make_them_longer(clocks):
    process_start.record_process_start()
    clocks.update(time=900.4, monotonic=7.4)
    assert process_start.compute_start_time() == pytest.approx(900.0)


def test_without_a_recorded_start_it_is_now(clocks):
    assert process_start.compute_start_time() == 1_000.0
