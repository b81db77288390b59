"""Handle one request of a path route, from its token reservation to the end of the response."""

from attrs import define, field
from result import Err, Result

from bronzetiller.callers.problems import (
    make_refusal_body,
    make_refusal_headers,
    record_refusal,
)
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.gateway.allowed_regions import choose_regions
from bronzetiller.gateway.attempt import (
    Attempt,
    AttemptEvent,
    CompleteResponse,
    NotRun,
    ResponseLost,
    StreamData,
    StreamEnd,
    StreamStarted,
    make_call,
)
from bronzetiller.gateway.configuration import (
    AllowedRegions,
    GatewayConfiguration,
    PathRoute,
    WorkspaceConfiguration,
    choose_service,
)
from bronzetiller.gateway.crashes import (
    list_shared_segments,
    make_fingerprints,
    make_segment_fingerprints,
)
from bronzetiller.gateway.forwarded_request import ForwardedRequest
from bronzetiller.gateway.held_events import HeldEvents
from bronzetiller.gateway.placement import (
    PREFILL_TOKENS_PER_SECOND,
    PlacementRequest,
    choose_target,
    estimate_prefill,
    make_placement_request,
)
from bronzetiller.gateway.request_context import RequestContext
from bronzetiller.gateway.request_drops import DEADLINE_PASSED, allow_drop
from bronzetiller.gateway.requests import RequestMetadata, Urgency
from bronzetiller.gateway.reservation_client import Reservation
from bronzetiller.gateway.response_flow import Obstacle, ResponseFlow
from bronzetiller.gateway.selection import TargetCriteria, compute_retry_after
from bronzetiller.gateway.stream_versions import find_service
from bronzetiller.gateway.targets import Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import OPEN_REQUESTS, REQUESTS, RESPONSES, RETRIES
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.scheduler import Timer
from bronzetiller.platform.headers import (
    make_not_run_headers,
    make_response_headers,
    make_target_headers,
)
from bronzetiller.requests.crash_evidence import QuarantinedFingerprint, StreamProof
from bronzetiller.requests.execution import Execution, Verdict, correct_refusal, is_promise

CONNECT_FAILURES_MAX = 4  # failed connections to targets before a request is refused
TARGET_REFUSALS_MAX = 2  # refusals by targets that are retried before the caller gets a 503
DEADLINE_MARGIN_SECONDS = 0.03  # for the response to reach the caller, about 3 ms away
WAIT_PORTION_MAX = 0.5  # of the latency target, that a request waits for a slot
PLACEMENT_SECONDS_MIN = 0.05  # with less time left no target can respond
HEAD_SILENCE_FACTOR = 2.5  # times the latency target, before another target is tried
STREAM_SILENCE_FACTOR = 5.0  # times the event gap, before another target is tried
SILENCE_SECONDS_MIN = 0.7
UNDELIVERED_EVENTS_MAX = 2  # charged for a broken stream: generated but not delivered
LACK_RETRY_SECONDS = 1.0  # at the earliest, as no target is permitted until the operator acts
SUSPECT_RETRY_SECONDS_MIN = 5  # while another node tries the request


@define(eq=False)
class RequestHandler:
    """Carry one request through its attempts; times are in monotonic seconds."""

    context: RequestContext
    exchange: Exchange
    configuration: GatewayConfiguration
    route: PathRoute
    metadata: RequestMetadata
    workspace: WorkspaceConfiguration | None
    started_at: float
    deadline: float
    service: str = ""
    reservation: Reservation | None = None
    attempt: Attempt | None = None
    attempts: int = 0
    target_refusals: int = 0
    connect_failures: int = 0
    tried_target_ids: list[str] = field(factory=list)
    execution: Execution = field(factory=Execution)
    last_event_id: int | None = None
    events: int = 0
    head_sent: bool = False
    content_type: str | None = None
    pending_prefill_tokens: int = 0
    sent_at: float = 0.0
    proof: StreamProof = field(factory=StreamProof)
    resumed: bool = False
    version: str | None = None
    caller_disconnected: bool = False
    finished: bool = False
    _regions: AllowedRegions = None
    _flow: ResponseFlow = field(init=False)
    _held_events: HeldEvents = field(init=False)
    _fingerprints: list[str] | None = None
    _deadline_timer: Timer | None = None

    def __attrs_post_init__(self) -> None:
        context = self.context
        self._regions = choose_regions(self.route, self.workspace)
        self._flow = ResponseFlow(context.scheduler, self._on_silence)
        self._held_events = HeldEvents(
            context.scheduler,
            context.streams,
            self._on_event,
            self._on_hold_expired,
            lambda flowing: self._flow.change(Obstacle.HELD_EVENTS, flowing=flowing),
            context.response_quota,
        )

    def start(self) -> None:
        """Reserve the request's tokens, then send it to a target."""
        REQUESTS.labels("path").inc()
        OPEN_REQUESTS.inc()
        self.context.open_requests += 1
        self.context.arrival_rate.record(1.0, self.started_at)
        self.exchange.on_disconnect = self._on_disconnect
        self.exchange.on_expire = self._on_deadline
        self.exchange.on_flow_change = self._flow.handle_caller
        allow_drop(self.exchange, self.execution, self._give_up)
        self._deadline_timer = self.context.scheduler.call_at(self.deadline, self._on_deadline)
        self.last_event_id = self.metadata.last_event_id
        if self.metadata.forwarded_attempts is not None:
            self.attempts = self.metadata.forwarded_attempts
            self.context.forwarded_rate.record(1.0, self.started_at)
        if self._forward_if_cut_off():
            return
        if self._is_take_up:
            self.context.streams.find(self.metadata.resumes, self._services, self._on_version)
            return
        self._reserve()

    @property
    def _is_resumable(self) -> bool:
        return self.route.streamed and self.route.retryable

    @property
    def _is_take_up(self) -> bool:
        """Return whether the request goes on with a stream of which the caller has events."""
        has_events = self.last_event_id is not None or self.metadata.resumes is not None
        return self._is_resumable and has_events

    @property
    def _services(self) -> set[str]:
        return {backend.service for backend in self.route.backends}

    def _on_version(self, result: Result[str | None, str]) -> None:
        """Go on with a stream at the version that began it, or refuse."""
        if self.finished:
            return
        if isinstance(result, Err):
            detail = f"the version that began the stream cannot be read: {result.err_value}"
            self._refuse_with_retry_after(Reason.STREAM_UNKNOWN, detail)
            return
        version = result.ok_value
        if version is None or find_service(version) not in self._services:
            detail = f"the version that began the stream is {version or 'unknown'}"
            self._refuse(Refusal(503, Reason.STREAM_UNKNOWN, detail))
            return
        self.version, self.service = version, find_service(version)
        window = self.context.find_retry_window(self.service)
        window.record_request(self.context.scheduler.now())
        if not self.context.selection.list_untried(self._criteria):
            self._refuse_without_target()
            return
        self._reserve()

    def _reserve(self) -> None:
        if self._refuse_if_quarantined():
            return
        if self.workspace is None or self.metadata.prompt is None:
            self._place()
            return
        self.context.budgets.reserve(
            self.metadata.request_id,
            self.workspace.name,
            self.metadata.prompt.tokens_max,
            self.deadline,
            self._on_reservation,
        )

    def _on_reservation(self, result: Result[Reservation | None, Refusal]) -> None:
        if isinstance(result, Err):
            self._refuse(result.err_value)
            return
        self.reservation = result.ok_value
        if self.finished:
            self._settle()
        else:
            self._place()

    def _place(self) -> None:
        """Choose a target and send the request to it."""
        self._held_events.discard()
        context = self.context
        now = context.scheduler.now()
        if self.caller_disconnected:
            self._finish("caller_gone")
            return
        if self.deadline - now < PLACEMENT_SECONDS_MIN:
            self._on_deadline()
            return
        if self._forward_if_cut_off():
            return
        if not self.service:
            available = context.permitted.list_services(self._regions)
            name = choose_service(self.route, context.draw_uniform(), available)
            self.service = name or ""
            context.find_retry_window(self.service).record_request(now)
        quarantined = self._find_quarantined()
        targets = context.crash_tracker.select_targets(
            context.selection.list_usable(self._criteria, now), quarantined, self._make_fingerprints
        )
        if quarantined is not None and not targets:
            self._refuse_quarantined(quarantined)
            return
        targets = context.selection.prefer_untried_addresses(targets, self._criteria, now)
        request = make_placement_request(self.metadata.prompt)
        target = choose_target(targets, request, context.distances, now, context.draw_uniform)
        if target is None:
            if not self._await_slot():
                self._refuse_without_target()
            return
        if quarantined is not None:
            context.crash_tracker.record_trial(quarantined, target.version)
        self._send(target, request)

    def _forward_if_cut_off(self) -> bool:
        """Have a peer serve the request, or refuse it, if this node reaches none of its targets."""
        context, now = self.context, self.context.scheduler.now()
        services = {self.service} if self.service else self._services
        if lack := context.permitted.explain_lack(services, self._regions):
            self._refuse_with_retry_after(Reason.NO_TARGET, lack, LACK_RETRY_SECONDS)
            return True
        if not context.reachability.is_cut_off(services, self._regions):
            return False
        may_repeat = self.route.retryable and self.metadata.prompt is None
        peers = context.forwarder.list_peers(services, now, self._regions)
        if self.metadata.forwarded_attempts is not None or not peers:
            return self._refuse_if_cut_off(services)
        if self.head_sent or (self.execution.may_have_run and not may_repeat):
            self._fail("this node reaches no target")
            return True
        self._end_hold()
        reservation, self.reservation = self.reservation, None
        if reservation is not None:
            context.budgets.settle(reservation, 0)  # the peer reserves and bills
        forwarded = ForwardedRequest(
            context.scheduler,
            context.http,
            context.forwarder,
            self.exchange,
            self.metadata,
            services,
            self.deadline,
            self.route.streamed,
            may_repeat,
            self.attempts,
            self.configuration.version,
            self._on_forwarded_attempt,
            self._on_forwarded_end,
            self.execution,
            context.response_quota,
            self._regions,
        )
        if not forwarded.start():
            detail = "this node reaches no target, and its peers can serve no more requests"
            self._refuse_with_retry_after(Reason.OVERLOADED, detail)
        return True

    def _refuse_if_cut_off(self, services: set[str]) -> bool:
        """Refuse the request if there is no open connection either."""
        context = self.context
        targets = context.permitted.list_all(services, self._regions)
        if any(context.http.has_idle(item.registration.address) for item in targets):
            return False
        self._refuse_with_retry_after(
            Reason.NO_TARGET, "neither this node nor a peer reaches a target"
        )
        return True

    def _on_forwarded_attempt(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self._flow.begin(attempt)
        self.tried_target_ids.append(attempt.target.target_id)

    def _on_forwarded_end(self, events: int, refusal: Refusal | None) -> None:
        self.events = events
        if refusal is None:
            self._finish("forwarded")
        else:
            self._refuse(refusal)

    def _await_slot(self) -> bool:
        """Wait for a slot of a brittle target, as long as a response would still be prompt."""
        wait_seconds = WAIT_PORTION_MAX * self.route.latency_target_seconds
        until = min(self.started_at + wait_seconds, self.deadline)

        def resume() -> bool:
            earlier = self.attempt
            if not self.finished:
                self._place()
            return not self.finished and (self._regions is None or self.attempt is not earlier)

        return self.context.admission.wait(self.service, until, resume, self._priority)

    def _find_quarantined(self) -> QuarantinedFingerprint | None:
        return self.context.crash_tracker.find_quarantined(self._make_fingerprints)

    def _refuse_if_quarantined(self) -> bool:
        """Refuse the request if it crashes the targets of all versions in service."""
        quarantined = self._find_quarantined()
        if quarantined is None:
            return False
        tracker, permitted = self.context.crash_tracker, self.context.permitted
        versions = {item.version for item in permitted.list_all(self._services, self._regions)}
        if self.version is not None:
            versions &= {self.version}
        if any(tracker.may_run(quarantined, version) for version in versions):
            return False
        self._refuse_quarantined(quarantined)
        return True

    def _refuse_quarantined(self, quarantined: QuarantinedFingerprint) -> None:
        detail = f"targets crashed under requests with {quarantined.fingerprint}"
        left = round(quarantined.until - self.context.scheduler.now())
        seconds = max(SUSPECT_RETRY_SECONDS_MIN, left)
        self._refuse(Refusal(503, Reason.QUARANTINED, detail, retry_after_seconds=seconds))

    @property
    def _criteria(self) -> TargetCriteria:
        urgency = Urgency(self._priority, self.route.latency_target_seconds)
        service, tried, regions = self.service, self.tried_target_ids, self._regions
        return TargetCriteria(service, tried, self.version, self._is_resumable, regions, urgency)

    def _refuse_without_target(self) -> None:
        now = self.context.scheduler.now()
        self._refuse_with_retry_after(*self.context.selection.explain_lack(self._criteria, now))

    def _refuse_with_retry_after(
        self, reason: Reason, detail: str, earliest_seconds: float | None = None
    ) -> None:
        """Refuse with a Retry-After that spreads the callers, none before the earliest time."""
        seconds = compute_retry_after(earliest_seconds, self.context.draw_uniform())
        self._refuse(Refusal(503, reason, detail, retry_after_seconds=seconds))

    def _send(self, target: Target, request: PlacementRequest) -> None:
        context = self.context
        now = context.scheduler.now()
        if self.attempt is None or self.attempt.target.version != target.version:
            self.proof = StreamProof()
        self.proof.restart()
        self.resumed = self.last_event_id is not None
        self.tried_target_ids.append(target.target_id)
        prompt = self.metadata.prompt
        self.pending_prefill_tokens = estimate_prefill(target, request, is_preferred=False).tokens
        self.sent_at = now
        if prompt is not None:
            target.record_segments((segment.segment_id for segment in prompt.segments), now)
        target.pending_prefill_tokens += self.pending_prefill_tokens
        self.attempt = attempt = Attempt(
            target,
            self.metadata.request_id,
            self.route.streamed,
            context.scheduler.now,
            self._on_event,
            lambda bounds, ran: context.admission.record_bounds(
                target, bounds, context.scheduler.now(), ran=ran, sent_at=now
            ),
            self.content_type,
            quota=context.response_quota,
        )
        self.execution.begin(attempt)
        self._flow.begin(attempt)
        self._record_version(target.version)
        context.admission.take(target, now)
        seconds_left = self.deadline - now
        headers = make_target_headers(
            self.metadata,
            seconds_left=seconds_left,
            target_id=target.target_id,
            workspace=None if self.workspace is None else self.workspace.name,
            priority=self._priority,
            last_event_id=self.last_event_id,
        )
        call = make_call(self.exchange, target, headers, seconds_left, self.metadata.request_id)
        attempt.start(context.http, call)
        self._watch_silence(HEAD_SILENCE_FACTOR * self.route.latency_target_seconds)

    def _record_version(self, version: str) -> None:
        """Record at which version the stream begins, before its first event arrives."""
        if self._is_resumable:
            stream_id = self.metadata.resumes or self.metadata.request_id
            self._held_events.begin(stream_id, version, always=len(self._services) > 1)

    def _end_hold(self) -> None:
        """Discard held events, and withdraw a stream that none of its attempts here has begun."""
        held = self._held_events
        (held.withdraw if self.version is None else held.discard)()

    def _on_hold_expired(self) -> None:
        """Try another target if the version of a stream could not be recorded in time."""
        assert self.attempt is not None
        self.attempt.cancel()
        self._clear_pending_prefill()
        self.attempts += 1
        self._retry_or_fail("the version of the stream could not be recorded")

    @property
    def _priority(self) -> int:
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    def _watch_silence(self, seconds: float) -> None:
        """Time out the current target after a silence if another attempt would be allowed."""
        allowed = self._allows_another_attempt
        self._flow.limit_silence(max(SILENCE_SECONDS_MIN, seconds) if allowed else None)

    @property
    def _allows_another_attempt(self) -> bool:
        return self.route.retryable and self.attempts + 1 < self.route.attempts_max

    def _on_silence(self) -> None:
        attempt = self.attempt
        if self.finished or attempt is None or attempt.finished or not attempt.sent:
            return
        if not self.context.selection.list_usable(self._criteria, self.context.scheduler.now()):
            return  # the silent target may still respond before the deadline
        if not self._acquire_retry("silent"):
            return
        attempt.cancel()
        self._clear_pending_prefill()
        self.attempts += 1
        attempt.target.record_failure("silent", self.context.scheduler.now())
        self._log_failed_attempt("silent")
        self._place()

    def _on_event(self, event: AttemptEvent) -> None:
        if isinstance(event, StreamData):
            self._watch_silence(STREAM_SILENCE_FACTOR * self.route.event_gap_seconds)
        if self._held_events.hold(event):
            return
        if not isinstance(event, StreamStarted | StreamData):
            self._clear_pending_prefill()
        if isinstance(event, StreamData):
            self._handle_stream_data(event)
        elif isinstance(event, StreamStarted):
            self._handle_stream_start(event)
        elif isinstance(event, StreamEnd | CompleteResponse):
            if event.by_close:
                self._check_close(event)
            else:
                self._handle_end(event)
        elif isinstance(event, NotRun):
            self._handle_not_run(event)
        elif isinstance(event, ResponseLost):
            self._handle_lost_response(event)

    def _handle_stream_start(self, event: StreamStarted) -> None:
        if not self.head_sent:
            self.head_sent = True
            self.content_type = event.head.headers.get("content-type", "")
            self.exchange.start(event.head.status, make_response_headers(event.head))

    def _clear_pending_prefill(self) -> None:
        """Remove the request's prompt from the target's pending prefill."""
        if self.attempt is not None:
            self.attempt.target.pending_prefill_tokens -= self.pending_prefill_tokens
            self.pending_prefill_tokens = 0

    def _record_queue_delay(self) -> None:
        target = self.attempt.target  # type: ignore[union-attr]
        now = self.context.scheduler.now()
        expected_seconds = self.pending_prefill_tokens / PREFILL_TOKENS_PER_SECOND
        expected_seconds += 2 * self.context.distances.estimate(target.registration.data_centre)
        target.record_queue_delay(now - self.sent_at - expected_seconds, now)
        self._clear_pending_prefill()

    def _handle_stream_data(self, event: StreamData) -> None:
        if self.pending_prefill_tokens:
            self._record_queue_delay()
        assert self.attempt is not None
        if self.attempt.proves_survival and self.proof.advance(self.context.scheduler.now()):
            self._record_proof()
        self.version = self.attempt.target.version
        self.events += event.events
        prompt = self.metadata.prompt
        if prompt and self.configuration.is_too_long(self.service, prompt, self.events):
            self.events -= event.events
            self.attempt.cancel()
            self._fail("the stream has more events than the request allows")
            return
        if event.last_event_id is not None:
            self.last_event_id = event.last_event_id
        self.exchange.send(event.data)

    def _check_close(self, event: StreamEnd | CompleteResponse) -> None:
        """Check that the target outlived the response that its close ended; a crash looks alike."""
        attempt = self.attempt
        assert attempt is not None

        def handle_check(alive: bool) -> None:
            log_event(
                "response_closed",
                id=self.metadata.request_id,
                target=attempt.target.target_id,
                alive=alive,
                events=self.events,
                ms=round((self.context.scheduler.now() - self.sent_at) * 1000),
            )
            if alive and not self.finished:
                self._handle_end(event)
            elif not self.finished:
                self._handle_lost_response(ResponseLost("the target was lost at its close"))

        self.context.crash_tracker.report_loss(
            attempt.target, self._list_unproven_fingerprints(), handle_check
        )

    def _handle_end(self, event: StreamEnd | CompleteResponse) -> None:
        assert self.attempt is not None
        if self.attempt.proves_survival and self.proof.complete():
            self._record_proof()
        if isinstance(event, CompleteResponse):
            self._handle_response(event)
        else:
            self._succeed()
            self.exchange.finish()

    def _handle_response(self, event: CompleteResponse) -> None:
        self.attempts += 1
        if self.head_sent:
            # The caller already has the head of the stream; no other response can follow it.
            self._retry_or_fail(f"status {event.head.status}")
            return
        failed = event.verdict is not Verdict.ANSWERED
        if failed and self._acquire_retry_if_allowed("target_failed"):
            self._log_failed_attempt(f"status {event.head.status}")
            self._place()
            return
        if event.verdict is Verdict.UNPROVED:
            self._log_failed_attempt(f"status {event.head.status} without a proof")
            self._fail(f"the target answered {event.head.status}, and may have run the request")
            return
        self._succeed()
        self.exchange.respond(event.head.status, make_response_headers(event.head), event.body)

    def _handle_not_run(self, event: NotRun) -> None:
        attempt = self.attempt
        assert attempt is not None
        now = self.context.scheduler.now()
        self._log_failed_attempt(event.cause)
        if not event.reached:
            self.context.reachability.record_connect_failure(attempt.target, event.cause)
            self.connect_failures += 1
            if self.connect_failures < CONNECT_FAILURES_MAX:
                self._place()
                return
        else:
            self.context.pool.record_refusal(attempt.target, event.cause, now)
            self.context.admission.record_refusal(attempt.target, event.cause, now)
            self.target_refusals += 1
            if self.target_refusals <= TARGET_REFUSALS_MAX and self._acquire_retry(
                "target_refused"
            ):
                self._place()
                return
        self._refuse_with_retry_after(Reason.OVERLOADED, event.cause)

    def _handle_lost_response(self, event: ResponseLost) -> None:
        attempt = self.attempt
        assert attempt is not None
        self.attempts += 1
        attempt.target.record_failure(event.cause, self.context.scheduler.now())
        fingerprints = self._list_unproven_fingerprints()
        if event.disconnected:
            attempt.target.lost_at = self.context.scheduler.now()
        self.context.reachability.suspect(attempt.target)
        if event.disconnected and fingerprints:
            self.context.crash_tracker.report_loss(attempt.target, fingerprints)
        self._retry_or_fail(event.cause)

    def _record_proof(self) -> None:
        """Record that the target survived the request.

        A response resumed at an event did not run the whole request again, but read its prompt.
        """
        attempt, tracker = self.attempt, self.context.crash_tracker
        assert attempt is not None
        is_whole = bool(tracker.evidence) and not self.resumed
        prompt = self.metadata.prompt
        fingerprints = self._make_fingerprints() if is_whole else make_segment_fingerprints(prompt)
        tracker.record_proof(fingerprints, attempt.target.version)

    def _list_unproven_fingerprints(self) -> list[str]:
        return [] if self.proof.proven else self._make_fingerprints()

    def _make_fingerprints(self) -> list[str]:
        if self._fingerprints is None:
            workspace = "" if self.workspace is None else self.workspace.name
            self._fingerprints = make_fingerprints(workspace, self.exchange, self.metadata.prompt)
        return self._fingerprints

    def _retry_or_fail(self, cause: str) -> None:
        self._log_failed_attempt(cause)
        if self._acquire_retry_if_allowed("target_lost"):
            self._place()
        else:
            self._fail(cause)

    def _acquire_retry_if_allowed(self, reason: str) -> bool:
        allowed = self.route.retryable and self.attempts < self.route.attempts_max
        return allowed and not self.caller_disconnected and self._acquire_retry(reason)

    def _acquire_retry(self, reason: str) -> bool:
        context = self.context
        window = context.find_retry_window(self.service)
        if not window.try_spend(context.scheduler.now(), context.count_nodes()):
            log_event(
                "retry_refused", id=self.metadata.request_id, cause=reason, service=self.service
            )
            return False
        RETRIES.labels(reason).inc()
        return True

    def _on_deadline(self) -> None:
        self._give_up(Reason.DEADLINE, DEADLINE_PASSED)

    def _give_up(self, reason: Reason, detail: str) -> None:
        if self.finished:
            return
        if self.attempt is not None and not self.attempt.finished:
            self.attempt.cancel()
        if self.execution.may_have_run:
            self._fail("deadline")
            return
        self._refuse_with_retry_after(reason, detail)

    def _on_disconnect(self) -> None:
        """Cancel the attempt, unless it was sent and its route executes requests at most once."""
        self.caller_disconnected = True
        attempt = self.attempt
        at_most_once = not self.route.retryable and not self.route.streamed
        if attempt is not None and not attempt.finished and attempt.sent and at_most_once:
            return
        if attempt is not None and not attempt.finished:
            attempt.cancel()
        self._finish("caller_gone")

    def _succeed(self) -> None:
        assert self.attempt is not None
        self.attempt.target.record_success()
        RESPONSES.labels("path").inc()
        self._finish("answered")

    def _fail(self, cause: str) -> None:
        """Refuse a request whose execution state is unknown."""
        timed_out = cause == "deadline"
        status, reason = (504, Reason.DEADLINE) if timed_out else (502, Reason.TARGET_FAILED)
        self._refuse(Refusal(status, reason, cause, Ran.UNKNOWN))

    def _refuse(self, refusal: Refusal) -> None:
        if self.finished:
            return
        refusal = correct_refusal(refusal, may_have_run=self.execution.may_have_run)
        record_refusal(refusal, id=self.metadata.request_id, route=self.route.name)
        self._finish(refusal.reason.value)
        if self.caller_disconnected:
            return
        if self.exchange.started:
            self.exchange.abort()
            return
        headers, body = make_refusal_headers(refusal), make_refusal_body(refusal)
        if is_promise(refusal):
            headers |= make_not_run_headers(self.metadata)
        self.exchange.respond(refusal.status, headers, body)

    def _finish(self, outcome: str) -> None:
        if self.finished:
            return
        self.finished = True
        self.exchange.body = b""
        self._end_hold()
        self._clear_pending_prefill()
        OPEN_REQUESTS.dec()
        self.context.open_requests -= 1
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._flow.end()
        holder = "" if self.reservation is None else self.reservation.holder
        used = self._settle(complete=outcome == "answered")
        log_event(
            "request",
            id=self.metadata.request_id,
            route=self.route.name,
            version=self.configuration.version,
            workspace="" if self.workspace is None else self.workspace.name,
            targets=",".join(self.tried_target_ids),
            resumes=self.metadata.resumes or "",
            stream_version=self.version or "",
            attempts=self.attempts,
            events=self.events,
            tokens=used,
            tokens_from=holder,
            outcome=outcome,
            ms=round((self.context.scheduler.now() - self.started_at) * 1000),
        )

    def _settle(self, *, complete: bool = False) -> int:
        """Charge and return the tokens of the prompt and of what may have been generated."""
        reservation, self.reservation = self.reservation, None
        if reservation is None or self.metadata.prompt is None:
            return 0
        used, charged = 0, complete or self.events > 0 or self.context.charge_undelivered
        if charged and self.execution.may_have_run:
            events = self.events if complete else self.events + UNDELIVERED_EVENTS_MAX
            used = self.configuration.count_tokens(self.service, self.metadata.prompt, events)
        self.context.budgets.settle(reservation, used)
        return used

    def _log_failed_attempt(self, cause: str) -> None:
        assert self.attempt is not None
        log_event(
            "attempt_failed",
            cause=cause,
            **self.attempt.describe(),
            events=self.events,
            ms=round((self.context.scheduler.now() - self.sent_at) * 1000),
            shared=",".join(list_shared_segments(self.metadata.prompt)),
        )
