"""Test how the gateway handles single requests, with fake targets and no network."""

import pytest
from attrs import define, evolve, field
from result import Ok

from bronzetiller.gateway.allocation_manager import AllocationManager
from bronzetiller.gateway.brittle_targets import BrittleTargets
from bronzetiller.gateway.configuration import (
    GatewayConfiguration,
    PathRoute,
    ServiceConfiguration,
    WeightedBackend,
    WorkspaceConfiguration,
)
from bronzetiller.gateway.crashes import CrashTracker
from bronzetiller.gateway.departures import Departures
from bronzetiller.gateway.forwarding import PeerForwarder
from bronzetiller.gateway.held_events import HELD_BYTES_MAX
from bronzetiller.gateway.members import Member
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.reachability import Reachability
from bronzetiller.gateway.registered_starts import REGISTRATION_SECONDS
from bronzetiller.gateway.request_context import RequestContext
from bronzetiller.gateway.request_handler import RequestHandler
from bronzetiller.gateway.requests import LoadReport, Prompt, PromptSegment, RequestMetadata
from bronzetiller.gateway.reservation_client import Reservation
from bronzetiller.gateway.retry_window import RetryWindow
from bronzetiller.gateway.stream_records import REVIEW_SECONDS, StreamRecords
from bronzetiller.gateway.target_admission import TargetAdmission
from bronzetiller.gateway.target_limits import TargetLimits
from bronzetiller.gateway.targets import SURVIVAL_SECONDS, Registration, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import (
    BodyPart,
    CallFailed,
    ProbeResult,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.net.scheduler import Timeout
from bronzetiller.requests.crash_evidence import CRASHES_MAX, Crash
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient

WORKSPACE = WorkspaceConfiguration("studio", None, 1_000)


OWN_HEADERS = {"x-request-id": "r1", "x-response-seal": "seal"}


@define(eq=False)
class FakeCall:
    call: object
    on_event: object
    sent: bool = True
    earlier_requests: int = 0
    cancelled: bool = False
    paused: bool = False

    def cancel(self):
        self.cancelled = True

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False

    def send_response(self, status=200, body=b"fine", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.on_event(ResponseHead(status, OWN_HEADERS | named))
        self.on_event(BodyPart(body))
        self.on_event(ResponseEnd())

    def start_stream(self, *events):
        self.on_event(ResponseHead(200, OWN_HEADERS))
        for event in events:
            self.on_event(BodyPart(event))

    def fail(self, cause="reset by the other end", sent=True):
        self.sent = sent
        self.on_event(CallFailed(cause, sent, disconnected=sent))


@define(eq=False)
class FakeHttp:
    calls: list = field(factory=list)
    refuses: bool = False

    def probe(self, address, seconds, done):
        done(ProbeResult.REFUSED if self.refuses else ProbeResult.ACCEPTED)

    def has_idle(self, address):
        return False

    def send(self, call, on_event):
        self.calls.append(FakeCall(call, on_event))
        return self.calls[-1]


@define(eq=False)
class FakeExchange:
    method: str = "POST"
    path: str = "/x/2f"
    query: str = ""
    headers: dict = field(factory=lambda: {"host": "h"})
    body: bytes = b"body"
    started: bool = False
    done: bool = False
    status: int = 0
    sent: bytes = b""
    end: str = ""
    may_drop: object = None
    on_drop: object = None
    unread_bytes_max: int = 1_000_000
    on_disconnect: object = None
    on_expire: object = None
    on_flow_change: object = None

    def respond(self, status, headers, body):
        self.status, self.headers, self.sent, self.end = status, headers, body, "finished"

    def start(self, status, headers):
        self.status, self.started = status, True

    def send(self, data):
        self.sent += data
        if len(self.sent) > self.unread_bytes_max:
            self.on_flow_change(False)

    def finish(self):
        self.end = "finished"

    def abort(self):
        self.end = "aborted"


@define(eq=False)
class FakeBudgets:
    settled: list = field(factory=list)

    def reserve(self, request_id, workspace, tokens, deadline, done):
        done(Ok(Reservation(request_id, workspace, tokens, "node-1")))

    def settle(self, reservation, used):
        self.settled.append((reservation.tokens, used))


@define(eq=False)
class ManagedBudgets:
    """Reserve tokens of this node's allocations, without peers."""

    manager: AllocationManager

    def reserve(self, request_id, workspace, tokens, deadline, done):
        reservation = Reservation(request_id, workspace, tokens, "node-1")
        self.manager.reserve_when_available(
            workspace,
            tokens,
            deadline,
            lambda result: done(Ok(reservation) if isinstance(result, Ok) else result),
        )

    def settle(self, reservation, used):
        self.manager.settle(reservation.workspace, reservation.tokens, used)


def make_managed_budgets(scheduler, prepaid):
    """Return budgets of a node that holds a workspace's tokens in full."""
    store = FakeStoreClient(scheduler, MemoryStore())
    manager = AllocationManager(scheduler, store, "node-1", "node-1/1", lambda workspace: 1.0)
    manager.set_workspaces({"studio": WorkspaceConfiguration("studio", None, prepaid)})
    manager.start()
    scheduler.advance(1.0)
    return ManagedBudgets(manager)


class SchedulerWithTimeouts(FakeScheduler):
    def create_timeout(self, action):
        return Timeout(self, action)


def add_crashes(tracker, *fingerprints, count=CRASHES_MAX):
    for number in range(count if fingerprints else 0):
        crash = Crash(f"crashed-{number}", tracker._read_clock(), frozenset(fingerprints))
        tracker.evidence.add(crash)


def make_streams(scheduler, pool):
    """Return the records of streams of a node whose base versions are those of the pool."""
    store = FakeStoreClient(scheduler, MemoryStore())
    streams = StreamRecords(scheduler, store, "node-1/1", pool, lambda: 1, lambda: True)
    streams.start()
    scheduler.advance(REVIEW_SECONDS + 0.2)
    return streams


@pytest.fixture
def start_request():
    """Return a function that starts a request handler with three targets."""

    def start(
        *,
        retryable=True,
        streamed=False,
        attempts_max=2,
        allowance=100,
        prompt=None,
        targets=3,
        refuses=False,
        crashed=(),
        like=None,
        versions=("v1",),
        peers=(),
        make_budgets=lambda scheduler: FakeBudgets(),
        resumes=None,
    ):
        route = PathRoute(
            name="x",
            host="h",
            path_prefix="/x/",
            backends=(WeightedBackend("s", 1),),
            streamed=streamed,
            retryable=retryable,
            timeout_seconds=4.0,
            latency_target_seconds=0.4,
            event_gap_seconds=0.25,
            attempts_max=attempts_max,
            priority=1,
            public=False,
        )
        scheduler = SchedulerWithTimeouts()
        pool = TargetPool()
        for number in range(targets):
            address = Address("10.0.0.1", 8000 + number)
            software = versions[number % len(versions)]
            pool.register(
                Registration(f"e{number}", "s", address, "a", 8, False, software=software)
            )
        window = RetryWindow(0.0, allowance, 10)
        distances = Distances("a", "west", {"a": "west"})
        context = RequestContext(
            scheduler=scheduler,
            http=FakeHttp(),
            pool=pool,
            budgets=make_budgets(scheduler),
            distances=distances,
            find_retry_window=lambda service: window,
            count_nodes=lambda: 1,
            draw_uniform=lambda: 0.5,
            crash_tracker=CrashTracker(
                scheduler, FakeHttp(refuses=refuses), read_clock=scheduler.now
            ),
            admission=TargetAdmission(
                TargetLimits("node-1", {"a": "west"}),
                BrittleTargets(scheduler, "node-1", {"a": "west"}),
                Departures("node-1", {"a": "west"}, pool),
            ),
            streams=make_streams(scheduler, pool),
            reachability=Reachability(scheduler, FakeHttp(), pool),
            forwarder=PeerForwarder("node-1", distances, lambda: list(peers), lambda: 0.5),
        )
        add_crashes(context.crash_tracker, *crashed)
        if like is not None:
            context, scheduler = like.context, like.context.scheduler
        service_configuration = ServiceConfiguration("s", tokens_per_event=6)
        handler = RequestHandler(
            context=context,
            exchange=FakeExchange(),
            configuration=GatewayConfiguration(
                1, {}, {"s": service_configuration}, {"studio": WORKSPACE}, {}
            ),
            route=route,
            metadata=RequestMetadata("r1", "k", 4.0, prompt, None, {}, resumes),
            workspace=WORKSPACE,
            started_at=scheduler.now(),
            deadline=scheduler.now() + 4.0,
        )
        handler.start()
        return handler, context.http.calls, scheduler

    return start


def make_event(number):
    return f"id: {number}\ndata: x\n\n".encode()


def test_a_failed_request_is_tried_on_no_more_targets_than_its_route_allows(start_request):
    handler, calls, scheduler = start_request()
    scheduler.advance(0.3)
    calls[0].send_response(500)
    assert len(calls) == 2
    scheduler.advance(2.0)  # longer than the silence timeout of the first target
    assert len(calls) == 2 and not calls[1].cancelled
    calls[1].send_response(200)
    assert handler.exchange.status == 200


def test_a_retryable_request_leaves_a_silent_target_once(start_request):
    handler, calls, scheduler = start_request()
    scheduler.advance(1.1)
    assert calls[0].cancelled and len(calls) == 2
    scheduler.advance(2.0)
    assert len(calls) == 2 and not calls[1].cancelled


def test_a_retryable_request_waits_for_the_only_target(start_request):
    handler, calls, scheduler = start_request(targets=1)
    scheduler.advance(2.0)
    assert len(calls) == 1 and not calls[0].cancelled
    calls[0].send_response(200)
    assert handler.exchange.status == 200


@pytest.mark.parametrize("streamed", [False, True])
def test_an_at_most_once_request_does_not_leave_a_silent_target(start_request, streamed):
    handler, calls, scheduler = start_request(retryable=False, streamed=streamed)
    scheduler.advance(3.9)
    assert len(calls) == 1 and not calls[0].cancelled
    scheduler.advance(0.2)
    assert handler.exchange.status == 504 and calls[0].cancelled


def test_an_unreachable_target_does_not_count_as_an_attempt(start_request):
    handler, calls, _ = start_request(retryable=False, attempts_max=1)
    calls[0].fail("connect: timeout", sent=False)
    calls[1].fail("connect: refused", sent=False)
    calls[2].send_response(200)
    assert handler.exchange.status == 200


def test_a_request_that_reached_no_target_is_reported_as_not_run(start_request):
    handler, calls, _ = start_request(retryable=False)
    for number in range(3):
        calls[number].fail("connect: refused", sent=False)
    assert handler.exchange.status == 503 and b'"ran": "no"' in handler.exchange.sent


def test_a_request_dropped_before_it_was_sent_is_refused_as_not_run(start_request):
    handler, calls, _ = start_request()
    calls[0].fail("connect: refused", sent=False)
    calls[1].sent = False  # its connection is not open yet
    assert handler.exchange.may_drop()
    handler.exchange.on_drop()
    assert calls[1].cancelled
    assert handler.exchange.status == 503 and b'"ran": "no"' in handler.exchange.sent
    assert handler.finished and not handler.exchange.body


def test_a_request_that_may_have_run_is_not_dropped(start_request):
    """A refusal would claim that it has not run."""
    handler, calls, _ = start_request()
    assert not handler.exchange.may_drop()
    calls[0].send_response(503, x_not_executed="1")
    calls[1].sent = False
    assert handler.exchange.may_drop()
    calls[1].sent = True
    assert not handler.exchange.may_drop()


def test_an_at_most_once_request_with_a_lost_response_is_not_retried(start_request):
    handler, calls, _ = start_request(retryable=False)
    calls[0].fail()
    assert len(calls) == 1 and handler.exchange.status == 502


def test_a_refusal_after_a_lost_response_is_not_reported_as_not_run(start_request):
    handler, calls, _ = start_request()
    calls[0].fail()
    calls[1].send_response(503, x_not_executed="1")
    calls[2].send_response(503, x_not_executed="1")
    assert handler.exchange.status == 502


def test_no_request_is_retried_beyond_the_limit_of_the_fleet(start_request):
    handler, calls, _ = start_request(allowance=0)
    calls[0].send_response(500)
    assert len(calls) == 1 and handler.exchange.status == 500


def test_a_service_without_configuration_is_charged_one_token_per_event(start_request):
    handler, calls, _ = start_request(streamed=True, prompt=Prompt(100, 60))
    handler.configuration.services.clear()
    calls[0].start_stream(make_event(1))
    calls[0].on_event(ResponseEnd())
    assert handler.exchange.end == "finished" and handler.context.budgets.settled == [(160, 101)]


@pytest.mark.parametrize(
    ("charge_undelivered", "events", "used"), [(True, 0, 112), (False, 0, 0), (False, 1, 118)]
)
def test_a_caller_that_left_is_charged_what_it_may_have_got(
    start_request, charge_undelivered, events, used
):
    handler, calls, _ = start_request(streamed=True, prompt=Prompt(100, 60))
    handler.context.charge_undelivered = charge_undelivered
    calls[0].start_stream(*(make_event(number + 1) for number in range(events)))
    handler.exchange.on_disconnect()
    # 100 prompt tokens, the events delivered and two more of 6 tokens
    assert handler.context.budgets.settled == [(160, used)]


def test_a_whole_response_without_events_is_charged(start_request):
    handler, calls, _ = start_request(prompt=Prompt(100, 60))
    handler.context.charge_undelivered = False
    calls[0].send_response(200)
    assert handler.context.budgets.settled == [(160, 100)]


def test_a_stream_resumes_after_its_last_complete_event(start_request):
    handler, calls, _ = start_request(streamed=True, prompt=Prompt(100, 60))
    calls[0].start_stream(make_event(1) + make_event(2), b"id: 3\nda")
    calls[0].fail()
    assert calls[1].call.headers["last-event-id"] == "2"
    calls[1].start_stream(make_event(3))
    calls[1].on_event(ResponseEnd())
    assert handler.exchange.sent == make_event(1) + make_event(2) + make_event(3)
    assert handler.exchange.end == "finished"
    # 100 prompt tokens and three events of 6 tokens
    assert handler.context.budgets.settled == [(160, 118)]


def test_a_resumed_stream_is_aborted_if_the_target_sends_another_response(start_request):
    handler, calls, _ = start_request(streamed=True, prompt=Prompt(100, 60))
    calls[0].start_stream(make_event(1))
    calls[0].fail()
    calls[1].send_response(404)
    assert handler.exchange.end == "aborted" and handler.exchange.sent == make_event(1)


def test_a_lost_target_is_probed_after_its_loss_is_recorded(start_request):
    handler, calls, _ = start_request(targets=1, retryable=False)
    (target,) = handler.context.pool.targets.values()
    losses = []

    class Probes(FakeHttp):
        def send(self, call, on_event):
            losses.append(target.lost_at)
            return super().send(call, on_event)

    handler.context.reachability._http = Probes()
    calls[0].fail()
    # The response to a probe that was sent earlier would not count as one of the new process.
    assert losses == [target.lost_at] and target.lost_at > float("-inf")


def test_a_request_that_was_not_run_is_not_charged(start_request):
    handler, calls, _ = start_request(streamed=True, retryable=False, prompt=Prompt(100, 60))
    calls[0].send_response(503, x_not_executed="1")
    calls[1].send_response(503, x_not_executed="1")
    calls[2].send_response(503, x_not_executed="1")
    assert handler.exchange.status == 503 and handler.context.budgets.settled == [(160, 0)]


def make_prompt(*segment_ids):
    segments = tuple(PromptSegment(segment_id, 10) for segment_id in segment_ids)
    return Prompt(10 * len(segments), 60, segments)


@pytest.mark.parametrize("by_close", [False, True])
def test_a_target_that_closes_a_stream_before_its_events_is_probed(start_request, by_close):
    prompt = make_prompt("first", "bad", "own")
    handler, calls, _ = start_request(streamed=True, retryable=False, prompt=prompt, refuses=True)
    calls[0].start_stream()
    if by_close:
        calls[0].on_event(ResponseEnd(by_close=True))
    else:
        calls[0].fail("closed by the other end: incomplete chunked read")
    evidence = handler.context.crash_tracker.evidence
    assert evidence.list_targets("segment:bad") == {"e0/0"}
    assert evidence.list_targets("segment:first") == {"e0/0"}
    assert not evidence.list_targets("segment:own")


@pytest.mark.parametrize(("refuses", "end"), [(False, "finished"), (True, "aborted")])
def test_a_closed_stream_is_complete_only_if_its_target_is_alive(start_request, refuses, end):
    handler, calls, _ = start_request(streamed=True, retryable=False, refuses=refuses)
    calls[0].start_stream(make_event(1))
    calls[0].on_event(ResponseEnd(by_close=True))
    assert handler.exchange.end == end


def test_a_stream_that_went_on_does_not_count_against_its_segments(start_request):
    prompt = make_prompt("first", "own")
    handler, calls, scheduler = start_request(
        streamed=True, retryable=False, prompt=prompt, refuses=True
    )
    calls[0].start_stream(make_event(1))
    scheduler.advance(0.6)
    calls[0].on_event(BodyPart(make_event(2)))
    calls[0].fail()
    assert not handler.context.crash_tracker.evidence


def test_a_quarantined_segment_is_refused_at_once_with_the_time_to_come_back(start_request):
    handler, calls, _ = start_request(
        streamed=True, prompt=make_prompt("bad", "own"), crashed=("segment:bad",)
    )
    assert not calls and handler.exchange.status == 503
    assert b"segment:bad" in handler.exchange.sent and b'"ran": "no"' in handler.exchange.sent
    assert handler.exchange.headers["Retry-After"] == "60"
    assert not handler.context.budgets.settled


def test_a_request_quarantined_while_it_ran_is_not_sent_again(start_request):
    handler, calls, _ = start_request(streamed=True, prompt=make_prompt("bad", "own"), refuses=True)
    add_crashes(handler.context.crash_tracker, "segment:bad", count=CRASHES_MAX - 1)
    calls[0].fail()
    assert len(calls) == 1 and handler.exchange.status == 502
    assert b'"ran": "unknown"' in handler.exchange.sent


def test_a_disconnect_cancels_a_stream_but_not_an_at_most_once_request(start_request):
    handler, calls, _ = start_request(streamed=True, prompt=Prompt(100, 60))
    calls[0].start_stream(make_event(1))
    handler.exchange.on_disconnect()
    assert calls[0].cancelled and handler.context.budgets.settled == [(160, 118)]
    handler, calls, _ = start_request(retryable=False)
    handler.exchange.on_disconnect()
    assert not calls[0].cancelled


def test_a_request_is_not_sent_to_targets_beyond_their_limits(start_request):
    handler, calls, scheduler = start_request(retryable=False, targets=1)
    calls[0].send_response(200, server_limit="1")
    second, calls, scheduler = start_request(retryable=False, targets=1, like=handler)
    assert len(calls) == 2
    calls[1].send_response(503, x_not_executed="1")  # without a limit, and not run
    third, calls, _ = start_request(retryable=False, targets=1, like=handler)
    assert len(calls) == 2 and third.exchange.status == 503
    assert b'"ran": "no"' in third.exchange.sent
    assert 0.5 < float(third.exchange.headers["Retry-After"]) < 2.0


def slow_down_store(handler, seconds):
    handler.context.streams._store.delay = seconds


def test_the_record_of_a_failed_attempt_does_not_drop_the_events_of_the_next_one(start_request):
    handler, calls, scheduler = start_request(streamed=True, versions=("v1", "v2"))
    slow_down_store(handler, 0.3)
    scheduler.advance(0.1)
    calls[0].send_response(500)
    calls[1].start_stream(make_event(1))
    assert handler.exchange.sent == b""
    scheduler.advance(0.9)
    calls[1].on_event(BodyPart(make_event(2)))
    assert handler.exchange.sent == make_event(1) + make_event(2)


def test_a_stream_whose_version_cannot_be_recorded_is_sent_to_another_target(start_request):
    handler, calls, scheduler = start_request(streamed=True, versions=("v1", "v2"))
    handler.context.streams._store.mode = "down"
    calls[0].start_stream(make_event(1))
    scheduler.advance(2.1)
    assert calls[0].cancelled and len(calls) == 2 and handler.exchange.sent == b""


def register_target(handler, target_id, address):
    handler.context.pool.register(Registration(target_id, "s", address, "a", 8, False))
    return handler.context.pool.targets[target_id]


def refuse(call, status):
    call.send_response(status, x_not_executed="1")


@pytest.mark.parametrize("status", [421, 503, 429])
def test_a_refused_request_is_tried_at_another_address_first(start_request, status):
    handler, calls, _ = start_request(retryable=False, targets=1)
    address = calls[0].call.address
    register_target(handler, "same", address)
    register_target(handler, "other", Address("10.0.0.1", 9000))
    refuse(calls[0], status)
    assert calls[1].call.address != address
    refuse(calls[1], status)
    assert calls[2].call.address == address  # there is no other one
    calls[2].send_response(200)
    assert handler.exchange.status == 200


@pytest.mark.parametrize("obstacle", ["full", "avoided", "leaving"])
def test_a_refused_request_is_tried_at_the_same_address_if_no_other_one_has_room(
    start_request, obstacle
):
    handler, calls, scheduler = start_request(retryable=False, targets=1)
    address = calls[0].call.address
    register_target(handler, "same", address)
    other = register_target(handler, "other", Address("10.0.0.1", 9000))
    if obstacle == "full":
        other.record_load(LoadReport(8, 2, 8), scheduler.now())
    elif obstacle == "avoided":
        other.record_failure("reset", scheduler.now())
    else:
        handler.context.pool.mark_replaced(other)
    refuse(calls[0], 421)
    assert calls[1].call.address == address


def start_stream_of_slow_caller(start_request, **options):
    """Return a request whose caller has stopped to read at the first event."""
    handler, calls, scheduler = start_request(streamed=True, **options)
    handler.exchange.unread_bytes_max = 0
    scheduler.advance(0.1)
    calls[0].start_stream(make_event(1))
    return handler, calls, scheduler


def test_a_stream_whose_caller_reads_slowly_is_not_tried_at_a_second_target(start_request):
    handler, calls, scheduler = start_stream_of_slow_caller(start_request)
    assert calls[0].paused
    scheduler.advance(3.0)  # longer than any silence
    assert len(calls) == 1 and not calls[0].cancelled
    handler.exchange.unread_bytes_max = 1_000_000
    handler.exchange.on_flow_change(True)
    assert not calls[0].paused
    calls[0].on_event(BodyPart(make_event(2)))
    calls[0].on_event(ResponseEnd())
    assert handler.exchange.sent == make_event(1) + make_event(2)


def test_a_target_that_is_silent_after_its_caller_caught_up_is_left(start_request):
    handler, calls, scheduler = start_stream_of_slow_caller(start_request)
    handler.exchange.on_flow_change(True)
    scheduler.advance(1.3)
    assert calls[0].cancelled and len(calls) == 2


def test_a_second_target_is_not_read_while_the_caller_reads_slowly(start_request):
    handler, calls, scheduler = start_stream_of_slow_caller(start_request, attempts_max=3)
    calls[0].fail()
    assert len(calls) == 2 and calls[1].paused
    scheduler.advance(2.0)
    assert len(calls) == 2 and not calls[1].cancelled
    handler.exchange.on_flow_change(True)
    assert not calls[1].paused
    scheduler.advance(1.1)
    assert calls[1].cancelled and len(calls) == 3


def test_a_forwarded_stream_does_not_leave_its_peer_once_its_caller_caught_up(start_request):
    peer = Member("node-2", "10.0.0.2:7000", "a", "1", True, capacity=100.0)
    handler, calls, scheduler = start_request(streamed=True, targets=1, peers=[peer])
    calls[0].fail("connect: refused", sent=False)
    assert [call.call.address.port for call in calls] == [8000, 7000]
    handler.exchange.unread_bytes_max = 0
    calls[1].start_stream(make_event(1))
    assert calls[1].paused
    handler.context.pool.register(Registration("e1", "s", Address("10.0.0.1", 8001), "a", 8, False))
    handler.exchange.on_flow_change(True)
    scheduler.advance(3.0)
    assert len(calls) == 2 and not calls[1].cancelled


def test_a_target_whose_events_are_held_is_not_silent(start_request):
    handler, calls, scheduler = start_request(streamed=True, versions=("v1", "v2"))
    slow_down_store(handler, 1.1)
    scheduler.advance(0.3)
    calls[0].start_stream(make_event(1))
    scheduler.advance(0.9)  # the silence before a first event has passed
    assert len(calls) == 1 and handler.exchange.sent == make_event(1)


def test_a_target_is_not_read_while_too_many_bytes_of_its_events_are_held(start_request):
    handler, calls, scheduler = start_request(streamed=True, versions=("v1", "v2"))
    slow_down_store(handler, 0.3)
    calls[0].start_stream(make_event(1))
    assert not calls[0].paused
    event = make_event(2)[:-2] + b"x" * HELD_BYTES_MAX + b"\n\n"
    calls[0].on_event(BodyPart(event))
    assert calls[0].paused
    scheduler.advance(0.5)
    assert not calls[0].paused and handler.exchange.sent == make_event(1) + event


def test_a_refusal_is_sent_though_its_tokens_go_to_requests_that_end_at_once(start_request):
    prompt = Prompt(500, 60)
    handler, calls, scheduler = start_request(
        retryable=False,
        prompt=prompt,
        targets=1,
        make_budgets=lambda scheduler: make_managed_budgets(scheduler, 1_000),
    )
    scheduler.advance(0.1)
    assert len(calls) == 1
    handler.context.budgets.manager._store.delay = 1.0
    waiting = [start_request(prompt=prompt, like=handler)[0] for _ in range(2)]
    scheduler.advance(0.05)
    assert [item.exchange.status for item in waiting] == [0, 0]
    handler.context.pool.remove("e0", "registration not renewed")
    calls[0].send_response(503, x_not_executed="1")
    assert handler.exchange.status == 503
    scheduler.advance(0.1)
    assert [item.exchange.status for item in waiting] == [503, 503]
    assert handler.context.budgets.manager.allocations["studio"].committed == 0


def find_recorded_version(handler, scheduler):
    """Return the version at which another node lets the stream go on."""
    own = handler.context.streams
    other = StreamRecords(scheduler, own._store, "node-2/1", own._pool, lambda: 2, lambda: False)
    other.start()
    scheduler.advance(0.2)
    found = []
    other.find("r1", {"s"}, found.append)
    scheduler.advance(0.2)
    return found[0].ok_value


def refuse_all(handler, calls, scheduler):
    """Refuse the request at the other targets."""
    for number in (1, 2):
        scheduler.advance(0.1)
        calls[number].send_response(503, x_not_executed="1")
    assert handler.exchange.status == 503


def leave_while_sent(handler, calls, scheduler):
    """Close the caller's connection before the first event."""
    scheduler.advance(0.1)
    handler.exchange.on_disconnect()


@pytest.mark.parametrize("end", [refuse_all, leave_while_sent])
def test_a_stream_without_an_event_has_no_version(start_request, end):
    handler, calls, scheduler = start_request(streamed=True, versions=("v2", "v1"))
    calls[0].send_response(503, x_not_executed="1")
    assert handler.attempt.target.version == "s/v1"
    scheduler.advance(0.2)
    end(handler, calls, scheduler)
    assert find_recorded_version(handler, scheduler) is None


def test_a_stream_that_a_peer_serves_has_no_version_at_this_node(start_request):
    peer = Member("node-2", "10.0.0.2:7000", "a", "1", True, capacity=100.0)
    handler, calls, scheduler = start_request(
        streamed=True, versions=("v2", "v1"), targets=2, peers=[peer]
    )
    calls[0].fail("connect: refused", sent=False)
    scheduler.advance(0.2)
    calls[1].fail("connect: refused", sent=False)
    assert calls[2].call.address.port == 7000
    scheduler.advance(0.2)
    assert find_recorded_version(handler, scheduler) is None
    assert not handler.context.streams._own


def test_a_stream_with_an_event_keeps_its_version_though_its_end_is_lost(start_request):
    handler, calls, scheduler = start_request(streamed=True, versions=("v2", "v1"), attempts_max=1)
    calls[0].send_response(503, x_not_executed="1")
    scheduler.advance(0.2)
    calls[1].start_stream(make_event(1))
    calls[1].fail()
    assert handler.exchange.end == "aborted"
    scheduler.advance(0.5)
    assert find_recorded_version(handler, scheduler) == "s/v1"


def start_stream_of_ended_target(start_request, fail):
    """Return a request whose stream the only target of its version has ended."""
    handler, calls, scheduler = start_request(streamed=True, targets=1)
    confirmed_at = scheduler.now()
    handler.context.selection.starts.get_confirmed_at = lambda: confirmed_at
    calls[0].start_stream(make_event(1))
    fail(calls[0])
    assert handler.exchange.end == "aborted"
    scheduler.advance(1.0)
    return handler, calls, scheduler


def test_a_stream_does_not_go_on_at_a_target_that_may_have_restarted(start_request):
    handler, calls, scheduler = start_stream_of_ended_target(start_request, FakeCall.fail)
    early = start_request(streamed=True, like=handler, resumes="r1")[0]
    assert len(calls) == 1 and early.exchange.status == 503
    lost_at = scheduler.now() - 1.0
    handler.context.selection.starts.get_confirmed_at = lambda: lost_at + REGISTRATION_SECONDS
    start_request(streamed=True, like=handler, resumes="r1")
    assert len(calls) == 2


def test_a_stream_does_not_go_on_at_a_target_that_restarted_as_another_version(start_request):
    handler, calls, scheduler = start_stream_of_ended_target(start_request, FakeCall.fail)
    address = Address("10.0.0.1", 8000)
    handler.context.pool.register(
        Registration("e0", "s", address, "a", 8, False, started_ms=2, software="v2")
    )
    handler.context.selection.starts.get_confirmed_at = scheduler.now
    later = start_request(streamed=True, like=handler, resumes="r1")[0]
    assert len(calls) == 1 and later.exchange.status == 503


def test_a_stream_goes_on_at_a_target_that_only_was_too_slow(start_request):
    handler, calls, scheduler = start_stream_of_ended_target(
        start_request, lambda call: call.on_event(CallFailed("silence", True))
    )
    start_request(streamed=True, like=handler, resumes="r1")
    assert len(calls) == 2


@pytest.mark.parametrize("seconds", [0.1, 0.5])
def test_a_response_older_than_a_loss_shows_that_its_target_did_not_restart(start_request, seconds):
    handler, calls, scheduler = start_request(streamed=True, targets=1)
    confirmed_at = scheduler.now()
    handler.context.selection.starts.get_confirmed_at = lambda: confirmed_at
    start_request(streamed=True, like=handler)
    calls[0].start_stream(make_event(1))
    scheduler.advance(0.1)
    calls[0].fail()
    scheduler.advance(seconds)
    calls[1].start_stream(make_event(1))
    start_request(streamed=True, like=handler, resumes="r1")
    assert (len(calls) == 3) is (seconds > SURVIVAL_SECONDS)


def evacuate(handler, data_centre="a"):
    evacuations = handler.context.permitted._evacuations
    evacuations.apply([(f"evacuate/{data_centre}", b"{}")], 0.0, is_restored=False)


def test_a_retry_is_not_sent_to_a_data_centre_that_was_evacuated_meanwhile(start_request):
    handler, calls, scheduler = start_request()
    evacuate(handler)
    calls[0].send_response(500)
    scheduler.advance(1.0)
    assert len(calls) == 1 and handler.exchange.status == 502  # the first attempt may have run


def test_a_silent_target_in_an_evacuated_data_centre_keeps_its_request(start_request):
    handler, calls, scheduler = start_request()
    evacuate(handler)
    scheduler.advance(2.0)
    assert len(calls) == 1 and not calls[0].cancelled
    calls[0].send_response(200)
    assert handler.exchange.status == 200


@pytest.mark.parametrize("limit", ["region", "evacuation", "confirmation"])
def test_a_request_without_a_permitted_target_is_refused_at_once_before_it_reserves_tokens(
    start_request, limit
):
    first, calls, _ = start_request()
    if limit == "evacuation":
        evacuate(first)
    elif limit == "confirmation":
        first.context.permitted.may_send = lambda: False
    handler = RequestHandler(
        context=first.context,
        exchange=FakeExchange(),
        configuration=first.configuration,
        route=evolve(first.route, regions=frozenset({"east"}) if limit == "region" else None),
        metadata=first.metadata,
        workspace=first.workspace,
        started_at=first.started_at,
        deadline=first.deadline,
    )
    handler.start()
    assert len(calls) == 1 and handler.finished and handler.reservation is None
    assert handler.exchange.status == 503
    assert float(handler.exchange.headers["Retry-After"]) >= 1.0
