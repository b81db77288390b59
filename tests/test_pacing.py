"""Test that the fleet stays below the append rate limit of the log, whatever its size."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bronzetiller.fleet.delegation import AppendDelegator
from bronzetiller.fleet.pacing import choose_pace
from bronzetiller.storage.log_client import LogFailure
from bronzetiller.wire.messages import AppendRecords, Heartbeat, RecordsAppended


@given(
    nodes=st.integers(1, 400),
    data_centres=st.integers(1, 12),
    streams=st.integers(1, 32),
    rate=st.floats(20, 500),
)
@settings(derandomize=True)
def test_all_writers_together_stay_under_the_rate(nodes, data_centres, streams, rate):
    pace = choose_pace(
        nodes,
        data_centres,
        streams,
        appends_per_second_max=rate,
        seconds_min=0.02,
        direct_seconds_max=0.1,
    )
    writers = (data_centres if pace.merged else nodes) * streams
    assert writers / pace.append_seconds <= rate * 1.001
    assert pace.append_seconds >= 0.02
    assert pace.merged or pace.append_seconds <= 0.1


class FakePeers:
    def on(self, message_class, handle):
        self.handle = handle


class FakeScheduler:
    def __init__(self):
        self.actions = []

    def call_after(self, seconds, action):
        self.actions.append(action)


class FakeLog:
    def __init__(self, result):
        self.result = result
        self.appends = []

    def append(self, stream, records, done):
        self.appends.append((stream, records))
        done(self.result)


def append_for_peers(result):
    peers, log, scheduler, responses = FakePeers(), FakeLog(result), FakeScheduler(), []
    AppendDelegator(peers, None, log, None, scheduler).start()
    for batch in ([1, 2], [3], [4, 5]):
        request = AppendRecords("ledger-0", [json.dumps({"n": n}) for n in batch])
        peers.handle(request, responses.append)
    assert not log.appends
    for action in scheduler.actions:
        action()
    return log.appends, responses


def test_batches_of_peers_go_into_one_append_and_each_gets_its_own_offset():
    appends, responses = append_for_peers(Ok(10))
    assert appends == [("ledger-0", [{"n": n} for n in (1, 2, 3, 4, 5)])]
    assert responses == [RecordsAppended(10), RecordsAppended(12), RecordsAppended(13)]


def test_a_failed_merged_append_is_reported_to_every_peer():
    failure = Err(LogFailure("down", sent=True))
    assert append_for_peers(failure)[1] == [RecordsAppended(None, "down")] * 3


class NoPeers:
    def connected(self):
        return []

    def live(self):
        return {}

    def on(self, message_class, handle):
        self.handle = handle


def test_the_appenders_own_batch_goes_into_the_append_it_makes_for_peers():
    peers, log, scheduler, offsets = NoPeers(), FakeLog(Ok(10)), FakeScheduler(), []
    own = Heartbeat("a", "a/1", "west", "west-1", "10.0.0.1:1", False, log_reachable=True)
    delegator = AppendDelegator(peers, peers, log, lambda: own, scheduler, merge_seconds=0.1)
    delegator.start()
    peers.handle(AppendRecords("ledger-0", ['{"n":1}']), lambda response: offsets.append(response))
    assert delegator.append("ledger-0", [{"n": 2}], offsets.append)
    for action in scheduler.actions:
        action()
    assert log.appends == [("ledger-0", [{"n": 1}, {"n": 2}])]
    assert offsets == [RecordsAppended(10), Ok(11)]
