"""Simulate the platform's store at the level of HTTP, and the client that calls it, over links.

Responses and refusals are those of standins.keyed_store.
"""

import base64
import json
import struct
from collections import Counter, deque
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from attrs import define, field

from bronzetiller.net.address import Address
from bronzetiller.net.http_client import (
    SILENCE,
    TOO_LARGE,
    TOO_LONG,
    BodyPart,
    CallFailed,
    CallListener,
    HttpCall,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.net.idle_connections import IDLE_SECONDS_MAX
from bronzetiller.net.scheduler import Timeout
from standins.fake_scheduler import FakeScheduler
from standins.keyed_store import ERA_HEADER, LENGTH, PAGE_RECORDS_MAX, Partition, split_records
from standins.shared_link import (
    HANDSHAKE_RETRANSMIT_SECONDS,
    STORE,
    Channel,
    FakeConnection,
    HostScheduler,
    Network,
)

STORE_ADDRESS = Address("10.0.0.1", 80)
HISTORY_SECONDS = 20.0
ANSWER_SECONDS = 0.004
PAGE_BYTES_MAX = 1024 * 1024
HEAD_BYTES = 200  # of a request or a response
HANDSHAKE_BYTES = 60

Respond = Callable[[int, bytes], None]


@define(eq=False)
class SimulatedStore:
    """Serve the calls of the nodes; answer_seconds is how long each answer takes.

    written_at holds the time of each append by topic and offset. A read that waits while its
    records are deleted gets what is left of them, or 410 if reports_deletion is set. With
    deletes_at_once, records have been deleted by the time that such a read is answered.
    """

    scheduler: FakeScheduler
    answer_seconds: float = ANSWER_SECONDS
    down: bool = False
    refused_nodes: set[str] = field(factory=set)
    reads: Counter[tuple[str, str]] = field(factory=Counter)  # by node and topic
    partitions: dict[str, Partition] = field(factory=dict)
    written_at: dict[str, list[float]] = field(factory=dict)
    reports_deletion: bool = True
    deletes_at_once: bool = False
    _times: dict[str, deque[float]] = field(factory=dict)
    _bodies: dict[tuple[str, int, Any], bytes] = field(factory=dict)

    def write(self, topic: str, key: str, value: bytes) -> int:
        """Append a record at once, as an operator or a target does; return its offset."""
        name = key.encode()
        return self._append_records(topic, [bytes([len(name)]) + name + value])

    def serve(self, node_id: str, call: HttpCall, respond: Respond) -> Callable[[], None]:
        """Serve a call; return an action that forgets it, as its caller has gone."""
        forgotten: list[bool] = []
        forget_read: list[Callable[[], None]] = []

        def respond_unless_forgotten(status: int, body: bytes) -> None:
            if not forgotten:
                respond(status, body)

        def forget() -> None:
            forgotten.append(True)
            for action in forget_read:
                action()

        def handle() -> None:
            url = urlsplit(call.path)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            if url.path == "/-/log-append":
                offset = self._append(query, bytes(call.body))
                respond_unless_forgotten(200 if offset >= 0 else 409, _dump({"offset": offset}))
                return
            if forgotten:
                return
            self.reads[node_id, query["topic"]] += 1
            if url.path == "/-/log-read":
                forget_read.append(self._read(query, respond_unless_forgotten))
            else:
                self._list_newest(query, respond_unless_forgotten)

        if self.down or node_id in self.refused_nodes:
            self.scheduler.call_after(
                ANSWER_SECONDS, lambda: respond_unless_forgotten(503, _dump({}))
            )
        else:
            self.scheduler.call_after(self.answer_seconds, handle)
        return forget

    def _find(self, topic: str) -> Partition:
        return self.partitions.setdefault(topic, Partition())

    def _append(self, query: dict[str, str], body: bytes) -> int:
        topic = query["topic"]
        if "producer" in query:
            known = self._find(topic).accept_sequence(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
            if known is not None:
                return known
        return self._append_records(topic, split_records(body))

    def _append_records(self, topic: str, records: list[bytes]) -> int:
        partition = self._find(topic)
        offset = partition.end_offset
        times = self._times.setdefault(topic, deque())
        now = self.scheduler.time
        for record in records:
            partition.append(record)
            times.append(now)
            self.written_at.setdefault(topic, []).append(now)
        partition.changes.clear()
        self._delete_before(topic, now - HISTORY_SECONDS)
        if self.deletes_at_once:
            self._delete_before(topic, now + 1.0)
        self._bodies = {key: body for key, body in self._bodies.items() if key[0] != topic}
        self.end_waits(topic)
        return offset

    def delete_history(self, topic: str) -> None:
        """Delete all records but the newest ones of the keys."""
        self._find(topic)
        self._delete_before(topic, self.scheduler.time + 1.0)
        self._bodies = {key: body for key, body in self._bodies.items() if key[0] != topic}

    def end_waits(self, topic: str) -> None:
        """Answer the reads that wait, before they have waited as long as they asked for."""
        partition = self._find(topic)
        waiting_reads, partition.waiting_reads = partition.waiting_reads, []
        for finish_read in waiting_reads:
            finish_read()

    def _delete_before(self, topic: str, deleted_before: float) -> None:
        partition = self._find(topic)
        times = self._times.setdefault(topic, deque())
        expired = 0
        while times and times[0] < deleted_before:
            times.popleft()
            expired += 1
        if expired:
            del partition.records[:expired]
            partition.first_offset += expired

    def _read(self, query: dict[str, str], respond: Respond) -> Callable[[], None]:
        topic = query["topic"]
        partition = self._find(topic)
        start = int(query["from"])
        if not partition.first_offset <= start <= partition.end_offset:
            respond(410, _dump({"first": partition.first_offset}))
            return lambda: None
        wait_seconds = int(query.get("wait_ms", 0)) / 1000
        bytes_max = int(query.get("max_kb", 1024)) * 1024
        if start < partition.end_offset or not wait_seconds:
            respond(200, self._encode_records(topic, start, bytes_max))
            return lambda: None

        def finish_read() -> None:
            timer.cancel()
            forget()
            if start < partition.first_offset and self.reports_deletion:
                respond(410, _dump({"first": partition.first_offset}))
            else:
                respond(200, self._encode_records(topic, start, bytes_max))

        def forget() -> None:
            if finish_read in partition.waiting_reads:
                partition.waiting_reads.remove(finish_read)

        timer = self.scheduler.call_after(wait_seconds, finish_read)
        partition.waiting_reads.append(finish_read)
        return forget

    def _encode_records(self, topic: str, start: int, bytes_max: int) -> bytes:
        body = self._bodies.get((topic, start, bytes_max))
        if body is not None:
            return body
        partition = self._find(topic)
        parts = [struct.pack(">QQ", partition.end_offset, partition.first_offset)]
        size = 0
        for record in partition.records[max(0, start - partition.first_offset) :]:
            if size and size + len(record) > bytes_max:
                break
            size += len(record)
            parts += [LENGTH.pack(len(record)), record]
        body = self._bodies[topic, start, bytes_max] = b"".join(parts)
        return body

    def _list_newest(self, query: dict[str, str], respond: Respond) -> None:
        topic, after = query["topic"], query.get("after", "")
        body = self._bodies.get((topic, -1, after))
        if body is None:
            body = self._bodies[topic, -1, after] = self._encode_page(topic, after)
        respond(200, body)

    def _encode_page(self, topic: str, after: str) -> bytes:
        partition = self._find(topic)
        keys = sorted(key for key in partition.latest if key > after)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_RECORDS_MAX]:
            offset, value = partition.latest[key]
            if size and size + len(value) > PAGE_BYTES_MAX:
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        more = len(items) < len(keys)
        return _dump({"items": items, "more_pages": more, "end": partition.end_offset})


def _dump(value: Any) -> bytes:
    return json.dumps(value).encode()


def describe_call(call: HttpCall) -> str:
    """Return the operation and the topic of a call to the store."""
    url = urlsplit(call.path)
    topic = parse_qs(url.query)["topic"][0]
    return f"{url.path.removeprefix('/-/log-')} {topic}"


@define(eq=False)
class _SimulatedCall:
    """Send one request and receive its response; timeouts are as of the real client."""

    client: "SimulatedHttpClient"
    call: HttpCall
    listener: CallListener
    kind: str
    connection: FakeConnection
    sent: bool = False
    done: bool = False
    received: int = 0
    reuse_prevented: bool = False
    silence: Timeout = field(init=False)
    end: Timeout = field(init=False)
    _handshake: Channel | None = None

    def __attrs_post_init__(self) -> None:
        scheduler = self.client.scheduler
        self.silence = scheduler.create_timeout(self._expire)
        self.end = scheduler.create_timeout(lambda: self.fail(TOO_LONG))

    def cancel(self) -> None:
        """Cancel the call and close its connection; no event follows."""
        if not self.done:
            self._close()

    def prevent_reuse(self) -> None:
        """Close the connection after this call instead of reusing it."""
        self.reuse_prevented = True

    def connect(self) -> None:
        """Open a connection, then send the request."""
        connection = self.connection
        timer = self.client.scheduler.call_after(
            self.call.connect_seconds, lambda: self.fail("connect: timeout")
        )
        network = self.client.network
        syn = Channel(network, connection.client, STORE)
        syn.retransmit_seconds = HANDSHAKE_RETRANSMIT_SECONDS
        synack = Channel(network, STORE, connection.client)

        def accept(size: int, last: bool) -> None:
            synack.send(HANDSHAKE_BYTES, "connect", confirm)

        def confirm(size: int, last: bool) -> None:
            self.client.run(open_connection)

        def open_connection() -> None:
            if not self.done:
                timer.cancel()
                self.transmit()

        self._handshake = syn
        syn.send(HANDSHAKE_BYTES, "connect", accept)

    def transmit(self) -> None:
        """Send the request."""
        call = self.call
        if call.may_send is not None and not call.may_send():
            self.fail("too late to send")
            return
        self.sent = True
        self.silence.expire_after(call.first_byte_seconds or call.silence_seconds)
        if call.seconds_max is not None:
            self.end.expire_after(call.seconds_max)
        size = HEAD_BYTES + len(call.path) + len(call.body)
        self.connection.requests.send(size, self.kind, self._serve)

    def _serve(self, size: int, last: bool) -> None:
        if last:
            connection, store = self.connection, self.client.store
            connection.on_server_close = store.serve(connection.client, self.call, self._respond)

    def _respond(self, status: int, body: bytes) -> None:
        def receive(size: int, last: bool) -> None:
            self.client.run(lambda: self._receive(status, body, size, last))

        self.connection.responses.send(HEAD_BYTES + len(body), self.kind, receive)

    def _receive(self, status: int, body: bytes, size: int, last: bool) -> None:
        if self.done:
            return
        self.silence.expire_after(self.call.silence_seconds)
        start = max(0, self.received - HEAD_BYTES)
        self.received += size
        if self.received == size:
            self.listener(ResponseHead(status, {ERA_HEADER.lower(): "1"}))
        limit = self.call.body_bytes_max
        if limit is not None and self.received - HEAD_BYTES > limit:
            self.fail(TOO_LARGE)
            return
        part = body[start : max(0, self.received - HEAD_BYTES)]
        if part and not self.done:
            self.listener(BodyPart(part))
        if last and not self.done:
            self._release()
            self.listener(ResponseEnd())

    def _release(self) -> None:
        self.done = True
        self.silence.cancel()
        self.end.cancel()
        self.connection.on_server_close = lambda: None
        if self.reuse_prevented:
            self.client.discard(self.connection)
        else:
            self.client.add_idle(self.connection)

    def _expire(self) -> None:
        self.fail(SILENCE)
        self.client.close_idle(STORE_ADDRESS)

    def fail(self, cause: str) -> None:
        """Close the connection and report the failure."""
        if not self.done:
            self._close()
            self.listener(CallFailed(cause, self.sent))

    def _close(self) -> None:
        self.done = True
        self.silence.cancel()
        self.end.cancel()
        if self._handshake is not None:
            self._handshake.stop()
        self.client.discard(self.connection)
        if self.client.network.is_far(self.connection.client, STORE):
            self.client.network.discarded_bytes[self.kind] += self.received


@define(eq=False)
class SimulatedHttpClient:
    """Call the store over the links, with a pool of idle connections."""

    scheduler: HostScheduler
    network: Network
    store: SimulatedStore
    node_id: str
    run: Callable[[Callable[[], None]], None]  # runs an action in the node's process
    _idle: list[tuple[float, FakeConnection]] = field(factory=list)
    _connections: set[FakeConnection] = field(factory=set)

    def send(self, call: HttpCall, listener: CallListener) -> _SimulatedCall:
        """Start a call; its events are passed to the listener in order."""
        kind = describe_call(call)
        now = self.scheduler.now()
        while self._idle and call.may_send is None:
            idle_until, connection = self._idle.pop()
            if now < idle_until:
                open_call = _SimulatedCall(self, call, listener, kind, connection)
                open_call.transmit()
                return open_call
            self.discard(connection)
        connection = FakeConnection(self.network, self.node_id, STORE)
        self._connections.add(connection)
        open_call = _SimulatedCall(self, call, listener, kind, connection)
        open_call.connect()
        return open_call

    def add_idle(self, connection: FakeConnection) -> None:
        self._idle.append((self.scheduler.now() + IDLE_SECONDS_MAX, connection))

    def close_idle(self, address: Address) -> None:
        """Close the idle connections, since another one has timed out."""
        for _, connection in self._idle:
            self.discard(connection)
        self._idle.clear()

    def discard(self, connection: FakeConnection) -> None:
        """Close a connection."""
        self._connections.discard(connection)
        connection.close()

    def close_all(self) -> None:
        """Close all connections, as the end of the process does."""
        for connection in list(self._connections):
            self.discard(connection)
