"""Parse and format server-sent events."""

from attrs import define

EVENT_BYTES_MAX = 1024 * 1024


@define
class EventSplitter:
    """Split received bytes into events, buffering an incomplete one."""

    _buffer: bytes = b""

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the data of each event that they complete."""
        data = self._buffer + data if self._buffer else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._buffer = data.split(b"\n\n")
        return [found for event in events if (found := _extract_data(event)) is not None]


def _extract_data(event: bytes) -> bytes | None:
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:].lstrip(b" ")
    lines = [line[5:].lstrip(b" ") for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None


def format_event(data: bytes) -> bytes:
    """Format one event; its data must not contain a newline."""
    return b"data: " + data + b"\n\n"
