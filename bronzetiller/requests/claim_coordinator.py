"""Claim the keys of non-idempotent requests and wait for claims that others hold."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define, frozen

from bronzetiller.budgets.records import Claim, Outcome
from bronzetiller.budgets.shards import Shards
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.requests.claims import ClaimRecord, ClaimState, ClaimVerdict
from bronzetiller.settings import RequestSettings
from bronzetiller.storage.log_client import Entry

HOLDER_CHECK_INTERVAL_SECONDS = 0.5


@frozen
class ClaimRequest:
    """Identify a request whose key is to be claimed."""

    workspace: str
    request_id: str
    fingerprint: str


@frozen
class ClaimWon:
    """Allow the attempt to be dispatched if its first byte is sent by the deadline."""

    request: ClaimRequest
    attempt_id: str
    dispatch_by: float


@frozen
class ClaimSettled:
    """Hold the stored outcome of a request that has run before."""

    outcome: Outcome


ClaimDecision = ClaimWon | ClaimSettled | Refusal
DecisionCallback = Callable[[ClaimDecision], None]


@define(eq=False)
class PendingClaim:
    """Hold one request until its claim is decided."""

    request: ClaimRequest
    on_decided: DecisionCallback | None
    wait_until: float
    attempt_id: str = ""
    dispatch_by: float = 0.0
    timer: Timer | None = None

    @property
    def key(self) -> tuple[str, str]:
        """Return the workspace and the request id."""
        return (self.request.workspace, self.request.request_id)

    def cancel(self) -> None:
        """Drop the callback; a claim that is won later is released."""
        self.on_decided = None


class ClaimCoordinator:
    """Append claims and read back from the log which one won."""

    def __init__(
        self,
        scheduler: Scheduler,
        shards: Shards,
        settings: RequestSettings,
        incarnation: str,
        is_gone: Callable[[str], bool],
    ) -> None:
        self._scheduler = scheduler
        self._shards = shards
        self._settings = settings
        self._incarnation = incarnation
        self._is_gone = is_gone
        self._appended: dict[str, PendingClaim] = {}
        self._waiting: dict[tuple[str, str], list[PendingClaim]] = {}
        self._held_since: dict[tuple[str, str, str], float] = {}
        shards.subscribe_claims(self._on_claim_record)
        scheduler.call_every(HOLDER_CHECK_INTERVAL_SECONDS, self._check_waiting)

    @property
    def open_claims(self) -> int:
        """Count the claims that were appended and not read back yet."""
        return len(self._appended)

    def request_claim(self, request: ClaimRequest, on_decided: DecisionCallback) -> PendingClaim:
        """Claim a key; on_decided is called once, possibly before this returns."""
        wait_until = self._scheduler.now() + self._settings.claim_wait_seconds
        pending_claim = PendingClaim(request, on_decided, wait_until)
        self._evaluate(pending_claim)
        return pending_claim

    def release_claim(self, won: ClaimWon) -> None:
        """Record that the request of a won claim was not run."""
        self._append_outcome(won.request, won.attempt_id, Ran.NO)

    def record_unknown_outcome(self, won: ClaimWon) -> None:
        """Record that the outcome of a dispatched request is unknown."""
        self._append_outcome(won.request, won.attempt_id, Ran.UNKNOWN)

    def _evaluate(self, pending_claim: PendingClaim) -> None:
        request = pending_claim.request
        claims = self._shards.find(request.workspace).claims
        state = claims.find(request.workspace, request.request_id)
        if state is None:
            self._append(pending_claim)
        elif state.fingerprint != request.fingerprint:
            detail = "the idempotency key was used for a different request"
            self._resolve(pending_claim, Refusal(422, Reason.KEY_REUSED, detail))
        elif state.outcome is None:
            self._wait_for_holder(pending_claim, state)
        elif state.outcome.ran is Ran.YES:
            self._resolve(pending_claim, ClaimSettled(state.outcome))
        else:
            self._resolve(pending_claim, _refuse_unknown())

    def _append(self, pending_claim: PendingClaim) -> None:
        request = pending_claim.request
        if not self._shards.find(request.workspace).is_log_reachable:
            self._resolve(pending_claim, _refuse_unavailable())
            return
        now = self._scheduler.now()
        pending_claim.attempt_id = uuid4().hex
        pending_claim.dispatch_by = now + self._settings.dispatch_seconds
        self._appended[pending_claim.attempt_id] = pending_claim
        pending_claim.timer = self._scheduler.call_after(
            self._settings.claim_seconds, lambda: self._time_out(pending_claim)
        )
        self._shards.append(
            Claim(
                request.workspace,
                request.request_id,
                request.fingerprint,
                self._incarnation,
                pending_claim.attempt_id,
            )
        )

    def _time_out(self, pending_claim: PendingClaim) -> None:
        """Release a claim that was not read back in time; its append may still be in flight."""
        del self._appended[pending_claim.attempt_id]
        self._append_outcome(pending_claim.request, pending_claim.attempt_id, Ran.NO)
        self._resolve(pending_claim, _refuse_unavailable())

    def _wait_for_holder(self, pending_claim: PendingClaim, state: ClaimState) -> None:
        key = (*pending_claim.key, state.attempt_id)
        since = self._held_since.setdefault(key, self._scheduler.now())
        may_dispatch_until = since + self._settings.dispatch_seconds
        if self._is_gone(state.holder) and self._scheduler.now() > may_dispatch_until:
            self._resolve(pending_claim, _refuse_unknown())
            return
        if self._scheduler.now() >= pending_claim.wait_until:
            detail = "another attempt of this request is running"
            refusal = Refusal(409, Reason.CLAIM_HELD, detail, Ran.UNKNOWN, retry_after_seconds=1)
            self._resolve(pending_claim, refusal)
            return
        self._waiting.setdefault(pending_claim.key, []).append(pending_claim)

    def _check_waiting(self) -> None:
        for key in list(self._waiting):
            self._reevaluate_waiting(key)
        if not self._waiting:
            horizon = self._scheduler.now() - 10 * self._settings.dispatch_seconds
            self._held_since = {k: at for k, at in self._held_since.items() if at > horizon}

    def _reevaluate_waiting(self, key: tuple[str, str]) -> None:
        for pending_claim in self._waiting.pop(key, []):
            if pending_claim.on_decided is not None:
                self._evaluate(pending_claim)

    def _on_claim_record(self, entry: Entry, record: ClaimRecord, verdict: ClaimVerdict) -> None:
        pending_claim = None
        if isinstance(record, Claim) and verdict is not ClaimVerdict.REPEATED:
            pending_claim = self._appended.pop(record.attempt_id, None)
        if pending_claim is not None:
            if pending_claim.timer is not None:
                pending_claim.timer.cancel()
            if verdict is ClaimVerdict.WON:
                self._handle_win(pending_claim)
            elif pending_claim.on_decided is not None:
                self._evaluate(pending_claim)
        self._reevaluate_waiting((record.workspace, record.request_id))

    def _handle_win(self, pending_claim: PendingClaim) -> None:
        won = ClaimWon(pending_claim.request, pending_claim.attempt_id, pending_claim.dispatch_by)
        if pending_claim.on_decided is None:
            self.release_claim(won)
        else:
            self._resolve(pending_claim, won)

    def _append_outcome(self, request: ClaimRequest, attempt_id: str, ran: Ran) -> None:
        self._shards.append(Outcome(request.workspace, request.request_id, attempt_id, ran))

    def _resolve(self, pending_claim: PendingClaim, decision: ClaimDecision) -> None:
        if pending_claim.on_decided is not None:
            on_decided, pending_claim.on_decided = pending_claim.on_decided, None
            on_decided(decision)


def _refuse_unavailable() -> Refusal:
    detail = (
        "this attempt was not run; whether an earlier one was run cannot be read from the log now"
    )
    ran = Ran.UNKNOWN
    return Refusal(503, Reason.CLAIM_UNAVAILABLE, detail, ran, retry_after_seconds=1)


def _refuse_unknown() -> Refusal:
    detail = "the request was dispatched and its outcome is unknown; it is not run again"
    return Refusal(409, Reason.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)
