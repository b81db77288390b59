"""Stand-in for the platform's list of live and leaving VMs, which PUT /control/vms replaces.

python -m standins.vms --listen ip:port [--lag-seconds S]
"""

import argparse
import json
from typing import Any

from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop, make_loop
from standins.process import respond_json, serve


class VmList:
    def __init__(self, loop: Loop, lag_seconds: float) -> None:
        self._loop = loop
        self._lag_seconds = lag_seconds
        self._vms: list[dict[str, Any]] = []
        self._down = False

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == "/control/vms":
            vms = json.loads(exchange.body)["vms"]
            self._loop.scheduler.call_after(self._lag_seconds, lambda: self._set_vms(vms))
            respond_json(exchange, 200, {})
        elif exchange.path == "/control/faults":
            self._down = json.loads(exchange.body)["down"]
            respond_json(exchange, 200, {})
        elif self._down:
            exchange.abort()
        else:
            respond_json(exchange, 200, {"vms": self._vms})

    def _set_vms(self, vms: list[dict[str, Any]]) -> None:
        self._vms = vms


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--lag-seconds", type=float, default=0.0)
    arguments = parser.parse_args()
    loop = make_loop()
    serve(loop, "vms", arguments.listen, VmList(loop, arguments.lag_seconds).serve)


if __name__ == "__main__":
    main()
