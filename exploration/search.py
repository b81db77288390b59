"""Search the states of a model for a violation; models are rebuilt by replaying their steps."""

import random
import time
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

Step = tuple[str | int, ...]


class Model(Protocol):
    """Represent one state of a protocol."""

    def list_steps(self) -> list[Step]:
        """Return the steps that can happen now, in a fixed order."""

    def weigh(self, step: Step) -> float:
        """Return how often a random walk takes a step, relative to the others."""

    def apply(self, step: Step) -> None:
        """Take a step."""

    def find_violation(self) -> str | None:
        """Return what is wrong in this state, or None."""

    def make_key(self) -> object:
        """Return a hashable value that is equal for states with the same future."""


@define
class Report:
    """Hold the outcome of a search; steps lead to the violation, if there is one."""

    states: int = 0
    depth: int = 0
    seconds: float = 0.0
    complete: bool = True
    violation: str | None = None
    steps: list[Step] = field(factory=list)


def replay(make_model: Callable[[], Model], steps: list[Step]) -> Model:
    """Return a new model after the steps."""
    model = make_model()
    for step in steps:
        model.apply(step)
    return model


def explore(make_model: Callable[[], Model], *, depth: int, deadline: float) -> Report:
    """Visit every state up to a depth, by increasing depth, until a violation or the deadline.

    The deadline is in monotonic seconds. The first violation found has the fewest steps.
    """
    started_at = time.monotonic()
    report = Report(states=1)
    visited = {hash(make_model().make_key())}
    frontier: list[list[Step]] = [[]]
    for level in range(1, depth + 1):
        following = []
        for path in frontier:
            for step in replay(make_model, path).list_steps():
                if time.monotonic() >= deadline:
                    report.complete = False
                    report.seconds = time.monotonic() - started_at
                    return report
                steps = [*path, step]
                model = replay(make_model, steps)
                violation = model.find_violation()
                if violation is not None:
                    report.violation, report.steps, report.depth = violation, steps, level
                    report.seconds = time.monotonic() - started_at
                    return report
                key = hash(model.make_key())
                if key not in visited:
                    visited.add(key)
                    following.append(steps)
                    report.states += 1
        report.depth = level
        frontier = following
    report.seconds = time.monotonic() - started_at
    return report


def walk(
    make_model: Callable[[], Model], *, walks: int, length: int, seed: int, deadline: float
) -> Report:
    """Take random steps from the first state, many times; shorten the first violation found."""
    started_at = time.monotonic()
    report = Report(depth=length)
    generator = random.Random(seed)
    for _ in range(walks):
        if time.monotonic() >= deadline:
            report.complete = False
            break
        model = make_model()
        steps: list[Step] = []
        while len(steps) < length and report.violation is None:
            steps.append(choose_step(model, generator))
            model.apply(steps[-1])
            report.states += 1
            report.violation = model.find_violation()
        if report.violation is not None:
            report.steps = shorten(make_model, steps)
            report.depth = len(report.steps)
            break
    report.seconds = time.monotonic() - started_at
    return report


def choose_step(model: Model, generator: random.Random) -> Step:
    """Draw one of the steps that can happen now."""
    steps = model.list_steps()
    return generator.choices(steps, [model.weigh(step) for step in steps])[0]


def shorten(make_model: Callable[[], Model], steps: list[Step]) -> list[Step]:
    """Remove steps, also in pairs, as long as the others still lead to a violation."""
    shortened = True
    while shortened:
        shortened = False
        for width in (8, 4, 2, 1):
            index = 0
            while index < len(steps):
                candidate = steps[:index] + steps[index + width :]
                if _leads_to_violation(make_model, candidate):
                    steps, shortened = candidate, True
                else:
                    index += 1
    return steps


def _leads_to_violation(make_model: Callable[[], Model], steps: list[Step]) -> bool:
    model = make_model()
    for step in steps:
        if step not in model.list_steps():
            return False
        model.apply(step)
        if model.find_violation() is not None:
            return True
    return False
