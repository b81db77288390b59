"""Plan and publish trees of declarations."""

from pathlib import Path
from typing import NoReturn

import cappa
from attrs import frozen
from result import Err, Ok

from bronzetiller.cli.client import CallError, Failure, read_items
from bronzetiller.cli.connection import Access, ConnectionOptions, make_access
from bronzetiller.cli.exits import ExitCode, fail
from bronzetiller.cli.output import print_json
from bronzetiller.cli.publishing import Outcome, publish_steps
from bronzetiller.configuration.declarations import load_declarations
from bronzetiller.configuration.plan import Action, Step, make_plan, select_changes


@frozen
class PublishResult:
    """Hold the JSON output of publish."""

    plan: list[Step]
    outcomes: list[Outcome]


def show_plan(options: ConnectionOptions, tree: Path, *, prune: bool, as_json: bool) -> None:
    """Print the plan; exit with REFUSED if a step cannot be published."""
    steps = _plan(make_access(options), tree, prune)
    if as_json:
        print_json(steps)
    else:
        _print_plan(steps)
    if _find_refused_steps(steps):
        raise cappa.Exit(code=ExitCode.REFUSED)


def publish_tree(
    options: ConnectionOptions, tree: Path, *, prune: bool, as_json: bool, wait_seconds: float
) -> None:
    """Print the plan, publish its changes and print the outcome of each record."""
    access = make_access(options, needs_log=True)
    steps = _plan(access, tree, prune)
    if not as_json:
        _print_plan(steps)
    if _find_refused_steps(steps):
        fail("nothing was published", ExitCode.REFUSED)
    changes = select_changes(steps)
    outcomes: list[Outcome] = []
    if changes:
        match publish_steps(access, changes, wait_seconds):
            case Ok(outcomes):
                pass
            case Err(error):
                _exit_with_publish_error(error)
    if as_json:
        print_json(PublishResult(steps, outcomes))
    else:
        _print_outcomes(outcomes)
    if not all(outcome.complete for outcome in outcomes):
        raise cappa.Exit(code=ExitCode.REFUSED)


def exit_with_call_error(error: CallError) -> NoReturn:
    """Exit with the message and exit code for a failed call."""
    refused = error.failure is Failure.REFUSED
    code = ExitCode.REFUSED if refused else ExitCode.NOT_REACHABLE
    fail(error.detail, code)


def _plan(access: Access, tree: Path, prune: bool) -> list[Step]:
    loaded = load_declarations([tree])
    if isinstance(loaded, Err):
        fail("\n".join(map(str, loaded.err_value)), ExitCode.BAD_INPUT)
    items = read_items(access)
    if isinstance(items, Err):
        exit_with_call_error(items.err_value)
    return make_plan(loaded.ok_value, items.ok_value, prune=prune)


def _find_refused_steps(steps: list[Step]) -> list[Step]:
    return [step for step in steps if step.action is Action.REFUSE]


def _print_plan(steps: list[Step]) -> None:
    for step in steps:
        if step.action is Action.KEEP:
            continue
        reason = f": {step.reason}" if step.reason else ""
        print(f"{step.action} {step.kind} {step.name}{reason}")
        for change in step.changes:
            print(f"    {change.field}: {change.old!r} -> {change.new!r}")
    unchanged = sum(step.action is Action.KEEP for step in steps)
    print(f"{len(select_changes(steps))} to publish, {unchanged} unchanged")


def _print_outcomes(outcomes: list[Outcome]) -> None:
    for outcome in outcomes:
        print(f"{outcome.record.kind} {outcome.record.name}: {_describe_outcome(outcome)}")


def _describe_outcome(outcome: Outcome) -> str:
    decision = outcome.decision
    if decision is None:
        return f"in the log, not decided yet (record {outcome.record.record_id})"
    if not decision.accepted:
        return f"rejected at offset {decision.offset}: {decision.reason}"
    if not outcome.located:
        return f"accepted at offset {decision.offset}, not known where it is in force"
    problems = [f"not yet on {', '.join(outcome.behind)}"] if outcome.behind else []
    if outcome.unable:
        problems.append(f"older form kept on {', '.join(outcome.unable)}")
    coverage = "; ".join(problems) or "in force on every listed node"
    return f"accepted at offset {decision.offset}, {coverage}"


def _exit_with_publish_error(error: CallError) -> NoReturn:
    if error.failure is Failure.UNANSWERED:
        detail = "the log did not respond, so it may contain the records; publish again to find out"
        fail(f"{error.detail}\n{detail}", ExitCode.NOT_REACHABLE)
    exit_with_call_error(error)
