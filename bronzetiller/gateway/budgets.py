"""Reserve tokens for this node's requests, here or at the peers that hold them."""

import itertools
from collections.abc import Callable

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.errors import Reason, Refusal
from bronzetiller.gateway.allocation_manager import AllocationManager
from bronzetiller.gateway.budget_refusals import refuse_unconfirmed
from bronzetiller.gateway.budget_state import add_budget, describe_budget
from bronzetiller.gateway.holder_map import HolderMap
from bronzetiller.gateway.holders import (
    HIGH_DEMAND_REQUESTS_PER_SECOND,
    HolderOrder,
    HolderRequest,
    plan_fallback_requests,
    plan_nearby_requests,
    put_own_node_first,
)
from bronzetiller.gateway.reservation_client import (
    Reservation,
    ReservationClient,
    ReservationFailure,
)
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.queues import RateMeter

ReserveCallback = Callable[[Result[Reservation | None, Refusal]], None]


@define(eq=False)
class Budgets:
    """Reserve tokens at the holders of a workspace, which may include this node."""

    _scheduler: Scheduler
    _manager: AllocationManager
    _client: ReservationClient
    _holders: HolderMap
    _node_id: str
    _incarnation: str
    _arrival_meters: dict[str, RateMeter] = field(factory=dict)
    _reservation_numbers: "itertools.count[int]" = field(factory=itertools.count)

    def reserve(
        self, request_id: str, workspace: str, tokens: int, deadline: float, done: ReserveCallback
    ) -> None:
        """Reserve tokens; the result is None if the workspace has no budget."""
        if workspace not in self._manager.allocations:
            done(Ok(None))
            return
        reservation_id = f"{self._incarnation}/{next(self._reservation_numbers)}"
        reservation = Reservation(reservation_id, workspace, tokens, self._node_id)
        self._arrival_meters.setdefault(workspace, RateMeter()).record(1.0, self._scheduler.now())
        order = self._holders.find_order(workspace)
        if self._has_high_demand(workspace):
            order = put_own_node_first(self._node_id, order)
        search = _ReservationSearch(
            self._scheduler,
            self._manager,
            self._client,
            self._node_id,
            request_id,
            reservation,
            order,
            deadline,
            done,
        )
        search.start()

    def settle(self, reservation: Reservation, used: int) -> None:
        """Spend the used part of a reservation and release the rest."""
        if reservation.holder == self._node_id:
            self._manager.settle(reservation.workspace, reservation.tokens, used)
            return
        self._client.settle(reservation, used)
        if self._has_high_demand(reservation.workspace):
            self._manager.record_demand(reservation.workspace, used)

    def _has_high_demand(self, workspace: str) -> bool:
        meter = self._arrival_meters.get(workspace)
        rate = None if meter is None else meter.estimate(self._scheduler.now())
        return rate is not None and rate >= HIGH_DEMAND_REQUESTS_PER_SECOND


@define(eq=False)
class _ReservationSearch:
    """Try the holders one after another until one reserves the tokens of a request."""

    _scheduler: Scheduler
    _manager: AllocationManager
    _client: ReservationClient
    _own_id: str
    _request_id: str
    _reservation: Reservation
    _order: HolderOrder
    _deadline: float
    _done: ReserveCallback
    _pending: list[HolderRequest] = field(factory=list)
    _is_fallback_round: bool = False
    _waiting_holder_id: str | None = None
    _store_unreachable: bool = False
    _refusal: Refusal | None = None
    _attempts: list[str] = field(factory=list)

    def start(self) -> None:
        """Send the first request."""
        self._pending = plan_nearby_requests(self._order)
        self._try_next_holder()

    def _try_next_holder(self) -> None:
        if self._scheduler.now() >= self._deadline:
            self._finish(Err(self._refusal or refuse_unconfirmed("the deadline passed")))
            return
        while self._pending:
            request = self._pending.pop(0)
            if request.node_id == self._own_id:
                self._try_own_node(request)
                return
            if not self._client.is_avoided(request.node_id):
                self._request_from_peer(request)
                return
        if self._is_fallback_round:
            self._finish(Err(self._refusal or refuse_unconfirmed("no holder responds")))
            return
        self._is_fallback_round = True
        waiting_holder_id = self._waiting_holder_id or self._own_id
        self._pending = plan_fallback_requests(
            self._order, waiting_holder_id, store_unreachable=self._store_unreachable
        )
        self._try_next_holder()

    def _try_own_node(self, request: HolderRequest) -> None:
        manager = self._manager
        reservation = evolve(self._reservation, holder=request.node_id)

        def handle_result(result: Result[None, Refusal]) -> None:
            if isinstance(result, Err):
                self._handle_response(
                    request, Err(ReservationFailure(result.err_value, manager.is_store_unreachable))
                )
            else:
                self._finish(Ok(reservation))

        reserve = manager.reserve_when_available if request.may_wait else manager.reserve_held
        reserve(reservation.workspace, reservation.tokens, self._deadline, handle_result)

    def _request_from_peer(self, request: HolderRequest) -> None:
        # Each request has its own id, so that releasing one does not settle another.
        reservation_id = f"{self._reservation.reservation_id}/{len(self._attempts)}"
        self._client.request(
            evolve(self._reservation, reservation_id=reservation_id, holder=request.node_id),
            may_wait=request.may_wait,
            deadline=self._deadline,
            done=lambda result: self._handle_response(request, result),
        )

    def _handle_response(
        self, request: HolderRequest, result: Result[Reservation, ReservationFailure]
    ) -> None:
        if isinstance(result, Ok):
            self._finish(result)
            return
        failure = result.err_value
        self._attempts.append(f"{request.node_id}:{'waited' if request.may_wait else 'lacks'}")
        if failure.refusal.reason is Reason.BUDGET_EXHAUSTED:
            self._finish(Err(failure.refusal))
            return
        self._record_store_state(request.node_id, failure.store_unreachable)
        if request.may_wait or self._refusal is None:
            self._refusal = failure.refusal
        self._try_next_holder()

    def _record_store_state(self, node_id: str, store_unreachable: bool | None) -> None:
        """Choose the holder that is to wait: the first to respond, or to reach the store."""
        if store_unreachable is None:
            return
        if self._waiting_holder_id is None or (self._store_unreachable and not store_unreachable):
            self._waiting_holder_id, self._store_unreachable = node_id, store_unreachable

    def _finish(self, result: Result[Reservation, Refusal]) -> None:
        if self._attempts:
            log_event(
                "tokens_searched",
                id=self._request_id,
                workspace=self._reservation.workspace,
                tokens=self._reservation.tokens,
                asked=",".join(self._attempts),
                holder=result.ok_value.holder if isinstance(result, Ok) else "",
            )
        self._done(result.map_err(self._add_budget))

    def _add_budget(self, refusal: Refusal) -> Refusal:
        workspace = self._reservation.workspace
        allocation = self._manager.allocations.get(workspace)
        others = self._manager.list_others(workspace)
        state = None if allocation is None else describe_budget(allocation, others)
        return add_budget(refusal, workspace, state)
