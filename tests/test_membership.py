"""Test membership: live and gone nodes, the choice of neighbours, reconnection."""

from types import SimpleNamespace

import pytest
from attrs import frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzetiller.fleet.incarnations import FleetView, is_gone, make_incarnation
from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.neighbours import choose_interval_seconds, choose_neighbours
from bronzetiller.fleet.relay import choose_reader
from bronzetiller.fleet.vm_list import Vm, VmRole, VmState
from bronzetiller.net.dialer import Address
from bronzetiller.settings import FleetSettings
from bronzetiller.wire.messages import Heartbeat
from standins.fake_scheduler import FakeScheduler
from standins.fleet import Fleet
from tests.conftest import KEY, await_ready, await_true, count_peers, read_metric, send_chat

RECONNECT_SECONDS_MAX = 6.0


STREAMS = ["configuration", "ledger-0"]
OLD = make_incarnation("node-1", 1_000.0)
NEW = make_incarnation("node-1", 1_000.2)


def test_an_incarnation_is_gone_once_a_newer_one_is_known():
    view = FleetView(
        newest={"node-1": NEW}, listed=frozenset({"node-1"}), first_read_at=0, read_at=9
    )
    assert is_gone(OLD, view, grace_seconds=5.0)
    assert not is_gone(NEW, view, grace_seconds=5.0)


@given(missing_since=st.floats(0, 100), read_at=st.floats(0, 100), is_alive=st.booleans())
@settings(derandomize=True)
def test_an_unlisted_incarnation_is_gone_only_by_reads_a_grace_apart(
    missing_since, read_at, is_alive
):
    view = FleetView(
        first_read_at=0.0,
        read_at=read_at,
        missing_since={"node-1": missing_since},
        alive=frozenset({OLD}) if is_alive else frozenset(),
    )
    assert is_gone(OLD, view, grace_seconds=5.0) == (
        not is_alive and read_at - missing_since >= 5.0
    )


def test_nothing_is_gone_for_a_node_that_never_read_the_list():
    assert not is_gone(OLD, FleetView(), grace_seconds=0.0)


class FakeVmList:
    """Hold the node ids that each read of the list returns."""

    def __init__(self, scheduler, *node_ids):
        self.scheduler = scheduler
        self.node_ids = node_ids

    @property
    def read_at(self):
        return self.scheduler.now()

    def find_routers(self):
        return [FakeRouter(node_id) for node_id in self.node_ids]

    def subscribe(self, subscriber):
        """Ignore the subscriber, as the test has no connections to keep."""


@frozen
class FakeRouter:
    vm_id: str


class FakePeers:
    def on(self, message_class, handle):
        """Ignore the handler, as no messages arrive."""

    def connected(self):
        return []


def test_a_new_node_whose_grant_is_read_before_the_list_names_it_is_not_gone():
    scheduler = FakeScheduler()
    fleet_settings = FleetSettings(gone_grace_seconds=5.0)
    membership = Membership(
        scheduler,
        FakePeers(),
        FakeVmList(scheduler, "node-2"),
        SimpleNamespace(node_id="node-2", fleet=fleet_settings),
        lambda: Heartbeat("node-2", "node-2/1", "west", "west-1", "node-2:1", stopping=False),
        STREAMS,
    )
    membership.start()
    scheduler.advance(30.0)
    assert not membership.is_gone(OLD)
    scheduler.advance(4.0)
    assert not membership.is_gone(OLD)
    scheduler.advance(3.0)
    assert membership.find_gone({OLD}) == {OLD}


def make_routers(count):
    return [
        Vm(
            f"node-{i:03}",
            Address("10.0.0.1", 1000 + i),
            f"region-{i % 3}",
            f"dc-{i % 12}",
            VmRole.ROUTER,
            VmState.LIVE,
            peer_address=Address("10.0.0.1", 5000 + i),
        )
        for i in range(count)
    ]


@pytest.mark.parametrize("count", [7, 60, 330])
def test_neighbours_are_few_and_agree_on_every_reader(count):
    routers = make_routers(count)
    limits = {"near_peers_max": 8, "far_peers_max": 3, "links_max": 20}
    links = {
        vm.vm_id: [peer.vm_id for peer in choose_neighbours(vm, routers, STREAMS, **limits)]
        for vm in routers
    }
    assert max(len(found) for found in links.values()) <= 20
    reached, frontier = set(), ["node-000"]
    while frontier:
        node_id = frontier.pop()
        if node_id not in reached:
            reached.add(node_id)
            frontier += links[node_id]
    assert reached == set(links)
    for data_centre in {vm.data_centre for vm in routers}:
        near = [vm.vm_id for vm in routers if vm.data_centre == data_centre]
        for stream in STREAMS:
            readers = {
                choose_reader(stream, data_centre, [node_id, *(set(links[node_id]) & set(near))])
                for node_id in near
            }
            assert len(readers) == 1


def test_messages_on_many_links_stay_under_their_rate():
    seconds = choose_interval_seconds(15, 400, seconds_min=1.0, bytes_per_second_max=4_000.0)
    assert 15 * 4 * 400 / seconds <= 4_000.0
    assert choose_interval_seconds(1, 70, seconds_min=0.5, bytes_per_second_max=2_000.0) == 0.5


@pytest.fixture(scope="module")
def running_fleet():
    fleet = Fleet(with_links=True)
    try:
        _start(fleet)
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def fleet(running_fleet):
    yield running_fleet
    running_fleet.heal()


def _start(fleet):
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1")
    fleet.add_node("node-1", "west", "west-1")
    fleet.add_node("node-2", "east", "east-1")
    fleet.publish_workspace("studio", KEY, 100_000)
    fleet.publish("route", "namer", {"service": "names"})
    await_ready(fleet, "node-1", "node-2")


def _read_live_peers(fleet, node_id):
    return read_metric(fleet.caller_address(node_id), "bronzetiller_peers_heard")


def _read_timed_out_links(fleet, node_id):
    return read_metric(fleet.caller_address(node_id), "bronzetiller_silent_links_total")


def test_a_peer_whose_connections_went_silent_is_reached_over_new_ones(fleet):
    for node_id in ("node-1", "node-2"):
        address = fleet.caller_address(node_id)
        await_true(lambda address=address: count_peers(address) == 1, what="a connection")
    fleet.set_fault(lambda source, destination: destination.endswith("/peer"), silent=True)
    for node_id in ("node-1", "node-2"):
        await_true(
            lambda node_id=node_id: _read_timed_out_links(fleet, node_id) >= 1
            and _read_live_peers(fleet, node_id) == 1,
            seconds=RECONNECT_SECONDS_MAX,
            what="the peer to be reached again",
        )


def test_a_node_whose_platform_connections_went_silent_reads_over_new_ones(fleet):
    address = fleet.caller_address("node-1")
    assert send_chat(address)[0] == 200
    fleet.set_fault(lambda source, destination: source == "node-1", silent=True)
    fleet.publish("route", "scorer", {"service": "names"})
    fleet.add_target("engine-2", "late", "west", "west-1")
    fleet.publish("route", "late", {"service": "late"})
    await_true(
        lambda: send_chat(address, model="late")[0] == 200,
        seconds=RECONNECT_SECONDS_MAX,
        what="a response by a route and a target added after the fault",
    )
