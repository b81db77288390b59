"""Read and append to the streams of the platform's log service."""

import json
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
TRANSFER_SECONDS_MAX = 30.0

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
    """

    entries: list[Entry]
    first_offset: int
    end_offset: int
    current: bool = True


@frozen
class LogFailure:
    """Report the cause of a failed log call; an append that was sent may have taken effect."""

    cause: str
    sent: bool
    first_offset: int | None = None


@define
class _ResponseBuffer:
    status: int = 0
    body: list[bytes] = field(factory=list)


class LogClient:
    """Call the HTTP API of the log service."""

    def __init__(self, http: HttpClient, address: Address) -> None:
        self._http = http
        self._address = address
        self._timeout = AdaptiveTimeout()

    def append(
        self,
        stream: str,
        records: list[Record],
        done: Callable[[Result[int, LogFailure]], None],
    ) -> OpenCall:
        """Append records in one call; pass the offset of the first to the callback."""
        body = json.dumps({"records": records}, separators=(",", ":")).encode()
        LOG_BYTES.labels("append").inc(len(body))
        path = f"/v1/streams/{quote(stream, safe='')}/records"
        silence_seconds = self._timeout.extend(APPEND_SILENCE_SECONDS)
        call = HttpCall(self._address, "POST", path, _JSON_HEADERS, body, silence_seconds)

        def finish(result: Result[Any, LogFailure]) -> None:
            done(result.map(lambda value: int(value["first_offset"])))

        return self._call(call, finish)

    def read(
        self,
        stream: str,
        from_offset: int,
        done: Callable[[Result[Page, LogFailure]], None],
        *,
        wait_seconds: float = READ_WAIT_SECONDS,
        records_max: int = READ_RECORDS_MAX,
    ) -> OpenCall:
        """Read a page from the offset on; wait for the first entry if there is none yet."""
        query = f"from={from_offset}&limit={records_max}&wait_ms={int(wait_seconds * 1000)}"
        path = f"/v1/streams/{quote(stream, safe='')}/records?{query}"
        silence_seconds = self._timeout.extend(READ_SILENCE_SECONDS)
        call = HttpCall(self._address, "GET", path, {}, b"", silence_seconds)
        return self._call(call, lambda result: done(result.map(_decode_page)), wait_seconds)

    def _call(
        self,
        call: HttpCall,
        done: Callable[[Result[Any, LogFailure]], None],
        wait_seconds: float = 0.0,
    ) -> OpenCall:
        call = evolve(
            call,
            body_bytes_max=RESPONSE_BYTES_MAX,
            seconds_max=call.silence_seconds + TRANSFER_SECONDS_MAX,
        )
        response = _ResponseBuffer()
        scheduler = self._http.scheduler
        started_at = scheduler.now()

        def handle_event(event: CallEvent) -> None:
            if isinstance(event, ResponseHead):
                response.status = event.status
            elif isinstance(event, BodyPart):
                response.body.append(event.data)
                LOG_BYTES.labels("read").inc(len(event.data))
            elif isinstance(event, ResponseEnd):
                self._timeout.record_response(scheduler.now() - started_at - wait_seconds)
                done(_decode_response(response))
            elif isinstance(event, CallFailed):
                if event.cause == SILENCE:
                    self._timeout.record_timeout()
                done(Err(LogFailure(event.cause, event.sent)))

        return self._http.send(call, handle_event)


_JSON_HEADERS = {"Content-Type": "application/json"}


def _decode_response(response: _ResponseBuffer) -> Result[Any, LogFailure]:
    try:
        value = decode_json(b"".join(response.body))
    except ValueError:
        return Err(LogFailure(f"status {response.status} with a malformed body", True))
    if response.status == 410:
        return Err(LogFailure("expired", True, int(value["first_offset"])))
    if response.status != 200:
        return Err(LogFailure(f"status {response.status}", True))
    return Ok(value)


def _decode_page(value: Any) -> Page:
    entries = [Entry(item["offset"], item["at"], item["record"]) for item in value["records"]]
    return Page(entries, value["first_offset"], value["end_offset"])
