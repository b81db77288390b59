"""Route the requests of callers and operators by path."""

import json
import time
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from attrs import define
from result import Err, Ok

from bronzetiller.callers.authentication import authenticate
from bronzetiller.callers.chat import JSON_HEADERS, ChatRun, ChatServices
from bronzetiller.callers.chat_request import KEY_LENGTH_MAX, check_chat_request, read_model
from bronzetiller.callers.problems import refuse
from bronzetiller.callers.services import (
    SERVICES_PREFIX,
    CallServices,
    make_service_run,
    read_route_name,
)
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.records import Route, RouteProtocol
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.metrics import render_metrics
from bronzetiller.net.exchange import Exchange
from bronzetiller.requests.admission import RequestKey

REQUEST_PATHS = ("/v1/chat/", "/services/")


@define
class ApiServices:
    """Hold what the HTTP interface needs of the node."""

    configuration: Configuration
    chat: ChatServices
    calls: CallServices
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    is_refusing: Callable[[], bool]
    list_entry_addresses: Callable[[], list[str]]
    operator_handlers: dict[tuple[str, str], Callable[[Exchange], None]]
    entry_seconds: float


def make_application(services: ApiServices) -> Callable[[Exchange], None]:
    """Return the application that serves every request of a node."""

    def serve(exchange: Exchange) -> None:
        if services.is_stopping():
            exchange.close_after()
        if services.is_refusing() and exchange.path.startswith(REQUEST_PATHS):
            _refuse_stopping(exchange)
            return
        key = exchange.method, exchange.path
        handle = _HANDLERS.get(key)
        operator_handle = services.operator_handlers.get(key)
        if handle is not None:
            handle(services, exchange)
        elif operator_handle is not None:
            operator_handle(exchange)
        elif exchange.path.startswith(SERVICES_PREFIX):
            _serve_service(services, exchange)
        elif any(path == exchange.path for _, path in [*_HANDLERS, *services.operator_handlers]):
            detail = f"{exchange.method} is not served here"
            refuse(exchange, Refusal(405, Reason.METHOD_NOT_ALLOWED, detail))
        else:
            refuse(exchange, Refusal(404, Reason.UNKNOWN_ROUTE, "nothing is served here"))

    return serve


def _refuse_stopping(exchange: Exchange) -> None:
    exchange.close_after()
    detail = "the node is stopping; ask /v1/entry for another"
    refuse(exchange, Refusal(503, Reason.STOPPING, detail, retry_after_seconds=1))


def _serve_entry(services: ApiServices, exchange: Exchange) -> None:
    keep_until = time.time() + services.entry_seconds
    value = {"addresses": services.list_entry_addresses(), "keep_until": keep_until}
    _respond(exchange, 200, value)


def _serve_health(services: ApiServices, exchange: Exchange) -> None:
    _respond(exchange, 200, {"healthy": True})


def _serve_readiness(services: ApiServices, exchange: Exchange) -> None:
    ready = services.is_ready() and not services.is_stopping()
    _respond(exchange, 200 if ready else 503, {"ready": ready})


def _serve_metrics(services: ApiServices, exchange: Exchange) -> None:
    exchange.respond(200, {"Content-Type": "text/plain; version=0.0.4"}, render_metrics())


def _serve_chat(services: ApiServices, exchange: Exchange) -> None:
    workspace = _admit(services, exchange)
    if workspace is None:
        return
    match read_model(exchange.body):
        case Err(refusal):
            refuse(exchange, refusal)
            return
        case Ok((model, body)):
            pass
    route = services.configuration.routes().get(model)
    if route is None or not _may_use(workspace, route) or route.protocol != RouteProtocol.CHAT:
        refuse(exchange, Refusal(404, Reason.UNKNOWN_ROUTE, f"no route serves model {model!r}"))
        return
    match check_chat_request(body, exchange.body, route):
        case Err(refusal):
            refuse(exchange, refusal)
        case Ok(request):
            caller_key = exchange.headers.get("idempotency-key")
            request_id = caller_key or uuid4().hex
            key = RequestKey(workspace, request_id, request.fingerprint, caller_key is None)
            weight = services.configuration.workspaces()[workspace].weight
            ChatRun(services.chat, exchange, key, route, request, weight).start()


def _serve_service(services: ApiServices, exchange: Exchange) -> None:
    has_key = "idempotency-key" in exchange.headers
    workspace = _admit(services, exchange, Ran.UNKNOWN if has_key else Ran.NO)
    if workspace is None:
        return
    name, rest = read_route_name(exchange.path)
    route = services.configuration.routes().get(name)
    if route is None or not _may_use(workspace, route) or route.protocol != RouteProtocol.PLAIN:
        refuse(exchange, Refusal(404, Reason.UNKNOWN_ROUTE, f"no service route {name!r}"))
        return
    make_service_run(services.calls, exchange, workspace, route, rest).start()


def _admit(services: ApiServices, exchange: Exchange, ran: Ran = Ran.NO) -> str | None:
    if not services.is_ready():
        detail = "the node is starting"
        refusal = Refusal(503, Reason.NOT_READY, detail, ran, retry_after_seconds=1)
        refuse(exchange, refusal)
        return None
    workspace = authenticate(services.configuration, exchange.headers)
    if workspace is None:
        refuse(exchange, Refusal(401, Reason.BAD_CREDENTIALS, "the key is not known"))
        return None
    if len(exchange.headers.get("idempotency-key", "")) > KEY_LENGTH_MAX:
        refuse(exchange, Refusal(400, Reason.BAD_REQUEST, "the idempotency key is too long"))
        return None
    return workspace


def _may_use(workspace: str, route: Route) -> bool:
    return route.workspaces is None or workspace in route.workspaces


def _respond(exchange: Exchange, status: int, value: dict[str, Any]) -> None:
    exchange.respond(status, JSON_HEADERS, json.dumps(value).encode())


_HANDLERS: dict[tuple[str, str], Callable[[ApiServices, Exchange], None]] = {
    ("GET", "/v1/entry"): _serve_entry,
    ("GET", "/healthz"): _serve_health,
    ("GET", "/readyz"): _serve_readiness,
    ("GET", "/metrics"): _serve_metrics,
    ("POST", "/v1/chat/completions"): _serve_chat,
}
