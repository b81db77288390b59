"""Keep a node's allotments in step with the budgets in the store."""

import zlib
from collections.abc import Callable
from itertools import count

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.errors import Reason, Refusal
from bronzetiller.gateway.allotments import (
    Allotment,
    BudgetRecord,
    read_budget_record,
    size_request,
    size_return,
    size_wanted,
)
from bronzetiller.gateway.catalogue import WorkspaceTerms
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_ASKED, TOKENS_MOVED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.queues import RateMeter
from bronzetiller.storage.keyed import (
    AppendFailure,
    EndMoved,
    HistoryExpired,
    KeyedStore,
    Partition,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
)

BUDGETS_TOPIC = "keyed.budgets"
CHECK_SECONDS = 0.5
RETRY_SECONDS = 0.25
FRESH_SECONDS = 1.5  # a budget read longer ago than this is read again before a refusal
WAIT_SECONDS_MAX = 1.2  # a few answers of the store from another region, each some 70 ms
UNCONFIRMED_RETRY_SECONDS = 1.0

Obtained = Callable[[Result[None, Refusal]], None]


@define(eq=False)
class _Waiter:
    allotment: Allotment
    tokens: int
    deadline: float
    done: Obtained


@define(eq=False)
class _Change:
    """Hold a conditional append until it is known whether it took effect."""

    allotment: Allotment
    tokens: int
    record: BudgetRecord
    end: int


@define(eq=False)
class _PartitionView:
    """Hold what this node knows of one partition; one call is open at a time."""

    partition: Partition
    end: int = -1
    records: dict[str, BudgetRecord] = field(factory=dict)
    read_at: float = float("-inf")
    busy: bool = False
    change: _Change | None = None


@define(eq=False)
class AllotmentKeeper:
    """Hold the allotments of a node; holder names its incarnation in the records it writes."""

    _scheduler: Scheduler
    _store: KeyedStore
    _partitions: int
    _holder: str
    _count_nodes: Callable[[], int]
    allotments: dict[str, Allotment] = field(factory=dict)
    _meters: dict[str, RateMeter] = field(factory=dict)
    _views: dict[int, _PartitionView] = field(factory=dict)
    _waiters: dict[str, list[_Waiter]] = field(factory=dict)
    _numbers: "count[int]" = field(factory=count)
    _ahead: bool = False
    _leaving: bool = False

    def start(self) -> None:
        """Begin to hold tokens ahead of need."""
        self._ahead = True
        self._scheduler.call_every(CHECK_SECONDS, self._check_all)
        self._check_all()

    def set_workspaces(self, workspaces: dict[str, WorkspaceTerms]) -> None:
        """Take over the budgets of a new configuration."""
        for name, terms in workspaces.items():
            if terms.prepaid_tokens is None:
                self.allotments.pop(name, None)
                continue
            known = self.allotments.get(name)
            if known is None:
                self.allotments[name] = Allotment(name, terms.prepaid_tokens)
            elif known.prepaid != terms.prepaid_tokens:
                log_event(
                    "budget_changed",
                    workspace=name,
                    before=known.prepaid,
                    after=terms.prepaid_tokens,
                )
                known.prepaid = terms.prepaid_tokens
        if self._ahead:
            self._check_all()

    def obtain(self, workspace: str, tokens: int, deadline: float, done: Obtained) -> None:
        """Set tokens aside, now or once the store has handed them out; done is called once."""
        allotment = self.allotments.get(workspace)
        if allotment is None:
            done(Ok(None))
            return
        if not self._waiters.get(workspace) and allotment.reserve(tokens):
            self._meter(workspace).note(tokens, self._scheduler.now())
            done(Ok(None))
            self._act(allotment)
            return
        allotment.largest = max(allotment.largest, tokens)
        waiter = _Waiter(
            allotment,
            tokens,
            min(deadline, self._scheduler.now() + WAIT_SECONDS_MAX),
            done,
        )
        self._waiters.setdefault(workspace, []).append(waiter)
        allotment.waiting[id(waiter)] = tokens
        self._scheduler.call_at(waiter.deadline, lambda: self._expire(waiter))
        self._act(allotment)

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Spend a part of what was set aside and put the rest back."""
        allotment = self.allotments.get(workspace)
        if allotment is None:
            return
        allotment.settle(reserved, used)
        self._meter(workspace).note(-max(0, reserved - used), self._scheduler.now())
        self._serve_waiters(allotment)

    def return_all(self) -> None:
        """Hand back what no request needs, before the node ends."""
        self._leaving = True
        for allotment in self.allotments.values():
            self._act(allotment)

    @property
    def is_idle(self) -> bool:
        """Say whether no change waits for the store."""
        return all(not view.busy for view in self._views.values())

    def _meter(self, workspace: str) -> RateMeter:
        return self._meters.setdefault(workspace, RateMeter())

    def _view(self, workspace: str) -> _PartitionView:
        number = zlib.crc32(workspace.encode()) % self._partitions
        view = self._views.get(number)
        if view is None:
            view = self._views[number] = _PartitionView(Partition(BUDGETS_TOPIC, number))
        return view

    def _check_all(self) -> None:
        for allotment in list(self.allotments.values()):
            self._act(allotment)

    def _act(self, allotment: Allotment) -> None:
        """Ask for tokens or hand some back, if this node should and nothing is under way."""
        view = self._view(allotment.workspace)
        if view.busy:
            return
        if view.end < 0:
            self._read(view)
            return
        tokens = self._size_change(allotment, view)
        if tokens:
            self._change(view, allotment, tokens)
        elif allotment.waiting:
            self._refuse_or_refresh(view, allotment)

    def _size_change(self, allotment: Allotment, view: _PartitionView) -> int:
        """Return the tokens to take (positive) or to hand back (negative)."""
        record = view.records.get(allotment.workspace, BudgetRecord())
        free = allotment.prepaid - record.handed_out
        if free < 0 or self._leaving:
            return -allotment.balance if not allotment.waiting else 0
        if not self._ahead:
            return size_request(allotment, wanted=0, free=free, nodes=1)
        nodes = max(1, self._count_nodes())
        rate = self._meter(allotment.workspace).estimate(self._scheduler.now())
        wanted = size_wanted(allotment, rate=rate, nodes=nodes)
        tokens = size_request(allotment, wanted=wanted, free=free, nodes=nodes)
        return tokens or -size_return(allotment, wanted=wanted)

    def _change(self, view: _PartitionView, allotment: Allotment, tokens: int) -> None:
        record = view.records.get(allotment.workspace, BudgetRecord())
        if tokens < 0:
            allotment.balance += tokens  # not to be spent while the record may already be lower
        new = BudgetRecord(record.handed_out + tokens, f"{self._holder}/{next(self._numbers)}")
        view.change = _Change(allotment, tokens, new, view.end)
        view.busy = True
        cause = "waiting" if allotment.waiting else "ahead" if tokens > 0 else "surplus"
        GRANTS_ASKED.labels(cause).inc()
        self._append(view)

    def _append(self, view: _PartitionView) -> None:
        change = view.change
        assert change is not None

        def take(result: Result[int, AppendFailure]) -> None:
            match result:
                case Ok(offset):
                    view.end = offset + 1
                    view.records[change.allotment.workspace] = change.record
                    view.read_at = self._scheduler.now()
                    self._finish(view, applied=True)
                case Err(EndMoved()):
                    self._read(view)
                case Err(StoreUnreachable(cause, may_have_run)):
                    log_event("budget_change_unanswered", level=30, cause=cause, ran=may_have_run)
                    if not may_have_run:
                        self._finish(view, applied=False, pause=True)
                    else:
                        # Only the same append again tells whether the first one took effect.
                        self._scheduler.call_after(RETRY_SECONDS, lambda: self._append(view))

        key = change.allotment.workspace
        self._store.append(view.partition, key, change.record.encode(), change.end, take)

    def _read(self, view: _PartitionView) -> None:
        view.busy = True
        if view.end < 0:
            self._store.read_newest(view.partition, lambda result: self._take_read(view, result))
            return
        self._store.read_from(
            view.partition, view.end, 0.0, lambda result: self._take_read(view, result)
        )

    def _take_read(
        self,
        view: _PartitionView,
        result: Result[RecordBatch, ReadFailure] | Result[RecordBatch, StoreUnreachable],
    ) -> None:
        match result:
            case Err(HistoryExpired()):
                view.end = -1
                self._read(view)
            case Err(failure):
                log_event("budget_unread", level=30, partition=view.partition, cause=failure)
                self._scheduler.call_after(RETRY_SECONDS, lambda: self._read(view))
                self._fail_waiters(view)
            case Ok(batch):
                applied = False
                for item in batch.records:
                    record = read_budget_record(item.value or b"")
                    if record is None:
                        log_event("budget_record_malformed", level=40, key=item.key)
                        continue
                    view.records[item.key] = record
                    if view.change is not None and record.writer == view.change.record.writer:
                        applied = True
                view.end = batch.end
                view.read_at = self._scheduler.now()
                self._finish(view, applied=applied)

    def _finish(self, view: _PartitionView, *, applied: bool, pause: bool = False) -> None:
        change, view.change = view.change, None
        view.busy = False
        if change is not None:
            self._conclude(change, applied=applied)
        if pause:
            view.busy = True
            self._scheduler.call_after(RETRY_SECONDS, lambda: self._resume(view))
        else:
            self._resume(view)

    def _conclude(self, change: _Change, *, applied: bool) -> None:
        allotment = change.allotment
        if applied and change.tokens > 0:
            allotment.balance += change.tokens
            TOKENS_MOVED.labels("granted").inc(change.tokens)
        elif applied:
            TOKENS_MOVED.labels("returned").inc(-change.tokens)
        elif change.tokens < 0:
            allotment.balance -= change.tokens
        log_event(
            "budget_change",
            workspace=allotment.workspace,
            tokens=change.tokens,
            applied=applied,
            handed_out=change.record.handed_out,
            prepaid=allotment.prepaid,
            balance=allotment.balance,
        )
        self._serve_waiters(allotment)

    def _resume(self, view: _PartitionView) -> None:
        view.busy = False
        for allotment in list(self.allotments.values()):
            if self._view(allotment.workspace) is view:
                self._act(allotment)

    def _serve_waiters(self, allotment: Allotment) -> None:
        waiters = self._waiters.get(allotment.workspace, [])
        for waiter in list(waiters):
            if allotment.reserve(waiter.tokens):
                self._meter(allotment.workspace).note(waiter.tokens, self._scheduler.now())
                self._end(waiter, Ok(None))

    def _refuse_or_refresh(self, view: _PartitionView, allotment: Allotment) -> None:
        """Refuse the requests that the budget does not cover, once it has been read of late."""
        if self._scheduler.now() - view.read_at > FRESH_SECONDS:
            self._read(view)
            return
        detail = "what is left of the budget does not cover the request"
        for waiter in list(self._waiters.get(allotment.workspace, [])):
            self._end(waiter, Err(Refusal(402, Reason.BUDGET_EXHAUSTED, detail)))

    def _fail_waiters(self, view: _PartitionView) -> None:
        for workspace, waiters in list(self._waiters.items()):
            if self._view(workspace) is view:
                for waiter in list(waiters):
                    self._end(waiter, Err(_refuse_unconfirmed()))

    def _expire(self, waiter: _Waiter) -> None:
        if id(waiter) in waiter.allotment.waiting:
            self._end(waiter, Err(_refuse_unconfirmed()))

    def _end(self, waiter: _Waiter, result: Result[None, Refusal]) -> None:
        self._waiters[waiter.allotment.workspace].remove(waiter)
        del waiter.allotment.waiting[id(waiter)]
        waiter.done(result)


def _refuse_unconfirmed() -> Refusal:
    detail = "the budget cannot be confirmed, as the store does not answer"
    return Refusal(
        503,
        Reason.BUDGET_UNCONFIRMED,
        detail,
        retry_after_seconds=UNCONFIRMED_RETRY_SECONDS,
    )
