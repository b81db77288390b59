"""Poll the platform's list of live and leaving VMs."""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from random import Random

from attrs import frozen

from bronzetiller.json_values import decode_json
from bronzetiller.logs import log_event
from bronzetiller.net.dialer import Address, parse_address
from bronzetiller.net.http_client import (
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    OpenCall,
    ResponseEnd,
)
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.sync.backoff import Backoff

POLL_INTERVAL_SECONDS = 1.0
POLL_JITTER_SHARE = 0.2  # of the interval, so that the polls of many nodes spread
RETRY_SECONDS_MAX = 4.0
LATE_SECONDS = 2.0  # without a byte, after which the next poll starts beside the late one
OPEN_POLLS_MAX = 4
CONNECT_SECONDS = 5.0
SILENCE_SECONDS = 15.0
LIST_BYTES_MAX = 4 * 1024 * 1024  # some 1 KB for each of thousands of VMs
TRANSFER_SECONDS_MAX = 10.0


class VmState(StrEnum):
    """Name the states that the platform reports for a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(StrEnum):
    """Distinguish routers of the fleet from targets."""

    ROUTER = "router"
    TARGET = "target"


@frozen
class Vm:
    """Describe one VM; targets have a service, routers a peer address."""

    vm_id: str
    address: Address
    region: str
    data_centre: str
    role: VmRole
    state: VmState
    service: str | None = None
    peer_address: Address | None = None


class VmList:
    """Poll the VM list; keep the last one while the platform does not respond."""

    def __init__(self, scheduler: Scheduler, http: HttpClient, address: Address) -> None:
        self.vms: dict[str, Vm] = {}
        self.reachable = False
        self.read_at: float | None = None
        self.text = ""
        self._scheduler = scheduler
        self._http = http
        self._address = address
        self._subscribers: list[Callable[[], None]] = []
        self._backoff = Backoff(POLL_INTERVAL_SECONDS, RETRY_SECONDS_MAX)
        self._random = Random()
        self._polled_at = float("-inf")
        self._open_polls: deque[OpenCall] = deque()

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Call the subscriber after each change of the list."""
        self._subscribers.append(subscriber)

    def start(self) -> None:
        """Poll until the process exits."""
        self._poll()

    def find_service(self, service: str) -> list[Vm]:
        """Return the targets of a service, including leaving ones."""
        return [vm for vm in self.vms.values() if vm.service == service]

    def find_routers(self) -> list[Vm]:
        """Return the routers of the fleet, including leaving ones."""
        return [vm for vm in self.vms.values() if vm.role is VmRole.ROUTER]

    def _poll(self) -> None:
        started_at = self._scheduler.now()
        call = HttpCall(
            self._address,
            "GET",
            "/v1/vms",
            {},
            b"",
            SILENCE_SECONDS,
            connect_seconds=CONNECT_SECONDS,
            body_bytes_max=LIST_BYTES_MAX,
            seconds_max=SILENCE_SECONDS + TRANSFER_SECONDS_MAX,
        )
        parts: list[bytes] = []
        received_at = started_at
        continued = False
        if len(self._open_polls) >= OPEN_POLLS_MAX:
            self._open_polls.popleft().cancel()

        def continue_after(seconds: float) -> None:
            nonlocal continued
            if not continued:
                continued = True
                self._scheduler.call_after(seconds, self._poll)

        def handle_event(event: CallEvent) -> None:
            nonlocal received_at
            received_at = self._scheduler.now()
            if isinstance(event, ResponseEnd | CallFailed):
                self._open_polls.remove(open_call)
            if isinstance(event, BodyPart):
                parts.append(event.data)
            elif isinstance(event, ResponseEnd) and self._apply(b"".join(parts), started_at):
                jitter = POLL_JITTER_SHARE * (self._random.random() - 0.5)
                continue_after(POLL_INTERVAL_SECONDS * (1 + jitter))
            elif isinstance(event, ResponseEnd | CallFailed):
                self._record_failure(started_at)
                continue_after(self._backoff.next_seconds())

        def check_lateness() -> None:
            if continued:
                return
            deadline = received_at + LATE_SECONDS
            if self._scheduler.now() < deadline:
                self._scheduler.call_at(deadline, check_lateness)
                return
            self._http.close_idle(self._address)
            continue_after(self._backoff.next_seconds())

        open_call = self._http.send(call, handle_event)
        self._open_polls.append(open_call)
        self._scheduler.call_after(LATE_SECONDS, check_lateness)

    def _record_failure(self, started_at: float) -> None:
        if self.reachable and started_at >= self._polled_at:
            log_event("vm_list_unreachable", level=30)
            self.reachable = False

    def _apply(self, body: bytes, started_at: float) -> bool:
        """Replace the list by a response, unless a later one has; return whether it is valid."""
        vms = decode_vms(body)
        if vms is None:
            return False
        self.reachable = True
        self._backoff.reset()
        if started_at >= self._polled_at:
            self._polled_at = started_at
            # The list may be as old as the poll; a late one counts as read when it became late.
            read_at = min(self._scheduler.now(), started_at + LATE_SECONDS)
            self._replace(vms, body.decode(), read_at)
        return True

    def adopt(self, text: str, age_seconds: float) -> None:
        """Replace the list by one that a peer has read (JSON text) if that is newer."""
        vms = decode_vms(text.encode())
        read_at = self._scheduler.now() - age_seconds
        if vms is not None and (self.read_at is None or read_at > self.read_at):
            self._replace(vms, text, read_at)

    def _replace(self, vms: dict[str, Vm], text: str, read_at: float) -> None:
        self.text = text
        self.read_at = read_at
        if vms != self.vms:
            self.vms = vms
            for subscriber in self._subscribers:
                subscriber()


def decode_vms(body: bytes) -> dict[str, Vm] | None:
    """Decode the JSON text of the list; return None if it is malformed."""
    try:
        vms = [_decode_vm(item) for item in decode_json(body)["vms"]]
    except (ValueError, KeyError, TypeError) as error:
        log_event("vm_list_malformed", level=30, error=error)
        return None
    return {vm.vm_id: vm for vm in vms}


def _decode_vm(item: dict[str, str]) -> Vm:
    peer = item.get("peer_address")
    return Vm(
        vm_id=item["vm_id"],
        address=parse_address(item["address"]),
        region=item["region"],
        data_centre=item["data_centre"],
        role=VmRole(item["role"]),
        state=VmState(item["state"]),
        service=item.get("service"),
        peer_address=None if peer is None else parse_address(peer),
    )
