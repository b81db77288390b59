"""Append to the log through a peer, and append batches on behalf of peers.

Applying a record twice has the effect of once, so any node may append a delegated batch again if
the response to it was lost. A peer merges the batches that arrive within a short interval and tries
each append once, or refuses the batch. It never forwards a batch, so two nodes cannot pass the
same records back and forth.
"""

import json
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.patient_request import request_patiently
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.fleet.relay import choose_log_peer, choose_reader
from bronzetiller.json_values import decode_json
from bronzetiller.metrics import DELEGATED_APPENDS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.adaptive_timeout import EXTRA_SECONDS_MAX
from bronzetiller.storage.log_client import APPEND_SILENCE_SECONDS, LogClient, LogFailure, Record
from bronzetiller.wire.messages import AppendRecords, Heartbeat, Message, RecordsAppended

SILENCE_SECONDS = APPEND_SILENCE_SECONDS + 1.0  # without any byte from the peer
# The peer itself fails an append that takes longer.
RESPONSE_SECONDS_MAX = APPEND_SILENCE_SECONDS + EXTRA_SECONDS_MAX + 5.0

AppendDone = Callable[[Result[int, LogFailure]], None]


@define(eq=False)
class _MergedAppend:
    """Collect batches that go into a single append, with the callback of each."""

    records: list[Record] = field(factory=list)
    callbacks: list[tuple[int, AppendDone]] = field(factory=list)


@define(eq=False)
class AppendDelegator:
    """Delegate batches to the nearest peer that can reach the log; merge batches from peers."""

    _peers: Peers
    _membership: Membership
    _log: LogClient
    _make_heartbeat: Callable[[], Heartbeat]
    _scheduler: Scheduler
    merge_seconds: float = 0.0
    _merged_appends: dict[str, _MergedAppend] = field(factory=dict)

    def start(self) -> None:
        """Start appending on behalf of peers."""
        self._peers.on(AppendRecords, self._on_append)

    def append(self, stream: str, records: list[Record], done: AppendDone) -> bool:
        """Append through a peer or with batches of peers; return False if neither is possible."""
        if self.merge_seconds and self.choose_appender(stream) == self._make_heartbeat().node_id:
            self._merge(stream, records, done)
            return True
        node_id = self._choose_peer(stream)
        if node_id is None:
            return False

        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(RecordsAppended(first_offset, _)) if first_offset is not None:
                    DELEGATED_APPENDS.labels("appended").inc()
                    done(Ok(first_offset))
                case Ok(RecordsAppended(_, cause)):
                    DELEGATED_APPENDS.labels("refused").inc()
                    done(Err(LogFailure(f"{node_id}: {cause}", sent=True)))
                case _:
                    DELEGATED_APPENDS.labels("lost").inc()
                    done(Err(LogFailure(f"{node_id} did not respond", sent=True)))

        texts = [json.dumps(record, separators=(",", ":")) for record in records]
        request_patiently(
            self._scheduler,
            self._peers,
            node_id,
            AppendRecords(stream, texts),
            handle_response,
            silence_seconds=SILENCE_SECONDS,
            seconds_max=RESPONSE_SECONDS_MAX,
        )
        return True

    def choose_appender(self, stream: str) -> str | None:
        """Return the node, possibly this one, that appends for the local data centre."""
        own = self._make_heartbeat()
        near = [
            node_id
            for node_id, peer in self._find_usable().items()
            if peer.data_centre == own.data_centre and peer.log_reachable and not peer.stopping
        ]
        if own.log_reachable and not own.stopping:
            near.append(own.node_id)
        return choose_reader(stream, own.data_centre, near)

    def _choose_peer(self, stream: str) -> str | None:
        appender = self.choose_appender(stream)
        own = self._make_heartbeat()
        if appender not in (None, own.node_id):
            return appender
        return choose_log_peer(own, self._find_usable(), stream)

    def _find_usable(self) -> dict[str, Heartbeat]:
        connected = set(self._peers.connected())
        live = self._membership.live()
        return {node_id: peer for node_id, peer in live.items() if node_id in connected}

    def _on_append(self, request: AppendRecords, reply: Reply) -> None:
        def finish(result: Result[int, LogFailure]) -> None:
            match result:
                case Ok(first_offset):
                    reply(RecordsAppended(first_offset))
                case Err(failure):
                    reply(RecordsAppended(None, failure.cause))

        self._merge(request.stream, [decode_json(text) for text in request.records], finish)

    def _merge(self, stream: str, records: list[Record], done: AppendDone) -> None:
        merge = self._merged_appends.get(stream)
        if merge is None:
            merge = self._merged_appends[stream] = _MergedAppend()
            self._scheduler.call_after(self.merge_seconds, lambda: self._flush(stream))
        merge.callbacks.append((len(merge.records), done))
        merge.records += records

    def _flush(self, stream: str) -> None:
        merge = self._merged_appends.pop(stream)

        def finish(result: Result[int, LogFailure]) -> None:
            for index, done in merge.callbacks:
                done(result.map(lambda first_offset, index=index: first_offset + index))  # type: ignore[misc]

        self._log.append(stream, merge.records, finish)
