"""Access the platform's store of keyed topics: reads by position and sequenced appends."""

import base64
import struct
from collections.abc import Callable
from urllib.parse import urlencode

from attrs import define, field, frozen
from result import Err, Ok, Result

from bronzetiller.json_values import decode_json
from bronzetiller.net.dialer import Address
from bronzetiller.net.http_client import (
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.storage.keyed import (
    AppendDone,
    Fenced,
    HistoryExpired,
    KeyedRecord,
    NewestDone,
    Partition,
    ReadDone,
    RecordBatch,
    StoreUnreachable,
    WriterSequence,
    get_era,
    get_offset,
    make_position,
)

# Responses usually take 4 ms, about 0.3 s from a slow store, plus 60 ms on the network.
RESPONSE_TIMEOUT_SECONDS = 1.2
CONNECT_TIMEOUT_SECONDS = 1.0
READ_KILOBYTES_MAX = 1024
RESPONSE_BYTES_MAX = 4 * 1024 * 1024  # a page of 1 MB in base64 and JSON
TRANSFER_SECONDS_MAX = 5.0  # for a page over a link of 5 Mbit/s
_ERA_HEADER = "store-era"  # counts the times that the store came back without its newest records
_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


@frozen
class StoreResponse:
    """Hold the status and the complete body of a response, and the era in which it was made."""

    status: int
    body: bytes
    era: int


_Response = Result[StoreResponse, StoreUnreachable]


@define(eq=False)
class PlatformStore:
    """Read from and append to the platform's store over HTTP."""

    _http: HttpClient
    _address: Address

    def read_newest(self, partition: Partition, done: NewestDone) -> None:
        """Read the newest record of each key, page by page."""
        _NewestRead(self, partition, done).read_page()

    def read_from(
        self, partition: Partition, position: int, wait_seconds: float, done: ReadDone
    ) -> None:
        """Read the records from a position on; wait up to wait_seconds for the first one."""
        offset = get_offset(position)
        query = _make_partition_query(partition) | {"from": offset, "max_kb": READ_KILOBYTES_MAX}
        if wait_seconds:
            query["wait_ms"] = int(wait_seconds * 1000)

        def handle_response(response: _Response) -> None:
            match response:
                case Ok(StoreResponse(200 | 410, _, era)) if era != get_era(position):
                    done(Err(HistoryExpired(f"the store is in era {era}")))
                case Ok(StoreResponse(200, body, era)):
                    done(_decode_records(body, offset, era))
                case Ok(StoreResponse(410, body)):
                    done(Err(HistoryExpired(body[:200].decode("utf-8", "replace"))))
                case Ok(StoreResponse(status)):
                    done(Err(StoreUnreachable(f"status {status}", False)))
                case Err(failure):
                    done(Err(failure))

        self.call(
            "GET",
            "/-/log-read",
            query,
            b"",
            handle_response,
            RESPONSE_TIMEOUT_SECONDS + wait_seconds,
        )

    def append(
        self,
        partition: Partition,
        key: str,
        value: bytes | None,
        writer_sequence: WriterSequence | None,
        done: AppendDone,
    ) -> None:
        """Append one record, checked against its writer's sequence if one is given."""
        query = _make_partition_query(partition)
        if writer_sequence is not None:
            query["producer"] = writer_sequence.writer
            query["epoch"] = writer_sequence.epoch
            query["sequence"] = writer_sequence.sequence
        name = key.encode()
        record = bytes([len(name)]) + name + (value or b"")

        def handle_response(response: _Response) -> None:
            match response:
                case Ok(StoreResponse(200, body, era)):
                    done(_decode_number(body, "offset").map(lambda at: make_position(era, at)))
                case Ok(StoreResponse(409, body)):
                    done(Err(Fenced(body[:200].decode("utf-8", "replace"))))
                case Ok(StoreResponse(status)):
                    # Only 429 and 503 guarantee that nothing was appended.
                    done(Err(StoreUnreachable(f"status {status}", status not in (429, 503))))
                case Err(failure):
                    done(Err(failure))

        body = _LENGTH.pack(len(record)) + record
        self.call("POST", "/-/log-append", query, body, handle_response, RESPONSE_TIMEOUT_SECONDS)

    def call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes,
        done: Callable[[_Response], None],
        timeout_seconds: float,
    ) -> None:
        """Make one HTTP call and pass its status and complete body to done."""
        target = f"{path}?{urlencode(query)}"
        call = HttpCall(
            self._address,
            method,
            target,
            {},
            body,
            timeout_seconds,
            CONNECT_TIMEOUT_SECONDS,
            body_bytes_max=RESPONSE_BYTES_MAX,
            seconds_max=timeout_seconds + TRANSFER_SECONDS_MAX,
        )
        parts: list[bytes] = []
        status = era = 0
        started_at = self._http.scheduler.now()

        def handle_event(event: CallEvent) -> None:
            nonlocal status, era
            if isinstance(event, ResponseHead):
                status = event.status
                era = _decode_era(event)
            elif isinstance(event, BodyPart):
                parts.append(event.data)
            elif isinstance(event, ResponseEnd):
                done(Ok(StoreResponse(status, b"".join(parts), era)))
            elif isinstance(event, CallFailed):
                seconds = self._http.scheduler.now() - started_at
                received_bytes = sum(map(len, parts))
                done(Err(StoreUnreachable(event.cause, event.sent, seconds, received_bytes)))

        self._http.send(call, handle_event)


@define(eq=False)
class _NewestRead:
    """Collect the newest records page by page; subsequent reads start at the first page's end.

    All pages must be of one era.

    The pages are not one consistent snapshot: reading again from the end of the first page yields
    the records that changed in the meantime.
    """

    _store: PlatformStore
    _partition: Partition
    _done: NewestDone
    _records: list[KeyedRecord] = field(factory=list)
    _end: int | None = None

    def read_page(self, after: str | None = None) -> None:
        """Request the page that follows a key, or the first page."""
        query = _make_partition_query(self._partition)
        if after is not None:
            query["after"] = after
        self._store.call(
            "GET", "/-/log-newest", query, b"", self._handle_response, RESPONSE_TIMEOUT_SECONDS
        )

    def _handle_response(self, response: _Response) -> None:
        match response:
            case Ok(StoreResponse(200, body, era)):
                self._handle_page(body, era)
            case Ok(StoreResponse(status)):
                self._done(Err(StoreUnreachable(f"status {status}", False)))
            case Err(failure):
                self._done(Err(failure))

    def _handle_page(self, body: bytes, era: int) -> None:
        if self._end is not None and get_era(self._end) != era:
            self._done(Err(StoreUnreachable(f"restored between two pages, era {era}", False)))
            return
        try:
            page = decode_json(body)
            self._records += [
                KeyedRecord(
                    item["key"],
                    base64.b64decode(item["value"]),
                    make_position(era, item["offset"]),
                )
                for item in page["items"]
            ]
            if self._end is None:
                self._end = make_position(era, int(page["end"]))
        except (ValueError, KeyError, TypeError) as error:
            self._done(Err(StoreUnreachable(f"malformed page: {error!r}", False)))
            return
        if page.get("more_pages") and page["items"]:
            self.read_page(page["items"][-1]["key"])
        else:
            self._done(Ok(RecordBatch(self._records, self._end)))


def _make_partition_query(partition: Partition) -> dict[str, str | int]:
    return {"topic": partition.topic, "part": partition.number}


def _decode_era(head: ResponseHead) -> int:
    text = head.headers.get(_ERA_HEADER, "").strip()
    return int(text) if text.isdecimal() else 0


def _decode_number(body: bytes, name: str) -> Result[int, StoreUnreachable]:
    """Return a number of a JSON body."""
    try:
        return Ok(int(decode_json(body)[name]))
    except (ValueError, KeyError, TypeError) as error:
        return Err(StoreUnreachable(f"malformed response: {error!r}", True))


def _decode_records(body: bytes, offset: int, era: int) -> Result[RecordBatch, StoreUnreachable]:
    """Decode the binary format: end and first retained offset, then length-prefixed records."""
    if len(body) < _READ_HEADER.size:
        return Err(StoreUnreachable("malformed response: incomplete header", False))
    end, first = _READ_HEADER.unpack_from(body)
    position = _READ_HEADER.size
    number = max(offset, first)
    records = []
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        data = body[position : position + size]
        if len(data) < size:
            return Err(StoreUnreachable("malformed response: truncated record", False))
        position += size
        record = _decode_keyed_record(data, make_position(era, number))
        if record is not None:
            records.append(record)
        number += 1
    # A response is limited in size, so it may stop before the end.
    return Ok(RecordBatch(records, make_position(era, number if number < end else end)))


def _decode_keyed_record(data: bytes, position: int) -> KeyedRecord | None:
    if not data or len(data) < 1 + data[0]:
        return None
    key = data[1 : 1 + data[0]].decode("utf-8", "replace")
    return KeyedRecord(key, data[1 + data[0] :] or None, position)
