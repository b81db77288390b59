"""Keep a node's allotments in step with the records of all nodes in the store."""

import time
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.errors import Refusal
from bronzetiller.gateway.allotments import (
    Account,
    Allotment,
    HoldingRecord,
    blend_shares,
    read_holding_record,
    reclaim_accounts,
    size_change,
    size_target,
)
from bronzetiller.gateway.budget_refusals import (
    refuse_exhausted,
    refuse_scattered,
    refuse_unconfirmed,
)
from bronzetiller.gateway.clock_watch import ClockWatch
from bronzetiller.gateway.configuration import WorkspaceConfiguration
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_ASKED, TOKENS_MOVED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.topics import HOLDINGS_TOPIC
from bronzetiller.routing.queues import RateMeter
from bronzetiller.storage.keyed import (
    AppendFailure,
    Fenced,
    HistoryExpired,
    KeyedStore,
    Partition,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
    WriterSequence,
)

HOLDINGS_PARTITION = Partition(HOLDINGS_TOPIC)
REPORT_SECONDS_MIN = 0.5  # a few writes a second of the hundreds that the store takes
REPORT_SECONDS_PER_WRITER = 0.03  # so that the nodes together make some 30 reports a second
USE_FADE_SECONDS = 12.0  # a few large requests a workspace and node; cuts last some ten seconds
CHECK_SECONDS = 0.2
RETRY_SECONDS = 0.25
CUT_OFF_WAIT_SECONDS_MAX = 2.0  # late is better than refused, as another node is as likely cut off
WAIT_SECONDS_MAX = 1.2  # a few answers of the store from another region, each some 70 ms

Obtained = Callable[[Result[None, Refusal]], None]


@define(eq=False)
class _Waiter:
    allotment: Allotment
    tokens: int
    deadline: float
    done: Obtained


@define(eq=False)
class AllotmentKeeper:
    """Hold the allotments of a node and its record; one call to the store is open at a time."""

    _scheduler: Scheduler
    _store: KeyedStore
    _node_id: str
    _holder: str
    _find_share: Callable[[str], float]
    allotments: dict[str, Allotment] = field(factory=dict)
    _clock: ClockWatch = field(factory=ClockWatch)
    _read_clock: Callable[[], float] = time.time
    _started_at: float = field(factory=time.time)
    _records: dict[str, HoldingRecord] = field(factory=dict)
    _reclaimed: dict[str, Account] = field(factory=dict)
    _meters: dict[str, RateMeter] = field(factory=dict)
    _waiters: dict[str, list[_Waiter]] = field(factory=dict)
    _epoch: int = 0
    _number: int = 0
    _offset: int | None = None
    _end: int = -1
    _proposed: HoldingRecord | None = None
    _busy: bool = False
    _doubtful: bool = False
    _lost: bool = False
    _leaving: bool = False
    _reported_at: float = float("-inf")
    _read_at: float = float("-inf")

    def start(self) -> None:
        """Begin to report and to hold tokens ahead of need."""
        self._scheduler.call_every(CHECK_SECONDS, self._check)
        self._check()

    def set_workspaces(self, workspaces: dict[str, WorkspaceConfiguration]) -> None:
        """Take over the budgets of a new configuration."""
        for name, terms in workspaces.items():
            if terms.prepaid_tokens is None:
                self.allotments.pop(name, None)
                continue
            known = self.allotments.get(name)
            if known is None:
                self.allotments[name] = self._make_allotment(name, terms.prepaid_tokens)
            elif known.prepaid != terms.prepaid_tokens:
                log_event(
                    "budget_changed",
                    workspace=name,
                    before=known.prepaid,
                    after=terms.prepaid_tokens,
                )
                known.prepaid = terms.prepaid_tokens

    def obtain(self, workspace: str, tokens: int, deadline: float, done: Obtained) -> None:
        """Set tokens aside, now or once the store has handed them out; done is called once."""
        allotment = self.allotments.get(workspace)
        if allotment is None:
            done(Ok(None))
            return
        if self.reserve(workspace, tokens):
            done(Ok(None))
            return
        now = self._scheduler.now()
        wait_until = min(deadline, now + WAIT_SECONDS_MAX)
        if self._lost:
            available_at = allotment.predict_available(tokens, now)
            if available_at is None or available_at > min(deadline, now + CUT_OFF_WAIT_SECONDS_MAX):
                done(Err(self._refuse_cut_off(allotment, tokens)))
                return
            wait_until = available_at + 2 * CHECK_SECONDS
        waiter = _Waiter(allotment, tokens, wait_until, done)
        self._waiters.setdefault(workspace, []).append(waiter)
        allotment.waiting[id(waiter)] = tokens
        self._scheduler.call_at(waiter.deadline, lambda: self._expire(waiter))
        self._report()

    def reserve(self, workspace: str, tokens: int) -> bool:
        """Set tokens aside if the node holds them already and no request waits for some."""
        allotment = self.allotments.get(workspace)
        if allotment is None or allotment.waiting or self._leaving:
            return False
        now = self._scheduler.now()
        if not allotment.reserve(tokens, now):
            return False
        self._meter(workspace).record(tokens, now)
        return True

    @property
    def is_store_away(self) -> bool:
        """Say whether the last call to the store failed."""
        return self._lost

    def note_demand(self, workspace: str, tokens: int) -> None:
        """Count tokens of a request that another node set aside, so that some are held here."""
        self._meter(workspace).record(tokens, self._scheduler.now())

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Spend a part of what was set aside and put the rest back."""
        allotment = self.allotments.get(workspace)
        if allotment is None:
            return
        allotment.settle(reserved, used)
        self._meter(workspace).record(-max(0, reserved - used), self._scheduler.now())
        self._serve_waiters(allotment)

    def return_all(self) -> None:
        """Hand back what no request needs, before the node ends."""
        if not self._leaving:
            self._leaving = True
            self._report()

    @property
    def is_settled(self) -> bool:
        """Say whether all was handed back, or cannot be as the store is away."""
        held = any(allotment.held > 0 for allotment in self.allotments.values())
        return self._leaving and (self._lost or not (held or self._busy))

    def _make_allotment(self, name: str, prepaid: int) -> Allotment:
        account = self._reclaimed.get(name, Account())
        return Allotment(name, prepaid, spent=account.committed, reported=account)

    def _meter(self, workspace: str) -> RateMeter:
        return self._meters.setdefault(workspace, RateMeter(USE_FADE_SECONDS))

    def _estimate_rate(self, workspace: str) -> float:
        return max(0.0, self._meter(workspace).estimate(self._scheduler.now()) or 0.0)

    def _refuse_cut_off(self, allotment: Allotment, tokens: int) -> Refusal:
        now = self._scheduler.now()
        return refuse_unconfirmed(
            f"the store does not answer since {now - self._read_at:.1f} s; the request needs"
            f" {tokens} tokens of {allotment.held} held, {allotment.count_available(now)} available"
        )

    def _check(self) -> None:
        self._clock.check()
        if self._lost:
            for allotment in self.allotments.values():
                self._serve_waiters(allotment)
        interval = max(REPORT_SECONDS_MIN, REPORT_SECONDS_PER_WRITER * len(self._records))
        due = self._scheduler.now() - self._reported_at >= interval
        if due or any(allotment.waiting for allotment in self.allotments.values()):
            self._report()

    def _report(self) -> None:
        """Write this node's record as it should be now, unless a call is open."""
        if self._busy:
            return
        if self._end < 0 or self._lost:
            self._read()  # a proposal would only bind the node while the store cannot take it
            return
        now = self._scheduler.now()
        accounts = {}
        for name, allotment in self.allotments.items():
            change = self._size_change(allotment)
            handed_out = allotment.reported.handed_out + change
            accounts[name] = allotment.propose(handed_out, self._estimate_rate(name), now)
            if change:
                cause = "waiting" if allotment.waiting else "ahead" if change > 0 else "surplus"
                GRANTS_ASKED.labels(cause).inc()
        kept = {name: item for name, item in self._reclaimed.items() if name not in accounts}
        accounts = {name: item for name, item in (kept | accounts).items() if item.is_used}
        if self._is_idle(accounts):
            self._drop_proposals()
            self._reported_at = now
            return
        self._number += 1
        self._proposed = HoldingRecord(
            self._holder,
            self._epoch,
            self._number,
            self._read_clock(),
            self._clock.steady,
            accounts,
        )
        self._busy = True
        self._append()

    def _is_idle(self, accounts: dict[str, Account]) -> bool:
        """Say whether a record would tell the other nodes nothing new."""
        recorded = self._records.get(self._node_id)
        if any(allotment.waiting for allotment in self.allotments.values()):
            return False
        if any(item.handed_out != item.committed for item in accounts.values()):
            return False
        known = {} if recorded is None else recorded.accounts
        return _list_spent(accounts) == _list_spent(known)

    def _size_change(self, allotment: Allotment) -> int:
        others = self._list_others(allotment.workspace)
        free = allotment.prepaid - allotment.reported.handed_out
        free -= sum(item.handed_out for item in others)
        if self._leaving:
            return -max(0, allotment.held)
        left = allotment.prepaid - allotment.committed - sum(item.committed for item in others)
        rate = self._estimate_rate(allotment.workspace)
        rates_total = rate + sum(item.rate for item in others)
        share = blend_shares(self._find_share(allotment.workspace), rate, rates_total)
        target = size_target(allotment, left=left, share=share)
        return max(size_change(allotment, target=target, free=free), -max(0, allotment.held))

    def _list_others(self, workspace: str) -> list[Account]:
        """Return the other nodes' accounts of a workspace, by their newest records known."""
        return [
            record.accounts[workspace]
            for node_id, record in self._records.items()
            if node_id != self._node_id and workspace in record.accounts
        ]

    def _append(self) -> None:
        record = self._proposed
        assert record is not None

        def take(result: Result[int, AppendFailure]) -> None:
            match result:
                case Ok(offset):
                    self._doubtful = False
                    self._note_contact()
                    self._take_offset(record, offset)
                case Err(Fenced(cause)):
                    log_event("holding_record_fenced", level=40, epoch=record.epoch, cause=cause)
                    self._epoch += 1
                    self._doubtful = False
                    self._drop_proposals()
                    self._read()
                case Err(StoreUnreachable(cause, may_have_run)):
                    self._note_loss(cause)
                    self._doubtful = self._doubtful or may_have_run
                    if self._doubtful:
                        # The store tells by its number whether it already has this record.
                        self._scheduler.call_after(RETRY_SECONDS, self._append)
                    else:
                        self._number -= 1
                        self._drop_proposals()
                        self._conclude()

        writer_sequence = WriterSequence(self._node_id, record.epoch, record.number)
        self._store.append(
            HOLDINGS_PARTITION, self._node_id, record.encode(), writer_sequence, take
        )

    def _take_offset(self, record: HoldingRecord, offset: int) -> None:
        """Judge the proposal by the records before it, which may first have to be read."""
        self._offset = offset
        if offset == self._end and record.number > 1:
            self._end = offset + 1
            self._records[self._node_id] = record
            self._accept()
        else:
            self._read()

    def _read(self) -> None:
        self._busy = True
        if self._end < 0:
            self._store.read_newest(HOLDINGS_PARTITION, self._take_read)
        else:
            self._store.read_from(HOLDINGS_PARTITION, self._end, 0.0, self._take_read)

    def _take_read(
        self, result: Result[RecordBatch, ReadFailure] | Result[RecordBatch, StoreUnreachable]
    ) -> None:
        match result:
            case Err(HistoryExpired()):
                self._end = -1
                self._read()
            case Err(failure):
                self._note_loss(str(failure))
                self._scheduler.call_after(RETRY_SECONDS, self._read)
            case Ok(batch):
                self._note_contact()
                self._apply(batch)

    def _apply(self, batch: RecordBatch) -> None:
        first = self._epoch == 0
        accepted = False
        for item in batch.records:
            if item.offset == self._offset:
                accepted = self._is_proposed(item.value)
                if accepted:
                    self._accept()
            record = read_holding_record(item.value or b"")
            if record is None:
                log_event("holding_record_malformed", level=40, key=item.key)
            else:
                self._records[item.key] = record
        self._end = batch.end
        if first:
            self._reclaim()
        if accepted:
            return
        if self._offset is None:
            self._conclude()
        elif self._offset >= self._end:
            self._read()
        else:
            # The record is no longer among those kept; all that are count as before it.
            self._accept()

    def _is_proposed(self, value: bytes | None) -> bool:
        record = read_holding_record(value or b"")
        proposed = self._proposed
        if record is None or proposed is None:
            return False
        return (record.holder, record.number) == (proposed.holder, proposed.number)

    def _accept(self) -> None:
        """Take the proposals into force as far as the records read so far leave room."""
        self._offset = None
        self._proposed = None
        self._reported_at = self._scheduler.now()
        for allotment in self.allotments.values():
            others = sum(item.handed_out for item in self._list_others(allotment.workspace))
            change = allotment.accept(others)
            if change:
                self._log_change(allotment, change)
        self._scheduler.call_after(0, self._conclude)

    def _drop_proposals(self) -> None:
        self._proposed = None
        self._offset = None
        for allotment in self.allotments.values():
            allotment.drop_proposal()

    def _reclaim(self) -> None:
        """Take over what the last incarnation of this node cannot have spent."""
        record = self._records.get(self._node_id)
        self._epoch = max(int(self._started_at), 0 if record is None else record.epoch + 1)
        if record is None:
            return
        self._reclaimed = reclaim_accounts(record, self._started_at)
        for name, account in self._reclaimed.items():
            log_event(
                "holding_reclaimed",
                workspace=name,
                holder=record.holder,
                age=round(self._started_at - record.reported_at, 2),
                clock_steady=record.clock_steady,
                handed_out=record.accounts[name].handed_out,
                counted_as_spent=account.committed,
            )
            allotment = self.allotments.get(name)
            if allotment is not None:
                allotment.spent += account.committed
                allotment.reported = account

    def _note_contact(self) -> None:
        self._read_at = self._scheduler.now()
        if self._lost:
            self._lost = False
            log_event("budget_store_regained")

    def _note_loss(self, cause: str) -> None:
        if self._lost:
            return
        self._lost = True
        log_event("budget_store_lost", level=30, cause=cause)
        for waiters in list(self._waiters.values()):
            for waiter in list(waiters):
                if waiter.tokens > waiter.allotment.held:
                    self._end_wait(waiter, Err(refuse_unconfirmed(cause)))

    def _conclude(self) -> None:
        """Serve or refuse what waits, now that no call is open."""
        self._busy = False
        for allotment in self.allotments.values():
            self._serve_waiters(allotment)
        self._refuse_uncovered()
        if any(allotment.waiting for allotment in self.allotments.values()):
            self._scheduler.call_after(0, self._report)

    def _log_change(self, allotment: Allotment, change: int) -> None:
        TOKENS_MOVED.labels("granted" if change > 0 else "returned").inc(abs(change))
        log_event(
            "budget_change",
            workspace=allotment.workspace,
            tokens=change,
            prepaid=allotment.prepaid,
            committed=allotment.committed,
            held=allotment.held,
        )

    def _serve_waiters(self, allotment: Allotment) -> None:
        now = self._scheduler.now()
        for waiter in list(self._waiters.get(allotment.workspace, [])):
            if allotment.reserve(waiter.tokens, now):
                self._meter(allotment.workspace).record(waiter.tokens, now)
                self._end_wait(waiter, Ok(None))

    def _refuse_uncovered(self) -> None:
        """Refuse what the records just read cannot cover, for good or until nodes hand back."""
        if self._end < 0:
            return
        for allotment in self.allotments.values():
            if not allotment.waiting or self._size_change(allotment) > 0:
                continue
            others = self._list_others(allotment.workspace)
            committed = allotment.committed + sum(item.committed for item in others)
            for waiter in list(self._waiters.get(allotment.workspace, [])):
                if waiter.tokens <= allotment.count_available(self._scheduler.now()):
                    continue
                if waiter.tokens <= allotment.held:
                    continue
                covered = waiter.tokens <= allotment.prepaid - committed
                refusal = refuse_scattered() if covered else refuse_exhausted()
                self._end_wait(waiter, Err(refusal))

    def _expire(self, waiter: _Waiter) -> None:
        if id(waiter) in waiter.allotment.waiting:
            self._end_wait(waiter, Err(refuse_unconfirmed("the store is slow")))

    def _end_wait(self, waiter: _Waiter, result: Result[None, Refusal]) -> None:
        self._waiters[waiter.allotment.workspace].remove(waiter)
        del waiter.allotment.waiting[id(waiter)]
        waiter.done(result)


def _list_spent(accounts: dict[str, Account]) -> dict[str, tuple[int, int]]:
    return {name: (item.handed_out, item.committed) for name, item in accounts.items()}
