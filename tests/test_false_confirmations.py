"""Test what a follower of the store takes for a proof that it holds the newest records."""

import struct
import time

import pytest
from result import Err, Ok

from bronzetiller.net.address import Address
from bronzetiller.net.http_client import BodyPart, ResponseEnd, ResponseHead
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.store import PlatformStore
from bronzetiller.storage.keyed import HistoryExpired, Partition
from standins.keyed_store import LENGTH
from tests.gateway_fakes import FakeHttp

PARTITION = Partition("keyed.test")
HEADER = struct.Struct(">QQ")


def test_the_time_that_a_vm_was_suspended_counts(monkeypatch):
    clocks = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 100.0}
    monkeypatch.setattr(time, "clock_gettime", clocks.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: clocks[time.CLOCK_MONOTONIC])
    scheduler, ran = Scheduler(), []
    confirmed_at = scheduler.now()
    scheduler.call_after(5.0, lambda: ran.append("due"))
    clocks[time.CLOCK_BOOTTIME] += 6.0
    scheduler._run_due()
    assert scheduler.now() - confirmed_at == pytest.approx(6.0) and ran == ["due"]


@pytest.fixture
def read_store():
    """Return a function that reads from offset 5 and returns the result for a response's body."""

    def read(body):
        http, done = FakeHttp(), []
        store = PlatformStore(http, Address("10.0.0.1", 80))
        store.read_from(PARTITION, 5, 1.0, done.append)
        call = http.calls[0]
        for event in (ResponseHead(200, {}), BodyPart(body), ResponseEnd()):
            call.listener(event)
        return done[0]

    return read


@pytest.mark.parametrize(("end", "first"), [(10, 10), (10, 8), (6, 6), (4, 0)])
def test_records_that_were_deleted_before_they_were_read_do_not_count_as_read(
    read_store, end, first
):
    records = b"".join(LENGTH.pack(3) + b"\x01kv" for _ in range(first, end))
    result = read_store(HEADER.pack(end, first) + records)
    assert isinstance(result, Err) and isinstance(result.err_value, HistoryExpired)


def test_a_read_without_new_records_is_not_taken_for_expired_history(read_store):
    result = read_store(HEADER.pack(5, 5))
    assert isinstance(result, Ok) and result.ok_value.end == 5 and not result.ok_value.has_more
