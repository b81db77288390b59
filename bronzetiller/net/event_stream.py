"""Split a stream of server-sent events."""

from attrs import define

EVENT_BYTES_MAX = 1024 * 1024


@define
class EventSplitter:
    """Collect the data of events until each is whole."""

    _rest: bytes = b""

    @property
    def rest_bytes(self) -> int:
        """Return the bytes of the event that is not whole yet."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Take received bytes; return the data of each event that is now whole."""
        data = self._rest + data if self._rest else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._rest = data.split(b"\n\n")
        return [found for event in events if (found := _read_data(event)) is not None]


def _read_data(event: bytes) -> bytes | None:
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:].lstrip(b" ")
    lines = [line[5:].lstrip(b" ") for line in event.split(b"\n") if line.startswith(b"data:")]
    return b"\n".join(lines) if lines else None


def format_event(data: bytes) -> bytes:
    """Return one event carrying the data, which holds no newline."""
    return b"data: " + data + b"\n\n"
