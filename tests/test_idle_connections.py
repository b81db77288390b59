"""Test which idle connection a request gets, and how many ids a connection carries."""

import random
import sys

import pytest
from attrs import define, field
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bronzetiller.net import idle_connections
from bronzetiller.net.address import Address
from bronzetiller.net.idle_connections import (
    CARRIED_IDS_MAX,
    IDLE_CONNECTIONS_MAX,
    CarriedIds,
    IdleConnections,
)

ADDRESSES = (Address("127.0.0.1", 1), Address("127.0.0.1", 2))
IDS = ("a", "b", "c", "d", None)
IDLE_SECONDS = 30.0
MACHINE_IDLE_MAX = 3
MACHINE_IDS_MAX = 3
CARRIED_BYTES_MAX = 16 * 1024  # 1,000 full connections take half of the 32 MB of a node
SETTINGS = settings(
    derandomize=True,
    max_examples=100,
    stateful_step_count=60,
    phases=[Phase.generate],
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@define(eq=False)
class StubConnection:
    """Record the ids that a connection carries, apart from CarriedIds."""

    pool: IdleConnections
    address: Address
    carried_ids: CarriedIds = field(factory=CarriedIds)
    idle_until: float = 0.0
    quiet: bool = True
    closed: bool = False
    history: list[str | None] = field(factory=list)

    def is_quiet(self):
        return self.quiet and not self.closed

    def close(self):
        self.closed = True
        self.pool.remove(self)

    def carry(self, request_id):
        self.history.append(request_id)
        self.carried_ids.add(request_id)


@pytest.fixture
def pool():
    return IdleConnections()


@pytest.fixture
def keep(pool):
    """Add an idle connection that has carried the given ids."""

    def add(*request_ids, address=ADDRESSES[0], idle_until=IDLE_SECONDS):
        connection = StubConnection(pool, address, idle_until=idle_until)
        for request_id in request_ids:
            connection.carry(request_id)
        pool.add(connection)
        return connection

    return add


def test_the_connection_that_was_used_last_is_taken_first(pool, keep):
    first, last = keep("a"), keep("b")
    assert [pool.take(ADDRESSES[0], "c", 0.0) for _ in range(3)] == [last, first, None]


def test_another_connection_is_taken_if_the_last_one_carried_the_id(pool, keep):
    other, last = keep("a"), keep("b")
    assert pool.take(ADDRESSES[0], "b", 0.0) is other
    assert pool.take(ADDRESSES[0], "c", 0.0) is last


def test_connections_that_carried_the_id_stay_idle_for_others(pool, keep):
    connection = keep("a")
    assert pool.take(ADDRESSES[0], "a", 0.0) is None
    assert not connection.closed
    assert pool.take(ADDRESSES[0], "b", 0.0) is connection


def test_a_request_without_an_id_may_use_a_connection_again(pool, keep):
    connection = keep(None)
    assert pool.take(ADDRESSES[0], None, 0.0) is connection


def test_connections_belong_to_their_address(pool, keep):
    keep("a")
    assert pool.take(ADDRESSES[1], "b", 0.0) is None


@pytest.mark.parametrize("reason", ["expired", "not quiet"])
def test_a_stale_connection_is_closed_and_the_next_one_taken(pool, keep, reason):
    usable = keep("a", idle_until=2 * IDLE_SECONDS)
    stale = keep("b")
    stale.quiet = reason == "expired"
    now = IDLE_SECONDS if reason == "expired" else 0.0
    assert pool.take(ADDRESSES[0], "c", now) is usable
    assert stale.closed


def test_a_connection_is_closed_after_as_many_ids_as_it_may_carry(pool, keep):
    ids = [str(index) for index in range(CARRIED_IDS_MAX)]
    assert not keep(*ids[:-1]).closed
    assert keep(*ids).closed


def test_no_more_connections_are_kept_than_the_limit(pool, keep):
    kept = [keep(str(index)) for index in range(IDLE_CONNECTIONS_MAX + 1)]
    assert [connection.closed for connection in kept] == [False] * IDLE_CONNECTIONS_MAX + [True]


def test_the_connection_that_is_idle_for_longest_is_closed_beyond_the_limit_for_all_addresses():
    pool = IdleConnections(connections_max=2)
    connections = [StubConnection(pool, ADDRESSES[number % 2]) for number in range(3)]
    for connection in connections:
        pool.add(connection)
    assert [connection.closed for connection in connections] == [True, False, False]


def test_all_connections_to_an_address_are_closed_together(pool, keep):
    closed = [keep("a"), keep("b")]
    other = keep("c", address=ADDRESSES[1])
    pool.close_all(ADDRESSES[0])
    assert all(connection.closed for connection in closed) and not other.closed
    assert not pool.has(ADDRESSES[0]) and pool.has(ADDRESSES[1])


def measure_bytes(carried):
    hashes = carried._hashes
    return sys.getsizeof(hashes) + sum(map(sys.getsizeof, hashes))


def test_the_ids_of_a_full_connection_take_little_memory():
    carried = CarriedIds()
    draw = random.Random(1)
    while not carried.is_full:
        carried.add(f"{draw.getrandbits(64):016x}")
    assert measure_bytes(carried) <= CARRIED_BYTES_MAX


class IdleConnectionsMachine(RuleBasedStateMachine):
    """Send requests over pooled connections, each of them open, idle or closed."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.pool = IdleConnections()
        self.open = []
        self.idle = []

    @rule(address=st.sampled_from(ADDRESSES), request_id=st.sampled_from(IDS))
    def send(self, address, request_id):
        usable = [
            item
            for item in self.idle
            if item.address == address
            and item.is_quiet()
            and self.now < item.idle_until
            and (request_id is None or request_id not in item.history)
        ]
        connection = self.pool.take(address, request_id, self.now)
        assert connection is (usable[-1] if usable else None)
        if connection is None:
            connection = StubConnection(self.pool, address)
        else:
            self.idle.remove(connection)
        assert request_id is None or request_id not in connection.history
        connection.carry(request_id)
        self.open.append(connection)

    @rule(draw=st.randoms(use_true_random=False), seconds=st.sampled_from([1.0, 5.0, IDLE_SECONDS]))
    def finish(self, draw, seconds):
        if self.open:
            connection = self.open.pop(draw.randrange(len(self.open)))
            connection.idle_until = self.now + seconds
            self.pool.add(connection)
            if not connection.closed:
                self.idle.append(connection)

    @rule(draw=st.randoms(use_true_random=False))
    def fail(self, draw):
        if self.open:
            self.open.pop(draw.randrange(len(self.open))).close()

    @rule(draw=st.randoms(use_true_random=False), by_server=st.booleans())
    def disturb(self, draw, by_server):
        if self.idle:
            connection = draw.choice(self.idle)
            if by_server:
                connection.close()
            else:
                connection.quiet = False

    @rule(seconds=st.sampled_from([0.5, 5.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(address=st.sampled_from(ADDRESSES))
    def time_out(self, address):
        self.pool.close_all(address)
        assert not self.pool.has(address)

    @invariant()
    def check(self):
        if not hasattr(self, "pool"):
            return
        self.idle = [item for item in self.idle if not item.closed]
        for address in ADDRESSES:
            idle = [item for item in self.idle if item.address == address]
            assert self.pool.has(address) == bool(idle)
            assert len(idle) <= MACHINE_IDLE_MAX
        for item in self.idle:
            ids = [request_id for request_id in item.history if request_id is not None]
            assert len(ids) == len(set(ids)) < MACHINE_IDS_MAX


@pytest.fixture
def run_machine(monkeypatch):
    """Run the machine with bounds that it reaches."""
    monkeypatch.setattr(idle_connections, "IDLE_CONNECTIONS_MAX", MACHINE_IDLE_MAX)
    monkeypatch.setattr(idle_connections, "CARRIED_IDS_MAX", MACHINE_IDS_MAX)
    return lambda: run_state_machine_as_test(IdleConnectionsMachine, settings=SETTINGS)


def test_no_connection_carries_an_id_twice(run_machine):
    run_machine()


@pytest.mark.parametrize(
    ("name", "value"),
    [("may_carry", lambda carried, request_id: True), ("is_full", False)],
)
def test_a_pool_without_the_ids_or_their_bound_is_noticed(run_machine, monkeypatch, name, value):
    monkeypatch.setattr(CarriedIds, name, value)
    with pytest.raises(AssertionError):
        run_machine()
