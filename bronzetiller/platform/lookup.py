"""Serve the platform's readiness checks and the address lookups of callers."""

import json
from collections.abc import Callable
from urllib.parse import parse_qs

from bronzetiller.net.exchange import Exchange

ADDRESSES_MAX = 64
_JSON = {"Content-Type": "application/json"}


def make_readiness_application(is_ready: Callable[[], bool]) -> Callable[[Exchange], None]:
    """Return an HTTP application that reports whether the node is ready to serve callers."""

    def serve(exchange: Exchange) -> None:
        if exchange.path != "/-/readyz":
            exchange.respond(404, _JSON, b"{}")
            return
        ready = is_ready()
        exchange.respond(200 if ready else 503, _JSON, json.dumps({"ready": ready}).encode())

    return serve


def make_lookup_application(
    list_addresses: Callable[[str], list[str]], entry_seconds: float
) -> Callable[[Exchange], None]:
    """Return an HTTP application that lists the node addresses for a caller's data centre."""

    def serve(exchange: Exchange) -> None:
        if exchange.path != "/-/resolve":
            exchange.respond(404, _JSON, b"{}")
            return
        zone = parse_qs(exchange.query).get("zone", [""])[0]
        addresses = list_addresses(zone)[:ADDRESSES_MAX]
        if not addresses:
            exchange.respond(503, _JSON, b"{}")
            return
        value = {"addresses": addresses, "ttl_s": entry_seconds}
        exchange.respond(200, _JSON, json.dumps(value).encode())

    return serve
