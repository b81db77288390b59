"""Apply claims and their outcomes, so that a non-idempotent request runs at most once.

The first claim for a workspace's request id wins. An outcome with ran "no" releases the key for
another attempt; any other outcome settles it. The result is deterministic: this module reads no
clock and does not detect failed holders, so every reader of the same prefix gets the same verdicts.
"""

from enum import StrEnum
from typing import Any

from attrs import define, evolve, field
from cattrs.preconf.json import make_converter

from bronzetiller.budgets.records import Claim, Outcome
from bronzetiller.errors import Ran

CLAIM_WINDOW_SECONDS = 24 * 3600.0
KEPT_BYTES_MAX = 4 * 1024 * 1024

ClaimRecord = Claim | Outcome


class ClaimVerdict(StrEnum):
    """Name the result of applying a claim or an outcome."""

    WON = "won"
    REPEATED = "repeated"
    HELD = "held"
    SETTLED = "settled"
    KEY_REUSED = "key_reused"
    ATTEMPT_OVER = "attempt_over"
    FREED = "freed"
    IGNORED = "ignored"


@define
class ClaimState:
    """Hold the newest claim of one key; attempts in ended_attempts cannot claim it again."""

    at: float
    fingerprint: str = ""
    holder: str = ""
    attempt_id: str = ""
    outcome: Outcome | None = None
    ended_attempts: list[str] = field(factory=list)

    @property
    def is_free(self) -> bool:
        """Return whether another attempt may claim the key."""
        return not self.attempt_id


@define
class Claims:
    """Hold the claims of all workspaces of one stream; kept_bytes are stored response bodies."""

    states: dict[str, ClaimState] = field(factory=dict)
    kept_bytes: dict[str, int] = field(factory=dict)
    kept_bytes_total: int = 0

    def apply(self, at: float, record: ClaimRecord) -> ClaimVerdict:
        """Apply one record in log order; at is the timestamp that the log assigned (seconds)."""
        self._remove_expired(at)
        if isinstance(record, Claim):
            return self._apply_claim(at, record)
        return self._apply_outcome(at, record)

    def find(self, workspace: str, request_id: str) -> ClaimState | None:
        """Return the claim of a request, or None if its key is free."""
        state = self.states.get(_make_key(workspace, request_id))
        return None if state is None or state.is_free else state

    def _apply_claim(self, at: float, record: Claim) -> ClaimVerdict:
        key = _make_key(record.workspace, record.request_id)
        state = self.states.get(key)
        if state is None:
            state = self.states[key] = ClaimState(at)
        if record.attempt_id in state.ended_attempts:
            return ClaimVerdict.ATTEMPT_OVER
        if not state.is_free:
            return _classify_late_claim(state, record)
        state.fingerprint = record.fingerprint
        state.holder = record.holder
        state.attempt_id = record.attempt_id
        self._touch(at, key)
        return ClaimVerdict.WON

    def _apply_outcome(self, at: float, record: Outcome) -> ClaimVerdict:
        key = _make_key(record.workspace, record.request_id)
        state = self.states.get(key)
        if record.ran is Ran.NO:
            return self._release_key(at, key, record)
        if state is None or state.attempt_id != record.attempt_id or state.outcome is not None:
            return ClaimVerdict.IGNORED
        state.outcome = record
        self._touch(at, key)
        self._keep_body(key, record)
        return ClaimVerdict.SETTLED

    def _release_key(self, at: float, key: str, record: Outcome) -> ClaimVerdict:
        """End an attempt, even before its claim arrives: appends may be reordered."""
        state = self.states.setdefault(key, ClaimState(at))
        if state.attempt_id == record.attempt_id and state.outcome is not None:
            return ClaimVerdict.IGNORED
        if record.attempt_id in state.ended_attempts:
            return ClaimVerdict.IGNORED
        state.ended_attempts.append(record.attempt_id)
        self._touch(at, key)
        if state.attempt_id != record.attempt_id:
            return ClaimVerdict.IGNORED
        state.attempt_id = ""
        return ClaimVerdict.FREED

    def _keep_body(self, key: str, record: Outcome) -> None:
        self.kept_bytes[key] = len(record.body)
        self.kept_bytes_total += len(record.body)
        while self.kept_bytes_total > KEPT_BYTES_MAX:
            oldest = next(iter(self.kept_bytes))
            self.kept_bytes_total -= self.kept_bytes.pop(oldest)
            outcome = self.states[oldest].outcome
            assert outcome is not None
            self.states[oldest].outcome = evolve(outcome, body="", body_kept=False)

    def _touch(self, at: float, key: str) -> None:
        state = self.states.pop(key)
        state.at = at
        self.states[key] = state

    def _remove_expired(self, at: float) -> None:
        while self.states:
            key = next(iter(self.states))
            if self.states[key].at > at - CLAIM_WINDOW_SECONDS:
                return
            del self.states[key]
            self.kept_bytes_total -= self.kept_bytes.pop(key, 0)


def _make_key(workspace: str, request_id: str) -> str:
    return f"{workspace}/{request_id}"


def _classify_late_claim(state: ClaimState, record: Claim) -> ClaimVerdict:
    if state.attempt_id == record.attempt_id:
        return ClaimVerdict.REPEATED
    if state.fingerprint != record.fingerprint:
        return ClaimVerdict.KEY_REUSED
    return ClaimVerdict.HELD if state.outcome is None else ClaimVerdict.SETTLED


_CONVERTER = make_converter()


def dump_claims(claims: Claims) -> dict[str, Any]:
    """Serialize the claims to JSON values, equal for equal prefixes of the stream."""
    value: dict[str, Any] = _CONVERTER.unstructure(claims)
    return value


def load_claims(value: dict[str, Any]) -> Claims:
    """Deserialize claims from the output of dump_claims."""
    return _CONVERTER.structure(value, Claims)
