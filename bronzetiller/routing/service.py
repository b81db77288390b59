"""Run one call of a plain service and verify that the response is its own and complete."""

from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.fleet.vm_list import Vm
from bronzetiller.net.buffer_quota import Buffer, BufferQuota
from bronzetiller.net.http_client import (
    BodyPart,
    CallEvent,
    CallFailed,
    HttpCall,
    HttpClient,
    OpenCall,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.routing.engine import ATTEMPT_HEADER, may_belong_to

RESPONSE_BYTES_MAX = 16 * 1024 * 1024
BODILESS_STATUSES = (204, 304)


@frozen
class ServiceRequest:
    """Hold the part of a caller's request that is forwarded to the service."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | bytearray


@frozen
class ServiceResponse:
    """Hold the complete response of a service."""

    status: int
    content_type: str
    body: bytes


@frozen
class ServiceFailed:
    """Hold why no complete response came, and whether any request bytes may have been sent."""

    cause: str
    sent: bool


CallOutcome = ServiceResponse | ServiceFailed
OutcomeListener = Callable[[CallOutcome], None]


@define(eq=False)
class ServiceAttempt:
    """Process one call until its single outcome."""

    attempt_id: str
    _method: str
    _listener: OutcomeListener
    call: OpenCall | None = None
    status: int = 0
    content_type: str = ""
    quota: BufferQuota = field(factory=BufferQuota)
    _body: bytearray = field(factory=bytearray)
    _buffer: Buffer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._buffer = Buffer(lambda: self._reject("the responses of all calls are too large"))

    def cancel(self) -> None:
        """Cancel the call; no outcome follows."""
        self.quota.resize(self._buffer, 0)
        self._body.clear()
        if self.call is not None:
            self.call.cancel()

    def handle_event(self, event: CallEvent) -> None:
        """Handle one event of the HTTP call."""
        if isinstance(event, ResponseHead):
            self._handle_head(event)
        elif isinstance(event, BodyPart):
            self._handle_body(event.data)
        elif isinstance(event, ResponseEnd):
            self.quota.resize(self._buffer, 0)
            self._listener(ServiceResponse(self.status, self.content_type, bytes(self._body)))
        elif isinstance(event, CallFailed):
            self.quota.resize(self._buffer, 0)
            self._body.clear()
            self._listener(ServiceFailed(event.cause, event.sent))

    def _handle_head(self, head: ResponseHead) -> None:
        self.status = head.status
        self.content_type = head.headers.get("content-type", "application/octet-stream")
        if head.headers.get(ATTEMPT_HEADER.lower()) != self.attempt_id:
            self._reject("the response belongs to another attempt")
        elif not self._is_framed(head):
            self._reject("the response has neither a length nor a transfer encoding")

    def _is_framed(self, head: ResponseHead) -> bool:
        if self._method == "HEAD" or head.status in BODILESS_STATUSES:
            return True
        return "content-length" in head.headers or "transfer-encoding" in head.headers

    def _handle_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > RESPONSE_BYTES_MAX:
            self._reject("the response is too large")
        else:
            self.quota.resize(self._buffer, len(self._body))

    def _reject(self, cause: str) -> None:
        self.cancel()
        self._listener(ServiceFailed(cause, sent=True))


def start_service_attempt(
    http: HttpClient,
    vm: Vm,
    attempt_id: str,
    request: ServiceRequest,
    *,
    silence_seconds: float,
    may_send: Callable[[], bool] | None,
    listener: OutcomeListener,
    quota: BufferQuota,
) -> ServiceAttempt:
    """Send a request to a service; may_send is called right before the first byte is sent."""
    attempt = ServiceAttempt(attempt_id, request.method, listener, quota=quota)
    call = HttpCall(
        vm.address,
        request.method,
        request.target,
        request.headers | {ATTEMPT_HEADER: attempt_id},
        request.body,
        silence_seconds,
        may_send=may_send,
        is_matching=lambda head: may_belong_to(head, attempt_id),
        request_id=attempt_id,
    )
    attempt.call = http.send(call, attempt.handle_event)
    return attempt
