"""Apply the entries of a stream once and in order, from whatever source."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import Entry, LogFailure, Page

RECORDS = 12


class FakeLog:
    """Hold the reads that wait for their answer."""

    def __init__(self):
        self.waiting = []

    def read(self, stream, from_offset, done, **options):
        self.waiting.append((from_offset, done))


class FakeScheduler:
    def __init__(self):
        self.actions = []

    def call_after(self, seconds, action):
        self.actions.append(action)


def make_page(start, end, *, end_offset=None, current=True):
    entries = [Entry(offset, float(offset), {"n": offset}) for offset in range(start, end)]
    return Page(entries, 0, end if end_offset is None else end_offset, current)


def start_follower():
    log, scheduler, seen = FakeLog(), FakeScheduler(), []
    follower = StreamFollower(scheduler, log, "stream")
    follower.subscribe(lambda entry: seen.append(entry.offset))
    follower.start()
    return follower, log, scheduler, seen


windows = st.tuples(st.integers(0, RECORDS), st.integers(0, RECORDS)).map(sorted)


@given(st.lists(st.tuples(windows, st.sampled_from(["log", "peer", "failure"])), max_size=30))
@settings(derandomize=True)
def test_overlapping_answers_of_log_and_peers_apply_each_entry_once_in_order(answers):
    follower, log, scheduler, seen = start_follower()
    for (start, end), source in answers:
        page = make_page(start, end)
        if source == "peer" or not log.waiting:
            follower.apply_entries(page.entries)
            continue
        done = log.waiting.pop(0)[1]
        done(Ok(page) if source == "log" else Err(LogFailure("down", sent=True)))
        for action in scheduler.actions:
            action()
        scheduler.actions.clear()
    assert seen == list(range(follower.next_offset))


def test_a_stream_is_complete_only_at_the_highest_offset_anybody_named():
    follower, log, _, _ = start_follower()
    follower.record_end_offset(10)
    log.waiting.pop()[1](Ok(make_page(0, 5)))
    assert not follower.complete
    log.waiting.pop()[1](Ok(make_page(5, 10)))
    assert follower.complete and follower.caught_up


def test_a_complete_stream_stays_so_while_its_source_is_lost():
    follower, log, _, _ = start_follower()
    log.waiting.pop()[1](Ok(make_page(0, 3)))
    log.waiting.pop()[1](Err(LogFailure("down", sent=True)))
    assert follower.complete
    assert not follower.caught_up


def test_entries_of_a_source_that_is_not_current_complete_nothing():
    follower, _, _, _ = start_follower()
    follower.choose_relay = lambda: lambda offset, received: None
    follower._on_relayed(Ok(make_page(0, 3, current=False)))
    assert follower.next_offset == 3
    assert not follower.complete
