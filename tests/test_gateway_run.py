"""Drive single requests of the gateway through what targets may do, without a network."""

import pytest
from attrs import define, field
from result import Ok

from bronzetiller.gateway.configuration import (
    GatewayConfiguration,
    PathRoute,
    ServiceConfiguration,
    WeightedBackend,
    WorkspaceConfiguration,
)
from bronzetiller.gateway.crashes import CRASHES_MAX, CrashTracker, make_fingerprint
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.request_handler import RequestContext, RequestHandler
from bronzetiller.gateway.requests import Prompt, RequestMetadata
from bronzetiller.gateway.reservation_client import Reservation
from bronzetiller.gateway.retry_window import RetryWindow
from bronzetiller.gateway.targets import Registration, Target, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import BodyPart, CallFailed, ResponseEnd, ResponseHead
from bronzetiller.net.scheduler import Watch
from tests.fake_scheduler import FakeScheduler

WORKSPACE = WorkspaceConfiguration("studio", None, 1_000)


@define(eq=False)
class FakeCall:
    call: object
    listen: object
    sent: bool = True
    cancelled: bool = False

    def cancel(self):
        self.cancelled = True

    def answer(self, status=200, body=b"fine", **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        self.listen(ResponseHead(status, {"x-request-id": "r1"} | named))
        self.listen(BodyPart(body))
        self.listen(ResponseEnd())

    def begin(self, *events):
        self.listen(ResponseHead(200, {"x-request-id": "r1"}))
        for event in events:
            self.listen(BodyPart(event))

    def fail(self, cause="reset by the other end", sent=True):
        self.sent = sent
        self.listen(CallFailed(cause, sent))


@define(eq=False)
class FakeHttp:
    calls: list = field(factory=list)
    refuses: bool = False

    def probe(self, address, seconds, done):
        done(self.refuses)

    def send(self, call, listen):
        self.calls.append(FakeCall(call, listen))
        return self.calls[-1]


@define(eq=False)
class FakeExchange:
    method: str = "POST"
    path: str = "/x/2f"
    query: str = ""
    headers: dict = field(factory=lambda: {"host": "h"})
    body: bytes = b"body"
    started: bool = False
    status: int = 0
    sent: bytes = b""
    end: str = ""
    on_disconnect: object = None

    def respond(self, status, headers, body):
        self.status, self.sent, self.end = status, body, "whole"

    def start(self, status, headers):
        self.status, self.started = status, True

    def send(self, data):
        self.sent += data

    def finish(self):
        self.end = "whole"

    def abort(self):
        self.end = "cut"


@define(eq=False)
class FakeBudgets:
    settled: list = field(factory=list)

    def reserve(self, request_id, workspace, tokens, deadline, done):
        done(Ok(Reservation(request_id, workspace, tokens, "node-1")))

    def settle(self, reservation, used):
        self.settled.append((reservation.tokens, used))


class WatchingScheduler(FakeScheduler):
    def watch(self, action):
        return Watch(self, action)


@pytest.fixture
def start_run():
    """Start runs before three targets."""

    def start(*, retryable=True, streamed=False, attempts_max=2, allowance=100, prompt=None):
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
        scheduler = WatchingScheduler()
        pool = TargetPool()
        for number in range(3):
            address = Address("10.0.0.1", 8000 + number)
            pool.register(Registration(f"e{number}", "s", address, "a", 8, False))
        window = RetryWindow(0.0, allowance, 10)
        services = RequestContext(
            scheduler=scheduler,
            http=FakeHttp(),
            pool=pool,
            budgets=FakeBudgets(),
            distances=Distances("a", "west", {"a": "west"}),
            retries=lambda service: window,
            count_nodes=lambda: 1,
            draw=lambda: 0.5,
            crashes=CrashTracker(scheduler, FakeHttp()),
        )
        terms = ServiceConfiguration("s", tokens_per_event=6)
        run = RequestHandler(
            services=services,
            exchange=FakeExchange(),
            configuration=GatewayConfiguration(1, {}, {"s": terms}, {"studio": WORKSPACE}, {}),
            route=route,
            metadata=RequestMetadata("r1", "k", 4.0, prompt, None, {}),
            workspace=WORKSPACE,
            begun_at=scheduler.now(),
            deadline=scheduler.now() + 4.0,
        )
        run.start()
        return run, services.http.calls, scheduler

    return start


def make_event(number):
    return f"id: {number}\ndata: x\n\n".encode()


def test_a_failed_call_runs_on_no_more_targets_than_its_route_allows(start_run):
    run, calls, scheduler = start_run()
    scheduler.advance(0.3)
    calls[0].answer(500)
    assert len(calls) == 2
    scheduler.advance(2.0)  # past the time after which the first target would have been silent
    assert len(calls) == 2 and not calls[1].cancelled
    calls[1].answer(200)
    assert run.exchange.status == 200


def test_a_silent_target_is_left_once_where_the_call_may_run_again(start_run):
    run, calls, scheduler = start_run()
    scheduler.advance(1.1)
    assert calls[0].cancelled and len(calls) == 2
    scheduler.advance(2.0)
    assert len(calls) == 2 and not calls[1].cancelled


@pytest.mark.parametrize("streamed", [False, True])
def test_a_silent_target_is_not_left_where_the_call_may_run_once(start_run, streamed):
    run, calls, scheduler = start_run(retryable=False, streamed=streamed)
    scheduler.advance(3.9)
    assert len(calls) == 1 and not calls[0].cancelled
    scheduler.advance(0.2)
    assert run.exchange.status == 504 and calls[0].cancelled


def test_a_target_that_cannot_be_reached_costs_no_attempt(start_run):
    run, calls, _ = start_run(retryable=False, attempts_max=1)
    calls[0].fail("connect: timeout", sent=False)
    calls[1].fail("connect: refused", sent=False)
    calls[2].answer(200)
    assert run.exchange.status == 200


def test_a_call_that_nobody_could_run_is_said_not_to_have_run(start_run):
    run, calls, _ = start_run(retryable=False)
    for number in range(3):
        calls[number].fail("connect: refused", sent=False)
    assert run.exchange.status == 503 and b'"ran": "no"' in run.exchange.sent


def test_a_lost_call_that_may_run_once_promises_nothing(start_run):
    run, calls, _ = start_run(retryable=False)
    calls[0].fail()
    assert len(calls) == 1 and run.exchange.status == 502


def test_a_refusal_after_a_run_is_not_said_to_be_none(start_run):
    run, calls, _ = start_run()
    calls[0].fail()
    calls[1].answer(503, x_not_executed="1")
    calls[2].answer(503, x_not_executed="1")
    assert run.exchange.status == 502


def test_no_call_is_repeated_beyond_what_the_fleet_may(start_run):
    run, calls, _ = start_run(allowance=0)
    calls[0].answer(500)
    assert len(calls) == 1 and run.exchange.status == 500


def test_a_service_that_nobody_describes_is_charged_by_the_event(start_run):
    run, calls, _ = start_run(streamed=True, prompt=Prompt(100, 60))
    run.configuration.services.clear()
    calls[0].begin(make_event(1))
    calls[0].listen(ResponseEnd())
    assert run.exchange.end == "whole" and run.services.budgets.settled == [(160, 101)]


def test_a_stream_goes_on_after_its_last_whole_event(start_run):
    run, calls, _ = start_run(streamed=True, prompt=Prompt(100, 60))
    calls[0].begin(make_event(1) + make_event(2), b"id: 3\nda")
    calls[0].fail()
    assert calls[1].call.headers["last-event-id"] == "2"
    calls[1].begin(make_event(3))
    calls[1].listen(ResponseEnd())
    assert run.exchange.sent == make_event(1) + make_event(2) + make_event(3)
    assert run.exchange.end == "whole"
    assert run.services.budgets.settled == [(160, 118)]  # the prompt and three events of six tokens


def test_a_resumed_stream_never_turns_into_another_answer(start_run):
    run, calls, _ = start_run(streamed=True, prompt=Prompt(100, 60))
    calls[0].begin(make_event(1))
    calls[0].fail()
    calls[1].answer(404)
    assert run.exchange.end == "cut" and run.exchange.sent == make_event(1)


def test_a_request_that_was_not_run_is_not_charged(start_run):
    run, calls, _ = start_run(streamed=True, retryable=False, prompt=Prompt(100, 60))
    calls[0].answer(503, x_not_executed="1")
    calls[1].answer(503, x_not_executed="1")
    calls[2].answer(503, x_not_executed="1")
    assert run.exchange.status == 503 and run.services.budgets.settled == [(160, 0)]


def test_a_request_that_crashes_targets_is_barred_wherever_it_was_seen():
    scheduler, http = WatchingScheduler(), FakeHttp(refuses=True)
    first, second = CrashTracker(scheduler, http), CrashTracker(scheduler, http)
    mark = make_fingerprint("studio", "POST", "/x/2f", b"body")
    for number in range(CRASHES_MAX):
        address = Address("10.0.0.1", 8000 + number)
        target = Target(Registration(f"e{number}", "s", address, "a", 8, False))
        watch = first if number else second
        watch.report_loss(target, mark)
        watch.report_loss(target, mark)  # one crash, however many losses
    assert not first.is_quarantined(lambda: mark) and not second.is_quarantined(lambda: mark)
    first.update_from_peers({"second": second.list_local()})
    assert first.is_quarantined(lambda: mark) and not first.is_quarantined(lambda: "another")
    scheduler.advance(200)
    assert first.list_local() == {}


def test_a_target_that_only_broke_off_counts_for_no_crash():
    watch = CrashTracker(WatchingScheduler(), FakeHttp(refuses=False))
    target = Target(Registration("e0", "s", Address("10.0.0.1", 8000), "a", 8, False))
    watch.report_loss(target, "mark")
    assert watch.list_local() == {}


def test_a_caller_that_leaves_stops_the_work_of_a_stream_but_not_of_an_order(start_run):
    run, calls, _ = start_run(streamed=True, prompt=Prompt(100, 60))
    calls[0].begin(make_event(1))
    run.exchange.on_disconnect()
    assert calls[0].cancelled and run.services.budgets.settled == [(160, 118)]
    run, calls, _ = start_run(retryable=False)
    run.exchange.on_disconnect()
    assert not calls[0].cancelled
