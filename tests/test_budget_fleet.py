"""Keep budgets with real processes that drain, freeze, die and misreport."""

import threading

from tests.conftest import KEY, await_ready, read_records, send_chat

PROMPT = "a"


def start_fleet(make_fleet, node_ids, tokens, engine=(), budgets=None, **options):
    fleet = make_fleet(**options)
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1", "--token-seconds", "0.0005", *engine)
    for node_id in node_ids:
        fleet.add_node(node_id, "west", "west-1", budgets=budgets or {})
    fleet.publish_workspace("studio", KEY, tokens)
    fleet.publish("route", "namer", {"service": "names", "template_tokens": 0})
    await_ready(fleet, *node_ids)
    return fleet


def count_billed(fleet):
    """Return the billed tokens by request; of several bills for one request the first counts."""
    billed = {}
    for record in read_records(fleet, "bill"):
        billed.setdefault(record["request_id"], record["tokens"])
    return sum(billed.values())


def drain(address, results):
    while True:
        status, body = send_chat(address, PROMPT, max_tokens=100)
        results.append((status, body.get("reason")))
        if status != 200:
            return


def test_four_nodes_drain_a_budget_to_less_than_one_request(make_fleet):
    node_ids = [f"node-{index}" for index in range(1, 5)]
    fleet = start_fleet(make_fleet, node_ids, 12_000)
    results = []
    threads = [
        threading.Thread(target=drain, args=(fleet.caller_address(node_id), results))
        for node_id in node_ids
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    refusals = [result for result in results if result[0] != 200]
    assert refusals == [(402, "budget_exhausted")] * 8, refusals
    billed = count_billed(fleet)
    worst = read_worst_case()
    assert 12_000 - worst < billed <= 12_000, (billed, worst)


def read_worst_case():
    body = b'{"model": "namer", "messages": [{"role": "user", "content": "a"}], "max_tokens": 100}'
    return len(body) + 8 + 100
