"""Serve one call of a plain service, from its claim to the end of its response."""

import base64
import hashlib
from uuid import uuid4

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.budgets.grants import GrantManager
from bronzetiller.budgets.holdings import Holdings, Reservation
from bronzetiller.budgets.records import Outcome
from bronzetiller.budgets.shards import Shards
from bronzetiller.callers.problems import refuse
from bronzetiller.callers.target_assignment import TargetAssignment
from bronzetiller.configuration.records import Route
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.fleet.vm_list import Vm
from bronzetiller.metrics import OPEN_REQUESTS, REPLAYS, REQUESTS, RESPONSES, RETRIES
from bronzetiller.net.buffer_quota import BufferQuota
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import HttpClient
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.requests.admission import Admission, RequestKey, refuse_quarantined
from bronzetiller.requests.billing import Biller
from bronzetiller.requests.claim_coordinator import (
    ClaimCoordinator,
    ClaimDecision,
    ClaimRequest,
    ClaimSettled,
    ClaimWon,
    PendingClaim,
)
from bronzetiller.requests.crash_monitor import CrashMonitor
from bronzetiller.requests.execution import (
    ResponseFacts,
    Verdict,
    correct_ran,
    judge_response,
)
from bronzetiller.requests.retries import RetryBudget
from bronzetiller.routing.service import (
    CallOutcome,
    ServiceAttempt,
    ServiceFailed,
    ServiceRequest,
    ServiceResponse,
    start_service_attempt,
)
from bronzetiller.routing.targets import TargetChooser, observe_call

SERVICES_PREFIX = "/services/"
ATTEMPTS_MAX = 3
STORED_BODY_BYTES_MAX = 32 * 1024
FORWARDED_HEADERS = ("accept", "accept-language", "content-type")
RETRIED_STATUSES = (502, 503, 504)


@define
class ServiceCallContext:
    """Hold the dependencies that all service calls of the node share."""

    scheduler: Scheduler
    http: HttpClient
    shards: Shards
    grant_manager: GrantManager
    holdings: Holdings
    biller: Biller
    chooser: TargetChooser
    claim_coordinator: ClaimCoordinator
    admission: Admission
    crash_monitor: CrashMonitor
    retries: RetryBudget
    open_requests: int = 0
    response_quota: BufferQuota = field(factory=BufferQuota)


def split_route_path(path: str) -> tuple[str, str]:
    """Split a path below SERVICES_PREFIX into the route's name and the path at the service."""
    name, _, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
    return name, "/" + rest


def compute_call_fingerprint(exchange: Exchange, path: str) -> str:
    """Return a digest that distinguishes different calls under the same idempotency key."""
    digest = hashlib.sha256()
    for part in (exchange.method, path, exchange.query):
        digest.update(part.encode() + b"\0")
    digest.update(exchange.body)
    return digest.hexdigest()[:32]


@define(eq=False)
class ServiceCallHandler:
    """Serve one service call and hold its state.

    A call of a route that is not idempotent runs at most once under its key: the claim on the key
    is obtained first, and the stored outcome is the response to repeated calls.
    """

    context: ServiceCallContext
    exchange: Exchange
    key: RequestKey
    route: Route
    request: ServiceRequest
    pending_claim: PendingClaim | None = None
    claim: ClaimWon | None = None
    settled_outcome: Outcome | None = None
    reservation: Reservation | None = None
    attempt: ServiceAttempt | None = None
    may_have_run: bool = False
    attempts: int = 0
    caller_disconnected: bool = False
    finished: bool = False
    assignment: TargetAssignment = field(init=False)

    def __attrs_post_init__(self) -> None:
        context = self.context
        self.assignment = TargetAssignment(
            context.crash_monitor, context.chooser, self.key.signature
        )

    def start(self) -> None:
        """Claim the call if it must run at most once, reserve its tokens, then dispatch it."""
        REQUESTS.labels("plain").inc()
        OPEN_REQUESTS.inc()
        self.context.open_requests += 1
        self.context.retries.record_request()
        self.exchange.on_disconnect = self._on_disconnect
        if self._needs_claim:
            request = ClaimRequest(self.key.workspace, self.key.request_id, self.key.fingerprint)
            pending_claim = self.context.claim_coordinator.request_claim(request, self._on_claim)
            self.pending_claim = None if self.finished else pending_claim
            return
        self._check_and_reserve()

    @property
    def _needs_claim(self) -> bool:
        """Return whether a call that runs at most once may be a resend; generated ids never are."""
        return not self.route.idempotent and not self.key.is_first

    def _on_claim(self, decision: ClaimDecision) -> None:
        self.pending_claim = None
        if isinstance(decision, Refusal):
            self._refuse(decision)
        elif isinstance(decision, ClaimSettled):
            self.settled_outcome = decision.outcome
            self._replay(decision.outcome)
        else:
            self.claim = decision
            self.key = evolve(self.key, is_first=True)
            self._check_and_reserve()

    def _check_and_reserve(self) -> None:
        if self.claim is not None and self._is_billed():
            self._refuse(_make_not_kept_refusal())
            return
        refusal = self.context.admission.check(self.key)
        if refusal is not None:
            self._refuse(refusal)
            return
        tokens = self.route.call_tokens
        self.context.grant_manager.reserve_when_available(
            self.key.workspace, tokens, self._on_reserved
        )

    def _on_reserved(self, result: Result[Reservation, Refusal]) -> None:
        match result:
            case Ok(reservation) if self.finished:
                self.context.holdings.release(reservation)
            case Ok(reservation):
                self.reservation = reservation
                if self.settled_outcome is None:
                    self._await_permit()
                else:
                    self._bill(None)
            case Err(refusal):
                self._refuse(refusal)

    def _await_permit(self) -> None:
        self.assignment.await_permit(self._dispatch, self._refuse)

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
            detail = "no target of the service accepts new requests"
            self._refuse(Refusal(503, Reason.NO_TARGET, detail, retry_after_seconds=1))
            return
        self._start_attempt(vm)

    def _choose_target(self, avoided: set[str]) -> Vm | None:
        return self.context.chooser.choose(self.route.service, self.assignment.tried_ids | avoided)

    def _start_attempt(self, vm: Vm) -> None:
        self.assignment.assign(vm)
        self.attempt = start_service_attempt(
            self.context.http,
            vm,
            uuid4().hex if self.claim is None else self.claim.attempt_id,
            self.request,
            silence_seconds=self.route.silence_seconds,
            may_send=None if self.route.idempotent else self._may_send,
            listener=observe_call(self.context.chooser, vm, self._on_outcome),
            quota=self.context.response_quota,
        )

    def _may_send(self) -> bool:
        return self.claim is None or self.context.scheduler.now() <= self.claim.dispatch_by

    def _on_outcome(self, outcome: CallOutcome) -> None:
        vm = self.assignment.vm
        assert vm is not None
        self.assignment.unassign()
        if isinstance(outcome, ServiceResponse) or outcome.sent:
            self.may_have_run = True
            self.attempts += 1
        if isinstance(outcome, ServiceFailed):
            self._handle_failure(outcome, vm)
        elif (
            self.route.idempotent and outcome.status in RETRIED_STATUSES and self._try_spend_retry()
        ):
            RETRIES.labels("target_refused").inc()
            self._dispatch()
        elif not self.route.idempotent and _is_unproved(outcome.status):
            self._refuse_unknown(ServiceFailed(f"status {outcome.status}", sent=True))
        else:
            if 200 <= outcome.status < 300:
                self.assignment.mark_completed()
            self._bill(outcome)

    def _try_spend_retry(self) -> bool:
        return self.attempts < ATTEMPTS_MAX and self.context.retries.try_spend()

    def _handle_failure(self, failure: ServiceFailed, vm: Vm) -> None:
        if failure.sent:
            self.assignment.report_loss(vm, lambda: self._handle_loss(failure))
        elif self._may_send() and self._try_spend_retry():
            RETRIES.labels("not_sent").inc()
            self._dispatch()
        else:
            self._refuse_failed(failure, Ran.NO)

    def _handle_loss(self, failure: ServiceFailed) -> None:
        if self.finished:
            return
        self.assignment.release_permit()
        if not self.route.idempotent:
            self._refuse_unknown(failure)
        elif self.context.crash_monitor.is_quarantined(self.key.signature):
            self._refuse(refuse_quarantined(Ran.UNKNOWN))
        elif self._try_spend_retry():
            RETRIES.labels("target_failed").inc()
            self._await_permit()
        else:
            self._refuse_failed(failure, Ran.UNKNOWN)

    def _refuse_failed(self, failure: ServiceFailed, ran: Ran) -> None:
        self._refuse(Refusal(502, Reason.TARGET_FAILED, failure.cause, ran, retry_after_seconds=1))

    def _refuse_unknown(self, failure: ServiceFailed) -> None:
        if self.claim is not None:
            claim, self.claim = self.claim, None
            self.context.claim_coordinator.record_unknown_outcome(claim)
        detail = f"the request was sent and its outcome is unknown: {failure.cause}"
        self._refuse(Refusal(502, Reason.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN))

    def _bill(self, response: ServiceResponse | None) -> None:
        assert self.reservation is not None
        reservation, self.reservation = self.reservation, None
        outcome = None
        if response is not None and self.claim is not None:
            outcome = _make_outcome(self.claim, response)
            self.claim = None
        self.context.biller.bill(
            self.key.request_id,
            self.key.fingerprint,
            reservation,
            self.route.call_tokens,
            lambda result: self._on_billed(response, result),
            outcome,
        )

    def _on_billed(self, response: ServiceResponse | None, result: Result[int, Refusal]) -> None:
        if isinstance(result, Err):
            self._refuse(result.err_value)
        elif response is not None:
            self._respond(response)
        elif self.settled_outcome is not None:
            self._respond_stored(self.settled_outcome)

    def _replay(self, outcome: Outcome) -> None:
        """Respond with the stored outcome; bill it first if its earlier bill was not accepted."""
        if self._is_billed():
            self._respond_stored(outcome)
        else:
            self._check_and_reserve()

    def _is_billed(self) -> bool:
        ledger = self.context.shards.find(self.key.workspace).ledger
        bill = ledger.find_bill(self.key.workspace, self.key.request_id)
        return bill is not None and bill.fingerprint == self.key.fingerprint

    def _respond_stored(self, outcome: Outcome) -> None:
        if not outcome.body_kept:
            self._refuse(_make_not_kept_refusal())
            return
        REPLAYS.inc()
        body = base64.b64decode(outcome.body)
        self._respond(ServiceResponse(outcome.status, outcome.content_type, body))

    def _respond(self, response: ServiceResponse) -> None:
        self._finish()
        RESPONSES.labels("plain").inc()
        self.exchange.respond(
            response.status, {"Content-Type": response.content_type}, response.body
        )

    def _refuse(self, refusal: Refusal) -> None:
        corrected = self._correct_ran(refusal)
        self._finish()
        if not self.caller_disconnected:
            refuse(self.exchange, corrected)

    def _correct_ran(self, refusal: Refusal) -> Refusal:
        """Return a refusal that does not deny an execution that did or may have taken place."""
        settled = self.settled_outcome
        if settled is not None and refusal.ran is Ran.NO:
            return evolve(refusal, ran=settled.ran)
        return correct_ran(refusal, may_have_run=self.may_have_run)

    def _on_disconnect(self) -> None:
        """Cancel the call; if it must run at most once and may have begun, finish it instead."""
        self.caller_disconnected = True
        if self.finished or (self.attempt is not None and not self.route.idempotent):
            return
        if self.pending_claim is not None:
            self.pending_claim.cancel()
        if self.attempt is not None:
            self.attempt.cancel()
        if self.reservation is not None or self.attempt is None:
            self._finish()

    def _finish(self) -> None:
        if self.finished:
            return
        self.finished = True
        self.request = evolve(self.request, body=b"")
        self.exchange.body = b""
        OPEN_REQUESTS.dec()
        self.context.open_requests -= 1
        self.assignment.unassign()
        self.assignment.release_permit()
        if self.reservation is not None:
            self.context.holdings.release(self.reservation)
            self.reservation = None
        if self.claim is not None:
            self.context.claim_coordinator.release_claim(self.claim)
            self.claim = None


def _is_unproved(status: int) -> bool:
    facts = ResponseFacts(status, names_request=True, states_not_run=False)
    return judge_response(facts) is Verdict.UNPROVED


def _make_not_kept_refusal() -> Refusal:
    detail = "the request was run; its response is not stored"
    return Refusal(409, Reason.ANSWER_NOT_KEPT, detail, Ran.YES)


def _make_outcome(claim: ClaimWon, response: ServiceResponse) -> Outcome:
    stored = len(response.body) <= STORED_BODY_BYTES_MAX
    return Outcome(
        claim.request.workspace,
        claim.request.request_id,
        claim.attempt_id,
        Ran.YES,
        status=response.status,
        content_type=response.content_type,
        body=base64.b64encode(response.body).decode() if stored else "",
        body_kept=stored,
    )


def make_service_call_handler(
    context: ServiceCallContext, exchange: Exchange, workspace: str, route: Route, service_path: str
) -> ServiceCallHandler:
    """Return the handler of one call; service_path is the path that the service receives."""
    headers = {k: v for k, v in exchange.headers.items() if k in FORWARDED_HEADERS}
    caller_key = exchange.headers.get("idempotency-key")
    request_id = caller_key or uuid4().hex
    headers["Idempotency-Key"] = request_id
    target = f"{service_path}?{exchange.query}" if exchange.query else service_path
    request = ServiceRequest(exchange.method, target, headers, exchange.body)
    key = RequestKey(
        workspace, request_id, compute_call_fingerprint(exchange, service_path), caller_key is None
    )
    return ServiceCallHandler(context, exchange, key, route, request)
