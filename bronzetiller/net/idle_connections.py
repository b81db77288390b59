"""Keep idle connections, and choose the one that a request may use; no I/O.

A server may write a copy of an earlier response on the same connection, in place of a later one.
Requests are told apart by their ids, so that a connection carries each id once: a response under an
id that the connection carries for the first time is not the copy of an earlier one.
"""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from attrs import define, field

from bronzetiller.net.address import Address

IDLE_CONNECTIONS_MAX = 32  # to one address
IDLE_SECONDS_MAX = 30.0
# Fraction of the server's idle timeout, so that it does not close while a request is being sent.
KEEP_ALIVE_FRACTION_MAX = 0.5
# A server that closes a connection sooner after a response has ended, rather than found it idle:
# servers keep idle connections for 5 s or more.
EARLY_CLOSE_SECONDS = 4.0
CARRIED_IDS_MAX = 128  # before a connection is closed, as it holds each of them


@define(eq=False)
class CarriedIds:
    """Hold the ids of the requests that a connection has carried, as hashes."""

    _hashes: set[int] = field(factory=set)

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether the connection may carry a request; None is one without any id."""
        return request_id is None or hash(request_id) not in self._hashes

    def add(self, request_id: str | None) -> None:
        """Record that the connection carries a request."""
        if request_id is not None:
            self._hashes.add(hash(request_id))

    @property
    def is_full(self) -> bool:
        """Return whether the connection should carry no further request."""
        return len(self._hashes) >= CARRIED_IDS_MAX


class IdleConnection(Protocol):
    """Define what is read of a connection that has no open call."""

    @property
    def address(self) -> Address:
        """Return the address of the server."""

    @property
    def carried_ids(self) -> CarriedIds:
        """Return the ids of the requests that the connection has carried."""

    @property
    def idle_until(self) -> float:
        """Return until when the server keeps the connection (monotonic seconds)."""

    @property
    def keep_alive_seconds(self) -> float:
        """Return how long the server keeps the connection, from its last response."""

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing arrived since its last response."""

    def close(self) -> None:
        """Close the connection, and remove it from the idle ones."""


Kept = TypeVar("Kept", bound=IdleConnection)


@define(eq=False)
class IdleConnections(Generic[Kept]):
    """Hold idle connections by address, the one that was used last at the end.

    on_early_close is called with the address of a server that closes one too soon for an idle one.
    """

    connections_max: int | None = None  # to all addresses
    on_early_close: Callable[[Address], None] = lambda address: None
    _by_address: dict[Address, list[Kept]] = field(factory=dict)
    _kept: dict[Kept, None] = field(factory=dict)  # in the order of their last use

    def has(self, address: Address) -> bool:
        """Return whether there is an idle connection to an address."""
        return bool(self._by_address.get(address))

    def take(self, address: Address, request_id: str | None, now: float) -> Kept | None:
        """Take a connection that may carry a request, and close those that are stale."""
        for kept in reversed(list(self._by_address.get(address, []))):
            if now >= kept.idle_until or not kept.is_quiet():
                kept.close()
            elif kept.carried_ids.may_carry(request_id):
                self.remove(kept)
                return kept
        return None

    def add(self, kept: Kept) -> None:
        """Keep a connection for later requests, or close it."""
        idle = self._by_address.setdefault(kept.address, [])
        if kept.carried_ids.is_full or len(idle) >= IDLE_CONNECTIONS_MAX:
            kept.close()
            return
        idle.append(kept)
        self._kept[kept] = None
        if self.connections_max is not None and len(self._kept) > self.connections_max:
            next(iter(self._kept)).close()

    def remove(self, kept: Kept) -> None:
        """Remove a connection, if it is among the idle ones."""
        idle = self._by_address.get(kept.address, [])
        self._kept.pop(kept, None)
        if kept in idle:
            idle.remove(kept)

    def record_close(self, kept: Kept, now: float) -> None:
        """Record that the other side closed a connection, which may be an idle one."""
        idle_seconds = now - (kept.idle_until - kept.keep_alive_seconds)
        is_idle = kept in self._by_address.get(kept.address, ())
        if is_idle and idle_seconds < min(EARLY_CLOSE_SECONDS, kept.keep_alive_seconds):
            self.on_early_close(kept.address)

    def close_all(self, address: Address) -> None:
        """Close the connections to an address."""
        for kept in self._by_address.pop(address, []):
            self._kept.pop(kept, None)
            kept.close()


def parse_keep_alive_seconds(headers: dict[str, str]) -> float:
    """Return how long (seconds) a connection may stay idle by the Keep-Alive header."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(IDLE_SECONDS_MAX, KEEP_ALIVE_FRACTION_MAX * int(value))
    return IDLE_SECONDS_MAX
