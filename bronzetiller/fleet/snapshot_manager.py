"""Load each stream from a snapshot and write new snapshots before the log expires their records.

Any node may write a snapshot. When one is due, the node that ranks first writes it and each
further rank waits a little longer, so one node writes for all and an absent node blocks nothing.
"""

import time
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.fleet.relay import choose_source
from bronzetiller.fleet.snapshot_reader import SearchResult, SnapshotSearch, SnapshotTransfer
from bronzetiller.logs import log_event
from bronzetiller.metrics import SNAPSHOTS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import LogClient, LogFailure
from bronzetiller.storage.snapshots import (
    Fold,
    Snapshot,
    dump_piece,
    name_snapshot_stream,
    split_snapshot,
)
from bronzetiller.structure import summarize_error
from bronzetiller.sync.backoff import Backoff
from bronzetiller.wire.messages import (
    FetchSnapshot,
    Heartbeat,
    NoSnapshot,
    SnapshotMark,
    SnapshotPiece,
)

CHECK_INTERVAL_SECONDS = 0.5
RETRY_SECONDS_MIN = 0.5
RETRY_SECONDS_MAX = 4.0
DUMP_SHARED_SECONDS = 5.0  # during which peers that start a transfer get the same dump
DUMP_KEPT_SECONDS = 30.0  # after its last use
NO_MARK = SnapshotMark(0, 0.0)


@define(eq=False)
class _Dump:
    """Hold a dump of a stream's state for the peers that are fetching it (seconds, monotonic)."""

    pieces: list[SnapshotPiece]
    shared_until: float
    kept_until: float


@define(eq=False)
class _SnapshottedStream:
    follower: StreamFollower
    folds: list[Fold]
    newest: SnapshotMark
    due_since: float | None = None
    started: bool = False
    loading: bool = False
    writing: bool = False
    dumps: list[_Dump] = field(factory=list)
    backoff: Backoff = field(factory=lambda: Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX))


def is_snapshot_due(
    mark: SnapshotMark, next_offset: int, now: float, *, records_max: int, age_seconds_max: float
) -> bool:
    """Return whether the newest snapshot of a stream is too old, by records or by seconds."""
    if next_offset == 0:
        return False
    return next_offset - mark.offset >= records_max or now - mark.at >= age_seconds_max


@define(eq=False)
class SnapshotManager:
    """Load, write and serve snapshots of all streams that the node follows."""

    _scheduler: Scheduler
    _log: LogClient
    _peers: Peers
    _membership: Membership
    _settings: Settings
    _make_heartbeat: Callable[[], Heartbeat]
    _streams: dict[str, _SnapshottedStream] = field(factory=dict)
    _load_listeners: list[Callable[[str], None]] = field(factory=list)

    def add(self, follower: StreamFollower, folds: list[Fold]) -> None:
        """Manage snapshots of a stream; load its states in the given order."""
        initial_mark = SnapshotMark(0, time.time())
        stream = self._streams[follower.stream] = _SnapshottedStream(follower, folds, initial_mark)
        follower.on_expired = lambda first_offset: self._on_expired(stream, first_offset)

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call the listener with the stream name after a snapshot replaced unread entries."""
        self._load_listeners.append(listener)

    def start(self) -> None:
        """Load the newest snapshot of each stream, then follow the stream."""
        self._peers.on(FetchSnapshot, self._on_fetch)
        for stream in self._streams.values():
            self._load(stream)
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def marks(self) -> dict[str, SnapshotMark]:
        """Return the newest known snapshot of each stream that has one."""
        return {name: item.newest for name, item in self._streams.items() if item.newest.offset}

    def _on_expired(self, stream: _SnapshottedStream, first_offset: int) -> None:
        log_event("records_expired", level=30, stream=stream.follower.stream, first=first_offset)
        self._load(stream)

    def _load(self, stream: _SnapshottedStream) -> None:
        if stream.loading:
            return
        stream.loading = True

        def finish(result: Result[SearchResult, LogFailure]) -> None:
            match result:
                case Ok(found) if self._apply_found(stream, found) or not stream.started:
                    self._finish_loading(stream)
                case _:
                    self._load_from_peer(stream)

        SnapshotSearch(self._scheduler, self._log, stream.follower.stream, finish).start()

    def _apply_found(self, stream: _SnapshottedStream, found: SearchResult) -> bool:
        if found.snapshot is None:
            return False
        self._record_mark(stream, SnapshotMark(found.snapshot.offset, found.at))
        return self._apply(stream, found.snapshot)

    def _load_from_peer(self, stream: _SnapshottedStream) -> None:
        node_id = self._choose_peer(stream.follower)
        if node_id is None:
            self._retry(stream)
            return

        def finish(snapshot: Snapshot | None) -> None:
            if snapshot is None:
                self._retry(stream)
                return
            self._apply(stream, snapshot)
            self._finish_loading(stream)

        SnapshotTransfer(
            self._scheduler, self._peers, node_id, stream.follower.stream, finish
        ).start()

    def _choose_peer(self, follower: StreamFollower) -> str | None:
        connected = set(self._peers.connected())
        ready = {
            node_id: peer
            for node_id, peer in self._membership.live().items()
            if node_id in connected and peer.ready
        }
        return choose_source(
            self._make_heartbeat(), ready, follower.stream, follower.next_offset, far=True
        )

    def _retry(self, stream: _SnapshottedStream) -> None:
        stream.loading = False
        if stream.started:
            return
        self._scheduler.call_after(stream.backoff.next_seconds(), lambda: self._load(stream))

    def _finish_loading(self, stream: _SnapshottedStream) -> None:
        stream.loading = False
        stream.backoff.reset()
        if not stream.started:
            stream.started = True
            stream.follower.start()

    def _apply(self, stream: _SnapshottedStream, snapshot: Snapshot) -> bool:
        """Load a snapshot that is complete, newer and readable; return whether it was loaded."""
        follower = stream.follower
        missing = [fold.name for fold in stream.folds if fold.name not in snapshot.states]
        if missing or snapshot.offset <= follower.next_offset:
            SNAPSHOTS.labels("skipped").inc()
            return False
        try:
            restorers = [fold.decode(snapshot.states[fold.name]) for fold in stream.folds]
        except Exception as error:  # cattrs raises many types of exception for malformed input
            SNAPSHOTS.labels("skipped").inc()
            reason = summarize_error(error)
            log_event("snapshot_unread", level=30, stream=follower.stream, reason=reason)
            return False
        for restore in restorers:
            restore()
        follower.restart_at(snapshot.offset)
        SNAPSHOTS.labels("loaded").inc()
        log_event("snapshot_loaded", stream=follower.stream, offset=snapshot.offset)
        for listener in self._load_listeners:
            listener(follower.stream)
        return True

    def _record_mark(self, stream: _SnapshottedStream, mark: SnapshotMark) -> None:
        if (mark.offset, mark.at) > (stream.newest.offset, stream.newest.at):
            stream.newest = mark

    def _check(self) -> None:
        peers = self._membership.live().values()
        for name, stream in self._streams.items():
            for peer in peers:
                self._record_mark(stream, peer.snapshots.get(name, NO_MARK))
            self._check_stream(stream)

    def _check_stream(self, stream: _SnapshottedStream) -> None:
        settings = self._settings.snapshots
        follower = stream.follower
        due = is_snapshot_due(
            stream.newest,
            follower.next_offset,
            time.time(),
            records_max=settings.records_max,
            age_seconds_max=settings.age_seconds_max,
        )
        if not due or not follower.caught_up or stream.writing:
            stream.due_since = None
            return
        now = self._scheduler.now()
        if stream.due_since is None:
            stream.due_since = now
        rank = self._membership.rank(f"snapshot/{follower.stream}")
        delay = rank * settings.rank_delay_seconds
        if now - stream.due_since >= delay:
            self._write(stream)

    def _write(self, stream: _SnapshottedStream) -> None:
        follower = stream.follower
        pieces = split_snapshot(follower.stream, follower.next_offset, stream.folds)
        stream.writing = True
        self._append(stream, pieces, 0)

    def _append(self, stream: _SnapshottedStream, pieces: list[SnapshotPiece], index: int) -> None:
        def finish(result: Result[int, LogFailure]) -> None:
            match result:
                case Ok(_) if index + 1 < len(pieces):
                    self._append(stream, pieces, index + 1)
                case Ok(_):
                    self._finish_writing(stream, pieces)
                case Err(failure):
                    stream.writing = False
                    SNAPSHOTS.labels("write_failed").inc()
                    log_event("snapshot_not_written", level=30, cause=failure.cause)

        name = name_snapshot_stream(stream.follower.stream)
        self._log.append(name, [dump_piece(pieces[index])], finish)

    def _finish_writing(self, stream: _SnapshottedStream, pieces: list[SnapshotPiece]) -> None:
        stream.writing = False
        self._record_mark(stream, SnapshotMark(pieces[0].offset, time.time()))
        SNAPSHOTS.labels("written").inc()
        log_event(
            "snapshot_written",
            stream=stream.follower.stream,
            offset=pieces[0].offset,
            pieces=len(pieces),
            characters=sum(len(piece.data) for piece in pieces),
        )

    def _on_fetch(self, request: FetchSnapshot, reply: Reply) -> None:
        stream = self._streams.get(request.stream)
        if stream is None or not stream.follower.next_offset:
            reply(NoSnapshot())
            return
        dump = self._find_dump(stream, request.offset)
        if dump is None or request.piece >= len(dump.pieces):
            reply(NoSnapshot())
            return
        dump.kept_until = self._scheduler.now() + DUMP_KEPT_SECONDS
        reply(dump.pieces[request.piece])

    def _find_dump(self, stream: _SnapshottedStream, offset: int | None) -> _Dump | None:
        """Return the dump at an offset if it is kept; without one, a recent or a new dump."""
        now = self._scheduler.now()
        stream.dumps = [dump for dump in stream.dumps if dump.kept_until > now]
        for dump in stream.dumps:
            if dump.pieces[0].offset == offset or (offset is None and dump.shared_until > now):
                return dump
        if offset is not None:
            return None
        follower = stream.follower
        pieces = split_snapshot(follower.stream, follower.next_offset, stream.folds)
        dump = _Dump(pieces, now + DUMP_SHARED_SECONDS, now + DUMP_KEPT_SECONDS)
        stream.dumps.append(dump)
        self._scheduler.call_after(DUMP_KEPT_SECONDS, lambda: self._drop_dumps(stream))
        return dump

    def _drop_dumps(self, stream: _SnapshottedStream) -> None:
        now = self._scheduler.now()
        stream.dumps = [dump for dump in stream.dumps if dump.kept_until > now]
        if stream.dumps:
            self._scheduler.call_after(DUMP_KEPT_SECONDS, lambda: self._drop_dumps(stream))
