"""Serve one chat request from its reservation to the end of its answer."""

import json
import time
from typing import Any
from uuid import uuid4

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.budgets.grants import GrantKeeper
from bronzetiller.budgets.holdings import Holdings, Reservation
from bronzetiller.callers.chat_request import ChatRequest
from bronzetiller.callers.problems import refuse
from bronzetiller.configuration.records import Route
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.metrics import ANSWERS, OPEN_REQUESTS, REQUESTS, RETRIES
from bronzetiller.net.event_stream import format_event
from bronzetiller.net.http_client import SILENCE, HttpClient
from bronzetiller.net.http_server import Exchange
from bronzetiller.platform.vm_list import Vm
from bronzetiller.requests.billing import Biller
from bronzetiller.routing.chunks import merge_delta
from bronzetiller.routing.engine import (
    AnswerEnd,
    AnswerPart,
    AttemptEvent,
    AttemptFailed,
    EngineAttempt,
    start_attempt,
)
from bronzetiller.routing.targets import TargetChooser, observe_attempt

ATTEMPTS_MAX = 3
CALLERS_FAULT_STATUSES = {400, 413, 415, 422}
EVENT_STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
JSON_HEADERS = {"Content-Type": "application/json"}


@define
class ChatServices:
    """Hold what chat requests need of the node."""

    http: HttpClient
    keeper: GrantKeeper
    holdings: Holdings
    biller: Biller
    chooser: TargetChooser
    first_byte_seconds: float


def make_message() -> dict[str, Any]:
    """Return the message that the parts of an answer are added to."""
    return {"role": "assistant", "content": ""}


@define(eq=False)
class ChatRun:
    """Hold the state of one chat request."""

    services: ChatServices
    exchange: Exchange
    workspace: str
    request_id: str
    route: Route
    request: ChatRequest
    reservation: Reservation | None = None
    attempt: EngineAttempt | None = None
    vm: Vm | None = None
    tried: set[str] = field(factory=set)
    message: dict[str, Any] = field(factory=make_message)
    failure: AttemptFailed | None = None
    may_have_run: bool = False
    attempts: int = 0
    over: bool = False

    def start(self) -> None:
        """Reserve the tokens of the worst case, then dispatch."""
        REQUESTS.labels("chat").inc()
        OPEN_REQUESTS.inc()
        self.exchange.on_disconnect = self._on_disconnect
        self.exchange.on_flow = self._on_flow
        tokens = self.request.tokens_max
        self.services.keeper.obtain(self.workspace, tokens, self._on_reserved)

    def _on_reserved(self, result: Result[Reservation, Refusal]) -> None:
        match result:
            case Ok(reservation) if self.over:
                self.services.holdings.release(reservation)
            case Ok(reservation):
                self.reservation = reservation
                self._dispatch()
            case Err(refusal):
                self._refuse(refusal)

    def _dispatch(self) -> None:
        vm = self.services.chooser.choose(self.route.service, self.tried, self.request.prefix_key)
        if vm is None:
            self._refuse_for_lack_of_targets()
            return
        self.vm = vm
        self.tried.add(vm.vm_id)
        self.attempts += 1
        self.services.chooser.begin(vm)
        self.attempt = start_attempt(
            self.services.http,
            vm,
            uuid4().hex,
            self.request.body,
            answer_tokens_max=self.request.answer_tokens_max,
            silence_seconds=self.route.silence_seconds,
            first_byte_seconds=self.services.first_byte_seconds,
            listener=observe_attempt(self.services.chooser, vm, self._on_attempt),
        )

    def _on_attempt(self, event: AttemptEvent) -> None:
        if isinstance(event, AnswerPart):
            self._forward(event)
            return
        if isinstance(event, AttemptFailed) and event.silent and self.vm is not None:
            self.tried.discard(self.vm.vm_id)
        self._end_attempt()
        if isinstance(event, AnswerEnd):
            self._bill(event)
        else:
            self._recover(event)

    def _forward(self, part: AnswerPart) -> None:
        if not self.request.stream:
            merge_delta(self.message, part.delta)
            return
        if not part.data:
            return
        if not self.exchange.started:
            self.exchange.start(200, EVENT_STREAM_HEADERS)
        self.exchange.send(format_event(part.data))

    def _bill(self, end: AnswerEnd) -> None:
        assert self.reservation is not None
        reported = end.prompt_tokens + end.answer_tokens
        tokens = min(reported, self.reservation.tokens)
        reservation, self.reservation = self.reservation, None
        self.services.biller.bill(
            self.request_id,
            self.request.fingerprint,
            reservation,
            tokens,
            lambda result: self._on_billed(end, result),
        )

    def _on_billed(self, end: AnswerEnd, result: Result[int, Refusal]) -> None:
        if self.over:
            return
        if isinstance(result, Err):
            self._refuse(result.err_value)
            return
        self._finish()
        ANSWERS.labels("chat").inc()
        if not self.request.stream:
            body = json.dumps(self._make_completion(end)).encode()
            self.exchange.respond(200, JSON_HEADERS, body)
            return
        if not self.exchange.started:
            self.exchange.start(200, EVENT_STREAM_HEADERS)
        self.exchange.send(b"".join(map(format_event, self._select_last(end))))
        self.exchange.send(format_event(b"[DONE]"))
        self.exchange.finish()

    def _select_last(self, end: AnswerEnd) -> list[bytes]:
        if self.request.include_usage:
            return end.last_chunks
        return [chunk for chunk in end.last_chunks if json.loads(chunk)["choices"]]

    def _make_completion(self, end: AnswerEnd) -> dict[str, Any]:
        usage = {
            "prompt_tokens": end.prompt_tokens,
            "completion_tokens": end.answer_tokens,
            "total_tokens": end.prompt_tokens + end.answer_tokens,
        }
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": "chat.completion",
            "created": int(time.time()),
            "model": self.request.body["model"],
            "choices": [{"index": 0, "message": self.message, "finish_reason": end.finish_reason}],
            "usage": usage,
        }

    def _recover(self, failure: AttemptFailed) -> None:
        if failure.status in CALLERS_FAULT_STATUSES:
            self._refuse(Refusal(failure.status, Reason.BAD_REQUEST, failure.detail))
            return
        self.failure = failure
        self.may_have_run = self.may_have_run or failure.may_have_run
        if not self.exchange.started and self.attempts < ATTEMPTS_MAX:
            RETRIES.labels(SILENCE if failure.silent else "target_failed").inc()
            self.message = make_message()
            self._dispatch()
            return
        self._refuse_for_failure(failure)

    def _refuse_for_failure(self, failure: AttemptFailed) -> None:
        ran = Ran.UNKNOWN if self.may_have_run else Ran.NO
        reason = Reason.ANSWER_INCOMPLETE if self.exchange.started else Reason.TARGET_FAILED
        self._refuse(Refusal(502, reason, failure.cause, ran, retry_after_seconds=1))

    def _refuse_for_lack_of_targets(self) -> None:
        if self.failure is not None:
            self._refuse_for_failure(self.failure)
            return
        detail = "no target of the service takes new work"
        self._refuse(Refusal(503, Reason.NO_TARGET, detail, retry_after_seconds=1))

    def _refuse(self, refusal: Refusal) -> None:
        self._finish()
        refuse(self.exchange, refusal)

    def _on_flow(self, flowing: bool) -> None:
        if self.attempt is not None:
            self.attempt.set_flow(flowing)

    def _on_disconnect(self) -> None:
        if not self.over:
            if self.attempt is not None:
                self.attempt.cancel()
            self._finish()

    def _end_attempt(self) -> None:
        if self.vm is not None:
            self.services.chooser.end(self.vm)
            self.vm = None

    def _finish(self) -> None:
        if self.over:
            return
        self.over = True
        OPEN_REQUESTS.dec()
        self._end_attempt()
        if self.reservation is not None:
            self.services.holdings.release(self.reservation)
            self.reservation = None
