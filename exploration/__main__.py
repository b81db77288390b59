"""Explore the budget protocol, and print the shortest way found to a violation as a test.

python -m exploration [--nodes N] [--depth D] [--walks W] [--length L] [--seed S] [--seconds T]
    [--without MECHANISM | --table]
"""

import argparse
import logging
import random
import statistics
import sys
import time
from contextlib import nullcontext
from functools import partial

from exploration.budget_model import PREPAID, BudgetModel
from exploration.mechanisms import MECHANISMS, take_out
from exploration.search import Report, Step, choose_step, explore, walk

STRANDED_WALKS = 200


def main() -> int:
    """Run the exploration; return 1 if it found a violation of the whole protocol."""
    parser = argparse.ArgumentParser(prog="python -m exploration")
    parser.add_argument("--nodes", type=int, default=2)
    parser.add_argument("--depth", type=int, default=3, help="of the complete search; 0: none")
    parser.add_argument("--walks", type=int, default=1000)
    parser.add_argument("--length", type=int, default=40, help="steps of a random walk")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0, help="for each search")
    parser.add_argument("--without", choices=MECHANISMS, metavar="MECHANISM")
    parser.add_argument("--table", action="store_true", help="take out each mechanism in turn")
    options = parser.parse_args()
    logging.disable()
    if options.table:
        for mechanism in MECHANISMS:
            with take_out(mechanism):
                report = _walk(options)
            found = f"{len(report.steps)} steps: {report.violation}" if report.steps else "none"
            print(f"{mechanism}: {found} ({report.states} states, {report.seconds:.1f} s)")
        return 0
    with take_out(options.without) if options.without else nullcontext():
        reports = [_explore(options), _walk(options)]
    for name, report in zip(("complete", "random"), reports, strict=True):
        outcome = report.violation or "no violation"
        ending = "" if report.complete else ", stopped at the time limit"
        print(
            f"{name}: {report.states} states, depth {report.depth},"
            f" {report.seconds:.1f} s{ending}: {outcome}"
        )
    if not options.without:
        _print_stranded(options)
    violations = [report for report in reports if report.violation]
    for report in violations[:1]:
        print(format_test(report.steps, options.nodes))
    return 1 if violations else 0


def _explore(options: argparse.Namespace) -> Report:
    make_model = partial(BudgetModel, options.nodes)
    return explore(make_model, depth=options.depth, deadline=time.monotonic() + options.seconds)


def _walk(options: argparse.Namespace) -> Report:
    return walk(
        partial(BudgetModel, options.nodes),
        walks=options.walks,
        length=options.length,
        seed=options.seed,
        deadline=time.monotonic() + options.seconds,
    )


def _print_stranded(options: argparse.Namespace) -> None:
    """Print the share of the budget that is lost once all faults are over, over random walks."""
    shares = []
    for number in range(STRANDED_WALKS):
        model = BudgetModel(options.nodes)
        generator = random.Random(options.seed + number)
        for _ in range(options.length):
            model.apply(choose_step(model, generator))
        shares.append(model.count_stranded() / PREPAID)
    quantiles = statistics.quantiles(shares, n=20)
    print(
        f"tokens lost after the faults, share of the budget: median {quantiles[9]:.2f},"
        f" 95th percentile {quantiles[18]:.2f}, largest {max(shares):.2f}"
    )


def format_test(steps: list[Step], nodes: int) -> str:
    """Return a test function that takes the steps."""
    lines = [
        "def test_nodes_spend_within_the_budget_after_these_steps():",
        f"    model = BudgetModel({nodes})",
        *(f"    model.apply({step!r})" for step in steps),
        "    assert model.find_violation() is None",
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
