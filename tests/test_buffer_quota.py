"""Test that the buffers of a process are bounded together; no network."""

from hypothesis import given
from hypothesis import strategies as st

from bronzetiller.net.buffer_quota import Buffer, BufferQuota

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
