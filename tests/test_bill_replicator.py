"""Test when a bill counts as replicated, while connections to peers are lost."""

import pytest
from attrs import define, field
from result import Err, Ok

from bronzetiller.budgets.ledger import Ledger
from bronzetiller.budgets.records import Bill
from bronzetiller.requests.bill_replicator import (
    CHECK_INTERVAL_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    BillReplicator,
)
from bronzetiller.wire.messages import BillKept
from standins.fake_scheduler import FakeScheduler

OWNER = "node-1"
ROUTERS = (OWNER, "node-2", "node-3")


@define(frozen=True)
class FakeVm:
    vm_id: str
    data_centre: str


@define(eq=False)
class FakeFleet:
    """Implement the peers, the VM list and the shards that the replicator of one node uses.

    A peer in cut_off is connected until it is removed from open_links, but does not respond.
    """

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    ledger: Ledger = field(factory=Ledger)
    open_links: list = field(factory=lambda: ["node-2", "node-3"])
    cut_off: set = field(factory=set)
    pending: dict = field(factory=dict)

    def find_routers(self):
        return [FakeVm(node_id, node_id) for node_id in ROUTERS]

    def find(self, workspace):
        return self

    def subscribe(self, listener):
        """Ignore the listener, as these tests apply no records."""

    def on(self, message_class, handle):
        """Ignore the handler, as these tests deliver no messages."""

    def connected(self):
        return list(self.open_links)

    def request(self, node_id, message, seconds, on_response):
        def respond(result):
            self.pending.pop(node_id)
            timer.cancel()
            on_response(result)

        timer = self.scheduler.call_after(seconds, lambda: respond(Err("timeout")))
        self.pending[node_id] = respond
        if node_id not in self.cut_off:
            self.scheduler.call_after(0.01, lambda: respond(Ok(BillKept())))

    def lose(self, node_id):
        self.open_links.remove(node_id)
        if node_id in self.pending:
            self.pending[node_id](Err("connection lost"))


def make_replicator(fleet):
    return BillReplicator(
        fleet.scheduler,
        fleet,
        fleet,
        fleet,
        node_id=OWNER,
        data_centre=OWNER,
        copies=2,
        copies_least=1,
        is_gone=lambda owner: False,
        is_reported=lambda holder: False,
    )


def replicate(replicator):
    """Replicate a bill; return the list that is filled once it is durable."""
    durable = []
    bill = Bill("studio", "key", "body", f"{OWNER}/1", 5, [], 0, "bill")
    replicator.replicate(bill, None, lambda: durable.append(True))
    return durable


# Half an interval after the replicator's first check, so that no timer falls on another.
BETWEEN_CHECKS_SECONDS = CHECK_INTERVAL_SECONDS / 2


@pytest.mark.parametrize(
    "seconds", [RESPONSE_TIMEOUT_SECONDS / 2, RESPONSE_TIMEOUT_SECONDS + BETWEEN_CHECKS_SECONDS / 2]
)
def test_a_bill_on_the_one_peer_left_is_durable_whenever_the_other_link_is_lost(seconds):
    fleet = FakeFleet(cut_off={"node-3"})
    replicator = make_replicator(fleet)
    fleet.scheduler.advance(BETWEEN_CHECKS_SECONDS)
    durable = replicate(replicator)
    fleet.scheduler.advance(seconds)
    assert not durable
    fleet.lose("node-3")
    fleet.scheduler.advance(CHECK_INTERVAL_SECONDS)
    assert durable
