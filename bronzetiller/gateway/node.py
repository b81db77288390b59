"""Assemble a gateway node and run it."""

import math
import signal
import time
from pathlib import Path
from random import Random
from typing import Any

from circuits import BaseComponent, handler
from result import Err

from bronzetiller.callers.problems import make_rejection
from bronzetiller.documents import Problem
from bronzetiller.fleet.drain import Drain
from bronzetiller.fleet.incarnations import make_incarnation
from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.fleet.peers import Peers
from bronzetiller.gateway.allocation_manager import AllocationManager
from bronzetiller.gateway.allowed_regions import choose_host_regions, select_members
from bronzetiller.gateway.application import Application
from bronzetiller.gateway.brittle_targets import BrittleNode, BrittleTargets
from bronzetiller.gateway.budget_refusals import refuse_uncovered
from bronzetiller.gateway.budgets import Budgets
from bronzetiller.gateway.capacity import estimate_capacity
from bronzetiller.gateway.cold_shares import Contact
from bronzetiller.gateway.cold_targets import ColdTargets
from bronzetiller.gateway.configuration import GatewayConfiguration
from bronzetiller.gateway.crash_reports import CrashReports
from bronzetiller.gateway.crashes import CrashTracker
from bronzetiller.gateway.departures import DepartureNode, Departures
from bronzetiller.gateway.entries import Choice, Demand, EntryChoices
from bronzetiller.gateway.evacuations import Evacuations
from bronzetiller.gateway.followers import (
    CONFIGURATION_PEER_WAIT_SECONDS,
    ConfigurationFollower,
    TargetsFollower,
)
from bronzetiller.gateway.forwarding import PeerForwarder
from bronzetiller.gateway.holder_map import HolderMap
from bronzetiller.gateway.members import HEARTBEAT_SECONDS, Member, Members
from bronzetiller.gateway.own_load import SAMPLE_SECONDS, OwnLoad
from bronzetiller.gateway.peer_links import PeerLinks
from bronzetiller.gateway.peer_reader import PeerReader
from bronzetiller.gateway.permitted_targets import PermittedTargets
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.reachability import Reachability
from bronzetiller.gateway.readers import SourceMap
from bronzetiller.gateway.registered_starts import RegisteredStarts
from bronzetiller.gateway.relay import RelayedPartition, register_fetch_handler
from bronzetiller.gateway.request_context import RequestContext
from bronzetiller.gateway.reservation_client import ReservationClient
from bronzetiller.gateway.reservation_server import ReservationServer
from bronzetiller.gateway.retry_window import RetryWindow
from bronzetiller.gateway.settings import GatewaySettings, load_gateway_settings
from bronzetiller.gateway.start_queue import StartQueue
from bronzetiller.gateway.stream_records import StreamRecords
from bronzetiller.gateway.target_admission import TargetAdmission
from bronzetiller.gateway.target_limits import LimitedNode, TargetLimits
from bronzetiller.gateway.targets import Target, TargetPool
from bronzetiller.logs import configure_bounded_logging, log_event
from bronzetiller.metrics import (
    CONFIGURATION_CONFIRMATION_AGE,
    ENTRY_CHANGES,
    LINK_SHARE,
    LOOP_DELAY,
    NODE_FULL,
    render_metrics,
)
from bronzetiller.net.address import Address
from bronzetiller.net.caller_limits import (
    CallerLimits,
    MachineLimits,
    compute_idle_connections,
    make_caller_limits,
)
from bronzetiller.net.dialer import Dialer
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import HttpClient, ResponseHead
from bronzetiller.net.http_server import Application as HttpApplication
from bronzetiller.net.http_server import HttpLimits, HttpServer
from bronzetiller.net.loop import make_loop
from bronzetiller.net.traffic import TRAFFIC
from bronzetiller.platform.headers import decode_warm_up, is_from_target
from bronzetiller.platform.lookup import make_lookup_application, make_readiness_application
from bronzetiller.platform.store import PlatformStore
from bronzetiller.platform.topics import (
    CRASHES_TOPIC,
    NODES_TOPIC,
    OPERATOR_TOPIC,
    REGISTRATIONS_TOPIC,
)
from bronzetiller.process_start import compute_start_time
from bronzetiller.storage.keyed import KeyedStore
from bronzetiller.sync.confirmation import may_send, may_serve
from bronzetiller.sync.start import start_in_order

CONFIRMATION_CHECK_SECONDS = 0.5
COLD_REFRESH_SECONDS = 0.5  # adds to the age of the view of the fleet
PREALLOCATION_DELAY_SECONDS = 0.6  # until nodes that start together have discovered each other
STOP_MARGIN_SECONDS = 0.7  # of the grace period, for the process to exit
STOP_MARGIN_PORTION_MAX = 0.25
TARGETS_AGE_SECONDS_MAX = 1.5  # of a read that shows which versions are in service now
VERSION_PROPOSERS = 3  # so that some of them reach the store
RELAYED_TOPICS = (OPERATOR_TOPIC, REGISTRATIONS_TOPIC, NODES_TOPIC, CRASHES_TOPIC)
LEAVE_SECONDS = 3.0  # after a stop begins, new requests are still served: 1.5 lookup lifetimes
IDLE_MEMORY_MB = 56  # 42 measured without requests, and records of a large fleet
BODY_SECONDS_MAX = 10.0  # for 4 MB over a slow link; the operator's limits cover heads only


class _Signals(BaseComponent):
    """Turn SIGTERM and SIGINT into a graceful stop."""

    channel = "signals"

    def __init__(self, node: "GatewayNode") -> None:
        super().__init__()
        self._node = node

    @handler("signal", channel="*")
    def _on_signal(self, number: int, stack: Any) -> None:
        self._node.stop(signal.Signals(number).name)


class GatewayNode:
    """Hold the components of one node; all run on the single thread of the loop."""

    def __init__(self, settings: GatewaySettings, settings_path: Path) -> None:
        self.settings = settings
        self._settings_path = settings_path
        self._peer_ips: set[str] = set()
        self.incarnation = make_incarnation(settings.node_id, time.time())
        self.loop = make_loop()
        self._scheduler = scheduler = self.loop.scheduler
        dialer = Dialer(self.loop, channel="outgoing").register(self.loop.root)
        self.distances = Distances(
            settings.data_centre, settings.region, dict(settings.data_centres)
        )
        self.peers = Peers(scheduler, dialer, settings.node_id, settings.fleet_secret.encode())
        store = PlatformStore(HttpClient(scheduler, dialer), settings.store.address)
        machine = MachineLimits(settings.capacity.memory_mb, settings.capacity.descriptors)
        self._caller_limits = make_caller_limits(
            machine, IDLE_MEMORY_MB, scheduler.now, self._is_peer
        )
        idle_connections_max = compute_idle_connections(machine.descriptors)
        http = HttpClient(scheduler, dialer, idle_connections_max)
        self.own_load = OwnLoad(settings.capacity)
        self.entry_choices = EntryChoices(self.distances.regions, _log_entries)
        self._draw_uniform = Random().random
        self._set_up_followers(store, http)
        self._set_up_budgets(store)
        self._retry_windows: dict[str, RetryWindow] = {}
        regions = self.distances.regions
        starts = RegisteredStarts(lambda: self.targets_follower.follower.confirmed_at)
        self.admission = TargetAdmission(
            TargetLimits(settings.node_id, regions),
            BrittleTargets(scheduler, settings.node_id, regions),
            Departures(settings.node_id, regions, self.pool),
            cold=ColdTargets(
                settings.node_id,
                regions,
                settings.cold_targets.overage,
                settings.cold_targets.slack,
                starts,
            ),
        )
        http.idle.on_early_close = self._on_early_close
        self.reachability.on_response = self._on_probe_response
        self.request_context = RequestContext(
            scheduler=scheduler,
            http=http,
            pool=self.pool,
            budgets=self.budgets,
            distances=self.distances,
            find_retry_window=self._find_retry_window,
            count_nodes=self.members.count_nodes,
            draw_uniform=self._draw_uniform,
            crash_tracker=self.crash_tracker,
            admission=self.admission,
            streams=self.streams,
            reachability=self.reachability,
            forwarder=PeerForwarder(
                settings.node_id,
                self.distances,
                self.members.list_serving,
                self._draw_uniform,
                self.permitted.list_regions,
                self.reachability.list_unreached_data_centres,
                lambda: self.own_load.is_congested,
            ),
            permitted=self.permitted,
            starts=starts,
            charge_undelivered=settings.budgets.charge_undelivered,
            response_quota=self._caller_limits.response_quota,
        )
        application = Application(
            self.request_context,
            lambda: self.configuration_follower.configuration,
            lambda: self.drain,
            self.configuration_follower.compute_confirmation_age,
            lambda: self.configuration_follower.follower.confirmed_by,
            lambda: self._may_serve(store),
            StartQueue(scheduler, self._is_loaded, lambda: store.answered_at),
            self.own_load,
        )
        self.drain = Drain(
            scheduler,
            announce=self.members.publish,
            release=self.allocation_manager.return_all,
            is_idle=self._is_idle,
            answer=lambda: self.server.answer_open_requests(),
            end=self.loop.root.stop,
        )
        self._preallocation_scheduled = False
        listen = settings.listen
        self._addresses: dict[str, str] = {}
        caller_limits = self._caller_limits
        self.server = self._start_server(
            listen.callers, application.serve, "callers", caller_limits
        )
        operator_limits = caller_limits.make_for_operators()
        readiness = make_readiness_application(self.is_ready)
        self._start_server(listen.readiness, readiness, "readiness", operator_limits)
        entry_seconds = settings.stop.entry_seconds
        lookup = make_lookup_application(self._list_entry_addresses, entry_seconds)
        self._start_server(listen.lookup, lookup, "lookup", caller_limits.make_for_lookups())
        self._start_server(listen.metrics, _respond_with_metrics, "metrics", operator_limits)
        peers_port = self.peers.listen(self.loop, listen.peers.ip, listen.peers.port)
        self._addresses["peers"] = f"{listen.peers.ip}:{peers_port}"
        _Signals(self).register(self.loop.root)

    def _set_up_followers(self, store: PlatformStore, http: HttpClient) -> None:
        """Set up the followers of the store, which read it directly or through a peer."""
        scheduler = self._scheduler
        self.pool = TargetPool()
        self.evacuations = Evacuations()
        self.permitted = PermittedTargets(
            self.pool,
            self.distances.regions,
            self.evacuations,
            lambda: may_send(*self._measure_contact(store), self.settings.configuration),
        )
        self.reachability = Reachability(scheduler, http, self.pool, self.permitted)
        configuration_reader = self._make_reader(store, OPERATOR_TOPIC)
        configuration_reader.peer_wait_seconds = CONFIGURATION_PEER_WAIT_SECONDS
        self.configuration_follower = ConfigurationFollower(
            scheduler, configuration_reader, self._on_configuration, self.evacuations
        )
        CONFIGURATION_CONFIRMATION_AGE.set_function(
            self.configuration_follower.compute_confirmation_age
        )
        registration_reader = self._make_reader(store, REGISTRATIONS_TOPIC)
        self.targets_follower = TargetsFollower(scheduler, registration_reader, self.pool)
        member_reader = self._make_reader(store, NODES_TOPIC)
        self.members = Members(scheduler, store, member_reader, self._make_member)
        crashes_reader = self._make_reader(store, CRASHES_TOPIC)
        self.crash_tracker = CrashTracker(
            scheduler,
            http,
            self.members.count_nodes,
            self._draw_uniform,
            rank_node=self._rank_node,
        )
        self.crash_reports = CrashReports(
            scheduler, store, crashes_reader, self.settings.node_id, self.crash_tracker
        )
        self.streams = StreamRecords(
            scheduler,
            store,
            self.incarnation,
            self.pool,
            self.members.count_nodes,
            self._is_proposer,
            lambda: self.targets_follower.follower.is_current(TARGETS_AGE_SECONDS_MAX),
        )
        self.holders = HolderMap(self.settings.node_id, self.distances, self.members.list_serving)
        self.sources = SourceMap(
            self.settings.node_id, self.settings.data_centre, self.distances.regions
        )
        followed_readers = (
            (self.configuration_follower.follower, configuration_reader),
            (self.targets_follower.follower, registration_reader),
            (self.members.follower, member_reader),
            (self.crash_reports.follower, crashes_reader),
        )
        register_fetch_handler(
            self.peers,
            {
                follower.partition.topic: RelayedPartition(scheduler, follower, reader, self.peers)
                for follower, reader in followed_readers
            },
        )
        self.links = PeerLinks(
            scheduler,
            self.peers,
            self.distances,
            self.settings.seeds,
            self.members.list_others_alive,
            self._list_wanted_peers,
            lambda: all(follower.complete for follower, _ in followed_readers),
        )

    def _set_up_budgets(self, store: KeyedStore) -> None:
        """Set up token allocations, and reservations on this node and its peers."""
        scheduler, node_id = self._scheduler, self.settings.node_id
        self.allocation_manager = AllocationManager(
            scheduler,
            store,
            node_id,
            self.incarnation,
            self.holders.estimate_share,
            self.holders.is_witness,
            lambda: refuse_uncovered(
                self.configuration_follower.compute_confirmation_age(), self._draw_uniform()
            ),
            use_slack_held_share=self.settings.budgets.use_slack_held_share,
            started_at=compute_start_time(),
        )
        ReservationServer(scheduler, self.allocation_manager).register_handlers(self.peers)
        self.reservation_client = ReservationClient(scheduler, self.peers)
        self.budgets = Budgets(
            scheduler,
            self.allocation_manager,
            self.reservation_client,
            self.holders,
            node_id,
            self.incarnation,
        )

    def _make_reader(self, store: PlatformStore, topic: str) -> PeerReader:
        return PeerReader(
            self._scheduler,
            self.peers,
            store,
            self.settings.node_id,
            lambda: self.sources.find(topic),
            self._list_seeds,
            self._draw_uniform,
        )

    def _is_proposer(self) -> bool:
        """Return whether this node keeps the base versions of the services up to date."""
        node_ids = {item.node_id for item in self.members.list_serving()} | {self.settings.node_id}
        return self.settings.node_id in rank_nodes("versions", node_ids)[:VERSION_PROPOSERS]

    def _rank_node(self, fingerprint: str) -> int:
        """Return the rank of this node among those that try a suspected request."""
        node_ids = {item.node_id for item in self.members.list_serving()} | {self.settings.node_id}
        return rank_nodes(fingerprint, node_ids).index(self.settings.node_id)

    def _list_seeds(self) -> list[str]:
        return self.links.list_seeds()

    def _list_wanted_peers(self) -> set[str]:
        self.holders.refresh()
        self.sources.refresh([*self.members.list_others_alive(), self._make_member()])
        readers = {peer for topic in RELAYED_TOPICS for peer in self.sources.find(topic).peers}
        return readers | self.holders.list_holders(self.allocation_manager.allocations)

    def _find_sources(self) -> bool:
        """Update the sources and the links to them; return whether other nodes are known."""
        if not self.members.members:
            return False
        self.links.refresh()
        return bool(self.members.list_others_alive())

    def run(self) -> None:
        """Serve until a stop is requested and all open requests are finished."""
        signal.signal(signal.SIGHUP, lambda number, frame: self._reload())
        self.members.start()
        start_in_order(
            self._scheduler,
            lambda: self.members.follower.complete,
            self._find_sources,
            self._draw_uniform,
            (
                self.configuration_follower.follower.start,
                self.targets_follower.follower.start,
                self.crash_reports.start,
                self.streams.start,
            ),
        )
        self.reachability.on_change = self.members.publish
        self.reachability.is_congested = lambda: self.own_load.is_congested
        self.reachability.start()
        self._scheduler.call_every(SAMPLE_SECONDS, self._record_own_load)
        self._scheduler.call_every(HEARTBEAT_SECONDS, self._refresh_admission)
        self._scheduler.call_every(COLD_REFRESH_SECONDS, self._refresh_cold)
        self._scheduler.call_every(
            CONFIRMATION_CHECK_SECONDS, self.configuration_follower.log_confirmation
        )
        self.links.start()
        names = " ".join(f"{name}={address}" for name, address in self._addresses.items())
        print(f"ready kind=gateway id={self.settings.node_id} {names}", flush=True)
        log_event("started", incarnation=self.incarnation, addresses=names)
        self.loop.root.run()

    def _refresh_admission(self) -> None:
        members, now = self.members.list_serving(), self._scheduler.now()
        self.entry_choices.refresh(members, now)
        targets = list(self.pool.targets.values())
        limited = [LimitedNode(item.node_id, item.data_centre, item.limits) for item in members]
        self.admission.limits.refresh(limited, targets, now)
        brittle = [BrittleNode(item.node_id, item.data_centre, item.brittle) for item in members]
        self.admission.brittle.refresh(brittle, targets, now)
        leaving = [DepartureNode(item.node_id, item.data_centre, item.leaving) for item in members]
        self.admission.departures.refresh(leaving, targets, now)
        self._peer_ips = {item.address.rpartition(":")[0] for item in members}

    def _is_peer(self, ip: str) -> bool:
        return ip in self._peer_ips

    def _record_own_load(self) -> None:
        """Measure this node's link and processor; publish when they become full or have room."""
        load = self.own_load
        has_changed = load.record(TRAFFIC.sent, TRAFFIC.received, self._scheduler.now())
        LINK_SHARE.set(load.link_share)
        LOOP_DELAY.set(load.delay_seconds)
        if not has_changed:
            return
        NODE_FULL.set(load.is_full)
        if load.is_full:
            self.reachability.discard_timeouts()
        log_event(
            "node_full" if load.is_full else "node_has_room",
            level=30,
            cause=load.cause,
            link_share=round(load.link_share, 2),
            loop_delay=round(load.delay_seconds, 3),
        )
        self.members.publish()

    def _refresh_cold(self) -> None:
        cold, members, now = self.admission.cold, self.members, self._scheduler.now()
        serving = members.list_serving() if cold.is_used else []
        nodes = [(item.node_id, item.data_centre) for item in serving]
        follower = members.follower
        restored_at = -math.inf if follower.restored_at is None else follower.restored_at
        contact = Contact(members.acknowledged_at, follower.confirmed_at, restored_at)
        cold.refresh(nodes, self.pool.targets.values(), contact, now)

    def _on_early_close(self, address: Address) -> None:
        """Find out whether the targets at an address, which closed an idle connection, are lost."""
        at_address = self.pool.list_at(address)
        for target in self.admission.cold.mark_lost(at_address, self._scheduler.now()):
            self.reachability.suspect(target)

    def _on_probe_response(self, target: Target, head: ResponseHead, sent_at: float) -> None:
        if is_from_target(head, target.target_id):
            warm_up, now = decode_warm_up(head), self._scheduler.now()
            self.admission.cold.record_response(target, warm_up, sent_at, now)

    def is_ready(self) -> bool:
        """Return whether the node has its configuration and targets and is not stopping."""
        return self._is_loaded() and not self.drain.stopping

    def _is_loaded(self) -> bool:
        """Return whether the node has read a configuration and the targets."""
        return (
            self.configuration_follower.configuration is not None
            and self.targets_follower.follower.complete
        )

    def _may_serve(self, store: PlatformStore) -> bool:
        """Return whether the node may serve by the configuration that it has."""
        return may_serve(*self._measure_contact(store), self.settings.configuration)

    def _measure_contact(self, store: PlatformStore) -> tuple[float, float]:
        """Return the age of the configuration's confirmation and of the contact to the store."""
        age = self.configuration_follower.compute_confirmation_age()
        return age, store.contact.measure(self._scheduler.now())

    def stop(self, cause: str) -> None:
        """Finish the open requests, then end the process."""
        stop = self.settings.stop
        margin = min(STOP_MARGIN_SECONDS, STOP_MARGIN_PORTION_MAX * stop.grace_seconds)
        seconds = stop.grace_seconds - margin
        leave_seconds = min(seconds, LEAVE_SECONDS)
        self.drain.begin(cause, leave_seconds=leave_seconds, stop_seconds_max=seconds)

    def _reload(self) -> None:
        """Validate the settings file again and log whether it changed; changes need a restart."""
        result = load_gateway_settings(self._settings_path)
        if result.is_err():
            problems = "; ".join(map(str, result.unwrap_err()))
            log_event("reload_failed", level=40, problems=problems)
            return
        log_event("reloaded", changed=result.unwrap() != self.settings)

    def _is_idle(self) -> bool:
        if self.request_context.open_requests or self.server.open_exchanges:
            return False
        settled = self.allocation_manager.is_settled and self.reservation_client.is_settled
        return not self.drain.stopping or settled

    def _list_entry_addresses(self, data_centre: str, region: str, host: str) -> list[str]:
        configuration, regions = self.configuration_follower.configuration, self.distances.regions
        allowed = choose_host_regions(configuration, host)
        caller_region = regions.get(data_centre, region or None)
        members = self.members.list_serving()
        permitted = select_members(members, allowed, caller_region, regions)
        now = self._scheduler.now()
        entries = self.entry_choices.choose_permitted(members, permitted, data_centre, now)
        return [item.address for item in entries]

    def _make_member(self) -> Member:
        now = self._scheduler.now()
        return Member(
            self.settings.node_id,
            self._addresses["callers"],
            self.settings.data_centre,
            self.incarnation,
            self.is_ready(),
            self._addresses["peers"],
            load=self.request_context.arrival_rate.estimate(now) or 0.0,
            capacity=estimate_capacity(self.settings.capacity),
            limits=self.admission.limits.list_stated(),
            brittle=self.admission.brittle.list_stated(),
            cut_off=tuple(self.reachability.list_cut_off()),
            forwarded_load=self.request_context.forwarded_rate.estimate(now) or 0.0,
            leaving=self.admission.departures.list_stated(now),
            cut_off_regions=self.reachability.list_cut_off_regions(),
            full=self.own_load.is_full,
        )

    def _on_configuration(self, configuration: GatewayConfiguration) -> None:
        limits = configuration.limits
        self.server.set_limits(
            HttpLimits(
                body_bytes_max=limits.body_bytes_max,
                head_bytes_max=limits.head_bytes_max,
                request_seconds=limits.head_seconds,
                idle_seconds=limits.idle_seconds,
                connections_max=self.settings.connections_max,
                half_close_ends=True,
                body_seconds=BODY_SECONDS_MAX,
            )
        )
        self.allocation_manager.set_workspaces(configuration.workspaces)
        self.reachability.states_regions = configuration.has_allowed_regions
        self.admission.cold.set_services(configuration.services)
        if not self._preallocation_scheduled:
            self._preallocation_scheduled = True
            self._scheduler.call_after(PREALLOCATION_DELAY_SECONDS, self.allocation_manager.start)

    def _find_retry_window(self, service: str) -> RetryWindow:
        limits = self.settings.retries
        window = self._retry_windows.get(service)
        if window is None:
            window = RetryWindow(limits.ratio, limits.allowance, limits.window_seconds)
            self._retry_windows[service] = window
        return window

    def _start_server(
        self,
        address: Address,
        application: HttpApplication,
        channel: str,
        caller_limits: CallerLimits,
    ) -> HttpServer:
        limits = HttpLimits(
            body_bytes_max=4 * 1024 * 1024,
            connections_max=self.settings.connections_max,
            half_close_ends=True,
        )
        server = HttpServer(
            self.loop,
            address.ip,
            address.port,
            application,
            make_rejection,
            limits=limits,
            channel=channel,
            caller_limits=caller_limits,
        )
        server.register(self.loop.root)
        self._addresses[channel] = f"{address.ip}:{server.port}"
        return server


def run_gateway(settings_path: Path) -> list[Problem]:
    """Run a node until it stops; return the problems of its settings, if any."""
    result = load_gateway_settings(settings_path)
    if isinstance(result, Err):
        return result.err_value
    settings = result.ok_value
    configure_bounded_logging(settings.node_id, settings.log_level, settings.log_lines_per_second)
    GatewayNode(settings, settings_path).run()
    return []


def _log_entries(data_centre: str, choice: Choice, demand: Demand) -> None:
    """Log which nodes are named to the callers of a data centre, and why."""
    log_event(
        "entries_changed",
        data_centre=data_centre,
        stage=choice.stage.name.lower(),
        nodes=len(choice.node_ids),
        demand=round(demand.rate, 1),
        region_demand=round(demand.region_rate, 1),
    )
    ENTRY_CHANGES.labels(choice.stage.name.lower()).inc()


def _respond_with_metrics(exchange: Exchange) -> None:
    exchange.respond(200, {"Content-Type": "text/plain; version=0.0.4"}, render_metrics())
