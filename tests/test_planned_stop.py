"""Test with a real node that a planned stop ends no request without an answer."""

import itertools
import os
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_fleet import HOST, KEY, PLAIN_SERVICE, GatewayFleet
from standins.path_engine import make_registration
from tests.conftest import await_true
from tests.raw_http import connect, read_response
from tests.raw_target import RawAnswer, RawTarget

BODY = b"answer"
ORDERS = 40
DEADLINE_SECONDS = 4.0
START_SECONDS = 1.0  # for the callers' threads to start
EARLY_SECONDS = 0.5  # before the stop, in which the first orders are sent


@pytest.fixture
def start():
    """Return a function that starts a node with a grace period and a target that takes a time."""
    fleet, targets = GatewayFleet(), []

    def start_node(grace_seconds, work_seconds):
        def answer(request):
            if request.path != "/order/warm":
                time.sleep(work_seconds)
            return RawAnswer([BODY], (f"Content-Length: {len(BODY)}", "Connection: close"), "close")

        fleet.start_store()
        fleet.configure(1)
        target = RawTarget("slow", answer)
        targets.append(target)
        value = make_registration("slow", PLAIN_SERVICE, target.address, "regina-a", slots=100)
        fleet.append_record("keyed.servers", "slow", value)
        fleet.start_node("node-1", grace_seconds=grace_seconds)
        fleet.await_ready("node-1")
        await_true(
            lambda: fleet.send("node-1", "order", "warm", item="warm").status == 200, what="service"
        )
        return fleet, target

    yield start_node
    fleet.close()
    for target in targets:
        target.close()


def make_order(name):
    lines = (
        f"POST /order/{name} HTTP/1.1",
        f"Host: {HOST}",
        f"Api-Key: {KEY}",
        f"X-Request-Id: {name}",
        f"X-Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}",
        "Content-Length: 6",
    )
    return "\r\n".join((*lines, "", "liner!")).encode()


def order_at(sock, name, send_at, pause_seconds):
    """Send an order at a time, its body after a pause; return its status or what went wrong."""
    time.sleep(max(0.0, send_at - time.monotonic()))
    data = make_order(name)
    try:
        sock.sendall(data[:-3])
        time.sleep(pause_seconds)
        sock.sendall(data[-3:])
        return read_response(sock).status
    except OSError as error:
        return type(error).__name__


@pytest.mark.parametrize(
    ("grace_seconds", "work_seconds", "pause_seconds"),
    [(8.0, 4.6, 0.0), (4.0, 1.5, 0.0), (4.0, 3.5, 0.3), (1.0, 0.7, 0.0), (0.4, 0.6, 0.0)],
)
@pytest.mark.parametrize("is_paused", [False, True])
def test_each_order_that_is_passed_on_during_a_stop_is_answered(
    start, grace_seconds, work_seconds, pause_seconds, is_paused
):
    """Orders on kept connections over the whole grace; the node may freeze for a moment."""
    fleet, target = start(grace_seconds, work_seconds)
    node = fleet.processes["node-1"].popen
    sockets = [connect(fleet.address("node-1")) for _ in range(ORDERS)]
    for number, sock in enumerate(sockets):
        sock.sendall(make_order("warm"))
        assert read_response(sock).status == 200, number
    stop_at = time.monotonic() + START_SECONDS + EARLY_SECONDS
    gaps = itertools.count()
    with ThreadPoolExecutor(ORDERS) as callers:
        sent = {
            f"order-{number}": callers.submit(
                order_at,
                sock,
                f"order-{number}",
                stop_at + (grace_seconds + EARLY_SECONDS) * next(gaps) / ORDERS - EARLY_SECONDS,
                pause_seconds,
            )
            for number, sock in enumerate(sockets)
        }
        time.sleep(max(0.0, stop_at - time.monotonic()))
        os.kill(node.pid, signal.SIGTERM)
        if is_paused:
            time.sleep(0.4 * grace_seconds)
            os.kill(node.pid, signal.SIGSTOP)
            time.sleep(0.1 * grace_seconds)
            os.kill(node.pid, signal.SIGCONT)
        assert node.wait(timeout=grace_seconds + 1.0) == 0
        results = {name: item.result() for name, item in sent.items()}
    for sock in sockets:
        sock.close()
    ran = {request.request_id for request in target.requests}
    unanswered = {
        name: results[name] for name in ran & set(results) if results[name] not in range(999)
    }
    untrue = {name: results[name] for name in ran & set(results) if results[name] == 503}
    assert not unanswered and not untrue
    assert time.monotonic() - stop_at < grace_seconds + 1.0
    if work_seconds < grace_seconds / 2:
        assert 200 in results.values()
