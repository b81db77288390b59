"""Append to the log through a peer that reaches it, and for a peer that does not.

Every record is idempotent in its fold, so that a delegated batch whose answer was lost may be
appended again by anyone. A peer appends a batch at once or says no; it never queues it, so that
two nodes can't hand the same records to each other and back.
"""

import json
from collections.abc import Callable

from attrs import define
from result import Err, Ok, Result

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.fleet.relay import choose_log_peer
from bronzetiller.metrics import DELEGATED_APPENDS
from bronzetiller.platform.log_client import APPEND_SILENCE_SECONDS, LogClient, LogFailure, Record
from bronzetiller.wire.messages import AppendRecords, Heartbeat, Message, RecordsAppended

ANSWER_SECONDS = APPEND_SILENCE_SECONDS + 1.0

AppendDone = Callable[[Result[int, LogFailure]], None]


@define(eq=False)
class Delegation:
    """Hand batches to the nearest peer that reaches the log."""

    _peers: Peers
    _membership: Membership
    _log: LogClient
    _make_heartbeat: Callable[[], Heartbeat]

    def start(self) -> None:
        """Begin to append for peers."""
        self._peers.on(AppendRecords, self._on_append)

    def append(self, stream: str, records: list[Record], done: AppendDone) -> bool:
        """Append through a peer; return whether there is one."""
        connected = set(self._peers.connected())
        live = {k: v for k, v in self._membership.live().items() if k in connected}
        node_id = choose_log_peer(self._make_heartbeat(), live, stream)
        if node_id is None:
            return False

        def answered(result: Result[Message, str]) -> None:
            match result:
                case Ok(RecordsAppended(first_offset, _)) if first_offset is not None:
                    DELEGATED_APPENDS.labels("appended").inc()
                    done(Ok(first_offset))
                case Ok(RecordsAppended(_, cause)):
                    DELEGATED_APPENDS.labels("refused").inc()
                    done(Err(LogFailure(f"{node_id}: {cause}", sent=True)))
                case _:
                    DELEGATED_APPENDS.labels("lost").inc()
                    done(Err(LogFailure(f"{node_id} did not answer", sent=True)))

        texts = [json.dumps(record, separators=(",", ":")) for record in records]
        self._peers.ask(node_id, AppendRecords(stream, texts), ANSWER_SECONDS, answered)
        return True

    def _on_append(self, request: AppendRecords, reply: Reply) -> None:
        def finish(result: Result[int, LogFailure]) -> None:
            match result:
                case Ok(first_offset):
                    reply(RecordsAppended(first_offset))
                case Err(failure):
                    reply(RecordsAppended(None, failure.cause))

        records = [json.loads(text) for text in request.records]
        self._log.append(request.stream, records, finish)
