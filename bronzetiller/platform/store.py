"""Access the platform's store of keyed topics: reads by position and sequenced appends."""

import base64
import math
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
    LateDone,
    NewestDone,
    Partition,
    ReadDone,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
    WriterSequence,
    get_era,
    get_offset,
    make_position,
)
from bronzetiller.sync.contact import Contact
from bronzetiller.sync.late_calls import PATIENT_SECONDS, LateCalls

# Responses usually take 4 ms, plus 60 ms on the network; the timeout follows slower ones.
RESPONSE_TIMEOUT_SECONDS = 1.2
READ_KILOBYTES_MAX = 1024
RESPONSE_BYTES_MAX = 4 * 1024 * 1024  # a page of 1 MB in base64 and JSON
TRANSFER_SECONDS_MAX = 20.0  # for a page over a link of 1 Mbit/s; a stalled one ends earlier
PAGE_ATTEMPTS_MAX = 3  # of each page but the first, before all are read again
LATE = "no response in time"
EXECUTED_STATUSES = (200, 409, 410, 412)
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
    answered_at: float = -math.inf
    contact: Contact = field(factory=Contact)
    _late_calls: LateCalls = field(factory=LateCalls)

    def read_newest(
        self, partition: Partition, done: NewestDone, late: LateDone | None = None
    ) -> None:
        """Read the newest record of each key, page by page."""
        _NewestRead(self, partition, done, late).read_page()

    def read_from(
        self,
        partition: Partition,
        position: int,
        wait_seconds: float,
        done: ReadDone,
        late: LateDone | None = None,
    ) -> None:
        """Read the records from a position on; wait up to wait_seconds for the first one."""
        offset = get_offset(position)
        query = _make_partition_query(partition) | {"from": offset, "max_kb": READ_KILOBYTES_MAX}
        if wait_seconds:
            query["wait_ms"] = int(wait_seconds * 1000)

        def decode(response: _Response) -> Result[RecordBatch, ReadFailure]:
            match response:
                case Ok(StoreResponse(200 | 410, _, era)) if era != get_era(position):
                    return Err(HistoryExpired(f"the store is in era {era}"))
                case Ok(StoreResponse(200, body, era)):
                    return _decode_records(body, offset, era)
                case Ok(StoreResponse(410, body)):
                    return Err(HistoryExpired(body[:200].decode("utf-8", "replace")))
                case Ok(StoreResponse(status)):
                    return Err(StoreUnreachable(f"status {status}", False))
                case Err(failure):
                    return Err(failure)

        def handle_late(response: _Response) -> None:
            result = decode(response)
            if isinstance(result, Ok) and late is not None:
                late(result.ok_value)

        self.call(
            "GET",
            "/-/log-read",
            query,
            b"",
            lambda response: done(decode(response)),
            wait_seconds,
            None if late is None else handle_late,
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
        self.call("POST", "/-/log-append", query, body, handle_response)

    def call(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        body: bytes,
        done: Callable[[_Response], None],
        wait_seconds: float = 0.0,
        late: Callable[[_Response], None] | None = None,
    ) -> None:
        """Make one HTTP call and pass its status and complete body to done.

        A call without a response after the timeout and wait_seconds has failed for done; its
        response is then passed to late, and not received without it.
        """
        scheduler = self._http.scheduler
        started_at = scheduler.now()
        timeout_seconds = self._late_calls.extend(RESPONSE_TIMEOUT_SECONDS) + wait_seconds
        patient_seconds = max(timeout_seconds, PATIENT_SECONDS + wait_seconds)
        call = HttpCall(
            self._address,
            method,
            f"{path}?{urlencode(query)}",
            {},
            body,
            silence_seconds=timeout_seconds,
            connect_seconds=patient_seconds,
            first_byte_seconds=patient_seconds,
            body_bytes_max=RESPONSE_BYTES_MAX,
            seconds_max=patient_seconds + TRANSFER_SECONDS_MAX,
        )
        kind = (method, path, query["topic"], query["part"])
        parts: list[bytes] = []
        status = era = 0
        is_late = False

        def handle_event(event: CallEvent) -> None:
            nonlocal status, era
            if isinstance(event, ResponseHead):
                timer.cancel()
                status = event.status
                era = _decode_era(event)
                seconds = scheduler.now() - started_at - wait_seconds
                self._late_calls.record_response(seconds)
                if status in EXECUTED_STATUSES:
                    self.answered_at = scheduler.now()
                    self.contact.record_answer(self.answered_at, seconds)
                self._late_calls.end(kind, open_call.cancel)
                if late is not None:
                    self._late_calls.cancel_others(kind)
                elif is_late:
                    open_call.cancel()
            elif isinstance(event, BodyPart):
                parts.append(event.data)
            elif isinstance(event, ResponseEnd):
                finish(Ok(StoreResponse(status, b"".join(parts), era)))
            elif isinstance(event, CallFailed):
                timer.cancel()
                finish(Err(describe_failure(event.cause, event.sent)))

        def describe_failure(cause: str, sent: bool) -> StoreUnreachable:
            seconds = scheduler.now() - started_at
            return StoreUnreachable(cause, sent, seconds, sum(map(len, parts)))

        def finish(response: _Response) -> None:
            self._late_calls.end(kind, open_call.cancel)
            if not is_late:
                done(response)
            elif late is not None:
                late(response)

        def report_late() -> None:
            nonlocal is_late
            self._http.close_idle(self._address)
            # An append that has not been sent must not run after it was reported as not run.
            may_go_on = method == "GET" or open_call.sent
            is_late = may_go_on and self._late_calls.begin(kind, open_call.cancel)
            if not is_late:
                open_call.cancel()
            done(Err(describe_failure(LATE, open_call.sent)))

        timer = scheduler.call_after(timeout_seconds, report_late)
        open_call = self._http.send(call, handle_event)


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
    _late: LateDone | None = None
    _records: list[KeyedRecord] = field(factory=list)
    _end: int | None = None
    _is_late: bool = False
    _page_failures: int = 0

    def read_page(self, after: str | None = None) -> None:
        """Request the page that follows a key, or the first page."""
        query = _make_partition_query(self._partition)
        if after is not None:
            query["after"] = after

        def handle_response(response: _Response) -> None:
            match response:
                case Ok(StoreResponse(200, body, era)):
                    self._page_failures = 0
                    self._handle_page(body, era, after)
                case Ok(StoreResponse(status)):
                    self._fail(StoreUnreachable(f"status {status}", False))
                case Err(failure) if after is not None and self._may_retry_page():
                    self.read_page(after)
                case Err(failure):
                    self._fail(failure)

        def handle_late(response: _Response) -> None:
            self._is_late = True
            handle_response(response)

        # A page that is read again needs no late response.
        late = handle_late if after is None and self._late is not None else None
        self._store.call("GET", "/-/log-newest", query, b"", handle_response, late=late)

    def _may_retry_page(self) -> bool:
        self._page_failures += 1
        return self._page_failures < PAGE_ATTEMPTS_MAX

    def _fail(self, failure: StoreUnreachable) -> None:
        if not self._is_late:
            self._done(Err(failure))

    def _finish(self, batch: RecordBatch) -> None:
        if not self._is_late:
            self._done(Ok(batch))
        elif self._late is not None:
            self._late(batch)

    def _handle_page(self, body: bytes, era: int, after: str | None) -> None:
        if self._end is not None and get_era(self._end) != era:
            self._fail(StoreUnreachable(f"restored between two pages, era {era}", False))
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
            self._fail(StoreUnreachable(f"malformed page: {error!r}", False))
            return
        if not page.get("more_pages"):
            self._finish(RecordBatch(self._records, self._end))
            return
        last_key = page["items"][-1]["key"] if page["items"] else after
        if last_key == after:
            self._fail(StoreUnreachable(f"malformed page: no key after {after!r}", False))
        else:
            self.read_page(last_key)


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


def _decode_records(body: bytes, offset: int, era: int) -> Result[RecordBatch, ReadFailure]:
    """Decode the binary format: end and first retained offset, then length-prefixed records.

    Records may be deleted while a read waits for them.
    """
    if len(body) < _READ_HEADER.size:
        return Err(StoreUnreachable("malformed response: incomplete header", False))
    end, first = _READ_HEADER.unpack_from(body)
    if not first <= offset <= end:
        return Err(HistoryExpired(f"offset {offset} is not within {first} to {end}"))
    start = _READ_HEADER.size
    number = offset
    records = []
    while start + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        data = body[start : start + size]
        if len(data) < size:
            return Err(StoreUnreachable("malformed response: truncated record", False))
        start += size
        record = _decode_keyed_record(data, make_position(era, number))
        if record is not None:
            records.append(record)
        number += 1
    # A response is limited in size, so it may stop before the end.
    has_more = number < end
    if has_more and number == offset:
        cause = f"malformed response: no record from {offset} on, though the end is {end}"
        return Err(StoreUnreachable(cause, False))
    position = make_position(era, number if has_more else end)
    return Ok(RecordBatch(records, position, has_more=has_more))


def _decode_keyed_record(data: bytes, position: int) -> KeyedRecord | None:
    if not data or len(data) < 1 + data[0]:
        return None
    key = data[1 : 1 + data[0]].decode("utf-8", "replace")
    return KeyedRecord(key, data[1 + data[0] :] or None, position)
