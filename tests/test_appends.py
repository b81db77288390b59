"""Test without a network that records reach a slow log, directly and through peers."""

import pytest
from attrs import define, field
from result import Err, Ok

from bronzetiller.fleet.delegation import AppendDelegator
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import SILENCE, BodyPart, CallFailed, ResponseEnd, ResponseHead
from bronzetiller.storage.log_client import LogClient
from bronzetiller.storage.writer import StreamWriter
from bronzetiller.wire.messages import Heartbeat, RecordsAppended
from standins.fake_scheduler import FakeScheduler

CURRENT_SECONDS_MAX = 9.0
APPEND_SECONDS = 4.0


@define(eq=False)
class FakeCall:
    done: bool = False

    def cancel(self):
        self.done = True


@define(eq=False)
class SlowHttp:
    """Complete appends one after the other at a limited rate, and respond after a delay."""

    scheduler: FakeScheduler
    bytes_per_second: float = 1e9
    delay_seconds: float = 0.0
    offsets: int = 0
    appends: int = 0
    busy_until: float = 0.0

    def send(self, call, listener):
        open_call = FakeCall()
        self.appends += 1
        now = self.scheduler.now()
        self.busy_until = max(now, self.busy_until) + len(call.body) / self.bytes_per_second
        first_offset = self.offsets
        self.offsets += call.body.count(b'"n"')

        def finish(*events):
            if not open_call.done:
                open_call.done = True
                for event in events:
                    listener(event)

        body = b'{"first_offset":%d}' % first_offset
        self.scheduler.call_at(
            self.busy_until + self.delay_seconds,
            lambda: finish(ResponseHead(200, {}), BodyPart(body), ResponseEnd()),
        )
        self.scheduler.call_after(
            call.silence_seconds, lambda: finish(CallFailed(SILENCE, sent=True))
        )
        return open_call

    def close_idle(self, address):
        pass


@pytest.fixture
def http():
    return SlowHttp(FakeScheduler())


def append_records(http, count, text=""):
    """Append records through a writer; return the numbers that were acknowledged."""
    log = LogClient(http, Address("127.0.0.1", 1))
    writer = StreamWriter(http.scheduler, log, "ledger-0", interval_seconds=0.02)
    acknowledged = []
    for number in range(count):
        record = {"n": number, "text": text}
        writer.append(record, lambda offset, number=number: acknowledged.append(number))
    return writer, acknowledged


@pytest.mark.parametrize("delay_seconds", [1.3, 2.5, 4.0, 6.0])
def test_a_log_that_responds_late_acknowledges_each_record_once(http, delay_seconds):
    http.delay_seconds = delay_seconds
    writer, acknowledged = append_records(http, 5)
    http.scheduler.advance(CURRENT_SECONDS_MAX)
    assert acknowledged == list(range(5))
    assert writer.backlog == 0
    http.scheduler.advance(60.0)
    assert acknowledged == list(range(5))


def test_a_backlog_is_appended_over_a_link_that_is_slower_than_the_timeouts(http):
    http.bytes_per_second = 20_000.0
    writer, acknowledged = append_records(http, 1_000, "x" * 1_000)
    http.scheduler.advance(120.0)
    assert acknowledged == list(range(1_000))


@define(eq=False)
class SlowPeer:
    """Append for a node after APPEND_SECONDS."""

    scheduler: FakeScheduler
    requests: list = field(factory=list)

    def on(self, message_class, handle):
        pass

    def connected(self):
        return ["b"]

    def live(self):
        return {
            "b": Heartbeat("b", "b/1", "west", "west-1", "10.0.0.1:1", False, log_reachable=True)
        }

    def is_silent(self, node_id, since):
        return False

    def request(self, node_id, message, seconds, on_response):
        finished = []

        def finish(result):
            if not finished:
                finished.append(True)
                on_response(result)

        self.requests.append(message)
        self.scheduler.call_after(APPEND_SECONDS, lambda: finish(Ok(RecordsAppended(10))))
        self.scheduler.call_after(seconds, lambda: finish(Err("timeout")))


def test_an_append_through_a_peer_waits_while_the_log_takes_its_time():
    scheduler, results = FakeScheduler(), []
    peer = SlowPeer(scheduler)
    own = Heartbeat("a", "a/1", "west", "west-1", "10.0.0.2:1", False)
    delegator = AppendDelegator(peer, peer, None, lambda: own, scheduler)
    assert delegator.append("ledger-0", [{"n": 1}], results.append)
    scheduler.advance(30.0)
    assert results == [Ok(10)]
