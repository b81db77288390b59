"""Test without a network that the VM list is read from a slow platform and through peers."""

import json
from collections import Counter

import pytest
from attrs import define, field
from result import Err, Ok

from bronzetiller.fleet.vm_list import VmList
from bronzetiller.fleet.vm_list_relay import VmListRelay
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import (
    SILENCE,
    TOO_LONG,
    BodyPart,
    CallFailed,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.settings import ListenSettings, PlatformSettings, Settings
from bronzetiller.wire.messages import Heartbeat, Vms
from standins.fake_scheduler import FakeScheduler

CURRENT_SECONDS_MAX = 9.0
ADDRESS = Address("127.0.0.1", 1)
NODES = 20
FAR_RESPONSE_SECONDS = 2.5


@define(eq=False)
class FakeCall:
    done: bool = False

    def cancel(self):
        self.done = True


@define(eq=False)
class SlowPlatform:
    """Respond to each poll after a delay with the list of the time that it was sent."""

    scheduler: FakeScheduler
    delay_seconds: float = 0.01
    down: bool = False
    version: int = 1
    polls: list = field(factory=list)

    def send(self, call, listener):
        open_call = FakeCall()
        self.polls.append(self.scheduler.now())
        started_at = self.scheduler.now()
        body = make_list(self.version)

        def fail(cause):
            if not open_call.done:
                open_call.done = True
                listener(CallFailed(cause, True))

        def respond():
            if not open_call.done:
                open_call.done = True
                listener(ResponseHead(200, {}))
                listener(BodyPart(body))
                listener(ResponseEnd())

        if self.down:
            self.scheduler.call_after(0.001, lambda: fail("connect: refused"))
            return open_call
        self.scheduler.call_at(started_at + call.silence_seconds, lambda: fail(SILENCE))
        if call.seconds_max is not None:
            self.scheduler.call_at(started_at + call.seconds_max, lambda: fail(TOO_LONG))
        self.scheduler.call_after(self.delay_seconds, respond)
        return open_call

    def close_idle(self, address):
        pass


def make_list(version):
    vm = {
        "vm_id": f"engine-{version}",
        "address": "10.0.0.1:1",
        "region": "west",
        "data_centre": "west-1",
        "role": "target",
        "state": "live",
        "service": "names",
    }
    return json.dumps({"vms": [vm]}).encode()


@pytest.fixture
def platform():
    return SlowPlatform(FakeScheduler())


def start_vm_list(platform):
    vm_list = VmList(platform.scheduler, platform, ADDRESS)
    vm_list.start()
    platform.scheduler.advance(3.0)
    return vm_list


@pytest.mark.parametrize("delay_seconds", [1.3, 2.5, 4.0, 6.0])
def test_a_platform_slower_than_the_timeout_is_still_read(platform, delay_seconds):
    vm_list = start_vm_list(platform)
    platform.delay_seconds = delay_seconds
    for version in (2, 3):
        platform.version = version
        platform.scheduler.advance(CURRENT_SECONDS_MAX)
        assert list(vm_list.vms) == [f"engine-{version}"]


def test_a_response_that_arrives_late_does_not_replace_a_newer_list(platform):
    vm_list = start_vm_list(platform)
    platform.delay_seconds = 6.0
    platform.scheduler.advance(1.5)
    platform.version, platform.delay_seconds = 2, 0.01
    platform.scheduler.advance(20.0)
    assert list(vm_list.vms) == ["engine-2"]


def test_the_polls_of_many_nodes_spread_and_are_fewer_while_they_fail(platform):
    for _ in range(NODES):
        start_vm_list(platform)
        platform.scheduler.time -= 3.0
    platform.scheduler.advance(3.0)
    platform.polls.clear()
    platform.scheduler.advance(60.0)
    tenths = Counter(round(polled_at, 1) for polled_at in platform.polls[-10 * NODES :])
    assert max(tenths.values()) <= NODES / 2
    platform.down = True
    platform.scheduler.advance(20.0)
    platform.polls.clear()
    platform.scheduler.advance(20.0)
    assert len(platform.polls) <= 20.0 * NODES / 2


def make_heartbeat(node_id, data_centre, age_seconds):
    return Heartbeat(
        node_id,
        f"{node_id}/1",
        "west",
        data_centre,
        "10.0.0.1:1",
        False,
        ready=True,
        vm_list_age_seconds=age_seconds,
    )


class RelayingNode:
    """Hold the VM list of a node that no longer reads the platform."""

    def __init__(self, fleet, node_id):
        self.fleet = fleet
        self.node_id = node_id
        scheduler = fleet.scheduler
        self.vm_list = VmList(scheduler, SlowPlatform(scheduler, down=True), ADDRESS)
        self.vm_list.adopt(make_list(1).decode(), 0.0)
        settings = Settings(
            node_id=node_id,
            region="west",
            data_centre="west-1",
            fleet_secret="a-secret-for-stand-ins-only",
            listen=ListenSettings(ADDRESS, ADDRESS),
            platform=PlatformSettings(ADDRESS, ADDRESS),
        )
        self.relay = VmListRelay(scheduler, self, self, self.vm_list, settings)
        self.relay.start()

    def on(self, message_class, handle):
        self.handle = handle

    def connected(self):
        return [*(node_id for node_id in self.fleet.nodes if node_id != self.node_id), "far"]

    def live(self):
        peers = {}
        for node_id, node in self.fleet.nodes.items():
            if node_id != self.node_id:
                age_seconds = self.fleet.scheduler.now() - node.vm_list.read_at
                peers[node_id] = make_heartbeat(node_id, "west-1", age_seconds)
        return peers | {"far": make_heartbeat("far", "west-2", 0.0)}

    def is_silent(self, node_id, since):
        return False

    def request(self, node_id, message, seconds, on_response):
        finished = []

        def finish(result):
            if not finished:
                finished.append(True)
                on_response(result)

        scheduler = self.fleet.scheduler
        scheduler.call_after(seconds, lambda: finish(Err("timeout")))
        if node_id == "far":
            self.fleet.far_requests.append(scheduler.now())
            scheduler.call_after(
                FAR_RESPONSE_SECONDS, lambda: finish(Ok(self.fleet.make_far_response()))
            )
        else:
            self.fleet.nodes[node_id].handle(message, lambda response: finish(Ok(response)))


class RelayingFleet:
    """Hold the nodes of a data centre, and a peer in another one that reads the platform."""

    def __init__(self):
        self.scheduler = FakeScheduler()
        self.nodes = {}
        self.far_requests = []
        for index in range(NODES):
            self.nodes[f"node-{index}"] = RelayingNode(self, f"node-{index}")

    def make_far_response(self):
        return Vms(make_list(2).decode(), 0.0)


def test_a_data_centre_that_lost_the_platform_fetches_the_list_once_or_twice():
    fleet = RelayingFleet()
    fleet.scheduler.advance(12.0)
    lists = [list(node.vm_list.vms) for node in fleet.nodes.values()]
    assert lists == [["engine-2"]] * NODES
    assert len(fleet.far_requests) <= 6
