"""Close the grants of incarnations that are gone, once every live node has reported."""

from collections.abc import Callable

from attrs import define, field
from result import Ok, Result

from bronzetiller.budgets.closes import make_closes, rank_closer, select_bills
from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.records import Bill
from bronzetiller.budgets.shards import Shards
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.fleet.peers import Peers
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_CLOSED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.vm_list import VmList
from bronzetiller.wire.messages import HoldingsReport, Message, ReportHoldings

CHECK_SECONDS = 0.5
PROBE_SECONDS = 5.0
REPORT_SECONDS = 2.0
RANK_SECONDS = 5.0
REPEAT_SECONDS = 30.0
UNSEEN_FACTOR = 6

KeptBills = Callable[[], list[Bill]]


@define
class _Poll:
    """Hold the reports on one gone holder by node."""

    reports: dict[str, HoldingsReport] = field(factory=dict)
    asked: set[str] = field(factory=set)


@define(eq=False)
class GrantCloser:
    """Watch the holders of open grants; poll and close for those that are gone."""

    _scheduler: Scheduler
    _shards: Shards
    _holdings: Holdings
    _transfers: Transfers
    _peers: Peers
    _vm_list: VmList
    _guard: PauseGuard
    _incarnation: str
    _gone_seconds: float
    kept_bills: list[KeptBills] = field(factory=list)
    _seen_at: dict[str, float] = field(factory=dict)
    _gone_since: dict[str, float] = field(factory=dict)
    _incarnations: dict[str, str] = field(factory=dict)
    _probed_at: dict[str, float] = field(factory=dict)
    _polls: dict[str, _Poll] = field(factory=dict)
    _closed_at: dict[str, float] = field(factory=dict)

    def start(self) -> None:
        """Answer polls and check the holders from now on."""
        self._peers.on(ReportHoldings, self._answer)
        self._scheduler.call_every(CHECK_SECONDS, self._check)

    @property
    def _node_id(self) -> str:
        return self._incarnation.partition("/")[0]

    def _answer(self, ask: ReportHoldings, reply: Callable[[Message], None]) -> None:
        reply(self._report(ask.holder))

    def _report(self, holder: str) -> HoldingsReport:
        if holder == self._incarnation:
            return HoldingsReport(holder, self._incarnation)
        retained = self._transfers.report(self._holdings, holder)
        bills = [bill for list_bills in self.kept_bills for bill in list_bills()]
        return HoldingsReport(holder, self._incarnation, retained, select_bills(bills, holder))

    def _check(self) -> None:
        now = self._scheduler.now()
        if not self._vm_list.reachable or not self._is_fresh():
            self._gone_since.clear()
            return
        routers = {vm.vm_id for vm in self._vm_list.find_routers()}
        self._seen_at.update(dict.fromkeys(routers, now))
        holders = self._list_holders(now)
        for holder in set(self._gone_since) - holders:
            self._forget(holder)
        for holder in sorted(holders):
            self._check_holder(now, holder, routers)

    def _is_fresh(self) -> bool:
        followers = [shard.follower for shard in self._shards.all]
        return all(follower.reachable and follower.caught_up for follower in followers)

    def _list_holders(self, now: float) -> set[str]:
        holders = set()
        for shard in self._shards.all:
            for budget in shard.ledger.budgets.values():
                for grant in budget.grants.values():
                    repeat_at = self._closed_at.get(grant.holder, -REPEAT_SECONDS) + REPEAT_SECONDS
                    if not grant.closed or now >= repeat_at:
                        holders.add(grant.holder)
        return holders - {self._incarnation}

    def _check_holder(self, now: float, holder: str, routers: set[str]) -> None:
        node_id = holder.partition("/")[0]
        if not self._is_gone(now, holder, node_id, routers):
            self._forget(holder)
            return
        since = self._gone_since.setdefault(holder, now)
        rank = rank_closer(holder, self._node_id, sorted(routers | {self._node_id}))
        seen = node_id in self._seen_at
        grace = self._gone_seconds * (1 if seen else UNSEEN_FACTOR) + rank * RANK_SECONDS
        if now >= since + grace:
            self._poll(now, holder, routers)

    def _is_gone(self, now: float, holder: str, node_id: str, routers: set[str]) -> bool:
        if node_id == self._node_id:
            return True
        if node_id not in routers:
            return True
        known = self._incarnations.get(node_id)
        if known is None or now >= self._probed_at.get(node_id, 0.0) + PROBE_SECONDS:
            self._probe(now, holder, node_id)
        return known is not None and known != holder

    def _probe(self, now: float, holder: str, node_id: str) -> None:
        self._probed_at[node_id] = now

        def answered(result: Result[Message, str]) -> None:
            match result:
                case Ok(HoldingsReport() as report):
                    self._incarnations[node_id] = report.incarnation

        self._peers.ask(node_id, ReportHoldings(""), REPORT_SECONDS, answered)

    def _poll(self, now: float, holder: str, routers: set[str]) -> None:
        poll = self._polls.setdefault(holder, _Poll())
        recent = {
            node_id
            for node_id, at in self._seen_at.items()
            if now < at + self._gone_seconds and node_id != holder.partition("/")[0]
        }
        wanted = (routers | recent) - {self._node_id}
        for node_id in wanted - set(poll.reports) - poll.asked:
            self._ask(holder, poll, node_id)
        if wanted <= set(poll.reports) and self._guard.may_spend_all():
            self._close(now, holder, [poll.reports[node_id] for node_id in sorted(wanted)])

    def _ask(self, holder: str, poll: _Poll, node_id: str) -> None:
        poll.asked.add(node_id)

        def answered(result: Result[Message, str]) -> None:
            poll.asked.discard(node_id)
            match result:
                case Ok(HoldingsReport() as report) if report.incarnation != holder:
                    poll.reports[node_id] = report
                case Ok(HoldingsReport()):
                    self._incarnations[node_id] = holder

        self._peers.ask(node_id, ReportHoldings(holder), REPORT_SECONDS, answered)

    def _close(self, now: float, holder: str, reports: list[HoldingsReport]) -> None:
        self._forget(holder)
        self._closed_at[holder] = now
        reports = [*reports, self._report(holder)]
        for shard in self._shards.all:
            for close in make_closes(holder, reports, shard.ledger):
                GRANTS_CLOSED.inc()
                retained = sum(close.retained.values())
                log_event("grant_closing", grant=close.grant_id, retained=retained)
                self._shards.append(close)

    def _forget(self, holder: str) -> None:
        self._gone_since.pop(holder, None)
        self._polls.pop(holder, None)
