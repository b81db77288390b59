"""Test without a network which snapshots a node starts from."""

from functools import partial
from typing import Any

import pytest
from attrs import define, field
from result import Ok

from bronzetiller.budgets.ledger import Ledger, dump_ledger, load_ledger
from bronzetiller.fleet.snapshot_manager import SnapshotManager
from bronzetiller.storage.log_client import Entry, Page
from bronzetiller.storage.snapshots import Fold, dump_piece, replace_state, split_snapshot
from standins.fake_scheduler import FakeScheduler

STREAM = "ledger-0"
LATER_STATE = {"budgets": {"red": {"credited": 7, "grants": {"g1": {"size": 5}}}}}


@define
class FakeLog:
    """Hold the records of a stream of snapshots, without the I/O of LogClient."""

    records: list[Any]

    def read(self, stream, offset, done, *, wait_seconds, records_max, on_late_page=None):
        chosen = list(enumerate(self.records))[offset : offset + records_max]
        entries = [Entry(index, 1.0, record) for index, record in chosen]
        done(Ok(Page(entries, 0, len(self.records))))


@define
class FakeFollower:
    """Hold what a follower is told."""

    stream: str = STREAM
    next_offset: int = 0
    started: bool = False
    on_expired: Any = None

    def start(self):
        self.started = True

    def restart_at(self, offset):
        self.next_offset = offset


@define
class FakePeers:
    handlers: dict = field(factory=dict)

    def on(self, message_class, handle):
        self.handlers[message_class] = handle


@pytest.fixture
def start_manager():
    """Return a function that starts a manager behind snapshots of the given pairs of states."""

    def start(*states):
        pieces = [
            piece
            for offset, (ledger, others) in enumerate(states, 8)
            for piece in split_snapshot(
                STREAM,
                offset,
                [
                    Fold("ledger", lambda ledger=ledger: ledger, lambda value: lambda: None),
                    Fold("others", lambda others=others: others, lambda value: lambda: None),
                ],
            )
        ]
        follower, ledger, others = FakeFollower(), Ledger(), Ledger()
        manager = SnapshotManager(
            FakeScheduler(),
            FakeLog([dump_piece(piece) for piece in pieces]),
            FakePeers(),
            None,
            None,
            None,
        )
        folds = [
            Fold(
                name,
                lambda: None,
                lambda value, state=state: partial(replace_state, state, load_ledger(value)),
            )
            for name, state in (("ledger", ledger), ("others", others))
        ]
        manager.add(follower, folds)
        manager.start()
        return follower, ledger, others

    return start


def make_state(credited):
    ledger = Ledger()
    ledger.budgets = load_ledger({"budgets": {"red": {"credited": credited}}}).budgets
    return dump_ledger(ledger)


def test_a_node_starts_from_the_newest_snapshot(start_manager):
    follower, ledger, others = start_manager((make_state(1), make_state(2)))
    assert follower.started and follower.next_offset == 8
    assert dump_ledger(ledger) == make_state(1) and dump_ledger(others) == make_state(2)


@pytest.mark.parametrize("states", [(LATER_STATE, make_state(2)), (make_state(1), LATER_STATE)])
def test_a_snapshot_that_lacks_a_field_keeps_no_node_from_starting(start_manager, states):
    follower, ledger, others = start_manager(states)
    assert follower.started and follower.next_offset == 0
    assert ledger == Ledger() and others == Ledger()
