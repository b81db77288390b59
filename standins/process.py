"""Run one stand-in as a process on the loop of the fleet."""

import json
import sys
from collections.abc import Callable
from typing import Any

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_server import HttpLimits, HttpServer
from bronzetiller.net.loop import Loop

BODY_BYTES_MAX = 64 * 1024 * 1024
UNSENT_BYTES_MAX = 16 * 1024 * 1024


def respond_json(exchange: Exchange, status: int, value: Any) -> None:
    exchange.respond(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


def _reject(status: int, detail: str) -> tuple[dict[str, str], bytes]:
    return {"Content-Type": "text/plain"}, detail.encode()


def serve(loop: Loop, kind: str, address: str, application: Callable[[Exchange], None]) -> None:
    """Listen, print the ready line and run until a signal."""
    ip, _, port = address.rpartition(":")
    server = HttpServer(
        loop,
        ip,
        int(port),
        application,
        _reject,
        limits=HttpLimits(BODY_BYTES_MAX, unsent_bytes_max=UNSENT_BYTES_MAX),
        channel="standin",
    ).register(loop.root)
    print(f"ready kind={kind} address={ip}:{server.port}", flush=True)
    try:
        loop.root.run()
    except SystemExit:
        sys.exit(0)
