"""Test a network partition of a region and its recovery."""

from standins.fleet import call_json
from tests.conftest import KEY, await_ready, await_true, send_chat


def test_a_region_serves_again_after_a_partition(make_fleet):
    fleet = make_fleet(with_links=True)
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1")
    fleet.add_target("engine-2", "names", "east", "east-1")
    fleet.add_node("node-1", "west", "west-1")
    fleet.add_node("node-2", "east", "east-1")
    fleet.publish_workspace("studio", KEY, 100_000)
    fleet.publish("route", "namer", {"service": "names"})
    await_ready(fleet, "node-1", "node-2")
    east = fleet.caller_address("node-2")
    await_true(lambda: send_chat(east)[0] == 200, what="a response in the east")

    fleet.partition({"east-1"})
    status, body = send_chat(fleet.caller_address("node-1"))
    assert status == 200, body
    fleet.heal()
    await_true(lambda: send_chat(east)[0] == 200, what="a response in the east after the partition")
    assert call_json(east, "/readyz")["ready"]
