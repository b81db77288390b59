"""Fold operator records into the configuration in force.

A record is accepted if it replaces the newest accepted record of its kind and name; that depends
on its envelope alone, so nodes of all versions agree. A body that this version cannot read leaves
the last readable one in force and is reported.
"""

from typing import Any

from attrs import define, field, frozen
from result import Err, Ok

from bronzetiller.configuration.records import (
    Body,
    Envelope,
    Kind,
    PlannedStop,
    Route,
    TopUp,
    Workspace,
    load_body,
    load_envelope,
)

NO_RECORD = -1


@frozen
class Decision:
    """Report what became of one operator record."""

    offset: int
    record_id: str
    kind: str
    name: str
    accepted: bool
    in_force: bool
    reason: str
    author: str


@define
class Item:
    """Hold the newest accepted record of one kind and name."""

    revision: int
    schema: int
    body: Body | None
    in_force_revision: int
    note: str = ""


@define
class Configuration:
    """Hold the configuration in force and the decision on every record."""

    items: dict[tuple[str, str], Item] = field(factory=dict)
    decisions: list[Decision] = field(factory=list)
    _by_record_id: dict[str, Decision] = field(factory=dict)

    def apply(self, offset: int, value: dict[str, Any]) -> Decision:
        """Apply one record in the order of the log."""
        match load_envelope(value):
            case Ok(envelope):
                decision = self._decide(offset, envelope)
            case Err(reason):
                decision = Decision(offset, "", "", "", False, False, reason, "")
        self.decisions.append(decision)
        return decision

    def clear(self) -> None:
        """Forget everything, before a snapshot is loaded."""
        self.items.clear()
        self.decisions.clear()
        self._by_record_id.clear()

    def restore(self, offset: int, value: dict[str, Any]) -> Decision | None:
        """Put a record back that was accepted before, out of a snapshot."""
        match load_envelope(value):
            case Ok(envelope):
                return self._accept(offset, envelope)
            case Err(_):
                return None

    def restore_decisions(self, decisions: list[Decision]) -> None:
        """Take over the decisions of a snapshot."""
        self.decisions.extend(decisions)
        for decision in decisions:
            self._by_record_id.setdefault(decision.record_id, decision)

    def workspaces(self) -> dict[str, Workspace]:
        """Return the workspaces in force by name."""
        return self._in_force(Kind.WORKSPACE)

    def routes(self) -> dict[str, Route]:
        """Return the routes in force by name."""
        return self._in_force(Kind.ROUTE)

    def top_ups(self) -> dict[str, TopUp]:
        """Return the top-ups in force by name."""
        return self._in_force(Kind.TOP_UP)

    def planned_stops(self) -> dict[str, PlannedStop]:
        """Return the planned stops in force by name."""
        return self._in_force(Kind.PLANNED_STOP)

    def revision(self, kind: str, name: str) -> int:
        """Return the offset of the newest accepted record, or NO_RECORD."""
        item = self.items.get((kind, name))
        return NO_RECORD if item is None else item.revision

    def find_decision(self, record_id: str) -> Decision | None:
        """Return the first decision on a record id."""
        return self._by_record_id.get(record_id)

    def _in_force(self, kind: Kind) -> dict[str, Any]:
        return {
            name: item.body
            for (item_kind, name), item in self.items.items()
            if item_kind == kind.value and item.body is not None
        }

    def _accept(self, offset: int, envelope: Envelope) -> Decision:
        note = self._put(offset, envelope)
        return _make_decision(offset, envelope, True, not note, note or "accepted")

    def _decide(self, offset: int, envelope: Envelope) -> Decision:
        def decide(accepted: bool, in_force: bool, reason: str) -> Decision:
            return _make_decision(offset, envelope, accepted, in_force, reason)

        first = self._by_record_id.get(envelope.record_id)
        if first is not None:
            return decide(False, False, f"repeats the record at offset {first.offset}")
        revision = self.revision(envelope.kind, envelope.name)
        if envelope.replaces != revision:
            decision = decide(False, False, f"replaces {envelope.replaces}, newest is {revision}")
        elif envelope.kind == Kind.TOP_UP and revision != NO_RECORD:
            decision = decide(False, False, "a top-up cannot be changed or deleted")
        else:
            decision = self._accept(offset, envelope)
        self._by_record_id[envelope.record_id] = decision
        return decision

    def _put(self, offset: int, envelope: Envelope) -> str:
        key = (envelope.kind, envelope.name)
        old = self.items.get(key)
        if envelope.body is None:
            self.items[key] = Item(offset, envelope.schema, None, offset)
            return ""
        match load_body(envelope):
            case Ok(body):
                self.items[key] = Item(offset, envelope.schema, body, offset)
                return ""
            case Err(reason):
                kept = None if old is None else old.body
                kept_revision = NO_RECORD if old is None else old.in_force_revision
                self.items[key] = Item(offset, envelope.schema, kept, kept_revision, reason)
                return f"not in force: {reason}"


def _make_decision(
    offset: int, envelope: Envelope, accepted: bool, in_force: bool, reason: str
) -> Decision:
    return Decision(
        offset,
        envelope.record_id,
        envelope.kind,
        envelope.name,
        accepted,
        in_force,
        reason,
        envelope.author,
    )
