"""Serve one chat request, from the reservation of its tokens to the end of its response."""

import json
import time
from typing import Any
from uuid import uuid4

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.budgets.grants import GrantManager
from bronzetiller.budgets.holdings import Holdings, Reservation
from bronzetiller.callers.chat_request import ChatRequest
from bronzetiller.callers.problems import refuse
from bronzetiller.callers.target_assignment import TargetAssignment
from bronzetiller.configuration.records import Route
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.metrics import OPEN_REQUESTS, REQUESTS, RESPONSES, RETRIES
from bronzetiller.net.buffer_quota import BufferQuota
from bronzetiller.net.event_stream import format_event
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import SILENCE, HttpClient
from bronzetiller.requests.admission import Admission, RequestKey, refuse_quarantined
from bronzetiller.requests.billing import Biller
from bronzetiller.requests.crash_monitor import CrashMonitor
from bronzetiller.requests.execution import correct_ran
from bronzetiller.requests.retries import RetryBudget
from bronzetiller.routing.chunks import merge_delta
from bronzetiller.routing.dispatcher import Dispatcher, DispatchJob, QueuePosition
from bronzetiller.routing.engine import (
    AttemptEvent,
    AttemptFailed,
    CompletionEnd,
    CompletionPart,
    EngineAttempt,
    OpenAttempts,
    start_attempt,
)
from bronzetiller.routing.targets import TargetChooser, observe_attempt

ATTEMPTS_MAX = 3
CLIENT_ERROR_STATUSES = {400, 413, 415, 422}
EVENT_STREAM_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
JSON_HEADERS = {"Content-Type": "application/json"}


@define
class ChatContext:
    """Hold the dependencies that all chat requests of the node share."""

    http: HttpClient
    grant_manager: GrantManager
    holdings: Holdings
    biller: Biller
    chooser: TargetChooser
    dispatcher: Dispatcher
    first_byte_seconds: float
    admission: Admission
    crash_monitor: CrashMonitor
    retries: RetryBudget
    open_attempts: OpenAttempts = field(factory=OpenAttempts)
    open_requests: int = 0
    response_quota: BufferQuota = field(factory=BufferQuota)


def make_message() -> dict[str, Any]:
    """Return an empty message for the deltas of a response to be merged into."""
    return {"role": "assistant", "content": ""}


@define(eq=False)
class ChatRequestHandler:
    """Serve one chat request and hold its state.

    A failed attempt is retried as long as no part of the response was sent to the caller.
    """

    context: ChatContext
    exchange: Exchange
    key: RequestKey
    route: Route
    request: ChatRequest
    weight: int = 1
    reservation: Reservation | None = None
    attempt: EngineAttempt | None = None
    may_have_run: bool = False
    message: dict[str, Any] = field(factory=make_message)
    failure: AttemptFailed | None = None
    attempts: int = 0
    queue_position: QueuePosition | None = None
    finished: bool = False
    assignment: TargetAssignment = field(init=False)

    def __attrs_post_init__(self) -> None:
        context = self.context
        self.assignment = TargetAssignment(
            context.crash_monitor, context.chooser, self.key.signature
        )

    def start(self) -> None:
        """Reserve the most tokens that the request can use, then dispatch it."""
        REQUESTS.labels("chat").inc()
        OPEN_REQUESTS.inc()
        self.context.open_requests += 1
        self.context.retries.record_request()
        self.exchange.on_disconnect = self._on_disconnect
        self.exchange.on_flow_change = self._on_flow_change
        refusal = self.context.admission.check(self.key) or self.context.dispatcher.check(
            self.route.service, self.key.workspace
        )
        if refusal is not None:
            self._refuse(refusal)
            return
        tokens = self.request.tokens_max
        self.context.grant_manager.reserve_when_available(
            self.key.workspace, tokens, self._on_reserved
        )

    def _on_reserved(self, result: Result[Reservation, Refusal]) -> None:
        match result:
            case Ok(reservation) if self.finished:
                self.context.holdings.release(reservation)
            case Ok(reservation):
                self.reservation = reservation
                self._enqueue()
            case Err(refusal):
                self._refuse(refusal)

    def _enqueue(self) -> None:
        job = DispatchJob(
            self.route.service,
            self.key.workspace,
            self.weight,
            self.request.tokens_max,
            self._await_permit,
            self._refuse,
        )
        self.queue_position = self.context.dispatcher.submit(job)

    def _await_permit(self) -> None:
        self.queue_position = None
        self.assignment.await_permit(self._dispatch, self._refuse)

    def _choose_target(self, avoided: set[str]) -> Vm | None:
        excluded = self.assignment.tried_ids | avoided
        return self.context.chooser.choose(self.route.service, excluded, self.request.prefix_key)

    def _dispatch(self) -> None:
        if self.finished:
            return
        crash_monitor = self.context.crash_monitor
        if crash_monitor.is_quarantined(self.key.signature):
            self._refuse(refuse_quarantined(self.key.ran_before))
            return
        chooser = self.context.chooser
        vm = crash_monitor.choose(
            self.key.signature, self._choose_target, chooser, self.route.service
        )
        if vm is None:
            self._refuse_no_target()
            return
        self.attempts += 1
        self.assignment.assign(vm)
        self.attempt = start_attempt(
            self.context.http,
            vm,
            uuid4().hex,
            self.request.body,
            answer_tokens_max=self.request.answer_tokens_max,
            silence_seconds=self.route.silence_seconds,
            first_byte_seconds=self.context.first_byte_seconds,
            listener=observe_attempt(self.context.chooser, vm, self._on_attempt_event),
            open_attempts=self.context.open_attempts,
            quota=self.context.response_quota,
        )

    def _on_attempt_event(self, event: AttemptEvent) -> None:
        if isinstance(event, CompletionPart):
            self.assignment.mark_proven()
            self._forward(event)
            return
        vm = self.assignment.vm
        assert vm is not None
        if isinstance(event, AttemptFailed) and event.silent:
            self.assignment.tried_ids.discard(vm.vm_id)
        self.assignment.unassign()
        if isinstance(event, CompletionEnd):
            self.assignment.mark_completed()
            self._bill(event)
        else:
            self._handle_failure(event, vm)

    def _forward(self, part: CompletionPart) -> None:
        if not self.request.stream:
            merge_delta(self.message, part.delta)
            return
        if not part.data:
            return
        if not self.exchange.started:
            self.exchange.start(200, EVENT_STREAM_HEADERS)
        self.exchange.send(format_event(part.data))

    def _bill(self, end: CompletionEnd) -> None:
        assert self.reservation is not None
        reported = end.prompt_tokens + end.answer_tokens
        tokens = max(0, min(reported, self.reservation.tokens))
        reservation, self.reservation = self.reservation, None
        self.context.biller.bill(
            self.key.request_id,
            self.key.fingerprint,
            reservation,
            tokens,
            lambda result: self._on_billed(end, result),
        )

    def _on_billed(self, end: CompletionEnd, result: Result[int, Refusal]) -> None:
        if self.finished:
            return
        if isinstance(result, Err):
            self._refuse(result.err_value)
            return
        self._finish()
        RESPONSES.labels("chat").inc()
        if not self.request.stream:
            body = json.dumps(self._make_completion(end)).encode()
            self.exchange.respond(200, JSON_HEADERS, body)
            return
        if not self.exchange.started:
            self.exchange.start(200, EVENT_STREAM_HEADERS)
        self.exchange.send(b"".join(map(format_event, self._select_last_chunks(end))))
        self.exchange.send(format_event(b"[DONE]"))
        self.exchange.finish()

    def _select_last_chunks(self, end: CompletionEnd) -> list[bytes]:
        if self.request.include_usage:
            return end.last_chunks
        return [chunk for chunk in end.last_chunks if json.loads(chunk)["choices"]]

    def _make_completion(self, end: CompletionEnd) -> dict[str, Any]:
        usage = {
            "prompt_tokens": end.prompt_tokens,
            "completion_tokens": end.answer_tokens,
            "total_tokens": end.prompt_tokens + end.answer_tokens,
        }
        return {
            "id": f"chatcmpl-{self.key.request_id}",
            "object": "chat.completion",
            "created": int(time.time()),
            "model": self.request.body["model"],
            "choices": [{"index": 0, "message": self.message, "finish_reason": end.finish_reason}],
            "usage": usage,
        }

    def _handle_failure(self, failure: AttemptFailed, vm: Vm) -> None:
        self.failure = failure
        self.may_have_run |= failure.may_have_run
        if not failure.may_have_run:
            self.attempts -= 1
        if failure.status in CLIENT_ERROR_STATUSES:
            self._refuse(Refusal(failure.status, Reason.BAD_REQUEST, failure.detail))
        elif failure.target_lost and failure.may_have_run:
            self.assignment.report_loss(vm, lambda: self._retry_or_refuse(failure))
        else:
            self._retry_or_refuse(failure)

    def _retry_or_refuse(self, failure: AttemptFailed) -> None:
        if self.finished:
            return
        self.assignment.release_permit()
        if self.context.crash_monitor.is_quarantined(self.key.signature):
            self._refuse(refuse_quarantined(Ran.UNKNOWN))
            return
        if self._try_spend_retry(failure):
            RETRIES.labels(SILENCE if failure.silent else "target_failed").inc()
            self.message = make_message()
            self._await_permit()
            return
        self._refuse_failed(failure)

    def _refuse_failed(self, failure: AttemptFailed) -> None:
        reason = Reason.ANSWER_INCOMPLETE if self.exchange.started else Reason.TARGET_FAILED
        self._refuse(Refusal(502, reason, failure.cause, retry_after_seconds=1))

    def _try_spend_retry(self, failure: AttemptFailed) -> bool:
        """Return whether to retry; a target that received no byte costs none and is tried once."""
        if self.exchange.started or self.attempts >= ATTEMPTS_MAX:
            return False
        nothing_sent = not failure.may_have_run and not failure.status
        return nothing_sent or self.context.retries.try_spend()

    def _refuse_no_target(self) -> None:
        if self.failure is not None:
            self._refuse_failed(self.failure)
            return
        detail = "no target of the service accepts new requests"
        self._refuse(Refusal(503, Reason.NO_TARGET, detail, retry_after_seconds=1))

    def _refuse(self, refusal: Refusal) -> None:
        self._finish()
        refuse(self.exchange, correct_ran(refusal, may_have_run=self.may_have_run))

    def _on_flow_change(self, flowing: bool) -> None:
        if self.attempt is not None:
            self.attempt.set_flow(flowing)

    def _on_disconnect(self) -> None:
        """Cancel the request; if a part of the response was sent, finish and bill it instead."""
        if self.finished:
            return
        if self.exchange.started:
            self._on_flow_change(True)
            return
        if self.attempt is not None:
            self.attempt.cancel()
        if self.reservation is not None or self.attempt is None:
            self._finish()

    def _finish(self) -> None:
        if self.finished:
            return
        self.finished = True
        self.exchange.body = b""
        OPEN_REQUESTS.dec()
        self.context.open_requests -= 1
        if self.queue_position is not None:
            self.queue_position.leave()
        self.assignment.unassign()
        self.assignment.release_permit()
        if self.reservation is not None:
            self.context.holdings.release(self.reservation)
            self.reservation = None
