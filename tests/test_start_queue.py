"""Test without a network which requests a starting node holds, and when refused callers return."""

import pytest
from attrs import define, field

from bronzetiller.gateway.start_queue import (
    FIRST_ANSWER_SECONDS,
    HELD_BYTES_MAX,
    HELD_REQUESTS_MAX,
    HELD_SECONDS_MAX,
    JITTER_SHARE,
    RETRY_SECONDS_MAX,
    RETRY_SECONDS_MIN,
    StartQueue,
    choose_retry_seconds,
)
from bronzetiller.sync.read_plan import ANSWERED_SECONDS_MAX
from standins.fake_scheduler import FakeScheduler


@define(eq=False)
class FakeExchange:
    """Hold what the queue uses of an exchange."""

    body: bytes = b"x"
    done: bool = False
    on_disconnect: object = None
    on_expire: object = None


@define(eq=False)
class StartingNode:
    """Hold a start queue, and the requests that went on, with the times at which they did."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    complete: bool = False
    answered_at: float = float("-inf")
    resumed: list = field(factory=list)
    queue: StartQueue = field(init=False)

    def __attrs_post_init__(self):
        self.queue = StartQueue(self.scheduler, lambda: self.complete, lambda: self.answered_at)

    def send(self, number, seconds_left=None, body=b"x"):
        """Send a request; return its exchange, or None if it is not held."""
        exchange = FakeExchange(body)

        def go_on():
            if not self.queue.hold(exchange, seconds_left, go_on):
                self.resumed.append((number, self.scheduler.now()))

        go_on()
        return None if exchange.on_disconnect is None else exchange


@pytest.fixture
def node():
    return StartingNode(answered_at=FakeScheduler().now())


def test_requests_go_on_in_the_order_of_their_arrival_once_the_node_is_complete(node):
    """Guard against refusing callers that return some tenths of a second before all is read."""
    started_at = node.scheduler.now()
    assert all(node.send(number) for number in range(20))
    node.scheduler.advance(0.3)
    assert node.resumed == []
    node.complete = True
    node.scheduler.advance(0.1)
    assert [number for number, _ in node.resumed] == list(range(20))
    assert node.resumed[0][1] < started_at + 0.4
    assert node.send(20) is None, "a node that has been complete holds nothing"


def test_a_request_is_held_for_a_short_part_of_its_callers_time(node):
    """Guard against holding a request until its caller can no longer retry."""
    started_at = node.scheduler.now()
    node.send("patient")
    node.send("hurried", seconds_left=1.0)
    node.scheduler.advance(2.0)
    times = {number: at - started_at for number, at in node.resumed}
    assert times["patient"] == pytest.approx(HELD_SECONDS_MAX)
    assert times["hurried"] == pytest.approx(0.25)


def test_a_full_queue_and_a_store_that_does_not_answer_hold_nothing(node):
    """Guard against unbounded memory, and against holding what nobody can serve soon."""
    for number in range(HELD_REQUESTS_MAX):
        assert node.send(number)
    assert node.send("one more") is None
    away = StartingNode()
    away.scheduler.advance(FIRST_ANSWER_SECONDS + 0.1)
    assert away.send("early") is None


def test_a_store_that_answered_long_ago_holds_nothing(node):
    """Guard against holding requests through an outage that began after the first answer."""
    node.scheduler.advance(ANSWERED_SECONDS_MAX - 0.1)
    assert node.send("reading")
    node.scheduler.advance(0.2)
    assert node.send("away") is None
    assert node.queue.compute_retry_seconds(0.5) >= RETRY_SECONDS_MIN


def test_held_bodies_are_bounded_in_bytes(node):
    """Guard against running out of memory by a few hundred large bodies at the start."""
    half = b"x" * (HELD_BYTES_MAX // 2)
    left, expiring = node.send("left", body=half), node.send("expiring", body=half)
    assert left and expiring
    assert node.send("too much", body=b"x") is None
    left.on_disconnect()
    assert node.send("in its place", seconds_left=0.1, body=half)
    node.scheduler.advance(2 * HELD_SECONDS_MAX)
    assert [number for number, _ in node.resumed] == ["too much", "in its place", "expiring"]
    assert node.send("again", body=half) and node.send("again", body=half)


def test_a_request_whose_caller_has_left_does_not_go_on(node):
    """Guard against running a request that nobody waits for."""
    exchange = node.send("left")
    exchange.on_disconnect()
    node.complete = True
    node.scheduler.advance(1.0)
    assert node.resumed == []


@pytest.mark.parametrize("age", [0.0, 0.7, 2.5, 60.0])
def test_callers_return_later_while_the_store_does_not_answer(age):
    """Guard against callers that use up their only retry before the store can be back."""
    for draw in (0.0, 0.5, 0.999):
        seconds = choose_retry_seconds(age, is_reading=False, draw=draw)
        assert seconds >= RETRY_SECONDS_MIN * (1 - JITTER_SHARE)
        assert seconds <= RETRY_SECONDS_MAX * (1 + JITTER_SHARE)
        assert choose_retry_seconds(age, is_reading=True, draw=draw) < 1.0
