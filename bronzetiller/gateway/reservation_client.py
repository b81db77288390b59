"""Have peers set tokens aside for this node's requests."""

from collections.abc import Callable

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.peers import Peers
from bronzetiller.gateway.budget_refusals import refuse_exhausted, refuse_unconfirmed
from bronzetiller.gateway.reservation_server import SETTLEMENT_RETRY_SECONDS_MAX
from bronzetiller.logs import log_event
from bronzetiller.metrics import PEER_ASKS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.wire.messages import (
    Message,
    ReserveTokens,
    SettleTokens,
    TokensLacking,
    TokensReserved,
)

RESPONSE_TIMEOUT_SECONDS = (
    0.3  # a peer in another region answers within 60 ms, a busy one some 100 ms later
)
WAITING_RESPONSE_TIMEOUT_SECONDS = (
    2.6  # a holder that is cut off waits up to 2.4 s for its slack to grow
)
SETTLE_TIMEOUT_SECONDS = 1.0
SETTLE_RETRY_SECONDS = 0.5
AVOID_SECONDS = 1.0  # after a peer did not answer; a restart takes a few seconds


@frozen
class Reservation:
    """Name the tokens set aside for a request and the node that holds them."""

    reservation_id: str
    workspace: str
    tokens: int
    holder: str


@frozen
class ReservationFailure:
    """Say why a holder set nothing aside; store_away is none where it did not answer."""

    refusal: Refusal
    store_unreachable: bool | None = None


ReservationCallback = Callable[[Result[Reservation, ReservationFailure]], None]


@define(eq=False)
class ReservationClient:
    """Ask peers for reservations and settle them."""

    _scheduler: Scheduler
    _peers: Peers
    _avoid_until: dict[str, float] = field(factory=dict)
    _unsettled_count: int = 0

    def is_avoided(self, node_id: str) -> bool:
        """Say whether a peer failed to answer just now."""
        return self._avoid_until.get(node_id, 0.0) > self._scheduler.now()

    @property
    def is_settled(self) -> bool:
        """Say whether every peer knows what became of its tokens."""
        return not self._unsettled_count

    def request(
        self,
        reservation: Reservation,
        *,
        may_wait: bool,
        deadline: float,
        done: ReservationCallback,
    ) -> None:
        """Ask the holder of a reservation for it; an ask without an answer is taken back."""
        asked_at = self._scheduler.now()
        seconds_left = deadline - asked_at
        message = ReserveTokens(
            reservation.reservation_id,
            reservation.workspace,
            reservation.tokens,
            seconds_left,
            may_wait,
        )

        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(TokensReserved()):
                    PEER_ASKS.labels("reserved").inc()
                    done(Ok(reservation))
                case Ok(TokensLacking() as lacking):
                    PEER_ASKS.labels("lacking").inc()
                    done(Err(ReservationFailure(_make_refusal(lacking), lacking.store_away)))
                case Ok(other):
                    done(
                        Err(
                            self._record_failure(
                                reservation, asked_at, f"answered {type(other).__name__}"
                            )
                        )
                    )
                case Err(cause):
                    done(Err(self._record_failure(reservation, asked_at, cause)))

        seconds = WAITING_RESPONSE_TIMEOUT_SECONDS if may_wait else RESPONSE_TIMEOUT_SECONDS
        self._peers.ask(reservation.holder, message, min(seconds, seconds_left), handle_response)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Tell the holder what was used, again and again until it knows."""
        self._unsettled_count += 1
        self._send_settlement(
            reservation, used, self._scheduler.now() + SETTLEMENT_RETRY_SECONDS_MAX
        )

    def _record_failure(
        self, reservation: Reservation, asked_at: float, cause: str
    ) -> ReservationFailure:
        PEER_ASKS.labels("unanswered").inc()
        holder = reservation.holder
        self._avoid_until[holder] = self._scheduler.now() + AVOID_SECONDS
        log_event("holder_avoided", level=30, peer=holder, cause=cause, seconds=AVOID_SECONDS)
        if cause == "timeout" and self._peers.is_silent(holder, asked_at):
            self._peers.drop_link(holder)
        if cause != "not connected":
            self.settle(reservation, 0)
        return ReservationFailure(refuse_unconfirmed(f"a holder does not answer: {cause}"))

    def _send_settlement(self, reservation: Reservation, used: int, until: float) -> None:
        def handle_result(result: Result[Message, str]) -> None:
            if isinstance(result, Ok):
                self._unsettled_count -= 1
                return
            if self._scheduler.now() < until:
                self._scheduler.call_after(
                    SETTLE_RETRY_SECONDS, lambda: self._send_settlement(reservation, used, until)
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
        self._peers.ask(reservation.holder, message, SETTLE_TIMEOUT_SECONDS, handle_result)


def _make_refusal(lacking: TokensLacking) -> Refusal:
    if lacking.reason == Reason.BUDGET_EXHAUSTED.value:
        return refuse_exhausted()
    return evolve(refuse_unconfirmed(""), detail=lacking.detail)
