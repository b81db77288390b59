"""Stand-in for the platform's keyed store: topics of records, read by offset or latest by key.

python -m standins.keyed_store --listen ip:port [--keep-records N]
"""

import base64
import json
import struct
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from attrs import define, field

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop
from standins.process import respond_json, run_record_store

OPERATOR_HEADER = "x-standin-operator"  # on writes of operators and targets; bypasses all faults
PAGE_RECORDS_MAX = 500
LENGTH = struct.Struct(">I")


def split_records(body: bytes) -> list[bytes]:
    """Return the length-prefixed records of a request body."""
    records = []
    position = 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + size])
        position += size
    return records


def split_key(record: bytes) -> tuple[str, bytes]:
    """Return the key and value of a keyed record; an empty value deletes the key."""
    return record[1 : 1 + record[0]].decode(), record[1 + record[0] :]


@define
class Partition:
    first_offset: int = 0
    records: list[bytes] = field(factory=list)
    latest: dict[str, tuple[int, bytes]] = field(factory=dict)
    waiting_reads: list[Callable[[], None]] = field(factory=list)
    writers: dict[str, tuple[int, int, dict[int, int]]] = field(factory=dict)

    @property
    def end_offset(self) -> int:
        return self.first_offset + len(self.records)

    def accept_sequence(self, writer: str, epoch: int, sequence: int) -> int | None:
        """Return the offset of a duplicate, -1 if out of sequence, or None if recorded as new."""
        last_epoch, last_sequence, offsets = self.writers.get(writer, (-1, 0, {}))
        if epoch < last_epoch:
            return -1
        if epoch == last_epoch:
            if sequence in offsets:
                return offsets[sequence]
            if sequence != last_sequence + 1:
                return -1
        else:
            offsets = {}
        self.writers[writer] = (epoch, sequence, offsets | {sequence: self.end_offset})
        return None

    def append(self, record: bytes) -> None:
        key, value = split_key(record)
        if value:
            self.latest[key] = (self.end_offset, value)
        else:
            self.latest.pop(key, None)
        self.records.append(record)


@define
class Faults:
    """Hold the faults that were set through the control interface."""

    down: bool = False
    silent: bool = False
    drop_answers: int = 0
    delay_seconds: float = 0.0


class KeyedStore:
    def __init__(self, loop: Loop, keep_records: int) -> None:
        self._loop = loop
        self._keep_records = keep_records
        self._partitions: dict[tuple[str, str], Partition] = {}
        self._faults = Faults()

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == "/control/faults":
            self._faults = Faults(**json.loads(exchange.body))
            respond_json(exchange, 200, {})
            return
        bypasses_faults = OPERATOR_HEADER in exchange.headers
        if self._faults.silent and not bypasses_faults:
            return
        if self._faults.down and not bypasses_faults:
            respond_json(exchange, 503, {})
            return
        query = {name: values[0] for name, values in parse_qs(exchange.query).items()}
        handle = {
            "/-/log-append": self._append,
            "/-/log-read": self._read,
            "/-/log-newest": self._list_latest,
        }.get(exchange.path)
        if handle is None:
            respond_json(exchange, 404, {})
            return
        name = (query["topic"], query["part"])
        partition = self._partitions.setdefault(name, Partition())
        delay = 0.0 if bypasses_faults else self._faults.delay_seconds
        self._loop.scheduler.call_after(delay, lambda: handle(exchange, partition, query))

    def _append(self, exchange: Exchange, partition: Partition, query: dict[str, Any]) -> None:
        if "producer" in query:
            earlier_offset = partition.accept_sequence(
                query["producer"], int(query["epoch"]), int(query["sequence"])
            )
            if earlier_offset is not None:
                status = 409 if earlier_offset < 0 else 200
                respond_json(exchange, status, {"offset": earlier_offset, "reason": "fenced"})
                return
        offset = partition.end_offset
        for record in split_records(exchange.body):
            partition.append(record)
        while len(partition.records) > self._keep_records:
            partition.records.pop(0)
            partition.first_offset += 1
        waiting_reads, partition.waiting_reads = partition.waiting_reads, []
        for finish_read in waiting_reads:
            finish_read()
        if self._faults.drop_answers > 0 and OPERATOR_HEADER not in exchange.headers:
            self._faults.drop_answers -= 1
            exchange.abort()
            return
        respond_json(exchange, 200, {"offset": offset, "end": partition.end_offset})

    def _read(self, exchange: Exchange, partition: Partition, query: dict[str, Any]) -> None:
        start = int(query["from"])
        if start < partition.first_offset:
            respond_json(exchange, 410, {"first": partition.first_offset})
            return
        wait_ms = int(query.get("wait_ms", 0))
        if start < partition.end_offset or not wait_ms:
            self._send_records(exchange, partition, start)
            return
        timer = self._loop.scheduler.call_after(wait_ms / 1000, lambda: finish_read())

        def finish_read() -> None:
            timer.cancel()
            if finish_read in partition.waiting_reads:
                partition.waiting_reads.remove(finish_read)
            self._send_records(exchange, partition, start)

        partition.waiting_reads.append(finish_read)

    def _send_records(self, exchange: Exchange, partition: Partition, start: int) -> None:
        body = struct.pack(">QQ", partition.end_offset, partition.first_offset)
        for record in partition.records[start - partition.first_offset :]:
            body += LENGTH.pack(len(record)) + record
        exchange.respond(200, {"Content-Type": "application/octet-stream"}, body)

    def _list_latest(self, exchange: Exchange, partition: Partition, query: dict[str, Any]) -> None:
        keys = sorted(key for key in partition.latest if key > query.get("after", ""))
        page = keys[:PAGE_RECORDS_MAX]
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.latest[key][1]).decode(),
                "offset": partition.latest[key][0],
            }
            for key in page
        ]
        more = len(keys) > len(page)
        respond_json(
            exchange, 200, {"items": items, "more_pages": more, "end": partition.end_offset}
        )


if __name__ == "__main__":
    run_record_store("keyed_store", lambda loop, keep_records: KeyedStore(loop, keep_records).serve)
