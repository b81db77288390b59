"""Send SIGHUP to processes shortly after their start and count those that end by it."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "stand2"))

from world import TROUBLE, Node, World, run_case  # noqa: E402

ZONES = ("regina-a",) * 3 + ("saskatoon-b",) * 2 + ("winnipeg-a",) * 2
SIGNAL_SECONDS = 0.2  # after the start of the process
RESTART_SECONDS = 0.5  # an exited process is started again "after a short delay"
MACHINES_MIN = 2  # a tenth of the machines, two at least
ENDS_MIN = 3
TOLD = 2  # machines that get SIGHUP: hup has share .3, of 7


async def play(world: World) -> str | None:
    """Return what was broken."""
    world.configure(1)
    await world.add_engine("i-1", "namegen", "regina-a")
    world.nodes = [Node(world, f"edge-{zone}-{item + 1}", zone) for item, zone in enumerate(ZONES)]
    ends = dict.fromkeys((node.name for node in world.nodes), 0)

    async def watch(node: Node, is_told: bool) -> None:
        """Start the process; tell it after each start that its settings have changed."""
        for _ in range(ENDS_MIN + 1):
            node.start()
            assert node.process is not None
            if TROUBLE and is_told:
                await asyncio.sleep(SIGNAL_SECONDS)
                if node.process.poll() is None:
                    node.write_settings()
                    node.send_signal(signal.SIGHUP)
            until = time.monotonic() + 6
            while node.process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.02)
            status = node.process.poll()
            if status is None:
                world.record.note(f"{node.name} runs on")
                return
            ends[node.name] += 1
            world.record.note(f"{node.name} ended by itself with {status}")
            await asyncio.sleep(RESTART_SECONDS)

    tasks = [watch(node, number < TOLD) for number, node in enumerate(world.nodes)]
    await asyncio.gather(*tasks)
    machines = sum(number >= ENDS_MIN for number in ends.values())
    world.record.note(f"ends by themselves: {ends}")
    ready = [node for node in world.nodes if node.process and node.process.poll() is None]
    for node in ready:
        await node.await_ready()
    if machines >= MACHINES_MIN:
        return (
            f"Fault: on {machines} of {len(ends)} machines processes ended by themselves"
            f" {ENDS_MIN} times or more"
        )
    return None


run_case(Path(__file__).resolve().parent, play)
