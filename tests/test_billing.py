"""Test that each request is billed once while routers are killed, callers retry or logs fail."""

import http.client
import json
import threading

import pytest

from bronzetiller.budgets.ledger import RERUNS_MAX, Ledger, Verdict
from bronzetiller.budgets.records import Bill, load_ledger_record
from standins.engine import make_words
from standins.fleet import Fleet, call_json
from tests.conftest import KEY, await_ready, await_true, count_peers, send_chat

SLOW = {"token_seconds": 0.02, "first_token_seconds": 0.1}
QUICK = {"confirm_seconds": 1.5, "copy_after_seconds": 0.1}
WORDS = 30


def _start(fleet, nodes=3):
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1")
    for index in range(1, nodes + 1):
        _add_node(fleet, f"node-{index}")
    fleet.publish_workspace("studio", KEY, 1_000_000)
    fleet.publish("route", "namer", {"service": "names"})
    for index in range(1, nodes + 1):
        _warm_up(fleet, f"node-{index}")
    return fleet


def _warm_up(fleet, node_id):
    address = fleet.caller_address(node_id)
    await_ready(fleet, node_id)
    await_true(lambda: send_chat(address)[0] == 200, what="a first response")


def _add_node(fleet, node_id):
    data_centre = f"west-{int(node_id[-1]) % 2 + 1}"
    limits = {"entry_seconds": 0.5}
    membership = {"silence_seconds": 1.0}
    fleet.add_node(node_id, "west", data_centre, requests=QUICK, limits=limits, fleet=membership)


def _set_log(fleet, **faults):
    call_json(fleet.log_address, "/control/faults", faults)


def _set_engine(fleet, **settings):
    call_json(fleet.processes["engine-1"].ready["address"], "/control/settings", settings)


def _open_stream(address, prompt, request_id):
    """Send a streamed request; return the connection, whose response is not read yet."""
    ip, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    body = {
        "model": "namer",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": WORDS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": request_id}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    return connection


def _read_text(connection):
    """Return the text of a streamed response; it must end with [DONE]."""
    data = connection.getresponse().read().decode()
    events = [line[len("data: ") :] for line in data.splitlines() if line.startswith("data: ")]
    assert events[-1] == "[DONE]", events[-1]
    chunks = [json.loads(event) for event in events[:-1]]
    return "".join(
        choice["delta"].get("content", "") for chunk in chunks for choice in chunk["choices"]
    )


def _send_prompt(address, prompt, request_id):
    status, body = send_chat(address, prompt, request_id=request_id, max_tokens=WORDS)
    return status, body if status != 200 else body["choices"][0]["message"]["content"]


def _count_accepted(fleet, request_id):
    """Apply the ledger as nodes do; return how many bills of a request id were accepted."""
    ledger = Ledger()
    accepted = []
    for entry in fleet.read_stream("ledger-0"):
        record = load_ledger_record(entry["record"]).unwrap()
        result = ledger.apply(entry["at"], record)
        if isinstance(record, Bill) and record.request_id == request_id:
            accepted.append(result.verdict is Verdict.ACCEPTED)
    return sum(accepted)


@pytest.fixture(scope="module")
def shared_fleet():
    fleet = Fleet()
    try:
        yield _start(fleet)
    finally:
        fleet.close()


@pytest.fixture
def fleet(shared_fleet):
    """Return a fleet of three nodes with tokens, whose log and engine have no faults."""
    for node_id in ("node-1", "node-2", "node-3"):
        if shared_fleet.processes[node_id].popen.poll() is not None:
            _add_node(shared_fleet, node_id)
            _warm_up(shared_fleet, node_id)
    yield shared_fleet
    _set_log(shared_fleet)
    _set_engine(shared_fleet, first_token_seconds=0.02, token_seconds=0.005)


MOMENTS = ("before the first token", "during the response", "between the response and its bill")


@pytest.mark.parametrize("moment", MOMENTS)
def test_a_request_whose_router_is_killed_completes_elsewhere_and_is_billed_once(fleet, moment):
    key = f"key {moment}"
    _set_engine(fleet, **SLOW)
    if moment == MOMENTS[2]:
        _set_log(fleet, delay_seconds=0.5)
    connection = _open_stream(fleet.caller_address("node-1"), "brief", key)
    engine = fleet.processes["engine-1"].ready["address"]
    await_true(lambda: call_json(engine, "/v1/load")["running"])
    if moment == MOMENTS[1]:
        connection.getresponse().readline()
    if moment == MOMENTS[2]:
        await_true(lambda: call_json(fleet.log_address, "/control/counts")["delayed_appends"])
    fleet.processes["node-1"].kill()
    _set_log(fleet)
    for _ in range(2):
        retry = _open_stream(fleet.caller_address("node-2"), "brief", key)
        assert _read_text(retry) == "".join(make_words("brief", WORDS))
    assert _count_accepted(fleet, key) == 1


def test_peers_append_the_bill_of_a_router_killed_while_the_log_is_down(fleet):
    _set_log(fleet, down=True)
    expected = "".join(make_words("brief", WORDS))
    assert _send_prompt(fleet.caller_address("node-1"), "brief", "key-2") == (200, expected)
    fleet.processes["node-1"].kill()
    _set_log(fleet)
    await_true(lambda: _count_accepted(fleet, "key-2") == 1, what="the bill from a peer")
    assert _send_prompt(fleet.caller_address("node-3"), "brief", "key-2") == (200, expected)
    assert _count_accepted(fleet, "key-2") == 1


def test_a_stopping_router_transfers_its_bills_to_peers_while_the_log_is_down(fleet):
    _set_log(fleet, down=True)
    assert _send_prompt(fleet.caller_address("node-1"), "brief", "key-3")[0] == 200
    for node_id in ("node-1", "node-2"):
        process = fleet.processes[node_id]
        process.stop()
        await_true(lambda process=process: process.popen.poll() == 0, what="the end of a router")
    _set_log(fleet)
    await_true(lambda: _count_accepted(fleet, "key-3") == 1, what="the bill from a peer")


def test_appends_with_lost_responses_and_sends_to_two_routers_make_one_bill(fleet):
    _set_log(fleet, drop_answers=3)
    results = []

    def send(node_id):
        results.append(_send_prompt(fleet.caller_address(node_id), "brief", "key-4"))

    threads = [threading.Thread(target=send, args=(f"node-{i}",)) for i in (1, 2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    expected = "".join(make_words("brief", WORDS))
    assert results == [(200, expected)] * 2
    await_true(lambda: _count_accepted(fleet, "key-4") == 1, what="the bill")


def test_a_caller_that_disconnects_mid_response_is_billed_once_and_may_retry(fleet):
    _set_engine(fleet, **SLOW)
    connection = _open_stream(fleet.caller_address("node-1"), "brief", "key-5")
    connection.getresponse().readline()
    connection.close()
    await_true(lambda: _count_accepted(fleet, "key-5") == 1, what="the bill of the response")
    retry = _open_stream(fleet.caller_address("node-2"), "brief", "key-5")
    assert _read_text(retry) == "".join(make_words("brief", WORDS))
    assert _count_accepted(fleet, "key-5") == 1


def test_a_billed_key_allows_a_limited_number_of_reruns_and_no_other_body(fleet):
    first, second = fleet.caller_address("node-1"), fleet.caller_address("node-2")
    assert _send_prompt(first, "brief", "key-6")[0] == 200
    await_true(lambda: _send_prompt(second, "other", "key-6")[0] == 422, what="the refusal")
    for _ in range(RERUNS_MAX):
        assert _send_prompt(second, "brief", "key-6")[0] == 200
    status, body = _send_prompt(second, "brief", "key-6")
    assert (status, body["reason"], body["ran"]) == (409, "reruns_spent", "yes")
    assert _count_accepted(fleet, "key-6") == 1


def test_a_router_that_cannot_confirm_bills_reports_it_and_refuses_new_requests(make_fleet):
    fleet = _start(make_fleet(), nodes=1)
    address = fleet.caller_address("node-1")
    _set_engine(fleet, first_token_seconds=0.5)
    responses = []
    sender = threading.Thread(
        target=lambda: responses.append(_send_prompt(address, "brief", "key-7"))
    )
    sender.start()
    engine = fleet.processes["engine-1"].ready["address"]
    await_true(lambda: call_json(engine, "/v1/load")["running"])
    _set_log(fleet, down=True)
    sender.join()
    status, body = responses[0]
    assert (status, body["reason"], body["ran"]) == (503, "bill_unconfirmed", "yes")
    status, body = _send_prompt(address, "another", "key-8")
    assert (status, body["reason"], body["ran"]) == (503, "bill_unconfirmed", "no")
    _set_log(fleet)
    expected = "".join(make_words("brief", WORDS))
    await_true(lambda: _send_prompt(address, "brief", "key-7") == (200, expected))
    assert _count_accepted(fleet, "key-7") == 1


def test_a_region_cut_off_with_two_routers_goes_on_and_loses_no_bill(make_fleet):
    fleet = make_fleet(with_links=True)
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "east", "east-1")
    for node_id, region in (("n-1", "west"), ("n-2", "west"), ("n-3", "east"), ("n-4", "east")):
        fleet.add_node(node_id, region, f"{region}-1", requests=QUICK)
    fleet.publish_workspace("studio", KEY, 1_000_000)
    fleet.publish("route", "namer", {"service": "names"})
    for node_id in ("n-3", "n-4"):
        _warm_up(fleet, node_id)
    expected = "".join(make_words("brief", WORDS))
    address = fleet.caller_address("n-3")
    for node_id in ("n-3", "n-4"):
        peer = fleet.caller_address(node_id)
        await_true(lambda peer=peer: count_peers(peer) == 3, what=f"the peers of {node_id}")
    fleet.partition({"east-1"})
    await_true(
        lambda: _send_prompt(address, "brief", "key-9") == (200, expected), what="a response"
    )
    assert _count_accepted(fleet, "key-9") == 0
    fleet.processes["n-3"].kill()
    fleet.heal()
    await_true(lambda: _count_accepted(fleet, "key-9") == 1, what="the bill from the peer")
