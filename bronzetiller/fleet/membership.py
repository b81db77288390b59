"""Track which nodes are alive, from heartbeats and the platform's VM list."""

from collections.abc import Callable

from attrs import define, evolve, field
from result import Ok, Result

from bronzetiller.fleet.incarnations import FleetView, is_gone, read_node_id
from bronzetiller.fleet.neighbours import (
    HEARTBEAT_BYTES,
    PING_BYTES,
    choose_interval_seconds,
    choose_neighbours,
    rank_nodes,
)
from bronzetiller.fleet.peers import Peers, PeerVm, Reply
from bronzetiller.fleet.vm_list import Vm, VmList, VmRole, VmState
from bronzetiller.logs import log_event
from bronzetiller.metrics import LIVE_PEERS, TIMED_OUT_LINKS
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.wire.messages import Heartbeat, Message, Ping, Pong

Listener = Callable[[], None]


@define
class PeerState:
    """Hold a peer's newest heartbeat and when it was last received from (seconds, monotonic)."""

    heartbeat: Heartbeat
    last_seen_at: float


@define(eq=False)
class Membership:
    """Ping the neighbours, send them this node's state and close unresponsive connections.

    Heartbeats carry the state. They are sent less often than pings, but at once on a new connection
    and whenever anything other than the offsets or the age of the VM list has changed.
    """

    _scheduler: Scheduler
    _peers: Peers
    _vm_list: VmList
    _settings: Settings
    _make_heartbeat: Callable[[], Heartbeat]
    _streams: list[str]
    states: dict[str, PeerState] = field(factory=dict)
    _last_response_at: dict[str, float] = field(factory=dict)
    _missing_since: dict[str, float] = field(factory=dict)
    _first_read_at: float | None = None
    _last_read_at: float | None = None
    _listed: frozenset[str] = frozenset()
    _neighbours: set[str] = field(factory=set)
    _ticked_at: float = 0.0
    _announced_heartbeat: Heartbeat | None = None
    _next_announce_at: float = 0.0
    _listeners: list[Listener] = field(factory=list)

    def start(self) -> None:
        """Send heartbeats until the process exits."""
        self._peers.on(Heartbeat, self._on_heartbeat)
        self._peers.on(Ping, self._on_ping)
        self._vm_list.subscribe(self._on_vms)
        self._ticked_at = self._scheduler.now()
        self._tick()

    def subscribe(self, listener: Listener) -> None:
        """Call the listener after each received heartbeat."""
        self._listeners.append(listener)

    def announce(self) -> None:
        """Send a heartbeat to every connected peer immediately."""
        for node_id in self._peers.connected():
            self._send_heartbeat(node_id)

    def exchange_heartbeats(self, node_ids: list[str]) -> None:
        """Send a heartbeat to these connected peers, which respond with theirs."""
        connected = set(self._peers.connected())
        for node_id in node_ids:
            if node_id in connected:
                self._send_heartbeat(node_id)

    def live(self) -> dict[str, Heartbeat]:
        """Return the newest heartbeat of each peer received from within the silence timeout."""
        return {
            node_id: state.heartbeat
            for node_id, state in self.states.items()
            if self._is_live(state)
        }

    def silent(self) -> set[str]:
        """Return the ids of known peers and neighbours that are not live."""
        return (set(self.states) | self._neighbours) - set(self.live())

    def rank(self, subject: str) -> int:
        """Return this node's rank, from 0, among the live nodes able to append for a subject."""
        peers = self.live().items()
        able = [
            peer_id
            for peer_id, peer in peers
            if peer.ready and peer.log_reachable and not peer.stopping
        ]
        own = self._settings.node_id
        return rank_nodes(subject, [*able, own]).index(own)

    def rank_in_region(self, subject: str) -> int:
        """Return this node's rank, from 0, among the live, non-stopping nodes of its region."""
        region = self._settings.region
        peers = self.live().items()
        near = [peer_id for peer_id, peer in peers if peer.region == region and not peer.stopping]
        own = self._settings.node_id
        return rank_nodes(subject, [*near, own]).index(own)

    def is_gone(self, incarnation: str) -> bool:
        """Return whether, as far as this node knows, an incarnation will never act again."""
        return bool(self.find_gone({incarnation}))

    def find_gone(self, incarnations: set[str]) -> set[str]:
        """Return the subset of the incarnations that are gone."""
        self._record_unlisted(incarnations)
        view = self.view()
        grace_seconds = self._settings.fleet.gone_grace_seconds
        return {item for item in incarnations if is_gone(item, view, grace_seconds=grace_seconds)}

    def _record_unlisted(self, incarnations: set[str]) -> None:
        """Count ids that were never listed as missing from the read before they are first seen."""
        if self._last_read_at is None:
            return
        for node_id in map(read_node_id, incarnations):
            if node_id not in self._listed:
                self._missing_since.setdefault(node_id, self._last_read_at)

    def view(self) -> FleetView:
        """Return this node's view of the fleet."""
        own = self._make_heartbeat()
        alive = [item.incarnation for item in self.live().values()]
        newest = {node_id: item.heartbeat.incarnation for node_id, item in self.states.items()}
        return FleetView(
            listed=self._listed,
            first_read_at=self._first_read_at,
            read_at=self._last_read_at,
            missing_since=self._missing_since,
            newest=newest | {own.node_id: own.incarnation},
            alive=frozenset([*alive, own.incarnation]),
        )

    def _is_live(self, state: PeerState) -> bool:
        return self._scheduler.now() - state.last_seen_at <= self._silence_seconds()

    def _silence_seconds(self) -> float:
        return max(self._settings.fleet.silence_seconds, 3 * self._ping_seconds())

    def _ping_seconds(self) -> float:
        fleet = self._settings.fleet
        return choose_interval_seconds(
            len(self._last_response_at),
            PING_BYTES,
            seconds_min=fleet.ping_seconds,
            bytes_per_second_max=fleet.ping_bytes_per_second_max,
        )

    def _heartbeat_seconds(self) -> float:
        fleet = self._settings.fleet
        return choose_interval_seconds(
            len(self._last_response_at),
            HEARTBEAT_BYTES,
            seconds_min=fleet.heartbeat_seconds,
            bytes_per_second_max=fleet.heartbeat_bytes_per_second_max,
        )

    def _tick(self) -> None:
        self._scheduler.call_after(self._ping_seconds(), self._tick)
        self._compensate_own_pause()
        self._observe_vm_list()
        self._drop_silent_links()
        for node_id in self._peers.connected():
            self._ping(node_id)
        if self._is_heartbeat_due():
            self.announce()
        LIVE_PEERS.set(len(self.live()))

    def _is_heartbeat_due(self) -> bool:
        own = evolve(self._make_heartbeat(), next_offsets={}, vm_list_age_seconds=None)
        now = self._scheduler.now()
        if own == self._announced_heartbeat and now < self._next_announce_at:
            return False
        self._announced_heartbeat = own
        self._next_announce_at = now + self._heartbeat_seconds()
        return True

    def _compensate_own_pause(self) -> None:
        """Exclude time during which this process was suspended from silence timeouts."""
        now = self._scheduler.now()
        paused_seconds = now - self._ticked_at - self._ping_seconds()
        self._ticked_at = now
        if paused_seconds < self._settings.fleet.silence_seconds / 2:
            return
        log_event("paused", level=30, seconds=round(paused_seconds, 3))
        for state in self.states.values():
            state.last_seen_at += paused_seconds
        for node_id in self._last_response_at:
            self._last_response_at[node_id] += paused_seconds

    def _observe_vm_list(self) -> None:
        read_at = self._vm_list.read_at
        if read_at is None or read_at == self._last_read_at:
            return
        if self._first_read_at is None:
            self._first_read_at = read_at
        listed = frozenset(vm.vm_id for vm in self._vm_list.find_routers())
        for vm_id in self._listed - listed:
            self._missing_since[vm_id] = read_at
        for vm_id in listed:
            self._missing_since.pop(vm_id, None)
        self._listed = listed
        self._last_read_at = read_at

    def _drop_silent_links(self) -> None:
        now = self._scheduler.now()
        timeout_seconds = self._silence_seconds()
        connected = set(self._peers.connected())
        for node_id in connected - set(self._last_response_at):
            self._send_heartbeat(node_id)
        self._last_response_at = {
            node_id: self._last_response_at.get(node_id, now) for node_id in connected
        }
        for node_id, last_response_at in list(self._last_response_at.items()):
            silent = self._peers.is_silent(node_id, now - timeout_seconds)
            if silent and now - last_response_at > timeout_seconds:
                del self._last_response_at[node_id]
                TIMED_OUT_LINKS.labels("peer").inc()
                self._peers.drop_link(node_id)

    def _ping(self, node_id: str) -> None:
        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(Pong(incarnation)):
                    self._record_response(node_id)
                    state = self.states.get(node_id)
                    if state is not None and state.heartbeat.incarnation == incarnation:
                        state.last_seen_at = self._scheduler.now()
                    else:
                        self._send_heartbeat(node_id)

        self._peers.request(node_id, Ping(), self._silence_seconds(), handle_response)

    def _record_response(self, node_id: str) -> None:
        if node_id in self._last_response_at:
            self._last_response_at[node_id] = self._scheduler.now()

    def _send_heartbeat(self, node_id: str) -> None:
        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(Heartbeat() as heartbeat):
                    self._record_response(node_id)
                    self._accept_heartbeat(heartbeat)

        self._peers.request(
            node_id, self._make_heartbeat(), self._silence_seconds(), handle_response
        )

    def _on_ping(self, ping: Ping, reply: Reply) -> None:
        reply(Pong(self._make_heartbeat().incarnation))

    def _on_heartbeat(self, heartbeat: Heartbeat, reply: Reply) -> None:
        reply(self._make_heartbeat())
        self._accept_heartbeat(heartbeat)

    def _accept_heartbeat(self, heartbeat: Heartbeat) -> None:
        known = self.states.get(heartbeat.node_id)
        if known is not None and known.heartbeat.incarnation > heartbeat.incarnation:
            return
        self.states[heartbeat.node_id] = PeerState(heartbeat, self._scheduler.now())
        for listener in self._listeners:
            listener()

    def _on_vms(self) -> None:
        self._observe_vm_list()
        routers = self._vm_list.find_routers()
        fleet = self._settings.fleet
        neighbours = choose_neighbours(
            self._own_vm(),
            routers,
            self._streams,
            near_peers_max=fleet.near_peers_max,
            far_peers_max=fleet.far_peers_max,
            links_max=fleet.links_max,
        )
        found = [
            PeerVm(vm.vm_id, vm.peer_address, self._measure_distance(vm))
            for vm in neighbours
            if vm.peer_address is not None
        ]
        self._neighbours = {peer.node_id for peer in found}
        self._peers.set_peers(found)

    def _measure_distance(self, vm: Vm) -> str:
        if vm.data_centre == self._settings.data_centre:
            return "near"
        return "region" if vm.region == self._settings.region else "far"

    def _own_vm(self) -> Vm:
        settings = self._settings
        return Vm(
            vm_id=settings.node_id,
            address=settings.listen.callers,
            region=settings.region,
            data_centre=settings.data_centre,
            role=VmRole.ROUTER,
            state=VmState.LIVE,
        )
