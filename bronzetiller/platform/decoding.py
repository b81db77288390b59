"""Decode the operator's configuration and the registrations of targets."""

import math
from typing import Any

from result import Err, Ok, Result

from bronzetiller.gateway.configuration import (
    AllowedRegions,
    CallerLimits,
    GatewayConfiguration,
    PathRoute,
    ServiceConfiguration,
    WeightedBackend,
    WorkspaceConfiguration,
    sort_routes,
)
from bronzetiller.gateway.targets import Registration
from bronzetiller.json_values import decode_json
from bronzetiller.net.address import parse_address

CAUSE_CHARACTERS_MAX = 200


def decode_configuration(value: bytes) -> Result[GatewayConfiguration, str]:
    """Decode a configuration; an error names the malformed part."""
    try:
        document = decode_json(value)
        routes = [_decode_route(item) for item in document["routes"]]
        services = [_decode_service(item) for item in document["services"]]
        decoded_workspaces = [
            (_decode_workspace(item), item["api_keys"]) for item in document.get("tenants", [])
        ]
        return Ok(
            GatewayConfiguration(
                version=int(document["version"]),
                routes=sort_routes(routes),
                services={item.name: item for item in services},
                workspaces={workspace.name: workspace for workspace, _ in decoded_workspaces},
                keys={key: workspace for workspace, keys in decoded_workspaces for key in keys},
                limits=_decode_limits(document.get("limits", {})),
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"malformed configuration: {repr(error)[:CAUSE_CHARACTERS_MAX]}")


def _decode_route(item: dict[str, Any]) -> PathRoute:
    backends = [
        WeightedBackend(backend["service"], int(backend["weight"]))
        for backend in item.get("backends", ())
    ]
    if not backends:
        backends = [WeightedBackend(item["service"], 1)]
    streamed = item["kind"] == "streaming"
    # A stream is retryable only if it can be resumed, any other call only if it is idempotent.
    retryable = bool(item.get("resume_streams")) if streamed else item["kind"] == "idempotent"
    return PathRoute(
        name=item["name"],
        host=item["hostname"],
        path_prefix=item["path_prefix"],
        backends=tuple(backends),
        streamed=streamed,
        retryable=retryable,
        timeout_seconds=float(item["timeout_ms"]) / 1000,
        latency_target_seconds=float(item.get("target_latency_ms") or item["timeout_ms"]) / 1000,
        event_gap_seconds=float(item.get("gap_aim_ms") or 0) / 1000,
        attempts_max=max(1, int(item.get("max_attempts") or 1)),
        priority=int(item.get("priority") or 0),
        public=bool(item.get("public")),
        regions=_decode_regions(item),
    )


def _decode_regions(item: dict[str, Any]) -> AllowedRegions:
    """Decode the regions to which a route or workspace is limited; an empty list is no limit."""
    names = item.get("allowed_regions")
    if names is not None and not (isinstance(names, list) and all(map(_is_string, names))):
        raise ValueError(f"allowed_regions must be a list of region names, not {names!r}")
    return frozenset(names) if names else None


def _is_string(value: Any) -> bool:
    return isinstance(value, str)


def _decode_service(item: dict[str, Any]) -> ServiceConfiguration:
    engine = item.get("engine") or {}
    return ServiceConfiguration(
        name=item["name"],
        tokens_per_event=int(engine.get("stride") or (1 if engine else 0)),
        warm_up_seconds=_decode_positive(item.get("warmup_s")),
        warm_up_per_second=_decode_positive(item.get("warmup_per_s")),
    )


def _decode_positive(value: Any) -> float:
    """Decode a number that is 0 if it is missing, negative or not finite."""
    number = float(value or 0)
    return number if math.isfinite(number) and number > 0 else 0.0


def _decode_workspace(item: dict[str, Any]) -> WorkspaceConfiguration:
    prepaid = item.get("prepaid")
    priority = item.get("priority")
    return WorkspaceConfiguration(
        name=item["name"],
        priority=None if priority is None else int(priority),
        prepaid_tokens=None if prepaid is None else int(prepaid),
        regions=_decode_regions(item),
    )


def _decode_limits(item: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes_max=int(item.get("max_header_bytes") or defaults.head_bytes_max),
        body_bytes_max=int(item.get("max_body_bytes") or defaults.body_bytes_max),
        head_seconds=float(item.get("header_timeout_ms") or defaults.head_seconds * 1000) / 1000,
        idle_seconds=float(item.get("idle_timeout_ms") or defaults.idle_seconds * 1000) / 1000,
    )


def decode_registration(target_id: str, value: bytes) -> Result[Registration, str]:
    """Decode the registration of a target; an error names the malformed part."""
    try:
        item = decode_json(value)
        state = item["state"]
        if state not in ("ready", "draining"):
            return Err(f"state must be ready or draining, not {repr(state)[:CAUSE_CHARACTERS_MAX]}")
        for name in ("service", "address", "zone"):
            if not isinstance(item[name], str):
                return Err(f"{name} must be a string")
        slots = item["slots"]
        if type(slots) is not int or slots < 1:
            return Err("slots must be a positive integer")
        reported_start_ms = item.get("born", 0)
        heartbeat = item.get("sequence", 0)
        software = item.get("version", "")
        warm_up_ms = item.get("warmup_left_ms")
        return Ok(
            Registration(
                target_id=target_id,
                service=item["service"],
                address=parse_address(item["address"]),
                data_centre=item["zone"],
                slots=slots,
                leaving=state == "draining",
                started_ms=reported_start_ms if type(reported_start_ms) is int else 0,
                warm_up_seconds=None if warm_up_ms is None else _decode_positive(warm_up_ms) / 1000,
                software=software if isinstance(software, str) else "",
                heartbeat=heartbeat if type(heartbeat) is int else 0,
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(f"malformed registration: {repr(error)[:CAUSE_CHARACTERS_MAX]}")
