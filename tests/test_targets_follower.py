"""Test how target registrations are followed through outages of the store."""

import pytest

from bronzetiller.gateway.followers import TargetsFollower
from bronzetiller.gateway.targets import TargetPool
from bronzetiller.platform.topics import REGISTRATIONS_TOPIC
from bronzetiller.storage.keyed import Partition
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from standins.path_engine import make_registration
from tests.gateway_fakes import FakeStoreClient

PARTITION = Partition(REGISTRATIONS_TOPIC)
DRAIN_SECONDS = 3.0  # by requirement, a target that left gets no new requests after this


@pytest.fixture
def followed_target():
    """Follow one registered target; return the pool, the store, its client and the scheduler."""
    scheduler, store, pool = FakeScheduler(), MemoryStore(), TargetPool()
    client = FakeStoreClient(scheduler, store)
    register(store)
    follower = TargetsFollower(scheduler, client, pool)
    follower.follower.start()
    scheduler.advance(1.0)
    assert pool.list_targets("namegen")
    return pool, store, client, scheduler


def register(store):
    value = make_registration("e1", "namegen", "10.0.0.1:8000", "a")
    store.append(PARTITION, "e1", value, None)


def remove(store):
    store.append(PARTITION, "e1", None, None)


def lose_store(client, scheduler):
    client.mode = "down"
    scheduler.advance(4.0)
    client.mode = "up"


def test_a_removed_target_gets_no_requests_after_the_next_read(followed_target):
    pool, store, _, scheduler = followed_target
    remove(store)
    scheduler.advance(0.6)
    assert not pool.list_targets("namegen")


@pytest.mark.parametrize("delay", [0.0, 0.5, 1.0, 1.9, 2.5, 4.0])
def test_a_target_removed_after_an_outage_gets_no_requests_past_the_limit(followed_target, delay):
    pool, store, client, scheduler = followed_target
    lose_store(client, scheduler)
    scheduler.advance(1.0 + delay)  # the store is read again within the first second
    remove(store)
    scheduler.advance(DRAIN_SECONDS - 0.1)
    assert not pool.list_targets("namegen")


def test_a_registration_that_expired_in_an_outage_can_be_renewed(followed_target):
    pool, store, client, scheduler = followed_target
    target = pool.targets["e1"]
    client.mode = "down"
    scheduler.advance(3.0)
    remove(store)
    client.mode = "up"
    scheduler.advance(1.5)
    assert pool.list_targets("namegen")
    register(store)
    scheduler.advance(5.0)
    assert pool.targets["e1"] is target


def test_a_target_whose_registration_is_not_renewed_is_removed(followed_target):
    pool, store, client, scheduler = followed_target
    client.mode = "down"
    scheduler.advance(3.0)
    remove(store)
    client.mode = "up"
    scheduler.advance(4.5)
    assert "e1" not in pool.targets


def beat(store, heartbeat, **fields):
    value = make_registration("e1", "namegen", "10.0.0.1:8000", "a", sequence=heartbeat, **fields)
    store.append(PARTITION, "e1", value, None)


def test_a_registration_that_the_store_lost_is_kept_until_it_is_written_again(followed_target):
    pool, store, _, scheduler = followed_target
    store.restore({PARTITION: 1})
    for _ in range(9):
        scheduler.advance(0.2)
        assert pool.list_targets("namegen")
    beat(store, 3)
    scheduler.advance(10.0)
    assert pool.list_targets("namegen")


def test_a_registration_that_stays_lost_is_removed(followed_target):
    pool, store, _, scheduler = followed_target
    store.restore({PARTITION: 1})
    scheduler.advance(DRAIN_SECONDS)
    assert not pool.list_targets("namegen")


def test_a_target_that_was_leaving_is_not_used_again_after_a_restoration(followed_target):
    pool, store, _, scheduler = followed_target
    beat(store, 2, state="draining")
    scheduler.advance(1.0)
    store.restore({PARTITION: 1})
    scheduler.advance(1.0)
    assert not pool.list_targets("namegen")
    beat(store, 3, state="draining")
    scheduler.advance(10.0)
    assert not pool.list_targets("namegen")


def test_a_target_that_was_gone_is_not_used_again_after_a_restoration(followed_target):
    pool, store, _, scheduler = followed_target
    remove(store)
    scheduler.advance(1.0)
    store.restore({PARTITION: 1})
    scheduler.advance(3.0)
    assert not pool.list_targets("namegen")
    remove(store)
    scheduler.advance(10.0)
    assert not pool.list_targets("namegen")


def test_a_target_that_returns_after_a_restoration_is_used_at_its_next_heartbeat(followed_target):
    pool, store, _, scheduler = followed_target
    remove(store)
    scheduler.advance(1.0)
    store.restore({PARTITION: 1})
    scheduler.advance(0.6)
    beat(store, 2)
    scheduler.advance(0.6)
    assert pool.list_targets("namegen")
