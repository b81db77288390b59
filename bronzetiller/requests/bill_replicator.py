"""Replicate bills that the log is slow to confirm to peers, and hold replicas for peers."""

from collections.abc import Callable

from attrs import define, field
from result import Ok, Result

from bronzetiller.budgets.holdings import parse_holder
from bronzetiller.budgets.ledger import ApplyResult
from bronzetiller.budgets.records import Bill, LedgerRecord, Outcome
from bronzetiller.budgets.shards import Shards
from bronzetiller.fleet.incarnations import read_node_id
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.fleet.vm_list import VmList
from bronzetiller.logs import log_event
from bronzetiller.metrics import BILL_REPLICAS, REPLICATED_BILLS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.requests.bill_replicas import BillReplica, BillReplicas
from bronzetiller.storage.log_client import Entry
from bronzetiller.wire.messages import BillKept, DropBill, KeepBill, Message

RESPONSE_TIMEOUT_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.5
OWNER_SILENCE_SECONDS = 3.0
TRANSFERS_MAX = 64


@define(eq=False)
class Replication:
    """Track the replication of one bill until enough peers hold a replica."""

    replica: BillReplica
    on_durable: Callable[[], None]
    replicas_max: int
    contacted: set[str] = field(factory=set)
    confirmed_by: set[str] = field(factory=set)
    requests_pending: int = 0
    ended: bool = False
    is_durable: bool = False


class BillReplicator:
    """Exchange replicas of bills with peers; peers in other data centres are preferred."""

    def __init__(
        self,
        scheduler: Scheduler,
        shards: Shards,
        peers: Peers,
        vm_list: VmList,
        *,
        node_id: str,
        data_centre: str,
        copies: int,
        copies_least: int,
        is_gone: Callable[[str], bool],
        is_reported: Callable[[str], bool],
    ) -> None:
        self.replicas = BillReplicas()
        self._scheduler = scheduler
        self._shards = shards
        self._peers = peers
        self._vm_list = vm_list
        self._node_id = node_id
        self._data_centre = data_centre
        self._copies = copies
        self._copies_least = copies_least
        self._is_gone = is_gone
        self._is_reported = is_reported
        self._silent_since: dict[str, float] = {}
        self._replications: dict[str, Replication] = {}
        self._stopping = False
        peers.on(KeepBill, self._on_keep_bill)
        peers.on(DropBill, self._on_drop_bill)
        shards.subscribe(self._on_record_applied)
        scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def count_committed(self, grant_id: str) -> int:
        """Return the tokens of a grant that the replicas held here will charge."""
        return self.replicas.count_tokens(grant_id)

    def list_bills(self) -> list[Bill]:
        """Return the bills held here for other nodes."""
        return [replica.bill for replica in self.replicas.bills.values()]

    @property
    def replicas_needed(self) -> int:
        """Return how many peers must hold a bill: fewer if fewer exist or are connected.

        In a partition a node may have only one peer left. One replica then suffices, so that the
        node can complete responses while the partition lasts.
        """
        others = sum(1 for vm in self._vm_list.find_routers() if vm.vm_id != self._node_id)
        reachable = max(self._copies_least, len(self._peers.connected()))
        return min(self._copies, others, reachable)

    @property
    def can_replicate(self) -> bool:
        """Return whether enough peers are connected to replicate a bill."""
        return 0 < self.replicas_needed <= len(self._peers.connected())

    def replicate(
        self, bill: Bill, outcome: Outcome | None, on_durable: Callable[[], None]
    ) -> Replication:
        """Replicate a bill to peers; on_durable is called once enough of them confirm."""
        replication = Replication(BillReplica(bill, bill.biller, outcome), on_durable, self._copies)
        self._replications[bill.bill_id] = replication
        self._request_missing_replicas(replication)
        return replication

    def drop_replicas(self, replication: Replication) -> None:
        """Request that the peers drop their replicas, since the ledger has applied the bill."""
        replication.ended = True
        bill_id = replication.replica.bill.bill_id
        self._replications.pop(bill_id, None)
        for node_id in replication.contacted:
            self._peers.send(node_id, DropBill(bill_id))

    def stop(self) -> None:
        """Append every held bill now; transfer those that the log does not accept to peers."""
        self._stopping = True
        self._append_orphans()

    @property
    def is_idle(self) -> bool:
        """Return whether no replicas are left: each bill is in the log or with another peer."""
        return not self.replicas.bills

    def _request_missing_replicas(self, replication: Replication) -> None:
        if replication.ended:
            return
        missing = (
            self._count_replicas_needed(replication)
            - len(replication.confirmed_by)
            - replication.requests_pending
        )
        for node_id in self._choose_peers(replication)[: max(0, missing)]:
            self._request_replica(replication, node_id)

    def _count_replicas_needed(self, replication: Replication) -> int:
        return min(replication.replicas_max, self.replicas_needed)

    def _choose_peers(self, replication: Replication) -> list[str]:
        data_centres = {vm.vm_id: vm.data_centre for vm in self._vm_list.find_routers()}
        owner = read_node_id(replication.replica.owner)
        candidates = [
            node_id
            for node_id in self._peers.connected()
            if node_id not in replication.contacted and node_id != owner
        ]
        return sorted(
            candidates, key=lambda node_id: data_centres.get(node_id) == self._data_centre
        )

    def _request_replica(self, replication: Replication, node_id: str) -> None:
        replication.contacted.add(node_id)
        replication.requests_pending += 1

        def on_response(result: Result[Message, str]) -> None:
            replication.requests_pending -= 1
            match result:
                case Ok(BillKept()):
                    replication.confirmed_by.add(node_id)
            self._check_durable(replication)
            self._request_missing_replicas(replication)

        replica = replication.replica
        message = KeepBill(replica.bill, replica.owner, replica.outcome)
        self._peers.request(node_id, message, RESPONSE_TIMEOUT_SECONDS, on_response)

    def _check_durable(self, replication: Replication) -> None:
        enough = 0 < self._count_replicas_needed(replication) <= len(replication.confirmed_by)
        if enough and not replication.ended and not replication.is_durable:
            replication.is_durable = True
            replication.on_durable()

    def _on_keep_bill(self, message: KeepBill, reply: Reply) -> None:
        if self._stopping or self._is_holder_reported(message.bill):
            return
        ledger = self._shards.find(message.bill.workspace).ledger
        recorded = ledger.find_bill(message.bill.workspace, message.bill.request_id)
        if recorded is None or recorded.bill_id != message.bill.bill_id:
            self.replicas.keep(BillReplica(message.bill, message.owner, message.outcome))
            BILL_REPLICAS.set(len(self.replicas.bills))
        reply(BillKept())

    def _is_holder_reported(self, bill: Bill) -> bool:
        """Return whether this node has already reported its replicas for a grant being closed.

        A bill accepted after that report would not count in the close.
        """
        holders = {parse_holder(charge.grant_id) for charge in bill.charges}
        return bill.bill_id not in self.replicas.bills and any(map(self._is_reported, holders))

    def _on_drop_bill(self, message: DropBill, reply: Reply) -> None:
        self._drop(message.bill_id, "dropped")

    def _drop(self, bill_id: str, end: str) -> None:
        if self.replicas.drop(bill_id):
            REPLICATED_BILLS.labels(end).inc()
            BILL_REPLICAS.set(len(self.replicas.bills))

    def _on_record_applied(self, entry: Entry, record: LedgerRecord, result: ApplyResult) -> None:
        if not isinstance(record, Bill) or record.bill_id not in self.replicas.bills:
            return
        replacement = self.replicas.apply_verdict(record, result.verdict)
        REPLICATED_BILLS.labels("ruled").inc()
        BILL_REPLICAS.set(len(self.replicas.bills))
        if replacement is not None:
            self._shards.append(replacement)

    def _check(self) -> None:
        for replication in list(self._replications.values()):
            if not replication.requests_pending:
                replication.confirmed_by &= set(self._peers.connected())
                replication.contacted &= replication.confirmed_by
                self._check_durable(replication)  # fewer replicas may suffice than before
                self._request_missing_replicas(replication)
        self._record_silent_owners()
        self._append_orphans()
        if self._stopping:
            self._transfer_replicas()

    def _record_silent_owners(self) -> None:
        now = self._scheduler.now()
        connected = set(self._peers.connected())
        owners = {read_node_id(replica.owner) for replica in self.replicas.bills.values()}
        self._silent_since = {
            node_id: self._silent_since.get(node_id, now) for node_id in owners - connected
        }

    def _append_orphans(self) -> None:
        for replica in self.replicas.select_orphans(self._is_silent):
            log_event(
                "bill_appended_for_peer", owner=replica.owner, request_id=replica.bill.request_id
            )
            REPLICATED_BILLS.labels("appended").inc()
            self._shards.append(replica.bill)
            if replica.outcome is not None:
                self._shards.append(replica.outcome)

    def _is_silent(self, owner: str) -> bool:
        if self._stopping or self._is_gone(owner):
            return True
        since = self._silent_since.get(read_node_id(owner))
        return since is not None and self._scheduler.now() - since >= OWNER_SILENCE_SECONDS

    def _transfer_replicas(self) -> None:
        """Transfer each held bill to one other peer while the log is unreachable."""
        for bill_id, replica in list(self.replicas.bills.items())[:TRANSFERS_MAX]:
            reachable = self._shards.find(replica.bill.workspace).is_log_reachable
            if bill_id not in self._replications and not reachable:
                replication = Replication(replica, lambda key=bill_id: self._hand_off(key), 1)  # type: ignore[misc]
                self._replications[bill_id] = replication
                self._request_missing_replicas(replication)

    def _hand_off(self, bill_id: str) -> None:
        self._replications.pop(bill_id, None)
        self._drop(bill_id, "handed_over")
