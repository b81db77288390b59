"""Run the soak for a few seconds, and show that each of its checks can fail."""

import pytest

from soak.__main__ import run_seed
from soak.faults import generate_steps
from soak.history import History, RunRecord, Sent, find_violations, make_body

CALLER = Sent("r1", "order", False, 0, 200, make_body("r1", "order", 0), True)
RAN = RunRecord("r1", "desk-1", True, 0, 0, "studio", False)
STREAM = Sent("r2", "draft", True, 3, 200, make_body("r2", "draft", 3), True)


def change(item, **fields):
    values = {name: getattr(item, name) for name in type(item).__slots__ if name[0] != "_"}
    return type(item)(**(values | fields))


def find_broken(sent, runs, *, prepaid=100, own_ends=()):
    return find_violations(History(sent=list(sent), own_ends=list(own_ends)), runs, prepaid)


def test_a_history_without_faults_breaks_nothing():
    runs = [RAN, RunRecord("r2", "engine-1", True, 0, 20, "studio", False)]
    runs.append(RunRecord("r2", "engine-1", False, 3, 20, "studio", False))
    assert find_broken([CALLER, STREAM], runs) == []


@pytest.mark.parametrize(
    ("sent", "runs", "fields"),
    [
        ([CALLER], [RAN, RAN], {}),
        ([change(CALLER, status=503)], [RAN], {}),
        ([], [RAN], {}),
        ([CALLER], [change(RAN, has_key=True)], {}),
        ([CALLER], [change(RAN, workspace="other")], {}),
        ([change(CALLER, body=b"answer to r9")], [RAN], {}),
        ([change(STREAM, body=make_body("r2", "draft", 2))], [], {}),
        ([change(STREAM, whole=False, body=b"id: 2\n")], [], {}),
        ([STREAM], [RunRecord("r2", "engine-1", True, 0, 101, "studio", False)], {}),
        ([STREAM], [RunRecord("r2", "engine-1", False, 101, 0, "studio", False)], {}),
        ([], [], {"own_ends": ["node-1 with status 1"]}),
    ],
)
def test_each_check_can_fail(sent, runs, fields):
    assert len(find_broken(sent, runs, **fields)) == 1


def test_a_seed_draws_the_same_steps():
    def name_steps(seed):
        return [(step.at, step.name) for step in generate_steps(seed, 20, ["n1", "n2"], ["t1"])]

    assert name_steps(4) == name_steps(4) != name_steps(5)


@pytest.mark.timeout(180)
def test_a_short_soak_breaks_no_promise():
    assert run_seed(11, seconds=8, nodes=2, callers=4) == []
