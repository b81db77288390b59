"""Test that no node counts as confirmed while the store held newer records, in a simulation."""

import logging

import pytest

from standins.confirmation_faults import check_drawn_faults

pytestmark = pytest.mark.timeout(400)  # a large simulation takes a minute of processor time


@pytest.fixture(autouse=True)
def quiet_logs():
    """Silence the logs of many nodes."""
    logging.disable()
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize(
    ("nodes", "seeds", "seconds"),
    [(6, range(1, 25), 40.0), (86, range(1, 4), 20.0), (195, [1], 15.0), (330, [1], 8.0)],
    ids=["6", "86", "195", "330"],
)
def test_no_confirmation_is_later_than_a_newer_record_under_drawn_faults(nodes, seeds, seconds):
    for seed in seeds:
        check, draw = check_drawn_faults(nodes, seed, seconds)
        checks, found = check.checks, check.found
        print(f"seed {seed}: {checks} confirmations checked; {', '.join(draw.applied)}")
        assert checks and not found
