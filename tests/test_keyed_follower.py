"""Test following a partition of a keyed store through outages and expired history."""

import pytest
from attrs import define
from result import Ok

from bronzetiller.storage.keyed import Partition, RecordBatch
from bronzetiller.storage.keyed_follower import KeyedFollower
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient

PARTITION = Partition("keyed.test")


@pytest.fixture
def followed_partition():
    """Follow a partition with one record; return the follower, store, client and scheduler."""
    scheduler, store = FakeScheduler(), MemoryStore()
    client = FakeStoreClient(scheduler, store)
    store.append(PARTITION, "a", b"1", None)
    follower = KeyedFollower(
        scheduler, client, PARTITION, lambda changed: None, wait_seconds=0.0, pause_seconds=0.5
    )
    follower.start()
    scheduler.advance(1.0)
    return follower, store, client, scheduler


def test_changes_are_applied_in_order_and_a_deletion_removes_its_key(followed_partition):
    follower, store, _, scheduler = followed_partition
    store.append(PARTITION, "b", b"2", None)
    store.append(PARTITION, "a", b"3", None)
    store.append(PARTITION, "b", None, None)
    scheduler.advance(1.0)
    assert follower.values == {"a": b"3"} and follower.position == 4


def test_an_expired_history_is_replaced_by_the_newest_records(followed_partition):
    follower, store, _, scheduler = followed_partition
    store.append(PARTITION, "a", None, None)
    store.append(PARTITION, "b", b"2", None)
    store.first_offsets[str(PARTITION)] = 3
    scheduler.advance(1.0)
    assert follower.values == {"b": b"2"}


def test_an_outage_is_detected_and_missed_records_are_read_after_it(followed_partition):
    follower, store, client, scheduler = followed_partition
    client.mode = "down"
    scheduler.advance(5.0)
    assert follower.is_lost
    store.append(PARTITION, "b", b"2", None)
    client.mode = "up"
    scheduler.advance(2.0)
    assert follower.values == {"a": b"1", "b": b"2"} and not follower.is_lost
    assert follower.regained_at is not None


@define(eq=False)
class SlowClient(FakeStoreClient):
    """Read over a connection of a limited bandwidth, with a round trip of 64 ms."""

    bytes_per_second: float = 250_000.0

    def _transfer(self, records, end, done):
        size = sum(len(record.value or b"") for record in records)
        delay = 0.064 + size / self.bytes_per_second
        self._respond(done, Ok(RecordBatch(records, end)), delay)

    def read_newest(self, partition, done, late=None):
        self._transfer(self.store.list_newest(partition), len(self.store.records(partition)), done)

    def read_from(self, partition, offset, wait_seconds, done, late=None):
        records = self.store.records(partition)
        if not records[offset:] and wait_seconds > 0.05:
            self.scheduler.call_after(
                0.05, lambda: self.read_from(partition, offset, wait_seconds - 0.05, done)
            )
            return
        self._transfer(records[offset:], len(records), done)


@pytest.mark.parametrize(("skips_versions", "is_current"), [(True, True), (False, False)])
def test_a_storm_of_versions_over_a_slow_connection_is_followed_closely(skips_versions, is_current):
    """Write a version of 60 KB every 0.13 s for 12 s; each must be in force within 3 s."""
    scheduler, store = FakeScheduler(), MemoryStore()
    client = SlowClient(scheduler, store)
    written_at, ages = [], []

    def write():
        value = b"%06d" % len(written_at) + b"x" * 60_000
        written_at.append(scheduler.now())
        store.append(PARTITION, "config", value, None)

    write()
    follower = KeyedFollower(
        scheduler,
        client,
        PARTITION,
        lambda changed: None,
        wait_seconds=1.0,
        pause_seconds=0.05,
        skips_versions=skips_versions,
    )
    follower.start()
    for step in range(1_600):
        if step % 13 == 0 and 200 <= step < 1_400:
            write()
        scheduler.advance(0.01)
        number = int(follower.values.get("config", b"0")[:6])
        if number + 1 < len(written_at):
            ages.append(scheduler.now() - written_at[number + 1])
    assert (max(ages) < 3.0) is is_current
    assert int(follower.values["config"][:6]) == len(written_at) - 1 or not is_current


def test_records_written_before_the_store_was_restored_are_read_again(followed_partition):
    follower, store, _, scheduler = followed_partition
    for value in (b"2", b"3", b"4"):
        store.append(PARTITION, "a", value, None)
    scheduler.advance(1.0)
    assert follower.values == {"a": b"4"}
    store.restore({PARTITION: 2})
    scheduler.advance(1.0)
    assert follower.values == {"a": b"2"}


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("written", [1, 2, 3, 4])
def test_an_offset_that_was_given_out_again_does_not_count_as_read(
    followed_partition, lost, written
):
    """Lose records, and write others at their offsets before the follower reads again."""
    follower, store, _, scheduler = followed_partition
    for key in ("b", "c", "d"):
        store.append(PARTITION, key, b"old", None)
    scheduler.advance(1.0)
    store.restore({PARTITION: lost})
    for number in range(written):
        store.append(PARTITION, f"new-{number}", b"new", None)
    scheduler.advance(1.0)
    kept = dict.fromkeys(("b", "c", "d")[: 3 - lost], b"old")
    assert follower.values == {"a": b"1"} | kept | {f"new-{n}": b"new" for n in range(written)}


def test_a_restoration_counts_as_an_outage_even_if_every_read_succeeds(followed_partition):
    follower, store, _, scheduler = followed_partition
    store.append(PARTITION, "b", b"2", None)
    scheduler.advance(1.0)
    store.restore({PARTITION: 1})
    scheduler.advance(1.0)
    assert follower.restored_at == follower.regained_at is not None
    assert not follower.is_lost


def test_two_restorations_in_a_row_are_both_noticed(followed_partition):
    follower, store, _, scheduler = followed_partition
    for number in range(2):
        store.append(PARTITION, "b", b"%d" % number, None)
        scheduler.advance(1.0)
        store.restore({PARTITION: 1})
        store.append(PARTITION, "c", b"%d" % number, None)
        scheduler.advance(1.0)
        assert follower.values["c"] == b"%d" % number


@pytest.mark.parametrize("lost_eras", [0, 1])
def test_a_store_that_ends_before_what_was_read_confirms_nothing(followed_partition, lost_eras):
    follower, store, _, scheduler = followed_partition
    for value in (b"2", b"3", b"4"):
        store.append(PARTITION, "a", value, None)
    store.era = 1
    scheduler.advance(1.0)
    confirmed_at = follower.confirmed_at
    store.restore({PARTITION: 1})
    store.era = 1 - lost_eras
    scheduler.advance(5.0)
    assert follower.is_lost and follower.confirmed_at <= confirmed_at + 0.5
    store.append(PARTITION, "a", b"5", None)
    for number in range(4):
        store.append(PARTITION, "b", b"%d" % number, None)
    store.era = 1
    scheduler.advance(3.0)
    assert follower.values == {"a": b"5", "b": b"3"} and not follower.is_lost
