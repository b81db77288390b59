"""Measure goodput, fairness and refusals of one router at 1, 2 and 5 times the capacity.

python -m bench.overload [--seed N] [--seconds S] [--weight W] [--load L ...]

The capacity follows from the slots and the token rate of the targets. One large workspace (of
weight W, by default ten) sends ten times as much as each ordinary one. The baseline, measured in
the same run, is the same router with limits so high that its queue refuses nothing.
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
    address: str, rate: float, seconds: float, rng: random.Random
) -> list[tuple[str, ResponseTiming]]:
    """Send requests at random times, whether or not earlier ones have been answered."""
    senders = ["large"] * LARGE_WORKSPACE_RATIO + [
        f"ordinary-{number}" for number in range(ORDINARY_WORKSPACES)
    ]
    timings: list[tuple[str, ResponseTiming]] = []
    idle_clients: list[KeepAliveClient] = []

    async def send_request(workspace: str, number: int) -> None:
        client = idle_clients.pop() if idle_clients else KeepAliveClient(address)
        request = make_chat_request(
            workspace, f"{workspace} {number}", RESPONSE_TOKENS, stream=True
        )
        timings.append((workspace, await client.send(request)))
        idle_clients.append(client)

    tasks: list[asyncio.Task[None]] = []
    send_at = time.perf_counter()
    end_at = send_at + seconds
    while send_at < end_at:
        send_at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, send_at - time.perf_counter()))
        tasks.append(asyncio.create_task(send_request(rng.choice(senders), len(tasks))))
    await asyncio.gather(*tasks)
    for client in idle_clients:
        client.close()
    return timings


def format_figures(
    name: str, load: float, timings: list[tuple[str, ResponseTiming]], seconds: float
) -> str:
    """Return one line of figures; a response is good if it ended before the deadline."""
    good = [
        (workspace, timing)
        for workspace, timing in timings
        if timing.status == 200 and timing.total_seconds <= GOODPUT_DEADLINE_SECONDS
    ]
    refused = [timing for _, timing in timings if timing.reason == "overloaded"]
    other = len([timing for _, timing in timings if timing.status != 200]) - len(refused)
    ordinary = [
        timing.total_seconds
        for workspace, timing in timings
        if workspace != "large" and timing.status == 200
    ]
    large = sum(workspace == "large" for workspace, _ in good)
    return (
        f"overload name={name} load={load} sent={len(timings)}"
        f" goodput_per_s={len(good) / seconds:.1f}"
        f" ordinary_answered={_compute_good_fraction(timings, large=False):.2f}"
        f" large_answered={_compute_good_fraction(timings, large=True):.2f}"
        f" large_share={large / max(1, len(good)):.2f} refused={len(refused)} other={other}"
        f" refused_after_ms_p95="
        f"{find_quantile([t.total_seconds * 1000 for t in refused], 0.95):.0f}"
        f" ordinary_s_p50={find_quantile(ordinary, 0.5):.2f}"
        f" ordinary_s_p95={find_quantile(ordinary, 0.95):.2f}"
    )


def _compute_good_fraction(timings: list[tuple[str, ResponseTiming]], *, large: bool) -> float:
    """Return the fraction of good responses to the large or the ordinary workspaces."""
    selected = [timing for workspace, timing in timings if (workspace == "large") is large]
    good = [t for t in selected if t.status == 200 and t.total_seconds <= GOODPUT_DEADLINE_SECONDS]
    return len(good) / max(1, len(selected))


def main() -> None:
    """Measure every load with both queue limits."""
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
                for workspace in ["large"] + [
                    f"ordinary-{number}" for number in range(ORDINARY_WORKSPACES)
                ]:
                    digest = hashlib.sha256(workspace.encode()).hexdigest()
                    weight = arguments.weight if workspace == "large" else 1
                    body = {"key_digests": [digest], "weight": weight}
                    fleet.publish("workspace", workspace, body)
                    fleet.publish(
                        "top-up", f"{workspace}-1", {"workspace": workspace, "tokens": 10_000_000}
                    )
                fleet.publish("route", "namer", {"service": "names"})
                address = fleet.caller_address("node-1")
                await_ready(address)
                rng = random.Random(arguments.seed)
                asyncio.run(send_open_loop(address, 0.5 * capacity, 2.0, rng))
                timings = asyncio.run(
                    send_open_loop(address, load * capacity, arguments.seconds, rng)
                )
                print(format_figures(name, load, timings, arguments.seconds), flush=True)
            finally:
                fleet.close()


if __name__ == "__main__":
    main()
