"""Send a request to a peer and wait for its response for as long as bytes arrive from the peer."""

from collections.abc import Callable
from typing import Protocol

from result import Err, Result

from bronzetiller.wire.messages import Message

CHECKS_PER_SILENCE = 4

ResponseCallback = Callable[[Result[Message, str]], None]


class _Scheduler(Protocol):
    def now(self) -> float: ...

    def call_after(self, seconds: float, action: Callable[[], None]) -> object: ...


class _Peers(Protocol):
    def request(
        self, node_id: str, message: Message, seconds: float, on_response: ResponseCallback
    ) -> None: ...

    def is_silent(self, node_id: str, since: float) -> bool: ...


def request_patiently(
    scheduler: _Scheduler,
    peers: _Peers,
    node_id: str,
    message: Message,
    on_response: ResponseCallback,
    *,
    silence_seconds: float,
    seconds_max: float,
) -> None:
    """Send a request; fail it once nothing has arrived for silence_seconds, or after seconds_max.

    The messages of a connection keep their order, so bytes that arrive may be a large response
    ahead of which nothing else can be received.
    """
    finished = False

    def finish(result: Result[Message, str]) -> None:
        nonlocal finished
        if not finished:
            finished = True
            on_response(result)

    def check_silence() -> None:
        if finished:
            return
        if peers.is_silent(node_id, scheduler.now() - silence_seconds):
            finish(Err("silence"))
        else:
            scheduler.call_after(silence_seconds / CHECKS_PER_SILENCE, check_silence)

    scheduler.call_after(silence_seconds, check_silence)
    peers.request(node_id, message, seconds_max, finish)
