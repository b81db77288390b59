"""Let the front drop a request whose bytes the node can no longer hold."""

from collections.abc import Callable

from bronzetiller.errors import Reason
from bronzetiller.net.dropped_requests import TOO_MANY_BYTES
from bronzetiller.net.exchange import Exchange
from bronzetiller.requests.execution import Execution

DEADLINE_PASSED = "the deadline passed before a target accepted the request"


def allow_drop(
    exchange: Exchange, execution: Execution, give_up: Callable[[Reason, str], None]
) -> None:
    """Let the request be refused while no target can have run it."""
    exchange.may_drop = lambda: not execution.may_have_run
    exchange.on_drop = lambda: give_up(Reason.OVERLOADED, TOO_MANY_BYTES)
