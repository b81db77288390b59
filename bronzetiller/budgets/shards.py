"""Follow and write the ledger streams of all shards."""

import hashlib
import json
from collections.abc import Callable

from attrs import frozen
from result import Err, Ok

from bronzetiller.budgets.ledger import ApplyResult, Ledger, Verdict, dump_ledger, load_ledger
from bronzetiller.budgets.records import (
    Claim,
    LedgerRecord,
    Outcome,
    dump_ledger_record,
    load_ledger_record,
)
from bronzetiller.logs import log_event
from bronzetiller.metrics import RULINGS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.requests.claims import (
    ClaimRecord,
    Claims,
    ClaimVerdict,
    dump_claims,
    load_claims,
)
from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import Entry, LogClient
from bronzetiller.storage.snapshots import Fold, replace_state
from bronzetiller.storage.writer import AcknowledgedCallback, StreamWriter

ClaimListener = Callable[[Entry, ClaimRecord, ClaimVerdict], None]
LAG_RECORDS_MAX = 500

ResultListener = Callable[[Entry, LedgerRecord, ApplyResult], None]


def compute_shard_index(workspace: str, shards: int) -> int:
    """Return the shard of a workspace, the same on every node."""
    digest = hashlib.sha256(workspace.encode()).digest()
    return int.from_bytes(digest[:8], "big") % shards


def make_stream_name(shard: int) -> str:
    """Return the name of a shard's stream in the log."""
    return f"ledger-{shard}"


@frozen
class Shard:
    """Hold one shard's follower, writer and folded state."""

    follower: StreamFollower
    writer: StreamWriter
    ledger: Ledger
    claims: Claims

    @property
    def is_log_reachable(self) -> bool:
        """Say whether the last read and the last append of the stream succeeded."""
        return self.follower.reachable and self.writer.reachable

    @property
    def is_current(self) -> bool:
        """Say whether the ledger is as the log has it, but for what is being read just now."""
        lag = self.follower.end_offset - self.follower.next_offset
        reachable = self.follower.reachable and self.writer.reachable
        return reachable and self.follower.complete and lag <= LAG_RECORDS_MAX

    def make_folds(self) -> list[Fold]:
        """Return the states folded from the stream, for its snapshots."""
        return [
            Fold(
                "ledger",
                lambda: dump_ledger(self.ledger),
                lambda value: replace_state(self.ledger, load_ledger(value)),
            ),
            Fold(
                "claims",
                lambda: dump_claims(self.claims),
                lambda value: replace_state(self.claims, load_claims(value)),
            ),
        ]


class Shards:
    """Give each workspace the shard that keeps its budget."""

    def __init__(
        self, scheduler: Scheduler, log: LogClient, count: int, *, append_interval_seconds: float
    ) -> None:
        self._listeners: list[ResultListener] = []
        self._claim_listeners: list[ClaimListener] = []
        self._shards = [
            self._make_shard(scheduler, log, index, append_interval_seconds)
            for index in range(count)
        ]

    @property
    def all(self) -> list[Shard]:
        """Return every shard."""
        return self._shards

    def find(self, workspace: str) -> Shard:
        """Return the shard of a workspace."""
        return self._shards[compute_shard_index(workspace, len(self._shards))]

    def subscribe(self, listener: ResultListener) -> None:
        """Call the listener with each record and the ruling on it."""
        self._listeners.append(listener)

    def subscribe_claims(self, listener: ClaimListener) -> None:
        """Call the listener with each claim and outcome and the verdict on it."""
        self._claim_listeners.append(listener)

    def append(
        self, record: LedgerRecord, acknowledged: AcknowledgedCallback | None = None
    ) -> None:
        """Append a record to the shard of its workspace, repeating it until the log confirms."""
        self.find(record.workspace).writer.append(dump_ledger_record(record), acknowledged)

    def _make_shard(
        self, scheduler: Scheduler, log: LogClient, index: int, interval_seconds: float
    ) -> Shard:
        stream = make_stream_name(index)
        ledger = Ledger()
        claims = Claims()
        follower = StreamFollower(scheduler, log, stream)
        follower.subscribe(lambda entry: self._apply(ledger, claims, entry))
        writer = StreamWriter(scheduler, log, stream, interval_seconds=interval_seconds)
        return Shard(follower, writer, ledger, claims)

    def _apply(self, ledger: Ledger, claims: Claims, entry: Entry) -> None:
        match load_ledger_record(entry.record):
            case Ok(Claim() | Outcome() as record):
                verdict = claims.apply(entry.at, record)
                RULINGS.labels(entry.record["kind"], verdict).inc()
                for claim_listener in self._claim_listeners:
                    claim_listener(entry, record, verdict)
            case Ok(record):
                ruling = ledger.apply(entry.at, record)
                RULINGS.labels(entry.record["kind"], ruling.verdict).inc()
                for listener in self._listeners:
                    listener(entry, record, ruling)
            case Err(reason):
                RULINGS.labels("unreadable", Verdict.MALFORMED).inc()
                text = json.dumps(entry.record)[:200]
                log_event("ledger_record_malformed", level=30, reason=reason, record=text)
