"""Stand-in for the platform's keyed store: topics of records, read by offset or latest by key.

python -m standins.keyed_store --listen ip:port [--keep-records N]

A view is another address of the store, at which the values of records name other addresses; it
shows a node its targets behind links that can be cut.
"""

import base64
import json
import struct
import time
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs

from attrs import define, field, frozen

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop
from standins.process import listen, run_record_store

ERA_HEADER = "Store-Era"
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


@frozen
class Change:
    """Hold what an append replaced, so that a restoration can undo it."""

    made_at: float
    key: str
    latest: tuple[int, bytes] | None
    writer: str | None
    writer_state: tuple[int, int, dict[int, int]] | None


@define
class Partition:
    first_offset: int = 0
    records: list[bytes] = field(factory=list)
    latest: dict[str, tuple[int, bytes]] = field(factory=dict)
    waiting_reads: list[Callable[[], None]] = field(factory=list)
    writers: dict[str, tuple[int, int, dict[int, int]]] = field(factory=dict)
    changes: list[Change] = field(factory=list)

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

    def append(
        self,
        record: bytes,
        writer: str | None = None,
        writer_state: tuple[int, int, dict[int, int]] | None = None,
    ) -> None:
        """Append a record; writer_state is what accepting its writer's sequence replaced."""
        key, value = split_key(record)
        replaced = self.latest.get(key)
        self.changes.append(Change(time.monotonic(), key, replaced, writer, writer_state))
        if value:
            self.latest[key] = (self.end_offset, value)
        else:
            self.latest.pop(key, None)
        self.records.append(record)

    def restore(self, copied_at: float) -> None:
        """Undo all appends since a point in time (monotonic seconds)."""
        while self.changes and self.changes[-1].made_at > copied_at:
            change = self.changes.pop()
            if self.records:
                self.records.pop()
            else:
                self.first_offset -= 1
            _set_or_remove(self.latest, change.key, change.latest)
            if change.writer is not None:
                _set_or_remove(self.writers, change.writer, change.writer_state)


def _set_or_remove(values: dict[str, Any], name: str, value: Any) -> None:
    if value is None:
        values.pop(name, None)
    else:
        values[name] = value


def _replace_addresses(value: bytes, replacements: dict[str, str]) -> bytes:
    for address, replacement in replacements.items():
        value = value.replace(f'"{address}"'.encode(), f'"{replacement}"'.encode())
    return value


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
        self._era = 1
        self._views: dict[str, dict[str, str]] = {}
        self._view_addresses: dict[str, str] = {}

    def serve(self, exchange: Exchange, replacements: dict[str, str] | None = None) -> None:
        """Serve a request; values that are read have their addresses replaced."""
        if exchange.path == "/control/view":
            self._respond_json(
                exchange, 200, {"address": self._set_view(**json.loads(exchange.body))}
            )
            return
        if exchange.path == "/control/faults":
            self._faults = Faults(**json.loads(exchange.body))
            self._respond_json(exchange, 200, {})
            return
        if exchange.path == "/control/restore":
            copied_at = time.monotonic() - json.loads(exchange.body)["seconds"]
            for partition in self._partitions.values():
                partition.restore(copied_at)
            self._era += 1
            self._respond_json(exchange, 200, {"era": self._era})
            return
        bypasses_faults = OPERATOR_HEADER in exchange.headers
        if self._faults.silent and not bypasses_faults:
            return
        if self._faults.down and not bypasses_faults:
            self._respond_json(exchange, 503, {})
            return
        query: dict[str, Any] = {
            name: values[0] for name, values in parse_qs(exchange.query).items()
        }
        query["replacements"] = replacements or {}
        handle = {
            "/-/log-append": self._append,
            "/-/log-read": self._read,
            "/-/log-newest": self._list_latest,
        }.get(exchange.path)
        if handle is None:
            self._respond_json(exchange, 404, {})
            return
        name = (query["topic"], query["part"])
        partition = self._partitions.setdefault(name, Partition())
        delay = 0.0 if bypasses_faults else self._faults.delay_seconds
        self._loop.scheduler.call_after(delay, lambda: handle(exchange, partition, query))

    def _set_view(self, name: str, replacements: dict[str, str]) -> str:
        """Add a view, or replace the addresses of one; return its own address."""
        known = self._views.get(name)
        if known is None:
            known = self._views[name] = {}
            application = partial(self.serve, replacements=known)
            self._view_addresses[name] = listen(self._loop, "127.0.0.1:0", application, name)
        known |= replacements
        return self._view_addresses[name]

    def _append(self, exchange: Exchange, partition: Partition, query: dict[str, Any]) -> None:
        writer = query.get("producer")
        writer_state = None if writer is None else partition.writers.get(writer)
        if writer is not None:
            earlier_offset = partition.accept_sequence(
                writer, int(query["epoch"]), int(query["sequence"])
            )
            if earlier_offset is not None:
                status = 409 if earlier_offset < 0 else 200
                self._respond_json(exchange, status, {"offset": earlier_offset, "reason": "fenced"})
                return
        offset = partition.end_offset
        for record in split_records(bytes(exchange.body)):
            partition.append(record, writer, writer_state)
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
        self._respond_json(exchange, 200, {"offset": offset, "end": partition.end_offset})

    def _read(self, exchange: Exchange, partition: Partition, query: dict[str, Any]) -> None:
        start = int(query["from"])
        if not partition.first_offset <= start <= partition.end_offset:
            self._respond_json(exchange, 410, {"first": partition.first_offset})
            return
        wait_ms = int(query.get("wait_ms", 0))
        if start < partition.end_offset or not wait_ms:
            self._send_records(exchange, partition, query)
            return
        timer = self._loop.scheduler.call_after(wait_ms / 1000, lambda: finish_read())

        def finish_read() -> None:
            timer.cancel()
            if finish_read in partition.waiting_reads:
                partition.waiting_reads.remove(finish_read)
            self._send_records(exchange, partition, query)

        partition.waiting_reads.append(finish_read)

    def _send_records(
        self, exchange: Exchange, partition: Partition, query: dict[str, Any]
    ) -> None:
        start = int(query["from"])
        body = struct.pack(">QQ", partition.end_offset, partition.first_offset)
        for record in partition.records[start - partition.first_offset :]:
            record = _replace_addresses(record, query["replacements"])
            body += LENGTH.pack(len(record)) + record
        headers = {"Content-Type": "application/octet-stream", ERA_HEADER: str(self._era)}
        exchange.respond(200, headers, body)

    def _respond_json(self, exchange: Exchange, status: int, value: Any) -> None:
        headers = {"Content-Type": "application/json", ERA_HEADER: str(self._era)}
        exchange.respond(status, headers, json.dumps(value).encode())

    def _list_latest(self, exchange: Exchange, partition: Partition, query: dict[str, Any]) -> None:
        keys = sorted(key for key in partition.latest if key > query.get("after", ""))
        page = keys[:PAGE_RECORDS_MAX]
        items = [
            {
                "key": key,
                "value": base64.b64encode(
                    _replace_addresses(partition.latest[key][1], query["replacements"])
                ).decode(),
                "offset": partition.latest[key][0],
            }
            for key in page
        ]
        more = len(keys) > len(page)
        self._respond_json(
            exchange, 200, {"items": items, "more_pages": more, "end": partition.end_offset}
        )


if __name__ == "__main__":
    run_record_store("keyed_store", lambda loop, keep_records: KeyedStore(loop, keep_records).serve)
