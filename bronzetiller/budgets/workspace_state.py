"""Hold the state of a node's token supply for each workspace."""

from collections import deque
from collections.abc import Callable

from attrs import define, field

from bronzetiller.budgets.demand import Demand
from bronzetiller.budgets.sources import TokenRequestOutcome
from bronzetiller.errors import Refusal
from bronzetiller.net.scheduler import Timer


@define(eq=False)
class Waiter:
    """Hold a queued request; local if it is a caller's and not a peer's token request.

    try_serve returns True once it has served the request. extended is set once the wait has been
    extended after a pause of the process.
    """

    tokens: int
    try_serve: Callable[[], bool]
    refuse: Callable[[Refusal], None]
    local: bool
    extended: bool = False
    timer: Timer | None = None


@define(eq=False)
class WorkspaceState:
    """Hold the demand for tokens of one workspace, the queued requests and pending operations.

    pending_grant_id is the grant that the ledger has yet to apply; from probe_at on (monotonic
    seconds), the log is read directly to look for it. peer_outcome is the result of the last round
    of token requests, until the next retry. round_count counts the rounds since the queue was last
    empty, short_rounds the latest consecutive ones in which the fleet had too few tokens.
    reserve_tokens is the region's reserve if this node holds it.
    """

    demand: Demand
    waiters: deque[Waiter] = field(factory=deque)
    pending_grant_id: str | None = None
    probe_at: float = 0.0
    peer_request_running: bool = False
    peer_outcome: TokenRequestOutcome | None = None
    short_rounds: int = 0
    round_count: int = 0
    retry_timer: Timer | None = None
    last_used_at: float = 0.0
    reserve_tokens: int = 0
