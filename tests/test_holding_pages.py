"""Test reading other nodes' holdings while the store sends the records in several pages."""

import pytest
from result import Ok

from bronzetiller.gateway.allocation_manager import (
    CHECK_INTERVAL_SECONDS,
    HOLDINGS_PARTITION,
    AllocationManager,
)
from bronzetiller.gateway.allocations import Account, HoldingRecord
from bronzetiller.gateway.clock_monitor import ClockMonitor
from bronzetiller.gateway.configuration import WorkspaceConfiguration
from bronzetiller.gateway.holding_records import SETTLING_SECONDS, HoldingRecords
from bronzetiller.gateway.idle_reads import IdleReads
from bronzetiller.storage.keyed import WriterSequence
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import PAGE_RECORDS, PagedClient

WORKSPACE = "studio"
PREPAID = 1_000
RECORDS = 40


@pytest.fixture
def store():
    """Return an empty store."""
    return MemoryStore()


@pytest.fixture
def start_manager(store):
    """Start a manager that reads the store page by page."""

    def start(share=0.1):
        scheduler = FakeScheduler(100.0)
        manager = AllocationManager(
            scheduler,
            PagedClient(scheduler, store),
            "node-1",
            "node-1/100",
            lambda workspace: share,
            clock=ClockMonitor(read_offset=lambda: 0.0),
            read_clock=lambda: scheduler.time,
            started_at=scheduler.time,
            draw_uniform=lambda: 1.0,
        )
        manager.set_workspaces({WORKSPACE: WorkspaceConfiguration(WORKSPACE, None, PREPAID)})
        manager.start()
        return manager, scheduler

    return start


def write(store, node_id, number, account, *, era=None, vouched=False):
    accounts = {WORKSPACE: account}
    record = HoldingRecord(f"{node_id}/1", 5, number, 100.0, True, accounts, number, era, vouched)
    store.append(HOLDINGS_PARTITION, node_id, record.encode(), None)


def test_a_restart_counts_as_spent_what_another_node_wrote_again_on_a_later_page(
    store, start_manager
):
    write(store, "node-1", 1, Account(100, 10), era=0)
    store.restore({})
    manager, scheduler = start_manager()
    scheduler.advance(0.5)
    for number in range(RECORDS):
        write(store, "node-2", number, Account(), era=1)
    write(store, "node-1", 7, Account(500, 10), era=1, vouched=True)
    scheduler.advance(SETTLING_SECONDS + 2.0)
    assert manager.allocations[WORKSPACE].spent == 500


def test_a_request_is_not_refused_for_tokens_that_were_returned_on_a_later_page(
    store, start_manager
):
    write(store, "node-2", 0, Account(900))
    manager, scheduler = start_manager()
    scheduler.advance(2.0)
    for number in range(1, RECORDS):
        write(store, "node-2", number, Account(900))
    write(store, "node-2", RECORDS, Account())
    # The next record of this node is rejected, so that it reads without a proposal.
    later_epoch = WriterSequence("node-1", manager._holding_writer.epoch + 1, 1)
    store.append(HOLDINGS_PARTITION, "node-3", b"{}", later_epoch)
    results = []
    manager.reserve_when_available(WORKSPACE, 700, float("inf"), results.append)
    scheduler.advance(1.2)
    assert results == [Ok(None)]


def test_idle_reads_do_not_fall_behind_because_the_records_fill_several_pages(store):
    scheduler = FakeScheduler(100.0)
    records = HoldingRecords("node-1")
    records.begin_era(0, scheduler.now())
    reads = IdleReads(
        scheduler,
        PagedClient(scheduler, store),
        HOLDINGS_PARTITION,
        records,
        lambda result: None,
        lambda: 1.0,
    )
    for number in range(5 * PAGE_RECORDS):
        write(store, f"node-{number + 2}", 1, Account())
    for _ in range(7):
        if reads.is_due(float("-inf")):
            reads.read(0)
        scheduler.advance(CHECK_INTERVAL_SECONDS)
    records.begin_era(1, scheduler.now())
    assert len(records.newest) == 5 * PAGE_RECORDS
