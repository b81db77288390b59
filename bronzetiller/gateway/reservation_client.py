"""Reserve tokens at peers for this node's requests."""

from collections.abc import Callable

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.peers import NOT_CONNECTED, TIMEOUT, Peers
from bronzetiller.gateway.budget_refusals import refuse_exhausted, refuse_unconfirmed
from bronzetiller.gateway.budget_state import select_budget_fields
from bronzetiller.gateway.reservation_server import SETTLEMENT_RETRY_SECONDS_MAX
from bronzetiller.logs import log_event
from bronzetiller.metrics import TOKEN_REQUESTS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.storage.adaptive_timeout import AdaptiveTimeout
from bronzetiller.wire.messages import (
    Message,
    ReserveTokens,
    SettleTokens,
    TokensLacking,
    TokensReserved,
)

# A peer in another region responds within 60 ms, a busy one about 100 ms later. The timeouts grow
# with the responses of a holder, so that a slow connection is not given up each time.
RESPONSE_TIMEOUT_SECONDS = 0.3
# A holder that is disconnected from the store waits up to 2.4 s for its slack to grow.
WAITING_RESPONSE_TIMEOUT_SECONDS = 2.6
SETTLE_TIMEOUT_SECONDS = 1.0
SETTLE_RETRY_SECONDS = 0.5
AVOID_SECONDS = 1.0  # after a peer did not respond; a restart takes a few seconds


@frozen
class Reservation:
    """Identify the tokens reserved for a request and the node that holds them."""

    reservation_id: str
    workspace: str
    tokens: int
    holder: str


@frozen
class ReservationFailure:
    """Explain why a holder reserved nothing; without a response store_unreachable is None."""

    refusal: Refusal
    store_unreachable: bool | None = None


ReservationCallback = Callable[[Result[Reservation, ReservationFailure]], None]


@define(eq=False)
class ReservationClient:
    """Request reservations from peers and settle them.

    _timeouts holds the timeout of each holder by its node id.
    """

    _scheduler: Scheduler
    _peers: Peers
    _avoid_until: dict[str, float] = field(factory=dict)
    _timeouts: dict[str, AdaptiveTimeout] = field(factory=dict)
    _unsettled_count: int = 0

    def is_avoided(self, node_id: str) -> bool:
        """Return whether a peer recently failed to respond."""
        return self._avoid_until.get(node_id, 0.0) > self._scheduler.now()

    @property
    def is_settled(self) -> bool:
        """Return whether no settlement is in progress."""
        return not self._unsettled_count

    def request(
        self,
        reservation: Reservation,
        *,
        may_wait: bool,
        deadline: float,
        done: ReservationCallback,
    ) -> None:
        """Request a reservation from its holder; without a response it is released again."""
        sent_at = self._scheduler.now()
        seconds_left = deadline - sent_at
        message = ReserveTokens(
            reservation.reservation_id,
            reservation.workspace,
            reservation.tokens,
            seconds_left,
            may_wait,
        )

        def handle_response(result: Result[Message, str]) -> None:
            if not may_wait:
                self._record_duration(reservation.holder, sent_at, result)
            match result:
                case Ok(TokensReserved()):
                    TOKEN_REQUESTS.labels("reserved").inc()
                    done(Ok(reservation))
                case Ok(TokensLacking() as response):
                    TOKEN_REQUESTS.labels("lacking").inc()
                    done(Err(ReservationFailure(_make_refusal(response), response.store_away)))
                case Ok(other):
                    done(
                        Err(
                            self._record_failure(
                                reservation, sent_at, f"unexpected {type(other).__name__}"
                            )
                        )
                    )
                case Err(cause):
                    done(Err(self._record_failure(reservation, sent_at, cause)))

        seconds_min = WAITING_RESPONSE_TIMEOUT_SECONDS if may_wait else RESPONSE_TIMEOUT_SECONDS
        timeout_seconds = self._choose_timeout_seconds(reservation.holder, seconds_min)
        self._peers.request(
            reservation.holder, message, min(timeout_seconds, seconds_left), handle_response
        )

    def settle(self, reservation: Reservation, used: int) -> None:
        """Send the used tokens to the holder, and retry until it confirms them."""
        self._unsettled_count += 1
        self._send_settlement(
            reservation, used, self._scheduler.now() + SETTLEMENT_RETRY_SECONDS_MAX
        )

    def _choose_timeout_seconds(self, holder: str, seconds_min: float) -> float:
        timeout = self._timeouts.get(holder)
        return seconds_min if timeout is None else max(seconds_min, timeout.extend(0.0))

    def _record_duration(self, holder: str, sent_at: float, result: Result[Message, str]) -> None:
        """Adapt the timeout to a response; one that is missing counts if the holder is alive."""
        timeout = self._timeouts.setdefault(holder, AdaptiveTimeout())
        if isinstance(result, Ok):
            timeout.record_response(self._scheduler.now() - sent_at)
        elif result.err_value == TIMEOUT and not self._peers.is_silent(holder, sent_at):
            timeout.record_timeout()

    def _record_failure(
        self, reservation: Reservation, sent_at: float, cause: str
    ) -> ReservationFailure:
        TOKEN_REQUESTS.labels("unanswered").inc()
        holder = reservation.holder
        # Requests that were under way when the first one failed extend the interval without a line.
        if not self.is_avoided(holder):
            log_event("holder_avoided", level=30, peer=holder, cause=cause, seconds=AVOID_SECONDS)
        self._avoid_until[holder] = self._scheduler.now() + AVOID_SECONDS
        if cause == TIMEOUT and self._peers.is_silent(holder, sent_at):
            self._peers.drop_link(holder)
        if cause != NOT_CONNECTED:
            self.settle(reservation, 0)
        return ReservationFailure(refuse_unconfirmed(f"a holder does not respond: {cause}"))

    def _send_settlement(self, reservation: Reservation, used: int, retry_until: float) -> None:
        sent_at = self._scheduler.now()

        def handle_response(result: Result[Message, str]) -> None:
            self._record_duration(reservation.holder, sent_at, result)
            if isinstance(result, Ok):
                self._unsettled_count -= 1
                return
            if self._scheduler.now() < retry_until:
                self._scheduler.call_after(
                    SETTLE_RETRY_SECONDS,
                    lambda: self._send_settlement(reservation, used, retry_until),
                )
                return
            self._unsettled_count -= 1
            log_event(
                "settlement_lost",
                level=30,
                reservation=reservation.reservation_id,
                holder=reservation.holder,
                used=used,
                cause=result.err_value,
            )

        message = SettleTokens(reservation.reservation_id, used)
        seconds = self._choose_timeout_seconds(reservation.holder, SETTLE_TIMEOUT_SECONDS)
        self._peers.request(reservation.holder, message, seconds, handle_response)


def _make_refusal(response: TokensLacking) -> Refusal:
    log_fields = select_budget_fields(response.budget)
    if response.reason == Reason.BUDGET_EXHAUSTED.value:
        return evolve(refuse_exhausted(), log_fields=log_fields)
    return evolve(refuse_unconfirmed(""), detail=response.detail, log_fields=log_fields)
