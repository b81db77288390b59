"""Generate a random schedule of overlapping faults from a seed; each ends before the run does."""

import signal
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import frozen

from soak.environment import Environment

START_INTERVAL_SECONDS = (0.1, 1.2)
# From less than the interval between reports to more than the time a node may be disconnected.
DURATION_SECONDS = (0.3, 6.0)
LINK_FAULTS: tuple[dict[str, Any], ...] = (
    {"cut": True},
    {"silent": True},
    {"drop_requests": True},
    {"drop_answers": True},
    {"delay_seconds": 0.4},
)
STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"down": True},
    {"silent": True},
    {"drop_answers": 4},
    {"delay_seconds": 0.3},
)
TARGET_FAULTS: tuple[dict[str, Any], ...] = (
    {"refuse": 5},
    {"break_after": 3, "break_count": 3},
    {"reset": 2},
    {"mute": 1},
    {"fail": 3},
)


@frozen
class Step:
    """Hold an action to run at a time (seconds from the start of the run)."""

    at: float
    name: str
    action: Callable[[Environment], None]


def generate_steps(seed: int, seconds: float, nodes: list[str], targets: list[str]) -> list[Step]:
    """Return the steps of a run, ordered by time."""
    random = Random(seed)
    steps: list[Step] = []
    at = 0.5
    while at < seconds:
        duration = min(random.uniform(*DURATION_SECONDS), max(0.2, seconds - at))
        steps += _generate_fault(random, at, at + duration, nodes, targets)
        at += random.uniform(*START_INTERVAL_SECONDS)
    return sorted(steps, key=lambda step: step.at)


def _generate_fault(
    random: Random, begin: float, end: float, nodes: list[str], targets: list[str]
) -> list[Step]:
    node, target = random.choice(nodes), random.choice(targets)
    kind = random.choice(
        ["kill", "pause", "term", "hup", "store-link", "target-link", "store", "target"]
        + ["lose-target", "leave", "change", "kill-all"]
    )
    if kind == "kill":
        return [
            Step(begin, f"kill {node}", lambda environment: environment.kill(node)),
            Step(end, f"restart {node}", lambda environment: environment.restart(node)),
        ]
    if kind == "kill-all":
        return [
            Step(
                begin,
                "kill all nodes",
                lambda environment: environment.for_each_node(environment.kill),
            ),
            Step(
                end,
                "restart all nodes",
                lambda environment: environment.for_each_node(environment.restart),
            ),
        ]
    if kind == "pause":
        return [
            Step(
                begin, f"pause {node}", lambda environment: environment.signal(node, signal.SIGSTOP)
            ),
            Step(
                end, f"resume {node}", lambda environment: environment.signal(node, signal.SIGCONT)
            ),
        ]
    if kind in ("term", "hup"):
        signal_number = signal.SIGTERM if kind == "term" else signal.SIGHUP
        return [
            Step(
                begin, f"{kind} {node}", lambda environment: environment.signal(node, signal_number)
            ),
            Step(end, f"restart {node}", lambda environment: environment.restart(node)),
        ]
    if kind in ("store-link", "target-link"):
        link = f"{node}>store" if kind == "store-link" else target
        fault = random.choice(LINK_FAULTS)
        return [
            Step(begin, f"{link}: {fault}", lambda environment: environment.set_link(link, fault)),
            Step(end, f"{link}: fault cleared", lambda environment: environment.set_link(link, {})),
        ]
    if kind in ("store", "target"):
        name = "store" if kind == "store" else target
        fault = random.choice(STORE_FAULTS if kind == "store" else TARGET_FAULTS)
        return [
            Step(
                begin, f"{name}: {fault}", lambda environment: environment.set_faults(name, fault)
            ),
            Step(
                end, f"{name}: faults cleared", lambda environment: environment.set_faults(name, {})
            ),
        ]
    if kind == "lose-target":
        return [
            Step(begin, f"kill {target}", lambda environment: environment.kill_target(target)),
            Step(end, f"restart {target}", lambda environment: environment.restart_target(target)),
        ]
    if kind == "leave":
        return [
            Step(
                begin,
                f"drain {target}",
                lambda environment: environment.set_state(target, "draining"),
            ),
            Step(
                end,
                f"{target} is ready again",
                lambda environment: environment.set_state(target, "ready"),
            ),
        ]
    return [Step(begin, "top-up", lambda environment: environment.top_up(random.randint(50, 400)))]
