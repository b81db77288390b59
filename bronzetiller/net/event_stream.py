"""Parse and format server-sent events."""

from attrs import define, field

EVENT_BYTES_MAX = 1024 * 1024
EVENT_ENDS = (b"\n\n", b"\n\r\n")  # each line may end with LF or CRLF


@define
class EventSplitter:
    """Split received bytes into events, buffering an incomplete one."""

    _buffer: bytearray = field(factory=bytearray)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the data of each event that they complete."""
        searched = max(0, len(self._buffer) - len(b"\n\r"))
        self._buffer += data
        if all(self._buffer.find(end, searched) < 0 for end in EVENT_ENDS):
            return []
        received = bytes(self._buffer)
        if b"\r" in received:
            received = received.replace(b"\r\n", b"\n")
        *events, rest = received.split(b"\n\n")
        self._buffer = bytearray(rest)
        return [found for event in events if (found := _extract_data(event)) is not None]


def _extract_data(event: bytes) -> bytes | None:
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:].lstrip(b" ")
    lines = [line[5:].lstrip(b" ") for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None


def format_event(data: bytes) -> bytes:
    """Format one event; its data must not contain a newline."""
    return b"data: " + data + b"\n\n"
