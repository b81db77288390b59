"""Simulate a fleet of nodes that follow the store directly or through each other, over links."""

import json
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import lru_cache, partial
from random import Random
from typing import Any
from unittest import mock

from attrs import define, field, frozen

from bronzetiller.fleet import neighbours
from bronzetiller.gateway import followers, members
from bronzetiller.gateway.capacity import estimate_capacity
from bronzetiller.gateway.configuration import GatewayConfiguration
from bronzetiller.gateway.crash_reports import CrashReports
from bronzetiller.gateway.crashes import CrashTracker
from bronzetiller.gateway.followers import (
    CONFIGURATION_PEER_WAIT_SECONDS,
    ConfigurationFollower,
    TargetsFollower,
)
from bronzetiller.gateway.members import Member, Members
from bronzetiller.gateway.peer_links import PeerLinks, make_seed_id
from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.readers import SourceMap
from bronzetiller.gateway.relay import RelayedPartition, register_fetch_handler
from bronzetiller.gateway.settings import GatewayCapacity
from bronzetiller.gateway.targets import TargetPool
from bronzetiller.net.address import Address
from bronzetiller.platform.store import PlatformStore
from bronzetiller.platform.topics import (
    CONFIGURATION_KEY,
    CRASHES_TOPIC,
    NODES_TOPIC,
    OPERATOR_TOPIC,
    REGISTRATIONS_TOPIC,
)
from bronzetiller.sync.start import start_in_order
from standins.fake_scheduler import FakeScheduler
from standins.path_engine import make_registration
from standins.shared_link import STORE, Host, HostScheduler, Network, Place
from standins.simulated_peers import SimulatedPeers
from standins.simulated_store import HEAD_BYTES, STORE_ADDRESS, SimulatedHttpClient, SimulatedStore

FAST_LINK_MBPS = 100.0
SLOW_LINK_MBPS = 10.0
FAST_NODES = 2  # of each data centre
STEP_SECONDS = 0.05
RELAYED_TOPICS = (OPERATOR_TOPIC, REGISTRATIONS_TOPIC, NODES_TOPIC, CRASHES_TOPIC)


@frozen
class Layout:
    """Describe a fleet: the nodes of each data centre by region; the store is in the first one."""

    regions: dict[str, list[int]]
    shared_mbps: float
    targets: int
    apply_seconds: float  # within which every node must have a configuration

    def list_places(self) -> list[Place]:
        """Return the place of each node."""
        return [
            Place(
                f"{region}-{chr(97 + number)}-{index:02}",
                f"{region}-{chr(97 + number)}",
                region,
                FAST_LINK_MBPS if index < FAST_NODES else SLOW_LINK_MBPS,
            )
            for region, sizes in self.regions.items()
            for number, size in enumerate(sizes)
            for index in range(size)
        ]


LAYOUTS = {
    6: Layout({"east": [2, 2], "west": [2]}, 15.0, 8, 4.0),
    86: Layout({"east": [15, 14, 14], "west": [14, 15, 14]}, 30.0, 76, 5.0),
    195: Layout({"east": [35, 30, 33], "west": [34, 27, 36]}, 75.0, 45, 5.0),
    330: Layout(
        {"east": [28, 27, 28, 27], "north": [28, 27, 28, 27], "west": [28, 27, 28, 27]},
        75.0,
        300,
        9.0,
    ),
}


@define(eq=False)
class NodeParts:
    """Hold the components of one process of a node."""

    scheduler: HostScheduler
    http: SimulatedHttpClient
    peers: SimulatedPeers
    configuration_follower: ConfigurationFollower
    targets_follower: TargetsFollower
    members: Members
    crash_reports: CrashReports
    links: PeerLinks
    find_sources: Callable[[], bool]
    draw_uniform: Callable[[], float]

    def start(self) -> None:
        """Start following, as GatewayNode.run does."""
        self.members.start()
        start_in_order(
            self.scheduler,  # type: ignore[arg-type]
            lambda: self.members.follower.complete,
            self.find_sources,
            self.draw_uniform,
            (
                self.configuration_follower.follower.start,
                self.targets_follower.follower.start,
                self.crash_reports.start,
            ),
        )
        self.links.start()

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0 if there is none."""
        configuration = self.configuration_follower.configuration
        return 0 if configuration is None else configuration.version


def assemble_node(
    fleet: "SimulatedFleet",
    place: Place,
    scheduler: HostScheduler,
    http: SimulatedHttpClient,
    peers: SimulatedPeers,
) -> NodeParts:
    """Assemble the followers of a node like GatewayNode._set_up_followers."""
    node_id, data_centre = place.node_id, place.data_centre
    random = Random(f"{fleet.seed}/{node_id}/{scheduler.now()}")
    timed: Any = scheduler
    connections: Any = peers
    store = PlatformStore(http, STORE_ADDRESS)  # type: ignore[arg-type]
    distances = Distances(data_centre, place.region, fleet.region_by_data_centre)
    sources = SourceMap(node_id, data_centre, fleet.region_by_data_centre)

    def make_reader(topic: str) -> PeerReader:
        return PeerReader(
            timed,
            connections,
            store,
            node_id,
            lambda: sources.find(topic),
            lambda: links.list_seeds(),
            random.random,
        )

    def describe_self() -> Member:
        ready = (
            configuration_follower.configuration is not None and targets_follower.follower.complete
        )
        return Member(
            node_id,
            f"{fleet.ips[node_id]}:80",
            data_centre,
            f"{node_id}/{fleet.network.hosts[node_id].incarnation:04}",
            ready,
            f"{fleet.ips[node_id]}:81",
            capacity=estimate_capacity(GatewayCapacity(1, 1, place.link_mbps)),
            load=20.0,
        )

    def list_wanted_peers() -> set[str]:
        sources.refresh([*member_follower.list_others_alive(), describe_self()])
        return {peer for topic in RELAYED_TOPICS for peer in sources.find(topic).peers}

    def find_sources() -> bool:
        if not member_follower.members:
            return False
        links.refresh()
        return bool(member_follower.list_others_alive())

    def apply_configuration(configuration: GatewayConfiguration) -> None:
        fleet.applied_at.setdefault(configuration.version, {})[node_id] = scheduler.now()

    configuration_reader = make_reader(OPERATOR_TOPIC)
    configuration_reader.peer_wait_seconds = CONFIGURATION_PEER_WAIT_SECONDS
    configuration_follower = ConfigurationFollower(timed, configuration_reader, apply_configuration)
    registration_reader = make_reader(REGISTRATIONS_TOPIC)
    targets_follower = TargetsFollower(timed, registration_reader, UnindexedPool())
    member_reader = make_reader(NODES_TOPIC)
    member_follower = Members(timed, store, member_reader, describe_self)
    crashes_reader = make_reader(CRASHES_TOPIC)
    tracker = CrashTracker(timed, http, member_follower.count_nodes, random.random)  # type: ignore[arg-type]
    crash_reports = CrashReports(timed, store, crashes_reader, node_id, tracker)
    followed_readers = (
        (configuration_follower.follower, configuration_reader),
        (targets_follower.follower, registration_reader),
        (member_follower.follower, member_reader),
        (crash_reports.follower, crashes_reader),
    )
    register_fetch_handler(
        connections,
        {
            follower.partition.topic: RelayedPartition(timed, follower, reader, connections)
            for follower, reader in followed_readers
        },
    )
    links = PeerLinks(
        timed,
        connections,
        distances,
        fleet.list_seeds(node_id),
        member_follower.list_others_alive,
        list_wanted_peers,
        lambda: all(follower.complete for follower, _ in followed_readers),
    )
    return NodeParts(
        scheduler,
        http,
        peers,
        configuration_follower,
        targets_follower,
        member_follower,
        crash_reports,
        links,
        find_sources,
        random.random,
    )


def make_configuration(version: int, kilobytes: float, random: Random) -> bytes:
    """Return a configuration of about this size, of many routes with random names."""
    routes = []
    size = 0
    while size < kilobytes * 1000:
        name = "".join(random.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=8))
        host = "".join(random.choices("abcdefghijklmnopqrstuvwxyz", k=4))
        route = {
            "name": f"{host}-{name}",
            "hostname": f"{host}{random.randrange(100)}.example",
            "path_prefix": f"/{name}/",
            "kind": random.choice(["idempotent", "streaming", "non_idempotent"]),
            "timeout_ms": random.choice([400, 1_000, 5_000]),
            "target_latency_ms": random.choice([100, 200, 400]),
            "priority": random.randrange(4),
            "service": f"service-{random.randrange(20)}",
            "max_attempts": 2,
            "public": False,
        }
        routes.append(route)
        size += len(json.dumps(route)) + 2
    services = [{"name": f"service-{number}"} for number in range(20)]
    return json.dumps({"version": version, "routes": routes, "services": services}).encode()


@contextmanager
def cache_decoding() -> Iterator[None]:
    """Decode and compare each value once for all nodes of the process."""
    functions = (
        (followers, "decode_configuration", 8),
        (followers, "decode_registration", 4096),
        (followers, "has_registration_changed", 4096),
        (members, "decode_member", 4096),
        (members, "has_member_changed", 4096),
        (neighbours, "_score", 65_536),
    )
    with ExitStack() as stack:
        for module, name, size in functions:
            cached = lru_cache(size)(getattr(module, name))
            stack.enter_context(mock.patch.object(module, name, cached))
        yield


class UnindexedPool(TargetPool):
    """Hold targets without the index by service, which no simulated node reads."""

    def _rebuild_index(self) -> None:
        pass


@define(eq=False)
class SimulatedFleet:
    """Run the nodes of a layout on one clock; applied_at holds when nodes applied each version."""

    size: int
    seed: int = 1
    scheduler: FakeScheduler = field(factory=FakeScheduler)
    layout: Layout = field(init=False)
    network: Network = field(init=False)
    store: SimulatedStore = field(init=False)
    places: dict[str, Place] = field(init=False)
    region_by_data_centre: dict[str, str] = field(init=False)
    ips: dict[str, str] = field(init=False)
    parts: dict[str, NodeParts] = field(factory=dict)
    applied_at: dict[int, dict[str, float]] = field(factory=dict)
    version: int = 0
    random: Random = field(init=False)
    _directory: dict[str, SimulatedPeers] = field(factory=dict)
    _background_until: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.layout = LAYOUTS[self.size]
        self.random = Random(self.seed)
        self.network = Network(self.scheduler, self.layout.shared_mbps, next(iter(self.regions)))
        self.store = SimulatedStore(self.scheduler)
        self.places = {place.node_id: place for place in self.layout.list_places()}
        self.region_by_data_centre = {
            place.data_centre: place.region for place in self.places.values()
        }
        self.ips = {
            node_id: f"10.1.{index // 200}.{index % 200 + 1}"
            for index, node_id in enumerate(self.places)
        }
        for place in self.places.values():
            self.network.add_host(place)
        for index in range(self.layout.targets):
            self._start_target(index)

    @property
    def regions(self) -> list[str]:
        """Return the regions; the store is in the first one."""
        return list(self.layout.regions)

    @property
    def node_ids(self) -> list[str]:
        return list(self.places)

    def list_region(self, region: str) -> list[str]:
        """Return the ids of the nodes of a region."""
        return [item.node_id for item in self.places.values() if item.region == region]

    def list_seeds(self, own_id: str) -> list[Address]:
        """Return the peer addresses of the first node of each data centre."""
        first = {place.data_centre: place.node_id for place in reversed(self.places.values())}
        return [Address(self.ips[item], 81) for item in first.values() if item != own_id]

    def start_all(self, *, spread_seconds: float = 1.0, warm_up_seconds: float = 4.0) -> None:
        """Start all nodes and let them find each other."""
        for node_id in self.places:
            delay = self.random.random() * spread_seconds
            self.scheduler.call_after(delay, partial(self.start, node_id))
        self.advance(spread_seconds + warm_up_seconds)

    def start(self, node_id: str) -> None:
        """Start the process of a node."""
        host = self.network.hosts[node_id]
        host.alive, host.frozen = True, False
        host.incarnation += 1
        host.backlog.clear()
        scheduler = HostScheduler(self.scheduler, host, host.incarnation)
        run = _make_runner(host, host.incarnation)
        http = SimulatedHttpClient(scheduler, self.network, self.store, node_id, run)
        peers = SimulatedPeers(
            self._directory, self.network, scheduler, node_id, run, lambda: host.alive
        )
        self._directory[node_id] = peers
        self._directory[make_seed_id(Address(self.ips[node_id], 81))] = peers
        parts = assemble_node(self, self.places[node_id], scheduler, http, peers)
        self.parts[node_id] = parts
        parts.start()

    def kill(self, node_id: str) -> None:
        """End the process of a node; its connections are closed."""
        parts = self.parts.pop(node_id)
        parts.http.close_all()
        self.network.hosts[node_id].alive = False
        parts.peers.close_all()

    def freeze(self, node_id: str) -> None:
        """Suspend the process of a node."""
        self.network.hosts[node_id].frozen = True

    def thaw(self, node_id: str) -> None:
        """Resume the process of a node."""
        host = self.network.hosts[node_id]
        host.frozen = False
        backlog, host.backlog = host.backlog, []
        for action in backlog:
            host.run(host.incarnation, action)

    def suspend(self, node_id: str) -> None:
        """Suspend the VM of a node, whose monotonic clock stands still."""
        self.freeze(node_id)
        self.network.hosts[node_id].suspended_at = self.scheduler.time

    def wake(self, node_id: str) -> None:
        """Resume a VM that was suspended."""
        host = self.network.hosts[node_id]
        if host.suspended_at is not None:
            host.suspended_seconds += self.scheduler.time - host.suspended_at
            host.suspended_at = None
        self.thaw(node_id)

    def cut_from_store(self, node_ids: list[str]) -> None:
        """Lose all packets between nodes and the store."""
        for node_id in node_ids:
            self.network.cut(node_id, STORE)

    def isolate(self, node_id: str) -> None:
        """Lose all packets of a node."""
        for other in (STORE, *self.places):
            if other != node_id:
                self.network.cut(node_id, other)

    def write_configuration(self, kilobytes: float) -> int:
        """Write the next version of the configuration; return its number."""
        self.version += 1
        value = make_configuration(self.version, kilobytes, self.random)
        self.store.write(OPERATOR_TOPIC, CONFIGURATION_KEY, value)
        return self.version

    def fill_shared_links(self, share: float, seconds: float) -> None:
        """Send other traffic between the regions, at a share of their links' bandwidth."""
        self._background_until = self.scheduler.time + seconds
        for source in self.regions:
            for target in self.regions:
                if source != target:
                    self._send_background(source, target, share)

    def _send_background(self, source: str, target: str, share: float) -> None:
        if self.scheduler.time >= self._background_until:
            return
        link = self.network.find_shared_link(source, target)
        interval = 0.01
        link.send(int(link.bytes_per_second * share * interval), "background", lambda: None)
        self.scheduler.call_after(interval, lambda: self._send_background(source, target, share))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.scheduler.advance(seconds)

    def list_outdated(self, node_ids: list[str] | None = None) -> list[str]:
        """Return those running nodes that do not have the newest version."""
        chosen = self.node_ids if node_ids is None else node_ids
        return [
            node_id
            for node_id in chosen
            if self.network.hosts[node_id].is_running and self.parts[node_id].version < self.version
        ]

    def find_region_reader(self, region: str) -> str:
        """Return the node of a region that made most reads of the configuration at the store."""
        reads = self.store.reads
        return max(self.list_region(region), key=lambda item: reads[item, OPERATOR_TOPIC])

    def find_data_centre_reader(self, data_centre: str) -> str:
        """Return the node of a data centre that sent most responses with the configuration."""
        near = [item.node_id for item in self.places.values() if item.data_centre == data_centre]

        def count_responses(node_id: str) -> int:
            sent = self.parts[node_id].peers.sent_responses
            return sum(sent[OPERATOR_TOPIC, receiver] for receiver in near)

        return max(near, key=count_responses)

    def await_version(self, seconds_max: float, node_ids: list[str] | None = None) -> float | None:
        """Let time pass until nodes have the newest version; return the seconds, None if never."""
        start = self.scheduler.time
        while self.list_outdated(node_ids):
            if self.scheduler.time - start > seconds_max:
                return None
            self.advance(STEP_SECONDS)
        return self.scheduler.time - start

    def _start_target(self, index: int) -> None:
        data_centres = list(self.region_by_data_centre)
        data_centre = data_centres[index % len(data_centres)]
        region = self.region_by_data_centre[data_centre]
        target_id = f"i-{index:010x}"
        sequence = 0

        def write() -> None:
            nonlocal sequence
            sequence += 1
            address = f"10.2.{index // 200}.{index % 200 + 1}:80"
            value = make_registration(
                target_id, f"service-{index % 20}", address, data_centre, sequence=sequence
            )

            def append() -> None:
                self.store.write(REGISTRATIONS_TOPIC, target_id, value)

            if region == self.regions[0]:
                append()
                return
            link = self.network.find_shared_link(region, self.regions[0])
            link.send(HEAD_BYTES + len(value), "append by targets", append)

        def repeat() -> None:
            write()
            self.scheduler.call_after(1.0, repeat)

        self.scheduler.call_after(self.random.random(), repeat)


def _make_runner(host: Host, incarnation: int) -> Callable[[Callable[[], None]], None]:
    return lambda action: host.run(incarnation, action)
