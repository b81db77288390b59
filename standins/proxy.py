"""Forward TCP connections and inject faults into them.

python -m standins.proxy

One process holds any number of links; each forwards a listening port to one upstream address. The
control port reads one JSON object per line and responds to each with one line:

    {"add": NAME, "upstream": "ip:port"}      -> {"address": "ip:port"}
    {"links": [NAME, ...], "fault": {...}}    -> {}
    {"links": [NAME, ...], "copying": {...}}  -> {}; null ends it
    {"move": NAME, "upstream": "ip:port"}     -> {}; for new connections
    {"count": [NAME, ...]}                    -> {"bytes": N, "copies": N}

A link added with "is_http": true can write copies of the responses, as standins.copies describes.
"""

import argparse
import asyncio
import json
import socket
import time
from random import Random
from typing import Any

from attrs import define, field

from standins.copies import Copying, CopyingConnection

READ_BYTES = 64 * 1024


@define
class Fault:
    """Describe the fault of a link; the default forwards all traffic unchanged.

    cut closes open connections, also new ones once they are accepted; refuse stops listening, so
    that new connections are refused. silent leaves open connections open but forwards no data on
    them, while new connections work. drop_requests and drop_answers discard the data of one
    direction without closing the connection, and also what follows on it once they are cleared, as
    TCP delivers no later data without the earlier. Links of one group share bytes_per_second in
    each direction.
    """

    cut: bool = False
    refuse: bool = False
    silent: bool = False
    drop_requests: bool = False
    drop_answers: bool = False
    delay_seconds: float = 0.0
    bytes_per_second: float = 0.0
    group: str = ""


@define
class Throttle:
    """Hold the time until one direction of a link or group is busy (seconds, monotonic clock)."""

    busy_until: float = 0.0


@define(eq=False)
class ForwardedConnection:
    """Hold a client's connection and the matching connection to the upstream."""

    link: "Link"
    writers: list[asyncio.StreamWriter]
    silenced: bool = False
    copies: CopyingConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.copies = CopyingConnection(self.link.random)

    def close(self) -> None:
        for writer in self.writers:
            writer.close()


@define(eq=False)
class Link:
    """Forward a listening port to one upstream, subject to the fault of the link."""

    name: str
    ip: str
    port: int
    own_port: int = 0
    server: asyncio.Server | None = None
    reserved: socket.socket | None = None  # bound to own_port while it does not listen
    fault: Fault = field(factory=Fault)
    connections: set[ForwardedConnection] = field(factory=set)
    bytes_forwarded: int = 0
    throttles: dict[tuple[str, bool], Throttle] = field(factory=dict)
    is_http: bool = False
    copying: Copying | None = None
    copies_written: int = 0
    random: Random = field(factory=lambda: Random(0))

    def set_fault(self, fault: Fault) -> None:
        self.fault = fault
        for connection in list(self.connections):
            if fault.cut:
                connection.close()
            if fault.silent:
                connection.silenced = True

    async def listen(self, *, enabled: bool) -> None:
        """Start or stop listening, always on the same port; it stays bound meanwhile."""
        if enabled and self.server is None:
            listener = self.reserved or self._bind()
            self.own_port = listener.getsockname()[1]
            self.server = await asyncio.start_server(self.accept, sock=listener)
        elif not enabled and self.server is not None:
            self.reserved = self._bind()
            self.server.close()
            self.server = None

    def _bind(self) -> socket.socket:
        """Bind the port without listening, so that no other socket gets it."""
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind(("127.0.0.1", self.own_port))
        return bound

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault.cut:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(self.ip, self.port)
        except OSError:
            writer.transport.abort()
            return
        connection = ForwardedConnection(self, [writer, upstream_writer])
        self.connections.add(connection)
        await asyncio.gather(
            self._forward(connection, reader, upstream_writer, requests=True),
            self._forward(connection, upstream_reader, writer, requests=False),
        )
        connection.close()
        self.connections.discard(connection)

    async def _forward(
        self,
        connection: ForwardedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        requests: bool,
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        sender = asyncio.create_task(self._send_delayed(queue, writer))
        dropped = False
        try:
            while data := await reader.read(READ_BYTES):
                fault = self.fault
                dropped = dropped or (fault.drop_requests if requests else fault.drop_answers)
                if self.is_http:
                    data = self._add_copies(connection, data, requests)
                if not connection.silenced and not dropped:
                    self.bytes_forwarded += len(data)
                    queue.put_nowait((self._compute_send_time(fault, len(data), requests), data))
        except OSError:
            pass
        queue.put_nowait((0.0, b""))
        await sender

    def _add_copies(self, connection: ForwardedConnection, data: bytes, requests: bool) -> bytes:
        """Return the data to forward; write the copies that precede the response to a request."""
        copies = connection.copies
        copied = copies.copied
        if not requests:
            data = copies.handle_response(data, self.copying)
        else:
            early = copies.handle_request(data, self.copying)
            if early and not connection.silenced and not self.fault.drop_answers:
                connection.writers[0].write(early)
        self.copies_written += copies.copied - copied
        return data

    def _compute_send_time(self, fault: Fault, size: int, requests: bool) -> float:
        now = time.monotonic()
        if not fault.bytes_per_second:
            return now + fault.delay_seconds
        throttle = self.throttles.setdefault((fault.group or self.name, requests), Throttle())
        throttle.busy_until = max(now, throttle.busy_until) + size / fault.bytes_per_second
        return throttle.busy_until + fault.delay_seconds

    async def _send_delayed(
        self, queue: "asyncio.Queue[tuple[float, bytes]]", writer: asyncio.StreamWriter
    ) -> None:
        while True:
            send_time, data = await queue.get()
            if not data:
                break
            delay = send_time - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            try:
                writer.write(data)
                await writer.drain()
            except OSError:
                break
        writer.close()


@define
class Proxy:
    """Hold all links and the throttles that they share by group and direction."""

    links: dict[str, Link] = field(factory=dict)
    throttles: dict[tuple[str, bool], Throttle] = field(factory=dict)

    async def handle_control(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while line := await reader.readline():
            response = await self._execute(json.loads(line))
            writer.write(json.dumps(response).encode() + b"\n")
            await writer.drain()
        writer.close()

    async def _execute(self, command: dict[str, Any]) -> dict[str, Any]:
        if "add" in command:
            ip, _, port = command["upstream"].rpartition(":")
            link = self.links[command["add"]] = Link(command["add"], ip, int(port))
            link.is_http = command.get("is_http", False)
            link.throttles = self.throttles
            await link.listen(enabled=True)
            return {"address": f"127.0.0.1:{link.own_port}"}
        if "move" in command:
            link = self.links[command["move"]]
            link.ip, _, port = command["upstream"].rpartition(":")
            link.port = int(port)
            return {}
        if "count" in command:
            links = [self.links[name] for name in command["count"]]
            return {
                "bytes": sum(link.bytes_forwarded for link in links),
                "copies": sum(link.copies_written for link in links),
            }
        if "copying" in command:
            copying = None if command["copying"] is None else Copying(**command["copying"])
            for name in command["links"]:
                self.links[name].copying = copying
            return {}
        for name in command["links"]:
            fault = Fault(**command["fault"])
            self.links[name].set_fault(fault)
            await self.links[name].listen(enabled=not fault.refuse)
        return {}


async def run(listen: str) -> None:
    proxy = Proxy()
    ip, _, port = listen.rpartition(":")
    server = await asyncio.start_server(proxy.handle_control, ip, int(port), limit=1024 * 1024)
    bound = server.sockets[0].getsockname()
    print(f"ready kind=proxy address={bound[0]}:{bound[1]}", flush=True)
    async with server:
        await server.serve_forever()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    asyncio.run(run(parser.parse_args().listen))


if __name__ == "__main__":
    main()
