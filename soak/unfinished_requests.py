"""Send requests that never end, beside the callers whose requests are checked.

No target gets them, so they leave no runs.
"""

import threading
from collections.abc import Iterator
from random import Random

from attrs import define

from soak.environment import Environment
from standins.crowd import Crowd
from standins.gateway_fleet import HOST, KEY

CALLERS = 160  # half of them with bodies, of which a node holds 72 MiB by default
BODY_BYTES = 1_000_000
HEAD_BYTES = 15_000
HOLD_SECONDS = 1.0
SOURCE_IP = "127.0.0.2"  # apart from the address of ordinary callers and peers


@define(eq=False)
class UnfinishedRequests:
    """Attack one node after another until stopped."""

    environment: Environment
    random: Random
    stop: threading.Event

    def run(self) -> None:
        """Send the requests of many callers, hold their connections for a while, and close them."""
        while not self.stop.is_set():
            address = self.environment.fleet.address(self.random.choice(self.environment.nodes))
            crowd = Crowd(address, source_ip=SOURCE_IP)
            try:
                crowd.send(self._make_request() for _ in range(CALLERS))
                self.stop.wait(HOLD_SECONDS)
            finally:
                crowd.close()
            self.stop.wait(self.random.uniform(0, 4 * HOLD_SECONDS))

    def _make_request(self) -> Iterator[bytes]:
        head = f"POST /order/2f HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
        if self.random.random() < 0.5:
            yield f"{head}X-Padding: {'x' * HEAD_BYTES}".encode()
            return
        yield f"{head}Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        yield b"x" * (BODY_BYTES - 1)
