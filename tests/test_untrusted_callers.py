"""Test with real nodes that callers cannot exhaust a node's memory or descriptors.

Nothing here depends on the speed of the machine: only that each node lives, that its peak resident
memory and its open descriptors stay below those of the machine that its settings state, and that
one ordinary request gets a response afterwards.
"""

import itertools
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from standins.crowd import Crowd, SilentTarget
from standins.fleet import call_json
from standins.gateway_fleet import HOST, KEY, MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet
from standins.path_engine import make_registration
from tests.conftest import await_ready, await_true, send
from tests.raw_target import EVENT_STREAM, RawAnswer, RawTarget

pytestmark = pytest.mark.xdist_group("untrusted_callers")

MEMORY_MB = 80  # of the machine; an idle node has a resident memory of 42 MB
DESCRIPTORS = 300
CAPACITY = {"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS}
CALLERS = 150
CONNECTIONS = 400  # of callers that send little
BODY_BYTES = 1_000_000  # the largest that the configuration allows
CHUNK_BYTES = 16 * 1024
HEAD_BYTES = 15_000
REFUSED_CALLERS = 24
PIPELINED_REQUESTS = 8_000
EVENT = b"id: 1\ndata: " + b"x" * 40_000 + b"\n\n"
TIMEOUT_MS = 60_000  # longer than a case takes, also on a machine under load
ORDER = f"POST /order/2f HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
BODY = b"x" * BODY_BYTES


def make_head(number, framing):
    return f"{ORDER}X-Request-Id: untrusted-{number}\r\n{framing}\r\n\r\n".encode()


def make_model_head(number, length):
    usage = f"X-Model: m\r\nX-Token-Usage: 40,1000\r\nX-Prompt-Prefix: untrusted-{number}:40\r\n"
    head = make_head(number, f"{usage}Content-Length: {length}")
    return head.replace(b"/order/", b"/score/")


def send_whole_bodies(number):
    return make_head(number, f"Content-Length: {BODY_BYTES}"), BODY


def send_whole_calls(number):
    lines = f"Host: h\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    return f"POST /services/status/path HTTP/1.1\r\n{lines}".encode(), BODY


def send_whole_prompts(number):
    return make_model_head(number, BODY_BYTES), BODY


def send_bodies_without_their_last_byte(number):
    return make_head(number, f"Content-Length: {BODY_BYTES}"), BODY[:-1]


def send_chunks(number, size, count):
    yield make_head(number, "Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    per_part = max(1, CHUNK_BYTES // len(chunk))
    yield from itertools.repeat(chunk * per_part, count // per_part)


def send_chunks_without_the_last_one(number):
    return send_chunks(number, CHUNK_BYTES, BODY_BYTES // CHUNK_BYTES)


def send_tiny_chunks(number):
    return send_chunks(number, 1, 100_000)


def send_heads_without_an_end(number):
    return (f"{ORDER}X-Padding: {'x' * HEAD_BYTES}".encode(),)


def send_pipelined_requests(number):
    request = f"GET /status/2f HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n\r\n".encode()
    return itertools.repeat(100 * request, PIPELINED_REQUESTS // 100)


def send_prompts_and_read_nothing(number):
    return (make_model_head(number, 4) + b"body",)


class Nodes:
    """Hold a fleet of nodes and the most descriptors that each was seen to have open."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.descriptors = {}
        self.targets = []

    def start(self, *node_ids, **fields):
        for node_id in node_ids:
            self.fleet.start_node(node_id, capacity=CAPACITY, **fields)
            self.fleet.await_ready(node_id)
            await_true(lambda to=node_id: self.is_served(to), what=f"service at {node_id}")
            self.descriptors[node_id] = 0

    def register(self, target, service, count=3, **fields):
        self.targets.append(target)
        for number in range(count):
            target_id = f"{service}-{number}"
            value = make_registration(target_id, service, target.address, "regina-a", **fields)
            self.fleet.append_record("keyed.servers", target_id, value)

    def is_served(self, node_id):
        request_id = f"ordinary-{node_id}-{next(REQUEST_NUMBERS)}"
        reply = self.fleet.send(node_id, "score", request_id)
        return reply.status == 200 and reply.complete

    def count_descriptors(self):
        for node_id in self.descriptors:
            folder = Path(f"/proc/{self.fleet.processes[node_id].popen.pid}/fd")
            count = len(list(folder.iterdir()))
            self.descriptors[node_id] = max(count, self.descriptors[node_id])

    def read_peak_mb(self, node_id):
        text = Path(f"/proc/{self.fleet.processes[node_id].popen.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def suffer(self, make_request, callers, in_turn=False):
        """Send the requests of many callers to the first node and check all nodes."""
        address = self.fleet.address(next(iter(self.descriptors)))
        crowd = Crowd(address, in_turn, self.count_descriptors)
        try:
            crowd.send(make_request(number) for number in range(callers))
            self.count_descriptors()
        finally:
            crowd.close()
        for node_id in self.descriptors:
            await_true(lambda to=node_id: self.is_served(to), 60, f"a response of {node_id}")
        self.check()

    def check(self):
        figures = {
            node_id: (round(self.read_peak_mb(node_id)), descriptors)
            for node_id, descriptors in self.descriptors.items()
        }
        print(f"peak MB and descriptors: {figures}")
        for peak_mb, descriptors in figures.values():
            assert (peak_mb < MEMORY_MB, descriptors < DESCRIPTORS) == (True, True), figures
        for node_id in self.descriptors:
            assert self.fleet.processes[node_id].popen.poll() is None


REQUEST_NUMBERS = itertools.count()


@pytest.fixture
def nodes():
    """Return a fleet with a store and a model target, and no node yet."""
    fleet = GatewayFleet()
    nodes = Nodes(fleet)
    try:
        fleet.start_store()
        fleet.configure(1, prepaid=10_000_000, timeout_ms=TIMEOUT_MS)
        fleet.start_target("engine", MODEL_SERVICE)
        yield nodes
    finally:
        fleet.close()
        for target in nodes.targets:
            target.close()


@pytest.mark.parametrize(
    ("make_request", "callers", "in_turn"),
    [
        (send_whole_bodies, CALLERS, True),
        (send_whole_bodies, CALLERS, False),
        (send_bodies_without_their_last_byte, CALLERS, False),
        (send_chunks_without_the_last_one, CALLERS, False),
        (send_tiny_chunks, CALLERS, False),
        (send_heads_without_an_end, CONNECTIONS, False),
    ],
)
@pytest.mark.parametrize("reads", [True, False], ids=["silent", "unread"])
def test_requests_to_a_target_that_does_not_respond_are_bounded(
    nodes, reads, make_request, callers, in_turn
):
    nodes.register(SilentTarget(reads), PLAIN_SERVICE)
    nodes.start("node-1")
    nodes.suffer(make_request, callers, in_turn)


def test_prompts_to_a_target_that_does_not_read_are_bounded(nodes):
    nodes.start("node-1")
    nodes.fleet.append_record("keyed.servers", "engine", b"")
    nodes.register(SilentTarget(reads=False), MODEL_SERVICE, slots=CALLERS)
    await_true(lambda: not nodes.is_served("node-1"), what="the silent target")
    crowd = Crowd(nodes.fleet.address("node-1"), True, nodes.count_descriptors)
    try:
        crowd.send(send_whole_prompts(number) for number in range(CALLERS))
    finally:
        crowd.close()
    nodes.fleet.register_target("engine", MODEL_SERVICE, "regina-a", sequence=2)
    for number in range(3):
        nodes.fleet.append_record("keyed.servers", f"{MODEL_SERVICE}-{number}", b"")
    nodes.suffer(send_whole_prompts, 0)


def test_pipelined_requests_with_unread_responses_are_bounded(nodes):
    nodes.fleet.start_target("desk", PLAIN_SERVICE)
    nodes.start("node-1")
    nodes.suffer(send_pipelined_requests, 12)


def test_unread_streams_are_bounded(nodes):
    target = RawTarget("endless", lambda _: RawAnswer(itertools.repeat(EVENT), EVENT_STREAM))
    nodes.start("node-1")
    nodes.fleet.append_record("keyed.servers", "engine", b"")
    value = make_registration("endless", MODEL_SERVICE, target.address, "regina-a", slots=CALLERS)
    nodes.fleet.append_record("keyed.servers", "endless", value)
    nodes.targets.append(target)
    crowd = Crowd(nodes.fleet.address("node-1"), False, nodes.count_descriptors)
    try:
        await_true(lambda: nodes.fleet.send("node-1", "score", "seen") and target.requests)
        crowd.send(send_prompts_and_read_nothing(number) for number in range(CALLERS))
        await_true(lambda: len(target.requests) > CALLERS // 2, what="streams")
    finally:
        crowd.close()
    nodes.fleet.register_target("engine", MODEL_SERVICE, "regina-a", sequence=2)
    nodes.fleet.append_record("keyed.servers", "endless", b"")
    nodes.suffer(send_whole_prompts, 0)


@pytest.mark.parametrize(
    ("make_request", "in_turn"),
    [(send_whole_bodies, True), (send_bodies_without_their_last_byte, False)],
)
@pytest.mark.parametrize("reads", [True, False], ids=["silent", "unread"])
def test_requests_through_a_peer_are_bounded_at_both_nodes(nodes, reads, make_request, in_turn):
    """Node-1 reaches no target, so that node-2 serves for it."""
    target = SilentTarget(reads)
    nodes.register(target, PLAIN_SERVICE)
    addresses = [target.address, nodes.fleet.processes["engine"].ready["address"]]
    unreachable = dict(zip(addresses, ("127.0.0.1:2", "127.0.0.1:3"), strict=True))
    view = nodes.fleet.add_store_view("node-1", unreachable)
    nodes.fleet.start_node("node-2", capacity=CAPACITY)
    nodes.fleet.await_ready("node-2")
    nodes.start("node-1", store_address=view)
    nodes.descriptors["node-2"] = 0
    nodes.suffer(make_request, CALLERS, in_turn)


@pytest.mark.parametrize(
    ("make_request", "callers", "in_turn"),
    [
        (send_whole_calls, CALLERS, True),
        (send_bodies_without_their_last_byte, CALLERS, False),
        (send_heads_without_an_end, CONNECTIONS, False),
    ],
)
def test_requests_to_a_node_for_chats_are_bounded(make_fleet, make_request, callers, in_turn):
    """The node for chats and service calls has the same front."""
    fleet = make_fleet()
    fleet.start_platform()
    fleet.add_target("orders", "orders", "west", "west-1", "standins.service")
    limits = {"body_bytes_max": BODY_BYTES}
    fleet.add_node("node-1", "west", "west-1", limits=limits, capacity=CAPACITY)
    fleet.publish_workspace("studio", KEY, 10_000_000)
    fleet.publish("route", "status", {"service": "orders", "protocol": "plain"})
    await_ready(fleet, "node-1")
    address = fleet.caller_address("node-1")
    service = fleet.processes["orders"].ready["address"]

    def is_served():
        headers = {"Authorization": f"Bearer {KEY}"}
        return send(address, "/services/status/path", {}, headers)[0] == 200

    await_true(is_served, what="a service call")
    call_json(service, "/control/settings", {"seconds": 600})
    nodes = Nodes(fleet)
    nodes.descriptors["node-1"] = 0
    crowd = Crowd(address, in_turn, nodes.count_descriptors)
    try:
        crowd.send(make_request(number) for number in range(callers))
        nodes.count_descriptors()
    finally:
        crowd.close()
    call_json(service, "/control/settings", {"seconds": 0})
    await_true(is_served, 60, "a response")
    nodes.check()


@pytest.mark.parametrize(
    ("make_request", "callers", "in_turn"),
    [
        (send_whole_bodies, CALLERS, True),
        (send_bodies_without_their_last_byte, CALLERS, False),
        (send_heads_without_an_end, CONNECTIONS, False),
    ],
)
def test_an_ordinary_caller_is_served_beside_those_of_another_address(
    nodes, make_request, callers, in_turn
):
    nodes.register(SilentTarget(), PLAIN_SERVICE)
    nodes.start("node-1")
    address = nodes.fleet.address("node-1")
    crowd = Crowd(address, in_turn, nodes.count_descriptors, "127.0.0.2")
    try:
        crowd.send(make_request(number) for number in range(callers))
        await_true(lambda: nodes.is_served("node-1"), 60, "a response beside the crowd")
    finally:
        crowd.close()
    nodes.check()


def test_a_request_that_was_refused_was_not_run(nodes):
    """A refusal says that the request has not run and never will."""
    fleet = nodes.fleet
    fleet.start_target("desk", PLAIN_SERVICE)
    nodes.start("node-1")
    fleet.set_faults("desk", mute=10 * REFUSED_CALLERS)
    with ThreadPoolExecutor(REFUSED_CALLERS) as callers:
        names = [f"large-{number}" for number in range(REFUSED_CALLERS)]
        replies = callers.map(lambda name: fleet.send("node-1", "order", name, BODY), names)
        statuses = dict(zip(names, replies, strict=True))
    refused = {name for name, reply in statuses.items() if reply.status == 503}
    assert refused.isdisjoint(run["request_id"] for run in fleet.list_runs("desk"))
    nodes.suffer(send_whole_bodies, 0)


def test_the_cases_are_sent_to_one_worker(request):
    """Several cases at a time would take the machine's memory from each other."""
    if hasattr(request.config, "workerinput"):
        assert request.node.nodeid.endswith("@untrusted_callers")
