"""Test with a real node that a part of an answer, or what is no HTTP, never passes for whole."""

import contextlib
import itertools
import socket
import threading
import time

import pytest

from bronzetiller.net.response_ends import RESET_WAIT_SECONDS
from standins.gateway_fleet import (
    HOST,
    KEY,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    send_request,
)
from standins.path_engine import make_registration
from tests.conftest import await_true
from tests.raw_target import EVENT_STREAM, RESET, RawAnswer, RawTarget

PART = b"a part of it .."
PAUSE_SECONDS = 0.15  # from the end of the answer to the reset
REQUESTS = 4
SMALL_UPLOAD, LARGE_UPLOAD = 40_000, 900_000


class EarlyTarget:
    """Answer as soon as the head of a request is in, without a length; end as the test says."""

    def __init__(self, target_id, end, *, body=PART, reads_upload=False):
        self.target_id, self._end, self._body = target_id, end, body
        self._reads_upload = reads_upload
        self.requests = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        ip, port = self._listener.getsockname()
        return f"{ip}:{port}"

    def close(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(10)
            data = b""
            while b"\r\n\r\n" not in data:
                received = connection.recv(256)
                if not received:
                    return
                data += received
            head, _, body = data.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            if "/-/report" in lines[0]:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                return
            headers = dict(line.lower().split(": ", 1) for line in lines[1:])
            self.requests.append(headers.get("x-request-id", ""))
            left = int(headers.get("content-length", 0)) - len(body)
            answer = (
                "HTTP/1.1 200 OK\r\n"
                f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
                f"X-Response-Seal: {self.target_id}\r\n\r\n"
            )
            connection.sendall(answer.encode() + self._body)
            if self._end != "reset":
                connection.shutdown(socket.SHUT_WR)
            while self._reads_upload and left > 0:
                left -= len(connection.recv(65_536))
            if self._end in ("half-closed, then reset", "half-closed, then closed"):
                time.sleep(PAUSE_SECONDS)
            if self._end.endswith("reset"):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


@pytest.fixture
def fleet(warm_gateway):
    return warm_gateway


@pytest.fixture
def start(fleet):
    """Register a target; it is gone after the test."""
    targets = []

    def start_target(target, service=PLAIN_SERVICE):
        value = make_registration(target.target_id, service, target.address, "regina-a")
        fleet.append_record("keyed.servers", target.target_id, value)
        targets.append(target)
        return target

    yield start_target
    for target in targets:
        fleet.append_record("keyed.servers", target.target_id, b"")
        target.close()


_numbers = itertools.count()


def send(fleet, target, route, size):
    """Send a request until the target has got it; return the reply."""
    replies = []
    before = len(target.requests)

    def is_answered():
        name = f"e{next(_numbers)}"
        body = name.encode().ljust(size, b"u")
        headers = {"Host": HOST, "X-Request-Id": name, "Api-Key": KEY, "X-Deadline-Ms": "4000"}
        if route == "score":
            headers |= {"X-Token-Usage": "40,10", "X-Model": "m", "X-Prompt-Prefix": f"{name}:40"}
        address = fleet.address("node-1")
        replies.append(send_request(address, "POST", f"/{route}/{name}", headers, body))
        return len(target.requests) > before

    await_true(is_answered, what="a request at the target")
    return replies[-1]


CUT_ENDS = ["reset", "half-closed, then reset", "half-closed, then closed"]


@pytest.mark.parametrize("route", ["order", "status"])
@pytest.mark.parametrize("size", [SMALL_UPLOAD, LARGE_UPLOAD])
@pytest.mark.parametrize("end", CUT_ENDS)
def test_a_part_that_ends_while_the_upload_is_not_taken_is_not_whole(
    fleet, start, end, size, route
):
    target = start(EarlyTarget(f"early-{next(_numbers)}", end))
    statuses = [send(fleet, target, route, size).status for _ in range(REQUESTS)]
    assert 200 not in statuses


@pytest.mark.parametrize("size", [0, 100, SMALL_UPLOAD, LARGE_UPLOAD])
def test_an_answer_without_a_length_passes_once_the_upload_is_taken(fleet, start, size):
    target = start(EarlyTarget(f"proper-{next(_numbers)}", "closed", reads_upload=True))
    for _ in range(REQUESTS):
        reply = send(fleet, target, "order", size)
        assert reply.status == 200 and reply.body == PART


def test_an_answer_with_a_length_that_breaks_off_is_lost_at_once(fleet, start):
    headers = ("Content-Length: 600",)
    target = start(
        RawTarget(f"cut-{next(_numbers)}", lambda request: RawAnswer([PART], headers, "close")),
    )
    send(fleet, target, "order", 100)
    started_at = time.monotonic()
    assert send(fleet, target, "order", 100).status == 502
    assert time.monotonic() - started_at < RESET_WAIT_SECONDS


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize(("route", "service"), [("order", PLAIN_SERVICE), ("score", MODEL_SERVICE)])
def test_a_status_that_http_does_not_have_is_no_answer(fleet, start, status, route, service):
    headers = EVENT_STREAM if route == "score" else ()

    def answer(request):
        return RawAnswer(
            [b"2\r\n{}\r\n0\r\n\r\n"],
            (*headers, "Transfer-Encoding: chunked"),
            "close",
            status=f"{status} Odd",
        )

    target = start(RawTarget(f"odd-{next(_numbers)}", answer), service)
    for _ in range(REQUESTS):
        assert send(fleet, target, route, 20).status == 502
