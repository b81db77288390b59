"""Generate steps in which targets write copies of their responses, beside what they refuse.

They have a random sequence of their own, so that earlier seeds keep their other steps.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from soak.environment import TARGET_SERVICES, Environment
from soak.faults import DURATION_SECONDS, Step
from standins.gateway_fleet import MODEL_SERVICE, PLAIN_SERVICE
from standins.target_links import CUTS

INTERVAL_SECONDS = (0.2, 1.0)
STALE_SECONDS = (0.3, 1.5)  # that the registration of an ended target stands beside the new one
TOP_UP_TOKENS = 600  # for the streams of one interval
KINDS = (("refusal",), ("success",), ("refusal", "error"), ("refusal", "success", "error"))
REFUSED_STATUSES = (503, 429, 400)


def generate_copies(seed: int, seconds: float, nodes: list[str]) -> list[Step]:
    """Return steps that copy responses, and that bring ids to a connection again."""
    random = Random(f"{seed}/copies")
    steps: list[Step] = []
    at = 0.6
    while at < seconds:
        end = min(at + random.uniform(*DURATION_SECONDS), max(seconds, at + 0.2))
        service = random.choice([MODEL_SERVICE, PLAIN_SERVICE])
        targets = [name for name, its_service in TARGET_SERVICES.items() if its_service == service]
        kind = random.choice(["copy", "refuse", "replace", "replace", "fail", "cut-off"])
        if kind in ("copy", "refuse", "replace"):
            copying = _draw_copying(random, kind)
            steps.append(Step(at, f"{service} copies: {copying}", _set_copying(targets, copying)))
        if kind == "refuse":
            status = random.choice(REFUSED_STATUSES)
            faults = {"refuse_first": 12, "refuse_status": status}
            steps.append(Step(at, f"{service}: {faults}", _add_faults(targets, faults)))
        elif kind == "replace":
            steps += _replace(random, at, random.choice(targets))
        elif kind == "fail":
            target, faults = random.choice(targets), {"fail": 3}
            steps.append(Step(at, f"{target}: {faults}", _add_faults([target], faults)))
        elif kind == "cut-off":
            node, how = random.choice(nodes), random.choice(sorted(CUTS))
            steps += [
                Step(at, f"{node} is cut off: {how}", _cut_off(node, CUTS[how])),
                Step(end, f"{node} reaches targets again", _cut_off(node, {})),
            ]
        steps.append(Step(at, "top-up", lambda environment: environment.top_up(TOP_UP_TOKENS)))
        at += random.uniform(*INTERVAL_SECONDS)
    return sorted(steps, key=lambda step: step.at)


def _draw_copying(random: Random, kind: str) -> dict[str, Any]:
    """Draw how responses are copied; a copy under another id ends the use of its connection."""
    brings_ids_again = kind != "copy"
    return {
        "kinds": KINDS[-1] if brings_ids_again else random.choice(KINDS),
        "when": random.choice(["before", "early", "after"][: 2 if brings_ids_again else 3]),
        "times": random.choice([1, 1, 2]),
        "own_portion": random.choice([0.3, 1.0]),
        "other_portion": random.choice([0.0, 0.1, 0.3] if brings_ids_again else [0.0, 0.3, 1.0]),
        "cut": round(random.uniform(0.05, 1.0), 2) if random.random() < 0.3 else None,
    }


def _replace(random: Random, at: float, target: str) -> list[Step]:
    """Return the steps of a restart beside the ended registration, which is written again."""
    ended: list[str] = []
    end = at + random.uniform(*STALE_SECONDS)
    writes = [random.uniform(at, end) for _ in range(random.randint(0, 3))]

    def replace(environment: Environment) -> None:
        ended.append(environment.replace_target(target))

    def register(environment: Environment) -> None:
        environment.register_ended(target, ended[0])

    def remove(environment: Environment) -> None:
        environment.remove_registration(ended[0])

    return [
        Step(at, f"{target} starts again under a new id", replace),
        *(Step(write, f"{target}: the ended one is written again", register) for write in writes),
        Step(end, f"{target}: the ended one is removed", remove),
    ]


def _set_copying(targets: list[str], copying: dict[str, Any]) -> Callable[..., None]:
    return lambda environment: environment.set_copying(targets, copying)


def _add_faults(targets: list[str], faults: dict[str, Any]) -> Callable[..., None]:
    return lambda environment: environment.add_faults(targets, faults)


def _cut_off(node: str, fault: dict[str, Any]) -> Callable[..., None]:
    return lambda environment: environment.cut_off(node, fault)
