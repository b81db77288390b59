"""Record what callers and targets observed, and check the guarantees on these records."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field, frozen

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # the request was not executed and never will be


@frozen
class Sent:
    """Hold a request and the response its caller received; status 0 is a failed connection.

    A stream taken up again begins at first_event.
    """

    request_id: str
    route: str
    repeatable: bool
    events: int
    status: int
    body: bytes
    whole: bool
    first_event: int = 1


@frozen
class RunRecord:
    """Hold the record that a target wrote when an execution began or when its stream ended.

    stream is the request that began the stream, of whatever attempt; first is its first event.
    """

    request_id: str
    target: str
    begun: bool
    events: int
    prompt: int
    workspace: str
    has_key: bool
    version: str = ""
    stream: str = ""
    first: int = 1


@define
class History:
    """Hold the requests, fault steps and unexpected node exits of one run."""

    sent: list[Sent] = field(factory=list)
    faults: list[str] = field(factory=list)
    own_ends: list[str] = field(factory=list)


def read_runs(paths: Iterable[Path]) -> list[RunRecord]:
    """Read the records of all targets, except for a line that a killed target left incomplete."""
    runs = []
    for path in paths:
        for line in path.read_text().splitlines():
            try:
                item = json.loads(line)
            except ValueError:
                continue
            runs.append(
                RunRecord(
                    item["id"],
                    item["target"],
                    item["begun"],
                    item["events"],
                    int(item["prompt"]),
                    item["workspace"],
                    item["has_key"],
                    item["version"],
                    item["stream"],
                    item["first"],
                )
            )
    return runs


def make_body(request_id: str, route: str, events: int, first_event: int = 1) -> bytes:
    """Return the complete response body of a request."""
    if route in ("draft", "score"):
        lines = (f"id: {n}\ndata: {request_id}-{n}\n\n" for n in range(first_event, events + 1))
        return "".join(lines).encode()
    return f"answer to {request_id}".encode()


def find_violations(history: History, runs: list[RunRecord], prepaid: int) -> list[str]:
    """Return a message for each violated guarantee."""
    execution_counts = Counter(run.request_id for run in runs if run.begun)
    violations = [f"a node exited unexpectedly: {exit_text}" for exit_text in history.own_ends]
    for sent in history.sent:
        violations += _check_request(sent, execution_counts[sent.request_id])
    sent_ids = {sent.request_id for sent in history.sent}
    violations += [
        f"{name} was executed but never sent" for name in execution_counts if name not in sent_ids
    ]
    for run in runs:
        if run.workspace != "studio" or run.has_key:
            violations.append(f"{run.request_id} reached {run.target} with the wrong headers")
    violations += _find_joined_streams(runs)
    spent = count_spent(runs)
    if spent > prepaid:
        violations.append(f"{spent} tokens were spent of a prepaid budget of {prepaid}")
    return violations


def _find_joined_streams(runs: list[RunRecord]) -> list[str]:
    """Return a violation for each run that goes on with a stream of another version.

    The caller has the events before it, of a run that began earlier in the stream.
    """
    earlier: dict[tuple[str, str], int] = {}
    for run in runs:
        key = (run.stream, run.version)
        earlier[key] = min(run.first, earlier.get(key, run.first))
    return [
        f"the stream {run.stream} goes on at {run.version} from event {run.first}"
        for run in runs
        if run.begun and run.first > 1 and earlier[run.stream, run.version] >= run.first
    ]


def _check_request(sent: Sent, executions: int) -> list[str]:
    violations = []
    if not sent.repeatable and executions > 1:
        violations.append(f"{sent.request_id} ({sent.route}) was executed {executions} times")
    if not sent.repeatable and sent.status in NOT_EXECUTED_STATUSES and executions:
        violations.append(
            f"{sent.request_id} ({sent.route}) was executed, but its caller received {sent.status}"
        )
    if sent.status != 200:
        return violations
    expected = make_body(sent.request_id, sent.route, sent.events, sent.first_event)
    if sent.whole and sent.body != expected:
        violations.append(
            f"{sent.request_id} ({sent.route}) received {sent.body[:60]!r} as a complete response"
        )
    if not sent.whole and not expected.startswith(sent.body):
        violations.append(
            f"{sent.request_id} ({sent.route}) received a response ending in {sent.body[-60:]!r}"
        )
    return violations


def count_spent(runs: list[RunRecord]) -> int:
    """Return the tokens spent: each prompt once, and all events that targets recorded as sent."""
    prompts = {run.request_id: run.prompt for run in runs if run.begun and run.prompt}
    return sum(prompts.values()) + sum(run.events for run in runs if not run.begun)
