"""Append records to the log and wait until they are in force."""

import time
from collections.abc import Callable
from uuid import uuid4

from attrs import field, frozen
from result import Err, Ok, Result

from bronzetiller.cli.client import (
    OFFSET_MAX,
    CallError,
    Failure,
    append_records,
    find_decision,
    view_fleet,
)
from bronzetiller.cli.connection import Access
from bronzetiller.configuration.fold import Decision
from bronzetiller.configuration.plan import Step, make_record
from bronzetiller.configuration.records import Envelope, Kind
from bronzetiller.reports.nodes import NodeStatus, find_incompatible_nodes, find_lagging_nodes

POLL_SECONDS = 0.1
DECISION_TIMEOUT_SECONDS = 1.0
KIND_ORDER = [kind.value for kind in Kind]


@frozen
class Outcome:
    """Describe the outcome of publishing one record; decision is None until it is decided.

    behind and unable name the nodes where it is not in force, once located is true.
    """

    record: Envelope
    decision: Decision | None = None
    located: bool = False
    behind: list[str] = field(factory=list)
    unable: list[str] = field(factory=list)

    @property
    def complete(self) -> bool:
        """Return whether the record is in force on every live node."""
        accepted = self.decision is not None and self.decision.accepted
        return accepted and self.located and not self.behind and not self.unable


def publish_steps(
    access: Access, steps: list[Step], wait_seconds: float
) -> Result[list[Outcome], CallError]:
    """Append the records of all steps, then wait until each is in force on every live node."""
    ordered = sorted(steps, key=lambda step: KIND_ORDER.index(step.kind))
    records = [make_record(step, uuid4().hex, access.author) for step in ordered]
    deadline = time.monotonic() + wait_seconds
    appended = _append_until_confirmed(access, records, deadline)
    if isinstance(appended, Err):
        return appended
    _poll(deadline, lambda: _are_all_decided(access, records))
    decisions = {record.record_id: find_decision(access, record.record_id) for record in records}
    outcomes = [Outcome(record, decisions[record.record_id]) for record in records]
    return Ok(_wait_until_in_force(access, outcomes, deadline))


def _append_until_confirmed(
    access: Access, records: list[Envelope], deadline: float
) -> Result[None, CallError]:
    """Retry an append until it is confirmed to be in the log; nodes reject the duplicates."""
    may_be_in_log = False
    while True:
        result = append_records(access, records)
        if isinstance(result, Ok):
            return Ok(None)
        error = result.err_value
        may_be_in_log = may_be_in_log or error.failure is Failure.UNANSWERED
        if may_be_in_log:
            poll_deadline = min(deadline, time.monotonic() + DECISION_TIMEOUT_SECONDS)
            if _poll(poll_deadline, lambda: _are_all_decided(access, records)):
                return Ok(None)
        if error.failure is Failure.REFUSED or time.monotonic() >= deadline:
            failure = Failure.UNANSWERED if may_be_in_log else error.failure
            return Err(CallError(failure, error.detail, error.status))
        time.sleep(POLL_SECONDS)


def _are_all_decided(access: Access, records: list[Envelope]) -> bool:
    return all(find_decision(access, record.record_id) is not None for record in records)


def _wait_until_in_force(access: Access, outcomes: list[Outcome], deadline: float) -> list[Outcome]:
    updated = outcomes

    def update_outcomes() -> bool:
        nonlocal updated
        view = view_fleet(access, OFFSET_MAX)
        if isinstance(view, Err):
            return False
        updated = [_update_outcome(outcome, view.ok_value.nodes) for outcome in outcomes]
        return not any(outcome.behind for outcome in updated)

    _poll(deadline, update_outcomes)
    return updated


def _update_outcome(outcome: Outcome, nodes: list[NodeStatus]) -> Outcome:
    decision = outcome.decision
    if decision is None or not decision.accepted:
        return outcome
    behind = find_lagging_nodes(nodes, decision.offset)
    unable = find_incompatible_nodes(nodes, decision.schema)
    return Outcome(
        outcome.record,
        decision,
        located=True,
        behind=[node.node_id for node in behind],
        unable=[node.node_id for node in unable],
    )


def _poll(deadline: float, condition: Callable[[], bool]) -> bool:
    while True:
        if condition():
            return True
        if time.monotonic() >= deadline:
            return False
        time.sleep(POLL_SECONDS)
