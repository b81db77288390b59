"""Test without a network that a slow or silent log delays its entries but never loses them."""

import pytest

from tests.simulated_fleet import SimulatedFleet

CURRENT_SECONDS_MAX = 9.0
DELAYS_SECONDS = (1.3, 1.6, 2.5, 4.0, 6.0)


@pytest.fixture
def fleet():
    """Return two nodes in different data centres near the log."""
    fleet = SimulatedFleet({("east", "east-1"): 1, ("east", "east-2"): 1})
    fleet.log.append(10)
    fleet.start()
    return fleet


@pytest.mark.parametrize("delay_seconds", DELAYS_SECONDS)
def test_entries_of_a_slow_log_arrive_one_response_later(fleet, delay_seconds):
    fleet.log.delay_seconds = delay_seconds
    taken = []
    for count in (3, 1, 1, 5, 1):
        fleet.log.append(count)
        taken.append(fleet.await_current(20.0))
        fleet.scheduler.advance(4.0 - taken[-1] % 4.0 if taken[-1] else 0.0)
    assert None not in taken
    assert max(taken) <= CURRENT_SECONDS_MAX


@pytest.mark.parametrize("delay_seconds", DELAYS_SECONDS)
def test_a_slow_log_is_read_at_a_start(delay_seconds):
    fleet = SimulatedFleet({("east", "east-1"): 1, ("east", "east-2"): 1})
    fleet.log.append(10)
    fleet.log.delay_seconds = delay_seconds
    fleet.start(seconds=1.0)
    assert fleet.await_current(CURRENT_SECONDS_MAX) is not None


@pytest.mark.parametrize("silent_seconds", [3.0, 10.0, 30.0])
def test_a_log_that_was_silent_is_read_soon_after(fleet, silent_seconds):
    fleet.log.silent = True
    fleet.scheduler.advance(silent_seconds)
    fleet.log.append(3)
    fleet.log.silent = False
    assert fleet.await_current(CURRENT_SECONDS_MAX) is not None
