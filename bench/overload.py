"""Measure goodput, fairness and refusals of one router at 1, 2 and 5 times its capacity.

python -m bench.overload [--seed N] [--seconds S] [--weight W] [--load L ...]

The engines' slots and pace give the capacity. One workspace (of weight W, by default ten) sends
ten times as much as each of the ordinary ones. The baseline is the same router with a queue that
never holds or refuses anything, in the same run.
"""

import argparse
import asyncio
import hashlib
import random
import time

from bench.connections import KeepAliveClient, ResponseTiming, find_quantile, make_chat_request
from bench.front import await_ready
from standins.fleet import Fleet

TARGET_COUNT = 2
SLOTS_PER_TARGET = 8
RESPONSE_TOKENS = 20
TOKEN_SECONDS = 0.02
FIRST_TOKEN_SECONDS = 0.02
ORDINARY_WORKSPACES = 9
LARGE_WORKSPACE_RATIO = 10
GOODPUT_DEADLINE_SECONDS = 3.0
BOUNDED_QUEUE = {"requests_waiting_max": 64, "queue_seconds": 2.0}
UNBOUNDED_QUEUE = {"requests_waiting_max": 100_000, "queue_seconds": 1_000.0}


async def send_open_loop(
    address: str, rate: float, seconds: float, source: random.Random
) -> list[tuple[str, ResponseTiming]]:
    """Send requests at random times whether or not earlier ones have their answers."""
    names = ["large"] * LARGE_WORKSPACE_RATIO + [
        f"ordinary-{number}" for number in range(ORDINARY_WORKSPACES)
    ]
    outcomes: list[tuple[str, ResponseTiming]] = []
    idle: list[KeepAliveClient] = []

    async def send(name: str, number: int) -> None:
        caller = idle.pop() if idle else KeepAliveClient(address)
        request = make_chat_request(name, f"{name} {number}", RESPONSE_TOKENS, stream=True)
        outcomes.append((name, await caller.send(request)))
        idle.append(caller)

    tasks: list[asyncio.Task[None]] = []
    due = time.perf_counter()
    end = due + seconds
    while due < end:
        due += source.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.create_task(send(source.choice(names), len(tasks))))
    await asyncio.gather(*tasks)
    for caller in idle:
        caller.close()
    return outcomes


def format_figures(
    name: str, load: float, outcomes: list[tuple[str, ResponseTiming]], seconds: float
) -> str:
    """Return one line of figures; an answer is good if it ended within the callers' patience."""
    good = [
        (who, o) for who, o in outcomes if o.status == 200 and o.seconds <= GOODPUT_DEADLINE_SECONDS
    ]
    refused = [o for _, o in outcomes if o.reason == "overloaded"]
    other = len([o for _, o in outcomes if o.status != 200]) - len(refused)
    ordinary = [o.seconds for who, o in outcomes if who != "large" and o.status == 200]
    large = sum(who == "large" for who, _ in good)
    return (
        f"overload name={name} load={load} sent={len(outcomes)}"
        f" goodput_per_s={len(good) / seconds:.1f}"
        f" ordinary_answered={_compute_good_fraction(outcomes, large=False):.2f}"
        f" large_answered={_compute_good_fraction(outcomes, large=True):.2f}"
        f" large_share={large / max(1, len(good)):.2f} refused={len(refused)} other={other}"
        f" refused_after_ms_p95={find_quantile([o.seconds * 1000 for o in refused], 0.95):.0f}"
        f" ordinary_s_p50={find_quantile(ordinary, 0.5):.2f}"
        f" ordinary_s_p95={find_quantile(ordinary, 0.95):.2f}"
    )


def _compute_good_fraction(outcomes: list[tuple[str, ResponseTiming]], *, large: bool) -> float:
    """Return the share of good answers among what the large or the ordinary ones asked for."""
    own = [outcome for who, outcome in outcomes if (who == "large") is large]
    good = [o for o in own if o.status == 200 and o.seconds <= GOODPUT_DEADLINE_SECONDS]
    return len(good) / max(1, len(own))


def main() -> None:
    """Run every load on both routers."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--weight", type=int, default=10)
    parser.add_argument("--load", type=float, action="append")
    arguments = parser.parse_args()
    capacity = (
        TARGET_COUNT
        * SLOTS_PER_TARGET
        / (FIRST_TOKEN_SECONDS + (RESPONSE_TOKENS + 1) * TOKEN_SECONDS)
    )
    print(f"overload capacity_per_s={capacity:.1f} seed={arguments.seed}", flush=True)
    for name, limits in (("fair", BOUNDED_QUEUE), ("boundless", UNBOUNDED_QUEUE)):
        for load in arguments.load or (1.0, 2.0, 5.0):
            fleet = Fleet()
            try:
                fleet.start_platform()
                pace = ["--token-seconds", str(TOKEN_SECONDS), "--slots", str(SLOTS_PER_TARGET)]
                for number in range(TARGET_COUNT):
                    fleet.add_target(f"engine-{number}", "names", "west", "west-1", *pace)
                routing = {"load_interval_seconds": 0.5}
                fleet.add_node("node-1", "west", "west-1", limits=limits, routing=routing)
                for who in ["large"] + [
                    f"ordinary-{number}" for number in range(ORDINARY_WORKSPACES)
                ]:
                    digest = hashlib.sha256(who.encode()).hexdigest()
                    weight = arguments.weight if who == "large" else 1
                    body = {"key_digests": [digest], "weight": weight}
                    fleet.publish("workspace", who, body)
                    fleet.publish("top-up", f"{who}-1", {"workspace": who, "tokens": 10_000_000})
                fleet.publish("route", "namer", {"service": "names"})
                address = fleet.caller_address("node-1")
                await_ready(address)
                source = random.Random(arguments.seed)
                asyncio.run(send_open_loop(address, 0.5 * capacity, 2.0, source))
                outcomes = asyncio.run(
                    send_open_loop(address, load * capacity, arguments.seconds, source)
                )
                print(format_figures(name, load, outcomes, arguments.seconds), flush=True)
            finally:
                fleet.close()


if __name__ == "__main__":
    main()
