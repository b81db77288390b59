"""Fetch the VM list from a peer while the platform does not provide it."""

from random import Random

from attrs import define, field
from result import Ok, Result

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.neighbours import rank_nodes
from bronzetiller.fleet.patient_request import request_patiently
from bronzetiller.fleet.peers import Peers, PeerVm, Reply
from bronzetiller.fleet.vm_list import VmList
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.sync.log_reading import ReadOrder
from bronzetiller.wire.messages import FetchVms, Heartbeat, Message, Vms

CHECK_INTERVAL_SECONDS = 1.0
SILENCE_SECONDS = 2.0  # without any byte from the peer
RESPONSE_SECONDS_MAX = 15.0
STALE_SECONDS = 3.0
FAR_FALLBACK_SECONDS = 1.0  # for each rank, until a node asks a peer outside its data centre
FRESHER_SECONDS_MIN = 0.1
SEED_PREFIX = "seed-"


@define(eq=False)
class VmListRelay:
    """Serve the VM list to peers and adopt a newer one from them.

    The nodes of a data centre that lost the platform turn to peers elsewhere one after the other,
    so that those that come later find the list nearby.
    """

    _scheduler: Scheduler
    _peers: Peers
    _membership: Membership
    _vm_list: VmList
    _settings: Settings
    _request_pending: bool = False
    _far_from: float | None = None
    _random: Random = field(factory=Random)
    _read_order: ReadOrder = field(factory=ReadOrder)

    def start(self) -> None:
        """Start serving peers and monitoring the age of this node's list."""
        self._peers.on(FetchVms, self._on_fetch)
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def _compute_age_seconds(self) -> float | None:
        read_at = self._vm_list.read_at
        return None if read_at is None else self._scheduler.now() - read_at

    def _check(self) -> None:
        age = self._compute_age_seconds()
        if age is not None and age < STALE_SECONDS:
            self._far_from = None
            return
        if self._request_pending:
            return
        if age is None and not self._peers.connected():
            seeds = self._settings.fleet.seeds
            self._peers.set_peers([PeerVm(f"{SEED_PREFIX}{seed}", seed) for seed in seeds])
            return
        node_id = self._choose_peer(age)
        if node_id is not None:
            self._request_pending = True
            request_patiently(
                self._scheduler,
                self._peers,
                node_id,
                FetchVms(),
                self._handle_response,
                silence_seconds=SILENCE_SECONDS,
                seconds_max=RESPONSE_SECONDS_MAX,
            )

    def _choose_peer(self, age: float | None) -> str | None:
        connected = self._peers.connected()
        if age is None:
            return self._random.choice(connected) if connected else None
        own = self._settings
        live = self._membership.live()
        fresher = {
            node_id: peer
            for node_id, peer in live.items()
            if node_id in connected
            and peer.vm_list_age_seconds is not None
            and peer.vm_list_age_seconds < age - FRESHER_SECONDS_MIN
        }
        near = [node_id for node_id, peer in fresher.items() if peer.data_centre == own.data_centre]
        # A peer nearby may be nearly as stale as this node.
        if any(self._is_fresh(fresher[node_id]) for node_id in near):
            near = [node_id for node_id in near if self._is_fresh(fresher[node_id])]
        elif self._may_ask_far(live):
            near = [node_id for node_id in fresher if node_id not in near] or near
        return rank_nodes(f"{own.node_id}/vms", near)[0] if near else None

    def _is_fresh(self, peer: Heartbeat) -> bool:
        return peer.vm_list_age_seconds is not None and peer.vm_list_age_seconds < STALE_SECONDS

    def _may_ask_far(self, live: dict[str, Heartbeat]) -> bool:
        now = self._scheduler.now()
        if self._far_from is None:
            own = self._settings
            near = [
                node_id for node_id, peer in live.items() if peer.data_centre == own.data_centre
            ]
            ranked = rank_nodes(f"{own.data_centre}/vms", [*near, own.node_id])
            rank = ranked.index(own.node_id)
            seconds = self._read_order.choose_fallback_seconds(
                rank, len(ranked), FAR_FALLBACK_SECONDS
            )
            self._far_from = now + (seconds if rank else 0.0)
        return now >= self._far_from

    def _handle_response(self, result: Result[Message, str]) -> None:
        self._request_pending = False
        match result:
            case Ok(Vms(text, age_seconds)) if text:
                log_event("vm_list_from_peer", age_seconds=round(age_seconds, 1))
                self._vm_list.adopt(text, age_seconds)

    def _on_fetch(self, request: FetchVms, reply: Reply) -> None:
        reply(Vms(self._vm_list.text, self._compute_age_seconds() or 0.0))
