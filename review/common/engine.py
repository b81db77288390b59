"""Stand in for an engine of a plain service, which can be disturbed.

python engine.py ID RUNS_FILE

It serves one request at a time on a connection, keeps the connection, and appends a line to
RUNS_FILE when a run begins. POST /control/disturb takes how, seconds and share as JSON: for so
long, that share of the requests is affected.

extra: the answer is whole. At the point where the next response on the connection is expected, the
engine first writes bytes that belong to no request.

fail: the engine runs the request and then answers 503 without X-Not-Executed.
"""

import hashlib
import json
import random
import socket
import sys
import threading
import time
from io import BufferedReader
from pathlib import Path

from attrs import define, field, frozen

WORK_SECONDS = 0.045
SLOTS = 16
EXTRA_BODY = b"bytes of no request"


@frozen
class Request:
    """Hold one request as it was received."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave."""
        return self.headers.get("x-request-id", "")


def make_content(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    return f"answer to {request_id}".encode()


def make_seal(content: bytes) -> str:
    """Return the seal of an answer with a body."""
    return hashlib.sha256(content).hexdigest()[:16]


def make_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Answer", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


def read_request(reader: BufferedReader) -> Request | None:
    """Read one request with a body of a given length; return None at the end of the connection."""
    first = reader.readline()
    if not first:
        return None
    method, path, _ = first.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Request(method, path, headers, body)


@define(eq=False)
class Engine:
    """Answer requests on raw sockets and record each run; times are monotonic seconds."""

    engine_id: str
    runs_path: Path
    how: str = ""
    share: float = 0.0
    disturbed_until: float = 0.0
    _lock: threading.Lock = field(factory=threading.Lock)
    _listener: socket.socket = field(init=False)

    def serve(self) -> None:
        """Accept connections until the process is ended."""
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        ip, port = self._listener.getsockname()
        print(f"ready kind=engine id={self.engine_id} address={ip}:{port}", flush=True)
        while True:
            connection, _ = self._listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        extra = b""
        with connection, connection.makefile("rb") as reader:
            try:
                while (request := read_request(reader)) is not None:
                    if extra:
                        self._record("extra", before=request.request_id)
                    connection.sendall(extra + self._answer(request))
                    is_run = request.request_id and self._is_disturbed("extra")
                    body = EXTRA_BODY if is_run else b""
                    extra = make_answer(200, {}, body) if body else b""
            except OSError:
                return

    def _is_disturbed(self, how: str) -> bool:
        is_on = self.how == how and time.monotonic() < self.disturbed_until
        return is_on and random.random() < self.share

    def _answer(self, request: Request) -> bytes:
        if request.path == "/control/disturb":
            disturbance = json.loads(request.body)
            self.how, self.share = disturbance["how"], disturbance["share"]
            self.disturbed_until = time.monotonic() + disturbance["seconds"]
            return make_answer(200, {}, b"")
        if request.path == "/-/report":
            report = {"stage": "both", "models": [], "queued": 0, "running": 0}
            return make_answer(200, {}, json.dumps(report).encode())
        headers = {"X-Request-Id": request.request_id, "X-Instance-Id": self.engine_id}
        if request.path == "/healthz":
            return make_answer(200, headers, b"")
        if request.headers.get("x-expect-instance", self.engine_id) != self.engine_id:
            return make_answer(421, headers, b"")
        self._record("run", id=request.request_id, method=request.method, body=request.body)
        time.sleep(WORK_SECONDS)
        failed = self._is_disturbed("fail")
        content = b"the desk failed" if failed else make_content(request.request_id)
        if failed:
            self._record("failed", id=request.request_id)
        headers["X-Response-Seal"] = make_seal(content)
        return make_answer(503 if failed else 200, headers, content)

    def _record(self, event: str, **fields: str | bytes) -> None:
        values = {
            name: item.decode("latin-1") if isinstance(item, bytes) else item
            for name, item in fields.items()
        }
        line = {"at": round(time.time(), 3), "engine": self.engine_id, "event": event} | values
        with self._lock, self.runs_path.open("a") as file:
            file.write(json.dumps(line) + "\n")


if __name__ == "__main__":
    Engine(sys.argv[1], Path(sys.argv[2])).serve()
