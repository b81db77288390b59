"""Fetch the newest complete snapshot of a stream, from the log or from a peer."""

from collections.abc import Callable

from attrs import define, field, frozen
from result import Err, Ok, Result

from bronzetiller.fleet.peers import Peers
from bronzetiller.storage.log_client import LogClient, LogFailure, Page
from bronzetiller.storage.snapshots import (
    PieceCollector,
    Snapshot,
    join_snapshot,
    load_piece,
    name_snapshot_stream,
)
from bronzetiller.wire.messages import FetchSnapshot, Message, SnapshotPiece

WINDOW_RECORDS = 8
PIECE_TIMEOUT_SECONDS = 5.0


@frozen
class SearchResult:
    """Hold the newest snapshot in the log, if any, and its time (seconds, Unix)."""

    snapshot: Snapshot | None
    at: float


SearchDone = Callable[[Result[SearchResult, LogFailure]], None]
TransferDone = Callable[[Snapshot | None], None]


@define(eq=False)
class SnapshotSearch:
    """Read a snapshot stream backwards from its end until a snapshot is complete."""

    _log: LogClient
    _stream: str
    _done: SearchDone
    _collector: PieceCollector = field(factory=PieceCollector)
    _at: float = 0.0

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

        self._read(from_offset, 1, handle_page)

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
        self, offset: int, records: int, handle_page: Callable[[Result[Page, LogFailure]], None]
    ) -> None:
        stream = name_snapshot_stream(self._stream)
        self._log.read(stream, offset, handle_page, wait_seconds=0.0, records_max=records)


@define(eq=False)
class SnapshotTransfer:
    """Fetch the current state of a stream from a peer, piece by piece."""

    _peers: Peers
    _node_id: str
    _stream: str
    _done: TransferDone
    _pieces: list[SnapshotPiece] = field(factory=list)

    def start(self) -> None:
        """Request the first piece."""
        self._request_piece(FetchSnapshot(self._stream, 0))

    def _request_piece(self, request: FetchSnapshot) -> None:
        self._peers.request(self._node_id, request, PIECE_TIMEOUT_SECONDS, self._handle_response)

    def _handle_response(self, result: Result[Message, str]) -> None:
        match result:
            case Ok(SnapshotPiece() as piece) if piece.piece == len(self._pieces):
                self._pieces.append(piece)
            case _:
                self._done(None)
                return
        if len(self._pieces) == piece.pieces:
            self._done(join_snapshot(self._pieces))
            return
        self._request_piece(FetchSnapshot(self._stream, len(self._pieces), piece.offset))
