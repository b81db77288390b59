"""Record what callers and targets saw, and check the promises on it; pure."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from attrs import define, field, frozen

PROMISED_STATUSES = (408, 421, 429, 503)  # each says that the request has not run and never will


@frozen
class Sent:
    """Hold one request and what its caller got; status 0 is a connection that failed."""

    request_id: str
    route: str
    repeatable: bool
    events: int
    status: int
    body: bytes
    whole: bool


@frozen
class RunRecord:
    """Hold one line that a target wrote of a run."""

    request_id: str
    target: str
    begun: bool
    events: int
    prompt: int
    workspace: str
    has_key: bool


@define
class History:
    """Hold all that was seen."""

    sent: list[Sent] = field(factory=list)
    faults: list[str] = field(factory=list)
    own_ends: list[str] = field(factory=list)


def read_runs(paths: Iterable[Path]) -> list[RunRecord]:
    """Read what the targets wrote; a killed target may leave half a line."""
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
                )
            )
    return runs


def make_body(request_id: str, route: str, events: int) -> bytes:
    """Return the whole answer of a request."""
    if route in ("draft", "score"):
        lines = (f"id: {n}\ndata: {request_id}-{n}\n\n" for n in range(1, events + 1))
        return "".join(lines).encode()
    return f"answer to {request_id}".encode()


def find_violations(history: History, runs: list[RunRecord], prepaid: int) -> list[str]:
    """Return each promise that was broken."""
    begun = Counter(run.request_id for run in runs if run.begun)
    broken = [f"a node ended by itself: {end}" for end in history.own_ends]
    for sent in history.sent:
        broken += _check_request(sent, begun[sent.request_id])
    known = {sent.request_id for sent in history.sent}
    broken += [f"{name} ran and was never sent" for name in begun if name not in known]
    for run in runs:
        if run.workspace != "studio" or run.has_key:
            broken.append(f"{run.request_id} reached {run.target} with the wrong headers")
    spent = count_spent(runs)
    if spent > prepaid:
        broken.append(f"{spent} tokens were spent of {prepaid}")
    return broken


def _check_request(sent: Sent, runs: int) -> list[str]:
    broken = []
    if not sent.repeatable and runs > 1:
        broken.append(f"{sent.request_id} ({sent.route}) ran {runs} times")
    if not sent.repeatable and sent.status in PROMISED_STATUSES and runs:
        broken.append(f"{sent.request_id} ({sent.route}) ran, though its caller got {sent.status}")
    if sent.status != 200:
        return broken
    wanted = make_body(sent.request_id, sent.route, sent.events)
    if sent.whole and sent.body != wanted:
        broken.append(f"{sent.request_id} ({sent.route}) got {sent.body[:60]!r} for whole")
    if not sent.whole and not wanted.startswith(sent.body):
        broken.append(f"{sent.request_id} ({sent.route}) got {sent.body[-60:]!r}")
    return broken


def count_spent(runs: list[RunRecord]) -> int:
    """Count the tokens: each prompt once, and the events that targets are known to have made."""
    prompts = {run.request_id: run.prompt for run in runs if run.begun and run.prompt}
    return sum(prompts.values()) + sum(run.events for run in runs if not run.begun)
