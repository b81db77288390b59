"""Fetch the VM list from a peer while the platform does not provide it."""

from random import Random

from attrs import define, field
from result import Ok, Result

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.peers import Peers, PeerVm, Reply
from bronzetiller.fleet.vm_list import VmList
from bronzetiller.logs import log_event
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.wire.messages import FetchVms, Message, Vms

CHECK_INTERVAL_SECONDS = 1.0
RESPONSE_TIMEOUT_SECONDS = 2.0
STALE_SECONDS = 3.0
FRESHER_SECONDS_MIN = 0.1
SEED_PREFIX = "seed-"


@define(eq=False)
class VmListRelay:
    """Serve the VM list to peers and adopt a newer one from them."""

    _scheduler: Scheduler
    _peers: Peers
    _membership: Membership
    _vm_list: VmList
    _settings: Settings
    _request_pending: bool = False
    _random: Random = field(factory=Random)

    def start(self) -> None:
        """Start serving peers and monitoring the age of this node's list."""
        self._peers.on(FetchVms, self._on_fetch)
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def _compute_age_seconds(self) -> float | None:
        read_at = self._vm_list.read_at
        return None if read_at is None else self._scheduler.now() - read_at

    def _check(self) -> None:
        age = self._compute_age_seconds()
        if self._request_pending or (age is not None and age < STALE_SECONDS):
            return
        if age is None and not self._peers.connected():
            seeds = self._settings.fleet.seeds
            self._peers.set_peers([PeerVm(f"{SEED_PREFIX}{seed}", seed) for seed in seeds])
            return
        node_id = self._choose_peer(age)
        if node_id is not None:
            self._request_pending = True
            self._peers.request(
                node_id, FetchVms(), RESPONSE_TIMEOUT_SECONDS, self._handle_response
            )

    def _choose_peer(self, age: float | None) -> str | None:
        connected = self._peers.connected()
        if age is None:
            return self._random.choice(connected) if connected else None
        own = self._settings.data_centre
        ages = [
            (peer.data_centre != own, peer.vm_list_age_seconds, node_id)
            for node_id, peer in self._membership.live().items()
            if node_id in connected
            and peer.vm_list_age_seconds is not None
            and peer.vm_list_age_seconds < age - FRESHER_SECONDS_MIN
        ]
        return min(ages)[2] if ages else None

    def _handle_response(self, result: Result[Message, str]) -> None:
        self._request_pending = False
        match result:
            case Ok(Vms(text, age_seconds)) if text:
                log_event("vm_list_from_peer", age_seconds=round(age_seconds, 1))
                self._vm_list.adopt(text, age_seconds)

    def _on_fetch(self, request: FetchVms, reply: Reply) -> None:
        reply(Vms(self._vm_list.text, self._compute_age_seconds() or 0.0))
