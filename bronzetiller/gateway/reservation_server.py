"""Reserve tokens of this node for the requests of its peers."""

from attrs import asdict, define, field
from result import Err, Ok, Result

from bronzetiller.errors import Refusal
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.gateway.allocation_manager import AllocationManager
from bronzetiller.gateway.budget_refusals import refuse_unconfirmed
from bronzetiller.gateway.budget_state import describe_budget
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.wire.messages import (
    ReserveTokens,
    SettleTokens,
    TokensLacking,
    TokensReserved,
    TokensSettled,
)

# Peers retry a settlement for this time, which exceeds partitions of a few seconds.
SETTLEMENT_RETRY_SECONDS_MAX = 10.0
EXPIRY_MARGIN_SECONDS = 2.0  # time for the last retry to arrive


@define
class _PeerReservation:
    """Hold tokens reserved for a peer, and the timer that expires them."""

    workspace: str
    tokens: int
    expiry: Timer


@define(eq=False)
class ReservationServer:
    """Handle the reservations of peers.

    A reservation that is never settled counts as fully used, as its request may have run.
    """

    _scheduler: Scheduler
    _manager: AllocationManager
    _reservations: dict[str, _PeerReservation] = field(factory=dict)
    _waiting_ids: set[str] = field(factory=set)

    def register_handlers(self, peers: Peers) -> None:
        """Start handling the messages of peers."""
        peers.on(ReserveTokens, self.reserve)
        peers.on(SettleTokens, self.settle)

    def reserve(self, message: ReserveTokens, reply: Reply) -> None:
        """Reserve tokens for a peer, or reply with the reason for a refusal."""
        if message.workspace not in self._manager.allocations:
            self._refuse(
                message, reply, refuse_unconfirmed("the holder does not know the workspace")
            )
            return

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
        manager = self._manager
        reserve = manager.reserve_when_available if message.may_wait else manager.reserve_held
        deadline = self._scheduler.now() + message.seconds_left
        reserve(message.workspace, message.tokens, deadline, handle_result)

    def settle(self, message: SettleTokens, reply: Reply) -> None:
        """Close a reservation; an unknown one was already settled or has expired."""
        self._waiting_ids.discard(message.reservation_id)
        peer_reservation = self._reservations.pop(message.reservation_id, None)
        if peer_reservation is not None:
            peer_reservation.expiry.cancel()
            self._manager.settle(peer_reservation.workspace, peer_reservation.tokens, message.used)
        reply(TokensSettled(message.reservation_id))

    def _confirm(self, message: ReserveTokens, reply: Reply) -> None:
        seconds = message.seconds_left + SETTLEMENT_RETRY_SECONDS_MAX + EXPIRY_MARGIN_SECONDS
        expiry = self._scheduler.call_after(seconds, lambda: self._expire(message))
        self._reservations[message.reservation_id] = _PeerReservation(
            message.workspace, message.tokens, expiry
        )
        reply(TokensReserved(message.reservation_id))

    def _refuse(self, message: ReserveTokens, reply: Reply, refusal: Refusal) -> None:
        store_unreachable = self._manager.is_store_unreachable
        reason, detail = refusal.reason.value, refusal.detail
        allocation = self._manager.allocations.get(message.workspace)
        others = self._manager.list_others(message.workspace)
        budget = {} if allocation is None else asdict(describe_budget(allocation, others))
        reply(TokensLacking(message.reservation_id, reason, detail, store_unreachable, budget))

    def _expire(self, message: ReserveTokens) -> None:
        peer_reservation = self._reservations.pop(message.reservation_id)
        log_event(
            "reservation_expired",
            level=30,
            reservation=message.reservation_id,
            workspace=peer_reservation.workspace,
            counted_as_used=peer_reservation.tokens,
        )
        self._manager.settle(
            peer_reservation.workspace, peer_reservation.tokens, peer_reservation.tokens
        )
