"""Measure the time from the append of an operator record until every node has applied it.

python -m bench.configuration [--records N] [--deployment NAME]

The nodes are spread over data centres as in the chosen deployment. The first pass uses the typical
link delays and the bandwidth between regions; the second gives every link a delay of 0.2 s and a
bandwidth of 20 kB/s.
"""

import argparse
import statistics
import time

from bench.deployments import DEPLOYMENTS, Deployment, reset_links
from standins.demo import await_ready
from standins.fleet import OPERATOR_TOKEN, Fleet, call_json

POLL_SECONDS = 0.005
OFFSET_PAST_END = 10**15 - 1  # requests a report without entries
NARROW_LINK_BYTES_PER_SECOND = 20_000


def start_fleet(deployment: Deployment) -> tuple[Fleet, list[str]]:
    """Start the platform and the nodes; return the fleet and the node ids."""
    fleet = Fleet(with_links=True)
    fleet.start_platform()
    node_ids = []
    for index, data_centre in enumerate(deployment.nodes, 1):
        node_ids.append(f"node-{index}")
        fleet.add_node(node_ids[-1], deployment.data_centres[data_centre], data_centre)
    for node_id in node_ids:
        await_ready(fleet, node_id)
    return fleet, node_ids


def read_next_offset(fleet: Fleet, node_id: str) -> int:
    """Return the offset of the next record that a node will apply."""
    path = f"/v1/report?from={OFFSET_PAST_END}"
    report = call_json(fleet.caller_address(node_id), path, token=OPERATOR_TOKEN)
    return int(report["next_offset"])


def measure_record_delay(fleet: Fleet, node_ids: list[str], route: str) -> float:
    """Publish a route; return the seconds until the last node has applied its record."""
    started_at = time.monotonic()
    offset = fleet.publish("route", route, {"service": "names"})
    pending = set(node_ids)
    while pending:
        pending = {node_id for node_id in pending if read_next_offset(fleet, node_id) <= offset}
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started_at


def print_delays(fleet: Fleet, node_ids: list[str], label: str, records: int) -> None:
    """Publish some records and print their median and longest delay."""
    seconds = [
        measure_record_delay(fleet, node_ids, f"{label}-{index}") for index in range(records)
    ]
    median, longest = statistics.median(seconds), max(seconds)
    print(f"{label}: median {median:.3f} s, longest {longest:.3f} s, {records} records")


def main() -> None:
    """Measure with the typical links, then with narrow ones."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--records", type=int, default=50)
    parser.add_argument("--deployment", choices=list(DEPLOYMENTS), default=next(iter(DEPLOYMENTS)))
    arguments = parser.parse_args()
    deployment = DEPLOYMENTS[arguments.deployment]
    fleet, node_ids = start_fleet(deployment)
    try:
        reset_links(fleet, deployment)
        print_delays(fleet, node_ids, "usual-links", arguments.records)
        narrow = {"delay_seconds": 0.2, "bytes_per_second": NARROW_LINK_BYTES_PER_SECOND}
        fleet.set_fault(lambda source, destination: True, **narrow)
        print_delays(fleet, node_ids, "narrow-links", arguments.records)
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
