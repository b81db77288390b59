"""Synchronize a node's token allocations with the records of all nodes in the store."""

import itertools
import time
import zlib
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field
from result import Err, Ok, Result

from bronzetiller.errors import Refusal
from bronzetiller.gateway.allocations import (
    Account,
    Allocation,
    HoldingRecord,
    blend_shares,
    compute_change,
    compute_slack_seconds,
    compute_target,
    count_all_spent,
    decode_holding_record,
    reclaim_accounts,
)
from bronzetiller.gateway.budget_refusals import (
    refuse_exhausted,
    refuse_held_elsewhere,
    refuse_unconfirmed,
)
from bronzetiller.gateway.clock_monitor import ClockMonitor
from bronzetiller.gateway.configuration import WorkspaceConfiguration
from bronzetiller.gateway.holding_records import HoldingRecords
from bronzetiller.gateway.idle_reads import IdleReads
from bronzetiller.gateway.record_writer import MakeRecord, RecordWriter, make_backoff, vouch
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_REQUESTED, STORE_RESTORATIONS, TOKENS_MOVED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.topics import HOLDINGS_TOPIC, USE_TOPICS
from bronzetiller.routing.queues import RateMeter
from bronzetiller.storage.keyed import (
    AppendFailure,
    Fenced,
    HistoryExpired,
    KeyedRecord,
    KeyedStore,
    Partition,
    ReadFailure,
    RecordBatch,
    StoreUnreachable,
    get_era,
)
from bronzetiller.sync.backoff import Backoff

HOLDINGS_PARTITION = Partition(HOLDINGS_TOPIC)
REPORT_INTERVAL_SECONDS_MIN = 0.5  # the store takes hundreds of writes a second
REPORT_SECONDS_PER_WRITER = 0.03  # limits all nodes together to about 30 reports a second
# Only the writer's next incarnation reads use records, so that they can be more frequent.
USE_SECONDS_PER_WRITER = 0.01
# Another holder may have an earlier report; a store in another region responds within 0.1 s.
HELD_WAIT_SECONDS_MAX = 0.15
# Time for a few large requests per workspace and node; disconnections last about ten seconds.
RATE_TIME_CONSTANT_SECONDS = 12.0
CHECK_INTERVAL_SECONDS = 0.2
SETTLING_READ_SECONDS = 0.4  # between reads, until all records are known after a restoration
# A late response is better than a refusal, as another node is as likely to be disconnected.
DISCONNECTED_WAIT_SECONDS_MAX = 2.0
WAIT_SECONDS_MAX = 1.2  # a few responses of the store to another region, about 70 ms each

ReserveCallback = Callable[[Result[None, Refusal]], None]


@define(eq=False)
class _Waiter:
    """Hold a request that waits for tokens until a deadline (monotonic seconds)."""

    allocation: Allocation
    tokens: int
    deadline: float
    done: ReserveCallback


@define(eq=False)
class AllocationManager:
    """Manage the allocations of a node and its records, with one append of each kind at a time."""

    _scheduler: Scheduler
    _store: KeyedStore
    _node_id: str
    _holder: str
    _find_share: Callable[[str], float]
    _is_witness: Callable[[], bool] = lambda: False
    _refuse_uncovered: Callable[[], Refusal] = refuse_exhausted
    _use_slack_held_share: float = 1.0
    allocations: dict[str, Allocation] = field(factory=dict)
    _clock: ClockMonitor = field(factory=ClockMonitor)
    _read_clock: Callable[[], float] = time.time
    _started_at: float = field(factory=time.time)
    _draw_uniform: Callable[[], float] = field(factory=lambda: Random().random)
    _records: HoldingRecords = field(init=False)
    _reclaimed: dict[str, Account] = field(factory=dict)
    _meters: dict[str, RateMeter] = field(factory=dict)
    _waiters: dict[str, list[_Waiter]] = field(factory=dict)
    _holding_writer: RecordWriter = field(init=False)
    _use_writer: RecordWriter = field(init=False)
    _initialized: bool = False
    _proposed_position: int | None = None
    _end: int = -1
    _proposed: HoldingRecord | None = None
    _proposed_order: int = 0
    _orders: "itertools.count[int]" = field(factory=lambda: itertools.count(1))
    _call_in_progress: bool = False
    _store_unreachable: bool = False
    _stopping: bool = False
    _holding_recorded: bool = False
    _reported_at: float = float("-inf")
    _use_reported_at: float = float("-inf")
    _last_contact_at: float = float("-inf")
    _known_at: float = float("-inf")
    _idle_reads: IdleReads = field(init=False)
    _backoff: Backoff = field(init=False)
    _settling_read_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self._records = HoldingRecords(self._node_id)

        def make_writer(partition: Partition) -> RecordWriter:
            return RecordWriter(
                self._scheduler,
                self._store,
                partition,
                self._node_id,
                self._record_store_failure,
                self._draw_uniform,
            )

        self._holding_writer = make_writer(HOLDINGS_PARTITION)
        self._use_writer = make_writer(choose_use_partition(self._node_id))
        self._backoff = make_backoff(self._draw_uniform)
        self._idle_reads = IdleReads(
            self._scheduler,
            self._store,
            HOLDINGS_PARTITION,
            self._records,
            self._handle_idle_read,
            self._draw_uniform,
        )

    def start(self) -> None:
        """Start reporting and prefetching tokens."""

        def check_regularly() -> None:
            self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)
            self._check()

        # Nodes that were started at once must not call the store at once from then on.
        self._scheduler.call_after(CHECK_INTERVAL_SECONDS * self._draw_uniform(), check_regularly)
        self._check()

    def set_workspaces(self, workspaces: dict[str, WorkspaceConfiguration]) -> None:
        """Apply the budgets of a new configuration."""
        for name, configuration in workspaces.items():
            prepaid = configuration.prepaid_tokens
            if prepaid is None:
                self.allocations.pop(name, None)
                continue
            existing = self.allocations.get(name)
            if existing is None:
                self.allocations[name] = self._make_allocation(name, prepaid)
            elif existing.prepaid != prepaid:
                log_event("budget_changed", workspace=name, before=existing.prepaid, after=prepaid)
                existing.prepaid = prepaid

    def reserve_when_available(
        self, workspace: str, tokens: int, deadline: float, done: ReserveCallback
    ) -> None:
        """Reserve tokens, now or once the store has granted them; done is called once."""
        allocation = self.allocations.get(workspace)
        if allocation is None:
            done(Ok(None))
            return
        if self.reserve(workspace, tokens):
            done(Ok(None))
            return
        now = self._scheduler.now()
        wait_until = min(deadline, now + WAIT_SECONDS_MAX)
        if tokens > allocation.held and now + self._records.count_seconds_left(now) > wait_until:
            done(Err(self._refuse_settling()))
            return
        if self._store_unreachable:
            available_at = allocation.predict_available(tokens, now)
            if available_at is None or available_at > min(
                deadline, now + DISCONNECTED_WAIT_SECONDS_MAX
            ):
                done(Err(self._refuse_disconnected(allocation, tokens)))
                return
            wait_until = available_at + 2 * CHECK_INTERVAL_SECONDS
        self._enqueue(_Waiter(allocation, tokens, wait_until, done))

    def reserve_held(
        self, workspace: str, tokens: int, deadline: float, done: ReserveCallback
    ) -> None:
        """Reserve tokens that the node holds already, at the latest after one report of its use."""
        allocation = self.allocations.get(workspace)
        if allocation is None or self.reserve(workspace, tokens):
            done(Ok(None))
        elif self._stopping or self._store_unreachable or tokens > allocation.held:
            done(Err(refuse_unconfirmed("the node holds too few tokens")))
        else:
            wait_until = min(deadline, self._scheduler.now() + HELD_WAIT_SECONDS_MAX)
            self._enqueue(_Waiter(allocation, tokens, wait_until, done))

    def _enqueue(self, waiter: _Waiter) -> None:
        """Queue a request until a report covers it."""
        self._waiters.setdefault(waiter.allocation.workspace, []).append(waiter)
        waiter.allocation.waiting[id(waiter)] = waiter.tokens
        self._scheduler.call_at(waiter.deadline, lambda: self._expire_waiter(waiter))
        self._report_for_waiters()

    def reserve(self, workspace: str, tokens: int) -> bool:
        """Reserve tokens if the node holds enough and no request is queued for them."""
        allocation = self.allocations.get(workspace)
        if allocation is None or allocation.waiting or self._stopping:
            return False
        now = self._scheduler.now()
        if not allocation.reserve(tokens, now):
            return False
        self._get_meter(workspace).record(tokens, now)
        return True

    @property
    def is_store_unreachable(self) -> bool:
        """Return whether the last call to the store failed."""
        return self._store_unreachable

    def is_settled_in(self, era: int) -> bool:
        """Return whether this node knows the holdings of all nodes in an era of the store."""
        return self._records.era == era and self._records.is_settled

    def record_demand(self, workspace: str, tokens: int) -> None:
        """Count tokens that another node reserved, so that this node prefetches some."""
        self._get_meter(workspace).record(tokens, self._scheduler.now())

    def settle(self, workspace: str, reserved: int, used: int) -> None:
        """Spend the used part of a reservation and release the rest."""
        allocation = self.allocations.get(workspace)
        if allocation is None:
            return
        allocation.settle(reserved, used)
        self._get_meter(workspace).record(-max(0, reserved - used), self._scheduler.now())
        self._serve_waiters(allocation)

    def return_all(self) -> None:
        """Return all tokens that no request needs, before the node stops."""
        if not self._stopping:
            self._stopping = True
            self._report()

    @property
    def is_settled(self) -> bool:
        """Return whether all tokens were returned, or cannot be as the store is unreachable."""
        held = any(allocation.held > 0 for allocation in self.allocations.values())
        return self._stopping and (self._store_unreachable or not (held or self._call_in_progress))

    def _make_allocation(self, name: str, prepaid: int) -> Allocation:
        account = self._reclaimed.get(name, Account())
        allocation = Allocation(name, prepaid, self._use_slack_held_share)
        allocation.reclaim(account)
        return allocation

    def _get_meter(self, workspace: str) -> RateMeter:
        return self._meters.setdefault(workspace, RateMeter(RATE_TIME_CONSTANT_SECONDS))

    def _estimate_rate(self, workspace: str) -> float:
        return max(0.0, self._get_meter(workspace).estimate(self._scheduler.now()) or 0.0)

    def _refuse_disconnected(self, allocation: Allocation, tokens: int) -> Refusal:
        now = self._scheduler.now()
        return refuse_unconfirmed(
            f"the store has been unreachable for {now - self._last_contact_at:.1f} s;"
            f" the request needs {tokens} tokens, the node holds {allocation.held},"
            f" of which {allocation.count_available(now)} are available"
        )

    def _refuse_settling(self) -> Refusal:
        seconds = self._records.count_seconds_left(self._scheduler.now())
        return refuse_unconfirmed("the store came back without its newest records", seconds)

    def _check(self) -> None:
        self._clock.check()
        self._settle_records()
        for allocation in self.allocations.values():
            self._serve_waiters(allocation)
        now = self._scheduler.now()
        writers = len(self._records.newest)
        interval = max(REPORT_INTERVAL_SECONDS_MIN, REPORT_SECONDS_PER_WRITER * writers)
        if now - self._reported_at >= interval:
            self._report()
        interval = max(REPORT_INTERVAL_SECONDS_MIN, USE_SECONDS_PER_WRITER * writers)
        if now - max(self._reported_at, self._use_reported_at) >= interval:
            self._report_use()
        self._report_for_waiters()
        if self._is_idle_read_due():
            self._idle_reads.read(self._end)

    def _is_idle_read_due(self) -> bool:
        """Return whether to read what reports will read again, as the store may lose it.

        The share of a budget that this node holds is decided at its reports, as it may need more
        than it uses now when it is disconnected.
        """
        if self._call_in_progress or self._end < 0 or not self._idle_reads.is_due(self._known_at):
            return False
        return self._is_witness() or any(item.held > 0 for item in self.allocations.values())

    def _handle_idle_read(self, result: Result[RecordBatch, ReadFailure]) -> None:
        match result:
            case Ok():
                # Otherwise the store would count as unreachable until the next report is due.
                self._record_store_success()
            case Err(HistoryExpired()) if not self._call_in_progress:
                self._read()

    def _report_for_waiters(self) -> None:
        """Write the records for which requests are queued."""
        allocations = self.allocations.values()
        lacking = self._records.is_settled and any(item.shortage for item in allocations)
        if lacking or not self._holding_recorded:
            self._report()
        if any(item.awaits_use_record for item in allocations):
            self._report_use()

    def _report(self) -> None:
        """Write this node's current record, unless a store call is in progress."""
        if self._call_in_progress:
            return
        if self._end < 0 or self._store_unreachable:
            self._read()  # a proposal would limit the node, and the store could not accept it
            return
        now = self._scheduler.now()
        slack_seconds = compute_slack_seconds(self._holding_writer.latency)
        order = self._proposed_order = next(self._orders)
        accounts = {}
        for name, allocation in self.allocations.items():
            change = self._compute_change(allocation)
            handed_out = allocation.recorded_total + change
            rate = self._estimate_rate(name)
            accounts[name] = allocation.propose(order, handed_out, rate, slack_seconds, now)
            if change:
                cause = "waiting" if allocation.waiting else "ahead" if change > 0 else "surplus"
                GRANTS_REQUESTED.labels(cause).inc()
        accounts = self._complete_accounts(accounts)
        if self._is_report_redundant(accounts):
            self._drop_proposals()
            self._reported_at = now
            return
        # An append may be retried for seconds; the next report is due from when this one was made.
        self._reported_at = now
        self._call_in_progress = True
        self._proposed = self._holding_writer.append(
            self._make_record(order, accounts), self._handle_append
        )

    def _complete_accounts(self, accounts: dict[str, Account]) -> dict[str, Account]:
        """Add the accounts of workspaces that the configuration no longer has; drop unused ones."""
        unconfigured = {
            name: item for name, item in self._reclaimed.items() if name not in accounts
        }
        return {name: item for name, item in (unconfigured | accounts).items() if item.is_used}

    def _make_record(self, order: int, accounts: dict[str, Account]) -> MakeRecord:
        reported_at, steady = self._read_clock(), self._clock.steady

        def make(epoch: int, number: int) -> HoldingRecord:
            return HoldingRecord(
                self._holder,
                epoch,
                number,
                reported_at,
                steady,
                accounts,
                order,
                self._records.era,
            )

        return make

    def _report_use(self) -> None:
        """Write a use record, unless one is being written or the store is unreachable.

        It counts only together with a holding record of this incarnation.
        """
        if self._use_writer.in_progress or self._store_unreachable or not self._holding_recorded:
            return
        now = self._scheduler.now()
        if not any(allocation.held > 0 for allocation in self.allocations.values()):
            return
        slack_seconds = compute_slack_seconds(self._use_writer.latency)
        order = next(self._orders)
        accounts = {
            name: allocation.propose_use(order, self._estimate_rate(name), slack_seconds, now)
            for name, allocation in self.allocations.items()
        }
        reported = [self.allocations[name] for name in accounts]
        self._use_reported_at = now

        def handle_result(result: Result[int, AppendFailure]) -> None:
            if isinstance(result, Ok):
                self._record_store_success()
            for allocation in reported:
                if isinstance(result, Ok):
                    allocation.reports.accept(order)
                else:
                    allocation.reports.drop(order)
                self._serve_waiters(allocation)
            self._scheduler.call_after(0, self._report_for_waiters)

        self._use_writer.append(
            self._make_record(order, self._complete_accounts(accounts)), handle_result
        )

    def _is_report_redundant(self, accounts: dict[str, Account]) -> bool:
        """Return whether a record would not change what the other nodes know."""
        recorded = self._records.newest.get(self._node_id)
        if any(allocation.waiting for allocation in self.allocations.values()):
            return False
        if self._records.is_outdated(self._node_id):
            return False
        if any(item.handed_out != item.committed for item in accounts.values()):
            return False
        previous = {} if recorded is None else recorded.accounts
        return _extract_totals(accounts) == _extract_totals(previous)

    def _compute_change(self, allocation: Allocation) -> int:
        others = self.list_others(allocation.workspace)
        free = allocation.prepaid - allocation.recorded_total
        free -= sum(item.handed_out for item in others)
        if self._stopping:
            return -max(0, allocation.held - allocation.queued)
        committed = allocation.committed + sum(item.committed for item in others)
        rate = self._estimate_rate(allocation.workspace)
        rates_total = rate + sum(item.rate for item in others)
        share = blend_shares(self._find_share(allocation.workspace), rate, rates_total)
        remaining = allocation.prepaid - committed
        target = compute_target(allocation, remaining=remaining, share=share)
        change = compute_change(allocation, target=target, free=free)
        if not self._records.is_settled:
            change = min(0, change)
        return max(change, -max(0, allocation.held))

    def list_others(self, workspace: str) -> list[Account]:
        """Return the other nodes' accounts of a workspace, from their newest known records."""
        return [
            record.accounts[workspace]
            for node_id, record in self._records.newest.items()
            if node_id != self._node_id and workspace in record.accounts
        ]

    def _handle_append(self, result: Result[int, AppendFailure]) -> None:
        """Accept the proposal at once if all records before it are known, else read them first."""
        record = self._proposed
        match result:
            case Ok(position):
                assert record is not None
                self._record_store_success()
                self._proposed_position = position
                if position == self._end and self._holding_recorded:
                    self._end = position + 1
                    self._known_at = self._scheduler.now()
                    self._records.apply(self._node_id, record)
                    self._accept_proposals()
                else:
                    self._read()
            case Err(Fenced()):
                self._abandon_proposals()
                self._read()
            case Err():
                self._drop_proposals()
                self._finish_call()

    def _read(self) -> None:
        self._call_in_progress = True
        if self._end < 0:
            self._store.read_newest(HOLDINGS_PARTITION, self._handle_newest)
        else:
            self._store.read_from(HOLDINGS_PARTITION, self._end, 0.0, self._handle_records)

    def _handle_newest(self, result: Result[RecordBatch, StoreUnreachable]) -> None:
        if isinstance(result, Err):
            self._retry_read(result.err_value)
            return
        batch = result.ok_value
        self._record_store_success()
        now = self._known_at = self._scheduler.now()
        restored = self._records.begin_era(get_era(batch.end), now)
        for item in batch.records:
            self._apply_record(item)
        self._records.end_read(now)
        self._end = batch.end
        if restored:
            self._log_restoration()
        if not self._initialized:
            self._reclaim()
        elif restored:
            # The records before a pending proposal may be gone, and so may the proposal.
            self._abandon_proposals()
            # The store may have forgotten appends, so that their numbers are out of sequence.
            self._holding_writer.epoch += 1
            self._finish_call()
        elif self._proposed_position is None:
            self._finish_call()
        elif self._proposed_position >= batch.end:
            self._read()
        else:
            # The records are in no order, so that all of them count as before the proposal.
            self._conclude_proposal(self._records.newest.get(self._node_id))

    def _handle_records(self, result: Result[RecordBatch, ReadFailure]) -> None:
        match result:
            case Err(HistoryExpired()):
                self._end = -1
                self._read()
            case Err(failure):
                self._retry_read(failure)
            case Ok(batch):
                self._record_store_success()
                self._apply_batch(batch)

    def _retry_read(self, failure: ReadFailure) -> None:
        self._record_store_failure(str(failure))
        self._scheduler.call_after(self._backoff.next_seconds(), self._read)

    def _apply_batch(self, batch: RecordBatch) -> None:
        """Apply records in log order; those before the proposal decide on it."""
        concluded = False
        self._known_at = self._scheduler.now()
        for item in batch.records:
            if item.position == self._proposed_position:
                concluded = True
                self._conclude_proposal(decode_holding_record(item.value or b""))
            self._apply_record(item)
        self._end = batch.end
        if concluded:
            return
        if self._proposed_position is not None and self._proposed_position < batch.end:
            self._end = -1  # the response did not contain the proposal
        if self._proposed_position is not None or batch.has_more:
            self._read()
        elif not self._initialized:
            self._reclaim()
        else:
            self._finish_call()

    def _apply_record(self, item: KeyedRecord) -> None:
        record = decode_holding_record(item.value or b"")
        if record is None:
            log_event("holding_record_malformed", level=40, key=item.key)
        else:
            self._records.apply(item.key, record)

    def _conclude_proposal(self, written: HoldingRecord | None) -> None:
        """Accept the proposals if the record at their offset is this node's, else drop them."""
        proposed = self._proposed
        if written is not None and proposed is not None and _is_same_record(written, proposed):
            self._accept_proposals()
            return
        log_event("holding_record_replaced", level=40, epoch=self._holding_writer.epoch)
        self._holding_writer.epoch += 1
        self._abandon_proposals()
        self._scheduler.call_after(0, self._finish_call)

    def _accept_proposals(self) -> None:
        """Apply the proposals as far as the records read so far leave tokens free."""
        self._proposed_position = None
        self._proposed = None
        self._holding_recorded = True
        for allocation in self.allocations.values():
            others = sum(item.handed_out for item in self.list_others(allocation.workspace))
            change = allocation.accept(self._proposed_order, others)
            if change:
                self._log_change(allocation, change)
        self._scheduler.call_after(0, self._finish_call)

    def _drop_proposals(self) -> None:
        """Forget proposals that were never recorded."""
        self._proposed = None
        self._proposed_position = None
        for allocation in self.allocations.values():
            allocation.drop_proposal(self._proposed_order)

    def _abandon_proposals(self) -> None:
        """Forget proposals that may have been recorded."""
        self._proposed = None
        self._proposed_position = None
        for allocation in self.allocations.values():
            allocation.abandon_proposal(self._proposed_order)

    def _reclaim(self) -> None:
        """Reclaim the tokens that the last incarnation of this node cannot have spent."""
        self._settle_records()
        if not self._records.is_settled:
            # Other nodes may know a newer record of this one than the copy of the store had.
            self._scheduler.call_after(SETTLING_READ_SECONDS, self._read)
            return
        record = self._records.newest.get(self._node_id)
        if record is None:
            self._initialize(None, None)
            return

        def handle_use_records(result: Result[RecordBatch, StoreUnreachable]) -> None:
            if isinstance(result, Err):
                self._record_store_failure(str(result.err_value))
                self._scheduler.call_after(self._backoff.next_seconds(), self._reclaim)
                return
            self._record_store_success()
            if get_era(result.ok_value.end) != self._records.era:
                self._end = -1  # restored since the holding records were read
                self._read()
                return
            own = [item for item in result.ok_value.records if item.key == self._node_id]
            use_record = decode_holding_record(own[-1].value or b"") if own else None
            if own and use_record is None:
                log_event("holding_record_malformed", level=40, key=self._node_id)
                # A newest record of unknown age counts all tokens as spent.
                use_record = evolve(record, clock_steady=False, order=record.order + 1)
            self._initialize(record, use_record)

        self._store.read_newest(self._use_writer.partition, handle_use_records)

    def _initialize(self, record: HoldingRecord | None, use_record: HoldingRecord | None) -> None:
        """Continue from the records of the last incarnation, if there was one."""
        self._initialized = True
        epochs = [item.epoch + 1 for item in (record, use_record) if item is not None]
        # The last incarnation's records may be lost, so that the time alone must tell them apart.
        epoch = max([int(self._started_at * 1000), *epochs])
        self._holding_writer.epoch = self._use_writer.epoch = epoch
        if record is not None:
            self._apply_reclaimed(record, use_record)
        self._finish_call()

    def _apply_reclaimed(self, record: HoldingRecord, use_record: HoldingRecord | None) -> None:
        if self._records.is_certain(record):
            self._reclaimed = reclaim_accounts(record, use_record, self._started_at)
        else:
            self._reclaimed = count_all_spent(record)
        newest = record if use_record is None else use_record
        for name, account in self._reclaimed.items():
            log_event(
                "holding_reclaimed",
                workspace=name,
                holder=record.holder,
                age=round(self._started_at - record.reported_at, 2),
                use_age=round(self._started_at - newest.reported_at, 2),
                clock_steady=record.clock_steady,
                handed_out=record.accounts[name].handed_out,
                committed=record.accounts[name].committed,
                counted_as_spent=account.committed,
                in_doubt=account.in_doubt,
                certain=self._records.is_certain(record),
            )
            allocation = self.allocations.get(name)
            if allocation is not None:
                allocation.reclaim(account)

    def _settle_records(self) -> None:
        """Bring all nodes' records into the store's current era after a restoration."""
        now = self._scheduler.now()
        if self._records.is_settled:
            return
        if self._records.settle(now):
            log_event(
                "holdings_settled", era=self._records.era, missing=self._records.list_outdated()
            )
            return
        vouched = self._records.take_vouched(now, is_starting=not self._initialized)
        for node_id, record in vouched.items():
            vouch(self._store, HOLDINGS_PARTITION, node_id, record)
        if not self._initialized or self._call_in_progress:
            return
        if self._records.is_outdated(self._node_id):
            self._report()
        elif now >= self._settling_read_at:
            self._settling_read_at = now + SETTLING_READ_SECONDS
            self._read()

    def _log_restoration(self) -> None:
        STORE_RESTORATIONS.labels(HOLDINGS_PARTITION.topic).inc()
        log_event(
            "store_restored",
            level=30,
            partition=HOLDINGS_PARTITION,
            era=self._records.era,
            outdated=len(self._records.list_outdated()),
        )

    def _record_store_success(self) -> None:
        self._backoff.reset()
        self._last_contact_at = self._scheduler.now()
        if self._store_unreachable:
            self._store_unreachable = False
            log_event("budget_store_regained")

    def _record_store_failure(self, cause: str) -> None:
        if self._store_unreachable:
            return
        self._store_unreachable = True
        log_event("budget_store_lost", level=30, cause=cause)
        for waiters in list(self._waiters.values()):
            for waiter in list(waiters):
                if waiter.tokens > waiter.allocation.held:
                    self._finish_waiter(waiter, Err(refuse_unconfirmed(cause)))

    def _finish_call(self) -> None:
        """Serve or refuse the waiters now that no store call is in progress."""
        self._call_in_progress = False
        for allocation in self.allocations.values():
            self._serve_waiters(allocation)
        self._refuse_uncovered_waiters()
        if not self._records.is_settled:
            self._scheduler.call_after(0, self._settle_records)
        if any(allocation.waiting for allocation in self.allocations.values()):
            self._scheduler.call_after(0, self._report_for_waiters)

    def _log_change(self, allocation: Allocation, change: int) -> None:
        TOKENS_MOVED.labels("granted" if change > 0 else "returned").inc(abs(change))
        log_event(
            "budget_change",
            workspace=allocation.workspace,
            tokens=change,
            prepaid=allocation.prepaid,
            committed=allocation.committed,
            held=allocation.held,
        )

    def _serve_waiters(self, allocation: Allocation) -> None:
        now = self._scheduler.now()
        for waiter in list(self._waiters.get(allocation.workspace, [])):
            if allocation.reserve(waiter.tokens, now):
                self._get_meter(allocation.workspace).record(waiter.tokens, now)
                self._finish_waiter(waiter, Ok(None))

    def _refuse_uncovered_waiters(self) -> None:
        """Refuse waiters that the budget cannot cover, or not until other nodes return tokens."""
        if self._end < 0 or not self._records.is_settled:
            return
        for allocation in self.allocations.values():
            if not allocation.waiting or self._compute_change(allocation) > 0:
                continue
            others = self.list_others(allocation.workspace)
            committed = allocation.committed + sum(item.committed for item in others)
            for waiter in list(self._waiters.get(allocation.workspace, [])):
                if waiter.tokens <= allocation.count_available(self._scheduler.now()):
                    continue
                if waiter.tokens <= allocation.held:
                    continue
                covered = waiter.tokens <= allocation.prepaid - committed
                refusal = refuse_held_elsewhere() if covered else self._refuse_uncovered()
                self._finish_waiter(waiter, Err(refusal))

    def _expire_waiter(self, waiter: _Waiter) -> None:
        if id(waiter) not in waiter.allocation.waiting:
            return
        if not self._records.is_settled:
            self._finish_waiter(waiter, Err(self._refuse_settling()))
            return
        self._finish_waiter(waiter, Err(refuse_unconfirmed("the store did not respond in time")))

    def _finish_waiter(self, waiter: _Waiter, result: Result[None, Refusal]) -> None:
        """Tell a request the result in a later turn of the loop, as it may settle at once."""
        self._waiters[waiter.allocation.workspace].remove(waiter)
        del waiter.allocation.waiting[id(waiter)]
        self._scheduler.call_after(0, lambda: waiter.done(result))


def choose_use_partition(node_id: str) -> Partition:
    """Return the partition of a node's use records."""
    return Partition(USE_TOPICS[zlib.crc32(node_id.encode()) % len(USE_TOPICS)])


def _is_same_record(first: HoldingRecord, second: HoldingRecord) -> bool:
    return (first.holder, first.number) == (second.holder, second.number)


def _extract_totals(accounts: dict[str, Account]) -> dict[str, tuple[int, int]]:
    return {name: (item.handed_out, item.committed) for name, item in accounts.items()}
