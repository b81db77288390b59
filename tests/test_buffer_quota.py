"""Test that the buffers of a process are bounded together; no network."""

from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from bronzetiller.net.buffer_quota import LARGE_BYTES, Buffer, BufferQuota, Kind

BYTES_MAX = 1_000


def test_the_largest_buffer_is_dropped_first():
    dropped = []
    quota = BufferQuota(BYTES_MAX)
    buffers = {size: Buffer(lambda size=size: dropped.append(size)) for size in (100, 600, 200)}
    for size, buffer in buffers.items():
        quota.resize(buffer, size)
    assert not dropped
    quota.resize(buffers[100], 201)
    assert dropped == [600] and quota.total_bytes == 401


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2 * BYTES_MAX)), max_size=50))
def test_the_buffers_never_hold_more_than_their_quota(sizes):
    quota = BufferQuota(BYTES_MAX)
    buffers = [Buffer(lambda: None) for _ in range(10)]
    for index, size in sizes:
        quota.resize(buffers[index], size)
        assert quota.total_bytes == sum(item.size for item in buffers) <= BYTES_MAX


def make_request(dropped, name, group=None, may_drop=True):
    on_dropped = partial(dropped.append, name)
    return Buffer(on_dropped, kind=Kind.REQUEST, group=group, may_drop=lambda: may_drop)


def test_a_caller_that_holds_much_is_refused_before_one_that_holds_little():
    dropped = []
    quota = BufferQuota(BYTES_MAX)
    for _ in range(5):
        quota.resize(make_request(dropped, "greedy", "10.0.0.1"), 150)
    quota.resize(make_request(dropped, "modest", "10.0.0.2"), 200)
    assert not dropped
    quota.resize(make_request(dropped, "modest", "10.0.0.3"), 100)
    assert dropped == ["greedy"]


def test_a_peer_is_not_refused_for_the_sum_of_what_it_forwards():
    """Each of a peer's connections is a group of its own."""
    dropped = []
    quota = BufferQuota(BYTES_MAX)
    for number in range(6):
        quota.resize(make_request(dropped, "forwarded", number), 100)
    quota.resize(make_request(dropped, "greedy", "10.0.0.1"), 350)
    quota.resize(make_request(dropped, "forwarded", 6), 100)
    assert dropped == ["greedy"]


def test_a_request_that_was_sent_is_kept_and_a_response_is_dropped_after_all_requests():
    dropped = []
    quota = BufferQuota(BYTES_MAX)
    quota.resize(make_request(dropped, "sent", "10.0.0.1", may_drop=False), 600)
    quota.resize(Buffer(lambda: dropped.append("response")), 300)
    waiting = make_request(dropped, "waiting", "10.0.0.2")
    quota.resize(waiting, 90)
    quota.resize(make_request(dropped, "newcomer", "10.0.0.3"), 95)
    assert dropped == ["newcomer"]
    quota.resize(waiting, 0)
    quota.resize(Buffer(lambda: dropped.append("small response")), 150)
    assert dropped == ["newcomer", "response"]


def test_small_requests_find_room_while_large_ones_fill_their_portion():
    dropped = []
    quota = BufferQuota(100 * LARGE_BYTES)
    for _ in range(200):
        quota.resize(make_request(dropped, "large", "10.0.0.1"), LARGE_BYTES)
    assert dropped == 125 * ["large"]
    quota.resize(make_request(dropped, "small", "10.0.0.1"), LARGE_BYTES - 1)
    assert "small" not in dropped
