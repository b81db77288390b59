"""Fetch the newest complete snapshot of a stream, from the log or from a peer."""

from collections.abc import Callable

from attrs import define, field, frozen
from result import Err, Ok, Result

from bronzetiller.fleet.patient_request import request_patiently
from bronzetiller.fleet.peers import Peers
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.log_client import LogClient, LogFailure, Page
from bronzetiller.storage.snapshots import (
    PieceCollector,
    Snapshot,
    join_snapshot,
    load_piece,
    name_snapshot_stream,
)
from bronzetiller.sync.backoff import Backoff
from bronzetiller.wire.messages import FetchSnapshot, Message, SnapshotPiece

WINDOW_RECORDS = 8
PIECE_SILENCE_SECONDS = 5.0
PIECE_SECONDS_MAX = 30.0
RETRY_SECONDS_MIN = 0.2
RETRY_SECONDS_MAX = 2.0
RETRIES_MAX = 4  # of one page or piece in a row


@frozen
class SearchResult:
    """Hold the newest snapshot in the log, if any, and its time (seconds, Unix)."""

    snapshot: Snapshot | None
    at: float


SearchDone = Callable[[Result[SearchResult, LogFailure]], None]
TransferDone = Callable[[Snapshot | None], None]


@define(eq=False)
class SnapshotSearch:
    """Read a snapshot stream backwards from its end until a snapshot is complete.

    A page that fails is read again, up to RETRIES_MAX times, except for the first one: a log that
    does not respond at all is left to the caller.
    """

    _scheduler: Scheduler
    _log: LogClient
    _stream: str
    _done: SearchDone
    _collector: PieceCollector = field(factory=PieceCollector)
    _at: float = 0.0
    _backoff: Backoff = field(factory=lambda: Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX))

    def start(self, from_offset: int = 0) -> None:
        """Find the offset range of the stream, then read it."""

        def handle_page(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page):
                    self._read_window(page.first_offset, page.end_offset)
                case Err(failure) if failure.first_offset is not None:
                    self.start(failure.first_offset)
                case Err(failure):
                    self._done(Err(failure))

        self._read(from_offset, 1, handle_page, retries_max=0)

    def _read_window(self, first_offset: int, end_offset: int) -> None:
        start = max(first_offset, end_offset - WINDOW_RECORDS)
        if start >= end_offset:
            self._done(Ok(SearchResult(None, self._at)))
            return

        def handle_page(result: Result[Page, LogFailure]) -> None:
            match result:
                case Ok(page):
                    self._collect_pieces(page)
                    newest = self._collector.find_newest()
                    if newest is not None:
                        self._done(Ok(SearchResult(newest, self._at)))
                        return
                    self._read_window(page.first_offset, start)
                case Err(failure) if failure.first_offset is not None:
                    self.start(failure.first_offset)
                case Err(failure):
                    self._done(Err(failure))

        self._read(start, end_offset - start, handle_page)

    def _collect_pieces(self, page: Page) -> None:
        for entry in page.entries:
            piece = load_piece(entry.record)
            if piece is not None:
                self._collector.add(piece)
                self._at = max(self._at, entry.at)

    def _read(
        self,
        offset: int,
        records: int,
        handle_page: Callable[[Result[Page, LogFailure]], None],
        *,
        retries_max: int = RETRIES_MAX,
    ) -> None:
        stream = name_snapshot_stream(self._stream)
        finished = False

        def finish(result: Result[Page, LogFailure]) -> None:
            nonlocal finished
            if not finished:
                finished = True
                self._backoff.reset()
                handle_page(result)

        def handle_result(result: Result[Page, LogFailure]) -> None:
            match result:
                case Err(LogFailure(first_offset=None)) if self._backoff.failures < retries_max:
                    self._scheduler.call_after(self._backoff.next_seconds(), read_again)
                case _:
                    finish(result)

        def read_again() -> None:
            if not finished:
                read()

        def read() -> None:
            self._log.read(
                stream,
                offset,
                handle_result,
                wait_seconds=0.0,
                records_max=records,
                on_late_page=lambda page: finish(Ok(page)),
            )

        read()


@define(eq=False)
class SnapshotTransfer:
    """Fetch the current state of a stream from a peer, piece by piece.

    A piece that was lost is requested again, up to RETRIES_MAX times in a row.
    """

    _scheduler: Scheduler
    _peers: Peers
    _node_id: str
    _stream: str
    _done: TransferDone
    _pieces: list[SnapshotPiece] = field(factory=list)
    _backoff: Backoff = field(factory=lambda: Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX))

    def start(self) -> None:
        """Request the first piece."""
        self._request_piece()

    def _request_piece(self) -> None:
        offset = self._pieces[0].offset if self._pieces else None
        request_patiently(
            self._scheduler,
            self._peers,
            self._node_id,
            FetchSnapshot(self._stream, len(self._pieces), offset),
            self._handle_response,
            silence_seconds=PIECE_SILENCE_SECONDS,
            seconds_max=PIECE_SECONDS_MAX,
        )

    def _handle_response(self, result: Result[Message, str]) -> None:
        match result:
            case Ok(SnapshotPiece() as piece) if piece.piece == len(self._pieces):
                self._backoff.reset()
                self._pieces.append(piece)
            case Err(_) if self._pieces and self._backoff.failures < RETRIES_MAX:
                self._scheduler.call_after(self._backoff.next_seconds(), self._request_piece)
                return
            case _:
                self._done(None)
                return
        if len(self._pieces) == piece.pieces:
            self._done(join_snapshot(self._pieces))
            return
        self._request_piece()
