"""Claim the keys of non-idempotent requests and follow the claims of others."""

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

GONE_CHECK_SECONDS = 0.5


@frozen
class ClaimRequest:
    """Name a request that asks for its claim."""

    workspace: str
    request_id: str
    fingerprint: str


@frozen
class Won:
    """Say that the attempt may dispatch, if its first byte leaves before the deadline."""

    request: ClaimRequest
    attempt_id: str
    dispatch_by: float


@frozen
class Settled:
    """Say that the request has run before and give the outcome that was kept."""

    outcome: Outcome


ClaimAnswer = Won | Settled | Refusal
Answered = Callable[[ClaimAnswer], None]


@define(eq=False)
class Asker:
    """Hold one request until its claim is decided."""

    request: ClaimRequest
    answered: Answered | None
    wait_until: float
    attempt_id: str = ""
    dispatch_by: float = 0.0
    timer: Timer | None = None

    @property
    def key(self) -> tuple[str, str]:
        """Return the workspace and the request id."""
        return (self.request.workspace, self.request.request_id)

    def cancel(self) -> None:
        """Want no answer any more; a claim that is won later is freed."""
        self.answered = None


class Claimants:
    """Append claims and read back which one won."""

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
        self._claiming: dict[str, Asker] = {}
        self._waiting: dict[tuple[str, str], list[Asker]] = {}
        self._open_since: dict[tuple[str, str, str], float] = {}
        shards.subscribe_claims(self._on_claim_record)
        scheduler.call_every(GONE_CHECK_SECONDS, self._check_waiting)

    @property
    def open_claims(self) -> int:
        """Count the claims asked for and not read back."""
        return len(self._claiming)

    def ask(self, request: ClaimRequest, answered: Answered) -> Asker:
        """Claim a key; the answer comes once, maybe at once."""
        wait_until = self._scheduler.now() + self._settings.claim_wait_seconds
        asker = Asker(request, answered, wait_until)
        self._consider(asker)
        return asker

    def free(self, won: Won) -> None:
        """Record that a won claim was never dispatched."""
        self._end(won.request, won.attempt_id, Ran.NO)

    def give_up(self, won: Won) -> None:
        """Record that a dispatched request has no known outcome."""
        self._end(won.request, won.attempt_id, Ran.UNKNOWN)

    def _consider(self, asker: Asker) -> None:
        request = asker.request
        claims = self._shards.find(request.workspace).claims
        state = claims.find(request.workspace, request.request_id)
        if state is None:
            self._append(asker)
        elif state.fingerprint != request.fingerprint:
            detail = "the idempotency key was used for another request"
            self._answer(asker, Refusal(422, Reason.KEY_REUSED, detail))
        elif state.outcome is None:
            self._wait(asker, state)
        elif state.outcome.ran is Ran.YES:
            self._answer(asker, Settled(state.outcome))
        else:
            self._answer(asker, _refuse_unknown())

    def _append(self, asker: Asker) -> None:
        request = asker.request
        if not self._shards.find(request.workspace).is_log_reachable:
            self._answer(asker, _refuse_unavailable())
            return
        now = self._scheduler.now()
        asker.attempt_id = uuid4().hex
        asker.dispatch_by = now + self._settings.dispatch_seconds
        self._claiming[asker.attempt_id] = asker
        asker.timer = self._scheduler.call_after(
            self._settings.claim_seconds, lambda: self._abandon(asker)
        )
        self._shards.append(
            Claim(
                request.workspace,
                request.request_id,
                request.fingerprint,
                self._incarnation,
                asker.attempt_id,
            )
        )

    def _abandon(self, asker: Asker) -> None:
        """Free a claim that was not read back in time, wherever its append may be by now."""
        del self._claiming[asker.attempt_id]
        self._end(asker.request, asker.attempt_id, Ran.NO)
        self._answer(asker, _refuse_unavailable())

    def _wait(self, asker: Asker, state: ClaimState) -> None:
        key = (*asker.key, state.attempt_id)
        since = self._open_since.setdefault(key, self._scheduler.now())
        may_dispatch_until = since + self._settings.dispatch_seconds
        if self._is_gone(state.holder) and self._scheduler.now() > may_dispatch_until:
            self._answer(asker, _refuse_unknown())
            return
        if self._scheduler.now() >= asker.wait_until:
            detail = "another send of this request is being run"
            refusal = Refusal(409, Reason.CLAIM_HELD, detail, Ran.UNKNOWN, retry_after_seconds=1)
            self._answer(asker, refusal)
            return
        self._waiting.setdefault(asker.key, []).append(asker)

    def _check_waiting(self) -> None:
        for key in list(self._waiting):
            self._reconsider(key)
        if not self._waiting:
            horizon = self._scheduler.now() - 10 * self._settings.dispatch_seconds
            self._open_since = {k: at for k, at in self._open_since.items() if at > horizon}

    def _reconsider(self, key: tuple[str, str]) -> None:
        for asker in self._waiting.pop(key, []):
            if asker.answered is not None:
                self._consider(asker)

    def _on_claim_record(self, entry: Entry, record: ClaimRecord, verdict: ClaimVerdict) -> None:
        asker = None
        if isinstance(record, Claim) and verdict is not ClaimVerdict.REPEATED:
            asker = self._claiming.pop(record.attempt_id, None)
        if asker is not None:
            if asker.timer is not None:
                asker.timer.cancel()
            if verdict is ClaimVerdict.WON:
                self._win(asker)
            elif asker.answered is not None:
                self._consider(asker)
        self._reconsider((record.workspace, record.request_id))

    def _win(self, asker: Asker) -> None:
        won = Won(asker.request, asker.attempt_id, asker.dispatch_by)
        if asker.answered is None:
            self.free(won)
        else:
            self._answer(asker, won)

    def _end(self, request: ClaimRequest, attempt_id: str, ran: Ran) -> None:
        self._shards.append(Outcome(request.workspace, request.request_id, attempt_id, ran))

    def _answer(self, asker: Asker, answer: ClaimAnswer) -> None:
        if asker.answered is not None:
            answered, asker.answered = asker.answered, None
            answered(answer)


def _refuse_unavailable() -> Refusal:
    detail = "this send was not run; whether an earlier one was, the log does not tell now"
    ran = Ran.UNKNOWN
    return Refusal(503, Reason.CLAIM_UNAVAILABLE, detail, ran, retry_after_seconds=1)


def _refuse_unknown() -> Refusal:
    detail = "the request was sent and its outcome is not known; it is not run again"
    return Refusal(409, Reason.OUTCOME_UNKNOWN, detail, Ran.UNKNOWN)
