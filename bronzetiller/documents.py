"""Read YAML documents and remember the line of each field."""

from pathlib import Path
from typing import Any

import yaml
from attrs import field, frozen
from result import Err, Ok, Result

from bronzetiller.structure import FieldError, FieldPath


@frozen
class Problem:
    """Name a fault by file, line (from 1) and field."""

    file: Path
    line: int
    error: FieldError

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.error}"


@frozen
class Document:
    """Hold one YAML document with the line of each of its fields."""

    file: Path
    value: Any
    lines: dict[FieldPath, int] = field(factory=dict)

    def locate(self, error: FieldError) -> Problem:
        """Name the line of a field, or of the nearest field around it."""
        path = error.path
        while path and path not in self.lines:
            path = path[:-1]
        return Problem(self.file, self.lines.get(path, 1), error)


def read_documents(file: Path) -> Result[list[Document], list[Problem]]:
    """Read all documents of a file; a key that stands twice in a mapping is an error."""
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
            doubles = _index_lines(node, (), lines)
            problems += [Problem(file, *double) for double in doubles]
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
    return Err([Problem(file, 1, FieldError((), "must hold one document"))])


def _index_lines(
    node: yaml.Node, path: FieldPath, lines: dict[FieldPath, int]
) -> list[tuple[int, FieldError]]:
    """Note the line of each field; return those that repeat an earlier one."""
    doubles: list[tuple[int, FieldError]] = []
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            doubles += _index_lines(item, (*path, index), lines)
    elif isinstance(node, yaml.MappingNode):
        for key, item in node.value:
            inner = (*path, str(key.value))
            if inner in lines:
                doubles.append((key.start_mark.line + 1, FieldError(inner, "stands twice")))
                continue
            lines[inner] = key.start_mark.line + 1
            doubles += _index_lines(item, inner, lines)
    return doubles


def _locate_syntax_error(file: Path, error: Exception) -> Problem:
    mark = getattr(error, "problem_mark", None)
    line = 1 if mark is None else mark.line + 1
    message = getattr(error, "problem", None) or str(error)
    return Problem(file, line, FieldError((), f"is not YAML: {message}"))
