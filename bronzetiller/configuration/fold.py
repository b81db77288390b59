"""Build the configuration in force by applying operator records in log order.

A record is accepted if it names the newest accepted record of its kind and name as the one it
replaces. That depends on its envelope alone, so nodes of all versions agree. If this version cannot
read a body, the last readable one stays in force and the item is reported as unread.
"""

from collections import deque
from typing import Any

from attrs import define, field, frozen
from result import Err, Ok

from bronzetiller.configuration.records import (
    SCHEMA_VERSIONS,
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
DECISIONS_MAX = 1_000


@frozen
class Decision:
    """Describe whether one operator record was accepted; repeats is the offset of the original."""

    offset: int
    record_id: str
    kind: str
    name: str
    schema: int
    accepted: bool
    in_force: bool
    reason: str
    author: str
    repeats: int = NO_RECORD


@define
class Item:
    """Hold the state of one kind and name: its newest accepted record and the body in force.

    If this version cannot read the newest record, unread_body holds its body as published and
    unread_reason says why.
    """

    revision: int
    schema: int
    author: str
    body: Body | None
    in_force_revision: int
    unread_reason: str = ""
    unread_body: dict[str, Any] | None = None

    @property
    def deleted(self) -> bool:
        """Return whether the newest record deletes the item."""
        return self.body is None and not self.unread_reason


@define
class Configuration:
    """Hold the configuration in force and the decisions on the newest records."""

    schemas: tuple[int, ...] = SCHEMA_VERSIONS
    items: dict[tuple[str, str], Item] = field(factory=dict)
    decisions: deque[Decision] = field(factory=deque)
    _decisions_by_record_id: dict[str, Decision] = field(factory=dict)
    _bodies_by_kind: dict[str, dict[str, Any]] = field(factory=dict)
    _workspaces_by_digest: dict[str, list[str]] = field(factory=dict)

    def apply(self, offset: int, value: dict[str, Any]) -> Decision:
        """Apply one record; records must be applied in log order."""
        match load_envelope(value):
            case Ok(envelope):
                decision = self._decide(offset, envelope)
            case Err(reason):
                decision = Decision(offset, "", "", "", 0, False, False, reason, "")
        self._retain_decision(decision)
        return decision

    def clear(self) -> None:
        """Reset the state before a snapshot is loaded."""
        self.items.clear()
        self.decisions.clear()
        self._decisions_by_record_id.clear()
        self._bodies_by_kind.clear()
        self._workspaces_by_digest.clear()

    def restore(self, offset: int, value: dict[str, Any]) -> Decision | None:
        """Apply an already accepted record of a snapshot without deciding on it again."""
        match load_envelope(value):
            case Ok(envelope):
                return self._accept(offset, envelope)
            case Err(_):
                return None

    def restore_decisions(self, decisions: list[Decision]) -> None:
        """Add the decisions of a snapshot."""
        for decision in decisions:
            self._retain_decision(decision)

    def workspaces(self) -> dict[str, Workspace]:
        """Return the workspaces in force by name; callers must not modify the dictionary."""
        return self._in_force(Kind.WORKSPACE)

    def routes(self) -> dict[str, Route]:
        """Return the routes in force by name; callers must not modify the dictionary."""
        return self._in_force(Kind.ROUTE)

    def top_ups(self) -> dict[str, TopUp]:
        """Return the top-ups in force by name; callers must not modify the dictionary."""
        return self._in_force(Kind.TOP_UP)

    def planned_stops(self) -> dict[str, PlannedStop]:
        """Return the planned stops in force by name; callers must not modify the dictionary."""
        return self._in_force(Kind.PLANNED_STOP)

    def revision(self, kind: str, name: str) -> int:
        """Return the offset of the newest accepted record, or NO_RECORD if there is none."""
        item = self.items.get((kind, name))
        return NO_RECORD if item is None else item.revision

    def find_decision(self, record_id: str) -> Decision | None:
        """Return the first decision on a record id among the last DECISIONS_MAX decisions."""
        return self._decisions_by_record_id.get(record_id)

    def find_unread_items(self) -> dict[tuple[str, str], Item]:
        """Return the items whose newest record this version cannot read."""
        return {key: item for key, item in self.items.items() if item.unread_reason}

    def find_workspace(self, key_digest: str) -> str | None:
        """Return the name of the enabled workspace that has a key with this digest, or None."""
        names = self._workspaces_by_digest.get(key_digest, [])
        workspaces = self.workspaces()
        return next((name for name in names if workspaces[name].enabled), None)

    def _in_force(self, kind: Kind) -> dict[str, Any]:
        return self._bodies_by_kind.get(kind.value, {})

    def _retain_decision(self, decision: Decision) -> None:
        self.decisions.append(decision)
        if decision.record_id and decision.repeats == NO_RECORD:
            self._decisions_by_record_id[decision.record_id] = decision
        if len(self.decisions) > DECISIONS_MAX:
            oldest = self.decisions.popleft()
            if self._decisions_by_record_id.get(oldest.record_id) is oldest:
                del self._decisions_by_record_id[oldest.record_id]

    def _accept(self, offset: int, envelope: Envelope) -> Decision:
        unread_reason = self._update_item_and_indexes(offset, envelope)
        return _make_decision(
            offset, envelope, True, not unread_reason, unread_reason or "accepted"
        )

    def _decide(self, offset: int, envelope: Envelope) -> Decision:
        def reject(reason: str, repeats: int = NO_RECORD) -> Decision:
            return _make_decision(offset, envelope, False, False, reason, repeats)

        first = self._decisions_by_record_id.get(envelope.record_id)
        if first is not None:
            return reject(f"repeats the record at offset {first.offset}", first.offset)
        revision = self.revision(envelope.kind, envelope.name)
        if envelope.replaces != revision:
            return reject(self._describe_conflict(envelope, revision))
        if envelope.kind == Kind.TOP_UP and revision != NO_RECORD:
            return reject("a top-up cannot be changed or deleted")
        return self._accept(offset, envelope)

    def _describe_conflict(self, envelope: Envelope, revision: int) -> str:
        if revision == NO_RECORD:
            return f"replaces offset {envelope.replaces}, but there is no record yet"
        author = self.items[(envelope.kind, envelope.name)].author
        replaced = (
            "replaces nothing"
            if envelope.replaces == NO_RECORD
            else f"replaces offset {envelope.replaces}"
        )
        return f"{replaced}, but the newest record is at offset {revision} by {author}"

    def _update_item_and_indexes(self, offset: int, envelope: Envelope) -> str:
        unread_reason = self._update_item(offset, envelope)
        self._update_indexes(envelope.kind, envelope.name)
        return unread_reason

    def _update_indexes(self, kind: str, name: str) -> None:
        bodies = self._bodies_by_kind.setdefault(kind, {})
        old, new = bodies.get(name), self.items[kind, name].body
        if isinstance(old, Workspace):
            for digest in set(old.key_digests):
                self._workspaces_by_digest[digest].remove(name)
        if isinstance(new, Workspace):
            for digest in set(new.key_digests):
                self._workspaces_by_digest.setdefault(digest, []).append(name)
        if new is None:
            bodies.pop(name, None)
        else:
            bodies[name] = new

    def _update_item(self, offset: int, envelope: Envelope) -> str:
        key = (envelope.kind, envelope.name)
        old = self.items.get(key)
        if envelope.body is None:
            self.items[key] = Item(offset, envelope.schema, envelope.author, None, offset)
            return ""
        match load_body(envelope, self.schemas):
            case Ok(body):
                self.items[key] = Item(offset, envelope.schema, envelope.author, body, offset)
                return ""
            case Err(reason):
                self.items[key] = Item(
                    offset,
                    envelope.schema,
                    envelope.author,
                    body=None if old is None else old.body,
                    in_force_revision=NO_RECORD if old is None else old.in_force_revision,
                    unread_reason=reason,
                    unread_body=envelope.body,
                )
                return f"not in force: {reason}"


def _make_decision(
    offset: int,
    envelope: Envelope,
    accepted: bool,
    in_force: bool,
    reason: str,
    repeats: int = NO_RECORD,
) -> Decision:
    return Decision(
        offset=offset,
        record_id=envelope.record_id,
        kind=envelope.kind,
        name=envelope.name,
        schema=envelope.schema,
        accepted=accepted,
        in_force=in_force,
        reason=reason,
        author=envelope.author,
        repeats=repeats,
    )
