"""Measure how long nodes are outdated after a change of the configuration, in a simulation.

python -m bench.outdated_configuration [--nodes N ...] [--scenario NAME ...] [--seed N] [--kinds]
"""

import argparse
import logging
import time

from standins.configuration_scenarios import SCENARIOS, START_TOGETHER, Trial, run_scenario
from standins.shared_link import describe_bytes
from standins.simulated_fleet import LAYOUTS

TOO_LATE = "never"


def describe(name: str, nodes: int, trial: Trial, wall_seconds: float) -> list[str]:
    """Return the lines of a table for a trial: one for each measurement, then the bytes."""
    lines = []
    for item in trial.measurements:
        seconds = TOO_LATE if item.seconds is None else f"{item.seconds:.2f} s"
        verdict = "met" if item.is_met else f"{item.outdated} outdated"
        bound = f"{item.seconds_max:.1f} s"
        lines.append(f"| {nodes} | {name} | {item.label} | {seconds} | {bound} | {verdict} |")
    shared, discarded = (
        sum(counts.values()) / 1e6 for counts in (trial.shared_bytes, trial.discarded_bytes)
    )
    lines.append(
        f"| {nodes} | {name} | between regions: {shared:.1f} MB, discarded: {discarded:.1f} MB"
        f" | | | simulated in {wall_seconds:.0f} s |"
    )
    return lines


def main() -> None:
    """Parse the arguments, run the scenarios and print a table."""
    names = [*SCENARIOS, START_TOGETHER]
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="+", choices=list(LAYOUTS), default=[195])
    parser.add_argument("--scenario", nargs="+", choices=names, default=names)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kinds", action="store_true", help="also print the bytes by kind")
    arguments = parser.parse_args()
    logging.getLogger("bronzetiller").setLevel(logging.CRITICAL)
    print("| nodes | scenario | what | last node | bound | verdict |\n|---|---|---|---|---|---|")
    for nodes in arguments.nodes:
        for name in arguments.scenario:
            started_at = time.perf_counter()
            trial = run_scenario(name, nodes, arguments.seed)
            lines = describe(name, nodes, trial, time.perf_counter() - started_at)
            print("\n".join(lines), flush=True)
            if arguments.kinds:
                print("kilobytes between regions:", describe_bytes(trial.shared_bytes))
                print("kilobytes discarded:", describe_bytes(trial.discarded_bytes), flush=True)


if __name__ == "__main__":
    main()
