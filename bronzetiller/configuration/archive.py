"""Write the configuration in force to a snapshot and load it again.

A snapshot holds the records as published, not as this version decodes them, so a node of a newer
version that starts from an older node's snapshot loses no field.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from cattrs.preconf.json import make_converter

from bronzetiller.configuration.fold import Configuration, Decision

ARCHIVED_RECORDS_PER_SCHEMA_MAX = 16
DELETIONS = 0  # in place of a schema, as every version reads a deletion


@frozen
class ArchivedRecord:
    """Hold one accepted record as published, with its offset."""

    offset: int
    record: dict[str, Any]


@define
class Archive:
    """Retain for each item and schema the newest record in force on this node and all later ones.

    A node that supports fewer schemas thus still finds in a snapshot the record it had in force.
    The newest deletion of an item is retained too, also behind records that only some nodes read.
    """

    records: dict[tuple[str, str], dict[int, list[ArchivedRecord]]] = field(factory=dict)

    def add_record(self, decision: Decision, record: dict[str, Any]) -> None:
        """Add a record according to the decision on it; rejected records are ignored."""
        if not decision.accepted:
            return
        schemas = self.records.setdefault((decision.kind, decision.name), {})
        schema = decision.schema
        if record["body"] is None:
            schemas.clear()
            schema = DELETIONS
        retained = schemas.setdefault(schema, [])
        if decision.in_force:
            retained.clear()
        retained.append(ArchivedRecord(decision.offset, record))
        del retained[:-ARCHIVED_RECORDS_PER_SCHEMA_MAX]


@define
class _Snapshot:
    records: list[ArchivedRecord]
    decisions: list[Decision]


_CONVERTER = make_converter()


def dump_configuration(configuration: Configuration, archive: Archive) -> dict[str, Any]:
    """Return the state as JSON values; nodes that applied the same records return equal values."""
    archived = [
        item for schemas in archive.records.values() for items in schemas.values() for item in items
    ]
    archived.sort(key=lambda item: item.offset)
    value: dict[str, Any] = _CONVERTER.unstructure(
        _Snapshot(archived, list(configuration.decisions))
    )
    return value


def decode_configuration(
    value: dict[str, Any], configuration: Configuration, archive: Archive
) -> Callable[[], None]:
    """Return a function that replaces the state with the output of dump_configuration."""
    dump = _CONVERTER.structure(value, _Snapshot)

    def restore() -> None:
        configuration.clear()
        archive.records.clear()
        for item in dump.records:
            decision = configuration.restore(item.offset, item.record)
            if decision is not None:
                archive.add_record(decision, item.record)
        configuration.restore_decisions(dump.decisions)

    return restore
