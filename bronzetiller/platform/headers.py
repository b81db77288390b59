"""Decode and make the HTTP headers of callers and targets."""

import math

from attrs import evolve

from bronzetiller.gateway.requests import (
    LoadReport,
    Prompt,
    PromptSegment,
    RequestMetadata,
    StatedBounds,
)
from bronzetiller.net.http_client import ResponseHead
from bronzetiller.requests.execution import MISDIRECTED_STATUS, ResponseFacts

_REQUEST_ID = "x-request-id"
_KEY = "api-key"
_DEADLINE = "x-deadline-ms"  # milliseconds remaining, not a point in time
_PREFIX = "x-prompt-prefix"
_USAGE = (
    "x-token-usage"  # prompt tokens and maximum completion tokens of the request, before it runs
)
_LAST_EVENT = "last-event-id"
_FORWARDED = "bronzetiller-forwarded"  # by a peer that reaches no target, after some attempts
_VERSION = "bronzetiller-version"  # of the configuration that the forwarding peer knows
_RESUMES = "resumes"  # the id of the attempt that brought a stream's first event
_NOT_RUN = "x-not-executed"
_EXPECTED_TARGET = "x-expect-instance"
_TARGET = "x-instance-id"  # of the target that responds
_WORKSPACE = "x-tenant"
_PRIORITY = "x-request-priority"
_LOAD = "x-server-load"
_USUAL_PERCENT = 100  # the figure that a target states when work takes as long as usual
_REQUEST_LIMIT = "server-limit"  # requests per second from all nodes together
_REFUSALS_SURVIVED = "server-brittle"  # refusals per second; one more ends the target
_SEAL = "x-response-seal"
_RETRY_AFTER = "retry-after"
_LEAVING = "server-leaving"
_WARM_UP = "x-warmup-ms"  # milliseconds until the target is warm

# Only the router sets these headers; those that a caller sends are dropped.
_ROUTER_HEADERS = {
    _KEY,
    _DEADLINE,
    _EXPECTED_TARGET,
    _WORKSPACE,
    _PRIORITY,
    _FORWARDED,
    _VERSION,
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
    "x-expect-version",
}
_HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
}
PRIORITY_MAX = 9


def decode_request_metadata(headers: dict[str, str]) -> RequestMetadata:
    """Decode the headers of a caller's request; a malformed number counts as missing."""
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    dropped = _ROUTER_HEADERS | _HOP_BY_HOP_HEADERS | named
    deadline_ms = _parse_int(headers.get(_DEADLINE))
    return RequestMetadata(
        request_id=headers.get(_REQUEST_ID, ""),
        key=headers.get(_KEY, ""),
        seconds_left=None if deadline_ms is None else max(0, deadline_ms) / 1000,
        prompt=_decode_prompt(headers),
        last_event_id=_parse_int(headers.get(_LAST_EVENT)),
        resumes=headers.get(_RESUMES) or None,
        forwarded_attempts=_parse_int(headers.get(_FORWARDED)),
        forwarded_version=_parse_int(headers.get(_VERSION)),
        forwarded_headers={name: value for name, value in headers.items() if name not in dropped},
    )


def make_target_headers(
    metadata: RequestMetadata,
    *,
    seconds_left: float,
    target_id: str,
    workspace: str | None,
    priority: int,
    last_event_id: int | None,
) -> dict[str, str]:
    """Return the headers of a request to a target."""
    headers = dict(metadata.forwarded_headers)
    headers[_DEADLINE] = str(max(1, int(seconds_left * 1000)))
    headers[_EXPECTED_TARGET] = target_id
    headers[_PRIORITY] = str(min(PRIORITY_MAX, max(0, priority)))
    if workspace is not None:
        headers[_WORKSPACE] = workspace
    if last_event_id is not None:
        headers[_LAST_EVENT] = str(last_event_id)
    return headers


def make_forwarded_headers(
    metadata: RequestMetadata, *, peer_id: str, seconds_left: float, attempts: int, version: int
) -> dict[str, str]:
    """Return the headers of a request that a peer is to serve for its caller.

    A target that has taken over the peer's address refuses a request that expects another one.
    """
    headers = dict(metadata.forwarded_headers)
    headers[_DEADLINE] = str(max(1, int(seconds_left * 1000)))
    headers[_FORWARDED] = str(attempts)
    headers[_VERSION] = str(version)
    headers[_EXPECTED_TARGET] = peer_id
    if metadata.key:
        headers[_KEY] = metadata.key
    return headers


def make_response_headers(head: ResponseHead) -> dict[str, str]:
    """Return the headers of a target's response to forward to the caller."""
    return {name: value for name, value in head.headers.items() if name not in _HOP_BY_HOP_HEADERS}


def is_matching_response(head: ResponseHead, request_id: str) -> bool:
    """Return whether a response belongs to a request; one without a request id is accepted."""
    return head.headers.get(_REQUEST_ID, request_id) == request_id


def names_request(head: ResponseHead, request_id: str) -> bool:
    """Return whether a response names the request that it belongs to."""
    return head.headers.get(_REQUEST_ID, "") == request_id


def decode_response_facts(
    head: ResponseHead, request_id: str, *, is_first: bool = True
) -> ResponseFacts:
    """Decode what a response says of a request; each request names the target that it expects."""
    states_not_run = _NOT_RUN in head.headers or head.status == MISDIRECTED_STATUS
    return ResponseFacts(
        head.status,
        names_request(head, request_id),
        states_not_run,
        is_sealed=_SEAL in head.headers,
        is_first=is_first,
    )


def make_not_run_headers(metadata: RequestMetadata) -> dict[str, str]:
    """Return the headers by which a peer learns that its forwarded request was not run."""
    if metadata.forwarded_attempts is None:
        return {}
    return {_REQUEST_ID: metadata.request_id, _NOT_RUN: "1"}


def decode_load_report(head: ResponseHead) -> LoadReport | None:
    """Decode the load that a target reports: running and waiting requests, and slots.

    A fourth figure states how long work takes there now, in hundredths of its usual time.
    """
    numbers = [_parse_int(part) for part in head.headers.get(_LOAD, "").split(",")]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    running, waiting, slots = numbers[:3]
    percent = numbers[3] if len(numbers) == 4 else _USUAL_PERCENT
    slowdown = (percent or _USUAL_PERCENT) / _USUAL_PERCENT
    return LoadReport(running, waiting, slots, slowdown)  # type: ignore[arg-type]


def decode_stated_bounds(head: ResponseHead, request_id: str) -> StatedBounds:
    """Decode the bounds that a target states; a malformed one counts as none.

    A response that does not name its request may be an old one, which says nothing of a departure,
    a pause or a warm-up.
    """
    is_named = names_request(head, request_id)
    pauses = is_named and head.status == 503
    return StatedBounds(
        _parse_number(head.headers.get(_REQUEST_LIMIT)),
        _parse_number(head.headers.get(_REFUSALS_SURVIVED)),
        _parse_number(head.headers.get(_RETRY_AFTER)) if pauses else None,
        is_named and head.headers.get(_LEAVING, "").strip() == "1",
        decode_warm_up(head) if is_named else None,
    )


def decode_warm_up(head: ResponseHead) -> float | None:
    """Decode the seconds until a target is warm, None if the response does not state them."""
    milliseconds = _parse_number(head.headers.get(_WARM_UP))
    return None if milliseconds is None else milliseconds / 1000


def is_from_target(head: ResponseHead, target_id: str) -> bool:
    """Return whether a response may be of a target; another one may have taken its address."""
    return head.headers.get(_TARGET, target_id) == target_id


def _parse_number(text: str | None) -> float | None:
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _decode_prompt(headers: dict[str, str]) -> Prompt | None:
    usage = headers.get(_USAGE)
    if usage is None:
        return None
    numbers = [_parse_int(part) for part in usage.split(",")]
    if len(numbers) != 2 or None in numbers:
        return None
    prompt = Prompt(numbers[0], numbers[1])  # type: ignore[arg-type]
    segments = []
    for entry in headers.get(_PREFIX, "").split(","):
        segment_id, _, tokens = entry.strip().partition(":")
        size = _parse_int(tokens)
        if segment_id and size is not None:
            segments.append(PromptSegment(segment_id, size))
    return evolve(prompt, segments=tuple(segments))


def _parse_int(text: str | None) -> int | None:
    text = (text or "").strip()
    return int(text) if text.isdigit() and len(text) < 16 else None
