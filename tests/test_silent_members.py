"""Test which members count as alive after an outage of the store."""

from tests.test_gateway_relay import Fleet, list_ids


def test_members_that_fell_silent_long_ago_do_not_come_back_after_an_outage_of_the_store():
    fleet = Fleet()
    node, other = fleet.start("node"), fleet.start("other")
    fleet.start("gone")
    fleet.scheduler.advance(5.0)
    fleet.stop("gone")
    fleet.scheduler.advance(10.0)
    assert list_ids(node) == list_ids(other) == {"node", "other"}
    for client in fleet.clients.values():
        client.mode = "down"
    fleet.scheduler.advance(8.0)
    for client in fleet.clients.values():
        client.mode = "up"
    for _ in range(50):
        fleet.scheduler.advance(0.2)
        assert list_ids(node) == list_ids(other) == {"node", "other"}
