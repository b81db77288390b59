"""Soak the gateway: python -m soak [--seeds A-B] [--seconds S] [--nodes N] [--callers N]
    [--old COMMIT | --build COMMIT].

Each seed is one run. The same seed generates the same faults and requests, but not the same
timing. The exit code is 1 if any run found a violation; the requests, faults and logs of such a run
are kept in its folder, whose path is printed.
"""

import argparse
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random

from soak.confirmations import find_false_confirmations, read_confirmations
from soak.copies import generate_copies
from soak.environment import TARGET_SERVICES, Environment
from soak.faults import Step, generate_statements, generate_steps, generate_upgrade
from soak.history import (
    History,
    Sent,
    find_violations,
    read_charges,
    read_runs,
    read_unfinished_stops,
)
from soak.load import Caller
from soak.unfinished_requests import UnfinishedRequests
from standins.builds import extract_build

READY_SECONDS = 15.0
SETTLE_SECONDS = 3.0  # lets outstanding responses and executions finish


def run_seed(
    seed: int,
    seconds: float,
    nodes: int,
    callers: int,
    old_build: Path | None = None,
    build: Path | None = None,
    *,
    copies_only: bool = False,
) -> list[str]:
    """Run one seed and return the violations.

    With an old build the nodes begin with it and are upgraded and taken back, beside faults. With
    a build the nodes run it all the time.
    """
    environment = Environment([f"node-{index + 1}" for index in range(nodes)])
    first_build = old_build or build
    if first_build is not None:
        environment.fleet.builds = dict.fromkeys(environment.nodes, first_build)
    history = History()
    stop = threading.Event()
    try:
        environment.start()
        _await_ready(environment)
        sent: list[Sent] = history.sent
        threads = []
        for index in range(callers):
            randoms = Random(f"{seed}/{index}"), Random(f"{seed}/{index}/repeats")
            caller = Caller(environment, *randoms, f"c{index}", sent, stop)
            threads.append(threading.Thread(target=caller.run, daemon=True))
        unfinished = UnfinishedRequests(environment, Random(f"{seed}/unfinished"), stop)
        threads.append(threading.Thread(target=unfinished.run, daemon=True))
        for thread in threads:
            thread.start()
        targets = list(TARGET_SERVICES)
        # An older build passes on what a target sheds.
        steps = (
            []
            if copies_only
            else generate_statements(seed, seconds, targets, with_sheds=old_build is None)
        )
        if old_build is not None:
            steps += generate_upgrade(environment.nodes, targets, old_build)
        else:
            steps += generate_copies(seed, seconds, environment.nodes)
            if not copies_only:
                steps += generate_steps(seed, seconds, environment.nodes, targets)
        _run_steps(environment, history, steps)
        environment.heal()
        violations = _check_recovery(environment, sent)
        stop.set()
        for thread in threads:
            thread.join(timeout=READY_SECONDS)
        time.sleep(SETTLE_SECONDS)
        environment.record_unexpected_exits()
        history.own_ends = environment.unexpected_exits
        history.kills = environment.kills + read_unfinished_stops(environment.log_paths)
        history.charges = read_charges(environment.log_paths)
        violations += find_violations(
            history, read_runs(environment.runs_paths), environment.prepaid
        )
        violations += find_false_confirmations(
            read_confirmations(environment.log_paths), environment.acknowledged_at
        )
        _report(seed, history, environment, violations)
        return violations
    finally:
        stop.set()
        environment.close()


def _run_steps(environment: Environment, history: History, steps: list[Step]) -> None:
    started_at = time.monotonic()
    for step in sorted(steps, key=lambda item: item.at):
        time.sleep(max(0.0, started_at + step.at - time.monotonic()))
        environment.record_unexpected_exits()
        history.faults.append(f"{time.monotonic() - started_at:7.2f} {step.name}")
        step.action(environment)


def _await_ready(environment: Environment) -> list[str]:
    deadline = time.monotonic() + READY_SECONDS
    not_ready = list(environment.nodes)
    while not_ready and time.monotonic() < deadline:
        not_ready = [node for node in not_ready if not environment.is_ready(node)]
        time.sleep(0.05)
    return not_ready


def _check_recovery(environment: Environment, sent: list[Sent]) -> list[str]:
    """Return a violation for each node that does not serve after all faults were cleared."""
    violations = [
        f"{node} is not ready after all faults were cleared" for node in _await_ready(environment)
    ]
    deadline = time.monotonic() + READY_SECONDS
    for node in environment.nodes:
        probe = _probe(environment, node)
        while probe.status != 200 and time.monotonic() < deadline:
            time.sleep(0.1)
            sent.append(probe)
            probe = _probe(environment, node)
        sent.append(probe)
        if probe.status != 200:
            violations.append(
                f"{node} does not serve requests after all faults were cleared: {probe.status}"
            )
    return violations


def _probe(environment: Environment, node: str) -> Sent:
    request_id = f"probe-{time.monotonic_ns()}"
    try:
        reply = environment.fleet.send(node, "status", request_id)
    except OSError:
        return Sent(request_id, "status", True, 0, 0, b"", False)
    return Sent(request_id, "status", True, 0, reply.status, reply.body, reply.complete)


def _report(seed: int, history: History, environment: Environment, violations: list[str]) -> None:
    statuses = Counter(sent.status for sent in history.sent)
    counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    print(
        f"seed {seed}: {len(history.faults)} steps, {environment.count_copies()} copies, {counts}, "
        f"{len(violations)} violations",
        flush=True,
    )
    if violations:
        lines = [*history.faults, "", *violations, "", *map(repr, history.sent)]
        (environment.fleet.folder / "history.txt").write_text("\n".join(lines))
        print(f"  history and logs: {environment.fleet.folder}")
        for line in violations[:10]:
            print(f"  {line}")


def main() -> None:
    """Parse the arguments, run all seeds and exit with 1 if any run found a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--old", help="a commit; the fleet is upgraded from it and taken back")
    parser.add_argument("--build", help="a commit; the nodes run its code all the time")
    arguments = parser.parse_args()
    builds = []
    for commit in (arguments.old, arguments.build):
        folder = Path(tempfile.mkdtemp(prefix="build-")) if commit else None
        builds.append(None if folder is None else extract_build(commit, folder))
        if folder is not None and builds[-1] is None:
            parser.error(f"the history has no commit {commit!r}")
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    failed_seeds = [
        seed
        for seed in seeds
        if run_seed(seed, arguments.seconds, arguments.nodes, arguments.callers, *builds)
    ]
    print(f"{len(seeds) - len(failed_seeds)} passed, {len(failed_seeds)} failed")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
