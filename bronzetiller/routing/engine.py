"""Run one attempt of a chat request on an engine and verify that the response is its own."""

import json
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from result import Err

from bronzetiller.fleet.vm_list import Vm
from bronzetiller.metrics import LATE_BYTES
from bronzetiller.net.buffer_quota import Buffer, BufferQuota
from bronzetiller.net.event_stream import EVENT_BYTES_MAX, EventSplitter
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
from bronzetiller.requests.execution import ResponseFacts, judge_response
from bronzetiller.routing.chunks import Chunk, Usage, decode_chunk

ATTEMPT_HEADER = "X-Request-Id"
REFUSED_STATUS = 503  # of an engine that did not run the request


@frozen
class CompletionPart:
    """Hold one chunk of a response as the engine sent it, and its delta to the message.

    The data is empty for the last chunks of a response, which CompletionEnd carries.
    """

    data: bytes
    delta: dict[str, Any]


@frozen
class CompletionEnd:
    """Mark the end of a complete response; last_chunks are the chunks from the finish reason on."""

    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    last_chunks: list[bytes]


@frozen
class AttemptFailed:
    """Hold why an attempt gave no complete response, and whether the engine may have run it."""

    cause: str
    may_have_run: bool
    target_lost: bool
    status: int = 0
    detail: str = ""

    @property
    def silent(self) -> bool:
        """Return whether the connection went silent; a new one to the same target may work."""
        return self.cause == SILENCE


AttemptEvent = CompletionPart | CompletionEnd | AttemptFailed
AttemptListener = Callable[[AttemptEvent], None]


@define(eq=False)
class OpenAttempts:
    """Track the running attempts, so that one whose chunk reached another can be failed."""

    _attempts: dict[str, "EngineAttempt"] = field(factory=dict)

    def add(self, attempt: "EngineAttempt") -> None:
        """Track an attempt until it is removed."""
        self._attempts[attempt.attempt_id] = attempt

    def remove(self, attempt: "EngineAttempt") -> None:
        """Stop tracking an attempt that has ended."""
        self._attempts.pop(attempt.attempt_id, None)

    def fail_owner(self, chunk_id: str, reader: "EngineAttempt") -> None:
        """Fail the attempt whose chunk reached another one, since its response now lacks it."""
        for attempt_id, attempt in list(self._attempts.items()):
            if attempt_id in chunk_id and attempt is not reader:
                attempt.fail("a chunk of the response was delivered to another attempt")


@define(eq=False)
class EngineAttempt:
    """Process one attempt until its CompletionEnd or AttemptFailed."""

    attempt_id: str
    answer_tokens_max: int
    _listener: AttemptListener
    _open_attempts: OpenAttempts = field(factory=OpenAttempts)
    call: OpenCall | None = None
    status: int = 0
    chunks: int = 0
    finish_reason: str | None = None
    usage: Usage | None = None
    ended: bool = False
    last_chunks: list[bytes] = field(factory=list)
    _chunk_id: str | None = None
    _splitter: EventSplitter = field(factory=EventSplitter)
    _error_body: bytearray = field(factory=bytearray)
    quota: BufferQuota = field(factory=BufferQuota)
    _buffer: Buffer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._buffer = Buffer(lambda: self.fail("the responses of all requests are too large"))

    def cancel(self) -> None:
        """Cancel the attempt; no event follows."""
        self._release()
        self._error_body.clear()
        if self.call is not None:
            self.call.cancel()

    def _release(self) -> None:
        self._open_attempts.remove(self)
        self.quota.resize(self._buffer, 0)

    def fail(self, cause: str) -> None:
        """Cancel the attempt and report it as failed."""
        self.cancel()
        self._listener(AttemptFailed(cause, True, target_lost=False))

    def set_flow(self, flowing: bool) -> None:
        """Read the response, or stop reading it while its caller is slow."""
        if self.call is None:
            return
        if flowing:
            self.call.resume()
        else:
            self.call.pause()

    def handle_event(self, event: CallEvent) -> None:
        """Handle one event of the HTTP call."""
        if isinstance(event, ResponseEnd | CallFailed):
            self._release()
        if isinstance(event, BodyPart):
            self._handle_body(event.data)
        elif isinstance(event, ResponseHead):
            self._handle_head(event)
        elif isinstance(event, ResponseEnd):
            self._handle_end(event)
        elif isinstance(event, CallFailed):
            self._listener(AttemptFailed(event.cause, event.sent, target_lost=True))

    def _handle_head(self, head: ResponseHead) -> None:
        self.status = head.status
        named_id = head.headers.get(ATTEMPT_HEADER.lower())
        is_first = self.call is None or self.call.earlier_requests == 0
        may_be_copy = named_id is not None or not is_first
        if named_id != self.attempt_id and (may_be_copy or head.status in (200, REFUSED_STATUS)):
            self._reject("the response belongs to another attempt")

    def _handle_body(self, data: bytes) -> None:
        if self.status != 200:
            self._error_body += data
            self.quota.resize(self._buffer, len(self._error_body))
            if len(self._error_body) > EVENT_BYTES_MAX:
                self._reject("the body of an error response is too large")
            return
        for event in self._splitter.feed(data):
            if self.ended:
                self._discard_late_event(event)
            elif event == b"[DONE]":
                self.ended = True
            elif not self._handle_chunk(event):
                return
        if self._splitter.buffered_bytes > EVENT_BYTES_MAX:
            self._reject("an event is too large")
        else:
            self.quota.resize(self._buffer, self._splitter.buffered_bytes)

    def _discard_late_event(self, event: bytes) -> None:
        LATE_BYTES.inc(len(event))
        if self.call is not None:
            self.call.prevent_reuse()

    def _handle_chunk(self, event: bytes) -> bool:
        result = decode_chunk(event)
        if isinstance(result, Err):
            return self._reject(result.err_value)
        chunk = result.ok_value
        if self._chunk_id is None and self.attempt_id in chunk.id:
            self._chunk_id = chunk.id
        if chunk.id != self._chunk_id:
            self._open_attempts.fail_owner(chunk.id, self)
            return self._reject("a chunk belongs to another attempt")
        if self.finish_reason is not None and chunk.has_choice:
            return self._reject("the response continues after its finish reason")
        if chunk.usage is not None:
            self.usage = chunk.usage
        if chunk.has_content:
            self.chunks += 1
        if self.chunks > self.answer_tokens_max:
            self._truncate(chunk)
            return False
        if chunk.finish_reason is not None:
            self.finish_reason = chunk.finish_reason
        if self.finish_reason is not None:
            self.last_chunks.append(event)
            if chunk.has_content:
                self._listener(CompletionPart(b"", chunk.delta))
            return True
        self._listener(CompletionPart(event, chunk.delta))
        return True

    def _truncate(self, chunk: Chunk) -> None:
        self.cancel()
        value = chunk.value | {
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        }
        last_chunk = json.dumps(value).encode()
        self._listener(CompletionEnd("length", 0, self.answer_tokens_max, [last_chunk]))

    def _handle_end(self, end: ResponseEnd) -> None:
        if self.status != 200:
            detail = self._error_body[:500].decode("utf-8", "replace")
            # An unnamed refusal was rejected with its head.
            states_not_run = self.status == REFUSED_STATUS
            verdict = judge_response(ResponseFacts(self.status, True, states_not_run))
            may_have_run = not verdict.proves_not_run
            lost = self.status >= 500
            self._listener(
                AttemptFailed(f"status {self.status}", may_have_run, lost, self.status, detail)
            )
        elif not self.ended or self.finish_reason is None or self.usage is None:
            self._listener(
                AttemptFailed("the response is truncated", True, target_lost=end.by_close)
            )
        else:
            usage = self.usage
            self._listener(
                CompletionEnd(
                    self.finish_reason, usage.prompt_tokens, usage.answer_tokens, self.last_chunks
                )
            )

    def _reject(self, cause: str) -> bool:
        self.fail(cause)
        return False


def may_belong_to(head: ResponseHead, attempt_id: str) -> bool:
    """Return whether a response names an attempt, or none."""
    return head.headers.get(ATTEMPT_HEADER.lower(), attempt_id) == attempt_id


def start_attempt(
    http: HttpClient,
    vm: Vm,
    attempt_id: str,
    body: dict[str, Any],
    *,
    answer_tokens_max: int,
    silence_seconds: float,
    first_byte_seconds: float | None = None,
    listener: AttemptListener,
    open_attempts: OpenAttempts,
    quota: BufferQuota,
) -> EngineAttempt:
    """Send a chat request to an engine; the engine always streams."""
    attempt = EngineAttempt(attempt_id, answer_tokens_max, listener, open_attempts, quota=quota)
    open_attempts.add(attempt)
    value = body | {
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": answer_tokens_max,
    }
    value.pop("max_completion_tokens", None)
    headers = {"Content-Type": "application/json", ATTEMPT_HEADER: attempt_id}
    data = json.dumps(value, ensure_ascii=False).encode()
    call = HttpCall(
        vm.address,
        "POST",
        "/v1/chat/completions",
        headers,
        data,
        silence_seconds,
        first_byte_seconds=first_byte_seconds,
        is_matching=lambda head: may_belong_to(head, attempt_id),
        request_id=attempt_id,
    )
    attempt.call = http.send(call, attempt.handle_event)
    return attempt
