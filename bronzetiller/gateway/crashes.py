"""Notice requests that crash the targets they run on, and refuse them once they have done it often.

A target that closes or resets a connection amid a request may have crashed; one dial tells. Nodes
tell each other which requests were on crashed targets, so that a request counts wherever it comes.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable, Mapping

from attrs import define, field

from bronzetiller.gateway.targets import Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import TARGET_DEATHS
from bronzetiller.net.http_client import HttpClient
from bronzetiller.net.scheduler import Scheduler

CRASHES_MAX = 3  # targets that one request may crash: fewer would bar those that were only there
REMEMBERED_SECONDS = 120.0  # a request that crashes targets is sent again within seconds
TOLD_MAX = 40  # requests named in a heartbeat, some 40 bytes each
PROBE_SECONDS = 0.5

Crashes = dict[str, list[str]]


def make_fingerprint(workspace: str, method: str, path: str, body: bytes) -> str:
    """Return what tells a request from others, whoever gets it when it is sent again."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (workspace.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


@define(eq=False)
class CrashTracker:
    """Hold the crashed targets by request: those seen here and those that other nodes tell of."""

    _scheduler: Scheduler
    _http: HttpClient
    _own: "OrderedDict[str, dict[str, float]]" = field(factory=OrderedDict)
    _heard: dict[str, Crashes] = field(factory=dict)
    _suspects: dict[str, list[str]] = field(factory=dict)

    def report_loss(self, target: Target, fingerprint: str) -> None:
        """Find out whether a target that broke off a request has crashed."""
        name = f"{target.target_id}/{target.registration.started_ms}"
        if name in self._suspects:
            self._suspects[name].append(fingerprint)
            return
        self._suspects[name] = [fingerprint]
        self._http.probe(
            target.registration.address,
            PROBE_SECONDS,
            lambda refused: self._conclude(name, refused=refused),
        )

    def update_from_peers(self, crashes_by_node: Mapping[str, Crashes]) -> None:
        """Take over what the other nodes tell."""
        self._heard = {node: crashes for node, crashes in crashes_by_node.items() if crashes}

    def list_local(self) -> Crashes:
        """Return what this node has seen of late, to tell the others."""
        self._expire()
        newest = list(self._own.items())[-TOLD_MAX:]
        return {fingerprint: sorted(targets) for fingerprint, targets in newest}

    def is_quarantined(self, make: Callable[[], str]) -> bool:
        """Say whether a request has crashed too many targets; its fingerprint is made if needed."""
        if not self._own and not self._heard:
            return False
        fingerprint = make()
        targets = set(self._own.get(fingerprint, ()))
        for crashes in self._heard.values():
            targets.update(crashes.get(fingerprint, ()))
        return len(targets) >= CRASHES_MAX

    def _conclude(self, name: str, *, refused: bool) -> None:
        fingerprints = self._suspects.pop(name)
        if not refused:
            return
        TARGET_DEATHS.inc()
        log_event("target_crashed", target=name, requests=",".join(fingerprints[:TOLD_MAX]))
        for fingerprint in fingerprints:
            self._own.setdefault(fingerprint, {})[name] = self._scheduler.now()
            self._own.move_to_end(fingerprint)

    def _expire(self) -> None:
        oldest = self._scheduler.now() - REMEMBERED_SECONDS
        for fingerprint, targets in list(self._own.items()):
            if max(targets.values()) < oldest:
                del self._own[fingerprint]
