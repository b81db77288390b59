"""Read and write the ledger, which is split by workspace into shards, one log stream each."""

import hashlib
import json
from collections.abc import Callable
from functools import partial

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
from bronzetiller.metrics import LEDGER_RESULTS
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
    """Return the shard index of a workspace by hashing its name, the same on every node."""
    digest = hashlib.sha256(workspace.encode()).digest()
    return int.from_bytes(digest[:8], "big") % shards


def make_stream_name(shard: int) -> str:
    """Return the name of a shard's log stream."""
    return f"ledger-{shard}"


@frozen
class Shard:
    """Hold the follower, writer and current state of one ledger stream."""

    follower: StreamFollower
    writer: StreamWriter
    ledger: Ledger
    claims: Claims

    @property
    def is_log_reachable(self) -> bool:
        """Return whether the last read and the last append of the stream succeeded."""
        return self.follower.reachable and self.writer.reachable

    @property
    def is_current(self) -> bool:
        """Return whether the ledger is up to date with the log, within LAG_RECORDS_MAX records."""
        lag = self.follower.end_offset - self.follower.next_offset
        reachable = self.follower.reachable and self.writer.reachable
        return reachable and self.follower.complete and lag <= LAG_RECORDS_MAX

    def make_folds(self) -> list[Fold]:
        """Return the states to include in snapshots of the stream."""
        return [
            Fold(
                "ledger",
                lambda: dump_ledger(self.ledger),
                lambda value: partial(replace_state, self.ledger, load_ledger(value)),
            ),
            Fold(
                "claims",
                lambda: dump_claims(self.claims),
                lambda value: partial(replace_state, self.claims, load_claims(value)),
            ),
        ]


class Shards:
    """Hold all ledger shards; the budget of each workspace is kept in one of them."""

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
        """Call the listener with each applied ledger record and its result."""
        self._listeners.append(listener)

    def subscribe_claims(self, listener: ClaimListener) -> None:
        """Call the listener with each applied claim or outcome record and its verdict."""
        self._claim_listeners.append(listener)

    def append(
        self, record: LedgerRecord, acknowledged: AcknowledgedCallback | None = None
    ) -> None:
        """Append a record to the stream of its workspace's shard, retrying until acknowledged."""
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
                LEDGER_RESULTS.labels(entry.record["kind"], verdict).inc()
                for claim_listener in self._claim_listeners:
                    claim_listener(entry, record, verdict)
            case Ok(record):
                result = ledger.apply(entry.at, record)
                LEDGER_RESULTS.labels(entry.record["kind"], result.verdict).inc()
                for listener in self._listeners:
                    listener(entry, record, result)
            case Err(reason):
                LEDGER_RESULTS.labels("unreadable", Verdict.MALFORMED).inc()
                text = json.dumps(entry.record)[:200]
                log_event("ledger_record_malformed", level=30, reason=reason, record=text)
