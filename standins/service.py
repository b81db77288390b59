"""Stand-in for a plain service that records the idempotency key of every execution.

python -m standins.service --listen ip:port [--seconds S]

The process exits under a request whose body has CRASH_MARKER, unless it is set to respond to all
requests with a status.
"""

import argparse
import json
import os
from typing import Any

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop, make_loop
from standins.process import respond_json, serve

CRASH_MARKER = "crash"


class Service:
    def __init__(self, loop: Loop, seconds: float) -> None:
        self._loop = loop
        self._seconds = seconds
        self._status: int | None = None
        self._runs: list[dict[str, Any]] = []

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == "/control/runs":
            respond_json(exchange, 200, {"runs": self._runs})
            return
        if exchange.path == "/control/settings":
            settings = json.loads(exchange.body)
            self._seconds = float(settings.get("seconds", self._seconds))
            self._status = settings.get("status")
            respond_json(exchange, 200, {})
            return
        key = exchange.headers.get("idempotency-key", "")
        attempt_id = exchange.headers.get("x-request-id", "")
        self._runs.append({"key": key, "path": exchange.path, "attempt_id": attempt_id})
        if self._status is None and CRASH_MARKER.encode() in exchange.body:
            os._exit(1)
        self._loop.scheduler.call_after(self._seconds, lambda: self._respond(exchange, attempt_id))

    def _respond(self, exchange: Exchange, attempt_id: str) -> None:
        value = {
            "path": exchange.path,
            "echo": exchange.body.decode("utf-8", "replace"),
            "run": len(self._runs),
        }
        headers = {"Content-Type": "application/json", "X-Request-Id": attempt_id}
        exchange.respond(self._status or 200, headers, json.dumps(value).encode())


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--seconds", type=float, default=0.01)
    arguments = parser.parse_args()
    loop = make_loop()
    serve(loop, "service", arguments.listen, Service(loop, arguments.seconds).serve)


if __name__ == "__main__":
    main()
