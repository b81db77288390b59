"""Read YAML documents and record the line of each field."""

from pathlib import Path
from typing import Any

import yaml
from attrs import field, frozen
from result import Err, Ok, Result

from bronzetiller.structure import FieldError, FieldPath


@frozen
class Problem:
    """Describe an error with its file, line (from 1) and field."""

    file: Path
    line: int
    error: FieldError

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.error}"


@frozen
class Document:
    """Hold one YAML document with the line of each field."""

    file: Path
    value: Any
    lines: dict[FieldPath, int] = field(factory=dict)

    def locate(self, error: FieldError) -> Problem:
        """Return the error with the line of its field or of the nearest enclosing field."""
        path = error.path
        while path and path not in self.lines:
            path = path[:-1]
        return Problem(self.file, self.lines.get(path, 1), error)


def read_documents(file: Path) -> Result[list[Document], list[Problem]]:
    """Read all documents of a file; a duplicate key in a mapping is an error."""
    try:
        loader = yaml.SafeLoader(file.read_text())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Err([Problem(file, 1, FieldError((), str(error)))])
    documents: list[Document] = []
    problems: list[Problem] = []
    try:
        while loader.check_node():
            node = loader.get_node()
            assert node is not None
            lines: dict[FieldPath, int] = {}
            duplicates = _index_lines(node, (), lines)
            problems += [Problem(file, *duplicate) for duplicate in duplicates]
            documents.append(Document(file, loader.construct_document(node), lines))
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        problems.append(_locate_syntax_error(file, error))
    finally:
        loader.dispose()
    return Err(problems) if problems else Ok(documents)


def read_document(file: Path) -> Result[Document, list[Problem]]:
    """Read a file that holds exactly one document."""
    match read_documents(file):
        case Err(problems):
            return Err(problems)
        case Ok([document]):
            return Ok(document)
    return Err([Problem(file, 1, FieldError((), "must contain exactly one document"))])


def _index_lines(
    node: yaml.Node, path: FieldPath, lines: dict[FieldPath, int]
) -> list[tuple[int, FieldError]]:
    """Record the line of each field; return an error for each duplicate key."""
    duplicates: list[tuple[int, FieldError]] = []
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            duplicates += _index_lines(item, (*path, index), lines)
    elif isinstance(node, yaml.MappingNode):
        for key, item in node.value:
            item_path = (*path, str(key.value))
            if item_path in lines:
                duplicates.append(
                    (key.start_mark.line + 1, FieldError(item_path, "is a duplicate key"))
                )
                continue
            lines[item_path] = key.start_mark.line + 1
            duplicates += _index_lines(item, item_path, lines)
    return duplicates


def _locate_syntax_error(file: Path, error: Exception) -> Problem:
    mark = getattr(error, "problem_mark", None)
    line = 1 if mark is None else mark.line + 1
    message = getattr(error, "problem", None) or str(error)
    return Problem(file, line, FieldError((), f"is not valid YAML: {message}"))
