"""Measure both deployments without faults and under each kind of fault.

python -m bench.fleet [--deployment NAME ...] [--fault NAME ...] [--seconds S] [--seed N] [--fill F]

Prints a JSON line for each fault, then a table of all runs. The baselines are measured as well:
requests sent directly to a target, an equal static split of every budget between the nodes
(computed from the requests of each run), and one log round trip per request.
"""

import argparse
import json
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

from attrs import asdict, evolve, field, frozen
from result import Ok

from bench.deployments import (
    DEPLOYMENTS,
    Deployment,
    crosses_regions,
    make_callers,
    reset_links,
    start_deployment,
)
from bench.faults import FAULTS
from bench.load import LoadPlan
from bronzetiller.budgets.ledger import Ledger, Verdict
from bronzetiller.budgets.records import Bill, Close, load_ledger_record
from standins.demo import await_ready
from standins.fleet import Fleet, call_json

DRAIN_SECONDS = 15.0
BUDGET_REASONS = ("budget_exhausted", "budget_unconfirmed")
# Grants are so small and short that each request needs a new one, hence a log round trip.
ROUND_TRIP_BUDGETS = {
    "grant_tokens_min": 1,
    "grant_horizon_seconds": 0.001,
    "grant_cover_seconds": 0.001,
    "idle_return_seconds": 0.001,
    "region_reserve_tokens": 0,
}


@frozen
class RunMetrics:
    """Hold the results of one run; pairs of seconds are median and 95th percentile.

    A crossed response belongs to another request. A refusal is false if it was for lack of budget
    although the tokens left at the end of the run cover the request.
    """

    deployment: str
    fault: str
    requests: int
    answered: int
    overspend_tokens: int
    double_bills: int
    unbilled_answers: int
    crossed: int
    lost: int
    unknown: int
    false_refusals_percent: float
    split_refusals_percent: float
    refusals: dict[str, int]
    first_seconds: tuple[float, float]
    gap_seconds: tuple[float, float]
    appends_per_second: float
    link_bytes: dict[str, int]
    link_bytes_per_second: float
    open_grant_tokens: int
    close_seconds: list[float] = field(factory=list)


def measure_run(
    deployment: Deployment,
    fault: str,
    *,
    seconds: float,
    seed: int,
    fill: float = 1.0,
    settings: dict[str, dict[str, object]] | None = None,
) -> RunMetrics:
    """Run the load of one deployment under one fault and return the results."""
    fleet = start_deployment(deployment, fill=fill, settings=settings or {})
    try:
        for name in fleet.settings:
            await_ready(fleet, name)
        reset_links(fleet, deployment)
        return _run_load(fleet, deployment, fault, seconds, seed)
    finally:
        fleet.close()


def _run_load(
    fleet: Fleet, deployment: Deployment, fault: str, seconds: float, seed: int
) -> RunMetrics:
    loads = _start_loads(fleet, deployment, seconds, seed)
    appends = call_json(fleet.log_address, "/control/counts")["appends"]
    bytes_before = _count_bytes(fleet, deployment)
    started_at = time.monotonic()
    for scheduled in FAULTS[fault]:
        time.sleep(max(0.0, started_at + scheduled.time_fraction * seconds - time.monotonic()))
        scheduled.step(fleet, deployment)
    time.sleep(max(0.0, started_at + seconds - time.monotonic()))
    appends = call_json(fleet.log_address, "/control/counts")["appends"] - appends
    bytes_after = _count_bytes(fleet, deployment)
    requests = [request for load in loads for request in _finish_load(*load)]
    time.sleep(DRAIN_SECONDS if fault in ("kill", "freeze") else 2.0)
    link_bytes = {name: bytes_after[name] - bytes_before[name] for name in bytes_after}
    return _compute_metrics(fleet, deployment, fault, seconds, requests, appends, link_bytes)


def _start_loads(
    fleet: Fleet, deployment: Deployment, seconds: float, seed: int
) -> list[tuple["subprocess.Popen[bytes]", Path]]:
    regions = sorted(set(deployment.data_centres.values()))
    loads = []
    for index, region in enumerate(regions):
        nodes = [name for name in fleet.settings if fleet.vms[name]["region"] == region]
        plan = LoadPlan(
            seed=seed * 100 + index,
            seconds=seconds,
            requests_per_second=deployment.requests_per_second / len(regions),
            entries=[fleet.caller_address(name) for name in nodes],
            callers=make_callers(deployment),
            works=deployment.works,
        )
        loads.append(start_load(fleet.folder, region, plan))
    return loads


def start_load(folder: Path, name: str, plan: LoadPlan) -> tuple["subprocess.Popen[bytes]", Path]:
    """Start a load process; return it and the path of its results."""
    plan_path = folder / f"plan-{name}.json"
    plan_path.write_text(json.dumps(asdict(plan)))
    results = folder / f"results-{name}.jsonl"
    command = [sys.executable, "-m", "bench.load", str(plan_path), str(results)]
    with (folder / f"load-{name}.log").open("w") as log:
        return subprocess.Popen(command, stderr=log), results


def _finish_load(popen: "subprocess.Popen[bytes]", results: Path) -> list[dict[str, Any]]:
    popen.wait(timeout=180)
    return [json.loads(line) for line in results.read_text().splitlines()]


def _count_bytes(fleet: Fleet, deployment: Deployment) -> dict[str, int]:
    def count(purpose: str) -> int:
        return fleet.count_link_bytes(
            lambda source, destination: crosses_regions(fleet, deployment, source, destination)
            and _classify_destination(fleet, destination) == purpose
        )

    return {purpose: count(purpose) for purpose in ("log", "peers", "nodes", "targets", "vms")}


def _classify_destination(fleet: Fleet, destination: str) -> str:
    if destination == "log":
        return "log"
    if destination.startswith("vms"):
        return "vms"
    if destination.endswith("/peer"):
        return "peers"
    return "nodes" if destination in fleet.settings else "targets"


def _compute_metrics(
    fleet: Fleet,
    deployment: Deployment,
    fault: str,
    seconds: float,
    requests: list[dict[str, Any]],
    appends: int,
    link_bytes: dict[str, int],
) -> RunMetrics:
    ledger = Ledger()
    accepted_bills: Counter[tuple[str, str]] = Counter()
    closed_at = []
    for entry in fleet.read_stream("ledger-0"):
        loaded = load_ledger_record(entry["record"])
        if not isinstance(loaded, Ok):
            continue
        record = loaded.ok_value
        result = ledger.apply(entry["at"], record)
        if isinstance(record, Bill) and result.verdict is Verdict.ACCEPTED:
            accepted_bills[(record.workspace, record.request_id)] += 1
        if isinstance(record, Close):
            closed_at.append(entry["at"])
    answered = [item for item in requests if item["outcome"] == "answered"]
    budgets = ledger.budgets.values()
    refusals = Counter(
        attempt["reason"] for item in requests for attempt in item["attempts"] if attempt["reason"]
    )
    return RunMetrics(
        deployment=deployment.name,
        fault=fault,
        requests=len(requests),
        answered=len(answered),
        overspend_tokens=sum(max(0, item.billed - item.credited) for item in budgets),
        double_bills=sum(count - 1 for count in accepted_bills.values()),
        unbilled_answers=sum(
            (item["workspace"], item["request_id"]) not in accepted_bills for item in answered
        ),
        crossed=sum(item["crossed"] for item in requests),
        lost=sum(item["outcome"] == "lost" for item in requests),
        unknown=sum(item["outcome"] == "unknown" for item in requests),
        false_refusals_percent=_count_false_refusals(requests, ledger),
        split_refusals_percent=_replay_static_split(requests, ledger, len(deployment.nodes)),
        refusals=dict(refusals.most_common()),
        first_seconds=_compute_percentiles(
            [item["first_seconds"] for item in answered if item["first_seconds"]]
        ),
        gap_seconds=_compute_percentiles(
            [gap for item in answered for gap in item["gaps_seconds"]]
        ),
        appends_per_second=round(appends / seconds, 1),
        link_bytes=link_bytes,
        link_bytes_per_second=round(sum(link_bytes.values()) / seconds),
        open_grant_tokens=sum(item.granted - item.billed for item in budgets),
        close_seconds=[round(at - requests[0]["started_at"], 1) for at in closed_at],
    )


def _count_false_refusals(requests: list[dict[str, Any]], ledger: Ledger) -> float:
    false_refusals = 0
    for item in requests:
        budget = ledger.budgets[item["workspace"]]
        remaining_tokens = budget.credited - budget.billed
        refused = any(attempt["reason"] in BUDGET_REASONS for attempt in item["attempts"])
        false_refusals += refused and remaining_tokens >= _estimate_tokens_max(item)
    return round(100.0 * false_refusals / max(1, len(requests)), 3)


def _replay_static_split(requests: list[dict[str, Any]], ledger: Ledger, nodes: int) -> float:
    node_tokens: dict[tuple[str, str], int] = {}
    spent_tokens: Counter[str] = Counter()
    refused = 0  # although the workspace as a whole has enough tokens
    for item in sorted(requests, key=lambda item: item["started_at"]):
        workspace = item["workspace"]
        credited = ledger.budgets[workspace].credited
        key = (workspace, item["attempts"][0]["address"])
        tokens_max = _estimate_tokens_max(item)
        remaining_tokens = node_tokens.setdefault(key, credited // nodes)
        if remaining_tokens >= tokens_max:  # a request is taken to use half of its maximum
            node_tokens[key] -= tokens_max // 2
            spent_tokens[workspace] += tokens_max // 2
        elif credited - spent_tokens[workspace] >= tokens_max:
            refused += 1
    return round(100.0 * refused / max(1, len(requests)), 3)


def _estimate_tokens_max(item: dict[str, Any]) -> int:
    return int(item["prompt_bytes"]) + int(item["answer_tokens"]) + 300


def _compute_percentiles(values: list[float]) -> tuple[float, float]:
    if not values:
        return (0.0, 0.0)
    ordered = sorted(values)
    return (
        round(ordered[len(ordered) // 2], 4),
        round(ordered[min(len(ordered) - 1, int(len(ordered) * 0.95))], 4),
    )


def measure_direct(deployment: Deployment, *, seconds: float, seed: int) -> RunMetrics:
    """Send the chat requests of a deployment directly to one target, without a router."""
    fleet = Fleet()
    try:
        fleet.start_platform()
        target = fleet.add_target("engine-0", "direct", "here", "here")
        plan = LoadPlan(
            seed=seed * 100,
            seconds=seconds,
            requests_per_second=deployment.requests_per_second / 2,
            entries=[target.ready["address"]],
            callers=make_callers(deployment),
            works=[kind for kind in deployment.works if kind.model],
            direct=True,
        )
        requests = _finish_load(*start_load(fleet.folder, "direct", plan))
        return _compute_direct_metrics(deployment, requests)
    finally:
        fleet.close()


def _compute_direct_metrics(deployment: Deployment, requests: list[dict[str, Any]]) -> RunMetrics:
    answered = [item for item in requests if item["outcome"] == "answered"]
    first = [item["first_seconds"] for item in answered if item["first_seconds"]]
    return RunMetrics(
        deployment=deployment.name,
        fault="direct to the engine",
        requests=len(requests),
        answered=len(answered),
        overspend_tokens=0,
        double_bills=0,
        unbilled_answers=0,
        crossed=sum(item["crossed"] for item in requests),
        lost=sum(item["outcome"] == "lost" for item in requests),
        unknown=0,
        false_refusals_percent=0.0,
        split_refusals_percent=0.0,
        refusals={},
        first_seconds=_compute_percentiles(first),
        gap_seconds=_compute_percentiles(
            [gap for item in answered for gap in item["gaps_seconds"]]
        ),
        appends_per_second=0.0,
        link_bytes={},
        link_bytes_per_second=0.0,
        open_grant_tokens=0,
    )


COLUMNS = (
    ("deployment", "deployment"),
    ("fault", "run"),
    ("requests", "requests"),
    ("answered", "answered"),
    ("overspend_tokens", "overspend, tokens"),
    ("double_bills", "double bills"),
    ("unbilled_answers", "answers unbilled"),
    ("crossed", "crossed"),
    ("lost", "lost"),
    ("unknown", "unknown"),
    ("false_refusals_percent", "false refusals, %"),
    ("split_refusals_percent", "same, static split, %"),
    ("first_seconds", "first token p50 / p95, ms"),
    ("gap_seconds", "between tokens p50 / p95, ms"),
    ("appends_per_second", "appends/s"),
    ("link_bytes_per_second", "regional link, bytes/s"),
    ("open_grant_tokens", "tokens in open grants at the end"),
)


def format_table(rows: list[RunMetrics]) -> str:
    """Return the results of all runs as a Markdown table."""
    lines = [
        "| " + " | ".join(title for _, title in COLUMNS) + " |",
        "|" + "---|" * len(COLUMNS),
    ]
    for row in rows:
        lines.append("| " + " | ".join(_format(getattr(row, name)) for name, _ in COLUMNS) + " |")
    return "\n".join(lines)


def _format(value: Any) -> str:
    if isinstance(value, tuple):
        return " / ".join(f"{1000 * item:.1f}" for item in value)
    return str(value)


def main() -> None:
    """Run the chosen deployments and faults and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", action="append", choices=list(DEPLOYMENTS))
    parser.add_argument("--fault", action="append", choices=list(FAULTS))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--fill", type=float, default=1.0, help="token budgets as a multiple of the typical ones"
    )
    parser.add_argument("--json", type=Path)
    parser.add_argument("--no-baselines", action="store_true")
    arguments = parser.parse_args()
    rows: list[RunMetrics] = []
    for name in arguments.deployment or list(DEPLOYMENTS):
        deployment = DEPLOYMENTS[name]
        options = {"seconds": arguments.seconds, "seed": arguments.seed}
        if not arguments.no_baselines:
            rows.append(measure_direct(deployment, **options))
            round_trip = measure_run(
                deployment,
                "none",
                fill=arguments.fill,
                settings={"budgets": dict(ROUND_TRIP_BUDGETS)},
                **options,
            )
            rows.append(evolve(round_trip, fault="none, a log round trip per request"))
        for fault in arguments.fault or list(FAULTS):
            rows.append(measure_run(deployment, fault, fill=arguments.fill, **options))
            print(json.dumps(asdict(rows[-1])), flush=True)
    print(format_table(rows))
    if arguments.json is not None:
        arguments.json.write_text(json.dumps([asdict(row) for row in rows], indent=1))


if __name__ == "__main__":
    main()
