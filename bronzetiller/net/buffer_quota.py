"""Bound the bytes that all buffers of a process hold together; no I/O.

Designed for peers that send without end on hundreds of connections: the largest buffer is dropped
first, so that ordinary responses beside them are kept.
"""

from collections.abc import Callable

from attrs import define, field

BUFFERED_BYTES_MAX = 16 * 1024 * 1024


@define(eq=False)
class Buffer:
    """Count the bytes of one buffer; on_dropped is called once it has to be given up."""

    on_dropped: Callable[[], None]
    size: int = 0


@define(eq=False)
class BufferQuota:
    """Hold the buffers of a process and drop the largest ones beyond bytes_max."""

    bytes_max: int = BUFFERED_BYTES_MAX
    total_bytes: int = 0
    _buffers: set[Buffer] = field(factory=set)

    def resize(self, buffer: Buffer, size: int) -> None:
        """Set the size of a buffer; drop the largest ones while there are too many bytes."""
        self.total_bytes += size - buffer.size
        buffer.size = size
        if size:
            self._buffers.add(buffer)
        else:
            self._buffers.discard(buffer)
        while self.total_bytes > self.bytes_max:
            largest = max(self._buffers, key=lambda item: item.size)
            self.resize(largest, 0)
            largest.on_dropped()
