"""Split the state of a stream into records below the log's size limit, and join them again.

Equal states give equal snapshots, so pieces that different nodes write for the same offset can be
combined; the digest verifies that a set of pieces is complete.
"""

import base64
import hashlib
import json
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field, fields, frozen
from cattrs import Converter

from bronzetiller.json_values import decode_json
from bronzetiller.storage.log_client import Record
from bronzetiller.wire.messages import SnapshotPiece

PIECE_CHARACTERS = 128 * 1024
SCHEMA_VERSION = 1


@frozen
class Fold:
    """Describe a state computed from a stream; dump returns it as JSON values.

    decode returns the function that restores the state from them, or raises an exception.
    """

    name: str
    dump: Callable[[], Any]
    decode: Callable[[Any], Callable[[], None]]


@frozen
class Snapshot:
    """Hold the states of a stream by name; offset is that of the next entry to apply."""

    stream: str
    offset: int
    digest: str
    states: dict[str, Any]


def replace_state(destination: Any, source: Any) -> None:
    """Copy all fields of an attrs object into another, so that references to it stay valid."""
    for attribute in fields(type(destination)):
        setattr(destination, attribute.name, getattr(source, attribute.name))


def name_snapshot_stream(stream: str) -> str:
    """Return the name of the stream that stores the snapshots of a stream."""
    return f"{stream}-snapshots"


def split_snapshot(stream: str, offset: int, folds: Iterable[Fold]) -> list[SnapshotPiece]:
    """Dump the states of a stream in pieces; keys keep the order of the dumps."""
    states = {fold.name: fold.dump() for fold in folds}
    value = {"schema": SCHEMA_VERSION, "states": states}
    data = zlib.compress(json.dumps(value, separators=(",", ":")).encode(), 6)
    digest = hashlib.sha256(data).hexdigest()
    text = base64.b85encode(data).decode()
    parts = [text[i : i + PIECE_CHARACTERS] for i in range(0, len(text), PIECE_CHARACTERS)]
    return [
        SnapshotPiece(stream, offset, index, len(parts), digest, part)
        for index, part in enumerate(parts)
    ]


def join_snapshot(pieces: list[SnapshotPiece]) -> Snapshot | None:
    """Join a set of pieces into a snapshot; return None if it is incomplete or invalid."""
    first = pieces[0]
    text = "".join(piece.data for piece in sorted(pieces, key=lambda piece: piece.piece))
    try:
        data = base64.b85decode(text)
        if hashlib.sha256(data).hexdigest() != first.digest:
            return None
        value = decode_json(zlib.decompress(data))
    except (ValueError, zlib.error):
        return None
    if value["schema"] != SCHEMA_VERSION:
        return None
    return Snapshot(first.stream, first.offset, first.digest, value["states"])


@define
class PieceCollector:
    """Collect pieces in any order and join complete sets into snapshots."""

    snapshots: list[Snapshot] = field(factory=list)
    _sets: dict[tuple[int, str], dict[int, SnapshotPiece]] = field(factory=dict)

    def add(self, piece: SnapshotPiece) -> None:
        """Add a piece; join its set into a snapshot if that is complete and the digest matches."""
        pieces = self._sets.setdefault((piece.offset, piece.digest), {})
        pieces[piece.piece] = piece
        if len(pieces) == piece.pieces:
            snapshot = join_snapshot(list(pieces.values()))
            if snapshot is not None:
                self.snapshots.append(snapshot)

    def find_newest(self) -> Snapshot | None:
        """Return the complete snapshot with the highest offset."""
        return max(self.snapshots, key=lambda snapshot: snapshot.offset, default=None)


_CONVERTER = Converter()


def dump_piece(piece: SnapshotPiece) -> Record:
    """Return a piece as a log record."""
    record: Record = _CONVERTER.unstructure(piece)
    return record


def load_piece(record: Record) -> SnapshotPiece | None:
    """Decode a piece from a log record; return None if it is malformed."""
    try:
        return _CONVERTER.structure(record, SnapshotPiece)
    except Exception:  # cattrs raises exception groups of many types for malformed input
        return None
