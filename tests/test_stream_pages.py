"""Test looking up streams while the store sends the records in several pages."""

from result import Ok

from tests.gateway_fakes import PagedClient
from tests.test_stream_records import V1, V2, Fleet


def test_a_stream_recorded_behind_the_first_page_does_not_go_on_at_another_version():
    fleet = Fleet()
    fleet.serve(V1)
    fleet.start(6)
    fleet.scheduler.advance(60.0)
    fleet.serve(V1, V2)
    fleet.scheduler.advance(2.0)
    reader = fleet.nodes[0]
    reader.find("r-none", {"s"}, lambda result: None)  # reads the first time
    fleet.scheduler.advance(1.0)
    reader._store = PagedClient(fleet.scheduler, fleet.store)
    others, fleet.nodes = fleet.nodes[1:], fleet.nodes
    for number in range(5):
        others[number].record(f"r-{number}", V2)
        fleet.began[f"r-{number}"] = V2
        fleet.scheduler.advance(0.5)
    found = []
    reader.find("r-4", {"s"}, found.append)
    fleet.scheduler.advance(2.0)
    assert found == [Ok(V2)]
