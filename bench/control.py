"""Measure the control traffic and CPU use of a node, and how fast all nodes apply changes.

python -m bench.control [--nodes N ...] [--seconds S]

For each fleet size, node processes run on one machine without requests: idle, with configuration
changes at a rate of 16,000 a day, and with a burst of changes. The bytes are those of messages
between nodes and of log request bodies, without HTTP, TCP and IP headers. Afterwards six nodes
serve requests, to count their appends to the log.
"""

import argparse
import os
import re
import threading
import time
import urllib.request
from datetime import datetime
from statistics import median, quantiles

from attrs import frozen

from standins.demo import KEY, await_ready, send_chat_request
from standins.fleet import Fleet, call_json

CHANGES_PER_DAY = 16_000
BURST_CHANGES = 200
BYTES_PATTERN = re.compile(r"^bronzetiller_(?:sent|log)_bytes_total{.*} (\S+)$", re.MULTILINE)
RECORD_DECIDED_PATTERN = re.compile(
    r"^time=(\S+) .*event=record_decided offset=(\d+) ", re.MULTILINE
)
REGIONS = ("north", "middle", "south")
CALLER_THREADS = 24


@frozen
class ResourceUsage:
    """Hold the CPU time and the bytes sent by one node since its start."""

    cpu_seconds: float
    sent_bytes: float


def start_fleet(node_count: int, data_centre_count: int, **settings: object) -> Fleet:
    """Start the platform and nodes spread over data centres in three regions."""
    fleet = Fleet()
    fleet.start_platform()
    for index in range(node_count):
        data_centre = index % data_centre_count
        region = REGIONS[data_centre % len(REGIONS)]
        fleet.add_node(f"node-{index}", region, f"{region}-{data_centre}", **settings)
    for index in range(node_count):
        await_ready(fleet, f"node-{index}", 60.0)
    return fleet


def read_usage(fleet: Fleet, node_id: str) -> ResourceUsage:
    """Return the resource usage of a node since its start."""
    pid = fleet.processes[node_id].popen.pid
    with open(f"/proc/{pid}/stat") as stat_file:
        fields = stat_file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    url = f"http://{fleet.caller_address(node_id)}/metrics"
    with urllib.request.urlopen(url, timeout=10) as response:
        text = response.read().decode()
    sent = sum(float(value) for value in BYTES_PATTERN.findall(text))
    return ResourceUsage(ticks / os.sysconf("SC_CLK_TCK"), sent)


def measure_usage(fleet: Fleet, seconds: float) -> tuple[float, float, float]:
    """Return the median and highest bytes per second of a node, and the median CPU use in %."""
    node_ids = [vm["vm_id"] for vm in fleet.list_nodes()]
    before = {node_id: read_usage(fleet, node_id) for node_id in node_ids}
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started_at
    after = {node_id: read_usage(fleet, node_id) for node_id in node_ids}
    rates = [(after[n].sent_bytes - before[n].sent_bytes) / elapsed for n in node_ids]
    cpu_percents = [
        100 * (after[n].cpu_seconds - before[n].cpu_seconds) / elapsed for n in node_ids
    ]
    return median(rates), max(rates), median(cpu_percents)


def publish_changes(fleet: Fleet, count: int, interval_seconds: float) -> list[int]:
    """Publish routes; return the offsets of their records."""
    offsets = []
    for index in range(count):
        name = f"change-{time.time_ns()}-{index}"
        offsets.append(fleet.publish("route", name, {"service": "names"}))
        time.sleep(interval_seconds)
    return offsets


def measure_delays(fleet: Fleet, offsets: list[int]) -> tuple[float, float, int]:
    """Return the median and 99th percentile of the seconds to a node's decision, and the count."""
    published_at = {entry["offset"]: entry["at"] for entry in fleet.read_stream("configuration")}
    published_offsets = set(offsets)
    delays = []
    for vm in fleet.list_nodes():
        text = (fleet.folder / f"{vm['vm_id']}.log").read_text()
        for at, offset in RECORD_DECIDED_PATTERN.findall(text):
            if int(offset) in published_offsets:
                decided_at = datetime.fromisoformat(at).timestamp()
                delays.append(decided_at - published_at[int(offset)])
    return median(delays), quantiles(delays, n=100)[98], len(delays)


def measure_fleet_size(count: int, seconds: float) -> None:
    """Measure one fleet size and print its row."""
    fleet = start_fleet(count, min(12, max(3, count // 4)))
    try:
        time.sleep(10.0)  # until the links between the nodes are up
        idle = measure_usage(fleet, seconds)
        interval = 24 * 3600 / CHANGES_PER_DAY
        paced = publish_changes(fleet, max(4, int(seconds / interval)), interval)
        burst = publish_changes(fleet, BURST_CHANGES, 0.0)
        time.sleep(5.0)
        paced_delays = measure_delays(fleet, paced)
        burst_delays = measure_delays(fleet, burst)
    finally:
        fleet.close()
    delays = [f"{part[0]:.3f} / {part[1]:.3f} ({part[2]})" for part in (paced_delays, burst_delays)]
    cells = [str(count), f"{idle[0]:.0f}", f"{idle[1]:.0f}", f"{idle[2]:.1f}", *delays]
    print(f"| {' | '.join(cells)} |", flush=True)


def measure_appends(seconds: float, appends_per_second_max: float) -> None:
    """Measure the appends and responses per second of six nodes under load; print a row."""
    fleet = start_fleet(6, 3, fleet={"appends_per_second_max": appends_per_second_max})
    try:
        fleet.add_target("engine-1", "names", "north", "north-0", "--token-seconds", "0.001")
        fleet.publish_workspace("studio", KEY, 100_000_000)
        fleet.publish("route", "namer", {"service": "names"})
        time.sleep(5.0)
        addresses = [vm["address"] for vm in fleet.list_nodes()]
        response_seconds: list[float] = []
        end_at = time.monotonic() + seconds

        def send_requests(index: int) -> None:
            while time.monotonic() < end_at:
                started_at = time.monotonic()
                send_chat_request(addresses[index % len(addresses)], f"caller {index}")
                response_seconds.append(time.monotonic() - started_at)

        before = call_json(fleet.log_address, "/control/counts")["appends"]
        threads = [
            threading.Thread(target=send_requests, args=(index,)) for index in range(CALLER_THREADS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        appends = call_json(fleet.log_address, "/control/counts")["appends"] - before
    finally:
        fleet.close()
    print(
        f"| {appends_per_second_max:.0f} | {appends / seconds:.1f} "
        f"| {len(response_seconds) / seconds:.1f} "
        f"| {median(response_seconds):.3f} / {quantiles(response_seconds, n=20)[18]:.3f} |",
        flush=True,
    )


def main() -> None:
    """Measure every fleet size, then the appends under two rate limits."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="*", default=[6, 24, 60])
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    print("| nodes | bytes/s, median | bytes/s, most | core, % | paced changes, s | burst, s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in arguments.nodes:
        measure_fleet_size(count, arguments.seconds)
    print("| appends/s allowed | appends/s | answers/s | seconds to the answer, p50 / p95 |")
    print("| --- | --- | --- | --- |")
    for appends_per_second_max in (300.0, 20.0):
        measure_appends(arguments.seconds / 2, appends_per_second_max)


if __name__ == "__main__":
    main()
