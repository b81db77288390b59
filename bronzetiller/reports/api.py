"""Serve reports, budgets and bills to operators, and its own budget and bills to a workspace."""

import hmac
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import cattrs
from attrs import define

from bronzetiller.budgets.shards import Shards
from bronzetiller.callers.authentication import authenticate, read_key
from bronzetiller.callers.problems import refuse
from bronzetiller.configuration.fold import Configuration
from bronzetiller.digests import digest_key
from bronzetiller.errors import Reason, Refusal
from bronzetiller.net.exchange import Exchange
from bronzetiller.reports.budgets import report_bills, report_budget
from bronzetiller.reports.report import Report, list_items

JSON_HEADERS = {"Content-Type": "application/json"}
BILLS_MAX = 1_000

Handler = Callable[[Exchange], None]


@define
class ReportContext:
    """Hold the parts of the node that the report handlers use."""

    configuration: Configuration
    shards: Shards
    token_digests: list[str]
    is_ready: Callable[[], bool]
    make_report: Callable[[int], Report]


def make_operator_handlers(context: ReportContext) -> dict[tuple[str, str], Handler]:
    """Return the handlers of the report paths by method and path."""

    def require_operator(handle: Callable[[ReportContext, Exchange], None]) -> Handler:
        def serve(exchange: Exchange) -> None:
            if not is_operator(context.token_digests, exchange.headers):
                refuse(
                    exchange,
                    Refusal(401, Reason.BAD_CREDENTIALS, "the token is not an operator's token"),
                )
                return
            handle(context, exchange)

        return serve

    def require_ready(handle: Handler) -> Handler:
        """Refuse requests while the node is starting, since its data is still incomplete."""

        def serve(exchange: Exchange) -> None:
            if not context.is_ready():
                detail = "the node is starting"
                refusal = Refusal(503, Reason.NOT_READY, detail, retry_after_seconds=1)
                refuse(exchange, refusal)
                return
            handle(exchange)

        return serve

    return {
        ("GET", "/v1/report"): require_operator(_serve_report),
        ("GET", "/v1/configuration"): require_ready(require_operator(_serve_configuration)),
        ("GET", "/v1/decision"): require_operator(_serve_decision),
        ("GET", "/v1/budget"): require_ready(lambda exchange: _serve_budget(context, exchange)),
        ("GET", "/v1/bills"): require_ready(lambda exchange: _serve_bills(context, exchange)),
    }


def is_operator(token_digests: list[str], headers: dict[str, str]) -> bool:
    """Return whether a request carries an operator's token."""
    token = read_key(headers)
    if token is None:
        return False
    digest = digest_key(token)
    return any(hmac.compare_digest(digest, known) for known in token_digests)


def _serve_report(context: ReportContext, exchange: Exchange) -> None:
    _respond(exchange, context.make_report(_get_query_number(exchange, "from", 0)))


def _serve_configuration(context: ReportContext, exchange: Exchange) -> None:
    _respond(exchange, list_items(context.configuration))


def _serve_decision(context: ReportContext, exchange: Exchange) -> None:
    decision = context.configuration.find_decision(_get_query_text(exchange, "record_id"))
    if decision is None:
        refuse(
            exchange, Refusal(404, Reason.NOT_FOUND, "the node knows no decision on this record")
        )
        return
    _respond(exchange, decision)


def _serve_budget(context: ReportContext, exchange: Exchange) -> None:
    workspace = _authorize_workspace(context, exchange)
    if workspace is None:
        return
    report = report_budget(context.shards.find(workspace).ledger, workspace)
    if report is None:
        refuse(exchange, Refusal(404, Reason.NOT_FOUND, "the workspace has no budget"))
        return
    _respond(exchange, report)


def _serve_bills(context: ReportContext, exchange: Exchange) -> None:
    workspace = _authorize_workspace(context, exchange)
    if workspace is None:
        return
    limit = min(BILLS_MAX, _get_query_number(exchange, "limit", BILLS_MAX))
    _respond(exchange, report_bills(context.shards.find(workspace).ledger, workspace, limit))


def _authorize_workspace(context: ReportContext, exchange: Exchange) -> str | None:
    """Return the workspace whose data the caller may read, or refuse the request."""
    requested = _get_query_text(exchange, "workspace")
    if is_operator(context.token_digests, exchange.headers):
        if not requested:
            refuse(
                exchange,
                Refusal(400, Reason.BAD_REQUEST, "the query parameter workspace is missing"),
            )
        return requested or None
    key_workspace = authenticate(context.configuration, exchange.headers)
    if key_workspace is None:
        refuse(exchange, Refusal(401, Reason.BAD_CREDENTIALS, "the API key is unknown"))
        return None
    if requested not in ("", key_workspace):
        refuse(exchange, Refusal(403, Reason.FORBIDDEN, "the API key belongs to another workspace"))
        return None
    return key_workspace


def _get_query_text(exchange: Exchange, name: str) -> str:
    return parse_qs(exchange.query).get(name, [""])[0]


def _get_query_number(exchange: Exchange, name: str, default: int) -> int:
    text = _get_query_text(exchange, name)
    return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else default


def _respond(exchange: Exchange, value: Any) -> None:
    exchange.respond(200, JSON_HEADERS, json.dumps(cattrs.unstructure(value)).encode())
