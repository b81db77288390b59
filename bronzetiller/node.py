"""Assemble the components of a node and run it."""

import time
from random import Random
from typing import Any

from circuits import BaseComponent, handler

from bronzetiller import __version__
from bronzetiller.budgets.credits import CreditPoster
from bronzetiller.budgets.grant_closer import GrantCloser
from bronzetiller.budgets.grants import GrantManager
from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.pauses import PauseGuard
from bronzetiller.budgets.reserves import RegionReserves
from bronzetiller.budgets.returns import Returns
from bronzetiller.budgets.shards import Shards
from bronzetiller.budgets.token_requester import TokenRequester
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.callers.api import ApiContext, make_application
from bronzetiller.callers.chat import ChatContext
from bronzetiller.callers.problems import make_rejection
from bronzetiller.callers.service_calls import ServiceCallContext
from bronzetiller.configuration.archive import Archive, decode_configuration, dump_configuration
from bronzetiller.configuration.events import record_decision, register_unread_items_gauge
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.streams import CONFIGURATION_STREAM
from bronzetiller.fleet.delegation import AppendDelegator
from bronzetiller.fleet.drain import Drain
from bronzetiller.fleet.entry_lookup import EntryLookupView, list_entry_addresses
from bronzetiller.fleet.incarnations import make_incarnation
from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.pacing import Pacer
from bronzetiller.fleet.peers import Peers
from bronzetiller.fleet.relay import LogRelay
from bronzetiller.fleet.snapshot_manager import SnapshotManager
from bronzetiller.fleet.vm_list import VmList, VmState
from bronzetiller.fleet.vm_list_relay import VmListRelay
from bronzetiller.logs import log_event
from bronzetiller.net.caller_limits import compute_idle_connections, make_caller_limits
from bronzetiller.net.dialer import Dialer
from bronzetiller.net.http_client import HttpClient
from bronzetiller.net.http_server import HttpLimits, HttpServer
from bronzetiller.net.loop import Loop, make_loop
from bronzetiller.reports.api import ReportContext, make_operator_handlers
from bronzetiller.reports.nodes import list_nodes
from bronzetiller.reports.report import Report, list_decisions, list_unread_items
from bronzetiller.requests.admission import Admission
from bronzetiller.requests.bill_replicator import BillReplicator
from bronzetiller.requests.billing import Biller
from bronzetiller.requests.claim_coordinator import ClaimCoordinator
from bronzetiller.requests.crash_monitor import CrashMonitor
from bronzetiller.requests.quarantine import Quarantine
from bronzetiller.requests.retries import RetryBudget
from bronzetiller.routing.dispatcher import Dispatcher
from bronzetiller.routing.load_poller import LoadPoller
from bronzetiller.routing.targets import TargetChooser
from bronzetiller.settings import Settings
from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import Entry, LogClient
from bronzetiller.storage.snapshots import Fold
from bronzetiller.wire.messages import AskTokens, Heartbeat

IDLE_MEMORY_MB = 72  # 57 to 66 measured with few requests
CREDIT_CHECK_SECONDS = 0.5
STOP_WITHOUT_LOG_SECONDS = 3.0
STOP_CHECK_SECONDS = 0.5


class _SignalHandler(BaseComponent):
    """Stop the node gracefully on SIGTERM and SIGINT."""

    channel = "signals"

    def __init__(self, node: "Node") -> None:
        super().__init__()
        self._node = node

    @handler("signal", channel="*")
    def _on_signal(self, number: int, stack: Any) -> None:
        self._node.stop()


class Node:
    """Hold the components of one node, which all run on the single thread of the event loop."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = make_incarnation(settings.node_id, time.time())
        self.loop: Loop = make_loop()
        scheduler = self.loop.scheduler
        dialer = Dialer(self.loop, channel="outgoing").register(self.loop.root)
        machine = settings.capacity
        self.caller_limits = make_caller_limits(machine, IDLE_MEMORY_MB, scheduler.now)
        idle_connections_max = compute_idle_connections(machine.descriptors)
        self.http = HttpClient(scheduler, dialer, idle_connections_max)
        self.log = LogClient(self.http, settings.platform.log)
        self.vm_list = VmList(scheduler, self.http, settings.platform.vm_list)
        self.configuration = Configuration(tuple(settings.configuration.schemas_understood))
        register_unread_items_gauge(self.configuration)
        self.configuration_follower = StreamFollower(scheduler, self.log, CONFIGURATION_STREAM)
        self.shards = Shards(
            scheduler,
            self.log,
            settings.budgets.shards,
            append_interval_seconds=settings.budgets.append_interval_seconds,
        )
        self.peers = Peers(scheduler, dialer, settings.node_id, settings.fleet_secret.encode())
        self.membership = Membership(
            scheduler,
            self.peers,
            self.vm_list,
            settings,
            self._make_heartbeat,
            [follower.stream for follower in self._list_followers()],
        )
        self.relay = LogRelay(
            scheduler, self.peers, self.membership, settings, self._make_heartbeat
        )
        self.archive = Archive()
        self.snapshots = SnapshotManager(
            scheduler, self.log, self.peers, self.membership, settings, self._make_heartbeat
        )
        self.vm_list_relay = VmListRelay(
            scheduler, self.peers, self.membership, self.vm_list, settings
        )
        self.credit_poster = CreditPoster(
            self.configuration, self.shards, lambda name: self.membership.rank(f"credit/{name}")
        )
        self.delegation = AppendDelegator(
            self.peers, self.membership, self.log, self._make_heartbeat, scheduler
        )
        self.pacer = Pacer(
            scheduler, self.vm_list, self.delegation, settings, self.delegation.choose_appender
        )
        self.holdings = Holdings()
        self.transfers = Transfers(self.incarnation)
        self.pause_guard = PauseGuard(scheduler, self.log, self.shards)
        self.returns = Returns(self.shards, self.holdings, self.pause_guard, self.incarnation)
        self.grant_manager = GrantManager(
            scheduler,
            self.shards,
            self.holdings,
            self.transfers,
            TokenRequester(self.peers, self.holdings, self.transfers, settings.node_id),
            self.returns,
            self.pause_guard,
            settings.budgets,
            self.incarnation,
            self.credit_poster.is_pending,
            self.peers.connected,
        )
        self.region_reserves = RegionReserves(
            scheduler,
            self.grant_manager,
            lambda: self.configuration.workspaces(),
            self.membership.rank_in_region,
        )
        self.grant_closer = GrantCloser(
            scheduler,
            self.shards,
            self.holdings,
            self.transfers,
            self.returns,
            self.peers,
            self.vm_list,
            self.membership,
            self.pause_guard,
            self.incarnation,
        )
        self.bill_replicator = BillReplicator(
            scheduler,
            self.shards,
            self.peers,
            self.vm_list,
            node_id=settings.node_id,
            data_centre=settings.data_centre,
            copies=settings.budgets.bill_copies,
            copies_least=settings.budgets.bill_copies_least,
            is_gone=self.membership.is_gone,
            is_reported=self.transfers.reported_holders.__contains__,
        )
        self.grant_closer.bill_replica_sources.append(self.bill_replicator.list_bills)
        self.biller = Biller(
            scheduler,
            self.shards,
            self.holdings,
            self.bill_replicator,
            settings.requests,
            self.incarnation,
        )
        self.claim_coordinator = ClaimCoordinator(
            scheduler, self.shards, settings.requests, self.incarnation, self.membership.is_gone
        )
        quarantine = Quarantine(settings.requests.quarantine_seconds)
        self.crash_monitor = CrashMonitor(
            scheduler, dialer, self.peers, quarantine, settings.node_id
        )
        self.retry_budget = RetryBudget(settings.requests.retry_share_max)
        self.drain = Drain(
            scheduler,
            announce=self.membership.announce,
            release=self.grant_manager.return_all,
            is_idle=self._is_idle,
            answer=lambda: self.server.answer_open_requests(),
            end=self.loop.root.stop,
        )
        self._random = Random()
        self.chooser = TargetChooser(
            self.vm_list,
            settings.region,
            settings.routing.link_seconds,
            list_planned_stops=lambda: self.configuration.planned_stops().values(),
        )
        self.load_poller = LoadPoller(
            scheduler,
            HttpClient(scheduler, dialer),  # reports name no request, unlike other responses
            self.chooser,
            settings.routing.load_interval_seconds,
            settings.routing.load_polls_per_second,
        )
        self.chooser.on_refusal = self.load_poller.poll
        self.dispatcher = Dispatcher(
            scheduler,
            self.chooser,
            settings.limits.requests_waiting_max,
            settings.limits.queue_seconds,
        )
        self._was_ready = False
        self._log_unreachable_since: float | None = None
        self.server = self._make_server()
        _SignalHandler(self).register(self.loop.root)

    def run(self) -> None:
        """Serve until a stop is requested and the last request is finished."""
        peer_port = self.peers.listen(
            self.loop, self.settings.listen.peers.ip, self.settings.listen.peers.port
        )
        self.configuration_follower.subscribe(self._apply_configuration_record)
        for follower in self._list_followers():
            self.relay.add(follower)
        self.snapshots.add(self.configuration_follower, [self._make_configuration_fold()])
        for shard in self.shards.all:
            self.snapshots.add(shard.follower, shard.make_folds())
            shard.writer.on_acknowledged = shard.follower.record_end_offset
            shard.writer.delegate = self.delegation.append
        self.delegation.start()
        self.pacer.start([shard.writer for shard in self.shards.all])
        self.membership.start()
        self.peers.on(AskTokens, self.grant_manager.handle_token_request)
        self.grant_manager.start()
        self.region_reserves.start()
        self.grant_closer.start()
        self.pause_guard.start()
        self.relay.start()
        self.vm_list.start()
        self.load_poller.start()
        self.vm_list_relay.start()
        self.snapshots.start()
        scheduler = self.loop.scheduler
        scheduler.call_every(CREDIT_CHECK_SECONDS, self._post_credits)
        scheduler.call_every(STOP_CHECK_SECONDS, self._stop_if_requested)
        callers = f"{self.settings.listen.callers.ip}:{self.server.port}"
        peers = f"{self.settings.listen.peers.ip}:{peer_port}"
        print(f"ready kind=node id={self.settings.node_id} callers={callers} peers={peers}")
        log_event("started", incarnation=self.incarnation, callers=callers, peers=peers)
        self.loop.root.run()

    @property
    def stopping(self) -> bool:
        """Return whether the node is stopping."""
        return self.drain.stopping

    def stop(self, cause: str = "signal") -> None:
        """Finish the open requests, then end the process."""
        if not self.stopping:
            self.bill_replicator.stop()
        leave_seconds = self.settings.limits.entry_seconds + self.settings.fleet.silence_seconds
        self.drain.begin(
            cause,
            leave_seconds=leave_seconds,
            stop_seconds_max=self.settings.limits.request_seconds_max,
        )

    def is_ready(self) -> bool:
        """Return whether the node has read every stream to its end since it started."""
        if not self._was_ready:
            self._was_ready = all(follower.complete for follower in self._list_followers())
        return self._was_ready

    def _list_followers(self) -> list[StreamFollower]:
        return [self.configuration_follower, *(shard.follower for shard in self.shards.all)]

    def _is_idle(self) -> bool:
        if self.open_requests or self.server.open_exchanges or self.claim_coordinator.open_claims:
            return False
        if not self.bill_replicator.is_idle or not self.biller.is_durable:
            return False
        backlog = sum(shard.writer.backlog for shard in self.shards.all)
        return backlog == 0 or self._is_log_unreachable()

    def _stop_if_requested(self) -> None:
        own_vm = self.vm_list.vms.get(self.settings.node_id)
        if own_vm is not None and own_vm.state is VmState.LEAVING:
            self.stop("vm_list")
        elif self.settings.node_id in self._list_stopped_vm_ids():
            self.stop("planned_stop")

    def _list_stopped_vm_ids(self) -> set[str]:
        """Return the ids of the VMs whose planned stop time has passed."""
        stops = self.configuration.planned_stops().values()
        return {stop.vm_id for stop in stops if stop.stop_at <= time.time()}

    def _is_log_unreachable(self) -> bool:
        """Return whether the log has been unreachable for too long to delay a stop further."""
        now = self.loop.scheduler.now()
        if all(shard.writer.reachable for shard in self.shards.all):
            self._log_unreachable_since = None
        elif self._log_unreachable_since is None:
            self._log_unreachable_since = now
        return (
            self._log_unreachable_since is not None
            and now >= self._log_unreachable_since + STOP_WITHOUT_LOG_SECONDS
        )

    @property
    def open_requests(self) -> int:
        """Return the number of unfinished requests, including those of disconnected callers."""
        return self.chat.open_requests + self.calls.open_requests

    def _make_server(self) -> HttpServer:
        admission = Admission(self.shards, self.biller, self.crash_monitor)
        self.chat = ChatContext(
            http=self.http,
            grant_manager=self.grant_manager,
            holdings=self.holdings,
            biller=self.biller,
            chooser=self.chooser,
            dispatcher=self.dispatcher,
            first_byte_seconds=self.settings.routing.first_byte_seconds,
            admission=admission,
            crash_monitor=self.crash_monitor,
            retries=self.retry_budget,
            response_quota=self.caller_limits.response_quota,
        )
        self.calls = ServiceCallContext(
            scheduler=self.loop.scheduler,
            http=self.http,
            shards=self.shards,
            grant_manager=self.grant_manager,
            holdings=self.holdings,
            biller=self.biller,
            chooser=self.chooser,
            claim_coordinator=self.claim_coordinator,
            admission=admission,
            crash_monitor=self.crash_monitor,
            retries=self.retry_budget,
            response_quota=self.caller_limits.response_quota,
        )
        context = ApiContext(
            configuration=self.configuration,
            chat=self.chat,
            calls=self.calls,
            is_ready=self.is_ready,
            is_stopping=lambda: self.stopping,
            is_refusing=lambda: self.drain.refusing,
            list_entry_addresses=self._list_entry_addresses,
            operator_handlers=make_operator_handlers(self._make_report_context()),
            entry_seconds=self.settings.limits.entry_seconds,
        )
        server = HttpServer(
            self.loop,
            self.settings.listen.callers.ip,
            self.settings.listen.callers.port,
            make_application(context),
            make_rejection,
            limits=self._make_http_limits(),
            channel="callers",
            caller_limits=self.caller_limits,
        )
        return server.register(self.loop.root)

    def _make_http_limits(self) -> HttpLimits:
        limits = self.settings.limits
        return HttpLimits(
            body_bytes_max=limits.body_bytes_max,
            head_bytes_max=limits.head_bytes_max,
            request_seconds=limits.receive_seconds,
            idle_seconds=limits.idle_seconds,
            stall_seconds=limits.stall_seconds,
            exchange_seconds=limits.request_seconds_max,
            unsent_bytes_max=limits.unsent_bytes_max,
            connections_max=limits.connections_max,
        )

    def _list_entry_addresses(self) -> list[str]:
        view = EntryLookupView(
            own=self._make_heartbeat(),
            routers=self.vm_list.find_routers(),
            live=self.membership.live(),
            silent=self.membership.silent(),
            stops=self._list_stopped_vm_ids(),
        )
        return list_entry_addresses(view, self._random)

    def _make_configuration_fold(self) -> Fold:
        return Fold(
            "configuration",
            lambda: dump_configuration(self.configuration, self.archive),
            lambda value: decode_configuration(value, self.configuration, self.archive),
        )

    def _apply_configuration_record(self, entry: Entry) -> None:
        decision = self.configuration.apply(entry.offset, entry.record)
        self.archive.add_record(decision, entry.record)
        record_decision(decision)

    def _post_credits(self) -> None:
        if all(shard.follower.caught_up for shard in self.shards.all):
            self.credit_poster.post(self.loop.scheduler.now())

    def _make_heartbeat(self) -> Heartbeat:
        settings = self.settings
        read_at = self.vm_list.read_at
        followers = self._list_followers()
        return Heartbeat(
            node_id=settings.node_id,
            incarnation=self.incarnation,
            region=settings.region,
            data_centre=settings.data_centre,
            address=f"{settings.listen.callers.ip}:{self.server.port}",
            stopping=self.stopping,
            next_offsets={item.stream: item.next_offset for item in followers},
            ready=self.is_ready(),
            log_reachable=all(item.log_readable for item in followers),
            vm_list_age_seconds=None if read_at is None else self.peers.now() - read_at,
            schemas_understood=settings.configuration.schemas_understood,
            snapshots=self.snapshots.marks(),
        )

    def _make_report_context(self) -> ReportContext:
        return ReportContext(
            configuration=self.configuration,
            shards=self.shards,
            token_digests=self.settings.operators.token_digests,
            is_ready=self.is_ready,
            make_report=self._make_report,
        )

    def _make_report(self, from_offset: int) -> Report:
        return Report(
            node_id=self.settings.node_id,
            version=__version__,
            at=time.time(),
            next_offset=self.configuration_follower.next_offset,
            log_reachable=self.configuration_follower.reachable,
            vm_list_reachable=self.vm_list.reachable,
            nodes=list_nodes(
                self._make_heartbeat(),
                self.membership.live().values(),
                self.vm_list.find_routers(),
            ),
            decisions=list_decisions(self.configuration, from_offset),
            unread=list_unread_items(self.configuration),
        )
