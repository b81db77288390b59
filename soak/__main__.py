"""Soak the gateway: python -m soak [--seeds A-B] [--seconds S] [--nodes N] [--callers N].

Each seed is one run; the same seed draws the same faults and requests, though not the same timing.
The exit code is 1 if a promise was broken; what was sent, the faults and the logs of such a run
stay in its folder, which is printed.
"""

import argparse
import sys
import threading
import time
from collections import Counter
from random import Random

from soak.faults import draw_steps
from soak.history import History, Sent, check, read_runs
from soak.load import Caller
from soak.world import TARGET_SERVICES, World

READY_SECONDS = 15.0
SETTLE_SECONDS = 3.0  # for answers and runs that are still on their way


def run_seed(seed: int, seconds: float, nodes: int, callers: int) -> list[str]:
    """Run one seed; return the promises that were broken."""
    world = World([f"node-{index + 1}" for index in range(nodes)])
    history = History()
    stop = threading.Event()
    try:
        world.start()
        _await_ready(world)
        sent: list[Sent] = history.sent
        threads = [
            threading.Thread(
                target=Caller(world, Random(f"{seed}/{index}"), f"c{index}", sent, stop).run,
                daemon=True,
            )
            for index in range(callers)
        ]
        for thread in threads:
            thread.start()
        _play(world, history, seed, seconds)
        world.heal()
        broken = _check_recovery(world, sent)
        stop.set()
        for thread in threads:
            thread.join(timeout=READY_SECONDS)
        time.sleep(SETTLE_SECONDS)
        world.note_own_ends()
        history.own_ends = world.own_ends
        broken += check(history, read_runs(world.runs_paths), world.prepaid)
        _report(seed, history, world, broken)
        return broken
    finally:
        stop.set()
        world.close()


def _play(world: World, history: History, seed: int, seconds: float) -> None:
    begun = time.monotonic()
    for step in draw_steps(seed, seconds, world.nodes, list(TARGET_SERVICES)):
        time.sleep(max(0.0, begun + step.at - time.monotonic()))
        world.note_own_ends()
        history.faults.append(f"{time.monotonic() - begun:7.2f} {step.name}")
        step.act(world)


def _await_ready(world: World) -> list[str]:
    deadline = time.monotonic() + READY_SECONDS
    waiting = list(world.nodes)
    while waiting and time.monotonic() < deadline:
        waiting = [node for node in waiting if not world.is_ready(node)]
        time.sleep(0.05)
    return waiting


def _check_recovery(world: World, sent: list[Sent]) -> list[str]:
    """Check that every node serves once all faults are over."""
    broken = [f"{node} is not ready after all faults" for node in _await_ready(world)]
    deadline = time.monotonic() + READY_SECONDS
    for node in world.nodes:
        probe = _probe(world, node)
        while probe.status != 200 and time.monotonic() < deadline:
            time.sleep(0.1)
            sent.append(probe)
            probe = _probe(world, node)
        sent.append(probe)
        if probe.status != 200:
            broken.append(f"{node} does not serve after all faults: {probe.status}")
    return broken


def _probe(world: World, node: str) -> Sent:
    request_id = f"probe-{time.monotonic_ns()}"
    try:
        reply = world.fleet.send(node, "status", request_id)
    except OSError:
        return Sent(request_id, "status", True, 0, 0, b"", False)
    return Sent(request_id, "status", True, 0, reply.status, reply.body, reply.complete)


def _report(seed: int, history: History, world: World, broken: list[str]) -> None:
    statuses = Counter(sent.status for sent in history.sent)
    counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    print(f"seed {seed}: {len(history.faults)} steps, {counts}, {len(broken)} broken", flush=True)
    if broken:
        lines = [*history.faults, "", *broken, "", *map(repr, history.sent)]
        (world.fleet.folder / "history.txt").write_text("\n".join(lines))
        print(f"  kept in {world.fleet.folder}")
        for line in broken[:10]:
            print(f"  {line}")


def main() -> None:
    """Parse the arguments and run the seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--callers", type=int, default=8)
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken = [
        seed
        for seed in seeds
        if run_seed(seed, arguments.seconds, arguments.nodes, arguments.callers)
    ]
    print(f"{len(seeds) - len(broken)} passed, {len(broken)} failed")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
