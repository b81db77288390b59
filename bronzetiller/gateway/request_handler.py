"""Serve one request of a path route from its budget to the end of its answer."""

from collections.abc import Callable

from attrs import define, field
from result import Err, Result

from bronzetiller.callers.problems import (
    count_refusal,
    make_refusal_body,
    make_refusal_headers,
)
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.gateway.attempt import (
    CONNECT_SECONDS,
    Attempt,
    AttemptEvent,
    CompleteResponse,
    NotRun,
    ResponseLost,
    StreamData,
    StreamEnd,
    StreamStarted,
)
from bronzetiller.gateway.budgets import Budgets
from bronzetiller.gateway.configuration import (
    GatewayConfiguration,
    PathRoute,
    WorkspaceConfiguration,
    choose_service,
)
from bronzetiller.gateway.crashes import CrashTracker, make_fingerprint
from bronzetiller.gateway.placement import (
    PREFILL_TOKENS_PER_SECOND,
    Distances,
    PlacementRequest,
    choose_target,
    estimate_prefill,
    make_placement_request,
)
from bronzetiller.gateway.requests import RequestMetadata
from bronzetiller.gateway.reservation_client import Reservation
from bronzetiller.gateway.retry_window import RetryWindow
from bronzetiller.gateway.targets import Target, TargetPool
from bronzetiller.logs import log_event
from bronzetiller.metrics import ANSWERS, OPEN_REQUESTS, REQUESTS, RETRIES
from bronzetiller.net.dialer import CLOSED, RESET
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import HttpCall, HttpClient
from bronzetiller.net.scheduler import Scheduler, Timer, Watch
from bronzetiller.platform.headers import make_answer_headers, make_target_headers
from bronzetiller.routing.queues import RateMeter

DIALS_MAX = 4  # targets that a request may fail to reach before it is refused
REFUSALS_MAX = 2  # targets that may refuse a request before its caller is told to come back
DEADLINE_MARGIN_SECONDS = 0.03  # for the answer to reach the caller, some 3 ms away
ROOM_SECONDS_MIN = 0.05  # with less time left no target can answer
SILENT_HEAD_TARGETS = 2.5  # times the latency target, before a request is moved
SILENT_PAUSES = 5.0  # times the longest pause of a stream that is on time
SILENT_SECONDS_MIN = 0.7
BROKEN_EVENTS = 2  # that a target may have made beyond those that arrived
OVERLOADED_RETRY_SECONDS = 0.4


@define
class RequestContext:
    """Hold what requests need of the node."""

    scheduler: Scheduler
    http: HttpClient
    pool: TargetPool
    budgets: Budgets
    distances: Distances
    retries: Callable[[str], RetryWindow]
    count_nodes: Callable[[], int]
    draw: Callable[[], float]
    crashes: CrashTracker
    open_runs: int = 0
    arrivals: RateMeter = field(factory=RateMeter)


@define(eq=False)
class RequestHandler:
    """Hold the state of one request; the deadline is in monotonic seconds."""

    services: RequestContext
    exchange: Exchange
    configuration: GatewayConfiguration
    route: PathRoute
    metadata: RequestMetadata
    workspace: WorkspaceConfiguration | None
    begun_at: float
    deadline: float
    service: str = ""
    reservation: Reservation | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    refusals: int = 0
    dials: int = 0
    tried: list[str] = field(factory=list)
    may_have_run: bool = False
    last_event_id: int | None = None
    events: int = 0
    answer_head: bool = False
    pending_prefill_tokens: int = 0
    sent_at: float = 0.0
    caller_gone: bool = False
    over: bool = False
    _timer: Timer | None = None
    _silence: Watch | None = None

    def start(self) -> None:
        """Set the request's tokens aside, then place it."""
        REQUESTS.labels("path").inc()
        OPEN_REQUESTS.inc()
        self.services.open_runs += 1
        self.services.arrivals.record(1.0, self.begun_at)
        self.exchange.on_disconnect = self._on_disconnect
        self._timer = self.services.scheduler.call_at(self.deadline, self._on_deadline)
        self.last_event_id = self.metadata.last_event_id
        if self.services.crashes.is_quarantined(self._make_fingerprint):
            detail = "targets crashed while this request ran on them; it is not run for now"
            self._refuse(Refusal(503, Reason.QUARANTINED, detail))
            return
        if self.workspace is None or self.metadata.prompt is None:
            self._place()
            return
        self.services.budgets.reserve(
            self.metadata.request_id,
            self.workspace.name,
            self.metadata.prompt.tokens_max,
            self.deadline,
            self._on_budget,
        )

    def _on_budget(self, result: Result[Reservation | None, Refusal]) -> None:
        if isinstance(result, Err):
            self._refuse(result.err_value)
            return
        self.reservation = result.ok_value
        if self.over:
            self._settle()
        else:
            self._place()

    def _place(self) -> None:
        """Choose a target and send the request to it."""
        services = self.services
        now = services.scheduler.now()
        if self.deadline - now < ROOM_SECONDS_MIN:
            self._on_deadline()
            return
        if not self.service:
            draw = services.draw()
            chosen = choose_service(self.route, draw, services.pool.list_services())
            self.service = chosen or ""
            services.retries(self.service).record_request(now)
        targets = [
            target
            for target in services.pool.list_targets(self.service)
            if target.target_id not in self.tried
        ]
        request = make_placement_request(self.metadata.prompt)
        target = choose_target(targets, request, services.distances, now, services.draw)
        if target is None:
            self._refuse_unplaced()
            return
        self._send(target, request)

    def _refuse_unplaced(self) -> None:
        if self.may_have_run:
            self._fail("no other target of the service")
            return
        self._refuse_for_now(Reason.NO_TARGET, "no target of the service takes the request")

    def _refuse_for_now(self, reason: Reason, detail: str) -> None:
        """Tell the caller when to come back, spread so that not all return at once."""
        seconds = round(OVERLOADED_RETRY_SECONDS * (0.6 + 0.8 * self.services.draw()), 3)
        self._refuse(Refusal(503, reason, detail, retry_after_seconds=seconds))

    def _send(self, target: Target, request: PlacementRequest) -> None:
        services = self.services
        now = services.scheduler.now()
        self.tried.append(target.target_id)
        prompt = self.metadata.prompt
        self.pending_prefill_tokens = estimate_prefill(target, request, is_home=False).tokens
        self.sent_at = now
        if prompt is not None:
            target.record_segments((part.segment_id for part in prompt.segments), now)
        target.pending_prefill_tokens += self.pending_prefill_tokens
        self.attempt = attempt = Attempt(
            target,
            self.metadata.request_id,
            self.route.streamed,
            services.scheduler.now,
            self._on_event,
        )
        path = self.exchange.path
        request_target = f"{path}?{self.exchange.query}" if self.exchange.query else path
        call = HttpCall(
            address=target.registration.address,
            method=self.exchange.method,
            path=request_target,
            headers=make_target_headers(
                self.metadata,
                seconds_left=self.deadline - now,
                target_id=target.target_id,
                workspace=None if self.workspace is None else self.workspace.name,
                priority=self._priority,
                last_event_id=self.last_event_id,
            ),
            body=self.exchange.body,
            silence_seconds=self.deadline - now + 1.0,  # the deadline and _silence end it before
            connect_seconds=CONNECT_SECONDS,
            host=self.exchange.headers.get("host"),
            is_own=attempt.owns,
        )
        attempt.start(services.http, call)
        self._watch_silence(SILENT_HEAD_TARGETS * self.route.latency_target_seconds)

    @property
    def _priority(self) -> int:
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def _watch_silence(self, seconds: float) -> None:
        """Move the request to another target once this one is silent, where it may run again."""
        if not self._may_repeat:
            if self._silence is not None:
                self._silence.clear()  # it still runs for the target before this one
            return
        if self._silence is None:
            self._silence = self.services.scheduler.watch(self._on_silence)
        self._silence.expire_after(max(SILENT_SECONDS_MIN, seconds))

    @property
    def _may_repeat(self) -> bool:
        return self.route.retryable and self.attempts + 1 < self.route.attempts_max

    def _on_silence(self) -> None:
        attempt = self.attempt
        if self.over or attempt is None or attempt.over or not attempt.sent:
            return
        if not self._take_retry("silent"):
            return
        attempt.cancel()
        self._note_begun()
        self.may_have_run = True
        self.attempts += 1
        attempt.target.record_failure("silent", self.services.scheduler.now())
        self._log_attempt("silent")
        self._place()

    def _on_event(self, event: AttemptEvent) -> None:
        if not isinstance(event, StreamStarted | StreamData):
            self._note_begun()
        if isinstance(event, StreamData):
            self._take_data(event)
        elif isinstance(event, StreamStarted):
            self.may_have_run = True
            self._begin_stream(event)
        elif isinstance(event, StreamEnd):
            self._succeed()
            self.exchange.finish()
        elif isinstance(event, CompleteResponse):
            self._take_answer(event)
        elif isinstance(event, NotRun):
            self._take_not_run(event)
        elif isinstance(event, ResponseLost):
            self._take_loss(event)

    def _begin_stream(self, event: StreamStarted) -> None:
        if not self.answer_head:
            self.answer_head = True
            self.exchange.start(event.head.status, make_answer_headers(event.head))

    def _note_begun(self) -> None:
        """Count the request's prompt as read, or as never to be read, by its target."""
        if self.attempt is not None:
            self.attempt.target.pending_prefill_tokens -= self.pending_prefill_tokens
            self.pending_prefill_tokens = 0

    def _note_first_event(self) -> None:
        target = self.attempt.target  # type: ignore[union-attr]
        now = self.services.scheduler.now()
        usual = self.pending_prefill_tokens / PREFILL_TOKENS_PER_SECOND
        usual += 2 * self.services.distances.estimate(target.registration.data_centre)
        target.record_queue_delay(now - self.sent_at - usual, now)
        self._note_begun()

    def _take_data(self, event: StreamData) -> None:
        if self.pending_prefill_tokens:
            self._note_first_event()
        self.events += event.events
        if event.last_event_id is not None:
            self.last_event_id = event.last_event_id
        self.exchange.send(event.data)
        self._watch_silence(SILENT_PAUSES * self.route.event_gap_seconds)

    def _take_answer(self, event: CompleteResponse) -> None:
        self.may_have_run = True
        self.attempts += 1
        if self.answer_head:
            # A resumed stream cannot turn into another answer.
            self._recover(f"status {event.head.status}")
            return
        if event.failed and self._can_repeat("target_failed"):
            self._log_attempt(f"status {event.head.status}")
            self._place()
            return
        self._succeed()
        self.exchange.respond(event.head.status, make_answer_headers(event.head), event.body)

    def _take_not_run(self, event: NotRun) -> None:
        attempt = self.attempt
        assert attempt is not None
        now = self.services.scheduler.now()
        self._log_attempt(event.cause)
        if not event.reached:
            attempt.target.record_failure(event.cause, now)
            self.dials += 1
            if self.dials < DIALS_MAX:
                self._place()
                return
        else:
            self.services.pool.record_refusal(attempt.target, event.cause, now)
            self.refusals += 1
            if self.refusals <= REFUSALS_MAX and self._take_retry("target_refused"):
                self._place()
                return
        if self.may_have_run:
            self._fail(event.cause)
            return
        self._refuse_for_now(Reason.OVERLOADED, event.cause)

    def _take_loss(self, event: ResponseLost) -> None:
        attempt = self.attempt
        assert attempt is not None
        self.may_have_run = True
        self.attempts += 1
        attempt.target.record_failure(event.cause, self.services.scheduler.now())
        if event.cause in (CLOSED, RESET):
            self.services.crashes.report_loss(attempt.target, self._make_fingerprint())
        self._recover(event.cause)

    def _make_fingerprint(self) -> str:
        workspace = "" if self.workspace is None else self.workspace.name
        exchange = self.exchange
        return make_fingerprint(workspace, exchange.method, exchange.path, exchange.body)

    def _recover(self, cause: str) -> None:
        self._log_attempt(cause)
        if self._can_repeat("target_lost"):
            self._place()
        else:
            self._fail(cause)

    def _can_repeat(self, reason: str) -> bool:
        allowed = self.route.retryable and self.attempts < self.route.attempts_max
        return allowed and not self.caller_gone and self._take_retry(reason)

    def _take_retry(self, reason: str) -> bool:
        services = self.services
        window = services.retries(self.service)
        if not window.take(services.scheduler.now(), services.count_nodes()):
            log_event(
                "retry_refused", id=self.metadata.request_id, cause=reason, service=self.service
            )
            return False
        RETRIES.labels(reason).inc()
        return True

    def _on_deadline(self) -> None:
        if self.over:
            return
        if self.attempt is not None and not self.attempt.over:
            self.may_have_run = self.may_have_run or self.attempt.sent
            self.attempt.cancel()
        if self.may_have_run:
            self._fail("deadline")
            return
        self._refuse_for_now(Reason.DEADLINE, "the deadline passed before a target was found")

    def _on_disconnect(self) -> None:
        """Stop the work of a caller that left, but for a call that runs and can run only once."""
        self.caller_gone = True
        attempt = self.attempt
        runs_once = not self.route.retryable and not self.route.streamed
        if attempt is not None and not attempt.over and attempt.sent and runs_once:
            return
        if attempt is not None and not attempt.over:
            self.may_have_run = self.may_have_run or attempt.sent
            attempt.cancel()
        self._finish("caller_gone")

    def _succeed(self) -> None:
        assert self.attempt is not None
        self.attempt.target.record_success()
        ANSWERS.labels("path").inc()
        self._finish("answered")

    def _fail(self, cause: str) -> None:
        """End a request that may have run without an answer; nothing is promised of it."""
        late = cause == "deadline"
        status, reason = (504, Reason.DEADLINE) if late else (502, Reason.TARGET_FAILED)
        self._refuse(Refusal(status, reason, cause, Ran.UNKNOWN))

    def _refuse(self, refusal: Refusal) -> None:
        if self.over:
            return
        count_refusal(refusal, id=self.metadata.request_id, route=self.route.name)
        self._finish(refusal.reason.value)
        if self.caller_gone:
            return
        if self.exchange.started:
            self.exchange.abort()
            return
        headers, body = make_refusal_headers(refusal), make_refusal_body(refusal)
        self.exchange.respond(refusal.status, headers, body)

    def _finish(self, outcome: str) -> None:
        if self.over:
            return
        self.over = True
        self._note_begun()
        OPEN_REQUESTS.dec()
        self.services.open_runs -= 1
        if self._timer is not None:
            self._timer.cancel()
        if self._silence is not None:
            self._silence.cancel()
        holder = "" if self.reservation is None else self.reservation.holder
        used = self._settle(whole=outcome == "answered")
        log_event(
            "request",
            id=self.metadata.request_id,
            route=self.route.name,
            version=self.configuration.version,
            workspace="" if self.workspace is None else self.workspace.name,
            targets=",".join(self.tried),
            attempts=self.attempts,
            events=self.events,
            tokens=used,
            tokens_from=holder,
            outcome=outcome,
            ms=round((self.services.scheduler.now() - self.begun_at) * 1000),
        )

    def _settle(self, *, whole: bool = False) -> int:
        """Charge the prompt once and the answer tokens that may have been made; return them."""
        reservation, self.reservation = self.reservation, None
        if reservation is None or self.metadata.prompt is None:
            return 0
        used = 0
        if self.may_have_run:
            prompt = self.metadata.prompt
            terms = self.configuration.services.get(self.service)
            # A service that a route names and nobody describes is taken to send single tokens.
            tokens_per_event = 1 if terms is None else terms.tokens_per_event
            events = self.events if whole else self.events + BROKEN_EVENTS
            used = prompt.tokens + min(prompt.answer_tokens_max, events * tokens_per_event)
        self.services.budgets.settle(reservation, used)
        return used

    def _log_attempt(self, cause: str) -> None:
        assert self.attempt is not None
        target = self.attempt.target
        log_event(
            "attempt_failed",
            id=self.metadata.request_id,
            target=target.target_id,
            cause=cause,
            load=target.estimate_load(self.services.scheduler.now()),
            heard_age=round(self.services.scheduler.now() - target.load_reported_at, 2),
        )
