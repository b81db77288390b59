"""Choose the target of a request; no I/O.

Designed for model requests whose prompts share long prefixes, sent to targets with a prefix cache,
and for short requests to plain services. Many nodes choose at once, each with load reports that
are some hundred milliseconds old.
"""

import hashlib
from collections.abc import Callable, Collection

from attrs import frozen

from bronzetiller.gateway.requests import Prompt
from bronzetiller.gateway.targets import Target

PREFILL_TOKENS_PER_SECOND = 60_000.0  # the documented rates are 61 and 66 tokens a millisecond
TIE_BREAK_SECONDS = 0.002  # random amount that breaks ties between targets of equal cost
PENDING_PREFILL_FACTOR = 2.0  # pending prompts of all nodes for each one of this node
LOAD_COST_SECONDS = 0.08  # delay that a full batch adds to the first token, from its step times
CALL_SECONDS = 0.03  # the documented work of a plain call is 22 to 90 ms
FULL_COST_SECONDS = 1.0  # wait for a slot of a full target: about half the duration of a stream
REPEATED_PREFILL_FACTOR = 5.0  # a second copy takes prefill time and cache space from others
RANK_COST_SECONDS = 0.004  # between ranks of a prompt, so that all nodes prefer the same target
FAILURE_COST_SECONDS = 2.0  # cost at a failure rate of 1: about one lost attempt


@frozen
class Distances:
    """Rate the distance of data centres; the seconds stand for both latency and traffic cost."""

    data_centre: str
    region: str
    regions: dict[str, str]
    same_region_seconds: float = 0.003
    other_region_seconds: float = 0.06

    def estimate(self, data_centre: str) -> float:
        """Return the cost (seconds) of sending a request to a data centre."""
        if data_centre == self.data_centre:
            return 0.0
        if self.regions.get(data_centre) == self.region:
            return self.same_region_seconds
        return self.other_region_seconds


@frozen
class PlacementRequest:
    """Describe a request to place; requests with the same shared prompt have one affinity key."""

    prompt: Prompt | None
    affinity_key: str


def make_placement_request(prompt: Prompt | None) -> PlacementRequest:
    """Make a placement request; the last shared prompt segment is its affinity key."""
    shared = prompt.shared_segments if prompt is not None else ()
    return PlacementRequest(prompt, shared[-1].segment_id if shared else "")


def choose_target(
    targets: Collection[Target],
    request: PlacementRequest,
    distances: Distances,
    now: float,
    draw_uniform: Callable[[], float],
) -> Target | None:
    """Return the target with the lowest expected cost; a small random amount breaks ties."""
    usable = [target for target in targets if target.avoid_until <= now]
    candidates = usable or list(targets)
    if not candidates:
        return None
    ranks = rank_targets(targets, request)

    def estimate(target: Target) -> float:
        rank = ranks.get(target.target_id)
        return (
            estimate_cost(target, request, distances, now, rank)
            + TIE_BREAK_SECONDS * draw_uniform()
        )

    return min(candidates, key=estimate)


def rank_targets(targets: Collection[Target], request: PlacementRequest) -> dict[str, int]:
    """Rank the targets for a shared prompt by rendezvous hashing: all nodes get the same ranks."""
    if not request.affinity_key:
        return {}
    ranked = sorted(
        targets, key=lambda item: _hash(request.affinity_key, item.target_id), reverse=True
    )
    return {target.target_id: rank for rank, target in enumerate(ranked)}


def estimate_cost(
    target: Target, request: PlacementRequest, distances: Distances, now: float, rank: int | None
) -> float:
    """Estimate the cost (seconds) of a placement: distance, prefill, load and failures."""
    load = target.estimate_load(now) / target.registration.slots
    prefill = estimate_prefill(target, request, is_preferred=rank == 0)
    work = prefill.tokens / PREFILL_TOKENS_PER_SECOND
    work += PENDING_PREFILL_FACTOR * target.pending_prefill_tokens / PREFILL_TOKENS_PER_SECOND
    work += LOAD_COST_SECONDS * load * (1 + load)
    if load >= 1:
        work += FULL_COST_SECONDS * load
    if request.prompt is None:
        work += CALL_SECONDS
    cost = distances.estimate(target.registration.data_centre) + target.pace.estimate(now) * work
    cost += REPEATED_PREFILL_FACTOR * prefill.shared_tokens / PREFILL_TOKENS_PER_SECOND
    cost += RANK_COST_SECONDS * (rank or 0)
    cost += target.estimate_queue_delay(now)
    return cost + FAILURE_COST_SECONDS * target.failure_rate


@frozen
class PrefillEstimate:
    """Count the prompt tokens that a target has to prefill, and the shared ones among them."""

    tokens: int = 0
    shared_tokens: int = 0


def estimate_prefill(
    target: Target, request: PlacementRequest, *, is_preferred: bool
) -> PrefillEstimate:
    """Estimate the uncached tokens; a preferred target is assumed to cache shared segments."""
    if request.prompt is None:
        return PrefillEstimate()
    cached_tokens = 0
    shared = request.prompt.shared_segments
    for index, segment in enumerate(request.prompt.segments):
        assume_cached = is_preferred and index < len(shared)
        if not assume_cached and segment.segment_id not in target.cached_segments:
            break
        cached_tokens += segment.tokens
    shared_tokens = sum(segment.tokens for segment in shared)
    return PrefillEstimate(
        max(0, request.prompt.tokens - cached_tokens), max(0, shared_tokens - cached_tokens)
    )


def _hash(affinity_key: str, target_id: str) -> bytes:
    return hashlib.blake2b(f"{affinity_key}/{target_id}".encode(), digest_size=8).digest()
