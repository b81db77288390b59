"""Test the HTTP server with malformed, slow and oversized requests over raw sockets."""

import contextlib
import json
import resource
import socket
import urllib.request
from pathlib import Path

import pytest

from standins.engine import make_words
from standins.fleet import Fleet, call_json
from tests.conftest import KEY, await_ready, await_true, read_records, send_chat
from tests.raw_http import await_close, connect, make_chat_request, read_response

HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
NODE_LIMITS = {
    "body_bytes_max": 100_000,
    "receive_seconds": 1.0,
    "idle_seconds": 1.5,
    "stall_seconds": 4.0,
    "unsent_bytes_max": 16_384,
}


@pytest.fixture(scope="module")
def fleet():
    fleet = Fleet()
    try:
        fleet.start_platform()
        fleet.add_target("engine-1", "names", "west", "west-1", "--token-seconds", "0.001")
        fleet.add_node("node-1", "west", "west-1", limits=NODE_LIMITS)
        fleet.publish_workspace("studio", KEY, 10_000_000)
        fleet.publish("route", "namer", {"service": "names", "answer_tokens_max": 20_000})
        await_ready(fleet, "node-1")
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def address(fleet):
    """Yield the node's address; afterwards check that the node still runs and serves."""
    address = fleet.caller_address("node-1")
    yield address
    assert fleet.processes["node-1"].popen.poll() is None
    assert call_json(address, "/healthz")["healthy"]


def _post(*headers, body=b""):
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: h", f"Authorization: Bearer {KEY}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode() + body


def _get(target, *headers, version="1.1"):
    return "\r\n".join([f"GET {target} HTTP/{version}", *headers, "", ""]).encode()


REFUSED_REQUESTS = {
    "no host": (_get("/healthz"), 400),
    "TLS handshake": (b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    "version 2.0": (_get("/healthz", "Host: h", version="2.0"), 505),
    "malformed port of host": (_get("/healthz", "Host: h:port"), 400),
    "oversized head": (_get("/healthz", "Host: h", "X-Filler: " + "x" * 2_000_000), 431),
    "declared oversized body": (_post("Content-Length: 107374182400"), 413),
    "oversized chunked body": (
        _post("Transfer-Encoding: chunked", body=b"1ffff\r\n" + b"x" * 0x1FFFF + b"\r\n0\r\n\r\n"),
        413,
    ),
    "malformed chunk": (_post("Transfer-Encoding: chunked", body=b"zz\r\nab\r\n"), 400),
    "negative length": (_post("Content-Length: -1", body=b"x"), 400),
    "length that is not a number": (_post("Content-Length: ten", body=b"x"), 400),
    "very long length": (_post("Content-Length: " + "9" * 5000), 400),
    "repeated length": (_post("Content-Length: 1", "Content-Length: 2", body=b"xx"), 400),
    "length and chunked encoding": (_post("Content-Length: 1", "Transfer-Encoding: chunked"), 400),
    "unknown encoding": (_post("Transfer-Encoding: br"), 501),
    "repeated idempotency key": (
        _post("Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 0"),
        400,
    ),
    "parent path": (_get("/services/../v1/entry", "Host: h"), 400),
    "encoded parent path": (_get("/services/%2E%2e/v1/entry", "Host: h"), 400),
    "encoded slash": (_get("/services/a%2fb", "Host: h"), 400),
    "encoded null byte": (_get("/services/a%00", "Host: h"), 400),
    "no path": (_get("healthz", "Host: h"), 400),
    "unknown path": (_get("/nothing", "Host: h"), 404),
    "asterisk": (b"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 404),
    "CONNECT": (b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
    "wrong method": (b"DELETE /v1/entry HTTP/1.1\r\nHost: h\r\n\r\n", 405),
    "wrong key": (make_chat_request("wrong", "hello"), 401),
    "body that is not JSON": (_post("Content-Length: 3", body=b"{,}"), 400),
    "deeply nested JSON": (_post("Content-Length: 90000", body=b"[" * 90000), 400),
    "number as body": (_post("Content-Length: 1", body=b"7"), 400),
    "negative max_tokens": (make_chat_request(KEY, "x", max_tokens=-1), 400),
}


@pytest.mark.parametrize("name", REFUSED_REQUESTS)
def test_an_invalid_request_gets_a_typed_refusal_and_no_bill(fleet, address, name):
    data, status = REFUSED_REQUESTS[name]
    billed = len(read_records(fleet, "bill"))
    with connect(address) as sock:
        with contextlib.suppress(ConnectionError):  # the refusal may precede the last byte
            sock.sendall(data)
        response = read_response(sock)
    assert response.status == status
    assert response.headers["content-type"] == "application/problem+json"
    assert response.problem["ran"] == "no" and response.problem["reason"]
    assert len(read_records(fleet, "bill")) == billed


@pytest.mark.parametrize(
    "head",
    [
        _get("/healthz", "Host: [::1]:80"),
        _get("http://other/healthz", "Host: h"),
        _get("/healthz?a=/../", "Host: h", "Cookie: =;;bad[cookie]; a"),
        _get("/healthz", version="1.0"),
    ],
)
def test_an_unusual_but_valid_request_is_served(address, head):
    with connect(address) as sock:
        sock.sendall(head)
        assert read_response(sock).status == 200


def test_a_request_sent_byte_by_byte_is_served(address):
    with connect(address) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in make_chat_request(KEY, "drop by drop"):
            sock.sendall(bytes([byte]))
        response = read_response(sock)
    words = "".join(make_words("drop by drop", 8))
    assert json.loads(response.body)["choices"][0]["message"]["content"] == words


def test_pipelined_requests_get_their_responses_in_order(address):
    prompts = [f"pipelined {number}" for number in range(4)]
    with connect(address) as sock:
        requests = [make_chat_request(KEY, p, stream=i % 2 == 0) for i, p in enumerate(prompts)]
        sock.sendall(b"".join(requests) + HEALTH_REQUEST * 1500)
        buffered = b""
        for prompt in prompts:
            response = read_response(sock, buffered)
            assert make_words(prompt, 8)[-1].encode() in response.body
            buffered = response.buffered
        for _ in range(1500):
            response = read_response(sock, buffered)
            assert json.loads(response.body) == {"healthy": True}
            buffered = response.buffered
    assert buffered == b""


def test_a_slow_request_is_refused_and_an_idle_connection_closed(address):
    with connect(address) as slow, connect(address) as idle:
        slow.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHos")
        response = read_response(slow)
        assert (response.status, response.problem["reason"]) == (408, "request_timeout")
        await_close(idle)
        await_close(slow)


def test_a_half_closed_caller_gets_its_response(fleet, address):
    call_json(fleet.vms["engine-1"]["address"], "/control/settings", {"first_token_seconds": 1.5})
    try:
        with connect(address) as sock:
            sock.sendall(make_chat_request(KEY, "half closed"))
            sock.shutdown(socket.SHUT_WR)
            response = read_response(sock)
    finally:
        settings = {"first_token_seconds": 0.02}
        call_json(fleet.vms["engine-1"]["address"], "/control/settings", settings)
    assert response.status == 200
    with connect(address) as sock:
        sock.sendall(make_chat_request(KEY, "half sent")[:-5])
        sock.shutdown(socket.SHUT_WR)
        assert read_response(sock).status == 400


def test_a_disconnected_caller_has_its_request_cancelled(fleet, address):
    engine = fleet.vms["engine-1"]["address"]
    call_json(engine, "/control/settings", {"first_token_seconds": 30})
    try:
        with connect(address) as sock:
            sock.sendall(make_chat_request(KEY, "gone"))
            await_true(lambda: call_json(engine, "/v1/load")["running"], what="the attempt")
        await_true(lambda: _count_open_requests(address) == 0, 5, "the cancellation")
    finally:
        call_json(engine, "/control/settings", {"first_token_seconds": 0.02})


def test_an_exception_in_one_request_fails_that_request_only(fleet):
    with connect(fleet.vms["engine-1"]["address"]) as sock:
        for body in (b"{", b"[]"):
            head = f"POST /control/settings HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
            sock.sendall(head.encode() + b"\r\n\r\n" + body)
            assert read_response(sock).status == 500
        sock.sendall(b"GET /v1/load HTTP/1.1\r\nHost: h\r\n\r\n")
        assert read_response(sock).status == 200


def test_connections_above_the_limit_are_refused_immediately(fleet):
    fleet.add_node("node-3", "west", "west-1", limits={"connections_max": 8})
    await_ready(fleet, "node-3")
    address = fleet.caller_address("node-3")
    with contextlib.ExitStack() as stack:
        for _ in range(8):
            sock = stack.enter_context(connect(address))
            sock.sendall(HEALTH_REQUEST)
            assert read_response(sock).status == 200
        response = read_response(stack.enter_context(connect(address)))
        assert (response.status, response.problem["reason"]) == (503, "overloaded")
        assert response.headers["retry-after"] == "1"
    await_true(lambda: call_json(address, "/healthz")["healthy"], what="free connections")


def test_a_node_out_of_file_descriptors_recovers_once_some_are_free(fleet):
    fleet.add_node("node-4", "west", "west-1")
    await_ready(fleet, "node-4")
    address = fleet.caller_address("node-4")
    process = fleet.processes["node-4"]
    count = len(list(Path(f"/proc/{process.popen.pid}/fd").iterdir())) + 20
    resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, (count, count))
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(connect(address)) for _ in range(60)]
        socks[0].sendall(HEALTH_REQUEST)
        assert read_response(socks[0]).status == 200
        log = fleet.folder / "node-4.log"
        await_true(lambda: "descriptors_exhausted" in log.read_text(), what="the log event")
    await_true(
        lambda: call_json(address, "/healthz")["healthy"], what="service after the exhaustion"
    )
    assert process.popen.poll() is None


def test_a_stopping_node_closes_connections_after_their_response(fleet):
    fleet.add_node("node-5", "west", "west-1")
    await_ready(fleet, "node-5")
    address = fleet.caller_address("node-5")
    with connect(address) as stream, connect(address) as keep_alive:
        stream.sendall(make_chat_request(KEY, "a long stream", max_tokens=3_000, stream=True))
        await_true(lambda: stream.recv(1), what="the first byte")
        keep_alive.sendall(HEALTH_REQUEST)
        assert "connection" not in read_response(keep_alive).headers
        fleet.processes["node-5"].stop()
        await_true(lambda: "event=stopping" in (fleet.folder / "node-5.log").read_text())
        keep_alive.sendall(HEALTH_REQUEST)
        assert read_response(keep_alive).headers["connection"] == "close"
        assert await_close(keep_alive) < 5
        assert make_words("a long stream", 3_000)[-1].encode() in read_response(stream, b"H").body


def test_a_request_beyond_its_deadline_is_refused_and_cancelled(fleet, address):
    engine = fleet.vms["engine-1"]["address"]
    fleet.add_node("node-2", "west", "west-1", limits={"request_seconds_max": 1.0})
    await_ready(fleet, "node-2")
    short_limit_address = fleet.caller_address("node-2")
    call_json(engine, "/control/settings", {"first_token_seconds": 30})
    try:
        status, body = send_chat(short_limit_address, "too long")
        assert (status, body["reason"], body["ran"]) == (504, "deadline", "unknown")
        await_true(lambda: _count_open_requests(short_limit_address) == 0, 5, "the cancellation")
    finally:
        call_json(engine, "/control/settings", {"first_token_seconds": 0.02})


def _count_open_requests(address):
    with urllib.request.urlopen(f"http://{address}/metrics") as response:
        lines = response.read().decode().splitlines()
    name = "bronzetiller_open_requests "
    return next(float(line[len(name) :]) for line in lines if line.startswith(name))


@pytest.fixture
def engine_with_large_chunks(fleet):
    """Yield the address of an engine that sends large chunks quickly."""
    engine = fleet.vms["engine-1"]["address"]
    call_json(engine, "/control/settings", {"pad_bytes": 16_384, "token_seconds": 0.0005})
    yield engine
    call_json(engine, "/control/settings", {"pad_bytes": 0, "token_seconds": 0.001})


def _await_generated_chunks(engine, count):
    start = call_json(engine, "/control/requests")["generated"]

    def is_reached():
        return call_json(engine, "/control/requests")["generated"] >= start + count

    await_true(is_reached, what="the engine's chunks")


def test_a_caller_that_stops_reading_is_disconnected_without_affecting_others(
    address, engine_with_large_chunks
):
    with connect(address, receive_bytes=4096) as slow:
        slow.sendall(make_chat_request(KEY, "never read", max_tokens=20_000, stream=True))
        _await_generated_chunks(engine_with_large_chunks, 100)
        assert send_chat(address)[0] == 200
        await_true(lambda: _count_open_requests(address) == 0, 20, "the disconnection")


def test_a_caller_that_reads_late_gets_the_complete_response(address, engine_with_large_chunks):
    with connect(address, receive_bytes=4096) as late:
        late.sendall(make_chat_request(KEY, "read late", max_tokens=900, stream=True))
        _await_generated_chunks(engine_with_large_chunks, 900)
        body = read_response(late).body
    text = "".join(make_words("read late", 900))
    chunks = [json.loads(line[6:]) for line in body.split(b"\n\n") if line.startswith(b"data: {")]
    assert "".join(c["choices"][0]["delta"].get("content", "") for c in chunks) == text


def test_two_thousand_connections_are_served_at_once(address):
    socks = [connect(address) for _ in range(2000)]
    try:
        for sock in socks:
            sock.sendall(HEALTH_REQUEST)
        assert all(read_response(sock).status == 200 for sock in socks)
    finally:
        for sock in socks:
            sock.close()
