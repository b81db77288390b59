"""Run one call of a plain service and verify that the response is its own and complete."""

from collections.abc import Callable

from attrs import define, field, frozen

from bronzetiller.fleet.vm_list import Vm
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
from bronzetiller.routing.engine import ATTEMPT_HEADER

RESPONSE_BYTES_MAX = 16 * 1024 * 1024
BODILESS_STATUSES = (204, 304)


@frozen
class ServiceRequest:
    """Hold the part of a caller's request that is forwarded to the service."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


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
    body_bytes: int = 0
    _body: list[bytes] = field(factory=list)

    def cancel(self) -> None:
        """Cancel the call; no outcome follows."""
        if self.call is not None:
            self.call.cancel()

    def handle_event(self, event: CallEvent) -> None:
        """Handle one event of the HTTP call."""
        if isinstance(event, ResponseHead):
            self._handle_head(event)
        elif isinstance(event, BodyPart):
            self._handle_body(event.data)
        elif isinstance(event, ResponseEnd):
            self._listener(ServiceResponse(self.status, self.content_type, b"".join(self._body)))
        elif isinstance(event, CallFailed):
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
        self._body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > RESPONSE_BYTES_MAX:
            self._reject("the response is too large")

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
) -> ServiceAttempt:
    """Send a request to a service; may_send is called right before the first byte is sent."""
    attempt = ServiceAttempt(attempt_id, request.method, listener)
    call = HttpCall(
        vm.address,
        request.method,
        request.target,
        request.headers | {ATTEMPT_HEADER: attempt_id},
        request.body,
        silence_seconds,
        may_send=may_send,
    )
    attempt.call = http.send(call, attempt.handle_event)
    return attempt
