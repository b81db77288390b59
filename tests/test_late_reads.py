"""Test what the store's client does about responses that are late or malformed."""

import json
import struct

import pytest
from result import Err

from bronzetiller.net.address import Address
from bronzetiller.net.http_client import BodyPart, ResponseEnd, ResponseHead
from bronzetiller.platform.store import PlatformStore
from bronzetiller.storage.keyed import Partition
from tests.gateway_fakes import FakeHttp

PARTITION = Partition("keyed.test")


def test_a_read_whose_late_response_nobody_takes_does_not_go_on_filling_the_link():
    http, failures = FakeHttp(), []
    store = PlatformStore(http, Address("10.0.0.1", 80))
    store.read_from(PARTITION, 0, 0.0, failures.append)
    http.scheduler.advance(2.0)
    assert len(failures) == 1
    call = http.calls[0]
    if not call.cancelled:
        call.listener(ResponseHead(200, {}))
        call.listener(BodyPart(bytes(100_000)))
    assert call.cancelled


def test_a_read_that_failed_is_not_received_twice_at_once():
    http, done, late = FakeHttp(), [], []
    store = PlatformStore(http, Address("10.0.0.1", 80))
    for _ in range(2):
        store.read_newest(PARTITION, done.append, late.append)
        http.scheduler.advance(2.0)
    for call in http.calls:
        if not call.cancelled:
            call.listener(ResponseHead(200, {}))
            call.listener(BodyPart(b'{"items": ['))
    assert sum(not call.cancelled for call in http.calls) <= 1


@pytest.fixture
def read_pages():
    """Return a function that reads from a store that sends the same body for each call."""

    def read(start, body):
        http, done = FakeHttp(), []
        start(PlatformStore(http, Address("10.0.0.1", 80)), done.append)
        answered = 0
        while answered < len(http.calls) <= 10:
            call = http.calls[answered]
            answered += 1
            for event in (ResponseHead(200, {}), BodyPart(body), ResponseEnd()):
                call.listener(event)
        return done, answered

    return read


def test_a_page_that_repeats_the_last_key_is_not_requested_for_ever(read_pages):
    item = {"key": "a", "value": "", "offset": 1}
    body = json.dumps({"items": [item], "end": 2, "more_pages": True}).encode()
    done, answered = read_pages(lambda store, finish: store.read_newest(PARTITION, finish), body)
    assert answered == 2 and len(done) == 1 and isinstance(done[0], Err)


def test_a_response_without_records_before_the_end_does_not_ask_for_another_read(read_pages):
    body = struct.pack(">QQ", 9, 0)
    done, _ = read_pages(lambda store, finish: store.read_from(PARTITION, 3, 0.0, finish), body)
    assert len(done) == 1 and isinstance(done[0], Err)


def test_a_late_read_of_one_partition_does_not_end_those_of_others():
    http, failures = FakeHttp(), []
    store = PlatformStore(http, Address("10.0.0.1", 80))
    for number in range(4):
        store.read_newest(Partition("keyed.test", number), failures.append, lambda batch: None)
    http.scheduler.advance(2.0)
    assert len(failures) == 4 and not any(call.cancelled for call in http.calls)
    http.calls[0].listener(ResponseHead(200, {}))
    assert not any(call.cancelled for call in http.calls)
