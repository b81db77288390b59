"""Split a stream of server-sent events."""

from attrs import define

EVENT_BYTES_MAX = 1024 * 1024


@define
class EventSplitter:
    """Collect the data of events until each is whole."""

    _buffer: bytes = b""

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of the event that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Take received bytes; return the data of each event that is now whole."""
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
    """Return one event carrying the data, which holds no newline."""
    return b"data: " + data + b"\n\n"
