"""Test following a partition of a keyed store through outages and expired history."""

import pytest

from bronzetiller.storage.keyed import Partition
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
    assert follower.values == {"a": b"3"} and follower.offset == 4


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
