"""Run a stand-in as a process with an HTTP server on the fleet's event loop."""

import argparse
import json
import sys
from collections.abc import Callable
from typing import Any

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.http_server import HttpLimits, HttpServer
from bronzetiller.net.loop import Loop, make_loop

BODY_BYTES_MAX = 64 * 1024 * 1024
UNSENT_BYTES_MAX = 16 * 1024 * 1024


def respond_json(exchange: Exchange, status: int, value: Any) -> None:
    exchange.respond(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


def _make_rejection(status: int, detail: str) -> tuple[dict[str, str], bytes]:
    return {"Content-Type": "text/plain"}, detail.encode()


def listen(
    loop: Loop, address: str, application: Callable[[Exchange], None], channel: str = "standin"
) -> str:
    """Serve HTTP requests at an address; return it with the port that was bound."""
    ip, _, port = address.rpartition(":")
    server = HttpServer(
        loop,
        ip,
        int(port),
        application,
        _make_rejection,
        limits=HttpLimits(BODY_BYTES_MAX, unsent_bytes_max=UNSENT_BYTES_MAX),
        channel=channel,
    ).register(loop.root)
    return f"{ip}:{server.port}"


def serve(loop: Loop, kind: str, address: str, application: Callable[[Exchange], None]) -> None:
    """Listen, print the ready line and serve requests until a signal stops the process."""
    bound = listen(loop, address, application)
    print(f"ready kind={kind} address={bound}", flush=True)
    try:
        loop.root.run()
    except SystemExit:
        sys.exit(0)


def run_record_store(
    kind: str, make_application: Callable[[Loop, int], Callable[[Exchange], None]]
) -> None:
    """Run a stand-in that stores records; its arguments are --listen and --keep-records."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--keep-records", type=int, default=1_000_000)
    arguments = parser.parse_args()
    loop = make_loop()
    serve(loop, kind, arguments.listen, make_application(loop, arguments.keep_records))
