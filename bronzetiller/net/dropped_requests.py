"""Drop requests whose bytes a process can no longer hold."""

from collections.abc import Callable, Hashable
from weakref import ref

from bronzetiller.net.buffer_quota import Buffer, Kind
from bronzetiller.net.caller_connection import CallerConnection
from bronzetiller.net.exchange import Exchange

TOO_MANY_BYTES = "the node holds too many bytes of requests"


def find_group(connection: CallerConnection, is_peer: Callable[[str], bool]) -> Hashable:
    """Return for whom a connection holds bytes: an address, or any one caller behind a peer."""
    try:
        ip = str(connection.sock.getpeername()[0])
    except OSError:  # it was reset before it was accepted
        return connection
    return connection if is_peer(ip) else ip


def make_request_buffer(exchange: Exchange, group: Hashable) -> Buffer:
    """Return a buffer for a complete request, which is dropped unless it was sent to a target.

    It refers to the exchange weakly, since it outlives the body that the exchange holds.
    """
    get_exchange = ref(exchange)

    def may_drop() -> bool:
        exchange = get_exchange()
        if exchange is None or exchange.done or exchange.started or exchange.may_drop is None:
            return False
        return exchange.may_drop()

    def drop() -> None:
        exchange = get_exchange()
        if exchange is not None and exchange.on_drop is not None:
            exchange.close_after_response()
            exchange.on_drop()

    return Buffer(drop, kind=Kind.REQUEST, group=group, may_drop=may_drop)
