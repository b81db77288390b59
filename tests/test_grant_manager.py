"""Test GrantManager with a fake clock and a fake log."""

import pytest
from attrs import define, field
from result import Err, Ok

from bronzetiller.budgets.grants import GrantManager
from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.ledger import Ledger, dump_ledger
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.records import (
    Charge,
    Credit,
    Return,
    dump_ledger_record,
    load_ledger_record,
)
from bronzetiller.budgets.returns import Returns
from bronzetiller.budgets.shards import Shards
from bronzetiller.budgets.token_requester import TokenRequest, TokenRequester
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.settings import BudgetSettings
from bronzetiller.storage.log_client import Entry, Page
from bronzetiller.wire.messages import AskTokens, TransferTokens
from standins.fake_scheduler import FakeScheduler

OWN = "node-1/a"


class FakeLog:
    def __init__(self):
        self.records = []
        self.delayed_reads = None

    def append(self, stream, records, done, **options):
        self.records += records
        done(Ok(len(self.records) - len(records)))

    def read(self, stream, from_offset, done, *, wait_seconds):
        entries = [
            Entry(offset, 0.0, record)
            for offset, record in enumerate(self.records)
            if offset >= from_offset
        ]
        page = Ok(Page(entries, 0, len(self.records)))
        if self.delayed_reads is None:
            done(page)
        else:
            self.delayed_reads.append(lambda: done(page))


class FakePeers:
    def connected(self):
        return []


@define(eq=False, slots=False)
class Harness:
    scheduler: FakeScheduler = field(factory=lambda: FakeScheduler(0.0))
    log: FakeLog = field(factory=FakeLog)
    holdings: Holdings = field(factory=Holdings)
    results: list = field(factory=list)
    next_offset: int = 0

    def start(self, peers=None, **settings):
        self.next_offset = 0
        self.log.records.clear()
        self.shards = Shards(self.scheduler, self.log, 1, append_interval_seconds=0.0)
        self.shard = self.shards.all[0]
        self.shard.follower.reachable = self.shard.follower.complete = True
        transfers = Transfers(OWN)
        guard = PauseGuard(self.scheduler, self.log, self.shards)
        self.grant_manager = GrantManager(
            self.scheduler,
            self.shards,
            self.holdings,
            transfers,
            TokenRequester(peers or FakePeers(), self.holdings, transfers, "node-1"),
            Returns(self.shards, self.holdings, guard, OWN),
            guard,
            BudgetSettings(**settings),
            OWN,
            lambda workspace: False,
            (peers or FakePeers()).connected,
        )
        guard.start()
        self.grant_manager.start()
        self.log.records.append(dump_ledger_record(Credit("top-up-1", "studio", 10_000)))
        self.read()

    def read(self):
        while self.next_offset < len(self.log.records):
            entry = Entry(self.next_offset, 0.0, self.log.records[self.next_offset])
            self.next_offset += 1
            self.shard.follower.apply_entries([entry])

    def request_tokens(self, tokens):
        self.grant_manager.reserve_when_available("studio", tokens, self.results.append)

    def list_record_kinds(self):
        return [record["kind"] for record in self.log.records]


@pytest.fixture
def harness():
    harness = Harness()
    harness.start()
    return harness


def test_a_request_waits_for_one_grant_and_later_ones_do_not_wait(harness):
    harness.request_tokens(100)
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    assert harness.results == []
    assert harness.list_record_kinds() == ["credit", "grant"]
    harness.read()
    assert [result.ok_value.tokens for result in harness.results] == [100, 100]
    harness.request_tokens(100)
    assert len(harness.results) == 3
    harness.scheduler.advance(0.01)
    assert harness.list_record_kinds().count("grant") == 1


def test_a_node_requests_a_grant_before_its_tokens_run_out(harness):
    for _ in range(16):
        harness.request_tokens(100)
        harness.scheduler.advance(0.01)
        harness.read()
    assert harness.list_record_kinds().count("grant") == 2
    assert all(result.is_ok() for result in harness.results)
    assert harness.holdings.balance("studio") > 100


def test_idle_tokens_are_returned_to_the_ledger(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    harness.read()
    harness.holdings.release(harness.results[0].ok_value)
    harness.scheduler.advance(25.0)
    harness.read()
    assert harness.shard.ledger.count_free("studio") == 10_000
    assert harness.holdings.count_held("studio") == 0


def test_results_of_records_covered_by_a_snapshot_are_read_from_its_state(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    skip_to_snapshot(harness)
    assert harness.results == []
    harness.scheduler.advance(1.0)
    assert [result.is_ok() for result in harness.results] == [True]
    harness.holdings.release(harness.results[0].ok_value)
    harness.grant_manager.return_all()
    harness.scheduler.advance(0.01)
    skip_to_snapshot(harness)
    harness.scheduler.advance(1.0)
    assert harness.shard.ledger.count_free("studio") == 10_000
    harness.request_tokens(200)
    harness.scheduler.advance(0.01)
    harness.read()
    assert harness.results[1].is_ok()


def skip_to_snapshot(harness):
    """Load a snapshot that covers all records, so that none is applied individually."""
    state = Ledger()
    for record in harness.log.records:
        state.apply(0.0, load_ledger_record(record).ok_value)
    harness.shard.make_folds()[0].decode(dump_ledger(state))()
    harness.next_offset = len(harness.log.records)
    harness.shard.follower.restart_at(harness.next_offset)


def test_without_reconciliation_a_skipped_result_leaves_the_request_waiting(harness, monkeypatch):
    monkeypatch.setattr(GrantManager, "_reconcile", lambda manager, shard: None)
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    skip_to_snapshot(harness)
    harness.scheduler.advance(2.0)
    assert harness.results == []


def test_a_repeated_token_request_transfers_tokens_once(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    harness.read()
    before = harness.holdings.balance("studio")
    responses = []
    request = AskTokens("transfer-1", "studio", 50, 50, "node-2", True)
    harness.grant_manager.handle_token_request(request, responses.append)
    harness.grant_manager.handle_token_request(request, responses.append)
    assert responses[0].charges == responses[1].charges
    assert harness.holdings.balance("studio") == before - 50


def test_a_peer_without_the_log_gets_a_grant_through_this_node(harness):
    responses = []
    request = AskTokens("transfer-1", "studio", 500, 500, "node-2", False, may_wait=True)
    harness.grant_manager.handle_token_request(request, responses.append)
    assert responses == []
    harness.scheduler.advance(0.01)
    harness.read()
    assert sum(charge.tokens for charge in responses[0].charges) == 500


def test_received_tokens_are_not_passed_on_but_returned(harness):
    harness.log.records += [
        {
            "kind": "grant",
            "grant_id": "node-2/b/1",
            "workspace": "studio",
            "holder": "node-2/b",
            "tokens": 10_000,
        }
    ]
    harness.read()
    harness.holdings.add("studio", "node-2/b/1", 400)
    responses = []
    harness.grant_manager.handle_token_request(
        AskTokens("transfer-1", "studio", 50, 50, "node-3", True), responses.append
    )
    assert responses[0].charges == []
    assert responses[0].returned_tokens == 400
    harness.scheduler.advance(0.01)
    returns = [load_ledger_record(record).ok_value for record in harness.log.records[-1:]]
    assert [(type(item), item.grant_id, item.tokens) for item in returns] == [
        (Return, "node-2/b/1", 400)
    ]


def test_returned_tokens_count_in_each_response_until_the_ledger_has_them(harness):
    harness.log.records += [
        {
            "kind": "grant",
            "grant_id": "node-2/b/1",
            "workspace": "studio",
            "holder": "node-2/b",
            "tokens": 10_000,
        }
    ]
    harness.read()
    harness.holdings.add("studio", "node-2/b/1", 400)
    responses = []
    for asker in ("node-3", "node-4"):
        request = AskTokens(f"transfer-{asker}", "studio", 50, 50, asker, True)
        harness.grant_manager.handle_token_request(request, responses.append)
    assert [item.kept_tokens + item.returned_tokens for item in responses] == [400, 400]
    harness.scheduler.advance(0.01)
    harness.read()
    request = AskTokens("transfer-3", "studio", 50, 50, "node-4", True)
    harness.grant_manager.handle_token_request(request, responses.append)
    assert responses[2].kept_tokens + responses[2].returned_tokens == 0
    assert harness.shard.ledger.count_free("studio") == 400


class LossyPeers(FakePeers):
    """Pass requests to a handler and lose its first responses."""

    def __init__(self, handle_request, lost_responses):
        self.handle_request = handle_request
        self.lost_responses = lost_responses

    def connected(self):
        return ["node-2"]

    def request(self, node_id, message, seconds, handle_reply):
        responses = []
        self.handle_request(message, responses.append)
        if self.lost_responses:
            self.lost_responses -= 1
            handle_reply(Err("timeout"))
        else:
            handle_reply(Ok(responses[0]))


def test_a_transfer_whose_response_was_lost_is_received_later_and_only_once(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    harness.read()
    before = harness.holdings.balance("studio")
    holdings = Holdings()
    peers = LossyPeers(harness.grant_manager.handle_token_request, lost_responses=1)
    requester = TokenRequester(peers, holdings, Transfers("node-3/c"), "node-3")
    outcomes = []
    requester.start_round(
        TokenRequest("studio", 50, 50, True, False, ["node-2"], complete=True), outcomes.append
    )
    assert [(item.received_tokens, item.complete) for item in outcomes] == [(0, False)]
    assert holdings.balance("studio") == 0
    for _ in range(3):
        requester.retry_unanswered()
    assert holdings.balance("studio") == 50
    assert harness.holdings.balance("studio") == before - 50


class SlowPeers:
    """Respond from one node with tokens; the others delay responses to requests that may wait."""

    def __init__(self, scheduler):
        self.scheduler = scheduler

    def connected(self):
        return ["node-2", "node-3", "node-4"]

    def request(self, node_id, message, seconds, handle_reply):
        charges = [Charge("node-4/d/1", message.missing_tokens)] if node_id == "node-4" else []
        response = TransferTokens(message.transfer_id, message.workspace, charges)
        delay = 1.2 if message.may_wait and not charges else 0.01
        self.scheduler.call_after(delay, lambda: handle_reply(Ok(response)))


def test_without_the_log_peers_that_have_tokens_come_before_those_that_need_a_grant(harness):
    harness.start(SlowPeers(harness.scheduler))
    harness.shard.follower.reachable = False
    harness.request_tokens(100)
    harness.scheduler.advance(0.5)
    assert [result.is_ok() for result in harness.results] == [True]


def test_without_the_log_no_tokens_are_returned_on_behalf_of_a_peer(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    harness.read()
    harness.holdings.add("studio", "node-2/b/1", 400)
    responses = []
    request = AskTokens("transfer-1", "studio", 50_000, 50_000, "node-3", False)
    harness.grant_manager.handle_token_request(request, responses.append)
    assert responses[0].returned_tokens == 0
    assert harness.holdings.balance("studio") == 400


def test_an_overdue_grant_is_read_directly_from_the_log(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.4)
    assert harness.results == []
    harness.scheduler.advance(0.6)
    assert [result.is_ok() for result in harness.results] == [True]


def test_a_request_whose_wait_times_out_during_a_pause_still_gets_its_tokens(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    harness.log.delayed_reads = []
    harness.scheduler.time += 10.0
    harness.scheduler.advance(0.1)
    assert harness.results == []
    for read in harness.log.delayed_reads:
        read()
    harness.scheduler.advance(0.1)
    assert [result.is_ok() for result in harness.results] == [True]


def test_a_request_is_refused_if_the_ledger_stays_unreachable_after_a_pause(harness):
    harness.request_tokens(100)
    harness.scheduler.advance(0.01)
    harness.log.delayed_reads = []
    harness.scheduler.time += 10.0
    harness.scheduler.advance(1.5)
    assert [result.err_value.reason for result in harness.results] == ["budget_unconfirmed"]
