"""Generate a random schedule of overlapping faults from a seed; each ends before the run does."""

import signal
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from attrs import frozen

from soak.environment import Environment

START_INTERVAL_SECONDS = (0.1, 1.2)
# From less than the interval between reports to more than the time a node may be disconnected.
DURATION_SECONDS = (0.3, 6.0)
STATEMENT_INTERVAL_SECONDS = (1.0, 4.0)
UPGRADE_INTERVAL_SECONDS = 1.5
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


def generate_statements(
    seed: int, seconds: float, targets: list[str], *, with_sheds: bool = True
) -> list[Step]:
    """Return steps in which targets say that they leave or pause, or shed what they have run.

    They have a random sequence of their own, so that earlier seeds keep their other steps.
    """
    random = Random(f"{seed}/statements")
    steps: list[Step] = []
    at = 1.0
    while at < seconds:
        end = min(at + random.uniform(*DURATION_SECONDS), max(seconds, at + 0.2))
        target = random.choice(targets)
        kind = random.choice(["leaving", "pause", "shed"])
        if kind == "leaving":
            steps += [
                Step(at, f"{target} says that it leaves", _set_faults(target, {"leaving": True})),
                Step(end, f"{target} starts again", _replace(target)),
            ]
        elif kind == "pause":
            fault = {"refuse": 3, "pause": round(random.uniform(0.3, 2.0), 2)}
            steps.append(Step(at, f"{target}: {fault}", _set_faults(target, fault)))
        elif with_sheds:
            steps.append(Step(at, f"{target}: shed", _set_faults(target, {"shed": 3})))
        at += random.uniform(*STATEMENT_INTERVAL_SECONDS)
    return sorted(steps, key=lambda step: step.at)


def generate_upgrade(nodes: list[str], targets: list[str], old_build: Path) -> list[Step]:
    """Return the steps of an upgrade of all nodes, one after the other, and of the way back.

    A node is killed and a target leaves in the middle of each.
    """
    steps = []
    at = 1.0
    for number, build in enumerate([None, old_build]):
        name = "new" if build is None else "old"
        for index, node in enumerate(nodes):
            steps.append(Step(at, f"{node}: {name} build", _restart_as(node, build)))
            if index == len(nodes) // 2:
                victim, target = nodes[number], targets[number]
                steps += [
                    Step(at + 0.2, f"kill {victim}", _kill(victim)),
                    Step(at + 0.7, f"restart {victim}", _restart(victim)),
                    Step(at + 0.3, f"{target} leaves", _set_faults(target, {"leaving": True})),
                    Step(at + 2.0, f"{target} starts again", _replace(target)),
                ]
            at += UPGRADE_INTERVAL_SECONDS
    return sorted(steps, key=lambda step: step.at)


def _set_faults(name: str, fault: dict[str, Any]) -> Callable[[Environment], None]:
    return lambda environment: environment.set_faults(name, fault)


def _replace(target: str) -> Callable[[Environment], None]:
    return lambda environment: environment.replace_leaving_target(target)


def _restart_as(node: str, build: Path | None) -> Callable[[Environment], None]:
    return lambda environment: environment.restart_as(node, build)


def _kill(node: str) -> Callable[[Environment], None]:
    return lambda environment: environment.kill(node)


def _restart(node: str) -> Callable[[Environment], None]:
    return lambda environment: environment.restart(node)


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
