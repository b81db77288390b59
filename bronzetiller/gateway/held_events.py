"""Hold the events of a stream until the version at which it begins is recorded."""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.gateway.attempt import AttemptEvent, StreamData, StreamEnd
from bronzetiller.gateway.stream_records import StreamRecord, StreamRecords
from bronzetiller.gateway.stream_versions import find_service
from bronzetiller.net.buffer_quota import Buffer, BufferQuota
from bronzetiller.net.scheduler import Scheduler

HELD_BYTES_MAX = 64 * 1024  # of one stream, beyond what is read already; about one read
HOLD_SECONDS_MAX = 1.0  # of a first event whose stream's version is not recorded yet


@define(eq=False)
class HeldEvents:
    """Hold the events of one attempt at a time; on_expired is called if it takes too long.

    on_flow_change is called with False once enough bytes are held, and with True once none are.
    """

    _scheduler: Scheduler
    _streams: StreamRecords
    _deliver: Callable[[AttemptEvent], None]
    _on_expired: Callable[[], None]
    _on_flow_change: Callable[[bool], None]
    _quota: BufferQuota
    _stream_id: str = ""
    _tries: int = 0
    _record: StreamRecord | None = None
    _events: list[AttemptEvent] = field(factory=list)
    _bytes: int = 0
    _buffer: Buffer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._buffer = Buffer(self._give_up)

    def begin(self, stream_id: str, version: str, *, always: bool) -> None:
        """Record the version at which an attempt begins the stream."""
        self.discard()
        self._stream_id = stream_id
        self._tries += 1
        self._record = record = self._streams.record(stream_id, version, always=always)
        if record is not None:
            record.on_written = lambda: self._release(record)

    def discard(self) -> None:
        """Discard the events of an attempt that has ended."""
        self._record = None
        self._take_all()

    def withdraw(self) -> None:
        """Withdraw the attempts from the records, as none of them delivered an event."""
        self.discard()
        self._streams.withdraw(self._stream_id, self._tries)
        self._tries = 0

    def hold(self, event: AttemptEvent) -> bool:
        """Return whether an event is held; it is delivered once the record is written."""
        if self._events:
            self._append(event)
            return True
        record = self._record
        if record is None or record.written or not isinstance(event, StreamData | StreamEnd):
            return False
        if self._streams.may_deliver_unrecorded(find_service(record.version)):
            return False
        self._append(event)
        timeout = self._scheduler.create_timeout(lambda: self._expire(record))
        timeout.expire_after(HOLD_SECONDS_MAX)
        return True

    def _append(self, event: AttemptEvent) -> None:
        self._events.append(event)
        if isinstance(event, StreamData):
            was_full = self._bytes >= HELD_BYTES_MAX
            self._bytes += len(event.data)
            self._quota.resize(self._buffer, self._bytes)
            if not was_full and self._bytes >= HELD_BYTES_MAX:
                self._on_flow_change(False)

    def _take_all(self) -> list[AttemptEvent]:
        """Remove and return the held events."""
        events, self._events = self._events, []
        was_full, self._bytes = self._bytes >= HELD_BYTES_MAX, 0
        self._quota.resize(self._buffer, 0)
        if was_full:
            self._on_flow_change(True)
        return events

    def _release(self, record: StreamRecord) -> None:
        if self._record is not record:
            return
        for event in self._take_all():
            if self._record is not record:
                return
            self._deliver(event)

    def _expire(self, record: StreamRecord) -> None:
        if self._record is record and self._events:
            self._give_up()

    def _give_up(self) -> None:
        self.discard()
        self._on_expired()
