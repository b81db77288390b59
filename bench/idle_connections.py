"""Count the connections to targets, with and without connections that carry each id once.

python -m bench.idle_connections [--seed N] [--same-node PORTION] [--repeats N] [--clump N]
    [--spread]

No network is used: requests of a fleet go through the IdleConnections of each node, in simulated
time. Targets refuse a share of the requests. A node tries a refused request at other targets while
its budget of retries lasts; a caller sends a refused request again under its id, to the same node
or another one, where it goes to the same target first (with --spread to any). With --clump several
requests arrive at a node together and go to the same target first. Open connections are those of
all nodes at one target, which closes an idle one twice as late as the nodes still use it.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from bronzetiller.gateway.request_handler import TARGET_REFUSALS_MAX
from bronzetiller.gateway.selection import compute_retry_after
from bronzetiller.net.address import Address
from bronzetiller.net.idle_connections import IDLE_SECONDS_MAX, CarriedIds, IdleConnections

REFUSAL_SECONDS = 0.002
SERVER_IDLE_SECONDS = 2 * IDLE_SECONDS_MAX  # before a target closes an idle connection
WARM_UP_SECONDS = 60.0
MEASURED_SECONDS = 60.0
RETRY_BUDGET_PORTION = 0.2  # of the requests, in both deployments
CALM_REFUSED_PORTION = 0.01
BURST_REFUSED_PORTION = 0.5
BURST_FACTOR = 1.7  # of the requests per second, in both deployments
NEW_CONNECTION_SECONDS = 0.001  # that a new connection holds a slot


@frozen
class Site:
    """Describe the nodes, the targets of one service and its requests; seconds are an average."""

    name: str
    nodes: int
    targets: int
    slots: int
    connections_max: int
    requests_per_second: float
    request_seconds: float


# The first four as described for namehouse and namehouse-large, with streams of two seconds. At 330
# nodes the models have the requests per target that are expected there, the orders those per node
# of namehouse-large, and both its connections.
SITES = (
    Site("6, models", 6, 5, 64, 360, 36.6, 2.0),
    Site("6, orders", 6, 3, 6, 96, 13.2, 0.045),
    Site("195, models", 195, 39, 24, 1300, 231.0, 2.0),
    Site("195, orders", 195, 6, 6, 1200, 81.0, 0.09),
    Site("330, models", 330, 300, 24, 1300, 1222.0, 2.0),
    Site("330, orders", 330, 10, 6, 1200, 136.0, 0.09),
)


@frozen
class Load:
    """Describe how requests are refused and sent again."""

    name: str
    factor: float
    refused_portion: float
    same_node_portion: float = 0.5
    repeats_max: int = 1
    clump: int = 1
    is_spread: bool = False


@frozen
class Result:
    """Count what happened after the warm-up; ids_held_max is of one node at the end."""

    requests: int
    attempts: int
    new_connections: int
    new_at_one_target: int
    repeated_ids: int
    connections_max: int
    connections_beyond: int
    ids_held_max: int

    @property
    def new_per_request(self) -> float:
        """Return the number of new connections for each request that callers sent."""
        return self.new_connections / self.requests


class IgnoredIds(CarriedIds):
    """Let a connection carry any request, as before connections held ids."""

    def may_carry(self, request_id: str | None) -> bool:
        """Return that the connection may carry the request."""
        return True

    def add(self, request_id: str | None) -> None:
        """Record nothing."""


@define(eq=False)
class _Server:
    """Count the connections of one target."""

    open: int = 0
    opened: int = 0
    open_max: int = 0


@define(eq=False)
class _Connection:
    """Hold one connection of a node to a target, and the ids that it carried."""

    pool: "IdleConnections[_Connection]"
    opened: "set[_Connection]"
    address: Address
    server: _Server
    carried_ids: CarriedIds
    idle_until: float = 0.0
    keep_alive_seconds: float = IDLE_SECONDS_MAX
    is_open: bool = True
    uses: int = 0
    history: set[str] = field(factory=set)

    def is_quiet(self) -> bool:
        return self.is_open

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.server.open -= 1
            self.opened.remove(self)
            self.pool.remove(self)


@define(eq=False)
class _Request:
    """Hold what a request has been through; the targets stand in the order of preference."""

    request_id: str
    node: int
    targets: list[int]
    tried: int = 0
    refusals: int = 0
    repeats: int = 0


@define(eq=False)
class Simulation:
    """Send the requests of a site through the idle connections of its nodes."""

    site: Site
    load: Load
    make_ids: Callable[[], CarriedIds]
    seed: int = 1
    warm_up_seconds: float = WARM_UP_SECONDS
    measured_seconds: float = MEASURED_SECONDS
    now: float = 0.0
    _random: random.Random = field(init=False)
    _pools: "list[IdleConnections[_Connection]]" = field(init=False)
    _opened: list[set[_Connection]] = field(init=False)
    _servers: list[_Server] = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "itertools.count[int]" = field(factory=itertools.count)
    _requests: int = 0
    _retries: int = 0
    _measured_requests: int = 0
    _attempts: int = 0
    _repeated_ids: int = 0
    _beyond: int = 0

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)
        self._pools = [IdleConnections() for _ in range(self.site.nodes)]
        self._opened = [set() for _ in range(self.site.nodes)]
        self._servers = [_Server() for _ in range(self.site.targets)]

    @property
    def _is_measured(self) -> bool:
        return self.now >= self.warm_up_seconds

    def run(self) -> Result:
        """Run the simulation and count."""
        end = self.warm_up_seconds + self.measured_seconds
        self._call_after(0.0, self._arrive)
        while self._events and self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return Result(
            self._measured_requests,
            self._attempts,
            sum(server.opened for server in self._servers),
            max(server.opened for server in self._servers),
            self._repeated_ids,
            max(server.open_max for server in self._servers),
            self._beyond,
            max(sum(len(item.history) for item in opened) for opened in self._opened),
        )

    def _call_after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def _arrive(self) -> None:
        draw, site, clump = self._random, self.site, self.load.clump
        self._requests += clump
        self._measured_requests += clump * self._is_measured
        node = draw.randrange(site.nodes)
        targets = self._draw_targets()
        for _ in range(clump):
            self._send(_Request(f"{draw.getrandbits(64):016x}", node, targets))
        rate = site.requests_per_second * (self.load.factor if self._is_measured else 1.0)
        self._call_after(draw.expovariate(rate / clump), self._arrive)

    def _draw_targets(self) -> list[int]:
        count = min(self.site.targets, 1 + TARGET_REFUSALS_MAX)
        return self._random.sample(range(self.site.targets), count)

    def _send(self, request: _Request) -> None:
        """Send a request to the next of its targets, on an idle connection or a new one."""
        draw, target = self._random, request.targets[request.tried]
        request.tried += 1
        connection = self._take(request, target)
        connection.uses += 1
        if request.request_id in connection.history and self._is_measured:
            self._repeated_ids += 1
        connection.history.add(request.request_id)
        connection.carried_ids.add(request.request_id)
        self._attempts += self._is_measured
        portion = self.load.refused_portion if self._is_measured else CALM_REFUSED_PORTION
        if draw.random() < portion:
            self._call_after(REFUSAL_SECONDS, lambda: self._end_refused(request, connection))
        else:
            seconds = draw.expovariate(1.0 / self.site.request_seconds)
            self._call_after(seconds, lambda: self._keep(connection))

    def _take(self, request: _Request, target: int) -> _Connection:
        pool, server = self._pools[request.node], self._servers[target]
        address = Address("10.0.0.1", 1 + target)
        connection = pool.take(address, request.request_id, self.now)
        if connection is None:
            opened = self._opened[request.node]
            connection = _Connection(pool, opened, address, server, self.make_ids())
            opened.add(connection)
            server.open += 1
            if self._is_measured:
                server.opened += 1
                self._beyond += server.open > self.site.connections_max
        if self._is_measured:
            server.open_max = max(server.open_max, server.open)
        return connection

    def _keep(self, connection: _Connection) -> None:
        """Add a connection to the idle ones, until its server closes it."""
        connection.idle_until = self.now + IDLE_SECONDS_MAX
        connection.pool.add(connection)
        uses = connection.uses

        def close_if_idle() -> None:
            if connection.uses == uses:
                connection.close()

        self._call_after(SERVER_IDLE_SECONDS, close_if_idle)

    def _end_refused(self, request: _Request, connection: _Connection) -> None:
        """Try a refused request at another target, or return the refusal to the caller."""
        self._keep(connection)
        request.refusals += 1
        is_budgeted = self._retries < RETRY_BUDGET_PORTION * self._requests
        if (
            request.refusals <= TARGET_REFUSALS_MAX
            and request.tried < len(request.targets)
            and is_budgeted
        ):
            self._retries += 1
            self._send(request)
        elif request.repeats < self.load.repeats_max:
            self._repeat(request)

    def _repeat(self, request: _Request) -> None:
        """Let the caller send a refused request again under its id."""
        draw, load = self._random, self.load
        request.repeats += 1
        request.tried = request.refusals = 0
        if draw.random() >= load.same_node_portion:
            request.node = draw.randrange(self.site.nodes)
        if load.is_spread:
            request.targets = self._draw_targets()
        seconds = compute_retry_after(None, draw.random())
        self._call_after(seconds, lambda: self._send(request))


def compare(site: Site, load: Load, seed: int = 1) -> tuple[Result, Result]:
    """Run a site without and with ids that connections carry once; all draws are the same."""
    before = Simulation(site, load, IgnoredIds, seed).run()
    return before, Simulation(site, load, CarriedIds, seed).run()


def _format_row(site: Site, load: Load, before: Result, after: Result) -> str:
    seconds = MEASURED_SECONDS * site.slots
    cells = [
        site.name,
        load.name,
        str(after.requests),
        f"{before.new_per_request:.3f} / {after.new_per_request:.3f}",
        f"{before.repeated_ids} / {after.repeated_ids}",
        f"{before.connections_max} / {after.connections_max} of {site.connections_max}",
        f"{before.connections_beyond} / {after.connections_beyond}",
        " / ".join(
            f"{100 * NEW_CONNECTION_SECONDS * item.new_at_one_target / seconds:.3f} %"
            for item in (before, after)
        ),
        str(after.ids_held_max),
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Print a table of all sites, in calm and in a burst, before and after."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--same-node", type=float, default=0.5, help="portion of the repeats")
    parser.add_argument("--repeats", type=int, default=1, help="most repeats of a request")
    parser.add_argument("--clump", type=int, default=1, help="requests that arrive together")
    parser.add_argument("--spread", action="store_true", help="repeats go to any target first")
    arguments = parser.parse_args()
    calm = Load(
        "calm",
        1.0,
        CALM_REFUSED_PORTION,
        arguments.same_node,
        arguments.repeats,
        arguments.clump,
        arguments.spread,
    )
    burst = evolve(calm, name="burst", factor=BURST_FACTOR, refused_portion=BURST_REFUSED_PORTION)
    print("Each cell: without ids / with ids that a connection carries once.\n")
    print(
        "| nodes, service | load | requests | new connections a request | ids carried again"
        " | open at a target | opened beyond the limit | slots held by new ones"
        " | most ids held by a node |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for site in SITES:
        for load in (calm, burst):
            print(_format_row(site, load, *compare(site, load, arguments.seed)), flush=True)


if __name__ == "__main__":
    main()
