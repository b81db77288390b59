"""Choose the target of a request; pure.

The load this answers: model requests whose prompts share long parts, spread over engines that
keep what they have read, and short calls of plain services; many nodes choose at once, each with
reports that are some hundred milliseconds old.
"""

import hashlib
from collections.abc import Callable, Collection

from attrs import frozen

from bronzetiller.gateway.requests import Prompt
from bronzetiller.gateway.targets import Target

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
class PlacementRequest:
    """Describe the work to place; the mark is the same for requests that share a prompt."""

    prompt: Prompt | None
    affinity_key: str


def make_placement_request(prompt: Prompt | None) -> PlacementRequest:
    """Describe a request by the last part of its prompt that others share."""
    shared = prompt.shared_segments if prompt is not None else ()
    return PlacementRequest(prompt, shared[-1].segment_id if shared else "")


def choose_target(
    targets: Collection[Target],
    request: PlacementRequest,
    distances: Distances,
    now: float,
    draw: Callable[[], float],
) -> Target | None:
    """Return the engine with the least expected cost; a small draw breaks ties."""
    usable = [target for target in targets if target.avoid_until <= now]
    candidates = usable or list(targets)
    if not candidates:
        return None
    ranks = rank_targets(targets, request)

    def estimate(target: Target) -> float:
        rank = ranks.get(target.target_id)
        return estimate_cost(target, request, distances, now, rank) + DRAW_SECONDS * draw()

    return min(candidates, key=estimate)


def rank_targets(targets: Collection[Target], request: PlacementRequest) -> dict[str, int]:
    """Rank the engines for a shared prompt; all nodes come to the same ranks (rendezvous)."""
    if not request.affinity_key:
        return {}
    ranked = sorted(
        targets, key=lambda item: _hash(request.affinity_key, item.target_id), reverse=True
    )
    return {target.target_id: rank for rank, target in enumerate(ranked)}


def estimate_cost(
    target: Target, request: PlacementRequest, distances: Distances, now: float, rank: int | None
) -> float:
    """Estimate what placing a request costs (seconds): way, prefill, load and failures."""
    load = target.estimate_load(now) / target.registration.slots
    cost = distances.estimate(target.registration.data_centre)
    unread = estimate_prefill(target, request, is_home=rank == 0)
    cost += unread.tokens / PREFILL_TOKENS_PER_SECOND
    cost += READ_AGAIN_FACTOR * unread.shared_tokens / PREFILL_TOKENS_PER_SECOND
    cost += RANK_SECONDS * (rank or 0)
    cost += CROWD_FACTOR * target.pending_prefill_tokens / PREFILL_TOKENS_PER_SECOND
    cost += target.estimate_queue_delay(now)
    cost += BUSY_SECONDS * load * (1 + load)
    if load >= 1:
        cost += FULL_SECONDS * load
    return cost + FAILING_SECONDS * target.failure_share


@frozen
class PrefillEstimate:
    """Count the prompt tokens that an engine has to read, and those of parts others share."""

    tokens: int = 0
    shared_tokens: int = 0


def estimate_prefill(
    target: Target, request: PlacementRequest, *, is_home: bool
) -> PrefillEstimate:
    """Return what the engine is expected to read; the first in line has the shared parts."""
    if request.prompt is None:
        return PrefillEstimate()
    known = 0
    shared = request.prompt.shared_segments
    for index, part in enumerate(request.prompt.segments):
        is_expected = is_home and index < len(shared)
        if not is_expected and part.segment_id not in target.cached_segments:
            break
        known += part.tokens
    shared_tokens = sum(part.tokens for part in shared)
    return PrefillEstimate(max(0, request.prompt.tokens - known), max(0, shared_tokens - known))


def _hash(affinity_key: str, target_id: str) -> bytes:
    return hashlib.blake2b(f"{affinity_key}/{target_id}".encode(), digest_size=8).digest()
