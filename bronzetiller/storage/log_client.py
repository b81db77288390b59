"""Read and append to the streams of the platform's log service.

A call without a response for longer than usual is reported as failed but stays open for a while: a
log that is slower than any timeout is still read, and the timeouts adapt to what it takes.
"""

import json
from collections import deque
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from bronzetiller.json_values import decode_json
from bronzetiller.metrics import LOG_BYTES
from bronzetiller.net.dialer import Address
from bronzetiller.net.http_client import (
    SILENCE,
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    OpenCall,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.storage.adaptive_timeout import AdaptiveTimeout

APPEND_SILENCE_SECONDS = 2.0
READ_WAIT_SECONDS = 2.0
READ_SILENCE_SECONDS = READ_WAIT_SECONDS + 1.5
READ_RECORDS_MAX = 2_000
RESPONSE_BYTES_MAX = 64 * 1024 * 1024
TRANSFER_SECONDS_MAX = 10.0  # after which a response is late although bytes arrive
CONNECT_SECONDS = 2.0
LATE_SECONDS_MAX = 30.0  # after which a late call is closed
LATE_CALLS_MAX = 3  # of one kind and stream
CONNECT_TIMEOUT = "connect: timeout"

Record = dict[str, Any]


@frozen
class Entry:
    """Hold one record of a stream with its offset and the log's timestamp (seconds, Unix)."""

    offset: int
    at: float
    record: Record


@frozen
class Page:
    """Hold consecutive entries and the offset range that their source keeps.

    current is true if end_offset comes from the log itself, directly or through a peer.
    transfer_seconds is the time from the first byte to the last one.
    """

    entries: list[Entry]
    first_offset: int
    end_offset: int
    current: bool = True
    transfer_seconds: float = 0.0


@frozen
class LogFailure:
    """Report the cause of a failed log call; an append that was sent may have taken effect.

    incomplete tells that a part of the response arrived.
    """

    cause: str
    sent: bool
    first_offset: int | None = None
    incomplete: bool = False


PageCallback = Callable[[Result[Page, LogFailure]], None]


@define(eq=False)
class _LogCall:
    """Hold an open call, what arrived of its response, and whether it was reported as late."""

    name: str
    base_seconds: float
    wait_seconds: float
    started_at: float
    received_at: float
    first_byte_at: float | None = None
    status: int = 0
    body: list[bytes] = field(factory=list)
    late: bool = False
    closed: bool = False
    open_call: OpenCall | None = None


class LogClient:
    """Call the HTTP API of the log service."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address
        self._timeout = AdaptiveTimeout()
        self._late_calls: dict[str, deque[_LogCall]] = {}

    def append(
        self,
        stream: str,
        records: list[Record],
        done: Callable[[Result[int, LogFailure]], None],
        *,
        on_late_append: Callable[[int], None] | None = None,
    ) -> OpenCall:
        """Append records in one call; pass the offset of the first to the callback.

        An offset that arrives after done was called with a failure is passed to on_late_append.
        """
        body = json.dumps({"records": records}, separators=(",", ":")).encode()
        LOG_BYTES.labels("append").inc(len(body))
        path = f"/v1/streams/{quote(stream, safe='')}/records"
        call = HttpCall(self._address, "POST", path, _JSON_HEADERS, body, APPEND_SILENCE_SECONDS)

        def finish(result: Result[Any, LogFailure], log_call: _LogCall) -> None:
            first_offset = result.map(lambda value: int(value["first_offset"]))
            if not log_call.late:
                done(first_offset)
            elif isinstance(first_offset, Ok) and on_late_append is not None:
                on_late_append(first_offset.ok_value)

        return self._call(f"append {stream}", call, 0.0, finish)

    def read(
        self,
        stream: str,
        from_offset: int,
        done: PageCallback,
        *,
        wait_seconds: float = READ_WAIT_SECONDS,
        records_max: int = READ_RECORDS_MAX,
        on_late_page: Callable[[Page], None] | None = None,
    ) -> OpenCall:
        """Read a page from the offset on; wait for the first entry if there is none yet.

        A page that arrives after done was called with a failure is passed to on_late_page.
        """
        query = f"from={from_offset}&limit={records_max}&wait_ms={int(wait_seconds * 1000)}"
        path = f"/v1/streams/{quote(stream, safe='')}/records?{query}"
        call = HttpCall(self._address, "GET", path, {}, b"", READ_SILENCE_SECONDS)

        def finish(result: Result[Any, LogFailure], log_call: _LogCall) -> None:
            pages = result.map(lambda value: _decode_page(value, log_call))
            if not log_call.late:
                done(pages)
            elif isinstance(pages, Ok) and on_late_page is not None:
                on_late_page(pages.ok_value)

        return self._call(f"read {stream}", call, wait_seconds, finish)

    def _call(
        self,
        name: str,
        call: HttpCall,
        wait_seconds: float,
        finish: Callable[[Result[Any, LogFailure], _LogCall], None],
    ) -> OpenCall:
        scheduler = self._http.scheduler
        now = scheduler.now()
        log_call = _LogCall(name, call.silence_seconds, wait_seconds, now, now)
        call = evolve(
            call,
            silence_seconds=call.silence_seconds + LATE_SECONDS_MAX,
            connect_seconds=self._timeout.extend(CONNECT_SECONDS),
            body_bytes_max=RESPONSE_BYTES_MAX,
            seconds_max=call.silence_seconds + LATE_SECONDS_MAX,
        )

        def handle_event(event: CallEvent) -> None:
            log_call.received_at = scheduler.now()
            if isinstance(event, ResponseHead):
                log_call.status = event.status
                log_call.first_byte_at = log_call.received_at
            elif isinstance(event, BodyPart):
                log_call.body.append(event.data)
                LOG_BYTES.labels("read").inc(len(event.data))
            elif isinstance(event, ResponseEnd):
                self._close(log_call)
                self._record_response(log_call)
                finish(_decode_response(log_call), log_call)
            elif isinstance(event, CallFailed):
                self._close(log_call)
                if event.cause in (SILENCE, CONNECT_TIMEOUT) and not log_call.late:
                    self._timeout.record_timeout()
                incomplete = log_call.first_byte_at is not None
                finish(Err(LogFailure(event.cause, event.sent, None, incomplete)), log_call)

        def check_lateness() -> None:
            deadline = log_call.received_at + self._timeout.extend(log_call.base_seconds)
            if log_call.first_byte_at is not None:
                deadline = min(deadline, log_call.first_byte_at + TRANSFER_SECONDS_MAX)
            if log_call.closed or (log_call.open_call is not None and log_call.open_call.done):
                return
            if scheduler.now() < deadline:
                scheduler.call_at(deadline, check_lateness)
                return
            self._timeout.record_timeout()
            self._http.close_idle(self._address)
            incomplete = log_call.first_byte_at is not None
            finish(Err(LogFailure(SILENCE, True, None, incomplete)), log_call)
            log_call.late = True
            self._limit_late_calls(log_call)

        log_call.open_call = self._http.send(call, handle_event)
        scheduler.call_at(now + self._timeout.extend(log_call.base_seconds), check_lateness)
        return log_call.open_call

    def _record_response(self, log_call: _LogCall) -> None:
        first_byte_at = log_call.first_byte_at or log_call.received_at
        self._timeout.record_response(first_byte_at - log_call.started_at - log_call.wait_seconds)

    def _limit_late_calls(self, log_call: _LogCall) -> None:
        late_calls = self._late_calls.setdefault(log_call.name, deque())
        late_calls.append(log_call)
        if len(late_calls) > LATE_CALLS_MAX:
            oldest = late_calls.popleft()
            oldest.closed = True
            if oldest.open_call is not None:
                oldest.open_call.cancel()

    def _close(self, log_call: _LogCall) -> None:
        log_call.closed = True
        late_calls = self._late_calls.get(log_call.name)
        if late_calls is not None and log_call in late_calls:
            late_calls.remove(log_call)


_JSON_HEADERS = {"Content-Type": "application/json"}


def _decode_response(response: _LogCall) -> Result[Any, LogFailure]:
    try:
        value = decode_json(b"".join(response.body))
    except ValueError:
        return Err(LogFailure(f"status {response.status} with a malformed body", True))
    if response.status == 410:
        return Err(LogFailure("expired", True, int(value["first_offset"])))
    if response.status != 200:
        return Err(LogFailure(f"status {response.status}", True))
    return Ok(value)


def _decode_page(value: Any, log_call: _LogCall) -> Page:
    entries = [Entry(item["offset"], item["at"], item["record"]) for item in value["records"]]
    transfer_seconds = log_call.received_at - (log_call.first_byte_at or log_call.received_at)
    return Page(
        entries, value["first_offset"], value["end_offset"], transfer_seconds=transfer_seconds
    )
