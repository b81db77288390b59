"""Test with real nodes that copies of refusals do not pass for refusals of requests that run."""

import itertools
import json
import re
import socket
import time

import pytest

from standins.gateway_fleet import MODEL_SERVICE, PLAIN_SERVICE, send_request
from standins.path_engine import make_registration
from tests.conftest import await_true
from tests.copying_target import CopyingTarget, make_refusal
from tests.raw_target import RawAnswer, RawRequest

REFUSALS = ("503 Service Unavailable", "429 Too Many Requests", "400 Bad Request")
REQUESTS = 6
NOT_RUN_STATUSES = (408, 421, 429, 503)


@pytest.fixture
def fleet(warm_gateway):
    return warm_gateway


@pytest.fixture
def register(fleet):
    """Return a function that registers a target id until the end of the test."""
    names = []

    def register(target_id, service, address, **fields):
        value = make_registration(target_id, service, address, "regina-a", **fields)
        fleet.append_record("keyed.servers", target_id, value)
        names.append(target_id)

    yield register
    for name in names:
        fleet.append_record("keyed.servers", name, b"")


@pytest.fixture
def start_copying(register):
    """Return a function that starts and registers a copying target."""
    started = []

    def start(refuse, *, service=PLAIN_SERVICE, **fields):
        target_id = f"copying-{time.monotonic_ns()}"
        started.append(
            CopyingTarget(refuse, service == MODEL_SERVICE, target_id=target_id, **fields)
        )
        register(target_id, service, started[-1].raw.address)
        return started[-1]

    yield start
    for target in started:
        target.raw.close()


def make_refuse_first(status):
    """Return a function that refuses the first arrival of each id."""
    seen = set()

    def refuse(request):
        is_first = request.request_id not in seen and "run" not in request.request_id
        seen.add(request.request_id)
        return make_refusal(status) if is_first else None

    return refuse


def find_closed_address():
    """Return an address that refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def send(fleet, route, request_id, node_id="node-1"):
    """Send a request whose prompt is its own, and return its reply."""
    segments = f"{request_id}:40"
    return fleet.send(node_id, route, request_id, item=request_id, X_Prompt_Prefix=segments)


def await_served(fleet, route, target, node_id="node-1"):
    """Wait until the node knows the target, or a peer that serves for it."""
    numbers = itertools.count()

    def is_served():
        request_id = f"run-{node_id}-{target.target_id}-{next(numbers)}"
        return send(fleet, route, request_id, node_id).status == 200 and target.runs[request_id]

    await_true(is_served, what="a run at the target")


def read_charges(fleet):
    """Return the tokens that the node charged for each id, over all requests under it."""
    charges = {}
    for line in (fleet.folder / "node-1.log").read_text().splitlines():
        if " event=request " in f" {line} ":
            request_id = re.search(r"\bid=(\S+)", line)[1]
            tokens = int(re.search(r"\btokens=(\d+)", line)[1])
            charges[request_id] = charges.get(request_id, 0) + tokens
    return charges


def count_registrations(fleet, target):
    """Return how often the node has logged a start of the target."""
    lines = (fleet.folder / "node-1.log").read_text().splitlines()
    marks = ("event=target_registered ", f" target={target.target_id} ")
    return sum(all(mark in f"{line} " for mark in marks) for line in lines)


def check_promises(fleet, target, replies):
    """Check the replies of requests, each a list in the order in which they were sent."""
    for request_id, sequence in replies.items():
        statuses = [reply.status for reply in sequence]
        assert target.runs[request_id] <= 1, (request_id, statuses)
        if target.runs[request_id]:
            assert statuses[-1] not in NOT_RUN_STATUSES, (request_id, statuses)
            assert statuses[-1] != 400, (request_id, statuses)
    if target.streamed:
        charges = read_charges(fleet)
        assert all(charges[item] > 0 for item in replies if target.runs[item]), charges


def send_until_run(fleet, route, request_id, node_id="node-1", act_between=lambda: None):
    """Send one id again after each refusal, as a caller that believes it; return the replies."""
    replies = []

    def is_run():
        replies.append(send(fleet, route, request_id, node_id))
        is_refused = replies[-1].status in (*NOT_RUN_STATUSES, 400)
        if is_refused:
            act_between()
        return not is_refused

    await_true(is_run, what="an end without a refusal")
    return replies


@pytest.mark.parametrize("route", ["order", "score"])
@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize(("others", "copies"), [(0, 1), (3, 2)], ids=["next", "later"])
def test_an_id_sent_again_is_not_refused_by_the_copy_of_its_refusal(
    fleet, start_copying, route, status, others, copies
):
    service = MODEL_SERVICE if route == "score" else PLAIN_SERVICE
    refuse = make_refuse_first(status)
    target = start_copying(refuse, service=service, copies=copies, awaits_id=True)
    await_served(fleet, route, target)
    numbers = itertools.count()
    replies = {}
    for number in range(REQUESTS):
        request_id = f"{target.target_id}-{number}"

        def send_others():
            for _ in range(others):
                send(fleet, route, f"run-{next(numbers)}")

        replies[request_id] = send_until_run(fleet, route, request_id, act_between=send_others)
    check_promises(fleet, target, replies)
    assert all(target.runs[request_id] for request_id in replies), replies


@pytest.mark.parametrize("route", ["order", "score"])
def test_an_id_sent_again_through_a_peer_is_not_refused_by_the_copy_of_its_refusal(
    fleet, start_copying, route
):
    """The node that callers use reaches no target."""
    service = MODEL_SERVICE if route == "score" else PLAIN_SERVICE
    target = start_copying(make_refuse_first(REFUSALS[0]), service=service, awaits_id=True)
    await_served(fleet, route, target)
    node_id = f"cut-off-{route}"
    view = {"name": node_id, "replacements": {target.raw.address: find_closed_address()}}
    body = json.dumps(view).encode()
    reply = send_request(fleet.store_address, "POST", "/control/view", {}, body)
    fleet.start_node(node_id, store_address=json.loads(reply.body)["address"])

    def await_peer():
        await_served(fleet, route, target, node_id)

    await_peer()
    replies = {}
    for number in range(2):
        request_id = f"{target.target_id}-{number}"
        replies[request_id] = send_until_run(fleet, route, request_id, node_id, await_peer)
    fleet.processes[node_id].kill()
    check_promises(fleet, target, replies)
    assert all(target.runs[request_id] for request_id in replies), replies


@pytest.mark.parametrize("route", ["order", "score"])
def test_a_restart_at_an_address_is_not_refused_by_the_copy_of_a_misdirection(
    fleet, start_copying, register, route
):
    """The registration of an ended start stands beside the new one."""

    def refuse(request):
        is_ended = request.expected_target != target.target_id
        return make_refusal("421 Misdirected Request") if is_ended else None

    service = MODEL_SERVICE if route == "score" else PLAIN_SERVICE
    target = start_copying(refuse, service=service)
    await_served(fleet, route, target)
    replies = {}
    for number in range(3 * REQUESTS):
        request_id = f"{target.target_id}-{number}"
        register("ended", service, target.raw.address, born=number + 2)
        time.sleep(0.1)  # until the node knows the ended start
        replies[request_id] = [send(fleet, route, request_id)]
    check_promises(fleet, target, replies)
    assert target.copied
    assert [item[0].status for item in replies.values()] == [200] * len(replies)


@pytest.mark.parametrize("route", ["order", "score"])
@pytest.mark.parametrize("status", ["503 Service Unavailable", "421 Misdirected Request"])
@pytest.mark.parametrize("place", ["reason", "value", "name"])
def test_a_copy_cut_in_its_head_is_not_a_refusal_of_the_next_request(
    fleet, start_copying, register, route, status, place
):
    def refuse(request):
        is_refused = request.request_id in refused
        return make_refusal(status, "X-Note: copied") if is_refused else None

    service = MODEL_SERVICE if route == "score" else PLAIN_SERVICE
    target = start_copying(refuse, service=service)
    head = target.raw.make_head(RawRequest(f"{0:08}", 0), make_refusal(status, "X-Note: copied"))
    marks = {"reason": b"\r\n", "value": b"pied\r\n", "name": b"ote:"}
    target.cut = head.index(marks[place])
    refused = {f"{number:08}" for number in range(0, 2 * REQUESTS, 2)}
    await_served(fleet, route, target)
    replies = {}
    for number in range(2 * REQUESTS):
        if status.startswith("421"):  # the node takes the target for gone
            before = count_registrations(fleet, target)
            register(target.target_id, service, target.raw.address, born=number + 2)
            await_true(
                lambda before=before: count_registrations(fleet, target) > before,
                what="a registration at the node",
            )
        request_id = f"{number:08}"
        replies[request_id] = [send(fleet, route, request_id)]
    check_promises(fleet, target, replies)
    assert target.copied


def make_unnamed(status):
    body = b"an earlier one"
    lines = (f"Content-Length: {len(body)}",)
    return RawAnswer([body], lines, "keep", status, named=False, sealed=False)


@pytest.mark.parametrize("route", ["order", "score"])
@pytest.mark.parametrize("status", ["404 Not Found", "500 Internal Server Error"])
def test_a_copied_error_without_an_id_is_not_the_response_to_the_next_request(
    fleet, start_copying, route, status
):
    def refuse(request):
        return make_unnamed(status) if "failing" in request.request_id else None

    service = MODEL_SERVICE if route == "score" else PLAIN_SERVICE
    target = start_copying(refuse, service=service)
    await_served(fleet, route, target)
    replies = {}
    for number in range(3 * REQUESTS):
        prefix = "run" if number % 3 == 2 else "failing"
        request_id = f"{prefix}-{target.target_id}-copied-{number}"
        replies[request_id] = [send(fleet, route, request_id)]
    check_promises(fleet, target, replies)
    assert target.copied
    for request_id, (reply,) in replies.items():
        assert "failing" in request_id or reply.status in (200, 502), reply


@pytest.mark.parametrize("status", ["404 Not Found", "500 Internal Server Error"])
def test_a_request_without_an_id_does_not_get_the_copied_error_of_another(
    fleet, start_copying, status
):
    def refuse(request):
        return make_unnamed(status) if "failing" in request.request_id else None

    target = start_copying(refuse)
    await_served(fleet, "order", target)
    for number in range(REQUESTS):
        for part in range(2):
            send(fleet, "order", f"failing-{target.target_id}-{number}-{part}")
        runs = target.runs[""]
        assert send(fleet, "order", "").status == 200
        assert target.runs[""] == runs + 1
