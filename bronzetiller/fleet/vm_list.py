"""Poll the platform's list of live and leaving VMs."""

from collections.abc import Callable
from enum import StrEnum

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
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.net.scheduler import Scheduler

POLL_INTERVAL_SECONDS = 1.0
SILENCE_SECONDS = 2.0
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
        call = HttpCall(
            self._address,
            "GET",
            "/v1/vms",
            {},
            b"",
            SILENCE_SECONDS,
            body_bytes_max=LIST_BYTES_MAX,
            seconds_max=TRANSFER_SECONDS_MAX,
        )
        parts: list[bytes] = []

        def handle_event(event: CallEvent) -> None:
            if isinstance(event, BodyPart):
                parts.append(event.data)
            elif isinstance(event, ResponseHead | CallFailed):
                if isinstance(event, CallFailed):
                    self._finish(None)
            elif isinstance(event, ResponseEnd):
                self._finish(b"".join(parts))

        self._http.send(call, handle_event)

    def _finish(self, body: bytes | None) -> None:
        self._scheduler.call_after(POLL_INTERVAL_SECONDS, self._poll)
        vms = None if body is None else decode_vms(body)
        if vms is None:
            if self.reachable:
                log_event("vm_list_unreachable", level=30)
            self.reachable = False
            return
        assert body is not None
        self.reachable = True
        self._replace(vms, body.decode(), self._scheduler.now())

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
