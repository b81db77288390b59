"""Test the choice of targets and the avoidance of leaving, failing or silent ones."""

import time
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzetiller.configuration.records import PlannedStop
from bronzetiller.fleet.vm_list import Vm, VmRole, VmState
from bronzetiller.net.dialer import Address
from bronzetiller.routing.selection import SelectionRules, select_target
from bronzetiller.routing.target_state import (
    BACKOFF_SECONDS_MAX,
    LoadReport,
    TargetState,
    decode_load_report,
)
from bronzetiller.routing.targets import TargetChooser
from standins.engine import make_words
from standins.fleet import Fleet, call_json
from tests.conftest import KEY, await_ready, await_true, send_chat
from tests.raw_http import connect, make_chat_request, read_response

RULES = SelectionRules("west", 0.03)


def make_vm(vm_id, region="west", state=VmState.LIVE):
    address = Address("127.0.0.1", 1)
    return Vm(vm_id, address, region, f"{region}-1", VmRole.TARGET, state, "names")


STATES = st.builds(
    TargetState,
    outstanding=st.integers(0, 6),
    failures=st.integers(0, 3),
    avoided_until=st.sampled_from([0.0, 50.0, 150.0]),
    refusing_until=st.sampled_from([0.0, 150.0]),
    duration_seconds=st.floats(0, 2),
    report=st.none() | st.builds(LoadReport, st.integers(0, 9), st.integers(0, 9), st.just(4)),
    reported_at=st.sampled_from([0.0, 99.0]),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.tuples(STATES, st.booleans()), max_size=6), st.text(max_size=2), st.integers())
def test_selection_follows_every_rule(targets, prefix_key, seed):
    states = {f"vm-{number}": state for number, (state, _) in enumerate(targets)}
    vms = [make_vm(f"vm-{n}", "east" if far else "west") for n, (_, far) in enumerate(targets)]

    def find_state(vm):
        return states[vm.vm_id]

    now = 100.0
    chosen = select_target(vms, find_state, RULES, prefix_key, Random(seed), now)
    accepting = [vm for vm in vms if not find_state(vm).is_refusing(now)]
    healthy = [vm for vm in accepting if not find_state(vm).is_avoided(now)]
    if not accepting:
        assert chosen is None
        return
    assert chosen in (healthy or accepting)
    local = [vm for vm in healthy if vm.region == "west"]
    if chosen in local or not local:
        return
    wait_seconds_max = max(find_state(vm).estimate_wait(now) for vm in local)
    assert find_state(chosen).estimate_wait(now) + 2 * RULES.link_seconds < wait_seconds_max


def test_one_prefix_stays_on_its_target_until_that_is_busier_than_the_rest():
    states = {f"vm-{n}": TargetState(limit=8) for n in range(5)}
    vms = [make_vm(name) for name in states]

    def choose(key):
        return select_target(vms, lambda vm: states[vm.vm_id], RULES, key, Random(7), 0.0).vm_id

    preferred = choose("prefix")
    assert {choose("prefix") for _ in range(20)} == {preferred}
    assert len({choose(f"prefix {n}") for n in range(50)}) == 5
    states[preferred].outstanding = 5
    assert choose("prefix") != preferred


def test_a_failing_target_is_tried_by_one_request_after_a_growing_delay():
    state = TargetState()
    delays = []
    now = 0.0
    for _ in range(12):
        state.record_failure(now)
        delays.append(state.avoided_until - now)
        assert state.is_avoided(state.avoided_until - 0.01)
        now = state.avoided_until
        assert not state.is_avoided(now)
        state.outstanding = 1
        assert state.is_avoided(now)
        state.outstanding = 0
    assert delays == sorted(delays) and delays[-1] == BACKOFF_SECONDS_MAX
    state.record_response(1.0)
    state.outstanding = 3
    assert not state.is_avoided(now)


def test_the_limit_of_a_target_without_reports_follows_its_delay():
    state = TargetState(limit=8)
    for now in range(20):
        state.outstanding = int(state.limit)
        state.record_first_part_delay(0.1, float(now))
    assert state.limit > 8
    for now in range(20, 60):
        state.record_first_part_delay(3.0, now * 4.0)
    assert state.limit == 1


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{}", b'{"running": -1}', b'{"running": true}', b"[" * 9999]
)
def test_a_malformed_load_report_is_an_error(body):
    assert decode_load_report(body).is_err()


def make_chooser(vms, stops=()):
    vm_list = SimpleNamespace(vms={vm.vm_id: vm for vm in vms}, subscribe=lambda _: None)
    clocks = {"now": lambda: 100.0, "wall_clock": lambda: 1000.0}
    return TargetChooser(
        vm_list, "west", random=Random(1), list_planned_stops=lambda: stops, **clocks
    )


def test_the_earliest_sign_of_leaving_counts():
    vms = [make_vm("stays"), make_vm("listed", state=VmState.LEAVING), make_vm("planned")]
    vms += [make_vm("refuses"), make_vm("reports")]
    stops = [PlannedStop("planned", 999.0), PlannedStop("stays", 1001.0)]
    chooser = make_chooser(vms, stops)
    chooser.record_failure(vms[3], 503, "status 503")
    chooser.record_load(vms[4], LoadReport(0, 0, 4, leaving=True), 0)
    assert {chooser.choose("names", set(), f"{n}").vm_id for n in range(50)} == {"stays"}
    assert chooser.choose("names", {"stays"}) is None
    without_stops = make_chooser(vms[1:3])
    assert without_stops.choose("names", set()).vm_id == "planned"


@pytest.mark.parametrize("corrected", [True, False])
def test_requests_sent_since_a_load_report_correct_it(corrected):
    vms = [make_vm("idle"), make_vm("busy")]
    chooser = make_chooser(vms)
    chooser.record_load(vms[0], LoadReport(0, 0, 20), 0)
    chooser.record_load(vms[1], LoadReport(6, 0, 20), 0)
    counts = {"idle": 0, "busy": 0}
    for _ in range(26):
        vm = chooser.choose("names", set())
        counts[vm.vm_id] += 1
        if corrected:
            chooser.begin(vm)
    assert counts == ({"idle": 16, "busy": 10} if corrected else {"idle": 26, "busy": 0})


@pytest.fixture(scope="module")
def fleet():
    """Start one node with five engines, of which each test uses one up."""
    fleet = Fleet()
    try:
        fleet.start_platform()
        for number in range(1, 6):
            arguments = ("--token-seconds", "0.02")
            fleet.add_target(f"engine-{number}", "names", "west", "west-1", *arguments)
        fleet.add_node("node-1", "west", "west-1")
        fleet.publish_workspace("studio", KEY, 1_000_000)
        fleet.publish("route", "namer", {"service": "names"})
        await_ready(fleet, "node-1")
        await_true(lambda: send_chat(fleet.caller_address("node-1"))[0] == 200, what="a response")
        yield fleet
    finally:
        fleet.close()


def _count_runs(fleet, vm_id):
    return len(call_json(fleet.vms[vm_id]["address"], "/control/requests")["requests"])


def _open_stream(fleet, vm_id):
    """Open streams until one runs on the target; return its socket and prompt."""
    for number in range(50):
        prompt = f"in flight {number}"
        sock = connect(fleet.caller_address("node-1"))
        before = _count_runs(fleet, vm_id)
        sock.sendall(make_chat_request(KEY, prompt, max_tokens=100, stream=True))
        await_true(lambda sock=sock: sock.recv(1), what="the first byte")
        if _count_runs(fleet, vm_id) > before:
            return sock, prompt
        sock.close()
    raise AssertionError(f"no stream ran on {vm_id}")


def _mark_as_leaving(fleet, vm_id):
    fleet.vms[vm_id]["state"] = "leaving"
    fleet.publish_vms()


def _plan_stop(fleet, vm_id):
    fleet.publish("planned-stop", vm_id, {"vm_id": vm_id, "stop_at": time.time()})


def _start_refusing(fleet, vm_id):
    call_json(fleet.vms[vm_id]["address"], "/control/settings", {"faults": ["refuse"]})


@pytest.mark.parametrize(
    ("vm_id", "announce_leaving"),
    [("engine-1", _mark_as_leaving), ("engine-2", _plan_stop), ("engine-3", _start_refusing)],
)
def test_a_leaving_target_gets_no_new_work_and_finishes_what_runs(fleet, vm_id, announce_leaving):
    address = fleet.caller_address("node-1")
    sock, prompt = _open_stream(fleet, vm_id)
    announce_leaving(fleet, vm_id)
    runs = [0] * 4

    def has_settled():
        runs.append(_count_runs(fleet, vm_id))
        assert all(
            send_chat(address, f"{len(runs)}-{n}", max_tokens=1)[0] == 200 for n in range(12)
        )
        return runs[-1] == runs[-3]

    await_true(has_settled, 8, "no new work on the target")
    body = read_response(sock, b"H").body
    sock.close()
    assert make_words(prompt, 100)[-1].encode() in body and b"[DONE]" in body


def test_requests_succeed_after_a_target_is_killed(fleet):
    fleet.processes["engine-4"].kill()
    address = fleet.caller_address("node-1")
    statuses = [send_chat(address, f"after {n}", max_tokens=1)[0] for n in range(20)]
    assert statuses == [200] * 20


def test_a_silent_connection_is_replaced_by_a_new_one(make_fleet):
    fleet = make_fleet(with_links=True)
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-2")
    fleet.add_node("node-1", "west", "west-1", routing={"first_byte_seconds": 0.5})
    unmonitored = {"first_byte_seconds": 60.0, "load_interval_seconds": 600.0}
    fleet.add_node("node-2", "west", "west-1", routing=unmonitored)
    fleet.publish_workspace("studio", KEY, 1_000_000)
    fleet.publish("route", "namer", {"service": "names", "silence_seconds": 60.0})
    await_ready(fleet, "node-1", "node-2")
    for name in ("node-1", "node-2"):
        await_true(lambda name=name: send_chat(fleet.caller_address(name))[0] == 200)
    fleet.set_fault(lambda source, destination: destination == "engine-1", silent=True)
    fleet.heal()
    assert send_chat(fleet.caller_address("node-1"), "on a new connection")[0] == 200
    with connect(fleet.caller_address("node-2")) as sock:
        sock.settimeout(3.0)
        sock.sendall(make_chat_request(KEY, "still on the silent connection"))
        with pytest.raises(TimeoutError):
            sock.recv(1)
