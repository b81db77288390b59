"""Respond to refused requests with problem+json (RFC 9457)."""

import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.logs import log_event
from bronzetiller.metrics import REFUSALS
from bronzetiller.net.event_stream import format_event
from bronzetiller.net.exchange import Exchange

_STATUS_REASONS = {
    408: Reason.REQUEST_TIMEOUT,
    413: Reason.REQUEST_TOO_LARGE,
    431: Reason.REQUEST_TOO_LARGE,
    500: Reason.INTERNAL,
    503: Reason.OVERLOADED,
    504: Reason.DEADLINE,
}
_RAN_UNKNOWN_REASONS = {Reason.INTERNAL, Reason.DEADLINE}
OVERLOAD_RETRY_SECONDS = 1


def refuse(
    exchange: Exchange,
    refusal: Refusal,
    more_headers: Mapping[str, str] = MappingProxyType({}),
    **fields: Any,
) -> None:
    """Respond with a refusal, or send it as the last event of a started stream, left unterminated.

    The fields identify the request in the log.
    """
    record_refusal(refusal, **fields)
    if not exchange.started:
        headers = make_refusal_headers(refusal) | dict(more_headers)
        exchange.respond(refusal.status, headers, make_refusal_body(refusal))
        return
    exchange.fail(format_event(make_refusal_body(refusal)))


def make_rejection(status: int, detail: str) -> tuple[dict[str, str], bytes]:
    """Record a refusal by the HTTP server itself; return its headers and body."""
    reason = _STATUS_REASONS.get(status, Reason.BAD_REQUEST)
    ran = Ran.UNKNOWN if reason in _RAN_UNKNOWN_REASONS else Ran.NO
    retry_after = OVERLOAD_RETRY_SECONDS if reason is Reason.OVERLOADED else None
    refusal = Refusal(status, reason, detail, ran, retry_after)
    record_refusal(refusal)
    return make_refusal_headers(refusal), make_refusal_body(refusal)


def record_refusal(refusal: Refusal, **fields: Any) -> None:
    """Count and log a refusal; the fields identify the request."""
    REFUSALS.labels(refusal.reason, refusal.ran).inc()
    fields = {**fields, **refusal.log_fields}
    log_event("refused", reason=refusal.reason, ran=refusal.ran, detail=refusal.detail, **fields)


def make_refusal_headers(refusal: Refusal) -> dict[str, str]:
    """Return the headers of a refusal."""
    headers = {"Content-Type": "application/problem+json"}
    if refusal.retry_after_seconds is not None:
        headers["Retry-After"] = str(refusal.retry_after_seconds)
    return headers


def make_refusal_body(refusal: Refusal) -> bytes:
    """Return the body of a refusal as problem+json."""
    error = {"message": refusal.detail, "type": refusal.reason.value, "code": refusal.reason.value}
    value = {
        "type": f"urn:bronzetiller:refusal:{refusal.reason.value}",
        "title": refusal.reason.value.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": refusal.reason.value,
        "ran": refusal.ran.value,
        "retry_after_seconds": refusal.retry_after_seconds,
        "error": error,
    }
    return json.dumps(value).encode()
