"""Test that one report says little of a target's pace, and that slow targets get less work."""

from hypothesis import given
from hypothesis import strategies as st

from bronzetiller.gateway.placement import Distances, PlacementRequest, choose_target
from bronzetiller.gateway.target_pace import SLOWDOWN_MAX, SLOWDOWN_MIN, TargetPace
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.net.address import Address


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


def test_a_target_that_was_slow_is_tried_again_though_it_states_nothing_meanwhile():
    """Guard against leaving a target for good by its last report, which only use would replace."""
    slow, busy = (
        Target(Registration(name, "s", Address("10.0.0.1", number), "a", 8, False))
        for number, name in enumerate(("slow", "busy"), 1)
    )
    busy.in_flight, slow.in_flight = 2, 1
    slow.pace.record(8.0, 100.0)
    distances, request = Distances("a", "west", {"a": "west"}), PlacementRequest(None, "")

    def choose(now):
        return choose_target([slow, busy], request, distances, now, lambda: 0.0)

    assert choose(100.5) is busy
    assert choose(130.0) is slow
