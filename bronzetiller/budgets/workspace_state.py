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
class Account:
    """Hold what a node knows of its need for the tokens of one workspace."""

    demand: Demand
    waiters: deque[Waiter] = field(factory=deque)
    requested: str | None = None
    probe_at: float = 0.0
    asking: bool = False
    asked: TokenRequestOutcome | None = None
    short_rounds: int = 0
    rounds: int = 0
    retry: Timer | None = None
    used_at: float = 0.0
    reserve_tokens: int = 0
