"""Test with a real node that answers without end cost bounded memory and delay no other caller."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_fleet import HOST, KEY, MODEL_SERVICE, PLAIN_SERVICE, GatewayFleet
from standins.path_engine import make_registration
from tests.conftest import await_true
from tests.raw_http import connect, read_response
from tests.raw_target import EVENT_STREAM, RawAnswer, RawTarget

CALLERS = 300
MEMORY_MB_MAX = 150  # of 200 on the smallest VMs
OTHER_SECONDS_MAX = 1.0
PART = b"x" * 16 * 1024
CHUNK = b"%x\r\n%b\r\n" % (len(PART), PART)
CHUNKED = "Transfer-Encoding: chunked"
TINY_CHUNKS = b"1\r\nx\r\n" * 2_000
EVENT = b"id: 1\ndata: " + b"x" * 4_000 + b"\n\n"
REFUSED = "503 Service Unavailable"


def make_answer(parts, *headers, status="200 OK"):
    return RawAnswer(itertools.repeat(parts), headers, "close", status)


ANSWERS = {
    "chunks": lambda: make_answer(CHUNK, CHUNKED),
    "huge length": lambda: make_answer(PART, "Content-Length: 100000000000"),
    "no length": lambda: make_answer(PART),
    "refusal": lambda: make_answer(CHUNK, CHUNKED, "X-Not-Executed: 1", status=REFUSED),
    "tiny chunks": lambda: make_answer(TINY_CHUNKS, CHUNKED),
    "event": lambda: make_answer(PART, *EVENT_STREAM),
    "events": lambda: make_answer(EVENT, *EVENT_STREAM),
}


@pytest.fixture
def fleet():
    fleet = GatewayFleet()
    try:
        fleet.start_store()
        fleet.configure(1, prepaid=1_000_000)
        fleet.start_target("engine", MODEL_SERVICE, slots=CALLERS)
        fleet.start_target("desk", PLAIN_SERVICE)
        fleet.start_node("node-1")
        fleet.await_ready("node-1")
        await_true(lambda: fleet.send("node-1", "score", "warm").status == 200, what="tokens")
        yield fleet
    finally:
        fleet.close()


def read_peak_mb(process):
    with open(f"/proc/{process.popen.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@pytest.mark.parametrize("kind", list(ANSWERS))
def test_answers_without_end_cost_bounded_memory_and_delay_no_other_caller(fleet, kind):
    is_stream = kind.startswith("event")
    service, route = (MODEL_SERVICE, "score") if is_stream else (PLAIN_SERVICE, "order")
    other_route = "status" if is_stream else "score"
    target = RawTarget("endless", lambda request: ANSWERS[kind]())
    fleet.append_record("keyed.servers", "engine" if is_stream else "desk", b"")
    value = make_registration("endless", service, target.address, "regina-a", slots=CALLERS)
    fleet.append_record("keyed.servers", "endless", value)

    def send(number):
        name = f"{kind.replace(' ', '-')}-{number}"
        return fleet.send("node-1", route, name, item=name, X_Prompt_Prefix=f"{name}:40").status

    try:
        await_true(lambda: send("seen") and target.requests, what="a request at the target")
        slowest = 0.0
        with ThreadPoolExecutor(CALLERS) as callers:
            sent = [callers.submit(send, number) for number in range(CALLERS)]
            time.sleep(0.2)
            while not all(item.done() for item in sent):
                started_at = time.monotonic()
                reply = fleet.send("node-1", other_route, f"other-{started_at}")
                assert reply.status == 200 and reply.complete
                slowest = max(slowest, time.monotonic() - started_at)
                time.sleep(0.05)
        assert slowest < OTHER_SECONDS_MAX
        assert read_peak_mb(fleet.processes["node-1"]) < MEMORY_MB_MAX
    finally:
        target.close()


def test_a_stream_ends_once_it_has_more_events_than_its_request_allows(fleet):
    """The request allows ten tokens, one in each event."""
    event = b"id: 1\ndata: x\n\n"
    target = RawTarget("endless", lambda request: make_answer(event, *EVENT_STREAM))
    fleet.append_record("keyed.servers", "engine", b"")
    value = make_registration("endless", MODEL_SERVICE, target.address, "regina-a")
    fleet.append_record("keyed.servers", "endless", value)
    try:
        numbers = itertools.count()

        def send():
            name = f"long-{next(numbers)}"
            return fleet.send("node-1", "score", name, X_Prompt_Prefix=f"{name}:40")

        await_true(lambda: send() and target.requests, what="a request at the target")
        reply = send()
        assert reply.status == 200 and not reply.complete
        assert reply.body.count(event) <= 11
    finally:
        target.close()


def test_bodies_of_callers_in_tiny_chunks_delay_no_other_caller(fleet):
    head = f"POST /order/2f HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n{CHUNKED}\r\n\r\n"
    sockets = [connect(fleet.address("node-1")) for _ in range(40)]
    try:
        for sock in sockets:
            sock.sendall(head.encode() + 5 * TINY_CHUNKS)
        slowest = 0.0
        for number in range(10):
            started_at = time.monotonic()
            assert fleet.send("node-1", "score", f"other-{number}").status == 200
            slowest = max(slowest, time.monotonic() - started_at)
        assert slowest < OTHER_SECONDS_MAX
        for sock in sockets:
            sock.sendall(b"0\r\n\r\n")
        assert [read_response(sock).status for sock in sockets] == [200] * len(sockets)
    finally:
        for sock in sockets:
            sock.close()
