"""Test that the soak's checks detect violations, and that a short soak run finds none."""

import pytest

from soak.__main__ import run_seed
from soak.faults import generate_steps
from soak.history import History, RunRecord, Sent, find_violations, make_body

ORDER = Sent("r1", "order", False, 0, 200, make_body("r1", "order", 0), True)
ORDER_RUN = RunRecord("r1", "desk-1", True, 0, 0, "studio", False)
STREAM = Sent("r2", "draft", True, 3, 200, make_body("r2", "draft", 3), True)


def replace(item, **fields):
    values = {name: getattr(item, name) for name in type(item).__slots__ if name[0] != "_"}
    return type(item)(**(values | fields))


def check_history(sent, runs, *, prepaid=100, unexpected_exits=()):
    return find_violations(History(sent=list(sent), own_ends=list(unexpected_exits)), runs, prepaid)


def test_a_correct_history_has_no_violations():
    runs = [ORDER_RUN, RunRecord("r2", "engine-1", True, 0, 20, "studio", False)]
    runs.append(RunRecord("r2", "engine-1", False, 3, 20, "studio", False))
    assert check_history([ORDER, STREAM], runs) == []


@pytest.mark.parametrize(
    ("sent", "runs", "fields"),
    [
        ([ORDER], [ORDER_RUN, ORDER_RUN], {}),
        ([replace(ORDER, status=503)], [ORDER_RUN], {}),
        ([], [ORDER_RUN], {}),
        ([ORDER], [replace(ORDER_RUN, has_key=True)], {}),
        ([ORDER], [replace(ORDER_RUN, workspace="other")], {}),
        ([replace(ORDER, body=b"answer to r9")], [ORDER_RUN], {}),
        ([replace(STREAM, body=make_body("r2", "draft", 2))], [], {}),
        ([replace(STREAM, whole=False, body=b"id: 2\n")], [], {}),
        ([STREAM], [RunRecord("r2", "engine-1", True, 0, 101, "studio", False)], {}),
        ([STREAM], [RunRecord("r2", "engine-1", False, 101, 0, "studio", False)], {}),
        ([], [], {"unexpected_exits": ["node-1 with status 1"]}),
    ],
)
def test_each_check_reports_a_violation(sent, runs, fields):
    assert len(check_history(sent, runs, **fields)) == 1


def test_a_seed_always_generates_the_same_steps():
    def list_steps(seed):
        return [(step.at, step.name) for step in generate_steps(seed, 20, ["n1", "n2"], ["t1"])]

    assert list_steps(4) == list_steps(4) != list_steps(5)


@pytest.mark.timeout(180)
def test_a_short_run_has_no_violations():
    assert run_seed(11, seconds=8, nodes=2, callers=4) == []


@pytest.mark.parametrize(("version", "found"), [("v1", 0), ("v2", 1)])
def test_a_stream_that_goes_on_at_another_version_is_a_violation(version, found):
    runs = [
        RunRecord("r2", "engine-1", True, 0, 20, "studio", False, "v1", "r2"),
        RunRecord("r3", "engine-2", True, 0, 20, "studio", False, version, "r2", 3),
    ]
    taken_up = Sent("r3", "draft", True, 3, 200, make_body("r3", "draft", 3, 3), True, 3)
    broken = replace(STREAM, whole=False, body=make_body("r2", "draft", 2))
    assert len(check_history([broken, taken_up], runs)) == found
