"""Test with real processes that a plain call which crashes targets is contained."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_fleet import PLAIN_SERVICE, GatewayFleet
from tests.conftest import await_true

NODES = ("node-1", "node-2", "node-3")
CRASHING_TARGETS = 6
ODD_TARGETS = 3
CRASHING_ITEM = "bad"
REPLACEMENT_SECONDS = 0.5
REGISTRATION_SECONDS = 1.0  # until every node knows a new target
CONTACT_SECONDS = 4.0  # after the third crash, until all nodes must hold such requests back
CRASHES_BEFORE_CONTAINMENT = 3
LATER_REQUESTS_MAX = 3
LASTING = 10**6  # more requests than any test sends


class CrashingService:
    """Hold a fleet, and targets that crash under one item and are replaced under new ids."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.living = []
        self.crashes = []
        self.started = 0
        self.due = []

    def start_target(self, version="v1"):
        target_id = f"desk-{self.started}"
        self.started += 1
        self.fleet.start_target(
            target_id, PLAIN_SERVICE, "regina-a", "--crash-path", f"/order/{CRASHING_ITEM}"
        )
        self.living.append(target_id)

    def replace_crashed(self):
        for target_id in list(self.living):
            if self.fleet.processes[target_id].popen.poll() is not None:
                self.living.remove(target_id)
                self.crashes.append(time.monotonic())
                self.fleet.append_record("keyed.servers", target_id, b"")
                self.due.append(time.monotonic() + REPLACEMENT_SECONDS)
        while self.due and self.due[0] <= time.monotonic():
            self.due.pop(0)
            self.start_target()

    def send_bad(self, number):
        return self.fleet.send(NODES[number % 3], "order", f"bad-{number}", item=CRASHING_ITEM)

    def play(self, seconds):
        """Send crashing requests one after another, each beside a sound one."""
        deadline = time.monotonic() + seconds
        number = 0
        replies = []
        with ThreadPoolExecutor(1) as executor:
            while time.monotonic() < deadline:
                sound = executor.submit(
                    self.fleet.send, NODES[number % 3], "status", f"sound-{number}"
                )
                replies.append(self.send_bad(number))
                sound.result()
                self.replace_crashed()
                number += 1
                time.sleep(0.05)
        self.replace_crashed()
        return replies


@pytest.fixture
def service():
    """Start three nodes and one target that exits under one item."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1)
        service = CrashingService(fleet)
        service.start_target()
        for node_id in NODES:
            fleet.start_node(node_id)
        for node_id in NODES:
            fleet.await_ready(node_id)
            await_true(
                lambda node_id=node_id: fleet.send(node_id, "status", "warm").status == 200,
                what="a response",
            )
        yield service
    finally:
        fleet.close()


def start_odd_targets(service, fault):
    """Start targets that give one kind of answer to every request, and have a node notice them."""
    for number in range(ODD_TARGETS):
        service.fleet.start_target(f"odd-{number}", PLAIN_SERVICE)
        service.fleet.set_faults(f"odd-{number}", **{fault: LASTING})
    time.sleep(REGISTRATION_SECONDS)


@pytest.mark.parametrize("fault", ["fail", "reject", "replay", "refuse"])
def test_answers_that_prove_nothing_do_not_release_a_crashing_request(service, fault):
    start_odd_targets(service, fault)
    service.play(1.0)  # after the first crash, only the odd targets are left for half a second
    for _ in range(CRASHING_TARGETS - 1):
        service.start_target()
    service.play(8.0)
    since = service.crashes[min(CRASHES_BEFORE_CONTAINMENT, len(service.crashes)) - 1]
    later = sum(at > since + CONTACT_SECONDS for at in service.crashes)
    assert later <= LATER_REQUESTS_MAX and len(service.crashes) <= 2 * CRASHES_BEFORE_CONTAINMENT


def test_a_request_that_another_version_survives_is_served_there(service):
    for _ in range(CRASHING_TARGETS - 1):
        service.start_target()
    service.fleet.start_target("newer", PLAIN_SERVICE, version="v2")
    time.sleep(REGISTRATION_SECONDS)
    service.play(4.0)
    crashes = len(service.crashes)
    replies = service.play(3.0)
    assert crashes <= 2 * CRASHES_BEFORE_CONTAINMENT and len(service.crashes) == crashes
    assert {reply.status for reply in replies} == {200}


def test_a_request_is_served_by_a_version_that_arrives_after_its_quarantine(service):
    for _ in range(CRASHING_TARGETS - 1):
        service.start_target()
    time.sleep(REGISTRATION_SECONDS)
    assert {reply.status for reply in service.play(3.0)} == {502, 503}
    service.fleet.start_target("newer", PLAIN_SERVICE, version="v2")
    time.sleep(REGISTRATION_SECONDS)
    service.play(2.0)
    crashes = len(service.crashes)
    replies = service.play(2.0)
    assert {reply.status for reply in replies} == {200} and len(service.crashes) == crashes
