"""Test that a node refuses for good only what its configuration is known to lack."""

import json
import logging
import time
from unittest import mock

import pytest
from attrs import define, field

from bronzetiller.errors import Reason
from bronzetiller.fleet.drain import Drain
from bronzetiller.gateway import application, followers
from bronzetiller.gateway.allocation_manager import AllocationManager
from bronzetiller.gateway.application import Application
from bronzetiller.gateway.budget_refusals import refuse_uncovered
from bronzetiller.gateway.clock_monitor import ClockMonitor
from bronzetiller.gateway.configuration import WorkspaceConfiguration
from bronzetiller.gateway.followers import ConfigurationFollower
from bronzetiller.platform.topics import CONFIGURATION_KEY, OPERATOR_TOPIC
from bronzetiller.storage.keyed import Partition
from bronzetiller.sync.confirmation import (
    CONFIRMATION_SECONDS_MAX,
    RETRY_SECONDS_MAX,
    RETRY_SECONDS_MIN,
    ConfigurationBounds,
    choose_retry_seconds,
    is_outdated,
    may_serve,
)
from bronzetiller.sync.contact import Contact
from standins.fake_scheduler import FakeScheduler
from standins.gateway_fleet import (
    HOST,
    KEY,
    PLAIN_SERVICE,
    WORKSPACE,
    GatewayFleet,
    make_configuration,
    send_request,
)
from standins.memory_store import MemoryStore
from tests.conftest import await_true
from tests.gateway_fakes import FakeStoreClient

IN_FORCE_SECONDS = 3.0  # after the store's acknowledgement of a version, the strictest bound
LONG_POLL_SECONDS = 1.2


@define
class FakeContext:
    """Hold what an application uses of its context to refuse a request."""

    scheduler: FakeScheduler
    draw: float = 0.5

    def draw_uniform(self):
        return self.draw


@define(eq=False)
class FakeExchange:
    path: str = "/added/2f"
    query: str = ""
    method: str = "POST"
    headers: dict = field(factory=lambda: {"host": HOST, "api-key": KEY, "x-request-id": "r1"})
    started: bool = False
    status: int = 0
    answer_headers: dict = field(factory=dict)
    answer: dict = field(factory=dict)

    def respond(self, status, headers, body):
        self.status, self.answer_headers, self.answer = status, headers, json.loads(body)


@define(eq=False)
class Node:
    """Follow a store in memory and refuse requests, without a network."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    store: MemoryStore = field(factory=MemoryStore)
    client: FakeStoreClient = field(init=False)
    follower: ConfigurationFollower = field(init=False)
    application: Application = field(init=False)

    def __attrs_post_init__(self):
        scheduler = self.scheduler
        self.client = FakeStoreClient(scheduler, self.store)
        self.follower = ConfigurationFollower(scheduler, self.client, lambda changed: None)
        drain = Drain(scheduler, *[lambda: None] * 5)
        self.application = Application(
            FakeContext(scheduler),
            lambda: self.follower.configuration,
            lambda: drain,
            self.follower.compute_confirmation_age,
            lambda: self.follower.follower.confirmed_by,
        )

    def write(self, version, *more_routes):
        value = json.dumps(make_configuration(version, more_routes=more_routes)).encode()
        self.store.append(Partition(OPERATOR_TOPIC), CONFIGURATION_KEY, value, None)

    def refuse(self, path="/added/2f", **headers):
        exchange = FakeExchange(path)
        exchange.headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.application.serve(exchange)
        return exchange


@pytest.fixture
def node():
    """Return a node that follows a store which holds version 1."""
    node = Node()
    node.write(1)
    node.follower.follower.start()
    node.scheduler.advance(1.0)
    return node


@pytest.fixture
def fleet():
    """Start a store with a configuration, a plain service and a node that serves."""
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1)
        fleet.start_target("desk-1", PLAIN_SERVICE)
        fleet.start_node("node-1")
        fleet.await_ready("node-1")
        await_true(lambda: fleet.send("node-1", "status", "warm").status == 200, what="a target")
        yield fleet
    finally:
        fleet.close()


UNKNOWN = [({"path": "/added/2f"}, 404), ({"path": "/status/2f", "api_key": "new"}, 401)]


@pytest.mark.parametrize(("request_fields", "status"), UNKNOWN)
def test_a_route_or_key_that_a_newer_version_may_have_is_not_refused_for_good(
    node, request_fields, status
):
    assert node.refuse(**request_fields).status == status
    node.client.mode = "down"
    node.scheduler.advance(CONFIRMATION_SECONDS_MAX + 0.2)
    exchange = node.refuse(**request_fields)
    assert (exchange.status, exchange.answer["ran"]) == (503, "no")
    assert exchange.answer["reason"] == Reason.CONFIGURATION_OUTDATED
    assert float(exchange.answer_headers["Retry-After"]) > 0
    node.client.mode = "up"
    node.scheduler.advance(3.0)
    assert node.refuse(**request_fields).status == status


def test_a_version_that_the_node_cannot_read_leaves_the_one_before_unconfirmed(node):
    node.store.append(Partition(OPERATOR_TOPIC), CONFIGURATION_KEY, b'{"version": "two"}', None)
    node.scheduler.advance(CONFIRMATION_SECONDS_MAX + 1.0)
    assert node.refuse().answer["reason"] == Reason.CONFIGURATION_OUTDATED
    node.write(3)
    node.scheduler.advance(1.0)
    assert node.refuse().status == 404


def test_a_peer_learns_that_its_forwarded_request_was_not_run(node):
    node.client.mode = "down"
    node.scheduler.advance(10.0)
    forwarded = {"bronzetiller_forwarded": "1", "bronzetiller_version": "1"}
    exchange = node.refuse(**forwarded)
    assert exchange.answer["reason"] == Reason.CONFIGURATION_OUTDATED
    assert exchange.answer_headers["x-not-executed"] == "1"
    exchange = node.refuse(**forwarded | {"bronzetiller_version": "2"})
    assert exchange.answer["reason"] == Reason.NOT_READY


def test_a_budget_that_a_newer_version_may_have_topped_up_is_not_refused_for_good():
    scheduler, age = FakeScheduler(), 0.0
    manager = AllocationManager(
        scheduler,
        FakeStoreClient(scheduler, MemoryStore()),
        "node-1",
        "node-1/1",
        lambda workspace: 1.0,
        refuse_uncovered=lambda: refuse_uncovered(age, 0.5),
        clock=ClockMonitor(read_offset=lambda: 0.0),
        read_clock=scheduler.now,
        started_at=scheduler.now(),
    )
    manager.set_workspaces({WORKSPACE: WorkspaceConfiguration(WORKSPACE, None, 100)})
    manager.start()
    scheduler.advance(2.0)
    results = []

    def reserve():
        manager.reserve_when_available(WORKSPACE, 101, scheduler.now() + 3.0, results.append)
        scheduler.advance(3.0)
        return results.pop().err_value

    assert reserve().reason is Reason.BUDGET_EXHAUSTED
    age = CONFIRMATION_SECONDS_MAX + 0.1
    refusal = reserve()
    assert (refusal.status, refusal.reason) == (503, Reason.BUDGET_UNCONFIRMED)
    assert refusal.retry_after_seconds > 0
    age = 0.0
    assert reserve().reason is Reason.BUDGET_EXHAUSTED


def play_versions(node, seconds, is_store_down):
    """Write versions for some seconds; yield the status of a refusal and whether one is overdue."""
    acknowledged_at = {1: node.scheduler.now()}
    for step in range(int(10 * seconds)):
        if step % 7 == 0:
            version = len(acknowledged_at) + 1
            node.write(version, f"added{version}")
            acknowledged_at[version] = node.scheduler.now()
        node.client.mode = "down" if is_store_down(step / 10) else "up"
        node.scheduler.advance(0.1)
        known, now = node.follower.configuration.version, node.scheduler.now()
        is_overdue = any(
            version > known and now - at > IN_FORCE_SECONDS
            for version, at in acknowledged_at.items()
        )
        yield node.refuse("/never/2f").status, is_overdue


def test_no_refusal_for_good_by_a_version_older_than_the_bound_while_the_store_comes_and_goes(
    node,
):
    plays = list(play_versions(node, 60.0, lambda second: second % 15.0 > 8.0))
    assert {status for status, _ in plays} == {404, 503}
    assert (404, True) not in plays


@pytest.mark.parametrize("seconds", [2.0, 4.0, 8.0])
def test_no_refusal_for_good_by_a_version_that_was_long_on_its_way(node, seconds):
    node.client.delay = seconds
    plays = list(play_versions(node, 60.0, lambda second: False))
    assert plays.count((404, True)) == 0


def test_a_node_that_reaches_the_store_never_takes_its_configuration_for_outdated(node):
    for _ in range(200):
        node.scheduler.advance(0.1)
        assert node.refuse("/never/2f").status == 404


def test_a_node_that_has_read_nothing_has_no_confirmed_configuration():
    node = Node()
    assert is_outdated(node.follower.compute_confirmation_age())
    assert node.refuse().answer["reason"] == Reason.NOT_READY


@pytest.mark.parametrize("age", [0.0, CONFIRMATION_SECONDS_MAX, 5.0, 20.0, 3_600.0, float("inf")])
def test_callers_return_spread_and_later_the_longer_the_outage_lasts(age):
    earliest, latest = choose_retry_seconds(age, 0.0), choose_retry_seconds(age, 0.999)
    assert RETRY_SECONDS_MIN / 2 <= earliest < latest <= 1.5 * RETRY_SECONDS_MAX
    assert latest - earliest >= 0.5 * earliest
    assert earliest >= choose_retry_seconds(age / 2, 0.0)


def test_retries_wait_longer_in_a_long_outage_but_never_longer_than_the_maximum():
    means = [choose_retry_seconds(age, 0.5) for age in (3.0, 10.0, 30.0, 3_600.0)]
    assert means[0] < means[1] < means[2] == means[3] == RETRY_SECONDS_MAX


def find_refusal(fleet, request_id):
    """Return the fields of the line that a node wrote about a refused request."""
    lines = (fleet.folder / "node-1.log").read_text().splitlines()
    (line,) = [item for item in lines if "event=refused" in item and f"id={request_id}" in item]
    return dict(word.partition("=")[::2] for word in line.split())


def read_metric(fleet, name):
    text = send_request(fleet.address("node-1", "metrics"), "GET", "/metrics", {}).body.decode()
    (value,) = [line.split()[1] for line in text.splitlines() if line.startswith(f"{name} ")]
    return float(value)


@pytest.mark.parametrize("faults", [{"silent": True}, {"down": True}], ids=["silent", "down"])
def test_a_route_added_while_a_node_has_lost_the_store_is_not_refused_for_good(fleet, faults):
    assert fleet.send("node-1", "added", "early").status == 404
    fleet.set_faults("store", **faults)
    time.sleep(LONG_POLL_SECONDS)  # until no read waits at the store for the new version
    fleet.configure(2, more_routes=("added",))
    time.sleep(CONFIRMATION_SECONDS_MAX)
    reply = fleet.send("node-1", "added", "lost")
    problem = json.loads(reply.body)
    assert reply.status == 503, problem
    assert (problem["reason"], problem["ran"]) == ("configuration_outdated", "no")
    assert float(reply.headers["retry-after"]) > 0
    reply = fleet.send("node-1", "added", "forwarded", Bronzetiller_Forwarded="1")
    assert (reply.status, reply.headers["x-not-executed"]) == (503, "1")
    assert fleet.send("node-1", "status", "key", Api_Key="new").status == 503
    assert fleet.send("node-1", "status", "known").status == 200
    line = find_refusal(fleet, "lost")
    assert line["version"] == "1" and float(line["confirmation_age"]) > CONFIRMATION_SECONDS_MAX
    assert read_metric(fleet, "bronzetiller_configuration_version") == 1.0
    age = read_metric(fleet, "bronzetiller_configuration_confirmation_age_seconds")
    assert age > CONFIRMATION_SECONDS_MAX
    fleet.set_faults("store")
    served = lambda: fleet.send("node-1", "added", "back").status == 200  # noqa: E731
    await_true(served, IN_FORCE_SECONDS + 1.0, "the added route")
    assert fleet.send("node-1", "never", "never").status == 404
    assert fleet.send("node-1", "status", "wrong", Api_Key="wrong").status == 401
    assert find_refusal(fleet, "never")["version"] == "2"
    assert float(find_refusal(fleet, "never")["confirmation_age"]) < CONFIRMATION_SECONDS_MAX


def test_a_node_logs_once_that_its_configuration_is_unconfirmed_and_by_whom_it_is_again(
    node, caplog
):
    caplog.set_level(logging.INFO, "bronzetiller")
    node.scheduler.call_every(0.5, node.follower.log_confirmation)
    node.scheduler.advance(2.0)
    node.client.mode = "down"
    node.scheduler.advance(6.0)
    node.client.mode = "up"
    node.scheduler.advance(3.0)
    lines = [line for line in caplog.messages if "confirmed version" in line]
    assert [line.split()[0] for line in lines] == [
        "event=configuration_confirmed",
        "event=configuration_unconfirmed",
        "event=configuration_confirmed",
    ]
    assert all("confirmed_by=store:" in line for line in lines)


@pytest.mark.parametrize("fails", ["cannot be decoded", "raises"])
def test_a_version_that_was_read_and_not_applied_is_no_confirmation_of_the_one_before(
    node, monkeypatch, fails
):
    def raise_error(value):
        raise RecursionError(value)

    node.client.mode = "down"
    node.store.append(Partition(OPERATOR_TOPIC), CONFIGURATION_KEY, b"{", None)
    node.scheduler.advance(6.0)
    if fails == "raises":
        monkeypatch.setattr(followers, "decode_configuration", raise_error)
    node.client.mode = "up"
    for _ in range(20):
        node.scheduler.advance(0.2)
        assert node.refuse().status == 503
    monkeypatch.undo()
    node.write(2)
    node.scheduler.advance(2.0)
    assert node.refuse().status == 404


@define(eq=False)
class ServingNode(Node):
    """Refuse by the bounds of the configuration; the store answers other calls if it is asked."""

    contact: Contact = field(factory=Contact)
    reaches_store: bool = True
    answer_seconds: float = 0.01

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self.application.may_serve = lambda: may_serve(
            self.follower.compute_confirmation_age(),
            self.contact.measure(self.scheduler.now()),
            ConfigurationBounds(apply_ms=3_000, contact_ms=4_000),
        )
        self.scheduler.call_every(1.25, self._write_heartbeat)

    def _write_heartbeat(self):
        if self.reaches_store:
            self.contact.record_answer(self.scheduler.now(), self.answer_seconds)

    def is_served(self):
        with mock.patch.object(application, "RequestHandler") as handler:
            self.application.serve(FakeExchange("/score/2f"))
        return handler.called


@pytest.fixture
def serving_node():
    """Return a node that has been in contact with the store for a while."""
    node = ServingNode()
    node.write(1)
    node.follower.follower.start()
    node.scheduler.advance(6.0)
    return node


def test_a_node_that_the_store_answers_serves_nothing_by_a_version_that_may_be_out_of_force(
    serving_node,
):
    node = serving_node
    assert node.is_served()
    node.client.mode = "down"  # for reads of the configuration
    node.write(2)
    node.scheduler.advance(2.0)
    assert node.is_served()
    node.scheduler.advance(1.6)
    assert not node.is_served() and node.refuse("/score/2f").status == 503
    node.client.mode = "up"
    node.scheduler.advance(3.0)
    assert node.is_served()


def test_a_node_without_the_store_goes_on_serving_what_it_knows(serving_node):
    node = serving_node
    node.client.mode, node.reaches_store = "down", False
    for _ in range(20):
        node.scheduler.advance(1.0)
        assert node.is_served()
    node.reaches_store = True
    node.scheduler.advance(3.0)
    assert node.is_served()  # as it is not in contact for long enough yet
    node.scheduler.advance(3.0)
    assert not node.is_served()


def test_a_node_goes_on_serving_while_the_store_answers_slowly(serving_node):
    node = serving_node
    node.client.mode, node.answer_seconds = "down", 1.6
    for _ in range(20):
        node.scheduler.advance(1.0)
        assert node.is_served()
