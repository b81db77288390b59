"""Test that one report says little of a target's pace, and that slow targets get less work."""

from hypothesis import given
from hypothesis import strategies as st

from bronzetiller.gateway.target_pace import SLOWDOWN_MAX, SLOWDOWN_MIN, TargetPace


def test_a_target_that_is_slow_for_seconds_differs_from_one_that_is_slow_for_a_moment():
    """Guard against placing by a single report, which all nodes read and which is late."""
    momentary, lasting = TargetPace(), TargetPace()
    for number in range(30):
        now = number / 10
        momentary.record(3.0 if number == 29 else 1.0, now)
        lasting.record(3.0, now)
    assert momentary.slowdown < 1.25
    assert lasting.slowdown > 2.8


@given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(0, 10)), max_size=30))
def test_the_slowdown_stays_within_its_bounds(reports):
    """Guard against false reports that draw all requests to a target, or keep all away for good."""
    pace, now = TargetPace(), 0.0
    for slowdown, seconds in reports:
        now += seconds
        pace.record(slowdown, now)
        assert SLOWDOWN_MIN <= pace.slowdown <= SLOWDOWN_MAX
