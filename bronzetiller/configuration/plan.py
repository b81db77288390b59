"""Compare declarations with the newest accepted records to plan which records to publish."""

from enum import StrEnum
from typing import Any

from attrs import frozen
from result import Ok

from bronzetiller.configuration.declarations import Declaration
from bronzetiller.configuration.fold import NO_RECORD
from bronzetiller.configuration.records import (
    SCHEMA_VERSIONS,
    Envelope,
    Kind,
    dump_body,
    parse_body,
)


class Action(StrEnum):
    """Name what publishing does to one item."""

    CREATE = "create"
    CHANGE = "change"
    DELETE = "delete"
    KEEP = "keep"
    UNDECLARED = "undeclared"
    REFUSE = "refuse"


@frozen
class PublishedItem:
    """Describe the newest accepted record of one item, as reported by a node."""

    kind: str
    name: str
    revision: int
    schema: int
    author: str
    deleted: bool
    in_force: bool
    in_force_revision: int
    note: str
    body: dict[str, Any] | None


@frozen
class FieldChange:
    """Hold the old and new value of one field; a missing value is None."""

    field: str
    old: Any
    new: Any


@frozen
class Step:
    """Describe the planned action for one item; a refused one has a reason."""

    action: Action
    kind: str
    name: str
    schema: int
    replaces: int = NO_RECORD
    body: dict[str, Any] | None = None
    changes: tuple[FieldChange, ...] = ()
    reason: str = ""


def make_plan(
    declarations: list[Declaration], published: list[PublishedItem], *, prune: bool
) -> list[Step]:
    """Return one step for each declared or published item; prune deletes undeclared items."""
    items = {(item.kind, item.name): item for item in published}
    steps = [_plan_declared_item(item, items.get(item.key)) for item in declarations]
    declared = {item.key for item in declarations}
    for key, published_item in sorted(items.items()):
        if key not in declared and not published_item.deleted:
            steps.append(_plan_undeclared_item(published_item, prune))
    return steps


def select_changes(steps: list[Step]) -> list[Step]:
    """Return the steps that require a record to be published."""
    return [step for step in steps if step.action in (Action.CREATE, Action.CHANGE, Action.DELETE)]


def make_record(step: Step, record_id: str, author: str) -> Envelope:
    """Return the record that carries out a step."""
    return Envelope(
        record_id=record_id,
        schema=step.schema,
        kind=step.kind,
        name=step.name,
        replaces=step.replaces,
        author=author,
        body=step.body,
    )


def _plan_declared_item(declaration: Declaration, item: PublishedItem | None) -> Step:
    kind, name, schema = declaration.kind, declaration.name, declaration.schema
    body = dump_body(kind, schema, declaration.body)
    replaces = NO_RECORD if item is None else item.revision

    def plan(action: Action, old: dict[str, Any] | None, reason: str = "") -> Step:
        changes = _diff_fields(old or {}, body)
        return Step(action, kind.value, name, schema, replaces, body, changes, reason)

    if item is None or item.deleted:
        if kind is Kind.TOP_UP and item is not None:
            return plan(Action.REFUSE, None, "a top-up with this name was deleted")
        return plan(Action.CREATE, None)
    if item.schema not in SCHEMA_VERSIONS:
        reason = f"the newest record, by {item.author}, has schema {item.schema}"
        return plan(Action.REFUSE, item.body, f"{reason}, which this command cannot read")
    old = _normalize_body(kind, item)
    if old == body and item.schema == schema:
        return plan(Action.KEEP, old)
    if kind is Kind.TOP_UP:
        return plan(Action.REFUSE, old, "a top-up cannot be changed; declare one with a new name")
    return plan(Action.CHANGE, old)


def _plan_undeclared_item(item: PublishedItem, prune: bool) -> Step:
    if prune and item.kind != Kind.TOP_UP.value:
        return Step(Action.DELETE, item.kind, item.name, item.schema, item.revision)
    return Step(Action.UNDECLARED, item.kind, item.name, item.schema, item.revision)


def _normalize_body(kind: Kind, item: PublishedItem) -> dict[str, Any] | None:
    match parse_body(kind, item.schema, item.body):
        case Ok(body):
            return dump_body(kind, item.schema, body)
    return item.body


def _diff_fields(old: dict[str, Any], new: dict[str, Any]) -> tuple[FieldChange, ...]:
    names = [*new, *(name for name in old if name not in new)]
    return tuple(
        FieldChange(name, old.get(name), new.get(name))
        for name in names
        if old.get(name) != new.get(name)
    )
