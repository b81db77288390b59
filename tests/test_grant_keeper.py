"""Drive the keeper of grants on a fake clock and a fake log."""

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
from tests.fake_scheduler import FakeScheduler

OWN = "node-1/a"


class FakeLog:
    def __init__(self):
        self.records = []
        self.late_reads = None

    def append(self, stream, records, done):
        self.records += records
        done(Ok(len(self.records) - len(records)))

    def read(self, stream, from_offset, done, *, wait_seconds):
        entries = [
            Entry(offset, 0.0, record)
            for offset, record in enumerate(self.records)
            if offset >= from_offset
        ]
        page = Ok(Page(entries, 0, len(self.records)))
        if self.late_reads is None:
            done(page)
        else:
            self.late_reads.append(lambda: done(page))


class FakePeers:
    def connected(self):
        return []


@define(eq=False, slots=False)
class Bench:
    scheduler: FakeScheduler = field(factory=lambda: FakeScheduler(0.0))
    log: FakeLog = field(factory=FakeLog)
    holdings: Holdings = field(factory=Holdings)
    results: list = field(factory=list)
    read_to: int = 0

    def start(self, peers=None, **settings):
        self.read_to = 0
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
        while self.read_to < len(self.log.records):
            entry = Entry(self.read_to, 0.0, self.log.records[self.read_to])
            self.read_to += 1
            self.shard.follower.apply_entries([entry])

    def reserve_when_available(self, tokens):
        self.grant_manager.reserve_when_available("studio", tokens, self.results.append)

    def kinds(self):
        return [record["kind"] for record in self.log.records]


@pytest.fixture
def bench():
    bench = Bench()
    bench.start()
    return bench


def test_a_request_waits_for_one_grant_and_later_ones_do_not_wait(bench):
    bench.reserve_when_available(100)
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    assert bench.results == []
    assert bench.kinds() == ["credit", "grant"]
    bench.read()
    assert [result.ok_value.tokens for result in bench.results] == [100, 100]
    bench.reserve_when_available(100)
    assert len(bench.results) == 3
    bench.scheduler.advance(0.01)
    assert bench.kinds().count("grant") == 1


def test_a_node_asks_ahead_before_its_tokens_run_out(bench):
    for _ in range(16):
        bench.reserve_when_available(100)
        bench.scheduler.advance(0.01)
        bench.read()
    assert bench.kinds().count("grant") == 2
    assert all(result.is_ok() for result in bench.results)
    assert bench.holdings.balance("studio") > 100


def test_idle_tokens_go_back_to_the_ledger(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    bench.read()
    bench.holdings.release(bench.results[0].ok_value)
    bench.scheduler.advance(25.0)
    bench.read()
    assert bench.shard.ledger.count_free("studio") == 10_000
    assert bench.holdings.count_held("studio") == 0


def test_rulings_that_a_snapshot_covers_are_read_from_its_state(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    skip_to_snapshot(bench)
    assert bench.results == []
    bench.scheduler.advance(1.0)
    assert [result.is_ok() for result in bench.results] == [True]
    bench.holdings.release(bench.results[0].ok_value)
    bench.grant_manager.return_all()
    bench.scheduler.advance(0.01)
    skip_to_snapshot(bench)
    bench.scheduler.advance(1.0)
    assert bench.shard.ledger.count_free("studio") == 10_000
    bench.reserve_when_available(200)
    bench.scheduler.advance(0.01)
    bench.read()
    assert bench.results[1].is_ok()


def skip_to_snapshot(bench):
    """Load a state that covers all records, without their rulings."""
    state = Ledger()
    for record in bench.log.records:
        state.apply(0.0, load_ledger_record(record).ok_value)
    bench.shard.make_folds()[0].load(dump_ledger(state))
    bench.read_to = len(bench.log.records)
    bench.shard.follower.restart_at(bench.read_to)


def test_without_the_state_a_skipped_ruling_leaves_the_request_waiting(bench, monkeypatch):
    monkeypatch.setattr(GrantManager, "_reconcile", lambda keeper, shard: None)
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    skip_to_snapshot(bench)
    bench.scheduler.advance(2.0)
    assert bench.results == []


def test_a_peer_gets_tokens_once_however_often_it_asks(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    bench.read()
    before = bench.holdings.balance("studio")
    answers = []
    ask = AskTokens("transfer-1", "studio", 50, 50, "node-2", True)
    bench.grant_manager.handle_token_request(ask, answers.append)
    bench.grant_manager.handle_token_request(ask, answers.append)
    assert answers[0].charges == answers[1].charges
    assert bench.holdings.balance("studio") == before - 50


def test_a_peer_without_the_log_gets_a_grant_through_this_node(bench):
    answers = []
    ask = AskTokens("transfer-1", "studio", 500, 500, "node-2", False, may_wait=True)
    bench.grant_manager.handle_token_request(ask, answers.append)
    assert answers == []
    bench.scheduler.advance(0.01)
    bench.read()
    assert sum(charge.tokens for charge in answers[0].charges) == 500


def test_received_tokens_are_not_passed_on_but_returned(bench):
    bench.log.records += [
        {
            "kind": "grant",
            "grant_id": "node-2/b/1",
            "workspace": "studio",
            "holder": "node-2/b",
            "tokens": 10_000,
        }
    ]
    bench.read()
    bench.holdings.add("studio", "node-2/b/1", 400)
    answers = []
    bench.grant_manager.handle_token_request(
        AskTokens("transfer-1", "studio", 50, 50, "node-3", True), answers.append
    )
    assert answers[0].charges == []
    assert answers[0].returned_tokens == 400
    bench.scheduler.advance(0.01)
    returns = [load_ledger_record(record).ok_value for record in bench.log.records[-1:]]
    assert [(type(item), item.grant_id, item.tokens) for item in returns] == [
        (Return, "node-2/b/1", 400)
    ]


class LossyPeers(FakePeers):
    """Carry asks to a giver; the first answers are lost."""

    def __init__(self, giver, losses):
        self.giver = giver
        self.losses = losses

    def connected(self):
        return ["node-2"]

    def ask(self, node_id, message, seconds, answered):
        answers = []
        self.giver(message, answers.append)
        if self.losses:
            self.losses -= 1
            answered(Err("timeout"))
        else:
            answered(Ok(answers[0]))


def test_a_transfer_whose_answer_was_lost_arrives_later_and_once(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    bench.read()
    given = bench.holdings.balance("studio")
    holdings = Holdings()
    peers = LossyPeers(bench.grant_manager.handle_token_request, losses=1)
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
    assert bench.holdings.balance("studio") == given - 50


class SlowPeers:
    """Answer asks that may wait only after the wait is over; one node has tokens."""

    def __init__(self, scheduler):
        self.scheduler = scheduler

    def connected(self):
        return ["node-2", "node-3", "node-4"]

    def ask(self, node_id, message, seconds, answered):
        charges = [Charge("node-4/d/1", message.missing_tokens)] if node_id == "node-4" else []
        answer = TransferTokens(message.transfer_id, message.workspace, charges)
        delay = 1.2 if message.may_wait and not charges else 0.01
        self.scheduler.call_after(delay, lambda: answered(Ok(answer)))


def test_without_the_log_peers_that_have_tokens_come_before_those_that_need_a_grant(bench):
    bench.start(SlowPeers(bench.scheduler))
    bench.shard.follower.reachable = False
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.5)
    assert [result.is_ok() for result in bench.results] == [True]


def test_without_the_log_nobody_returns_tokens_for_a_peer(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    bench.read()
    bench.holdings.add("studio", "node-2/b/1", 400)
    answers = []
    ask = AskTokens("transfer-1", "studio", 50_000, 50_000, "node-3", False)
    bench.grant_manager.handle_token_request(ask, answers.append)
    assert answers[0].returned_tokens == 0
    assert bench.holdings.balance("studio") == 400


def test_a_late_ruling_is_read_from_the_log_itself(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.4)
    assert bench.results == []
    bench.scheduler.advance(0.6)
    assert [result.is_ok() for result in bench.results] == [True]


def test_a_request_whose_wait_ended_in_a_pause_still_gets_its_tokens(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    bench.log.late_reads = []
    bench.scheduler.time += 10.0
    bench.scheduler.advance(0.1)
    assert bench.results == []
    for read in bench.log.late_reads:
        read()
    bench.scheduler.advance(0.1)
    assert [result.is_ok() for result in bench.results] == [True]


def test_a_request_is_refused_where_the_ledger_stays_out_of_reach_after_a_pause(bench):
    bench.reserve_when_available(100)
    bench.scheduler.advance(0.01)
    bench.log.late_reads = []
    bench.scheduler.time += 10.0
    bench.scheduler.advance(1.5)
    assert [result.err_value.reason for result in bench.results] == ["budget_unconfirmed"]
