"""Select a target of a service; pure functions of the given states, time and random source."""

from collections.abc import Callable
from random import Random
from zlib import crc32

from attrs import frozen

from bronzetiller.fleet.vm_list import Vm
from bronzetiller.routing.target_state import TargetState

AFFINITY_UTILIZATION_SLACK = 0.25  # how much busier the preferred target may be

FindState = Callable[[Vm], TargetState]


@frozen
class SelectionRules:
    """Hold the preferences of a node; link_seconds is the one-way latency between regions."""

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
    """Return the target for one attempt; candidates accept new work and are not excluded.

    Another region is used only if its target saves more than the round trip to it.
    """
    accepting = [vm for vm in candidates if not find_state(vm).is_refusing(now)]
    healthy = [vm for vm in accepting if not find_state(vm).is_avoided(now)]
    if not healthy:
        return _select_least_recently_failed(accepting, find_state)
    local = [vm for vm in healthy if vm.region == rules.region]
    remote = [vm for vm in healthy if vm.region != rules.region]
    if not local or not remote:
        return _select_in_region(local or remote, find_state, prefix_key, random, now)
    chosen = _select_in_region(local, find_state, prefix_key, random, now)
    wait_seconds = find_state(chosen).estimate_wait(now)
    if wait_seconds <= 2 * rules.link_seconds:
        return chosen
    alternative = _select_in_region(remote, find_state, prefix_key, random, now)
    if find_state(alternative).estimate_wait(now) + 2 * rules.link_seconds < wait_seconds:
        return alternative
    return chosen


def _select_least_recently_failed(accepting: list[Vm], find_state: FindState) -> Vm | None:
    """Return the target whose backoff ends first, since trying it is better than refusing."""
    return min(accepting, key=lambda vm: find_state(vm).avoided_until, default=None)


def _select_in_region(
    vms: list[Vm], find_state: FindState, prefix_key: str, random: Random, now: float
) -> Vm:
    """Return the target preferred for the prefix, or the better of two at random.

    The prefix maps to a target by rendezvous hashing, so that its prompt cache is reused, unless
    that target is much busier than the alternative.
    """
    pair = random.sample(vms, min(2, len(vms)))
    best = min(pair, key=lambda vm: find_state(vm).estimate_utilization(now))
    if not prefix_key or len(vms) == 1:
        return best
    preferred = max(vms, key=lambda vm: crc32(f"{prefix_key}/{vm.vm_id}".encode()))
    utilization_max = find_state(best).estimate_utilization(now) + AFFINITY_UTILIZATION_SLACK
    return preferred if find_state(preferred).estimate_utilization(now) <= utilization_max else best
