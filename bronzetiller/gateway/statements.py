"""Share among the nodes what targets state about themselves; no I/O.

A statement holds until its subject states something else, however long it is silent: a target that
nobody uses states nothing, and all nodes would forget it at the same moment.

Designed for a few statements at a time among up to some hundred nodes. Revisions decide which of
two statements is newer, since the nodes have no common clock.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

from attrs import define, field, frozen

from bronzetiller.logs import log_event

# Responses of a subject in a row that state nothing, before its statement ends: a failed response
# may lack the header.
SILENT_RESPONSES_MIN = 4
# After which the end of a statement is reported no more, unless a peer reports an earlier revision.
ENDED_SECONDS = 60.0


@frozen
class Statement:
    """Hold the value that a subject states, or None once it states none."""

    value: float | None
    revision: int

    def supersedes(self, other: "Statement | None") -> bool:
        """Return whether this statement is newer; of two at once the lower value holds."""
        if other is None or self.revision != other.revision:
            return other is None or self.revision > other.revision
        if self.value is None or other.value is None:
            return other.value is None and self.value is not None
        return self.value < other.value


def encode_statements(name: str, statements: Mapping[str, Statement]) -> dict[str, Any]:
    """Encode statements as fields of a record; nodes of earlier versions read the values only."""
    values = {
        subject: statement.value
        for subject, statement in statements.items()
        if statement.value is not None
    }
    revisions = {subject: statement.revision for subject, statement in statements.items()}
    return {name: values, f"{name}_revisions": revisions}


def decode_statements(name: str, item: Mapping[str, Any]) -> dict[str, Statement]:
    """Decode the fields of a record; raise ValueError, TypeError or AttributeError if malformed."""
    values = {str(subject): float(value) for subject, value in item.get(name, {}).items()}
    revisions = {
        str(subject): int(revision)
        for subject, revision in item.get(f"{name}_revisions", {}).items()
    }
    return {
        subject: Statement(values.get(subject), revisions.get(subject, 1))
        for subject in values.keys() | revisions.keys()
    }


@frozen
class Report:
    """Hold the statements that a node reports."""

    node_id: str
    statements: Mapping[str, Statement]


@define(eq=False)
class Statements:
    """Hold the newest statement of each subject; times are monotonic seconds.

    A few nodes, for which _is_reporter returns True, report the statements of a subject; any other
    node reports one only if none of these has it.
    """

    _name: str
    _node_id: str
    _is_reporter: Callable[[str, str], bool]
    _known: dict[str, Statement] = field(factory=dict)
    _reported: dict[str, int] = field(factory=dict)
    _silent_responses: dict[str, int] = field(factory=dict)
    _ended_until: dict[str, float] = field(factory=dict)

    def find(self, subject: str) -> float | None:
        """Return the value that a subject states, or None."""
        statement = self._known.get(subject)
        return None if statement is None else statement.value

    def get(self, subject: str) -> Statement | None:
        """Return the newest statement of a subject, also one that has ended."""
        return self._known.get(subject)

    def list_subjects(self) -> Collection[str]:
        """Return the subjects of all statements, also of those that have ended."""
        return self._known.keys()

    def record(self, subject: str, value: float | None, now: float) -> None:
        """Record what a response of the subject states."""
        known = self._known.get(subject)
        if value is None:
            if known is None or known.value is None:
                return
            count = self._silent_responses.get(subject, 0) + 1
            self._silent_responses[subject] = count
            if count < SILENT_RESPONSES_MIN:
                return
        self._silent_responses.pop(subject, None)
        if known is None or known.value != value:
            revision = 1 if known is None else known.revision + 1
            self._apply(subject, Statement(value, revision), now)

    def merge(self, reports: Iterable[Report], subjects: Collection[str], now: float) -> None:
        """Apply what the peers report about the given subjects, if it is newer."""
        others = [report for report in reports if report.node_id != self._node_id]
        for report in others:
            for subject, statement in report.statements.items():
                if subject in subjects:
                    self._merge_statement(subject, statement, now)
        self._reported = {}
        for report in others:
            for subject, statement in report.statements.items():
                if subject in subjects and self._is_reporter(subject, report.node_id):
                    known = self._reported.get(subject, 0)
                    self._reported[subject] = max(known, statement.revision)

    def _merge_statement(self, subject: str, statement: Statement, now: float) -> None:
        known = self._known.get(subject)
        if statement.supersedes(known):
            self._silent_responses.pop(subject, None)
            self._apply(subject, statement, now)
        elif known is not None and statement.revision < known.revision:
            self._ended_until[subject] = now + ENDED_SECONDS

    def list_reportable(self, now: float) -> dict[str, Statement]:
        """Return the statements that this node should report."""
        return {
            subject: statement
            for subject, statement in self._known.items()
            if (statement.value is not None or now < self._ended_until.get(subject, 0.0))
            and (
                self._reported.get(subject, 0) < statement.revision
                or self._is_reporter(subject, self._node_id)
            )
        }

    def forget(self, subject: str) -> None:
        """Forget the statement of a subject that is gone."""
        self._known.pop(subject, None)
        self._silent_responses.pop(subject, None)
        self._ended_until.pop(subject, None)

    def _apply(self, subject: str, statement: Statement, now: float) -> None:
        log_event(
            "target_statement",
            name=self._name,
            subject=subject,
            value=statement.value,
            revision=statement.revision,
        )
        self._known[subject] = statement
        self._ended_until[subject] = now + ENDED_SECONDS
