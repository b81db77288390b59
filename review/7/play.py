"""Send a stream that crashes each engine while it runs, again and again, and count its runs."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

from world import TROUBLE, Engine, Run, World, run_case  # noqa: E402

ZONES = ("regina-a", "saskatoon-b", "winnipeg-a")
ENGINES = 12
BACK_SECONDS = 3.0  # "the engine is back after some seconds"
CRASH_EVENTS = int(os.environ.get("CRASH_EVENTS", "50"))  # of 120, 20 ms apart
CONTACT_SECONDS = 4.0  # contact_ms
COMES = 15
RETRIES_MAX = 3
HEADERS = {"X-Token-Usage": "40,120", "X-Prompt-Prefix": "deadbeef:40"}


async def play(world: World) -> str | None:
    """Return what was broken."""
    world.configure(1)
    crashes: list[float] = []
    poison: set[str] = set()

    def watch(engine: Engine) -> None:
        def choose(run: Run) -> int | None:
            return CRASH_EVENTS if TROUBLE and run.request_id in poison else None

        def crash() -> None:
            if engine.beats:
                crashes.append(world.record.now())
                world.record.note(f"{engine.name} crashes")
                engine.go_down()
                world.tasks.append(asyncio.create_task(engine.come_back(BACK_SECONDS)))

        engine.cut_after, engine.on_cut = choose, crash

    for number in range(ENGINES):
        engine = await world.add_engine(
            f"i-{number}", "namegen", ZONES[number % 3], work_seconds=0.02
        )
        watch(engine)
    await world.start_nodes(*ZONES)

    async def send_sound() -> None:
        while True:
            for node in world.nodes:
                world.tasks.append(asyncio.create_task(world.send(node, "draft")))
            await asyncio.sleep(0.3)

    world.tasks.append(asyncio.create_task(send_sound()))
    await asyncio.sleep(3)
    for number in range(COMES):
        request_id = world.next_id()
        poison.add(request_id)
        node = world.nodes[number % len(world.nodes)]
        task = world.send(
            node, "draft", request_id, **{n.replace("-", "_"): v for n, v in HEADERS.items()}
        )
        world.tasks.append(asyncio.create_task(task))
        await asyncio.sleep(1.0)
    await asyncio.sleep(5)
    arrivals = [run.at for run in world.runs if run.request_id in poison]
    late = [at for at in arrivals if len(crashes) >= 3 and at > crashes[2] + CONTACT_SECONDS]
    world.record.note(
        f"{len(poison)} times sent by clients, {len(arrivals)} arrivals at engines, {len(crashes)}"
        f" crashes; {len(late)} arrivals later than {CONTACT_SECONDS} s after the third crash"
    )
    if len(late) > RETRIES_MAX:
        return (
            f"BUDGET: {len(late)} arrivals of a request later than {CONTACT_SECONDS} s after it"
            f" had crashed three engines; it crashed {len(crashes)} in all"
        )
    return None


run_case(Path(__file__).resolve().parent, play)
