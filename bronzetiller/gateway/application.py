"""Turn requests of path routes into runs; refuse at once what no configuration allows."""

from collections.abc import Callable

from attrs import define

from bronzetiller.callers.problems import refuse
from bronzetiller.errors import Reason, Refusal
from bronzetiller.fleet.drain import Drain
from bronzetiller.gateway.configuration import GatewayConfiguration
from bronzetiller.gateway.request_handler import (
    DEADLINE_MARGIN_SECONDS,
    RequestContext,
    RequestHandler,
)
from bronzetiller.net.exchange import Exchange
from bronzetiller.platform.headers import read_request_metadata

STOPPING_RETRY_SECONDS = 0.05  # other nodes serve at once
STARTING_RETRY_SECONDS = 0.5


@define
class Application:
    """Hold what serving path routes needs."""

    services: RequestContext
    get_configuration: Callable[[], GatewayConfiguration | None]
    find_drain: Callable[[], Drain]

    def serve(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        now = self.services.scheduler.now()
        metadata = read_request_metadata(exchange.headers)
        drain = self.find_drain()
        if drain.stopping:
            exchange.close_after()
        if drain.refusing:
            detail = "the node is stopping; look up another address"
            refusal = Refusal(
                503, Reason.STOPPING, detail, retry_after_seconds=STOPPING_RETRY_SECONDS
            )
            refuse(exchange, refusal, id=metadata.request_id, path=exchange.path)
            return
        configuration = self.get_configuration()
        if configuration is None:
            detail = "the node has read no configuration yet"
            refusal = Refusal(
                503, Reason.NOT_READY, detail, retry_after_seconds=STARTING_RETRY_SECONDS
            )
            refuse(exchange, refusal, id=metadata.request_id, path=exchange.path)
            return
        route = configuration.find_route(exchange.headers.get("host", ""), exchange.path)
        if route is None:
            refusal = Refusal(404, Reason.UNKNOWN_ROUTE, "no route serves this path")
            refuse(exchange, refusal, id=metadata.request_id, path=exchange.path)
            return
        workspace = configuration.keys.get(metadata.key)
        if workspace is None and configuration.has_keys and not route.public:
            refusal = Refusal(401, Reason.BAD_CREDENTIALS, "the key is not known")
            refuse(exchange, refusal, id=metadata.request_id, path=exchange.path)
            return
        seconds = route.timeout_seconds
        if metadata.seconds_left is not None:
            seconds = min(seconds, metadata.seconds_left)
        RequestHandler(
            services=self.services,
            exchange=exchange,
            configuration=configuration,
            route=route,
            metadata=metadata,
            workspace=workspace,
            begun_at=now,
            deadline=now + seconds - DEADLINE_MARGIN_SECONDS,
        ).start()
