"""Test budgets with node processes that spend, freeze, crash, restart and stop."""

import json
import threading
import urllib.request
from http.client import IncompleteRead

from bronzetiller.budgets.ledger import Ledger
from bronzetiller.budgets.records import load_ledger_record
from standins.fleet import call_json
from tests.conftest import KEY, await_ready, await_true, read_records, send_chat

PROMPT = "a"


def start_fleet(make_fleet, node_ids, tokens, engine=(), **settings):
    fleet = make_fleet()
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1", "--token-seconds", "0.0005", *engine)
    fleet.publish_workspace("studio", KEY, tokens)
    fleet.publish("route", "namer", {"service": "names", "template_tokens": 0})
    for node_id in node_ids:
        fleet.add_node(node_id, "west", "west-1", **settings)
    await_ready(fleet, *node_ids)
    return fleet


def count_billed_tokens(fleet):
    """Return the total of billed tokens, counting only the first bill for each request."""
    billed = {}
    for record in read_records(fleet, "bill"):
        billed.setdefault(record["request_id"], record["tokens"])
    return sum(billed.values())


def spend_until_refused(address, results):
    while True:
        status, body = send_chat(address, PROMPT, max_tokens=100)
        results.append((status, body.get("reason")))
        if status != 200:
            return


def test_four_nodes_drain_a_budget_to_less_than_one_request(make_fleet):
    node_ids = [f"node-{index}" for index in range(1, 5)]
    fleet = start_fleet(make_fleet, node_ids, 6_000)
    results = []
    threads = [
        threading.Thread(target=spend_until_refused, args=(fleet.caller_address(node_id), results))
        for node_id in node_ids
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refusals = [result for result in results if result[0] != 200]
    assert refusals == [(402, "budget_exhausted")] * 8, refusals
    billed = count_billed_tokens(fleet)
    worst_case_tokens = compute_worst_case_tokens()
    assert 6_000 - worst_case_tokens < billed <= 6_000, (billed, worst_case_tokens)


def compute_worst_case_tokens():
    body = b'{"model": "namer", "messages": [{"role": "user", "content": "a"}], "max_tokens": 100}'
    return len(body) + 8 + 100


def open_stream(address, tokens):
    """Send a streamed request in a thread; return the thread and the list to receive its body."""
    bodies = []
    body = {"model": "namer", "messages": [{"role": "user", "content": PROMPT}], "stream": True}
    request = urllib.request.Request(
        f"http://{address}/v1/chat/completions",
        json.dumps(body | {"max_tokens": tokens}).encode(),
        {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"},
    )

    def read():
        try:
            with urllib.request.urlopen(request, timeout=60) as response:
                bodies.append(response.read().decode())
        except IncompleteRead as error:  # a failed stream ends without its last chunk
            bodies.append(error.partial.decode())
        except OSError as error:
            bodies.append(repr(error))

    thread = threading.Thread(target=read)
    thread.start()
    return thread, bodies


def send_until_billed(fleet, node_id, tokens_least):
    """Send requests through a node until the bills reach a number of tokens."""
    address = fleet.caller_address(node_id)

    def spend():
        status, body = send_chat(address, PROMPT, max_tokens=100)
        assert status == 200 or body["reason"] == "budget_unconfirmed", body
        return count_billed_tokens(fleet) >= tokens_least

    await_true(spend, seconds=40, what=f"{tokens_least} billed tokens")


WHOLE_BUDGET_GRANTS = {
    "grant_tokens_min": 1_500,
    "grant_share_max": 1.0,
    "idle_return_seconds": 600.0,
}
SHORT_GRACE = {"gone_grace_seconds": 3.5}


def test_a_frozen_holder_cannot_spend_what_was_closed_meanwhile(make_fleet):
    node_ids = ("node-1", "node-2", "node-3")
    fleet = start_fleet(make_fleet, node_ids, 1_500, budgets=WHOLE_BUDGET_GRANTS, fleet=SHORT_GRACE)
    holder = fleet.caller_address("node-3")
    assert send_chat(holder, PROMPT, max_tokens=100)[0] == 200
    assert [grant["tokens"] for grant in read_records(fleet, "grant")] == [1_500]
    engine = fleet.vms["engine-1"]["address"]
    call_json(engine, "/control/settings", {"first_token_seconds": 3.0})
    thread, bodies = open_stream(holder, 100)
    await_true(lambda: count_open_requests(holder) == 1, what="an open request")
    fleet.processes["node-3"].freeze()
    listed = fleet.vms.pop("node-3")
    fleet.publish_vms()
    await_true(lambda: read_records(fleet, "close"), what="the close of the grant")
    call_json(engine, "/control/settings", {"first_token_seconds": 0.0})
    send_until_billed(fleet, "node-1", 1_500 - compute_worst_case_tokens())

    fleet.processes["node-3"].thaw()
    thread.join()
    assert "bill_void" in bodies[0] and "[DONE]" not in bodies[0], bodies
    fleet.vms["node-3"] = listed
    fleet.publish_vms()
    assert send_chat(holder, PROMPT, max_tokens=100)[1]["reason"] == "budget_exhausted"
    assert count_accepted_tokens(fleet) <= 1_500


def test_the_grant_of_a_killed_node_serves_others(make_fleet):
    fleet = start_fleet(
        make_fleet, ("node-1", "node-2"), 1_500, budgets=WHOLE_BUDGET_GRANTS, fleet=SHORT_GRACE
    )
    response = send_chat(fleet.caller_address("node-2"), PROMPT, max_tokens=100)
    assert response[0] == 200, response
    fleet.processes["node-2"].kill()
    fleet.vms.pop("node-2")
    fleet.publish_vms()
    send_until_billed(fleet, "node-1", 600)
    assert count_accepted_tokens(fleet) <= 1_500


def count_open_requests(address):
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=10) as response:
        text = response.read().decode()
    return float(text.partition("\nbronzetiller_open_requests ")[2].split()[0])


def count_accepted_tokens(fleet):
    """Apply the ledger stream to a new ledger; return the billed tokens of the workspace."""
    ledger = Ledger()
    for entry in fleet.read_stream("ledger-0"):
        record = load_ledger_record(entry["record"])
        ledger.apply(entry["at"], record.ok_value)
    return ledger.budgets["studio"].billed


def send_with_fault(fleet, fault, count):
    """Send requests to a faulty engine; return for each the refusal's reason, or None."""
    engine = fleet.vms["engine-1"]["address"]
    call_json(engine, "/control/settings", {"faults": [fault]})
    reasons = []
    for _ in range(count):
        status, body = send_chat(fleet.caller_address("node-1"), PROMPT, max_tokens=100)
        if status == 200:
            assert len(body["choices"][0]["message"]["content"].split()) <= 100
        reasons.append(body.get("reason"))
    return reasons


def test_an_engine_that_misreports_usage_or_ignores_the_limit_cannot_overspend(make_fleet):
    fleet = start_fleet(make_fleet, ["node-1"], 2_000)
    # A negative usage is malformed, so there is no complete response to bill.
    assert send_with_fault(fleet, "report-negative", 4) == ["target_failed"] * 4
    assert read_records(fleet, "bill") == []
    assert send_with_fault(fleet, "ignore-cap", 4) == [None] * 4
    reasons = send_with_fault(fleet, "report-high", 12)
    assert set(reasons) == {None, "budget_exhausted"}, reasons
    for record in read_records(fleet, "bill"):
        assert 0 <= record["tokens"] <= compute_worst_case_tokens()
        assert all(charge["tokens"] > 0 for charge in record["charges"]), record
    assert count_accepted_tokens(fleet) <= 2_000


def test_a_restarted_node_regains_the_tokens_of_its_last_incarnation(make_fleet):
    fleet = start_fleet(make_fleet, ("node-1", "node-2"), 1_500, budgets=WHOLE_BUDGET_GRANTS)
    response = send_chat(fleet.caller_address("node-2"), PROMPT, max_tokens=100)
    assert response[0] == 200, response
    fleet.processes["node-2"].kill()
    fleet.add_node("node-2", "west", "west-1", budgets=WHOLE_BUDGET_GRANTS)
    await_ready(fleet, "node-2")
    send_until_billed(fleet, "node-2", 600)
    assert count_accepted_tokens(fleet) <= 1_500


def test_a_stopping_node_leaves_its_tokens_to_others(make_fleet):
    limits = {"entry_seconds": 0.5}
    fleet = start_fleet(
        make_fleet, ("node-1", "node-2"), 1_500, budgets=WHOLE_BUDGET_GRANTS, limits=limits
    )
    assert send_chat(fleet.caller_address("node-2"), PROMPT, max_tokens=100)[0] == 200
    fleet.processes["node-2"].stop()
    await_true(lambda: fleet.processes["node-2"].popen.poll() is not None, what="the end")
    assert [record["tokens"] for record in read_records(fleet, "return")] == [1_399]
    assert send_chat(fleet.caller_address("node-1"), PROMPT, max_tokens=100)[0] == 200
    assert read_records(fleet, "close") == []
