"""Test the decisions on how a node reads the log, without I/O."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from bronzetiller.fleet.patient_request import request_patiently
from bronzetiller.sync.log_reading import (
    ELECTION_SECONDS_MAX,
    PAGE_RECORDS_MAX,
    PAGE_RECORDS_START,
    PageSize,
    ReadOrder,
    Wait,
    should_choose_again,
)
from bronzetiller.wire.messages import Ping, Pong
from standins.fake_scheduler import FakeScheduler

FALLBACK_SECONDS = 1.0


@given(st.floats(100.0, 1e9), st.integers(1, 262_144))
def test_pages_of_any_records_and_link_come_to_arrive_in_time(bytes_per_second, record_bytes):
    size = PageSize()
    seconds = [0.0]
    for _ in range(20):
        seconds.append(size.records * record_bytes / bytes_per_second)
        if seconds[-1] > 10.0:
            size.record_incomplete_page()
        else:
            size.record_page(size.records, seconds[-1])
    assert seconds[-1] <= 1.0 or size.records == 1


def test_pages_grow_while_they_arrive_fast_and_are_full():
    size = PageSize()
    size.record_page(PAGE_RECORDS_START - 1, 0.0)
    assert size.records == PAGE_RECORDS_START
    for _ in range(10):
        size.record_page(size.records, 0.01)
    assert size.records == PAGE_RECORDS_MAX


@given(st.integers(0, 200), st.floats(0.0, 1.0))
def test_the_first_reader_reads_at_once_and_the_others_within_seconds(rank, draw):
    order = ReadOrder(lambda: draw)
    seconds = order.choose_election_seconds(rank)
    assert (seconds == 0.0) == (rank == 0) and seconds <= ELECTION_SECONDS_MAX
    fallback = order.choose_fallback_seconds(rank, 30, FALLBACK_SECONDS)
    assert fallback >= FALLBACK_SECONDS * min(rank + 1, 5)
    assert fallback <= 8.0


@pytest.mark.parametrize(
    ("wait", "best", "reads_log", "expected"),
    [
        (Wait.PEER, "own", False, True),
        (Wait.PEER, "b", False, True),
        (Wait.PEER, "b", True, False),
        (Wait.PEER, "a", False, False),
        (Wait.PEER, None, False, False),
        (Wait.TURN, "b", False, True),
        (Wait.TURN, "own", False, False),
        (Wait.RETRY, "own", False, True),
        (Wait.LOG, "b", False, False),
    ],
)
def test_only_a_wait_without_result_ends_for_a_better_source(wait, best, reads_log, expected):
    assert should_choose_again(wait, "a", best, "own", reads_log=reads_log) == expected


class FakePeers:
    """Leave requests without a response; bytes arrive from the peer until a given time."""

    def __init__(self, scheduler, bytes_until):
        self.scheduler = scheduler
        self.bytes_until = bytes_until

    def is_silent(self, node_id, since):
        return min(self.bytes_until, self.scheduler.now()) < since

    def request(self, node_id, message, seconds, on_response):
        self.respond = lambda: on_response(Ok(Pong("a/1")))
        self.scheduler.call_after(seconds, lambda: on_response(Err("timeout")))


@pytest.fixture
def scheduler():
    return FakeScheduler()


def start_request(scheduler, bytes_seconds):
    peers, results = FakePeers(scheduler, scheduler.now() + bytes_seconds), []
    request_patiently(
        scheduler, peers, "a", Ping(), results.append, silence_seconds=1.0, seconds_max=20.0
    )
    return peers, results


def test_a_response_that_is_arriving_for_long_is_awaited(scheduler):
    peers, results = start_request(scheduler, 8.0)
    scheduler.advance(8.5)
    assert results == []
    peers.respond()
    scheduler.advance(20.0)
    assert results == [Ok(Pong("a/1"))]


def test_a_silent_peer_is_given_up_soon(scheduler):
    _, results = start_request(scheduler, 0.0)
    scheduler.advance(1.5)
    assert results == [Err("silence")]
    scheduler.advance(30.0)
    assert len(results) == 1


def test_a_peer_that_sends_other_bytes_for_ever_is_given_up(scheduler):
    _, results = start_request(scheduler, 100.0)
    scheduler.advance(20.5)
    assert results == [Err("timeout")]
