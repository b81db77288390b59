"""Route the requests of callers and operators by path."""

import json
import time
from collections.abc import Callable
from typing import Any
from uuid import uuid4

from attrs import define
from result import Err, Ok

from bronzetiller.callers.authentication import authenticate
from bronzetiller.callers.chat import JSON_HEADERS, ChatContext, ChatRequestHandler
from bronzetiller.callers.chat_request import (
    IDEMPOTENCY_KEY_LENGTH_MAX,
    check_chat_request,
    decode_model,
)
from bronzetiller.callers.problems import refuse
from bronzetiller.callers.service_calls import (
    SERVICES_PREFIX,
    ServiceCallContext,
    make_service_call_handler,
    split_route_path,
)
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.records import Route, RouteProtocol
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.metrics import render_metrics
from bronzetiller.net.exchange import Exchange
from bronzetiller.requests.admission import RequestKey

REQUEST_PATHS = ("/v1/chat/", "/services/")


@define
class ApiContext:
    """Hold the dependencies of the HTTP API; callers may cache addresses for entry_seconds."""

    configuration: Configuration
    chat: ChatContext
    calls: ServiceCallContext
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    is_refusing: Callable[[], bool]
    list_entry_addresses: Callable[[], list[str]]
    operator_handlers: dict[tuple[str, str], Callable[[Exchange], None]]
    entry_seconds: float


def make_application(context: ApiContext) -> Callable[[Exchange], None]:
    """Return the application that serves every request of a node."""

    def serve(exchange: Exchange) -> None:
        if context.is_stopping():
            exchange.close_after_response()
        if context.is_refusing() and exchange.path.startswith(REQUEST_PATHS):
            _refuse_stopping(exchange)
            return
        key = exchange.method, exchange.path
        handle = _HANDLERS.get(key)
        operator_handle = context.operator_handlers.get(key)
        if handle is not None:
            handle(context, exchange)
        elif operator_handle is not None:
            operator_handle(exchange)
        elif exchange.path.startswith(SERVICES_PREFIX):
            _serve_service(context, exchange)
        elif any(path == exchange.path for _, path in [*_HANDLERS, *context.operator_handlers]):
            detail = f"the method {exchange.method} is not allowed for this path"
            refuse(exchange, Refusal(405, Reason.METHOD_NOT_ALLOWED, detail))
        else:
            refuse(exchange, Refusal(404, Reason.UNKNOWN_ROUTE, "no resource has this path"))

    return serve


def _refuse_stopping(exchange: Exchange) -> None:
    exchange.close_after_response()
    detail = "the node is stopping; get the address of another node from /v1/entry"
    refuse(exchange, Refusal(503, Reason.STOPPING, detail, retry_after_seconds=1))


def _serve_entry(context: ApiContext, exchange: Exchange) -> None:
    keep_until = time.time() + context.entry_seconds
    value = {"addresses": context.list_entry_addresses(), "keep_until": keep_until}
    _respond(exchange, 200, value)


def _serve_health(context: ApiContext, exchange: Exchange) -> None:
    _respond(exchange, 200, {"healthy": True})


def _serve_readiness(context: ApiContext, exchange: Exchange) -> None:
    ready = context.is_ready() and not context.is_stopping()
    _respond(exchange, 200 if ready else 503, {"ready": ready})


def _serve_metrics(context: ApiContext, exchange: Exchange) -> None:
    exchange.respond(200, {"Content-Type": "text/plain; version=0.0.4"}, render_metrics())


def _serve_chat(context: ApiContext, exchange: Exchange) -> None:
    workspace = _check_access(context, exchange)
    if workspace is None:
        return
    match decode_model(exchange.body):
        case Err(refusal):
            refuse(exchange, refusal)
            return
        case Ok((model, body)):
            pass
    route = context.configuration.routes().get(model)
    if route is None or not _may_use(workspace, route) or route.protocol != RouteProtocol.CHAT:
        refuse(exchange, Refusal(404, Reason.UNKNOWN_ROUTE, f"no route for model {model!r}"))
        return
    match check_chat_request(body, exchange.body, route):
        case Err(refusal):
            refuse(exchange, refusal)
        case Ok(request):
            caller_key = exchange.headers.get("idempotency-key")
            request_id = caller_key or uuid4().hex
            key = RequestKey(
                workspace,
                request_id,
                request.fingerprint,
                caller_key is None,
                request.segments,
            )
            weight = context.configuration.workspaces()[workspace].weight
            ChatRequestHandler(context.chat, exchange, key, route, request, weight).start()


def _serve_service(context: ApiContext, exchange: Exchange) -> None:
    has_key = "idempotency-key" in exchange.headers
    workspace = _check_access(context, exchange, Ran.UNKNOWN if has_key else Ran.NO)
    if workspace is None:
        return
    name, service_path = split_route_path(exchange.path)
    route = context.configuration.routes().get(name)
    if route is None or not _may_use(workspace, route) or route.protocol != RouteProtocol.PLAIN:
        refuse(exchange, Refusal(404, Reason.UNKNOWN_ROUTE, f"no route for service {name!r}"))
        return
    make_service_call_handler(context.calls, exchange, workspace, route, service_path).start()


def _check_access(context: ApiContext, exchange: Exchange, ran: Ran = Ran.NO) -> str | None:
    if not context.is_ready():
        detail = "the node is starting"
        refusal = Refusal(503, Reason.NOT_READY, detail, ran, retry_after_seconds=1)
        refuse(exchange, refusal)
        return None
    workspace = authenticate(context.configuration, exchange.headers)
    if workspace is None:
        refuse(exchange, Refusal(401, Reason.BAD_CREDENTIALS, "the API key is unknown"))
        return None
    if len(exchange.headers.get("idempotency-key", "")) > IDEMPOTENCY_KEY_LENGTH_MAX:
        refuse(exchange, Refusal(400, Reason.BAD_REQUEST, "the idempotency key is too long"))
        return None
    return workspace


def _may_use(workspace: str, route: Route) -> bool:
    return route.workspaces is None or workspace in route.workspaces


def _respond(exchange: Exchange, status: int, value: dict[str, Any]) -> None:
    exchange.respond(status, JSON_HEADERS, json.dumps(value).encode())


_HANDLERS: dict[tuple[str, str], Callable[[ApiContext, Exchange], None]] = {
    ("GET", "/v1/entry"): _serve_entry,
    ("GET", "/healthz"): _serve_health,
    ("GET", "/readyz"): _serve_readiness,
    ("GET", "/metrics"): _serve_metrics,
    ("POST", "/v1/chat/completions"): _serve_chat,
}
