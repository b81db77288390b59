"""Test that each top-up is posted to the ledger once, by the node that ranks first if possible."""

import pytest

from bronzetiller.budgets.credits import RANK_DELAY_SECONDS, CreditPoster
from bronzetiller.budgets.ledger import Ledger
from bronzetiller.configuration.fold import Configuration


class FakeShards:
    """Collect appended records until the test acknowledges them."""

    def __init__(self):
        self.ledger = Ledger()
        self.appended = []

    def find(self, workspace):
        return self

    def append(self, record, acknowledged):
        self.appended.append((record, acknowledged))

    def acknowledge_all(self, offset=0):
        for record, acknowledged in self.appended:
            self.ledger.apply(0.0, record)
            acknowledged(offset)


@pytest.fixture
def make_poster():
    def make(rank):
        configuration = Configuration()
        body = {"workspace": "studio", "tokens": 5}
        record = {"record_id": "r", "schema": 1, "kind": "top-up", "name": "studio-1"}
        configuration.apply(0, record | {"replaces": -1, "author": "anna", "body": body})
        shards = FakeShards()
        return CreditPoster(configuration, shards, lambda name: rank), shards

    return make


def test_a_credit_is_appended_once_while_its_acknowledgement_is_pending(make_poster):
    poster, shards = make_poster(rank=0)
    for now in range(100):
        poster.post(now)
    assert len(shards.appended) == 1
    assert poster.is_pending("studio") and not poster.is_pending("rival")
    shards.acknowledge_all()
    poster.post(200.0)
    assert len(shards.appended) == 1
    assert not poster.is_pending("studio")


def test_a_node_delays_a_credit_by_its_rank(make_poster):
    poster, shards = make_poster(rank=2)
    poster.post(10.0)
    poster.post(10.0 + 1.9 * RANK_DELAY_SECONDS)
    assert shards.appended == []
    poster.post(10.0 + 2 * RANK_DELAY_SECONDS)
    assert len(shards.appended) == 1
