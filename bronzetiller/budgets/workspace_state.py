"""Hold what a node needs of each workspace's tokens and what waits for them."""

from collections import deque
from collections.abc import Callable

from attrs import define, field

from bronzetiller.budgets.demand import Demand
from bronzetiller.budgets.sources import TokenRequestOutcome
from bronzetiller.errors import Refusal
from bronzetiller.net.scheduler import Timer


@define(eq=False)
class Waiter:
    """Hold one request that waits for tokens, of a caller here or of a peer."""

    tokens: int
    try_serve: Callable[[], bool]
    refuse: Callable[[Refusal], None]
    local: bool
    extended: bool = False
    timer: Timer | None = None


@define(eq=False)
class WorkspaceState:
    """Hold what a node knows of its need for the tokens of one workspace."""

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
