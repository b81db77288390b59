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
DRAW_SECONDS = 0.002  # breaks ties between engines that cost the same
CROWD_FACTOR = 2.0  # prompts that wait at an engine for each one that this node sent there
BUSY_SECONDS = 0.08  # what a full batch adds to the first token, by its step times
FULL_SECONDS = 1.0  # waiting for a slot of a full target: about half of a stream's length
READ_AGAIN_FACTOR = 5.0  # a shared part read twice takes prefill from others and room from parts
RANK_SECONDS = 0.004  # between an engine and the next in line for a prompt, so that nodes agree
FAILING_SECONDS = 2.0  # weight of a target's share of failures, about one lost attempt


@frozen
class Distances:
    """Say how far data centres are; the seconds weigh both delay and the price of the bytes."""

    data_centre: str
    region: str
    regions: dict[str, str]
    near_seconds: float = 0.003
    far_seconds: float = 0.06

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
    ranks = rank_engines(engines, demand)

    def estimate(engine: Engine) -> float:
        rank = ranks.get(engine.engine_id)
        return estimate_cost(engine, demand, distances, now, rank) + DRAW_SECONDS * draw()

    return min(candidates, key=estimate)


def rank_engines(engines: Collection[Engine], demand: Demand) -> dict[str, int]:
    """Rank the engines for a shared prompt; all nodes come to the same ranks (rendezvous)."""
    if not demand.mark:
        return {}
    ranked = sorted(engines, key=lambda item: _hash(demand.mark, item.engine_id), reverse=True)
    return {engine.engine_id: rank for rank, engine in enumerate(ranked)}


def estimate_cost(
    engine: Engine, demand: Demand, distances: Distances, now: float, rank: int | None
) -> float:
    """Estimate what placing a request costs (seconds): way, prefill, load and failures."""
    load = engine.estimate_load(now) / engine.registration.slots
    cost = distances.estimate(engine.registration.data_centre)
    unread = count_unread(engine, demand, is_home=rank == 0)
    cost += unread.tokens / PREFILL_TOKENS_PER_SECOND
    cost += READ_AGAIN_FACTOR * unread.shared_tokens / PREFILL_TOKENS_PER_SECOND
    cost += RANK_SECONDS * (rank or 0)
    cost += CROWD_FACTOR * engine.unread_tokens / PREFILL_TOKENS_PER_SECOND
    cost += engine.estimate_delay(now)
    cost += BUSY_SECONDS * load * (1 + load)
    if load >= 1:
        cost += FULL_SECONDS * load
    return cost + FAILING_SECONDS * engine.failure_share


@frozen
class Unread:
    """Count the prompt tokens that an engine has to read, and those of parts others share."""

    tokens: int = 0
    shared_tokens: int = 0


def count_unread(engine: Engine, demand: Demand, *, is_home: bool) -> Unread:
    """Return what the engine is expected to read; the first in line has the shared parts."""
    if demand.prompt is None:
        return Unread()
    known = 0
    shared = demand.prompt.shared_parts
    for index, part in enumerate(demand.prompt.parts):
        is_expected = is_home and index < len(shared)
        if not is_expected and part.part_id not in engine.cached_parts:
            break
        known += part.tokens
    shared_tokens = sum(part.tokens for part in shared)
    return Unread(max(0, demand.prompt.tokens - known), max(0, shared_tokens - known))


def _hash(mark: str, engine_id: str) -> bytes:
    return hashlib.blake2b(f"{mark}/{engine_id}".encode(), digest_size=8).digest()
