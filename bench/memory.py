"""Measure the resident memory of a node: idle, per idle connection and per open stream.

python -m bench.memory
"""

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from bench.slopes import Slope, fit_slope
from standins.demo import await_ready
from standins.fleet import Fleet, Process

API_KEY = "memory-key"
TOKEN_SECONDS = 600.0  # keeps streams open during a measurement
SETTLE_SECONDS = 2.0

Opener = Callable[[str], Coroutine[Any, Any, asyncio.StreamWriter]]


def read_resident_bytes(process: Process) -> float:
    """Return the resident memory of a process in bytes."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return float(line.split()[1]) * 1024


async def open_connection(address: str) -> asyncio.StreamWriter:
    """Open a connection and send nothing."""
    ip, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(ip, int(port))
    return writer


async def open_stream(address: str) -> asyncio.StreamWriter:
    """Open a streamed chat that lasts long; return once its first event has begun."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    message = {"role": "user", "content": "x" * 400}
    body = json.dumps(
        {"model": "namer", "messages": [message], "max_tokens": 100, "stream": True}
    ).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await reader.readuntil(b"data: ")
    return writer


async def measure_open(process: Process, address: str, opener: Opener, count: int) -> float:
    """Return the resident memory of a node with this many connections of one kind open."""
    writers = await asyncio.gather(*(opener(address) for _ in range(count)))
    await asyncio.sleep(SETTLE_SECONDS)
    resident = read_resident_bytes(process)
    for writer in writers:
        writer.close()
    return resident


def measure_count(opener: Opener, count: int) -> float:
    """Start a node and return its resident memory with this many connections of one kind open."""
    fleet = Fleet()
    try:
        fleet.start_platform()
        for index in range(4):
            options = ("--token-seconds", str(TOKEN_SECONDS), "--slots", "1000")
            fleet.add_target(f"engine-{index}", "names", "here", "here-1", *options)
        process = fleet.add_node("node-1", "here", "here-1")
        fleet.publish_workspace("studio", API_KEY, 100_000_000)
        fleet.publish("route", "namer", {"service": "names", "silence_seconds": 900.0})
        await_ready(fleet, "node-1")
        address = fleet.caller_address("node-1")
        return asyncio.run(measure_open(process, address, opener, count))
    finally:
        fleet.close()


def format_slope(slope: Slope) -> str:
    """Return a slope as a row of a Markdown table."""
    per_item = f"{slope.per_item / 1024:.1f} KiB"
    fixed = f"{slope.fixed / 1024 / 1024:.1f} MiB"
    return f"| {slope.name} | {per_item} | {fixed} | {slope.check_percent} % |"


def main() -> None:
    """Measure the slopes and print them as a Markdown table."""
    print("| memory | per item | fixed | off the line at the middle size |")
    print("|---|---|---|---|")
    rows = [("idle connection", open_connection, 100, 900), ("open stream", open_stream, 100, 500)]
    for name, opener, small, large in rows:
        slope = fit_slope(name, "bytes", partial(measure_count, opener), small, large)
        print(format_slope(slope))
        sys.stdout.flush()


if __name__ == "__main__":
    main()
