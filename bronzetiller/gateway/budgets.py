"""Set tokens aside for this node's requests, here or at the peers that hold them."""

import itertools
from collections.abc import Callable

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.errors import Reason, Refusal
from bronzetiller.gateway.allotment_keeper import AllotmentKeeper
from bronzetiller.gateway.borrowing import Borrower, Lacking, Reservation
from bronzetiller.gateway.budget_refusals import refuse_unconfirmed
from bronzetiller.gateway.holder_map import HolderMap
from bronzetiller.gateway.holders import (
    HEAVY_REQUESTS_PER_SECOND,
    Ask,
    HolderOrder,
    add_own,
    plan_first_asks,
    plan_last_asks,
)
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.queues import RateMeter

Obtained = Callable[[Result[Reservation | None, Refusal]], None]


@define(eq=False)
class Budgets:
    """Ask the holders of a workspace, this node itself among them, one after another."""

    _scheduler: Scheduler
    _keeper: AllotmentKeeper
    _borrower: Borrower
    _holders: HolderMap
    _node_id: str
    _incarnation: str
    _arrivals: dict[str, RateMeter] = field(factory=dict)
    _numbers: "itertools.count[int]" = field(factory=itertools.count)

    def obtain(
        self, request_id: str, workspace: str, tokens: int, deadline: float, done: Obtained
    ) -> None:
        """Set tokens aside; give no reservation where the workspace has no budget."""
        if workspace not in self._keeper.allotments:
            done(Ok(None))
            return
        reservation_id = f"{self._incarnation}/{next(self._numbers)}"
        reservation = Reservation(reservation_id, workspace, tokens, self._node_id)
        self._arrivals.setdefault(workspace, RateMeter()).record(1.0, self._scheduler.now())
        order = self._holders.find_order(workspace)
        if self._is_heavy(workspace):
            order = add_own(self._node_id, order)
        search = _Search(
            self._scheduler,
            self._keeper,
            self._borrower,
            self._node_id,
            request_id,
            reservation,
            order,
            deadline,
            done,
        )
        search.start()

    def settle(self, reservation: Reservation, used: int) -> None:
        """Spend a part of what was set aside and put the rest back."""
        if reservation.holder == self._node_id:
            self._keeper.settle(reservation.workspace, reservation.tokens, used)
            return
        self._borrower.settle(reservation, used)
        if self._is_heavy(reservation.workspace):
            self._keeper.note_demand(reservation.workspace, used)

    def _is_heavy(self, workspace: str) -> bool:
        meter = self._arrivals.get(workspace)
        rate = None if meter is None else meter.estimate(self._scheduler.now())
        return rate is not None and rate >= HEAVY_REQUESTS_PER_SECOND


@define(eq=False)
class _Search:
    """Hold the state of one request's search for tokens."""

    _scheduler: Scheduler
    _keeper: AllotmentKeeper
    _borrower: Borrower
    _own_id: str
    _request_id: str
    _reservation: Reservation
    _order: HolderOrder
    _deadline: float
    _done: Obtained
    _asks: list[Ask] = field(factory=list)
    _is_last_round: bool = False
    _waits_at: str | None = None
    _store_away: bool = False
    _refusal: Refusal | None = None
    _steps: list[str] = field(factory=list)

    def start(self) -> None:
        """Ask the first holder."""
        self._asks = plan_first_asks(self._order)
        self._ask_next()

    def _ask_next(self) -> None:
        if self._scheduler.now() >= self._deadline:
            self._end(Err(self._refusal or refuse_unconfirmed("the deadline passed")))
            return
        while self._asks:
            ask = self._asks.pop(0)
            if ask.node_id == self._own_id:
                self._ask_self(ask)
                return
            if not self._borrower.is_avoided(ask.node_id):
                self._ask_peer(ask)
                return
        if self._is_last_round:
            self._end(Err(self._refusal or refuse_unconfirmed("no holder answers")))
            return
        self._is_last_round = True
        waits_at = self._waits_at or self._own_id
        self._asks = plan_last_asks(self._order, waits_at, store_away=self._store_away)
        self._ask_next()

    def _ask_self(self, ask: Ask) -> None:
        keeper = self._keeper
        reservation = evolve(self._reservation, holder=ask.node_id)
        if not ask.may_wait:
            if keeper.reserve(reservation.workspace, reservation.tokens):
                self._end(Ok(reservation))
            else:
                refusal = refuse_unconfirmed("this node holds too few tokens")
                self._take(ask, Err(Lacking(refusal, keeper.is_store_away)))
            return

        def take(result: Result[None, Refusal]) -> None:
            if isinstance(result, Err):
                self._take(ask, Err(Lacking(result.err_value, keeper.is_store_away)))
            else:
                self._end(Ok(reservation))

        keeper.obtain(reservation.workspace, reservation.tokens, self._deadline, take)

    def _ask_peer(self, ask: Ask) -> None:
        # Each ask has an id of its own: the release of one must not settle another.
        reservation_id = f"{self._reservation.reservation_id}/{len(self._steps)}"
        self._borrower.ask(
            evolve(self._reservation, reservation_id=reservation_id, holder=ask.node_id),
            may_wait=ask.may_wait,
            deadline=self._deadline,
            done=lambda result: self._take(ask, result),
        )

    def _take(self, ask: Ask, result: Result[Reservation, Lacking]) -> None:
        if isinstance(result, Ok):
            self._end(result)
            return
        lacking = result.err_value
        self._steps.append(f"{ask.node_id}:{'waited' if ask.may_wait else 'lacks'}")
        if lacking.refusal.reason is Reason.BUDGET_EXHAUSTED:
            self._end(Err(lacking.refusal))
            return
        self._note_store(ask.node_id, lacking.store_away)
        if ask.may_wait or self._refusal is None:
            self._refusal = lacking.refusal
        self._ask_next()

    def _note_store(self, node_id: str, store_away: bool | None) -> None:
        """Choose who is asked to wait: the first to answer, or the first that has the store."""
        if store_away is None:
            return
        if self._waits_at is None or (self._store_away and not store_away):
            self._waits_at, self._store_away = node_id, store_away

    def _end(self, result: Result[Reservation, Refusal]) -> None:
        if self._steps:
            log_event(
                "tokens_searched",
                id=self._request_id,
                workspace=self._reservation.workspace,
                tokens=self._reservation.tokens,
                asked=",".join(self._steps),
                holder=result.ok_value.holder if isinstance(result, Ok) else "",
            )
        self._done(result)
