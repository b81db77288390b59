"""Dump the configuration in force as the records it stems from, and load it again.

The records themselves are kept, not what this version reads of them: a node of a newer version
that starts from the snapshot of an older one finds everything that was published.
"""

from typing import Any

from attrs import define, field, frozen
from cattrs.preconf.json import make_converter

from bronzetiller.configuration.fold import Configuration, Decision

ARCHIVED_RECORDS_PER_SCHEMA_MAX = 16


@frozen
class ArchivedRecord:
    """Hold one accepted record as it was published."""

    offset: int
    record: dict[str, Any]


@define
class Archive:
    """Keep, by kind and name and schema, the newest record in force here and those since.

    A node that reads fewer schemas finds the form in a snapshot that it had in force before.
    """

    records: dict[tuple[str, str], dict[int, list[ArchivedRecord]]] = field(factory=dict)

    def add_record(self, decision: Decision, record: dict[str, Any]) -> None:
        """Take note of a record and the decision on it."""
        if not decision.accepted:
            return
        schemas = self.records.setdefault((decision.kind, decision.name), {})
        if record["body"] is None:
            schemas.clear()  # a deletion holds for readers of every schema
        kept = schemas.setdefault(decision.schema, [])
        if decision.in_force:
            kept.clear()
        kept.append(ArchivedRecord(decision.offset, record))
        del kept[:-ARCHIVED_RECORDS_PER_SCHEMA_MAX]


@define
class _Snapshot:
    records: list[ArchivedRecord]
    decisions: list[Decision]


_CONVERTER = make_converter()


def dump_configuration(configuration: Configuration, archive: Archive) -> dict[str, Any]:
    """Return the state as JSON values, equal for equal prefixes of the stream."""
    kept = [
        item for schemas in archive.records.values() for items in schemas.values() for item in items
    ]
    kept.sort(key=lambda item: item.offset)
    value: dict[str, Any] = _CONVERTER.unstructure(_Snapshot(kept, list(configuration.decisions)))
    return value


def load_configuration(
    value: dict[str, Any], configuration: Configuration, archive: Archive
) -> None:
    """Replace the state by one that dump_configuration returned."""
    dump = _CONVERTER.structure(value, _Snapshot)
    configuration.clear()
    archive.records.clear()
    for item in dump.records:
        decision = configuration.restore(item.offset, item.record)
        if decision is not None:
            archive.add_record(decision, item.record)
    configuration.restore_decisions(dump.decisions)
