"""Call plain services through the fleet, whole, billed once and run at most once."""

import contextlib
import hashlib
import threading

import pytest

from bronzetiller.budgets.records import Bill, dump_ledger_record
from standins.fleet import Fleet, call_json
from tests.conftest import KEY, await_ready, await_true, read_records, send

QUICK = {"claim_seconds": 1.0, "dispatch_seconds": 1.5, "claim_wait_seconds": 4.0}
FLEET = {"gone_grace_seconds": 1.0}


def _start(fleet, nodes=2, services=1, **settings):
    fleet.start_platform()
    for index in range(services):
        fleet.add_target(f"orders-{index}", "orders", "west", "west-1", "standins.service")
    for index in range(1, nodes + 1):
        fleet.add_node(f"node-{index}", "west", "west-1", requests=QUICK | settings, fleet=FLEET)
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
    """Return the bills that count: the first with each bill id."""
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


def test_a_call_is_run_and_billed_once_and_its_answer_replayed_at_any_node(fleet):
    first = call(fleet.caller_address("node-1"), "place", "a liner", "order-1")
    assert first[0] == 200 and first[1]["path"] == "/path", first
    for node_id in ("node-1", "node-2"):
        assert call(fleet.caller_address(node_id), "place", "a liner", "order-1") == first
    assert _count_runs(fleet, "order-1") == 1
    assert [bill["tokens"] for bill in _read_bills(fleet, "order-1").values()] == [1]

    status, body = call(fleet.caller_address("node-2"), "place", "two liners", "order-1")
    assert (status, body["reason"]) == (422, "idempotency_key_reused")
    assert _count_runs(fleet, "order-1") == 1


def test_sends_of_one_order_to_two_nodes_at_once_run_it_once(fleet):
    answers = {}

    def place(node_id, key):
        answers[node_id, key] = call(fleet.caller_address(node_id), "place", "a liner", key)

    keys = [f"race-{index}" for index in range(5)]
    sends = [(node_id, key) for key in keys for node_id in ("node-1", "node-2")]
    threads = [threading.Thread(target=place, args=item) for item in sends]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for key in keys:
        assert answers["node-1", key][0] == 200, answers["node-1", key]
        assert answers["node-1", key] == answers["node-2", key]
        assert _count_runs(fleet, key) == 1
        assert len(_read_bills(fleet, key)) == 1


def test_a_claim_whose_answer_was_lost_still_lets_the_order_run_once(fleet):
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


def test_an_order_is_refused_while_the_log_is_down_and_runs_once_after(fleet):
    call_json(fleet.log_address, "/control/faults", {"down": True})
    status, body = call(fleet.caller_address("node-1"), "place", "a liner", "order-3")
    assert (status, body["reason"]) == (503, "claim_unavailable")
    assert body["ran"] != "yes" and _count_runs(fleet, "order-3") == 0
    call_json(fleet.log_address, "/control/faults", {})
    address = fleet.caller_address("node-2")
    await_true(lambda: call(address, "place", "a liner", "order-3")[0] == 200)
    assert _count_runs(fleet, "order-3") == 1


MOMENTS = ("claim under way", "running", "outcome under way")


@pytest.mark.parametrize("moment", MOMENTS)
def test_an_order_whose_node_is_killed_is_run_at_most_once(make_fleet, moment):
    """Kill the node at each step and let the caller come back elsewhere for a while."""
    fleet = _start(make_fleet())
    _set_service_seconds(fleet, 60.0 if moment == "running" else 0.4)
    killed, address = fleet.caller_address("node-1"), fleet.caller_address("node-2")

    def place():
        with contextlib.suppress(OSError):
            call(killed, "place", "a liner", "order-4")

    if moment == "claim under way":
        call_json(fleet.log_address, "/control/faults", {"delay_seconds": 0.7})
    sender = threading.Thread(target=place)
    sender.start()
    if moment != "claim under way":
        await_true(lambda: _count_runs(fleet, "order-4") == 1, what="the run")
    if moment == "outcome under way":
        call_json(fleet.log_address, "/control/faults", {"delay_seconds": 0.7})
    if moment != "running":
        await_true(lambda: call_json(fleet.log_address, "/control/counts")["delayed_appends"])
    fleet.processes["node-1"].kill()
    sender.join()
    call_json(fleet.log_address, "/control/faults", {})
    await_true(lambda: read_records(fleet, "claim"), what="the claim in the log")
    del fleet.vms["node-1"]
    fleet.publish_vms()
    told = []

    def is_settled():
        told.append(call(address, "place", "a liner", "order-4"))
        return told[-1][0] == 200 or told[-1][1]["reason"] == "outcome_unknown"

    await_true(is_settled, what="a final answer")
    runs = _count_runs(fleet, "order-4")
    assert runs == (0 if moment == "claim under way" else 1)
    assert len(_read_bills(fleet, "order-4")) == (1 if moment == "outcome under way" else 0)
    assert (told[-1][0] == 200) == (moment == "outcome under way"), told[-1]
    assert all(body.get("ran") != "no" for _, body in told), told


def test_a_node_frozen_until_its_claim_was_given_up_does_not_dispatch(make_fleet):
    """Freeze the node between its claim and the first byte to the service."""
    fleet = _start(make_fleet(), claim_seconds=60.0)
    call_json(fleet.log_address, "/control/faults", {"delay_seconds": 0.7})
    frozen, address = fleet.caller_address("node-1"), fleet.caller_address("node-2")
    told = {}
    sender = threading.Thread(
        target=lambda: told.update(node_1=call(frozen, "place", "a liner", "order-5"))
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
        what="the verdict that the holder of the claim is gone",
    )
    fleet.processes["node-1"].thaw()
    sender.join()
    assert told["node_1"][1].get("ran") == "no", told
    assert _count_runs(fleet, "order-5") == 0
    await_true(lambda: call(address, "place", "a liner", "order-5")[0] == 200)
    assert _count_runs(fleet, "order-5") == 1


def test_a_status_lookup_is_repeated_on_another_target(make_fleet):
    fleet = _start(make_fleet(), nodes=1, services=2)
    fleet.processes["orders-0"].kill()
    address = fleet.caller_address("node-1")
    for index in range(6):
        status, body = call(address, "status", "where is it", f"status-{index}")
        assert status == 200, body
        assert len(_read_bills(fleet, f"status-{index}")) == 1


def test_a_billed_order_is_not_run_again_once_its_claim_is_forgotten(fleet):
    """Have the ledger know a bill whose claim the log no longer tells of."""
    fingerprint = hashlib.sha256(b'POST\0/path\0x=1\0"a liner"').hexdigest()[:32]
    bill = Bill("studio", "order-6", fingerprint, "node-9/1", 0, [], bill_id="bill-6")
    records = {"records": [dump_ledger_record(bill)]}
    call_json(fleet.log_address, "/v1/streams/ledger-0/records", records)
    address = fleet.caller_address("node-1")
    status, body = call(address, "place", "a liner", "order-6")
    assert (status, body["reason"], body["ran"]) == (409, "answer_not_kept", "yes")
    assert _count_runs(fleet, "order-6") == 0
