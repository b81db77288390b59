"""Send requests over keep-alive connections and time the responses."""

import asyncio
import json
import time

from attrs import define, field

HOST_HEADER = "Host: bench\r\n"


@define
class ResponseTiming:
    """Hold the status and the times (seconds) of one response, and why it was refused."""

    status: int
    first_token_seconds: float = 0.0
    gap_seconds: list[float] = field(factory=list)
    chunks: int = 0
    reason: str = ""
    retry_after: str = ""
    total_seconds: float = 0.0


def make_get_request(path: str) -> bytes:
    """Return the bytes of a GET request."""
    return f"GET {path} HTTP/1.1\r\n{HOST_HEADER}\r\n".encode()


def make_chat_request(key: str, prompt: str, tokens: int, *, stream: bool) -> bytes:
    """Return the bytes of a chat completion request."""
    body = json.dumps(
        {
            "model": "namer",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
    ).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\n{HOST_HEADER}Authorization: Bearer {key}\r\n"
    head += f"Content-Type: application/json\r\nX-Request-Id: bench\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


class KeepAliveClient:
    """Send requests one after another over one keep-alive connection."""

    def __init__(self, address: str) -> None:
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, request: bytes) -> ResponseTiming:
        """Send one request and read its complete response."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._ip, self._port)
        reader, writer = self._streams
        started_at = time.perf_counter()
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        timing = ResponseTiming(int(head.split()[1]))
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        timing.retry_after = fields.get("retry-after", "")
        if fields.get("transfer-encoding") == "chunked":
            await self._read_chunks(reader, timing, started_at)
        else:
            body = await reader.readexactly(int(fields["content-length"]))
            if timing.status != 200 and body.startswith(b"{"):
                timing.reason = json.loads(body).get("reason", "")
        if fields.get("connection") == "close":
            self.close()
        timing.total_seconds = time.perf_counter() - started_at
        return timing

    async def _read_chunks(
        self, reader: asyncio.StreamReader, timing: ResponseTiming, started_at: float
    ) -> None:
        last = started_at
        while size := int(await reader.readline(), 16):
            data = await reader.readexactly(size + 2)
            now = time.perf_counter()
            events = data.count(b'"content"')
            if events and not timing.chunks:
                timing.first_token_seconds = now - started_at
            elif events:
                timing.gap_seconds.append(now - last)
            timing.chunks += events
            last = now
        await reader.readline()

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def send_repeatedly(
    address: str, request: bytes, connections: int, total: int
) -> list[ResponseTiming]:
    """Send a request repeatedly over several connections; return the timing of each response."""
    remaining = total
    timings: list[ResponseTiming] = []

    async def send_remaining() -> None:
        nonlocal remaining
        client = KeepAliveClient(address)
        while remaining > 0:
            remaining -= 1
            timings.append(await client.send(request))
        client.close()

    await asyncio.gather(*(send_remaining() for _ in range(connections)))
    return timings


def find_quantile(values: list[float], fraction: float) -> float:
    """Return the value below which the given fraction of the values lies, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
