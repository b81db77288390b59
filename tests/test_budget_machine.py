"""Test budgets under delays, duplicates, pauses, crashes and closed grants."""

import itertools
import json

import pytest
from attrs import define, field
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from bronzetiller.budgets.closes import apply_close, build_closes, compute_limits
from bronzetiller.budgets.holdings import Holdings, Reservation, is_held_by, make_grant_id
from bronzetiller.budgets.ledger import Ledger, Verdict, dump_ledger, load_ledger
from bronzetiller.budgets.records import Bill, Close, Credit, Grant, Return
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.wire.messages import HoldingsReport

NODE_COUNT = 3
WORKSPACES = ("studio",)
node_indexes = st.integers(0, NODE_COUNT - 1)
workspaces = st.sampled_from(WORKSPACES)
tokens = st.integers(1, 60)
ACCEPTABLE = (Verdict.ACCEPTED, Verdict.DUPLICATE)


@define(eq=False)
class Node:
    """Hold the state of one incarnation of a node."""

    index: int
    incarnation: str
    holdings: Holdings = field(factory=Holdings)
    transfers: Transfers = None
    ledger: Ledger = field(factory=Ledger)
    cursor: int = 0
    required_cursor: int = 0
    outbox: list = field(factory=list)
    pending_grants: set = field(factory=set)
    pending_bills: dict = field(factory=dict)
    pending_returns: dict = field(factory=dict)
    reservations: list[Reservation] = field(factory=list)
    frozen: bool = False

    def __attrs_post_init__(self):
        self.transfers = Transfers(self.incarnation)

    def can_reserve(self):
        return not self.frozen and self.cursor >= self.required_cursor


class BudgetMachine(RuleBasedStateMachine):
    """Grant, spend, transfer and close tokens on nodes that freeze and crash."""

    make_holdings = Holdings
    make_ledger = Ledger

    def __init__(self):
        super().__init__()
        self.id_counter = itertools.count()
        self.log = []
        self.reference_ledger = self.make_ledger()
        self.stray_records = []
        self.messages = []
        self.listed = set(range(NODE_COUNT))
        self.gone = set()
        self.polls = {}
        self.all_nodes = []
        self.nodes = [self._start(index) for index in range(NODE_COUNT)]
        for workspace in WORKSPACES:
            self.top_up(workspace, 600, False)

    def _start(self, index):
        holdings = self.make_holdings()
        node = Node(index, f"node-{index}/{next(self.id_counter)}", holdings)
        node.ledger = self.make_ledger()
        self.all_nodes.append(node)
        return node

    def _append(self, record):
        result = self.reference_ledger.apply(float(len(self.log)), record)
        self.log.append(record)
        if isinstance(record, Bill) and record.biller not in self.gone:
            assert result.verdict in ACCEPTABLE, f"{record} is {result.verdict}"

    @rule(workspace=workspaces, amount=tokens, twice=st.booleans())
    def top_up(self, workspace, amount, twice):
        credit = Credit(f"credit-{next(self.id_counter)}", workspace, amount)
        for _ in range(1 + twice):
            self._append(credit)

    def request_grant(self, index, workspace, amount):
        node = self.nodes[index]
        if node.frozen:
            return
        grant_id = make_grant_id(node.incarnation, str(next(self.id_counter)))
        node.pending_grants.add(grant_id)
        before = node.ledger.grant_count
        node.outbox.append(Grant(grant_id, workspace, node.incarnation, amount, before))

    @rule(index=node_indexes, workspace=workspaces, amount=tokens, appended=st.booleans())
    def fund(self, index, workspace, amount, appended):
        self.request_grant(index, workspace, amount)
        if appended:
            self.flush_all(index)
            self.read(index, len(self.log))

    def flush_all(self, index):
        while self.nodes[index].outbox and not self.nodes[index].frozen:
            self.flush(index, True)

    @rule(index=node_indexes, acknowledged=st.booleans())
    def flush(self, index, acknowledged):
        node = self.nodes[index]
        if node.outbox and not node.frozen:
            self._append(node.outbox[0])
            if acknowledged:
                node.outbox.pop(0)

    @rule(
        index=node_indexes, amount=tokens, spent_quarters=st.integers(0, 4), recorded=st.booleans()
    )
    def serve(self, index, amount, spent_quarters, recorded):
        self.read(index, len(self.log))
        self.reserve(index, WORKSPACES[0], amount)
        if recorded:
            self.settle(index, spent_quarters, False)
            self.flush_all(index)

    @rule(index=node_indexes, crashed=st.booleans())
    def lose_node(self, index, crashed):
        if crashed:
            self.crash(index)
        self.nodes[index].frozen = True
        if len(self.listed) > 1:
            self.listed.discard(index)
            self.gone.add(self.nodes[index].incarnation)

    @rule(index=node_indexes)
    def poll_all(self, index):
        self.read(index, len(self.log))
        for polled in range(NODE_COUNT):
            self.poll(index, polled)

    @rule(index=node_indexes)
    def close_all(self, index):
        self.close(index)
        self.flush_all(index)

    @rule(index=node_indexes, count=st.integers(1, 20))
    def read(self, index, count):
        node = self.nodes[index]
        if node.frozen:
            return
        for record in self.log[node.cursor : node.cursor + count]:
            result = node.ledger.apply(float(node.cursor), record)
            node.cursor += 1
            self._handle_result(node, record, result)

    def _handle_result(self, node, record, result):
        if isinstance(record, Grant) and record.grant_id in node.pending_grants:
            node.pending_grants.remove(record.grant_id)
            node.holdings.add(record.workspace, record.grant_id, result.tokens)
        elif isinstance(record, Bill) and record == node.pending_bills.get(record.request_id):
            del node.pending_bills[record.request_id]
            if result.verdict is Verdict.DUPLICATE:
                node.holdings.restore(record.workspace, record.charges)
            else:
                node.holdings.confirm(record.workspace, record.charges)
        elif isinstance(record, Return):
            node.pending_returns.pop(record.return_id, None)
        elif isinstance(record, Close):
            apply_close(node.holdings, node.incarnation, record, node.ledger)

    def reserve(self, index, workspace, amount):
        node = self.nodes[index]
        if node.can_reserve():
            reservation = node.holdings.reserve(workspace, amount)
            if reservation is not None:
                node.reservations.append(reservation)

    @rule(index=node_indexes, spent_quarters=st.integers(0, 4), repeated=st.booleans())
    def settle(self, index, spent_quarters, repeated):
        node = self.nodes[index]
        if node.frozen or not node.reservations:
            return
        reservation = node.reservations.pop(0)
        spent = reservation.tokens * spent_quarters // 4
        charges = node.holdings.settle(reservation, spent)
        request_id = f"request-{next(self.id_counter)}"
        if repeated and self.reference_ledger.bills:  # a caller's retry, served by another node
            request_id = next(reversed(self.reference_ledger.bills)).partition("/")[2]
            if request_id in node.pending_bills:
                request_id = f"request-{next(self.id_counter)}"
        count = node.ledger.bill_count
        bill = Bill(reservation.workspace, request_id, "f", node.incarnation, spent, charges, count)
        node.pending_bills[request_id] = bill
        node.outbox.append(bill)

    @rule(index=node_indexes, workspace=workspaces)
    def return_balance(self, index, workspace):
        node = self.nodes[index]
        if not node.can_reserve():
            return
        balance = node.holdings.balance(workspace)
        for charge in node.holdings.take(workspace, balance):
            return_id = f"return-{next(self.id_counter)}"
            record = Return(return_id, workspace, charge.grant_id, charge.tokens, node.incarnation)
            node.pending_returns[return_id] = record
            node.outbox.append(record)

    @rule(
        receiver=node_indexes,
        sender=node_indexes,
        workspace=workspaces,
        amount=tokens,
        times=st.integers(0, 3),
    )
    def transfer(self, receiver, sender, workspace, amount, times):
        node, peer = self.nodes[receiver], self.nodes[sender]
        if receiver == sender or node.frozen or not peer.can_reserve() or sender not in self.listed:
            return
        transfer_id = f"{node.incarnation}/{next(self.id_counter)}"
        node.transfers.await_transfer(transfer_id)
        for _ in range(2):  # the request is sent twice
            charges = peer.transfers.issue(peer.holdings, transfer_id, workspace, amount)
        self.messages += [(node, transfer_id, workspace, charges)] * times
        if times == 2:
            self.deliver(len(self.messages) - 1)

    @rule(
        receiver=node_indexes,
        sender=node_indexes,
        amount=tokens,
        spent_quarters=st.integers(0, 4),
        lost=st.booleans(),
    )
    def spend_transfer(self, receiver, sender, amount, spent_quarters, lost):
        self.fund(sender, WORKSPACES[0], 60, True)
        self.transfer(receiver, sender, WORKSPACES[0], amount, 2)
        self.serve(receiver, amount, spent_quarters, False)
        if lost:
            self.lose_node(sender, False)

    @rule(index=node_indexes)
    def close_lost(self, index):
        self.poll_all(index)
        self.close_all(index)

    @rule(choice=st.integers(0, 9))
    def deliver(self, choice):
        if self.messages:
            message = self.messages.pop(choice % len(self.messages))
            node, transfer_id, workspace, charges = message
            if node in self.nodes and not node.frozen:
                node.transfers.receive(node.holdings, transfer_id, workspace, charges)

    @rule(index=node_indexes)
    def thaw(self, index):
        node = self.nodes[index]
        if node.frozen:
            node.frozen = False
            node.required_cursor = len(self.log)

    @rule(index=node_indexes)
    def crash(self, index):
        node = self.nodes[index]
        self.stray_records += node.outbox[:1]
        self.gone.add(node.incarnation)
        node.outbox.clear()
        self.nodes[index] = self._start(index)
        self.listed.add(index)

    @rule()
    def append_stray_record(self):
        if self.stray_records:
            self._append(self.stray_records.pop(0))

    @rule(index=node_indexes, polled=node_indexes)
    def poll(self, index, polled):
        holders = {
            g.holder for b in self.reference_ledger.budgets.values() for g in b.grants.values()
        }
        node = self.nodes[polled]
        if node.frozen or self.nodes[index].frozen:
            return
        for holder in sorted(holders & self.gone):
            reports = self.polls.setdefault((index, holder), {})
            if polled in self.listed:
                reports[polled] = self._report(node, holder)

    def _report(self, node, holder):
        held = node.transfers.report_held(node.holdings, holder)
        for record in node.pending_returns.values():
            if is_held_by(record.grant_id, holder):
                held[record.grant_id] = held.get(record.grant_id, 0) + record.tokens
        limits = compute_limits(held, node.ledger, node.incarnation)
        return HoldingsReport(holder, node.incarnation, limits)

    def close(self, index):
        node = self.nodes[index]
        for (closer, holder), reports in list(self.polls.items()):
            if closer != index or node.frozen or not self.listed <= set(reports):
                continue
            del self.polls[(closer, holder)]
            node.outbox += build_closes(holder, list(reports.values()), node.ledger)

    @invariant()
    def budgets_add_up(self):
        for workspace, budget in self.reference_ledger.budgets.items():
            assert 0 <= budget.billed <= budget.granted <= budget.credited, (workspace, budget)

    @invariant()
    def no_token_is_held_twice(self):
        spendable = dict.fromkeys(WORKSPACES, 0)
        for workspace, budget in self.reference_ledger.budgets.items():
            for grant_id, grant in budget.grants.items():
                token_count = self._count_tokens(workspace, grant_id)
                assert grant.closed or token_count <= grant.remaining, (
                    grant_id,
                    token_count,
                    grant,
                )
                spendable[workspace] += grant.remaining if grant.closed else token_count
        for workspace, budget in self.reference_ledger.budgets.items():
            assert budget.billed + spendable[workspace] <= budget.credited

    def _count_tokens(self, workspace, grant_id):
        token_count = 0
        logged = {record.request_id for record in self.log if isinstance(record, Bill)}
        returned = {record.return_id for record in self.log if isinstance(record, Return)}
        records = list(self.stray_records)
        for node in self.all_nodes:
            if node in self.nodes:
                token_count += node.holdings.balances.get(workspace, {}).get(grant_id, 0)
                reserved = [c for r in node.reservations for c in r.charges]
                token_count += sum(c.tokens for c in reserved if c.grant_id == grant_id)
                records += node.outbox
        for record in records:
            if isinstance(record, Bill) and record.request_id not in logged:
                token_count += sum(c.tokens for c in record.charges if c.grant_id == grant_id)
            if isinstance(record, Return) and record.return_id not in returned:
                token_count += record.tokens if record.grant_id == grant_id else 0
        undelivered = {id(m): m for m in self.messages if m[0] in self.nodes}
        for node, transfer_id, _, charges in undelivered.values():
            if transfer_id in node.transfers.awaited:
                token_count += sum(c.tokens for c in charges if c.grant_id == grant_id)
        return token_count

    @invariant()
    def a_serialized_ledger_is_restored_unchanged(self):
        copy = load_ledger(json.loads(json.dumps(dump_ledger(self.reference_ledger))))
        assert dump_ledger(copy) == dump_ledger(self.reference_ledger)

    def teardown(self):
        replayed = Ledger()
        if isinstance(self.reference_ledger, Ledger) and type(self.reference_ledger) is Ledger:
            for at, record in enumerate(self.log):
                replayed.apply(float(at), record)
            assert dump_ledger(replayed) == dump_ledger(self.reference_ledger)


class UncheckedHoldings(Holdings):
    """Reserve tokens without checking the balance."""

    def reserve(self, workspace, tokens):
        grants = self.balances.get(workspace, {})
        if grants and self.balance(workspace) < tokens:
            self.add(workspace, next(iter(grants)), tokens)
        return super().reserve(workspace, tokens)


class UnlimitedLedger(Ledger):
    """Grant any requested number of tokens."""

    def _limit_grant(self, budget, tokens):
        return tokens

    def _check_invariant(self, workspace):
        pass


def _run(machine, examples, steps):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            derandomize=True,
            database=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_no_budget_is_overspent_and_no_token_is_held_twice():
    _run(BudgetMachine, 300, 100)


def test_without_the_reservation_check_the_machine_finds_the_overspend():
    class Machine(BudgetMachine):
        make_holdings = UncheckedHoldings

    with pytest.raises(AssertionError):
        _run(Machine, 1000, 100)


def test_without_the_grant_limit_the_machine_finds_the_overspend():
    class Machine(BudgetMachine):
        make_ledger = UnlimitedLedger

    with pytest.raises(AssertionError):
        _run(Machine, 1000, 100)
