"""Close the grants of gone incarnations once every live node has reported."""

from collections.abc import Callable

from attrs import define, field
from result import Ok, Result

from bronzetiller.budgets.closes import build_closes, compute_limits, select_bills
from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.records import Bill
from bronzetiller.budgets.returns import Returns
from bronzetiller.budgets.shards import Shards
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.fleet.incarnations import read_node_id
from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.fleet.peers import Peers
from bronzetiller.fleet.vm_list import VmList
from bronzetiller.logs import log_event
from bronzetiller.metrics import GRANTS_CLOSED
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.wire.messages import HoldingsReport, Message, ReportHoldings

CHECK_INTERVAL_SECONDS = 0.5
REPORT_TIMEOUT_SECONDS = 2.0
RANK_DELAY_SECONDS = 1.0
CLOSED_RECHECK_SECONDS = 30.0

ListBillReplicas = Callable[[], list[Bill]]


@define
class _Poll:
    """Collect the reports on one gone holder, by node."""

    start_at: float
    reports: dict[str, HoldingsReport] = field(factory=dict)
    pending_nodes: set[str] = field(factory=set)


@define(eq=False)
class GrantCloser:
    """Close the grants of gone holders, after polling every live node for what it holds of them."""

    _scheduler: Scheduler
    _shards: Shards
    _holdings: Holdings
    _transfers: Transfers
    _returns: Returns
    _peers: Peers
    _vm_list: VmList
    _membership: Membership
    _guard: PauseGuard
    _incarnation: str
    bill_replica_sources: list[ListBillReplicas] = field(factory=list)
    _polls: dict[str, _Poll] = field(factory=dict)
    _closed_at: dict[str, float] = field(factory=dict)

    def start(self) -> None:
        """Start responding to polls and checking the holders periodically."""
        self._peers.on(ReportHoldings, self._handle_request)
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def _handle_request(self, request: ReportHoldings, reply: Callable[[Message], None]) -> None:
        reply(self._make_report(request.holder))

    def _make_report(self, holder: str) -> HoldingsReport:
        if holder == self._incarnation:
            return HoldingsReport(holder, self._incarnation)
        held = self._transfers.report_held(self._holdings, holder)
        for grant_id, tokens in self._returns.count_pending_by_grant(holder).items():
            held[grant_id] = held.get(grant_id, 0) + tokens
        limits: dict[str, int] = {}
        for shard in self._shards.all:
            limits |= compute_limits(held, shard.ledger, self._incarnation)
        bills = [bill for list_replicas in self.bill_replica_sources for bill in list_replicas()]
        return HoldingsReport(holder, self._incarnation, limits, select_bills(bills, holder))

    def _check(self) -> None:
        now = self._scheduler.now()
        current = all(shard.is_current for shard in self._shards.all)
        if not current or not self._vm_list.reachable:
            self._polls.clear()
            return
        holders = self._membership.find_gone(self._list_holders_to_check(now))
        self._polls = {holder: poll for holder, poll in self._polls.items() if holder in holders}
        for holder in sorted(holders):
            self._process_gone_holder(now, holder)

    def _list_holders_to_check(self, now: float) -> set[str]:
        """Return the holders of open grants and, every CLOSED_RECHECK_SECONDS, of closed ones."""
        holders = set()
        for shard in self._shards.all:
            for budget in shard.ledger.budgets.values():
                for grant in budget.grants.values():
                    recheck_at = (
                        self._closed_at.get(grant.holder, -CLOSED_RECHECK_SECONDS)
                        + CLOSED_RECHECK_SECONDS
                    )
                    if not grant.closed or now >= recheck_at:
                        holders.add(grant.holder)
        return holders - {self._incarnation}

    def _process_gone_holder(self, now: float, holder: str) -> None:
        expected = self._list_expected_reporters(holder)
        node_id = read_node_id(self._incarnation)
        poll = self._polls.get(holder)
        if poll is None:
            rank = rank_nodes(holder, expected | {node_id}).index(node_id)
            poll = self._polls[holder] = _Poll(now + rank * RANK_DELAY_SECONDS)
        if now < poll.start_at:
            return
        for other in expected - set(poll.reports) - poll.pending_nodes:
            self._request_report(holder, poll, other)
        if expected <= set(poll.reports) and self._guard.may_spend_all():
            self._close_grants(now, holder, [poll.reports[other] for other in sorted(expected)])

    def _list_expected_reporters(self, holder: str) -> set[str]:
        """Return the other nodes that have to report: all except those known to be gone."""
        view = self._membership.view()
        missing = {
            view.newest.get(node_id, f"{node_id}/")
            for node_id in view.missing_since
            if node_id not in view.listed and node_id != read_node_id(holder)
        }
        undecided = {read_node_id(item) for item in missing - self._membership.find_gone(missing)}
        return (set(view.listed) | undecided) - {read_node_id(self._incarnation)}

    def _request_report(self, holder: str, poll: _Poll, node_id: str) -> None:
        poll.pending_nodes.add(node_id)

        def handle_report(result: Result[Message, str]) -> None:
            poll.pending_nodes.discard(node_id)
            match result:
                case Ok(HoldingsReport() as report) if report.incarnation != holder:
                    poll.reports[node_id] = report

        self._peers.request(node_id, ReportHoldings(holder), REPORT_TIMEOUT_SECONDS, handle_report)

    def _close_grants(self, now: float, holder: str, reports: list[HoldingsReport]) -> None:
        del self._polls[holder]
        self._closed_at[holder] = now
        reports = [*reports, self._make_report(holder)]
        for shard in self._shards.all:
            for close in build_closes(holder, reports, shard.ledger):
                GRANTS_CLOSED.inc()
                log_event("grant_closing", grant=close.grant_id, limits=close.limits)
                self._shards.append(close)
