"""Bound the bytes that a process holds for others, and decide what is dropped first; no I/O.

Designed for peers that send or leave unread as much as they can on some thousand connections, most
of them from few addresses, beside ordinary callers that hold a few kilobytes each. What costs least
is dropped first: a request that was not sent to a target, and among these the largest one of the
address that holds most; then the largest response.
"""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from enum import IntEnum

from attrs import define, field

BUFFERED_BYTES_MAX = 16 * 1024 * 1024
LARGE_BYTES = 64 * 1024
LARGE_PORTION_MAX = 0.75  # of the quota for all large buffers, so that small ones find room


class Kind(IntEnum):
    """Order the kinds of buffers by which of them is dropped first."""

    REQUEST = 0
    RESPONSE = 1


@define(eq=False)
class Buffer:
    """Count the bytes of one buffer; on_dropped is called once it has to be given up.

    The group is the address for which the bytes are held, or whatever stands for it. A buffer for
    which may_drop returns False, such as a request that was sent to a target, is never dropped.
    """

    on_dropped: Callable[[], None]
    size: int = 0
    kind: Kind = Kind.RESPONSE
    group: Hashable = None
    may_drop: Callable[[], bool] = lambda: True


def choose_dropped(
    buffers: Iterable[Buffer], group_bytes: dict[Hashable, int], size_min: int = 0
) -> Buffer | None:
    """Return the buffer of at least size_min bytes to drop first, or None if all are kept."""

    def rank(buffer: Buffer) -> tuple[int, int, int]:
        held = group_bytes[buffer.group] if buffer.kind is Kind.REQUEST else 0
        return -buffer.kind, held, buffer.size

    for buffer in sorted(buffers, key=rank, reverse=True):
        if buffer.size >= size_min and buffer.may_drop():
            return buffer
    return None


@define(eq=False)
class BufferQuota:
    """Hold the buffers of a process and drop some of them beyond bytes_max."""

    bytes_max: int = BUFFERED_BYTES_MAX
    total_bytes: int = 0
    large_bytes: int = 0
    on_drop: Callable[[Buffer, int], None] = lambda buffer, size: None
    _buffers: set[Buffer] = field(factory=set)
    _group_bytes: dict[Hashable, int] = field(factory=lambda: defaultdict(int))

    def resize(self, buffer: Buffer, size: int) -> None:
        """Set the size of a buffer; drop some while there are too many bytes."""
        self._count(buffer, size)
        while self.total_bytes > self.bytes_max:
            if not self._drop(0):
                return
        while self.large_bytes > LARGE_PORTION_MAX * self.bytes_max:
            if not self._drop(LARGE_BYTES):
                return

    def _count(self, buffer: Buffer, size: int) -> None:
        change = size - buffer.size
        self.total_bytes += change
        self.large_bytes += _count_large(size) - _count_large(buffer.size)
        buffer.size = size
        self._group_bytes[buffer.group] += change
        if not self._group_bytes[buffer.group]:
            del self._group_bytes[buffer.group]
        if size:
            self._buffers.add(buffer)
        else:
            self._buffers.discard(buffer)

    def _drop(self, size_min: int) -> bool:
        """Drop one buffer; return whether there was one to drop."""
        buffer = choose_dropped(self._buffers, self._group_bytes, size_min)
        if buffer is None:
            return False
        size = buffer.size
        self._count(buffer, 0)
        self.on_drop(buffer, size)
        buffer.on_dropped()
        return True


def _count_large(size: int) -> int:
    return size if size >= LARGE_BYTES else 0
