"""Send HTTP requests over raw sockets that regular HTTP clients cannot send."""

import json
import socket
import time

from attrs import define


@define
class RawResponse:
    status: int
    headers: dict[str, str]
    body: bytes
    buffered: bytes

    @property
    def problem(self):
        return json.loads(self.body)


def connect(address, receive_bytes=None):
    sock = socket.socket()
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    ip, _, port = address.rpartition(":")
    sock.settimeout(20)
    sock.connect((ip, int(port)))
    return sock


def make_chat_request(key, prompt, **fields):
    body = {"model": "namer", "messages": [{"role": "user", "content": prompt}], "max_tokens": 8}
    data = json.dumps(body | fields).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
    return f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data


def read_response(sock, buffered=b""):
    """Read one final response; buffered holds bytes that were received before and after it."""
    while b"\r\n\r\n" not in buffered:
        buffered += receive(sock)
    head, _, buffered = buffered.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    status = int(first.split()[1])
    if status == 100:
        return read_response(sock, buffered)
    headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}
    if headers.get("transfer-encoding") == "chunked":
        body, buffered = _read_chunks(sock, buffered)
        return RawResponse(status, headers, body, buffered)
    size = int(headers["content-length"])
    while len(buffered) < size:
        buffered += receive(sock)
    return RawResponse(status, headers, buffered[:size], buffered[size:])


def _read_chunks(sock, buffered):
    body = b""
    while True:
        while b"\r\n" not in buffered:
            buffered += receive(sock)
        line, _, buffered = buffered.partition(b"\r\n")
        size = int(line, 16)
        while len(buffered) < size + 2:
            buffered += receive(sock)
        body, buffered = body + buffered[:size], buffered[size + 2 :]
        if not size:
            return body, buffered


def receive(sock):
    data = sock.recv(65536)
    if not data:
        raise ConnectionError("the connection was closed")
    return data


def await_close(sock, seconds=10):
    """Read until the other end closes; return how long that took in seconds."""
    started_at = time.monotonic()
    sock.settimeout(seconds)
    try:
        while sock.recv(65536):
            pass
    except ConnectionResetError:
        pass
    return time.monotonic() - started_at
