"""Play the platform, the engines and the clients of a small deployment, on loopback addresses.

Everything here follows the users' pages; the nodes are processes of the project's own program.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "studio.example"
REGIONS = {"regina-a": "sask", "saskatoon-b": "sask", "winnipeg-a": "manitoba"}
STORE_IP = "127.0.0.2"
HEARTBEAT_SECONDS = 1.2
KEEP_ALIVE_SECONDS = 15
LONGEST_SECONDS = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


_given: set[tuple[str, int]] = set()


def find_port(ip: str) -> int:
    """Return a free port of a loopback address."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for port in random.sample(range(20_000, 32_000), 200):  # below those of connections
            if (ip, port) in _given:
                continue
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            _given.add((ip, port))
            return port
    raise CannotRunError(f"no free port at {ip}")


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


@dataclass
class Head:
    """Hold the first line and the headers of a message."""

    first: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; return None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(first, headers)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def make_answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Part:
    """Hold one partition of a topic."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, tuple[int, int, dict[int, int]]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """Be the platform's store; before, if set, decides whether a call is carried out."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.parts: dict[tuple[str, int], Part] = {}
        self.address = ""
        self.seconds = 0.004
        self.before: Callable[[str, dict[str, str]], Awaitable[bool]] | None = None

    async def start(self) -> None:
        """Listen."""
        port = find_port(STORE_IP)
        await asyncio.start_server(self._serve, STORE_IP, port)
        self.address = f"{STORE_IP}:{port}"

    def part(self, topic: str, number: int = 0) -> Part:
        """Return a partition, which is made on its first use."""
        return self.parts.setdefault((topic, number), Part())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as an operator or an engine does."""
        self._append(self.part(topic), topic, [bytes([len(key)]) + key.encode() + value])

    def _append(self, part: Part, topic: str, records: list[bytes]) -> int:
        offset = len(part.records)
        for record in records:
            if topic.startswith("keyed."):
                key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
                part.newest.pop(key, None)
                if value:
                    part.newest[key] = (len(part.records), value)
            part.records.append(record)
        event, part.changed = part.changed, asyncio.Event()
        event.set()
        return offset

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                method, target, _ = head.first.split(" ")
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                if self.before is not None and not await self.before(parts.path, query):
                    abort(writer)
                    return
                await asyncio.sleep(self.seconds)
                status, answer = await self._answer(parts.path, query, body)
                kind = "octet-stream" if parts.path == "/-/log-read" and status == 200 else "json"
                writer.write(make_answer(status, answer, {"Content-Type": f"application/{kind}"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic, part = query["topic"], self.part(query["topic"], int(query["part"]))
        if path == "/-/log-append":
            return self._handle_append(topic, part, query, body)
        if path == "/-/log-newest":
            keys = sorted(key for key in part.newest if key > query.get("after", ""))
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(part.newest[key][1]).decode(),
                    "offset": part.newest[key][0],
                }
                for key in keys[:500]
            ]
            page = {"items": items, "more_pages": len(keys) > 500, "end": len(part.records)}
            return 200, json.dumps(page).encode()
        if path == "/-/log-read":
            start = int(query["from"])
            if start > len(part.records):
                return 410, json.dumps({"first": 0}).encode()
            if start == len(part.records) and int(query.get("wait_ms", "0")):
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(part.changed.wait(), int(query["wait_ms"]) / 1000)
            answer = struct.pack(">QQ", len(part.records), 0)
            for record in part.records[start:]:
                answer += struct.pack(">I", len(record)) + record
            return 200, answer
        return 404, b"{}"

    def _handle_append(
        self, topic: str, part: Part, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records, at = [], 0
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4 : at + 4 + size])
            at += 4 + size
        if "at" in query and int(query["at"]) != len(part.records):
            return 412, json.dumps({"end": len(part.records)}).encode()
        producer = query.get("producer")
        if producer is not None:
            epoch, number = int(query["epoch"]), int(query.get("sequence", "0"))
            known, last, offsets = part.producers.get(producer, (-1, 0, {}))
            if epoch < known:
                return 409, json.dumps({"reason": "fenced"}).encode()
            if epoch == known and number in offsets:
                repeated = {"offset": offsets[number], "end": len(part.records)}
                return 200, json.dumps(repeated).encode()
            if epoch == known and number != last + 1:
                return 409, json.dumps({"reason": "seq", "sequence": last + 1}).encode()
            offsets = dict(list(offsets.items())[-4:]) if epoch == known else {}
            offsets[number] = len(part.records)
            part.producers[producer] = (epoch, number, offsets)
        offset = self._append(part, topic, records)
        return 200, json.dumps({"offset": offset, "end": len(part.records)}).encode()


@dataclass
class Run:
    """Hold what an engine was sent, and what became of it."""

    at: float
    engine: str
    request_id: str
    headers: dict[str, str]
    path: str
    ran: bool = False
    events: int = 0
    ended: str = ""


class Engine:
    """Be an engine: a plain service, or one that streams events if it has a stride."""

    def __init__(
        self,
        world: World,
        name: str,
        service: str,
        zone: str = "regina-a",
        *,
        slots: int = 8,
        queue: int = 24,
        work_seconds: float = 0.045,
        gap_seconds: float = 0.02,
    ) -> None:
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots, self.queue = slots, queue
        self.work_seconds, self.gap_seconds = work_seconds, gap_seconds
        self.ip = world.next_ip()
        self.port = find_port(self.ip)
        self.state, self.beat, self.born = "ready", 0, int(time.time() * 1000)
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(slots)
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.beats, self.starts = True, 0
        self.on_cut: Callable[[], None] | None = None
        self.lose_answer: Callable[[Run], bool] = lambda run: False
        self.cut_after: Callable[[Run], int | None] = lambda run: None

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.world.tasks.append(asyncio.create_task(self._beat()))

    async def crash(self, seconds: float) -> None:
        """Lose all connections and be away for some seconds; come back with another id."""
        self.go_down()
        await self.come_back(seconds)

    async def come_back(self, seconds: float) -> None:
        """Start again after some seconds, with another id."""
        await asyncio.sleep(seconds)
        self.starts += 1
        self.name = f"{self.name.split('.')[0]}.{self.starts}"
        self.born = int(time.time() * 1000)
        self.beats = True
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    def go_down(self) -> None:
        """Close the listener and reset all connections, at one moment."""
        assert self.server is not None
        self.beats = False
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def _beat(self) -> None:
        while True:
            if self.beats:
                self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def register(self) -> None:
        """Write the registration."""
        self.beat += 1
        value = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.beat,
            "born": self.born,
        }
        self.world.store.put("keyed.servers", self.name, json.dumps(value).encode())

    def _headers(self, request_id: str = "") -> dict[str, str]:
        headers = {"X-Server-Load": f"{self.running},{self.waiting},{self.slots}"}
        headers["Keep-Alive"] = f"timeout={KEEP_ALIVE_SECONDS}"
        if request_id:
            headers["X-Request-Id"] = request_id
        return headers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head.headers)
                method, target, _ = head.first.split(" ")
                if target == "/healthz":
                    extra = self._headers() | {"X-Instance-Id": self.name}
                    writer.write(make_answer(200, b"ok", extra))
                elif target == "/-/report":
                    report = {"stage": "both", "queued": self.waiting, "running": self.running}
                    writer.write(make_answer(200, json.dumps(report).encode()))
                else:
                    work = asyncio.create_task(self._run(target, head.headers, writer))
                    gone = asyncio.create_task(self._watch(reader))
                    done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                    if work not in done:
                        work.cancel()
                        return
                    gone.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await gone
                    if not work.result():
                        return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader) -> None:
        """Return once the caller has closed the connection."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def _run(self, path: str, headers: dict[str, str], writer: asyncio.StreamWriter) -> bool:
        request_id = headers.get("x-request-id", "")
        run = Run(self.world.record.now(), self.name, request_id, headers, path)
        self.world.runs.append(run)
        note = self.world.record.note
        refusal = 0
        if headers.get("x-expect-instance", self.name) != self.name:
            refusal = 421
        elif not request_id:
            refusal = 400
        elif self.slot.locked() and self.waiting >= self.queue:
            refusal = 503
        if refusal:
            run.ended = f"refused {refusal}"
            note(f"{self.name} refuses {request_id} with {refusal}")
            extra = self._headers(request_id) | {"X-Not-Executed": "1"}
            writer.write(make_answer(refusal, b"not run", extra))
            return True
        seconds = int(headers.get("x-deadline-ms", "60000")) / 1000
        ends_at = time.monotonic() + seconds
        self.waiting += 1
        try:
            await asyncio.wait_for(self.slot.acquire(), max(0.001, seconds))
        except TimeoutError:
            run.ended = "refused 503"
            extra = self._headers(request_id) | {"X-Not-Executed": "1"}
            writer.write(make_answer(503, b"not run", extra))
            return True
        finally:
            self.waiting -= 1
        self.running += 1
        run.ran = True
        note(f"{self.name} runs {request_id} tenant={headers.get('x-tenant')} {path}")
        try:
            if "x-token-usage" in headers:
                return await self._stream(run, headers, writer, ends_at)
            await asyncio.sleep(self.work_seconds)
            run.ended = "200"
            if self.lose_answer(run):
                run.ended = "200, answer lost"
                note(f"{self.name} loses the answer to {request_id}")
                abort(writer)
                return False
            extra = self._headers(request_id) | {"X-Response-Seal": f"{self.name}.{request_id}"}
            writer.write(make_answer(200, f"done {request_id}".encode(), extra))
            return True
        finally:
            self.running -= 1
            self.slot.release()
            note(f"{self.name} ends {request_id} events={run.events} {run.ended or 'broken off'}")

    async def _stream(
        self, run: Run, headers: dict[str, str], writer: asyncio.StreamWriter, ends_at: float
    ) -> bool:
        total = int(headers["x-token-usage"].split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        cut = self.cut_after(run)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        extra = self._headers(run.request_id) | {
            "X-Response-Seal": f"{self.name}.{run.request_id}",
            "X-Weight-Versions": "1",
        }
        lines += [f"{name}: {value}" for name, value in extra.items()]
        await asyncio.sleep(self.work_seconds)
        if cut == 0:
            abort(writer)
            return False
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, total + 1):
            data = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            run.events += 1
            if cut is not None and run.events >= cut:
                if self.on_cut is None:
                    abort(writer)
                else:
                    self.on_cut()
                return False
            if time.monotonic() > ends_at:
                run.ended = "deadline"
                abort(writer)
                return False
            await asyncio.sleep(self.gap_seconds)
        writer.write(b"0\r\n\r\n")
        run.ended = "200"
        return True


@dataclass
class Answer:
    """Hold what a client got; status 0 means no answer."""

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    events: int = 0
    sent: bool = False


class Node:
    """Run one process of the project's program, as the deploy file and the template say."""

    def __init__(self, world: World, name: str, zone: str) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.ip = world.next_ip()
        self.ports = {
            kind: find_port(self.ip)
            for kind in ("callers", "readiness", "lookup", "metrics", "peers")
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.store_address = world.store.address

    def address(self, kind: str = "callers") -> str:
        """Return one of the addresses."""
        return f"{self.ip}:{self.ports[kind]}"

    def write_settings(self) -> Path:
        """Write what the template gives for this node."""
        world, bounds = self.world, self.world.bounds
        settings = {
            "node_id": self.name,
            "region": REGIONS[self.zone],
            "data_centre": self.zone,
            "data_centres": REGIONS,
            "listen": {kind: self.address(kind) for kind in self.ports},
            "fleet_secret": f"bronzetiller at {world.store.address}",
            "seeds": [item.address("peers") for item in world.nodes[:3]],
            "store": {"address": self.store_address},
            "configuration": {"apply_ms": 3000, "contact_ms": 4000},
            "capacity": {
                "cores": 0.537,
                "speed": 2,
                "link_mbps": 1000.0,
                "memory_mb": 300,
                "descriptors": 4100,
            },
            "retries": bounds,
            "cold_targets": {},
            "stop": {"grace_seconds": 8},
            "budgets": {"charge_undelivered": False},
        }
        path = world.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(settings))
        return path

    def start(self) -> None:
        """Start the process."""
        path = self.write_settings()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bronzetiller.gateway", str(path)],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=_restore_signals,
        )
        self.started_at = time.monotonic()
        self.world.record.note(f"{self.name} starts, process {self.process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.world.record.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            return (await ask(self.address("readiness"), "GET", "/-/readyz", {})).status == 200
        except OSError:
            return False

    async def await_ready(self, seconds: float = 20.0) -> None:
        """Wait until the node says that it is ready."""
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRunError(f"{self.name} is not ready after {seconds} s")
            await asyncio.sleep(0.05)


def _restore_signals() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


class CannotRunError(Exception):
    """Say why a case could not run."""


async def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    on_event: Callable[[Answer], None] | None = None,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    ip, _, port = address.rpartition(":")
    answer = Answer(headers.get("X-Request-Id", ""))
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in ({"Host": HOST} | headers).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer.sent = True
        head = await read_head(reader)
        if head is None:
            return answer
        answer.status, answer.headers = int(head.first.split(" ")[1]), head.headers
        try:
            if head.headers.get("transfer-encoding", "").lower() != "chunked":
                answer.body = await read_body(reader, head.headers)
            else:
                while True:
                    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    data = (await reader.readexactly(size + 2))[:-2]
                    if not size:
                        break
                    answer.body += data
                    answer.events = answer.body.count(b"\n\n")
                    if on_event is not None:
                        on_event(answer)
            answer.complete = True
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        return answer
    except ConnectionError:
        return answer
    finally:
        writer.close()


class World:
    """Hold one small deployment."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="bronzetiller-case-"))
        self.store = Store(self.record)
        self.engines: list[Engine] = []
        self.nodes: list[Node] = []
        self.runs: list[Run] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.bounds = {"ratio": 0.2, "allowance": 52, "window_seconds": 10}
        self._ips = iter(range(11, 250))
        self._ids = iter(range(1, 10_000_000))
        self.prefix = f"{int(time.time() * 1000):x}"

    def next_ip(self) -> str:
        """Return a loopback address that nothing else here uses."""
        return f"127.0.0.{next(self._ips)}"

    def next_id(self) -> str:
        """Return a request id."""
        return f"{self.prefix}-{next(self._ids):06d}"

    async def add_engine(self, name: str, service: str, zone: str, **fields: Any) -> Engine:
        """Start an engine."""
        engine = Engine(self, name, service, zone, **fields)
        self.engines.append(engine)
        await engine.start()
        return engine

    def configure(self, version: int, **fields: Any) -> None:
        """Write a configuration as the operator does."""
        document = make_configuration(version, **fields)
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record.note(f"the operator writes version {version}")

    async def start_nodes(self, *zones: str) -> None:
        """Start a node in each of the zones and wait until all are ready."""
        for index, zone in enumerate(zones):
            self.nodes.append(Node(self, f"edge-{zone}-{index + 1}", zone))
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.await_ready()

    async def send(
        self, node: Node, route: str, request_id: str | None = None, **headers: str
    ) -> Answer:
        """Send a request to a route of the configuration."""
        request_id = request_id or self.next_id()
        fields = {"X-Request-Id": request_id, "X-Deadline-Ms": "4000", "Api-Key": "key-studio"}
        if route in ("draft", "score"):
            fields |= {
                "X-Model": "m",
                "X-Token-Usage": "40,10",
                "X-Prompt-Prefix": f"aa:30,{request_id.replace('-', '')}:10",
            }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        fields = {name: value for name, value in fields.items() if value}
        method = "GET" if route == "status" else "POST"
        body = b"" if method == "GET" else b"body"
        self.record.note(f"client sends {request_id} to {node.name} /{route}/")
        try:
            answer = await ask(node.address(), method, f"/{route}/2f", fields, body)
        except (TimeoutError, OSError) as error:
            answer = Answer(request_id)
            self.record.note(f"client cannot connect for {request_id}: {error!r}")
        self.record.note(
            f"client gets {answer.status} for {request_id} complete={answer.complete}"
            f" events={answer.events} seal={answer.headers.get('x-response-seal')}"
        )
        return answer

    def close(self) -> None:
        """End all processes that were started."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration(
    version: int, *, prepaid: int = 10_000_000, timeout_ms: int = 4_000, **more: Any
) -> dict[str, Any]:
    """Return a configuration with two streaming and two plain routes."""

    def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "hostname": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": 350,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
        } | fields

    document = {
        "version": version,
        "routes": [
            make_route("draft", "streaming", "namegen", resume_streams=True, gap_aim_ms=250),
            make_route("score", "streaming", "namegen", max_attempts=1, gap_aim_ms=250),
            make_route("order", "non_idempotent", "desk", max_attempts=1),
            make_route("status", "idempotent", "desk"),
        ],
        "services": [
            {
                "name": "namegen",
                "health_path": "/healthz",
                "max_connections": 360,
                "engine": {"slots": 64, "kv_capacity": 535_426, "stride": 1},
            },
            {"name": "desk", "health_path": "/healthz", "max_connections": 96},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "studio", "api_keys": ["key-studio"], "prepaid": prepaid}],
    }
    return document | more


def run_case(folder: Path, play: Callable[[World], Awaitable[str | None]]) -> None:
    """Play a case and exit with 1 if it returns what was broken, 0 if nothing, 2 if it can't."""

    async def main() -> int:
        world = World(folder)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            await world.store.start()
            broken = await asyncio.wait_for(play(world), LONGEST_SECONDS)
            world.record.note(f"result: {broken or 'the rule held'}")
            print(broken or "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            world.record.note(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
            return 2
        finally:
            world.close()

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda loop, context: None)  # connections that the end cut off
    status = loop.run_until_complete(main())
    sys.stdout.flush()
    os._exit(status)
