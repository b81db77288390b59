"""Stand-in for the platform's append-only log service.

python -m standins.log --listen ip:port [--keep-records N]
"""

import json
import time
from collections import deque
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

from attrs import define, field

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop
from standins.process import respond_json, run_record_store

RECORD_BYTES_MAX = 256 * 1024


@define
class Stream:
    first_offset: int = 0
    entries: deque[dict[str, Any]] = field(factory=deque)
    waiting_reads: list[Callable[[], None]] = field(factory=list)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.entries)


@define
class Faults:
    """Hold the faults that were set through the control interface."""

    down: bool = False
    drop_answers: int = 0
    delay_seconds: float = 0.0


class Log:
    def __init__(self, loop: Loop, keep_records: int) -> None:
        self._loop = loop
        self._keep_records = keep_records
        self._streams: dict[str, Stream] = {}
        self._faults = Faults()
        self._appends = 0
        self._delayed_appends = 0

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == "/control/faults":
            self._faults = Faults(**json.loads(exchange.body))
            respond_json(exchange, 200, {})
            return
        if exchange.path == "/control/counts":
            value = {"appends": self._appends, "delayed_appends": self._delayed_appends}
            respond_json(exchange, 200, value)
            return
        if self._faults.down:
            exchange.abort()
            return
        parts = exchange.path.split("/")
        if len(parts) != 5 or parts[1:3] != ["v1", "streams"] or parts[4] != "records":
            respond_json(exchange, 404, {"error": "no such path"})
            return
        stream = self._streams.setdefault(unquote(parts[3]), Stream())
        handle = self._append if exchange.method == "POST" else self._read
        delay = self._faults.delay_seconds
        if delay and exchange.method == "POST":
            self._delayed_appends += 1
        self._loop.scheduler.call_after(delay, lambda: handle(exchange, stream))

    def _append(self, exchange: Exchange, stream: Stream) -> None:
        records = json.loads(exchange.body)["records"]
        if any(len(json.dumps(record)) > RECORD_BYTES_MAX for record in records):
            respond_json(exchange, 413, {"error": "a record is too large"})
            return
        first_offset = stream.end_offset
        for record in records:
            entry = {"offset": stream.end_offset, "at": time.time(), "record": record}
            stream.entries.append(entry)
        self._appends += 1
        while len(stream.entries) > self._keep_records:
            stream.entries.popleft()
            stream.first_offset += 1
        waiting_reads, stream.waiting_reads = stream.waiting_reads, []
        for finish_read in waiting_reads:
            finish_read()
        if self._faults.drop_answers > 0:
            self._faults.drop_answers -= 1
            exchange.abort()
            return
        respond_json(exchange, 200, {"first_offset": first_offset})

    def _read(self, exchange: Exchange, stream: Stream) -> None:
        query = {name: int(values[0]) for name, values in parse_qs(exchange.query).items()}
        start = query.get("from", 0)
        if start < stream.first_offset:
            respond_json(exchange, 410, {"first_offset": stream.first_offset})
            return
        if start < stream.end_offset or not query.get("wait_ms"):
            self._send_records(exchange, stream, start, query.get("limit", 1000))
            return
        timer = self._loop.scheduler.call_after(query["wait_ms"] / 1000, lambda: finish_read())

        def finish_read() -> None:
            timer.cancel()
            if finish_read in stream.waiting_reads:
                stream.waiting_reads.remove(finish_read)
            self._send_records(exchange, stream, start, query.get("limit", 1000))

        stream.waiting_reads.append(finish_read)

    def _send_records(self, exchange: Exchange, stream: Stream, start: int, limit: int) -> None:
        index = start - stream.first_offset
        end = min(index + limit, len(stream.entries))
        value = {
            "records": [stream.entries[i] for i in range(max(0, index), end)],
            "first_offset": stream.first_offset,
            "end_offset": stream.end_offset,
        }
        respond_json(exchange, 200, value)


if __name__ == "__main__":
    run_record_store("log", lambda loop, keep_records: Log(loop, keep_records).serve)
