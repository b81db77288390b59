"""Test that a follower applies entries exactly once and in order, from any source."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import Entry, LogFailure, Page
from standins.fake_scheduler import FakeScheduler as TimedScheduler

RECORDS = 12
ELECTION_SECONDS = 2.0


class FakeLog:
    """Record reads until the test completes them."""

    def __init__(self):
        self.pending_reads = []

    def read(self, stream, from_offset, done, **options):
        self.pending_reads.append((from_offset, done))


class FakeScheduler:
    def __init__(self):
        self.actions = []

    def now(self):
        return 0.0

    def call_after(self, seconds, action):
        self.actions.append(action)


def make_page(start, end, *, end_offset=None, current=True):
    entries = [Entry(offset, float(offset), {"n": offset}) for offset in range(start, end)]
    return Page(entries, 0, end if end_offset is None else end_offset, current)


def start_follower():
    log, scheduler, applied_offsets = FakeLog(), FakeScheduler(), []
    follower = StreamFollower(scheduler, log, "stream")
    follower.subscribe(lambda entry: applied_offsets.append(entry.offset))
    follower.start()
    return follower, log, scheduler, applied_offsets


windows = st.tuples(st.integers(0, RECORDS), st.integers(0, RECORDS)).map(sorted)


@given(st.lists(st.tuples(windows, st.sampled_from(["log", "peer", "failure"])), max_size=30))
@settings(derandomize=True)
def test_overlapping_pages_of_log_and_peers_apply_each_entry_once_in_order(pages):
    follower, log, scheduler, applied_offsets = start_follower()
    for (start, end), source in pages:
        page = make_page(start, end)
        if source == "peer" or not log.pending_reads:
            follower.apply_entries(page.entries)
            continue
        done = log.pending_reads.pop(0)[1]
        done(Ok(page) if source == "log" else Err(LogFailure("down", sent=True)))
        for action in scheduler.actions:
            action()
        scheduler.actions.clear()
    assert applied_offsets == list(range(follower.next_offset))


def test_a_stream_is_complete_only_at_the_highest_reported_offset():
    follower, log, _, _ = start_follower()
    follower.record_end_offset(10)
    log.pending_reads.pop()[1](Ok(make_page(0, 5)))
    assert not follower.complete
    log.pending_reads.pop()[1](Ok(make_page(5, 10)))
    assert follower.complete and follower.caught_up


def test_a_complete_stream_stays_so_while_its_source_is_lost():
    follower, log, _, _ = start_follower()
    log.pending_reads.pop()[1](Ok(make_page(0, 3)))
    log.pending_reads.pop()[1](Err(LogFailure("down", sent=True)))
    assert follower.complete
    assert not follower.caught_up


def test_entries_of_a_source_that_is_not_current_do_not_complete_the_stream():
    follower, _, _, _ = start_follower()
    follower.choose_relay = lambda: lambda offset, received: None
    follower._on_relayed(Ok(make_page(0, 3, current=False)))
    assert follower.next_offset == 3
    assert not follower.complete


class FakeLogOfGivenEnd:
    """Respond to reads at once, with nothing but the end of the stream, or fail them."""

    def __init__(self, end_offset):
        self.end_offset = end_offset
        self.down = False
        self.pages_read = 0

    def read(self, stream, from_offset, done, *, records_max=1_000, **options):
        if self.down:
            done(Err(LogFailure("down", sent=True)))
        elif records_max == 1:
            done(Ok(Page([], 0, self.end_offset)))
        else:
            self.pages_read += 1


def test_a_node_that_finds_the_log_again_beside_a_peer_waits_for_its_turn_to_read_it():
    scheduler, log = TimedScheduler(), FakeLogOfGivenEnd(1_000)
    follower = StreamFollower(scheduler, log, "stream")
    requests = []
    follower.choose_relay = lambda: lambda offset, on_page: requests.append(on_page)
    follower.choose_election_seconds = lambda: ELECTION_SECONDS
    follower.start()
    for log.down in (True, False):
        scheduler.advance(1.0)
        follower.check_log()
    follower.choose_relay = lambda: None
    requests[-1](Err(LogFailure("the peer did not relay the entries", sent=True)))
    scheduler.advance(ELECTION_SECONDS / 2)
    assert follower.log_readable and log.pages_read == 0
    scheduler.advance(ELECTION_SECONDS)
    assert log.pages_read == 1


def test_a_follower_whose_peer_is_gone_is_not_current_while_the_log_does_not_respond():
    scheduler, log = TimedScheduler(), FakeLogOfGivenEnd(5)
    follower = StreamFollower(scheduler, log, "stream")
    requests = []
    follower.choose_relay = lambda: lambda offset, on_page: requests.append(on_page)
    follower.start()
    requests[-1](Ok(make_page(0, 5)))
    assert follower.caught_up
    scheduler.advance(60.0)
    log.down = True
    follower.choose_relay = lambda: None
    requests[-1](Err(LogFailure("the peer did not relay the entries", sent=True)))
    scheduler.advance(1.0)
    assert not follower.reachable


def test_a_follower_that_chose_again_applies_what_it_no_longer_waits_for_and_reads_once():
    scheduler, log = TimedScheduler(), FakeLogOfGivenEnd(5)
    follower = StreamFollower(scheduler, log, "stream")
    requests = []
    follower.choose_relay = lambda: lambda offset, on_page: requests.append(on_page)
    follower.start()
    follower.choose_again()
    assert len(requests) == 2
    requests[0](Ok(make_page(0, 5)))
    scheduler.advance(ELECTION_SECONDS)
    assert follower.next_offset == 5 and not follower.reachable and len(requests) == 2
    requests[1](Ok(make_page(5, 5)))
    assert follower.reachable and len(requests) == 3
