"""Start a handler for each request of a path route; refuse what the configuration forbids.

What a newer configuration may allow is refused as not run, so that callers return.
"""

from collections.abc import Callable
from typing import Any

from attrs import define

from bronzetiller.callers.problems import refuse
from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.drain import Drain
from bronzetiller.gateway.configuration import GatewayConfiguration
from bronzetiller.gateway.own_load import OwnLoad
from bronzetiller.gateway.request_context import RequestContext
from bronzetiller.gateway.request_handler import DEADLINE_MARGIN_SECONDS, RequestHandler
from bronzetiller.gateway.requests import RequestMetadata
from bronzetiller.gateway.start_queue import StartQueue
from bronzetiller.net.exchange import Exchange
from bronzetiller.platform.headers import decode_request_metadata, make_not_run_headers
from bronzetiller.requests.execution import is_promise
from bronzetiller.sync.confirmation import choose_retry_seconds, is_outdated

STOPPING_RETRY_SECONDS = 0.05  # other nodes can serve the retry at once
STARTING_RETRY_SECONDS = 0.5


@define
class Application:
    """Serve the path routes of the current configuration."""

    context: RequestContext
    get_configuration: Callable[[], GatewayConfiguration | None]
    get_drain: Callable[[], Drain]
    get_confirmation_age: Callable[[], float]  # seconds
    get_confirmation_source: Callable[[], str]
    may_serve: Callable[[], bool] = lambda: True
    start_queue: StartQueue | None = None
    own_load: OwnLoad | None = None

    def serve(self, exchange: Exchange) -> None:
        """Serve one request of a caller."""
        self._serve(exchange, self.context.scheduler.now())

    def _serve(self, exchange: Exchange, arrived_at: float) -> None:
        """Serve a request that arrived at a time (monotonic seconds), now or once held."""
        metadata = decode_request_metadata(exchange.headers)
        drain = self.get_drain()
        if drain.stopping:
            exchange.close_after_response()
        if drain.refusing:
            self._refuse_stopping(exchange, metadata, "the node is stopping; look up another node")
            return
        if self.start_queue is not None and self.start_queue.hold(
            exchange, metadata.seconds_left, lambda: self._serve(exchange, arrived_at)
        ):
            return
        if self.own_load is not None and self.own_load.is_full:
            exchange.close_after_response()
        configuration = self.get_configuration()
        if configuration is None:
            self._refuse_starting(exchange, metadata)
            return
        if configuration.version < (metadata.forwarded_version or 0):
            detail = f"version {metadata.forwarded_version} of the configuration is not known yet"
            refusal = Refusal(
                503, Reason.NOT_READY, detail, retry_after_seconds=STARTING_RETRY_SECONDS
            )
            self._refuse(exchange, metadata, refusal)
            return
        if not self.may_serve():
            cause = "what may be in force no longer"
            self._refuse_outdated(exchange, metadata, cause, configuration.version)
            return
        route = configuration.find_route(exchange.headers.get("host", ""), exchange.path)
        if route is None:
            refusal = Refusal(404, Reason.UNKNOWN_ROUTE, "no route matches this host and path")
            self._refuse_unknown(exchange, metadata, refusal, configuration.version)
            return
        workspace = configuration.keys.get(metadata.key)
        if workspace is None and configuration.has_keys and not route.public:
            refusal = Refusal(401, Reason.BAD_CREDENTIALS, "the API key is unknown")
            self._refuse_unknown(exchange, metadata, refusal, configuration.version)
            return
        seconds = route.timeout_seconds
        if metadata.seconds_left is not None:
            seconds = min(seconds, metadata.seconds_left)
        deadline = arrived_at + seconds - DEADLINE_MARGIN_SECONDS
        if not route.retryable and not drain.can_finish(deadline):
            detail = "the node may stop before the request ends; look up another node"
            self._refuse_stopping(exchange, metadata, detail)
            return
        RequestHandler(
            context=self.context,
            exchange=exchange,
            configuration=configuration,
            route=route,
            metadata=metadata,
            workspace=workspace,
            started_at=arrived_at,
            deadline=deadline,
        ).start()

    def _refuse_starting(self, exchange: Exchange, metadata: RequestMetadata) -> None:
        detail, seconds = "the node has not read a configuration yet", STARTING_RETRY_SECONDS
        if self.start_queue is not None:
            seconds = self.start_queue.compute_retry_seconds(self.context.draw_uniform())
        refusal = Refusal(503, Reason.NOT_READY, detail, retry_after_seconds=seconds)
        self._refuse(exchange, metadata, refusal)

    def _refuse_stopping(self, exchange: Exchange, metadata: RequestMetadata, detail: str) -> None:
        refusal = Refusal(503, Reason.STOPPING, detail, retry_after_seconds=STOPPING_RETRY_SECONDS)
        self._refuse(exchange, metadata, refusal)

    def _refuse_unknown(
        self, exchange: Exchange, metadata: RequestMetadata, refusal: Refusal, version: int
    ) -> None:
        """Refuse what the configuration lacks; for now only, if a newer one may have it."""
        if is_outdated(self.get_confirmation_age()):
            self._refuse_outdated(exchange, metadata, refusal.detail, version)
        else:
            self._refuse_by_version(exchange, metadata, refusal, version)

    def _refuse_outdated(
        self, exchange: Exchange, metadata: RequestMetadata, cause: str, version: int
    ) -> None:
        age = self.get_confirmation_age()
        refusal = refuse_outdated(cause, version, age, self.context.draw_uniform())
        self._refuse_by_version(exchange, metadata, refusal, version)

    def _refuse_by_version(
        self, exchange: Exchange, metadata: RequestMetadata, refusal: Refusal, version: int
    ) -> None:
        self._refuse(
            exchange,
            metadata,
            refusal,
            version=version,
            confirmation_age=round(self.get_confirmation_age(), 3),
            confirmed_by=self.get_confirmation_source(),
        )

    def _refuse(
        self, exchange: Exchange, metadata: RequestMetadata, refusal: Refusal, **fields: Any
    ) -> None:
        headers = make_not_run_headers(metadata) if is_promise(refusal) else {}
        refuse(exchange, refusal, headers, id=metadata.request_id, path=exchange.path, **fields)


def refuse_outdated(cause: str, version: int, age_seconds: float, draw: float) -> Refusal:
    """Return the refusal of what a newer version of the configuration may allow."""
    detail = f"{cause} in version {version}, last confirmed {age_seconds:.1f} s ago"
    seconds = choose_retry_seconds(age_seconds, draw)
    return Refusal(503, Reason.CONFIGURATION_OUTDATED, detail, retry_after_seconds=seconds)
