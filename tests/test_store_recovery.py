"""Test without a network how nodes call a store that is slow, or that many regain at once."""

import logging
import math
from collections import Counter
from itertools import pairwise
from random import Random

import pytest
from attrs import define, field

from bronzetiller.gateway.allocation_manager import HOLDINGS_PARTITION, AllocationManager
from bronzetiller.gateway.allocations import HoldingRecord
from bronzetiller.gateway.clock_monitor import ClockMonitor
from bronzetiller.gateway.configuration import WorkspaceConfiguration
from bronzetiller.gateway.crash_reports import CRASHES_PARTITION, CrashReports
from bronzetiller.gateway.crashes import CrashReport, CrashTracker
from bronzetiller.gateway.members import (
    HEARTBEAT_SECONDS,
    HEARTBEAT_TIMEOUT_SECONDS,
    NODES_PARTITION,
    Member,
    Members,
)
from bronzetiller.gateway.stream_records import (
    STREAMS_PARTITION,
    VERSIONS_PARTITION,
    StreamRecords,
)
from bronzetiller.gateway.targets import Registration, TargetPool
from bronzetiller.net.address import Address
from bronzetiller.requests.crash_evidence import Crash
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient, SharedLink, SlowStoreClient

WORKSPACE = "studio"
SLOW_SECONDS = [1.3, 1.6, 2.5, 4.0]
REGIONS = 3
FLEETS = [6, 195, 330]
OUTAGE_SECONDS = 9.0
SHORT_LOSS_SECONDS = 4.0
BACKLOG_BYTES = 7_500_000  # what waits on the link when the outage ends: two seconds of it
REGAINED_SECONDS_MAX = 3.0  # a connection that is not established, and a retry
HEARTBEATS_BACK_SECONDS_MAX = 2.0
CRASH_FINGERPRINTS = 600  # 20 KB
CRASH_REPORTS_BACK_SECONDS_MAX = 4.0
STREAMS_BACK_SECONDS_MAX = 2.0
BURST_SECONDS = 0.1
BURST_SHARE_MAX = 0.2  # of the nodes that call the store within a tenth of a second


@pytest.fixture(autouse=True)
def quiet_logs():
    """Silence the logs of hundreds of nodes."""
    logging.disable()
    yield
    logging.disable(logging.NOTSET)


@pytest.fixture
def scheduler():
    """Return a scheduler whose clock the test advances."""
    return FakeScheduler()


@pytest.fixture
def store():
    """Return an empty store."""
    return MemoryStore()


@pytest.fixture
def link(scheduler):
    """Return the link between a region and the store."""
    return SharedLink(scheduler)


@pytest.fixture
def near_link(scheduler):
    """Return the link of the other regions, which is never full."""
    return SharedLink(scheduler, float("inf"))


@define(eq=False)
class HoldingNode:
    """Hold a node's allocations and its access to the store."""

    manager: AllocationManager
    client: SlowStoreClient


@pytest.fixture
def start_holders(scheduler, store, link, near_link):
    """Return a function that starts nodes at once, which hold tokens unless they are witnesses.

    Those of one region share the link; all the others reach the store without it.
    """

    def start(count, *, are_witnesses=False, delay_seconds=0.0):
        nodes = []
        for number in range(count):
            is_remote = number % REGIONS == 0
            client = SlowStoreClient(
                scheduler, store, delay_seconds, link if is_remote else near_link
            )
            manager = AllocationManager(
                scheduler,
                client,
                f"node-{number}",
                f"node-{number}/1",
                lambda workspace: 0.0 if are_witnesses else 1 / count,
                lambda: are_witnesses,
                clock=ClockMonitor(read_offset=lambda: 0.0),
                read_clock=lambda: scheduler.time,
                started_at=scheduler.time,
                draw_uniform=Random(number).random,
            )
            manager.set_workspaces({WORKSPACE: WorkspaceConfiguration(WORKSPACE, None, 100_000)})
            manager.start()
            nodes.append(HoldingNode(manager, client))
        scheduler.advance(15.0)
        return nodes

    return start


@pytest.fixture
def lose_store(scheduler, link, near_link):
    """Return a function that cuts all nodes off for a while; then one region's link is full."""

    def lose(seconds, backlog_bytes=0):
        link.cut_until = near_link.cut_until = scheduler.time + seconds
        scheduler.advance(seconds)
        link.send(backlog_bytes)

    return lose


@define(eq=False)
class PublishingNode:
    """Hold what a node publishes and its access to the store."""

    members: Members
    client: SlowStoreClient


@pytest.fixture
def start_publishers(scheduler, store, link, near_link):
    """Return a function that starts nodes at once, which publish their heartbeats."""

    def start(count):
        nodes = []
        for number in range(count):
            client = SlowStoreClient(scheduler, store, link=near_link if number % REGIONS else link)
            own = Member(f"node-{number}", "10.0.0.1:1", "a", f"node-{number}/1", True)
            reader = FakeStoreClient(scheduler, store, mode="down")
            members = Members(
                scheduler, client, reader, lambda own=own: own, draw_uniform=Random(number).random
            )
            members.start()
            nodes.append(PublishingNode(members, client))
        scheduler.advance(5.0)
        return nodes

    return start


def list_heartbeats(node, since):
    """Return when a node sent its heartbeats."""
    return [at for at, _ in node.client.list_calls("append", NODES_PARTITION) if at >= since]


@define(eq=False)
class ReportingNode:
    """Hold a node's crash reports and its access to the store."""

    reports: CrashReports
    client: SlowStoreClient

    def report_crash(self):
        """Report a crash with as many fingerprints as a large report has."""
        fingerprints = frozenset(f"{number:032x}" for number in range(CRASH_FINGERPRINTS))
        self.reports._tracker.report = CrashReport({"t": Crash("t", 0.0, fingerprints)})
        self.reports._tracker.on_report_change()


@pytest.fixture
def start_reporters(scheduler, store, link, near_link):
    """Return a function that starts nodes at once, which report crashes."""

    def start(count):
        nodes = []
        for number in range(count):
            client = SlowStoreClient(scheduler, store, link=near_link if number % REGIONS else link)
            tracker = CrashTracker(scheduler, None, read_clock=scheduler.now)
            reports = CrashReports(
                scheduler,
                client,
                FakeStoreClient(scheduler, MemoryStore()),
                f"node-{number}",
                tracker,
                draw_uniform=Random(number).random,
            )
            reports.start()
            nodes.append(ReportingNode(reports, client))
        scheduler.advance(1.0)
        return nodes

    return start


@define(eq=False)
class StreamingNode:
    """Hold a node's stream records and its access to the store."""

    records: StreamRecords
    client: SlowStoreClient
    begun: list = field(factory=list)

    def begin_stream(self):
        """Begin a stream whose events must wait for its record."""
        name = f"{self.records._incarnation}/{len(self.begun)}"
        self.begun.append(self.records.record(name, "s/v1", always=True))


@pytest.fixture
def start_streaming(scheduler, store, link, near_link):
    """Return a function that starts nodes at once, at which a stream begins ten times a second."""

    def start(count):
        nodes = []
        for number in range(count):
            client = SlowStoreClient(scheduler, store, link=near_link if number % REGIONS else link)
            records = StreamRecords(
                scheduler,
                client,
                f"node-{number}/1",
                TargetPool(),
                lambda: count,
                lambda: False,
                read_clock=scheduler.now,
                draw_uniform=Random(number).random,
            )
            node = StreamingNode(records, client)
            scheduler.call_every(0.1, node.begin_stream)
            nodes.append(node)
        scheduler.advance(3.0)
        return nodes

    return start


def write_holding_records(store, count):
    """Write a record of each node, without tokens, as of the current era of the store."""
    for number in range(count):
        record = HoldingRecord(f"node-{number}/0", 1, 1, 0.0, True, {}, era=store.era)
        store.append(HOLDINGS_PARTITION, f"node-{number}", record.encode(), None)


def find_largest_burst(times):
    """Return how many calls were made within a tenth of a second, at most."""
    return max(Counter(int(at / BURST_SECONDS) for at in times).values())


@pytest.mark.parametrize("delay_seconds", SLOW_SECONDS)
def test_a_slow_store_is_not_read_again_before_it_has_responded(
    scheduler, start_holders, delay_seconds
):
    (node,) = start_holders(1, are_witnesses=True)
    node.client.delay_seconds = delay_seconds
    scheduler.advance(40.0)
    assert node.client.open_calls_max["read", HOLDINGS_PARTITION] == 1


@pytest.mark.parametrize("count", FLEETS)
def test_holders_that_regain_the_store_do_not_call_it_all_at_once(
    scheduler, link, lose_store, start_holders, count
):
    nodes = start_holders(count)
    lose_store(OUTAGE_SECONDS, BACKLOG_BYTES)
    regained_at = link.cut_until
    scheduler.advance(REGAINED_SECONDS_MAX + BACKLOG_BYTES / link.bytes_per_second)
    lost = sum(node.manager.is_store_unreachable for node in nodes)
    first = [
        min(at for _, _, at, _ in node.client.calls if at >= regained_at) - regained_at
        for node in nodes
    ]
    assert lost == 0
    if count > 10:
        assert find_largest_burst(first) <= BURST_SHARE_MAX * count


@pytest.mark.parametrize("count", FLEETS)
def test_a_store_that_responds_does_not_count_as_unreachable_until_the_next_report(
    scheduler, store, lose_store, start_holders, count
):
    write_holding_records(store, count)  # the more nodes write, the rarer are the reports of each
    (node,) = start_holders(1)
    for _ in range(10):
        lose_store(SHORT_LOSS_SECONDS)
        scheduler.advance(REGAINED_SECONDS_MAX)
        assert not node.manager.is_store_unreachable


@pytest.mark.parametrize("count", FLEETS)
def test_a_node_that_starts_after_a_restoration_reads_all_holdings_only_once(
    scheduler, store, start_holders, count
):
    write_holding_records(store, count)
    store.restore({})
    (node,) = start_holders(1)
    assert node.manager.is_settled_in(store.era)
    assert len(node.client.list_calls("newest", HOLDINGS_PARTITION)) == 1


@pytest.mark.parametrize("delay_seconds", [0.01, 0.07, 0.15, 0.3])
def test_nodes_that_all_start_after_a_restoration_get_tokens(store, start_holders, delay_seconds):
    write_holding_records(store, 6)
    store.restore({})
    nodes = start_holders(6, delay_seconds=delay_seconds)
    assert all(node.manager.allocations[WORKSPACE].held > 0 for node in nodes)


@pytest.mark.parametrize("delay_seconds", SLOW_SECONDS)
def test_heartbeats_through_a_slow_store_come_before_the_node_counts_as_silent(
    scheduler, start_publishers, delay_seconds
):
    (node,) = start_publishers(1)
    node.client.delay_seconds = delay_seconds
    scheduler.advance(40.0)
    times = list_heartbeats(node, scheduler.time - 40.0)
    longest = max(later - earlier for earlier, later in pairwise(times))
    assert longest + HEARTBEAT_SECONDS < HEARTBEAT_TIMEOUT_SECONDS


@pytest.mark.parametrize("count", FLEETS)
def test_nodes_that_started_at_once_do_not_send_their_heartbeats_at_once(
    scheduler, start_publishers, count
):
    nodes = start_publishers(count)
    times = [at for node in nodes for at in list_heartbeats(node, scheduler.time - 1.0)]
    assert find_largest_burst(times) <= max(5, BURST_SHARE_MAX * count)


@pytest.mark.parametrize("count", FLEETS)
def test_heartbeats_are_back_soon_after_an_outage_and_not_all_at_once(
    scheduler, link, lose_store, start_publishers, count
):
    nodes = start_publishers(count)
    lose_store(OUTAGE_SECONDS, BACKLOG_BYTES)
    regained_at = link.cut_until
    scheduler.advance(REGAINED_SECONDS_MAX)
    first = [min(list_heartbeats(node, regained_at)) - regained_at for node in nodes]
    assert max(first) <= HEARTBEATS_BACK_SECONDS_MAX
    assert find_largest_burst(first) <= max(5, BURST_SHARE_MAX * count)


@pytest.mark.parametrize("count", FLEETS)
def test_crash_reports_of_an_outage_do_not_fill_the_link_that_is_regained(
    scheduler, link, lose_store, start_reporters, count
):
    nodes = start_reporters(count)
    for node in nodes:
        scheduler.call_after(1.0, node.report_crash)
    lose_store(OUTAGE_SECONDS, BACKLOG_BYTES)
    regained_at = link.cut_until
    scheduler.advance(20.0)
    calls = [node.client.list_calls("append", CRASHES_PARTITION) for node in nodes]
    first = [min(at for at, _ in item if at >= regained_at) - regained_at for item in calls]
    assert all(node.reports._written is not None for node in nodes)
    assert max(first) <= CRASH_REPORTS_BACK_SECONDS_MAX
    assert find_largest_burst(first) <= max(5, BURST_SHARE_MAX * count)


@pytest.mark.parametrize("count", FLEETS)
def test_stream_records_are_written_soon_after_an_outage_and_not_all_at_once(
    scheduler, link, lose_store, start_streaming, count
):
    nodes = start_streaming(count)
    lose_store(OUTAGE_SECONDS, BACKLOG_BYTES)
    regained_at = link.cut_until
    begun = [list(node.begun) for node in nodes]
    scheduler.advance(STREAMS_BACK_SECONDS_MAX)
    calls = [
        [at - regained_at for at, _ in node.client.list_calls("append", STREAMS_PARTITION)]
        for node in nodes
    ]
    first = [min((at for at in times if at >= 0), default=math.inf) for times in calls]
    assert max(first) <= STREAMS_BACK_SECONDS_MAX
    assert find_largest_burst(first) <= max(5, BURST_SHARE_MAX * count)
    scheduler.advance(REGAINED_SECONDS_MAX + BACKLOG_BYTES / link.bytes_per_second)
    assert all(record.written for records in begun for record in records)


@pytest.mark.parametrize("delay_seconds", SLOW_SECONDS)
def test_a_slow_store_gets_one_proposal_of_a_base_version_at_a_time(
    scheduler, store, delay_seconds
):
    client = SlowStoreClient(scheduler, store, delay_seconds)
    pool = TargetPool()
    pool.register(Registration("t", "s", Address("10.0.0.1", 1), "a", 8, False, software="v1"))
    records = StreamRecords(scheduler, client, "node-1/1", pool, lambda: 1, lambda: True)
    records.start()
    scheduler.advance(60.0)
    assert records.versions.find_base("s") == "s/v1"
    assert client.open_calls_max["append", VERSIONS_PARTITION] == 1
