"""Measure how long an appended operator record takes until it is in force on every node.

python -m bench.configuration [--records N] [--deployment NAME]

The fleet has the deployment's places, with the links' usual delays and the regional bandwidth. A
second pass gives every link a delay of 0.2 s and 20 kB/s.
"""

import argparse
import statistics
import time

from bench.deployments import DEPLOYMENTS, Deployment, reset_links
from standins.demo import await_ready
from standins.fleet import OPERATOR_TOKEN, Fleet, call_json

POLL_SECONDS = 0.005
OFFSET_PAST_END = 10**15 - 1
NARROW_LINK_BYTES_PER_SECOND = 20_000


def start_fleet(deployment: Deployment) -> tuple[Fleet, list[str]]:
    """Start the platform and the nodes; return their ids."""
    fleet = Fleet(with_links=True)
    fleet.start_platform()
    names = []
    for index, data_centre in enumerate(deployment.nodes, 1):
        names.append(f"node-{index}")
        fleet.add_node(names[-1], deployment.data_centres[data_centre], data_centre)
    for name in names:
        await_ready(fleet, name)
    return fleet, names


def read_next_offset(fleet: Fleet, name: str) -> int:
    """Return the offset of the next record that a node will apply."""
    path = f"/v1/report?from={OFFSET_PAST_END}"
    report = call_json(fleet.caller_address(name), path, token=OPERATOR_TOKEN)
    return int(report["next_offset"])


def measure_record_delay(fleet: Fleet, names: list[str], name: str) -> float:
    """Publish one record; return the seconds until the last node has applied it."""
    began = time.monotonic()
    offset = fleet.publish("route", name, {"service": "names"})
    waiting = set(names)
    while waiting:
        waiting = {item for item in waiting if read_next_offset(fleet, item) <= offset}
        time.sleep(POLL_SECONDS)
    return time.monotonic() - began


def print_delays(fleet: Fleet, names: list[str], label: str, records: int) -> None:
    """Print the median and the longest time over some records."""
    seconds = [measure_record_delay(fleet, names, f"{label}-{index}") for index in range(records)]
    median, longest = statistics.median(seconds), max(seconds)
    print(f"{label}: median {median:.3f} s, longest {longest:.3f} s, {records} records")


def main() -> None:
    """Measure with usual links and with narrow ones to the second region."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--records", type=int, default=50)
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default=next(iter(DEPLOYMENTS)))
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[arguments.deployment]
    fleet, names = start_fleet(deployment)
    try:
        reset_links(fleet, deployment)
        print_delays(fleet, names, "usual-links", arguments.records)
        narrow = {"delay_seconds": 0.2, "bytes_per_second": NARROW_LINK_BYTES_PER_SECOND}
        fleet.set_fault(lambda source, destination: True, **narrow)
        print_delays(fleet, names, "narrow-links", arguments.records)
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
