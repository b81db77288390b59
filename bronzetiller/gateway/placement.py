"""Choose the target of a request; pure.

The load this answers: model requests whose prompts share long parts, spread over engines that
keep what they have read, and short calls of plain services; many nodes choose at once, each with
reports that are some hundred milliseconds old.
"""

import hashlib
from collections.abc import Callable, Collection

from attrs import frozen

from bronzetiller.gateway.engines import Engine
from bronzetiller.gateway.requests import Prompt

PREFILL_TOKENS_PER_SECOND = 60_000.0  # the pages give 61 and 66 tokens a millisecond
CROWD_FACTOR = 2.0  # prompts that wait at an engine for each one that this node sent there
BUSY_SECONDS = 0.08  # what a full batch adds to the first token, by its step times
FULL_SECONDS = 1.0  # waiting for a slot of a full target: about half of a stream's length
FAILING_SECONDS = 2.0  # weight of a target's share of failures, about one lost attempt


@frozen
class Distances:
    """Say how far data centres are; the seconds weigh both delay and the price of the bytes."""

    data_centre: str
    region: str
    regions: dict[str, str]
    near_seconds: float = 0.01
    far_seconds: float = 0.12

    def estimate(self, data_centre: str) -> float:
        """Return the cost (seconds) of sending work to a data centre."""
        if data_centre == self.data_centre:
            return 0.0
        if self.regions.get(data_centre) == self.region:
            return self.near_seconds
        return self.far_seconds


@frozen
class Demand:
    """Describe the work to place; the mark is the same for requests that share a prompt."""

    prompt: Prompt | None
    mark: str


def make_demand(prompt: Prompt | None) -> Demand:
    """Describe a request by the last part of its prompt that others share."""
    shared = prompt.shared_parts if prompt is not None else ()
    return Demand(prompt, shared[-1].part_id if shared else "")


def choose_engine(
    engines: Collection[Engine],
    demand: Demand,
    distances: Distances,
    now: float,
    draw: Callable[[], float],
) -> Engine | None:
    """Return the engine with the least expected cost; a small draw breaks ties."""
    usable = [engine for engine in engines if engine.avoid_until <= now]
    candidates = usable or list(engines)
    if not candidates:
        return None
    home = find_home(candidates, demand, distances)

    def estimate(engine: Engine) -> float:
        return estimate_cost(engine, demand, distances, now, is_home=engine is home) + (
            0.002 * draw()
        )

    return min(candidates, key=estimate)


def find_home(engines: Collection[Engine], demand: Demand, distances: Distances) -> Engine | None:
    """Return the engine that all nodes of a data centre send a shared prompt to (rendezvous)."""
    if not demand.mark:
        return None
    nearest = min(distances.estimate(engine.registration.data_centre) for engine in engines)
    near = [
        engine
        for engine in engines
        if distances.estimate(engine.registration.data_centre) == nearest
    ]
    return max(near, key=lambda engine: _rank(demand.mark, engine.engine_id))


def estimate_cost(
    engine: Engine, demand: Demand, distances: Distances, now: float, *, is_home: bool
) -> float:
    """Estimate what placing a request costs (seconds): way, prefill, load and failures."""
    load = engine.estimate_load(now) / engine.registration.slots
    cost = distances.estimate(engine.registration.data_centre)
    cost += count_unread(engine, demand, is_home=is_home) / PREFILL_TOKENS_PER_SECOND
    cost += CROWD_FACTOR * engine.unread_tokens / PREFILL_TOKENS_PER_SECOND
    cost += engine.estimate_delay(now)
    cost += BUSY_SECONDS * load * (1 + load)
    if load >= 1:
        cost += FULL_SECONDS * load
    return cost + FAILING_SECONDS * engine.failure_share


def count_unread(engine: Engine, demand: Demand, *, is_home: bool) -> int:
    """Return the prompt tokens that the engine is expected to read."""
    if demand.prompt is None:
        return 0
    known = 0
    for part in demand.prompt.parts:
        if not is_home and part.part_id not in engine.cached_parts:
            break
        if is_home and part is demand.prompt.parts[-1] and part.part_id not in engine.cached_parts:
            break
        known += part.tokens
    return max(0, demand.prompt.tokens - known)


def _rank(mark: str, engine_id: str) -> bytes:
    return hashlib.blake2b(f"{mark}/{engine_id}".encode(), digest_size=8).digest()
