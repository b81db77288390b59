"""Choose one of a service's targets; pure, with the time and the random source given."""

from collections.abc import Callable
from random import Random
from zlib import crc32

from attrs import frozen

from bronzetiller.fleet.vm_list import Vm
from bronzetiller.routing.target_state import TargetState

AFFINITY_SLACK = 0.25

FindState = Callable[[Vm], TargetState]


@frozen
class SelectionRules:
    """Hold what a node prefers; link_seconds is one way between regions."""

    region: str
    link_seconds: float


def select_target(
    candidates: list[Vm],
    find_state: FindState,
    rules: SelectionRules,
    prefix_key: str,
    random: Random,
    now: float,
) -> Vm | None:
    """Return the target for one attempt; candidates take new work and are not excluded."""
    accepting = [vm for vm in candidates if not find_state(vm).is_refusing(now)]
    healthy = [vm for vm in accepting if not find_state(vm).is_avoided(now)]
    if not healthy:
        return _select_least_recently_failed(accepting, find_state)
    near = [vm for vm in healthy if vm.region == rules.region]
    far = [vm for vm in healthy if vm.region != rules.region]
    if not near or not far:
        return _select_in_region(near or far, find_state, prefix_key, random, now)
    chosen = _select_in_region(near, find_state, prefix_key, random, now)
    wait = find_state(chosen).estimate_wait(now)
    if wait <= 2 * rules.link_seconds:
        return chosen
    other = _select_in_region(far, find_state, prefix_key, random, now)
    if find_state(other).estimate_wait(now) + 2 * rules.link_seconds < wait:
        return other
    return chosen


def _select_least_recently_failed(accepting: list[Vm], find_state: FindState) -> Vm | None:
    """Try the target whose failure is the longest ago, rather than none."""
    return min(accepting, key=lambda vm: find_state(vm).avoided_until, default=None)


def _select_in_region(
    vms: list[Vm], find_state: FindState, prefix_key: str, random: Random, now: float
) -> Vm:
    """Take the prefix's own target unless it is busier than the better of two at random."""
    pair = random.sample(vms, min(2, len(vms)))
    best = min(pair, key=lambda vm: find_state(vm).estimate_utilization(now))
    if not prefix_key or len(vms) == 1:
        return best
    preferred = max(vms, key=lambda vm: crc32(f"{prefix_key}/{vm.vm_id}".encode()))
    utilization_max = find_state(best).estimate_utilization(now) + AFFINITY_SLACK
    return preferred if find_state(preferred).estimate_utilization(now) <= utilization_max else best
