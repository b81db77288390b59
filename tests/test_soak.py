"""Test that the soak's checks detect violations, and that a short soak run finds none."""

from datetime import datetime

import pytest

from soak.__main__ import run_seed
from soak.confirmations import find_false_confirmations, read_confirmations
from soak.copies import generate_copies
from soak.faults import generate_steps
from soak.history import (
    Charge,
    History,
    RunRecord,
    Sent,
    find_violations,
    make_body,
    read_charges,
    read_unfinished_stops,
)

ORDER = Sent("r1", "order", False, 0, 200, make_body("r1", "order", 0), True)
ORDER_RUN = RunRecord("r1", "desk-1", True, 0, 0, "studio", False)
STREAM = Sent("r2", "draft", True, 3, 200, make_body("r2", "draft", 3), True)


def replace(item, **fields):
    values = {name: getattr(item, name) for name in type(item).__slots__ if name[0] != "_"}
    return type(item)(**(values | fields))


def check_history(sent, runs, *, prepaid=100, unexpected_exits=(), charges=None, kills=()):
    history = History(list(sent), [], list(unexpected_exits), list(kills), charges)
    return find_violations(history, runs, prepaid)


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


REFUSED = replace(ORDER, status=503, sent_at=1.0, ended_at=2.0)
SERVED = replace(ORDER, sent_at=3.0, ended_at=4.0)


@pytest.mark.parametrize(
    ("sent", "run_times", "found"),
    [
        ([REFUSED, SERVED], [3.5], 0),
        ([REFUSED, SERVED], [1.5], 1),
        ([REFUSED, SERVED], [1.5, 3.5], 2),
        ([REFUSED, replace(SERVED, status=503)], [], 0),
        ([REFUSED, replace(SERVED, status=503)], [3.5], 1),
        ([REFUSED, replace(SERVED, status=400)], [3.5], 1),
        ([REFUSED, replace(SERVED, status=502, body=b"")], [3.5], 0),
    ],
)
def test_executions_are_judged_over_all_sends_of_an_id(sent, run_times, found):
    runs = [replace(ORDER_RUN, at=run_time) for run_time in run_times]
    assert len(check_history(sent, runs)) == found


STREAM_RUN = RunRecord("r2", "engine-1", True, 0, 20, "studio", False, at=1.5)
STREAM_SENT = replace(STREAM, node="node-1", sent_at=1.0, ended_at=2.0)
BROKEN_SENT = replace(STREAM_SENT, whole=False)


@pytest.mark.parametrize(
    ("sent", "charges", "kills", "found"),
    [
        (STREAM_SENT, [Charge("node-1", "r2", "engine-1", 23)], [], 0),
        (STREAM_SENT, [Charge("node-1", "r2", "engine-1", 22)], [], 1),
        (STREAM_SENT, [], [], 1),
        (STREAM_SENT, [], [("node-1", 1.5)], 0),
        (STREAM_SENT, [], [("node-1", 2.5)], 1),  # it had logged the request
        (STREAM_SENT, [], [("node-2", 1.5)], 1),
        (BROKEN_SENT, [], [("node-1", 2.5)], 0),
        (STREAM_SENT, [Charge("node-1", "r2", "node/node-2", 0)], [("node-2", 2.5)], 0),
        (STREAM_SENT, [Charge("node-1", "r2", "node/node-2", 0)], [("node-3", 2.5)], 1),
        (
            STREAM_SENT,
            [Charge("node-1", "r2", "node/node-2", 0), Charge("node-2", "r2", "engine-1", 23)],
            [],
            0,
        ),
        (replace(STREAM_SENT, is_named=False), [Charge("node-1", "", "engine-1", 23)], [], 0),
        (replace(STREAM_SENT, is_named=False), [Charge("node-1", "", "engine-1", 0)], [], 1),
    ],
)
def test_a_stream_that_no_node_charged_for_is_a_violation(sent, charges, kills, found):
    assert len(check_history([sent], [STREAM_RUN], charges=charges, kills=kills)) == found


def test_charges_are_read_from_the_logs_of_nodes(tmp_path):
    path = tmp_path / "node-1.log"
    path.write_text(
        "time=1 node=node-1 event=stopped idle=True\n"
        "time=1 node=node-1 event=request id=r2 route=draft targets=engine-1,node/node-2 "
        'resumes="" attempts=1 events=3 tokens=23 tokens_from=node-1 outcome=answered ms=1\n'
        'time=1 node=node-1 event=request id="" route=draft targets="" '
        'resumes="" attempts=0 events=0 tokens=0 tokens_from="" outcome=deadline ms=1\n'
    )
    assert read_charges({"node-1": path}) == [
        Charge("node-1", "r2", "engine-1,node/node-2", 23),
        Charge("node-1", "", "", 0),
    ]


def test_stops_with_open_requests_are_read_from_the_logs_of_nodes(tmp_path):
    path = tmp_path / "node-1.log"
    path.write_text(
        "time=2026-12-06T12:00:01.500 level=INFO node=node-1 event=stopped idle=True\n"
        "time=2026-12-06T12:00:02.500 level=WARNING node=node-1 event=stopped idle=False\n"
    )
    time_text = "2026-12-06T12:00:02.500"
    stopped_at = datetime.fromisoformat(time_text).timestamp()
    assert read_unfinished_stops({"node-1": path}) == [("node-1", stopped_at)]


def test_a_seed_always_generates_the_same_steps():
    def list_steps(seed):
        return [(step.at, step.name) for step in generate_steps(seed, 20, ["n1", "n2"], ["t1"])]

    assert list_steps(4) == list_steps(4) != list_steps(5)


def test_a_seed_always_generates_the_same_copies():
    def list_steps(seed):
        return [(step.at, step.name) for step in generate_copies(seed, 20, ["n1", "n2"])]

    assert list_steps(4) == list_steps(4) != list_steps(5)


@pytest.mark.timeout(180)
def test_a_short_run_has_no_violations():
    assert run_seed(11, seconds=8, nodes=2, callers=4) == []


@pytest.mark.timeout(180)
def test_a_short_run_with_copies_has_no_violations():
    assert run_seed(10, seconds=4, nodes=2, callers=6, copies_only=True) == []


@pytest.mark.parametrize(("version", "found"), [("v1", 0), ("v2", 1)])
def test_a_stream_that_goes_on_at_another_version_is_a_violation(version, found):
    runs = [
        RunRecord("r2", "engine-1", True, 0, 20, "studio", False, "v1", "r2"),
        RunRecord("r3", "engine-2", True, 0, 20, "studio", False, version, "r2", 3),
    ]
    taken_up = Sent("r3", "draft", True, 3, 200, make_body("r3", "draft", 3, 3), True, 3)
    broken = replace(STREAM, whole=False, body=make_body("r2", "draft", 2))
    assert len(check_history([broken, taken_up], runs)) == found


@pytest.mark.parametrize(("age", "violations"), [(0.2, 1), (3.0, 0)])
def test_a_version_that_counts_as_current_though_a_newer_one_was_acknowledged_is_found(
    tmp_path, age, violations
):
    line = "time=2026-12-06T21:00:10.000 level=INFO node=node-1 event=refused id=a "
    line += f"reason=unknown_route version=3 confirmation_age={age} confirmed_by=store:0\n"
    path = tmp_path / "node-1.log"
    path.write_text(line)
    confirmations = read_confirmations({"node-1": path})
    logged_at = confirmations[0].at + age
    acknowledged_at = {2: logged_at - 6.0, 3: logged_at - 4.0, 4: logged_at - 2.0}
    assert len(find_false_confirmations(confirmations, acknowledged_at)) == violations
