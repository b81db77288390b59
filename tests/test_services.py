"""Test that calls of plain services complete, are billed once and run at most once."""

import contextlib
import hashlib
import threading
import time

import pytest

from bronzetiller.budgets.records import Bill, dump_ledger_record
from bronzetiller.requests.quarantine import CRASHES_MAX
from standins.fleet import Fleet, call_json
from standins.service import CRASH_MARKER
from tests.conftest import KEY, await_ready, await_true, read_records, send

QUICK = {"claim_seconds": 1.0, "dispatch_seconds": 1.5, "claim_wait_seconds": 4.0}
FLEET = {"gone_grace_seconds": 1.0}


def _start(fleet, nodes=2, services=1, limits=None, **settings):
    fleet.start_platform()
    for index in range(services):
        fleet.add_target(f"orders-{index}", "orders", "west", "west-1", "standins.service")
    for index in range(1, nodes + 1):
        sections = {"requests": QUICK | settings, "fleet": FLEET, "limits": limits or {}}
        fleet.add_node(f"node-{index}", "west", "west-1", **sections)
    fleet.publish_workspace("studio", KEY, 100_000)
    fleet.publish("route", "place", {"service": "orders", "protocol": "plain", "idempotent": False})
    fleet.publish("route", "status", {"service": "orders", "protocol": "plain"})
    await_ready(fleet, *(f"node-{index}" for index in range(1, nodes + 1)))
    for index in range(1, nodes + 1):
        address = fleet.caller_address(f"node-{index}")
        await_true(lambda address=address: call(address, "status")[0] == 200)
    return fleet


def call(address, route, body="liner", request_id=None):
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    if request_id is not None:
        headers["Idempotency-Key"] = request_id
    return send(address, f"/services/{route}/path?x=1", body, headers)


def _count_runs(fleet, key):
    names = [name for name in fleet.processes if name.startswith("orders-")]
    runs = []
    for name in names:
        if fleet.processes[name].popen.poll() is None:
            runs += call_json(fleet.processes[name].ready["address"], "/control/runs")["runs"]
    return sum(1 for run in runs if run["key"] == key)


def _read_bills(fleet, key):
    """Return the bills of a request id by bill id."""
    bills = [bill for bill in read_records(fleet, "bill") if bill["request_id"] == key]
    return {bill["bill_id"]: bill for bill in bills}


def _set_service_seconds(fleet, seconds):
    for name, process in fleet.processes.items():
        if name.startswith("orders-"):
            call_json(process.ready["address"], "/control/settings", {"seconds": seconds})


@pytest.fixture(scope="module")
def shared_fleet():
    fleet = Fleet()
    try:
        yield _start(fleet)
    finally:
        fleet.close()


@pytest.fixture
def fleet(shared_fleet):
    yield shared_fleet
    call_json(shared_fleet.log_address, "/control/faults", {})


def test_a_call_runs_and_is_billed_once_and_any_node_replays_its_response(fleet):
    first = call(fleet.caller_address("node-1"), "place", "a liner", "order-1")
    assert first[0] == 200 and first[1]["path"] == "/path", first
    for node_id in ("node-1", "node-2"):
        assert call(fleet.caller_address(node_id), "place", "a liner", "order-1") == first
    assert _count_runs(fleet, "order-1") == 1
    assert [bill["tokens"] for bill in _read_bills(fleet, "order-1").values()] == [1]

    status, body = call(fleet.caller_address("node-2"), "place", "two liners", "order-1")
    assert (status, body["reason"]) == (422, "idempotency_key_reused")
    assert _count_runs(fleet, "order-1") == 1


def test_concurrent_sends_of_one_order_to_two_nodes_run_it_once(fleet):
    results = {}

    def place(node_id, key):
        results[node_id, key] = call(fleet.caller_address(node_id), "place", "a liner", key)

    keys = [f"race-{index}" for index in range(5)]
    sends = [(node_id, key) for key in keys for node_id in ("node-1", "node-2")]
    threads = [threading.Thread(target=place, args=item) for item in sends]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for key in keys:
        assert results["node-1", key][0] == 200, results["node-1", key]
        assert results["node-1", key] == results["node-2", key]
        assert _count_runs(fleet, key) == 1
        assert len(_read_bills(fleet, key)) == 1


def test_an_order_runs_once_if_the_response_to_its_claim_is_lost(fleet):
    call_json(fleet.log_address, "/control/faults", {"drop_answers": 2})
    status, body = call(fleet.caller_address("node-1"), "place", "a liner", "order-2")
    assert status == 200, body
    assert _count_runs(fleet, "order-2") == 1

    def count_claims():
        claims = read_records(fleet, "claim")
        return sum(1 for claim in claims if claim["request_id"] == "order-2")

    await_true(lambda: count_claims() > 1, what="the second copy of the claim")
    assert call(fleet.caller_address("node-2"), "place", "a liner", "order-2") == (status, body)
    assert _count_runs(fleet, "order-2") == 1
    assert len(_read_bills(fleet, "order-2")) == 1


def test_an_order_is_refused_while_the_log_is_down_and_runs_once_afterwards(fleet):
    call_json(fleet.log_address, "/control/faults", {"down": True})
    status, body = call(fleet.caller_address("node-1"), "place", "a liner", "order-3")
    assert (status, body["reason"]) == (503, "claim_unavailable")
    assert body["ran"] != "yes" and _count_runs(fleet, "order-3") == 0
    call_json(fleet.log_address, "/control/faults", {})
    address = fleet.caller_address("node-2")
    await_true(lambda: call(address, "place", "a liner", "order-3")[0] == 200)
    assert _count_runs(fleet, "order-3") == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("key", ["caller", None])
def test_an_order_that_a_service_ran_is_never_refused_by_its_status(fleet, status, key):
    request_id = key and f"order-{status}"
    names = [name for name in fleet.processes if name.startswith("orders-")]
    addresses = [fleet.processes[name].ready["address"] for name in names]
    for address in addresses:
        call_json(address, "/control/settings", {"status": status})
    replies = []

    def is_answered():
        replies.append(call(fleet.caller_address("node-1"), "place", "a liner", request_id))
        return replies[-1][1]["reason"] not in ("no_target", "claim_unavailable")

    try:
        await_true(is_answered)
    finally:
        for address in addresses:
            call_json(address, "/control/settings", {})
    reply, body = replies[-1]
    assert (reply, body["reason"], body["ran"]) == (502, "outcome_unknown", "unknown")
    assert request_id is None or _count_runs(fleet, request_id) == 1


def test_an_order_that_outlasts_a_stop_is_answered_before_the_node_ends(make_fleet):
    fleet = _start(make_fleet(), nodes=1, limits={"request_seconds_max": 3.0, "entry_seconds": 0.5})
    _set_service_seconds(fleet, 60.0)
    replies = []
    address = fleet.caller_address("node-1")
    sender = threading.Thread(target=lambda: replies.append(call(address, "place", "a liner", "o")))
    node = fleet.processes["node-1"].popen
    node.terminate()
    time.sleep(0.4)
    sender.start()
    await_true(lambda: _count_runs(fleet, "o") == 1)
    assert node.wait(timeout=10.0) == 0
    sender.join(timeout=5.0)
    assert [(status, body["ran"]) for status, body in replies] == [(504, "unknown")]


MOMENTS = ("claim in flight", "running", "outcome in flight")


@pytest.mark.parametrize("moment", MOMENTS)
def test_an_order_whose_node_is_killed_runs_at_most_once(make_fleet, moment):
    """Kill the node at each step and retry at another node until the response is final."""
    fleet = _start(make_fleet())
    _set_service_seconds(fleet, 60.0 if moment == "running" else 0.4)
    killed, address = fleet.caller_address("node-1"), fleet.caller_address("node-2")

    def place():
        with contextlib.suppress(OSError):
            call(killed, "place", "a liner", "order-4")

    if moment == "claim in flight":
        call_json(fleet.log_address, "/control/faults", {"delay_seconds": 0.7})
    sender = threading.Thread(target=place)
    sender.start()
    if moment != "claim in flight":
        await_true(lambda: _count_runs(fleet, "order-4") == 1, what="the run")
    if moment == "outcome in flight":
        call_json(fleet.log_address, "/control/faults", {"delay_seconds": 0.7})
    if moment != "running":
        await_true(lambda: call_json(fleet.log_address, "/control/counts")["delayed_appends"])
    fleet.processes["node-1"].kill()
    sender.join()
    call_json(fleet.log_address, "/control/faults", {})
    await_true(lambda: read_records(fleet, "claim"), what="the claim in the log")
    del fleet.vms["node-1"]
    fleet.publish_vms()
    responses = []

    def is_settled():
        responses.append(call(address, "place", "a liner", "order-4"))
        return responses[-1][0] == 200 or responses[-1][1]["reason"] == "outcome_unknown"

    await_true(is_settled, what="a final response")
    runs = _count_runs(fleet, "order-4")
    assert runs == (0 if moment == "claim in flight" else 1)
    assert len(_read_bills(fleet, "order-4")) == (1 if moment == "outcome in flight" else 0)
    assert (responses[-1][0] == 200) == (moment == "outcome in flight"), responses[-1]
    assert all(body.get("ran") != "no" for _, body in responses), responses


def test_a_node_frozen_until_its_claim_is_abandoned_does_not_dispatch(make_fleet):
    """Freeze the node between its claim and the first byte that it sends to the service."""
    fleet = _start(make_fleet(), claim_seconds=60.0)
    call_json(fleet.log_address, "/control/faults", {"delay_seconds": 0.7})
    frozen, address = fleet.caller_address("node-1"), fleet.caller_address("node-2")
    responses = {}
    sender = threading.Thread(
        target=lambda: responses.update(node_1=call(frozen, "place", "a liner", "order-5"))
    )
    sender.start()
    await_true(lambda: call_json(fleet.log_address, "/control/counts")["delayed_appends"])
    fleet.processes["node-1"].freeze()
    call_json(fleet.log_address, "/control/faults", {})
    await_true(lambda: read_records(fleet, "claim"), what="the claim in the log")
    del fleet.vms["node-1"]
    fleet.publish_vms()
    await_true(
        lambda: call(address, "place", "a liner", "order-5")[1].get("reason") == "outcome_unknown",
        what="the refusal because the holder of the claim is gone",
    )
    fleet.processes["node-1"].thaw()
    sender.join()
    assert responses["node_1"][1].get("ran") == "no", responses
    assert _count_runs(fleet, "order-5") == 0
    await_true(lambda: call(address, "place", "a liner", "order-5")[0] == 200)
    assert _count_runs(fleet, "order-5") == 1


def test_an_idempotent_call_is_retried_on_another_target(make_fleet):
    fleet = _start(make_fleet(), nodes=1, services=2)
    fleet.processes["orders-0"].kill()
    address = fleet.caller_address("node-1")
    for index in range(6):
        status, body = call(address, "status", "where is it", f"status-{index}")
        assert status == 200, body
        assert len(_read_bills(fleet, f"status-{index}")) == 1


def test_a_billed_order_does_not_run_again_after_its_claim_expires(fleet):
    """Append a bill without a claim, as if the claim had expired."""
    fingerprint = hashlib.sha256(b'POST\0/path\0x=1\0"a liner"').hexdigest()[:32]
    bill = Bill("studio", "order-6", fingerprint, "node-9/1", 0, [], bill_id="bill-6")
    records = {"records": [dump_ledger_record(bill)]}
    call_json(fleet.log_address, "/v1/streams/ledger-0/records", records)
    address = fleet.caller_address("node-1")
    status, body = call(address, "place", "a liner", "order-6")
    assert (status, body["reason"], body["ran"]) == (409, "answer_not_kept", "yes")
    assert _count_runs(fleet, "order-6") == 0


@pytest.fixture
def own_fleet():
    """Yield a fleet without processes."""
    fleet = Fleet()
    try:
        yield fleet
    finally:
        fleet.close()


def test_a_failure_does_not_release_a_call_that_crashes_targets(own_fleet):
    fleet = _start(own_fleet)
    address = fleet.caller_address("node-1")
    call_json(fleet.processes["orders-0"].ready["address"], "/control/settings", {"status": 500})
    crashed = []
    for number in range(2 * CRASHES_MAX):
        name = f"crashing-{number}"
        fleet.add_target(name, "orders", "west", "west-1", "standins.service")
        process = fleet.processes[name].popen
        await_true(lambda: call(address, "status")[0] == 200, what="the target is in use")
        for _ in range(8):
            call(address, "status", f"{CRASH_MARKER} it")
        if process.poll() is not None:
            crashed.append(name)
        else:
            fleet.processes[name].kill()
    assert len(crashed) <= CRASHES_MAX
