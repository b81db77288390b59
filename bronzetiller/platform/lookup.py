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
    list_addresses: Callable[[str, str, str], list[str]], entry_seconds: float
) -> Callable[[Exchange], None]:
    """Return an HTTP application that lists the node addresses for callers.

    list_addresses receives the data centre and the region of the caller, and the host that it wants
    to reach; each may be empty.
    """

    def serve(exchange: Exchange) -> None:
        if exchange.path != "/-/resolve":
            exchange.respond(404, _JSON, b"{}")
            return
        query = parse_qs(exchange.query)
        zone, region, name = (query.get(item, [""])[0] for item in ("zone", "region", "name"))
        addresses = list_addresses(zone, region, name)[:ADDRESSES_MAX]
        if not addresses:
            exchange.respond(503, _JSON, b"{}")
            return
        value = {"addresses": addresses, "ttl_s": entry_seconds}
        exchange.respond(200, _JSON, json.dumps(value).encode())

    return serve
