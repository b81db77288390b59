"""Compare the HTTP front end of one router with plain circuits.web and an earlier checkout.

python -m bench.front [--earlier CHECKOUT] [--scale N]

Rates are per second of CPU time of the measured process, so that the load generator and the
stand-ins do not affect them.
"""

import argparse
import asyncio
import os
import subprocess
import sys
import time
from pathlib import Path

import yaml

from bench.connections import find_quantile, make_chat_request, make_get_request, send_repeatedly
from standins.fleet import Fleet, Process, call_json, start_process

API_KEY = "bench-key"
STREAM_TOKENS = 200
# Settings that earlier versions accept too.
COMMON_SETTINGS = ("region", "data_centre", "fleet_secret", "listen", "platform")


def read_cpu_seconds(process: Process) -> float:
    """Return the CPU time (seconds) that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def start_earlier_router(fleet: Fleet, checkout: str) -> Process:
    """Start a node from another checkout, with the settings of node-1."""
    path = fleet.folder / "earlier.yaml"
    settings = {name: fleet.settings["node-1"][name] for name in COMMON_SETTINGS}
    path.write_text(yaml.safe_dump(settings | {"node_id": "earlier"}))
    popen = subprocess.Popen(
        [sys.executable, "-m", "bronzetiller", "node", str(path)],
        stdout=subprocess.PIPE,
        stderr=(fleet.folder / "earlier.log").open("w"),
        text=True,
        cwd=checkout,
        env=os.environ | {"PYTHONPATH": checkout},
    )
    assert popen.stdout is not None
    pairs = [pair.partition("=") for pair in popen.stdout.readline().split()[1:]]
    process = Process("earlier", popen, {key: value for key, _, value in pairs})
    fleet.processes["earlier"] = process
    return process


def await_ready(address: str) -> None:
    """Wait until a node serves callers."""
    while True:
        try:
            if call_json(address, "/readyz")["ready"]:
                return
        except OSError:
            time.sleep(0.05)


def measure_rate(
    process: Process, address: str, request: bytes, connections: int, total: int
) -> tuple[float, float]:
    """Return the responses and the streamed chunks per second of CPU time."""
    asyncio.run(send_repeatedly(address, request, connections, connections))
    cpu_seconds_before = read_cpu_seconds(process)
    timings = asyncio.run(send_repeatedly(address, request, connections, total))
    cpu_seconds = read_cpu_seconds(process) - cpu_seconds_before
    succeeded = [timing for timing in timings if timing.status == 200]
    assert len(succeeded) == len(timings), {timing.status for timing in timings}
    return len(succeeded) / cpu_seconds, sum(timing.chunks for timing in succeeded) / cpu_seconds


def report_rates(name: str, process: Process, address: str, scale: int) -> None:
    """Measure and print the request and chunk rates of one server."""
    sequential, _ = measure_rate(process, address, make_get_request("/healthz"), 1, 2000 * scale)
    concurrent, _ = measure_rate(process, address, make_get_request("/healthz"), 32, 4000 * scale)
    line = (
        f"rates name={name} hello_per_core_s={sequential:.0f} hello_32_per_core_s={concurrent:.0f}"
    )
    if name != "bare":
        plain = make_chat_request(API_KEY, "name a pond", 8, stream=False)
        chats, _ = measure_rate(process, address, plain, 16, 400 * scale)
        streamed = make_chat_request(API_KEY, "name a pond", STREAM_TOKENS, stream=True)
        _, chunks = measure_rate(process, address, streamed, 32, 96 * scale)
        line += f" chat_per_core_s={chats:.0f} chunks_per_core_s={chunks:.0f}"
    print(line, flush=True)


def report_delays(name: str, address: str, scale: int) -> None:
    """Measure and print the times to the first token and between tokens under light load."""
    request = make_chat_request(API_KEY, "name a pond", 64, stream=True)
    timings = asyncio.run(send_repeatedly(address, request, 4, 80 * scale))
    first = [timing.first_token_seconds * 1000 for timing in timings]
    gaps = [gap * 1000 for timing in timings for gap in timing.gap_seconds]
    print(
        f"delays name={name} first_ms_p50={find_quantile(first, 0.5):.1f}"
        f" first_ms_p95={find_quantile(first, 0.95):.1f}"
        f" gap_ms_p50={find_quantile(gaps, 0.5):.2f} gap_ms_p95={find_quantile(gaps, 0.95):.2f}",
        flush=True,
    )


def main() -> None:
    """Measure every server once."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--earlier")
    parser.add_argument("--scale", type=int, default=1)
    arguments = parser.parse_args()
    fleet = Fleet()
    try:
        fleet.start_platform()
        target = fleet.add_target(
            "engine-1", "names", "west", "west-1", "--token-seconds", "0.01"
        ).ready["address"]
        node = fleet.add_node("node-1", "west", "west-1")
        fleet.publish_workspace("studio", API_KEY, 100_000_000)
        fleet.publish("route", "namer", {"service": "names"})
        bare = start_process("bare", ["bench.bare"], fleet.folder / "bare.log")
        fleet.processes["bare"] = bare
        callers = fleet.caller_address("node-1")
        await_ready(callers)
        report_rates("bare", bare, bare.ready["address"], arguments.scale)
        if arguments.earlier:
            earlier = start_earlier_router(fleet, arguments.earlier)
            await_ready(earlier.ready["callers"])
            report_rates("earlier", earlier, earlier.ready["callers"], arguments.scale)
            report_delays("earlier", earlier.ready["callers"], arguments.scale)
        report_rates("router", node, callers, arguments.scale)
        report_delays("router", callers, arguments.scale)
        report_delays("engine", target, arguments.scale)
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
