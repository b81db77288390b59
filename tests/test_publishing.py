"""Test publishing to real nodes with concurrent publishers, lost responses and slow links."""

import urllib.request

from bronzetiller.digests import digest_key
from standins.fleet import OPERATOR_TOKEN, call_json
from tests.conftest import KEY, await_ready, await_true, send_chat
from tests.operators import (
    DIGEST,
    declare,
    declare_studio,
    make_connection_options,
    run_command,
    run_json_command,
    start_command,
    write_tree,
)


def start_fleet(make_fleet, nodes=("node-1", "node-2"), **options):
    fleet = make_fleet(**options)
    fleet.start_platform()
    for index, node_id in enumerate(nodes):
        data_centre = "west-1" if index == 0 else "east-1"
        fleet.add_node(node_id, data_centre.partition("-")[0], data_centre)
    await_listed(fleet, *nodes)
    return fleet


def await_listed(fleet, *nodes):
    """Wait until the nodes are ready and the first one lists all; the list of VMs lags behind."""

    def list_live():
        listed = read_report(fleet, nodes[0])["nodes"]
        return sorted(item["node_id"] for item in listed if item["state"] == "live")

    await_ready(fleet, *nodes)
    await_true(lambda: list_live() == sorted(nodes), what="the complete list of nodes")


def read_report(fleet, node_id, from_offset=0):
    path = f"/v1/report?from={from_offset}"
    return call_json(fleet.caller_address(node_id), path, token=OPERATOR_TOKEN)


def read_metrics(fleet, node_id):
    with urllib.request.urlopen(f"http://{fleet.caller_address(node_id)}/metrics") as response:
        return response.read().decode()


def read_item(fleet, node_id, kind, name):
    items = call_json(fleet.caller_address(node_id), "/v1/configuration", token=OPERATOR_TOKEN)
    return next((item for item in items if (item["kind"], item["name"]) == (kind, name)), None)


def test_a_published_tree_is_in_force_on_every_node(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet)
    tree = write_tree(
        tmp_path / "tree",
        declare_studio(digest_key(KEY)),
        declare("top-up", "studio-1", workspace="studio", tokens=50_000),
        declare("route", "namer", schema=2, service="names", workspaces=["studio"]),
    )
    fleet.add_target("engine-1", "names", "west", "west-1")

    code, output = run_command("plan", tree, *make_connection_options(fleet, "node-1"))
    assert code == 0 and "3 to publish, 0 unchanged" in output, output
    code, output = run_command("publish", tree, *make_connection_options(fleet, "node-1"))
    assert code == 0 and output.count("in force on every listed node") == 3, output
    for node_id in ("node-1", "node-2"):
        address = fleet.caller_address(node_id)
        await_true(lambda address=address: send_chat(address)[0] == 200, what="a response")
    code, output = run_command("publish", tree, *make_connection_options(fleet, "node-2"))
    assert code == 0 and "0 to publish, 3 unchanged" in output, output

    code, budget = run_json_command(fleet, "budget", "studio")
    assert code == 0
    assert budget["credited"] == 50_000 == budget["free"] + budget["held"] + budget["billed"]
    assert sum(budget["held_by_node"].values()) == budget["held"]
    code, bills = run_json_command(fleet, "bills", "studio")
    assert sum(bill["tokens"] for bill in bills) == budget["billed"] > 0
    code, output = run_command("report", *make_connection_options(fleet, "node-1"))
    assert code == 0 and output.count("everywhere") == 3, output

    smaller = write_tree(tmp_path / "smaller", declare_studio(digest_key(KEY)))
    code, output = run_command("publish", smaller, *make_connection_options(fleet, "node-1"))
    assert code == 0 and "undeclared route namer" in output, output
    assert send_chat(fleet.caller_address("node-2"))[0] == 200
    code, output = run_command(
        "publish", smaller, *make_connection_options(fleet, "node-1"), "--prune"
    )
    assert code == 0 and "route namer: accepted at offset 3, in force" in output, output
    assert "undeclared top-up studio-1" in output
    assert send_chat(fleet.caller_address("node-2"))[0] == 404


def test_one_of_two_concurrent_publishers_is_rejected_with_the_reason(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet)
    write_tree(tmp_path / "anna", declare_studio(weight=2))
    write_tree(tmp_path / "bert", declare_studio(weight=3))
    # The log is down until both publishers have planned.
    call_json(fleet.log_address, "/control/faults", {"down": True}, "PUT")
    authors = ["anna", "bert"]
    processes = [
        start_command(
            "publish",
            tmp_path / author,
            *make_connection_options(fleet, "node-1", "node-2"),
            "--author",
            author,
        )
        for author in authors
    ]
    assert all("create workspace studio" in process.stdout.readline() for process in processes)
    call_json(fleet.log_address, "/control/faults", {"down": False}, "PUT")
    outputs = [process.communicate(timeout=60)[0] for process in processes]
    codes = [process.returncode for process in processes]
    assert sorted(codes) == [0, 1], outputs
    winner, loser = codes.index(0), codes.index(1)
    decisions = read_report(fleet, "node-2")["decisions"]
    accepted = [item for item in decisions if item["accepted"]]
    assert [item["author"] for item in accepted] == [authors[winner]]
    offset = accepted[0]["offset"]
    assert f"newest record is at offset {offset} by {authors[winner]}" in outputs[loser]
    body = read_item(fleet, "node-1", "workspace", "studio")["body"]
    assert body["weight"] == [2, 3][winner]


def test_a_lost_append_response_does_not_fail_the_publish(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet, nodes=("node-1",))
    tree = write_tree(tmp_path / "tree", declare_studio())
    call_json(fleet.log_address, "/control/faults", {"drop_answers": 1}, "PUT")
    code, output = run_command("publish", tree, *make_connection_options(fleet, "node-1"))
    assert code == 0 and "in force on every listed node" in output, output
    assert sum(item["accepted"] for item in read_report(fleet, "node-1")["decisions"]) == 1


def test_retried_appends_are_accepted_exactly_once(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet, nodes=("node-1",), with_links=True)
    tree = write_tree(tmp_path / "tree", declare_studio())
    # The node cannot read the log, so the command gets no confirmation of its append.
    fleet.set_fault(lambda source, destination: destination == "log", cut=True)
    call_json(fleet.log_address, "/control/faults", {"drop_answers": 1_000}, "PUT")
    process = start_command("publish", tree, *make_connection_options(fleet, "node-1"))
    await_true(lambda: len(fleet.read_stream("configuration")) >= 3, what="repeated appends")
    fleet.heal()
    output, _ = process.communicate(timeout=60)
    assert process.returncode == 0 and "in force on every listed node" in output, output
    decisions = read_report(fleet, "node-1")["decisions"]
    assert len(decisions) >= 3
    assert [item["accepted"] for item in decisions].count(True) == 1
    assert len({item["record_id"] for item in decisions}) == 1


def test_an_unresponsive_log_is_distinguished_from_a_refusal(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet, nodes=("node-1",))
    tree = write_tree(tmp_path / "tree", declare_studio())
    call_json(fleet.log_address, "/control/faults", {"down": True}, "PUT")
    options = make_connection_options(fleet, "node-1")
    code, output = run_command("publish", tree, *options, "--wait-seconds", "1")
    assert code == 3 and "publish again to find out" in output, output
    call_json(fleet.log_address, "/control/faults", {"down": False}, "PUT")
    code, output = run_command("publish", tree, *options)
    assert code == 0 and "in force on every listed node" in output, output


def test_publish_reports_nodes_where_a_record_is_not_yet_in_force(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet, with_links=True)
    tree = write_tree(tmp_path / "tree", declare_studio())
    fleet.partition({"east-1"})
    options = [*make_connection_options(fleet, "node-1"), "--wait-seconds", "3"]
    code, output = run_command("publish", tree, *options)
    assert code == 1 and "not yet on node-2" in output, output
    fleet.heal()
    await_true(lambda: read_item(fleet, "node-2", "workspace", "studio"), what="the record")
    assert read_item(fleet, "node-2", "workspace", "studio")["body"]["key_digests"] == [DIGEST]


def test_a_node_behind_a_slow_link_gets_the_configuration_within_seconds(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet, with_links=True)
    slow = {"delay_seconds": 0.2, "bytes_per_second": 20_000}
    fleet.set_fault(lambda source, destination: source == "node-2", **slow)
    tree = write_tree(tmp_path / "tree", declare_studio())
    options = [*make_connection_options(fleet, "node-1"), "--wait-seconds", "9"]
    code, output = run_command("publish", tree, *options)
    assert code == 0 and "in force on every listed node" in output, output
    assert read_item(fleet, "node-2", "workspace", "studio") is not None, output


def test_a_disabled_workspace_or_removed_key_is_refused_by_every_node(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet)
    fleet.add_target("engine-1", "names", "west", "west-1")
    top_up = declare("top-up", "studio-1", workspace="studio", tokens=50_000)
    route = declare("route", "namer", service="names")
    digests = {"key_digests": [digest_key(KEY), digest_key("second-key")]}

    def publish(**spec):
        studio = declare("workspace", "studio", **spec)
        tree = write_tree(tmp_path / "tree", studio, top_up, route)
        code, output = run_command("publish", tree, *make_connection_options(fleet, "node-1"))
        assert code == 0, output

    def send_to_every_node(key):
        nodes = ("node-1", "node-2")
        return [send_chat(fleet.caller_address(node_id), key=key)[0] for node_id in nodes]

    publish(**digests)
    await_true(
        lambda: send_to_every_node(KEY) == send_to_every_node("second-key") == [200, 200],
        what="responses",
    )
    publish(key_digests=[digest_key("second-key")])
    assert send_to_every_node(KEY) == [401, 401]
    assert send_to_every_node("second-key") == [200, 200]
    publish(key_digests=[digest_key("second-key")], enabled=False)
    assert send_to_every_node("second-key") == [401, 401]


def test_a_node_with_an_older_schema_keeps_the_last_readable_record(make_fleet, tmp_path):
    fleet = start_fleet(make_fleet, nodes=("node-1",))
    older = {"configuration": {"schemas_understood": [1]}}
    fleet.add_node("node-2", "east", "east-1", **older)
    await_listed(fleet, "node-1", "node-2")
    fleet.add_target("engine-1", "names", "west", "west-1", "--token-seconds", "0.001")
    studio = declare_studio(digest_key(KEY))
    top_up = declare("top-up", "studio-1", workspace="studio", tokens=100_000)

    def count_tokens(node_id):
        status, body = send_chat(fleet.caller_address(node_id), max_tokens=300)
        return body["usage"]["completion_tokens"] if status == 200 else None

    first = declare("route", "namer", service="names", answer_tokens_max=100)
    second = declare(
        "route", "namer", schema=2, service="names", answer_tokens_max=200, workspaces=["studio"]
    )
    code, output = run_command(
        "publish",
        write_tree(tmp_path / "one", studio, top_up, first),
        *make_connection_options(fleet, "node-1"),
    )
    assert code == 0, output
    await_true(lambda: count_tokens("node-2") == 100, what="a response")
    code, output = run_command(
        "publish",
        write_tree(tmp_path / "two", studio, top_up, second),
        *make_connection_options(fleet, "node-1"),
    )
    assert code == 1 and "older form kept on node-2" in output, output

    assert [count_tokens("node-1"), count_tokens("node-2")] == [200, 100]
    assert "bronzetiller_unread_items 1.0" in read_metrics(fleet, "node-2")
    assert 'decisions_total{verdict="unread"} 1.0' in read_metrics(fleet, "node-2")
    unread = read_report(fleet, "node-2")["unread"]
    assert [(item["name"], item["in_force_revision"]) for item in unread] == [("namer", 2)]
    # Replace the node by one that supports only schema 1, then by one that supports both.
    fleet.processes["node-2"].kill()
    fleet.add_node("node-2", "east", "east-1", **older)
    await_ready(fleet, "node-2")
    assert read_report(fleet, "node-2")["unread"] == unread
    await_true(lambda: count_tokens("node-2") == 100, what="a response")
    fleet.processes["node-2"].kill()
    fleet.add_node("node-2", "east", "east-1")
    await_ready(fleet, "node-2")
    await_true(lambda: count_tokens("node-2") == 200, what="a response")


def test_a_workspace_key_can_read_only_its_own_budget(make_fleet):
    fleet = start_fleet(make_fleet, nodes=("node-1",))
    fleet.publish_workspace("studio", KEY, 1_000)
    fleet.publish_workspace("rival", "rival-key", 2_000)
    address = fleet.caller_address("node-1")

    def get_json_or_status(path, token):
        try:
            return call_json(address, path, token=token)
        except OSError as error:
            return error.code

    await_true(lambda: get_json_or_status("/v1/budget", KEY) not in (401, 404), what="the budget")
    assert get_json_or_status("/v1/budget", KEY)["credited"] == 1_000
    assert get_json_or_status("/v1/budget?workspace=rival", KEY) == 403
    assert get_json_or_status("/v1/bills?workspace=rival", KEY) == 403
    assert get_json_or_status("/v1/report", KEY) == 401
    assert get_json_or_status("/v1/configuration", "") == 401
    assert get_json_or_status("/v1/budget?workspace=rival", OPERATOR_TOKEN)["credited"] == 2_000


def test_commands_distinguish_bad_input_from_an_unreachable_fleet(tmp_path):
    tree = write_tree(tmp_path / "tree", declare_studio())
    unreachable = ["--node=127.0.0.1:1", "--log=127.0.0.1:1"]
    assert run_command("publish", tree, *unreachable)[0] == 3
    assert run_command("report", *unreachable)[0] == 3
    assert run_command("report")[0] == 2
    wrong = write_tree(tmp_path / "wrong", declare("workspace", "studio", weight="2"))
    code, output = run_command("publish", wrong, *unreachable)
    assert code == 2 and "tree.yaml:5: spec.weight: must be a whole number" in output, output
