"""Record what callers and targets observed, and check the guarantees on these records."""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from datetime import datetime
from pathlib import Path

from attrs import define, field, frozen

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # the request was not executed and never will be
# Targets that reject a request as malformed have not run it either, but it is not sent again.
DENYING_STATUSES = (*NOT_EXECUTED_STATUSES, 400)
# A node ends what its caller abandoned, or what it forwarded to another node, within this time.
OPEN_SECONDS = 8.0
_UNFINISHED_STOP = re.compile(r"^time=(\S+) .* event=stopped idle=False", re.MULTILINE)
_CHARGE = re.compile(r" event=request id=(\S+) .* targets=(\S*) .* tokens=(\d+) ")


@frozen
class Sent:
    """Hold a request and the response its caller received; status 0 is a failed connection.

    A stream taken up again begins at first_event. An id is sent again only after a response whose
    status promises that the request was not run. Times are in Unix seconds.
    """

    request_id: str
    route: str
    repeatable: bool
    events: int
    status: int
    body: bytes
    whole: bool
    first_event: int = 1
    is_named: bool = True
    node: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


@frozen
class Charge:
    """Hold what a node charged for a request, by its log line; an unnamed request has no id."""

    node: str
    request_id: str
    targets: str
    tokens: int


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
    at: float = 0.0  # Unix seconds


@define
class History:
    """Hold the requests, fault steps, node ends and charges of one run.

    kills are the nodes that ended while requests were open, and when (Unix seconds).
    """

    sent: list[Sent] = field(factory=list)
    faults: list[str] = field(factory=list)
    own_ends: list[str] = field(factory=list)
    kills: list[tuple[str, float]] = field(factory=list)
    charges: list[Charge] | None = None


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
                    item["at"],
                )
            )
    return runs


def read_charges(logs: Mapping[str, Path]) -> list[Charge]:
    """Read what nodes charged for requests from their logs."""
    charges = []
    for node, path in logs.items():
        for line in path.read_text(errors="replace").splitlines():
            found = _CHARGE.search(line)
            if found is not None:
                request_id, targets = (found[number].strip('"') for number in (1, 2))
                charges.append(Charge(node, request_id, targets, int(found[3])))
    return charges


def make_body(request_id: str, route: str, events: int, first_event: int = 1) -> bytes:
    """Return the complete response body of a request."""
    if route in ("draft", "score"):
        lines = (f"id: {n}\ndata: {request_id}-{n}\n\n" for n in range(first_event, events + 1))
        return "".join(lines).encode()
    return f"answer to {request_id}".encode()


def read_unfinished_stops(logs: Mapping[str, Path]) -> list[tuple[str, float]]:
    """Read when nodes (Unix seconds) ended by themselves with requests that had not ended."""
    stops = []
    for node, path in logs.items():
        for text in _UNFINISHED_STOP.findall(path.read_text(errors="replace")):
            stops.append((node, datetime.fromisoformat(text).timestamp()))
    return stops


def find_violations(history: History, runs: list[RunRecord], prepaid: int) -> list[str]:
    """Return a message for each violated guarantee."""
    begun_runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        if run.begun:
            begun_runs[run.request_id].append(run)
    violations = [f"a node exited unexpectedly: {exit_text}" for exit_text in history.own_ends]
    sends: dict[str, list[Sent]] = defaultdict(list)
    for sent in history.sent:
        sends[sent.request_id].append(sent)
        violations += _check_response(sent)
    for name, sends_of_id in sends.items():
        if not sends_of_id[0].repeatable:
            violations += _check_executions(sends_of_id, begun_runs.get(name, []))
    violations += [
        f"{name} was executed but never sent" for name in begun_runs if name not in sends
    ]
    if history.charges is not None:
        violations += _find_uncharged(history, sends, begun_runs)
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


def _check_executions(sends: list[Sent], runs: list[RunRecord]) -> list[str]:
    """Check the executions of a request that may run once, over all sends under its id."""
    name = f"{sends[0].request_id} ({sends[0].route})"
    violations = []
    if len(runs) > 1:
        violations.append(f"{name} was executed {len(runs)} times")
    for run in runs:
        of_run = [sent for sent in sends if sent.sent_at <= run.at] or sends[:1]
        if of_run[-1].status in DENYING_STATUSES:
            violations.append(f"{name} was executed, but its caller received {of_run[-1].status}")
            break
    return violations


def _find_uncharged(
    history: History, sends: Mapping[str, list[Sent]], runs: Mapping[str, list[RunRecord]]
) -> list[str]:
    """Return a violation for each stream that ran, of which nodes charged less than its caller got.

    Streams whose log lines may have been lost with a killed node are left out. Those without an id
    are checked together, as log lines do not tell them apart.
    """
    charges: dict[str, list[Charge]] = defaultdict(list)
    for charge in history.charges or []:
        charges[charge.request_id].append(charge)
    used: Counter[str] = Counter()
    for name, sends_of_id in sends.items():
        prompt = max((run.prompt for run in runs.get(name, [])), default=0)
        logged_id = name if sends_of_id[0].is_named else ""
        if prompt and not _may_lack_charges(history, sends_of_id, charges[logged_id]):
            used[logged_id] += prompt + max(sent.body.count(b"\n\n") for sent in sends_of_id)
    violations = []
    for logged_id, tokens in used.items():
        charged = sum(charge.tokens for charge in charges[logged_id])
        if charged < tokens:
            name = logged_id or "requests without an id"
            violations.append(f"{name} used {tokens} tokens or more, and nodes charged {charged}")
    return violations


def _may_lack_charges(history: History, sends: list[Sent], charges: list[Charge]) -> bool:
    """Return whether a node that may have served a request was killed before it logged it."""
    for sent in sends:
        peers = [charge.targets for charge in charges if charge.node == sent.node]
        forwarded_to = set(re.findall(r"node/([^,]+)", ",".join(peers)))
        for node, killed_at in history.kills:
            is_ended = sent.whole and node == sent.node
            until = sent.ended_at + (0.0 if is_ended else OPEN_SECONDS)
            if node in {sent.node, *forwarded_to} and sent.sent_at <= killed_at <= until:
                return True
    return False


def _check_response(sent: Sent) -> list[str]:
    violations: list[str] = []
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
