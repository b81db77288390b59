"""Share the nodes' crash reports through the store, where they outlast every node."""

import json
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field
from result import Err, Result

from bronzetiller.gateway.crashes import CrashReport, CrashTracker
from bronzetiller.json_values import decode_json
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.topics import CRASHES_TOPIC
from bronzetiller.requests.crash_evidence import Crash
from bronzetiller.storage.keyed import (
    AppendFailure,
    KeyedReader,
    KeyedRecord,
    KeyedStore,
    Partition,
)
from bronzetiller.storage.keyed_follower import KeyedFollower
from bronzetiller.sync.backoff import Backoff

CRASHES_PARTITION = Partition(CRASHES_TOPIC)
READ_WAIT_SECONDS = 1.5  # plus the response time: how late a silent connection is detected
READ_PAUSE_SECONDS = 0.05
FIRST_READ_CHECK_SECONDS = 0.25
RETRY_SECONDS_MIN = 0.5
RETRY_SECONDS_MAX = 3.0
REPORT_BYTES_MAX = 64 * 1024
LOGGED_TARGETS_MAX = 20


def encode_report(report: CrashReport) -> bytes:
    """Encode a report as JSON, without its proofs and oldest crashes if it would be too large.

    Proofs that are lost are written again once a response proves the fingerprint harmless.
    """
    crashes = sorted(report.crashes.values(), key=lambda item: item.at)
    cleared = {name: sorted(targets) for name, targets in report.cleared.items()}
    survived = {name: sorted(versions) for name, versions in report.survived.items()}
    while True:
        document = {
            "crashes": [[item.target, item.at, sorted(item.fingerprints)] for item in crashes],
            "versions": {item.target: item.version for item in crashes},
            "cleared": cleared,
            "survived": survived,
        }
        encoded = json.dumps(document).encode()
        if len(encoded) <= REPORT_BYTES_MAX or not (crashes or cleared or survived):
            return encoded
        cleared, survived = {}, {}
        del crashes[: len(crashes) // 2 + 1]


def decode_report(value: bytes) -> CrashReport | None:
    """Decode a report; return None if it is malformed."""
    try:
        item: Any = decode_json(value)
        versions = item.get("versions", {})  # older nodes report none
        crashes = [
            Crash(
                str(target),
                float(at),
                frozenset(map(str, fingerprints)),
                str(versions.get(target, "")),
            )
            for target, at, fingerprints in item["crashes"]
        ]
        cleared = _decode_sets(item["cleared"])
        survived = _decode_sets(item.get("survived", {}))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    return CrashReport({crash.target: crash for crash in crashes}, cleared, survived)


def _decode_sets(item: dict[Any, Any]) -> dict[str, set[str]]:
    return {str(name): set(map(str, values)) for name, values in item.items()}


@define(eq=False)
class CrashReports:
    """Publish this node's crash report and follow those of all nodes.

    The report of this node's last incarnation is read before the first one replaces it.
    """

    _scheduler: Scheduler
    _store: KeyedStore
    _reader: KeyedReader
    _node_id: str
    _tracker: CrashTracker
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    follower: KeyedFollower = field(init=False)
    _backoff: Backoff = field(init=False)
    _written: bytes | None = None
    _changed: bool = False
    _writing: bool = False

    def __attrs_post_init__(self) -> None:
        self._tracker.on_report_change = self._publish
        self._backoff = Backoff(RETRY_SECONDS_MIN, RETRY_SECONDS_MAX, self._draw_uniform)
        self.follower = KeyedFollower(
            self._scheduler,
            self._reader,
            CRASHES_PARTITION,
            self._apply_records,
            wait_seconds=READ_WAIT_SECONDS,
            pause_seconds=READ_PAUSE_SECONDS,
        )

    def start(self) -> None:
        """Start following."""
        self.follower.start()

    def _apply_records(self, records: list[KeyedRecord]) -> None:
        for record in {record.key: record for record in records}.values():
            if record.value is None:
                if record.key == self._node_id and not self._writing and self._written is not None:
                    self._publish()  # the store was restored from a copy that lacks the report
                continue
            report = decode_report(record.value)
            if report is None:
                log_event("crash_report_unread", level=30, peer=record.key)
                continue
            own = record.key == self._node_id
            new = [name for name in report.crashes if not self._tracker.evidence.knows(name)]
            if new:
                log_event(
                    "crash_report_read",
                    peer=record.key,
                    targets=",".join(sorted(new)[:LOGGED_TARGETS_MAX]),
                    source=",".join(self.follower.source_path) or "store",
                )
            self._tracker.merge_report(report, own=own)
            if own and not self._writing and self._written not in (None, record.value):
                self._publish()  # an append without a response was executed after a newer one

    def _publish(self) -> None:
        self._changed = True
        self._write()

    def _write(self) -> None:
        if self._writing or not self._changed:
            return
        self._writing = True
        if not self.follower.complete:
            self._scheduler.call_after(FIRST_READ_CHECK_SECONDS, self._retry)
            return
        self._changed = False
        report = self._tracker.report
        value = encode_report(report) if report != CrashReport() else None
        crashes, started_at = len(report.crashes), self._scheduler.now()

        def handle_result(result: Result[int, AppendFailure]) -> None:
            if isinstance(result, Err):
                log_event("crash_report_unwritten", level=30, cause=result.err_value)
                self._changed = True
                self._scheduler.call_after(self._backoff.next_seconds(), self._retry)
                return
            self._backoff.reset()
            self._written = value
            self._writing = False
            seconds = round(self._scheduler.now() - started_at, 3)
            log_event("crash_report_written", crashes=crashes, seconds=seconds)
            self._write()

        self._store.append(CRASHES_PARTITION, self._node_id, value, None, handle_result)

    def _retry(self) -> None:
        self._writing = False
        self._write()
