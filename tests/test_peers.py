"""Test the connections to peers without a network."""

import pytest
from result import Err

from bronzetiller.fleet.peers import Peers, PeerVm
from bronzetiller.net.address import Address
from bronzetiller.wire.messages import Ping
from standins.fake_scheduler import FakeScheduler

SECRET = b"a-secret-for-stand-ins-only"
ADDRESSES = [Address("127.0.0.1", 1), Address("127.0.0.1", 2)]
SETTLE_SECONDS = 1.0
REQUEST_SECONDS = 30.0


class FakeConnection:
    """Carry bytes between two nodes until it is closed."""

    def __init__(self, scheduler, peer, handlers):
        self.scheduler = scheduler
        self.handlers = handlers
        self.open = True
        self.session = peer.accept(
            lambda data: self.deliver(lambda: handlers.received(data)), self.close
        )

    def deliver(self, receive):
        self.scheduler.call_after(0.0, lambda: receive() if self.open else None)

    def write(self, data):
        self.deliver(lambda: self.session.feed(data))

    def close(self):
        self.open = False


class FakeDialer:
    """Connect to one node, whatever the address."""

    def __init__(self, scheduler, peer):
        self.scheduler = scheduler
        self.peer = peer

    def dial(self, address, seconds, handlers):
        connection = FakeConnection(self.scheduler, self.peer, handlers)
        connection.deliver(handlers.connected)
        return connection


@pytest.fixture
def scheduler():
    return FakeScheduler()


@pytest.fixture
def replies():
    return []


@pytest.fixture
def peers(scheduler, replies):
    """Return the peers of a node that is connected to another one, which never replies."""
    other = Peers(scheduler, None, "b", SECRET)
    other.on(Ping, lambda message, reply: replies.append(reply))
    own = Peers(scheduler, FakeDialer(scheduler, other), "a", SECRET)
    own.set_peers([PeerVm("b", ADDRESSES[0])])
    scheduler.advance(SETTLE_SECONDS)
    assert own.connected() == ["b"]
    return own


@pytest.mark.parametrize("vms", [[PeerVm("b", ADDRESSES[1])], []], ids=["replaced", "removed"])
def test_a_request_does_not_outlast_the_connection_to_its_peer(scheduler, peers, replies, vms):
    results = []
    peers.request("b", Ping(), REQUEST_SECONDS, results.append)
    scheduler.advance(SETTLE_SECONDS)
    assert len(replies) == 1 and results == []
    peers.set_peers(vms)
    scheduler.advance(SETTLE_SECONDS)
    assert results == [Err("connection lost")]
