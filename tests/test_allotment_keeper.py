"""Check how a node keeps its allotments while the store loses answers or is away."""

import pytest
from result import Err, Ok

from bronzetiller.gateway.allotment_keeper import HOLDINGS_PARTITION, AllotmentKeeper
from bronzetiller.gateway.allotments import Account, read_holding_record
from bronzetiller.gateway.clock_watch import ClockWatch
from bronzetiller.gateway.configuration import WorkspaceConfiguration
from tests.fake_scheduler import FakeScheduler
from tests.gateway_fakes import FakeStore, FakeStoreClient

WORKSPACE = "studio"


@pytest.fixture
def store():
    """Hold a store without records."""
    return FakeStore()


@pytest.fixture
def start_keeper(store):
    """Start keepers that share the store; each has its own scheduler and client."""

    shares = {}

    def start(node_id="node-1", prepaid=1_000, share=0.5):
        scheduler = FakeScheduler()
        client = FakeStoreClient(scheduler, store)
        keeper = AllotmentKeeper(
            scheduler,
            client,
            node_id,
            f"{node_id}/1",
            lambda workspace: shares.get(node_id, share),
            clock=ClockWatch(read_offset=lambda: 0.0),
            read_clock=lambda: scheduler.time,
            started_at=scheduler.time,
        )
        keeper.set_workspaces({WORKSPACE: WorkspaceConfiguration(WORKSPACE, None, prepaid)})
        keeper.start()
        scheduler.advance(2.0)
        return keeper, scheduler, client

    start.shares = shares
    return start


def obtain(keeper, tokens):
    results = []
    keeper.obtain(WORKSPACE, tokens, float("inf"), results.append)
    return results


def read_handed_out(store, node_id="node-1"):
    records = {item.key: item for item in store.newest(HOLDINGS_PARTITION)}
    accounts = read_holding_record(records[node_id].value).accounts
    return accounts.get(WORKSPACE, Account()).handed_out  # an empty account is left out


def test_a_node_holds_its_share_ahead_of_need(store, start_keeper):
    keeper, _, _ = start_keeper()
    assert keeper.allotments[WORKSPACE].held == read_handed_out(store) == 450


def test_a_change_without_an_answer_is_settled_before_the_next_one(store, start_keeper):
    keeper, scheduler, client = start_keeper()
    client.mode = "lost"
    keeper.return_all()  # lands in the store, though no answer comes
    scheduler.advance(1.2)
    client.mode = "down"
    scheduler.advance(3.0)
    client.mode = "up"
    scheduler.advance(3.0)
    assert read_handed_out(store) == 0
    assert keeper.allotments[WORKSPACE].reported.handed_out == 0
    assert keeper.is_settled


def test_a_change_that_may_have_landed_is_not_replaced_by_another(store, start_keeper):
    keeper, scheduler, client = start_keeper()
    client.mode = "lost"
    start_keeper.shares["node-1"] = 0.1  # the node hands most of it back, and gets no answer
    scheduler.advance(1.9)
    client.mode = "down"
    scheduler.advance(2.0)
    client.mode = "up"
    start_keeper.shares["node-1"] = 0.9
    for _ in range(100):
        scheduler.advance(0.02)
        allotment = keeper.allotments[WORKSPACE]
        if allotment.proposed is None:
            assert allotment.reported.handed_out <= read_handed_out(store)


def test_two_nodes_that_want_the_last_tokens_never_get_more_than_there_are(store, start_keeper):
    first, _, _ = start_keeper("node-1", share=1.0)
    second, scheduler, _ = start_keeper("node-2", share=1.0)
    scheduler.advance(5.0)
    held = first.allotments[WORKSPACE].held + second.allotments[WORKSPACE].held
    assert held <= 1_000


def test_a_request_beyond_the_budget_is_told_so_and_one_that_others_hold_to_come_back(
    store, start_keeper
):
    start_keeper("node-2", share=0.9)
    keeper, scheduler, _ = start_keeper("node-1", share=0.1)
    beyond, held = obtain(keeper, 1_001), obtain(keeper, 700)
    scheduler.advance(1.0)
    assert isinstance(beyond[0], Err) and beyond[0].err_value.status == 402
    assert isinstance(held[0], Err) and held[0].err_value.status == 503
    assert held[0].err_value.retry_after_seconds > 0


def test_a_cut_off_node_serves_what_it_holds_late_rather_than_never(store, start_keeper):
    keeper, scheduler, client = start_keeper()
    client.mode = "down"
    scheduler.advance(2.5)
    at_once = obtain(keeper, 440)
    assert isinstance(at_once[0], Err)  # it would wait too long for all that is held
    scheduler.advance(2.5)
    soon = obtain(keeper, 440)
    assert not soon
    scheduler.advance(2.5)
    assert isinstance(soon[0], Ok)


def test_a_stop_hands_back_what_is_held(store, start_keeper):
    keeper, scheduler, _ = start_keeper()
    results = obtain(keeper, 10)
    keeper.return_all()
    scheduler.advance(1.0)
    assert isinstance(results[0], Ok) and read_handed_out(store) == 10
    assert keeper.is_settled
