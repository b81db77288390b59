"""Have a request served through a peer, and pass its response on.

The peer decides all: it reserves the tokens, bills them, chooses the targets and refuses. A request
that may have arrived at a peer is not sent to another one without that peer's proof that it was not
run, unless it may run more than once and uses no tokens.
"""

from collections.abc import Callable, Collection

from attrs import define, evolve

from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.gateway.attempt import (
    Attempt,
    AttemptEvent,
    CompleteResponse,
    NotRun,
    ResponseLost,
    StreamData,
    StreamEnd,
    StreamStarted,
    make_call,
)
from bronzetiller.gateway.configuration import AllowedRegions
from bronzetiller.gateway.forwarding import PeerForwarder
from bronzetiller.gateway.members import Member
from bronzetiller.gateway.requests import RequestMetadata
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.logs import log_event
from bronzetiller.metrics import FORWARDED_REQUESTS
from bronzetiller.net.address import parse_address
from bronzetiller.net.buffer_quota import BufferQuota
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_client import HttpCall, HttpClient
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.platform.headers import make_forwarded_headers, make_response_headers
from bronzetiller.requests.execution import Execution, Verdict

CONNECT_SECONDS = 0.5
PEERS_MAX = 3
RETRY_SECONDS = 0.5
FAILURE_SUM_SECONDS = 1.0


@define(eq=False)
class ForwardedRequest:
    """Forward one request; deadline is in monotonic seconds.

    on_attempt receives each attempt at a peer; on_end is called once, before the response ends,
    with the number of events that were passed on, and with a refusal if there is no response.
    """

    _scheduler: Scheduler
    _http: HttpClient
    _forwarder: PeerForwarder
    _exchange: Exchange
    _metadata: RequestMetadata
    _services: Collection[str]
    _deadline: float
    _streamed: bool
    _may_repeat: bool
    _attempts: int
    _version: int
    _on_attempt: Callable[[Attempt], None]
    _on_end: Callable[[int, Refusal | None], None]
    _execution: Execution
    _quota: BufferQuota
    _regions: AllowedRegions = None
    _peers: int = 0
    _events: int = 0

    def start(self) -> bool:
        """Send the request to a peer; return False if none can take it, or its caller has left."""
        now = self._scheduler.now()
        may_send = self._peers < PEERS_MAX and not self._exchange.done
        peer = self._choose_peer(now) if may_send else None
        if peer is None:
            return False
        self._peers += 1
        attempt = Attempt(
            _make_target(peer),
            self._metadata.request_id,
            self._streamed,
            self._scheduler.now,
            lambda event: self._handle_event(peer, event),
            quota=self._quota,
        )
        self._execution.begin(attempt)
        self._on_attempt(attempt)
        attempt.start(self._http, self._make_call(attempt, now))
        return True

    def _choose_peer(self, now: float) -> Member | None:
        return self._forwarder.choose(self._services, now, self._regions)

    def _make_call(self, attempt: Attempt, now: float) -> HttpCall:
        """Make a call on a new connection, as an idle one may have been closed meanwhile."""
        seconds_left = self._deadline - now
        headers = make_forwarded_headers(
            self._metadata,
            peer_id=attempt.target.target_id,
            seconds_left=seconds_left,
            attempts=self._attempts,
            version=self._version,
        )
        call = make_call(
            self._exchange, attempt.target, headers, seconds_left, self._metadata.request_id
        )
        return evolve(call, connect_seconds=CONNECT_SECONDS, may_send=lambda: True)

    def _handle_event(self, peer: Member, event: AttemptEvent) -> None:
        exchange = self._exchange
        match event:
            case StreamStarted(head):
                exchange.start(head.status, make_response_headers(head))
            case StreamData():
                self._events += event.events
                exchange.send(event.data)
            case StreamEnd(by_close=False):
                self._end("answered", None)
                exchange.finish()
            case CompleteResponse(head, verdict=Verdict.UNPROVED):
                self._handle_loss(peer, f"status {head.status} without a proof")
            case CompleteResponse(head, body, by_close=False):
                self._end("answered", None)
                exchange.respond(head.status, make_response_headers(head), body)
            case NotRun(cause):
                self._try_next(peer, cause)
            case ResponseLost(cause):
                self._handle_loss(peer, cause)
            case StreamEnd() | CompleteResponse():
                self._handle_loss(peer, "the response ended with a close")

    def _handle_loss(self, peer: Member, cause: str) -> None:
        if self._may_repeat and not self._exchange.started:
            self._try_next(peer, cause)
        else:
            self._refuse(peer, cause)

    def _try_next(self, peer: Member, cause: str) -> None:
        """Leave the peer alone for a while, and send the request to another one."""
        self._record_failure(peer, cause)
        self._forwarder.avoid(peer.node_id, self._scheduler.now())
        if not self.start():
            self._refuse(peer, cause)

    def _record_failure(self, peer: Member, cause: str) -> None:
        """Log one line for all failures at a peer within FAILURE_SUM_SECONDS."""
        failures = self._forwarder.failures
        if failures.record(peer.node_id, self._metadata.request_id, cause):
            self._scheduler.call_after(
                FAILURE_SUM_SECONDS,
                lambda: log_event("forward_failed", **failures.take(peer.node_id)),
            )

    def _refuse(self, peer: Member, cause: str) -> None:
        detail = f"{peer.node_id}, which was to serve the request: {cause}"
        if self._execution.may_have_run:
            self._end("lost", Refusal(502, Reason.TARGET_FAILED, detail, Ran.UNKNOWN))
            return
        refusal = Refusal(503, Reason.OVERLOADED, detail, retry_after_seconds=RETRY_SECONDS)
        self._end("refused", refusal)

    def _end(self, outcome: str, refusal: Refusal | None) -> None:
        FORWARDED_REQUESTS.labels(outcome).inc()
        self._on_end(self._events, refusal)


def _make_target(peer: Member) -> Target:
    """Make a target of the peer's address for callers."""
    address = parse_address(peer.address)
    return Target(Registration(f"node/{peer.node_id}", "", address, peer.data_centre, 1, False))
