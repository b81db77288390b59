"""Detect requests that crash their targets and quarantine those that did so repeatedly.

A target that closes or resets a connection during a request may have crashed; a new connection
attempt shows whether it did. Nodes share which requests ran on crashed targets, so that a request
is quarantined at whichever node it arrives.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Mapping

from attrs import define, field

from bronzetiller.gateway.targets import Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_CRASHES
from bronzetiller.net.http_client import HttpClient
from bronzetiller.net.scheduler import Scheduler

CRASHES_MAX = 3  # fewer would quarantine requests that merely shared the target
RETENTION_SECONDS = 120.0  # callers retry a request that crashes targets within seconds
REPORTED_REQUESTS_MAX = 40  # requests in a heartbeat, some 40 bytes each
PROBE_SECONDS = 0.5

Crashes = dict[str, list[str]]


def make_fingerprint(workspace: str, method: str, path: str, body: bytes) -> str:
    """Return a digest that identifies a request, the same at every node and for every retry."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (workspace.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


@define(eq=False)
class CrashTracker:
    """Hold the crashed targets by request, as observed by this node and reported by its peers."""

    _scheduler: Scheduler
    _http: HttpClient
    _local_crashes: "OrderedDict[str, dict[str, float]]" = field(factory=OrderedDict)
    _peer_crashes: dict[str, Crashes] = field(factory=dict)
    _suspects: dict[str, list[str]] = field(factory=dict)

    def report_loss(self, target: Target, fingerprint: str) -> None:
        """Probe a target that closed the connection during a request, to see if it crashed."""
        target_instance = f"{target.target_id}/{target.registration.started_ms}"
        if target_instance in self._suspects:
            self._suspects[target_instance].append(fingerprint)
            return
        self._suspects[target_instance] = [fingerprint]
        self._http.probe(
            target.registration.address,
            PROBE_SECONDS,
            lambda refused: self._handle_probe_result(target_instance, refused=refused),
        )

    def update_from_peers(self, crashes_by_node: Mapping[str, Crashes]) -> None:
        """Replace the crashes that the other nodes report."""
        self._peer_crashes = {node: crashes for node, crashes in crashes_by_node.items() if crashes}

    def list_local(self) -> Crashes:
        """Return the recent crashes that this node observed, to be sent to its peers."""
        self._expire()
        newest = list(self._local_crashes.items())[-REPORTED_REQUESTS_MAX:]
        return {fingerprint: sorted(targets) for fingerprint, targets in newest}

    def is_quarantined(self, compute_fingerprint: Callable[[], str]) -> bool:
        """Return whether a request crashed too many targets; compute its fingerprint if needed."""
        if not self._local_crashes and not self._peer_crashes:
            return False
        fingerprint = compute_fingerprint()
        targets = set(self._local_crashes.get(fingerprint, ()))
        for crashes in self._peer_crashes.values():
            targets.update(crashes.get(fingerprint, ()))
        return len(targets) >= CRASHES_MAX

    def _handle_probe_result(self, target_instance: str, *, refused: bool) -> None:
        fingerprints = self._suspects.pop(target_instance)
        log_event(
            "target_crashed" if refused else "target_alive",
            target=target_instance,
            requests=",".join(fingerprints[:REPORTED_REQUESTS_MAX]),
        )
        if not refused:
            return
        TARGET_CRASHES.inc()
        for fingerprint in fingerprints:
            self._local_crashes.setdefault(fingerprint, {})[target_instance] = self._scheduler.now()
            self._local_crashes.move_to_end(fingerprint)

    def _expire(self) -> None:
        expiry = self._scheduler.now() - RETENTION_SECONDS
        for fingerprint, targets in list(self._local_crashes.items()):
            if max(targets.values()) < expiry:
                del self._local_crashes[fingerprint]
