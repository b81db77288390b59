"""Set tokens aside at this node for the requests of its peers."""

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.errors import Refusal
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.gateway.allocation_manager import AllocationManager
from bronzetiller.gateway.budget_refusals import refuse_unconfirmed
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.wire.messages import (
    ReserveTokens,
    SettleTokens,
    TokensLacking,
    TokensReserved,
    TokensSettled,
)

SETTLEMENT_RETRY_SECONDS_MAX = (
    10.0  # in which a peer repeats a settlement: longer than cuts of some seconds
)
EXPIRY_MARGIN_SECONDS = 2.0  # for the last repeat to arrive


@define
class _PeerReservation:
    workspace: str
    tokens: int
    expiry: Timer


@define(eq=False)
class ReservationServer:
    """Hold the reservations of peers.

    One that is never settled counts as used in full: its request may have run.
    """

    _scheduler: Scheduler
    _manager: AllocationManager
    _reservations: dict[str, _PeerReservation] = field(factory=dict)
    _waiting_ids: set[str] = field(factory=set)

    def register_handlers(self, peers: Peers) -> None:
        """Answer the peers from now on."""
        peers.on(ReserveTokens, self.reserve)
        peers.on(SettleTokens, self.settle)

    def reserve(self, message: ReserveTokens, reply: Reply) -> None:
        """Set tokens aside for a peer, or say why not."""
        if message.workspace not in self._manager.allocations:
            self._refuse(message, reply, refuse_unconfirmed("the workspace is not known here"))
        elif self._manager.reserve(message.workspace, message.tokens):
            self._confirm(message, reply)
        elif message.may_wait:

            def handle_result(result: Result[None, Refusal]) -> None:
                cancelled = message.reservation_id not in self._waiting_ids
                self._waiting_ids.discard(message.reservation_id)
                if cancelled:
                    if isinstance(result, Ok):
                        self._manager.settle(message.workspace, message.tokens, 0)
                elif isinstance(result, Err):
                    self._refuse(message, reply, result.err_value)
                else:
                    self._confirm(message, reply)

            self._waiting_ids.add(message.reservation_id)
            deadline = self._scheduler.now() + message.seconds_left
            self._manager.reserve_when_available(
                message.workspace, message.tokens, deadline, handle_result
            )
        else:
            self._refuse(message, reply, refuse_unconfirmed("a holder has too few tokens"))

    def settle(self, message: SettleTokens, reply: Reply) -> None:
        """Close a reservation; one that is not known is a repeat, or expired."""
        self._waiting_ids.discard(message.reservation_id)
        reservation = self._reservations.pop(message.reservation_id, None)
        if reservation is not None:
            reservation.expiry.cancel()
            self._manager.settle(reservation.workspace, reservation.tokens, message.used)
        reply(TokensSettled(message.reservation_id))

    def _confirm(self, message: ReserveTokens, reply: Reply) -> None:
        seconds = message.seconds_left + SETTLEMENT_RETRY_SECONDS_MAX + EXPIRY_MARGIN_SECONDS
        expiry = self._scheduler.call_after(seconds, lambda: self._expire(message))
        self._reservations[message.reservation_id] = _PeerReservation(
            message.workspace, message.tokens, expiry
        )
        reply(TokensReserved(message.reservation_id))

    def _refuse(self, message: ReserveTokens, reply: Reply, refusal: Refusal) -> None:
        away = self._manager.is_store_unreachable
        reason, detail = refusal.reason.value, refusal.detail
        reply(TokensLacking(message.reservation_id, reason, detail, away))

    def _expire(self, message: ReserveTokens) -> None:
        reservation = self._reservations.pop(message.reservation_id)
        log_event(
            "reservation_expired",
            level=30,
            reservation=message.reservation_id,
            workspace=reservation.workspace,
            counted_as_used=reservation.tokens,
        )
        self._manager.settle(reservation.workspace, reservation.tokens, reservation.tokens)
