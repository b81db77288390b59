"""Load and validate a tree of declarations, which operators keep in version control.

A declaration is a YAML document with schema, kind, name and spec. Validation works offline. Files
must not contain plain API keys, only their digests.
"""

import re
from pathlib import Path
from typing import Any

from attrs import field, frozen
from attrs.validators import in_, matches_re
from result import Err, Ok, Result

from bronzetiller.configuration.records import (
    NAME_PATTERN,
    SCHEMA_VERSIONS,
    Body,
    Kind,
    Route,
    TopUp,
    Workspace,
    parse_body,
)
from bronzetiller.documents import Document, Problem, read_documents
from bronzetiller.structure import FieldError, FieldPath, describe_errors, make_converter

FILE_SUFFIXES = (".yaml", ".yml")
KEY_PREFIX = "bt-"
_KEY_PATTERN = re.compile(rf"\b{KEY_PREFIX}[A-Za-z0-9_-]{{20,}}")


@frozen
class Declaration:
    """Hold the desired state of one item."""

    kind: Kind
    name: str
    schema: int
    body: Body
    document: Document

    @property
    def key(self) -> tuple[str, str]:
        """Return the kind and name, which identify an item in a tree."""
        return self.kind.value, self.name


@frozen
class _DeclarationHeader:
    schema: int = field(validator=in_(SCHEMA_VERSIONS))
    kind: Kind
    name: str = field(validator=matches_re(NAME_PATTERN))
    spec: dict[str, Any]


_CONVERTER = make_converter()


def load_declarations(paths: list[Path]) -> Result[list[Declaration], list[Problem]]:
    """Load the declarations of files and folders; report all problems, not only the first."""
    declarations: list[Declaration] = []
    problems: list[Problem] = []
    for file in _find_files(paths):
        match read_documents(file):
            case Ok(documents):
                results = [_check_document(document) for document in documents]
            case Err(found):
                problems += found
                continue
        for result in results:
            if isinstance(result, Err):
                problems += result.err_value
            else:
                declarations.append(result.ok_value)
    problems += _find_duplicates(declarations)
    problems += _find_shared_keys(declarations)
    if not problems:
        problems += _find_unknown_workspaces(declarations)
    return Err(problems) if problems else Ok(declarations)


def is_declaration(document: Document) -> bool:
    """Return whether a document looks like a declaration rather than settings."""
    return isinstance(document.value, dict) and "kind" in document.value


def _find_files(paths: list[Path]) -> list[Path]:
    files: list[Path] = []
    for path in paths:
        if path.is_dir():
            files += sorted(item for item in path.rglob("*") if item.suffix in FILE_SUFFIXES)
        else:
            files.append(path)
    return files


def _check_document(document: Document) -> Result[Declaration, list[Problem]]:
    errors = _find_plain_keys(document.value, ())
    try:
        header = _CONVERTER.structure(document.value, _DeclarationHeader)
    except Exception as error:  # cattrs raises exception groups of various types
        errors += describe_errors(error)
        return Err([document.locate(item) for item in errors])
    match parse_body(header.kind, header.schema, header.spec):
        case Ok(body) if not errors:
            return Ok(Declaration(header.kind, header.name, header.schema, body, document))
        case Ok(_):
            pass
        case Err(found):
            errors += [FieldError(("spec", *item.path), item.message) for item in found]
    return Err([document.locate(item) for item in errors])


def _find_plain_keys(value: Any, path: FieldPath) -> list[FieldError]:
    if isinstance(value, str):
        found = _KEY_PATTERN.search(value) is not None
        return (
            [FieldError(path, "contains an API key; declare its digest instead")] if found else []
        )
    if isinstance(value, list):
        inner = [_find_plain_keys(item, (*path, index)) for index, item in enumerate(value)]
    elif isinstance(value, dict):
        inner = [_find_plain_keys(item, (*path, str(name))) for name, item in value.items()]
    else:
        return []
    return [error for errors in inner for error in errors]


def _find_duplicates(declarations: list[Declaration]) -> list[Problem]:
    first_declarations: dict[tuple[str, str], Declaration] = {}
    problems = []
    for declaration in declarations:
        other = first_declarations.setdefault(declaration.key, declaration)
        if other is not declaration:
            message = f"is already declared in {other.document.file}"
            error = FieldError(("name",), message)
            problems.append(declaration.document.locate(error))
    return problems


def _find_shared_keys(declarations: list[Declaration]) -> list[Problem]:
    owners: dict[str, str] = {}
    problems = []
    for declaration in declarations:
        if not isinstance(declaration.body, Workspace):
            continue
        for index, digest in enumerate(declaration.body.key_digests):
            owner = owners.setdefault(digest, declaration.name)
            if owner != declaration.name:
                error = FieldError(("spec", "key_digests", index), f"is also a key of {owner}")
                problems.append(declaration.document.locate(error))
    return problems


def _find_unknown_workspaces(declarations: list[Declaration]) -> list[Problem]:
    known = {item.name for item in declarations if item.kind is Kind.WORKSPACE}
    problems = []
    for declaration in declarations:
        for path, name in _list_workspaces(declaration.body):
            if name not in known:
                error = FieldError(("spec", *path), f"workspace {name} is not declared")
                problems.append(declaration.document.locate(error))
    return problems


def _list_workspaces(body: Body) -> list[tuple[FieldPath, str]]:
    if isinstance(body, TopUp):
        return [(("workspace",), body.workspace)]
    if isinstance(body, Route):
        names = enumerate(body.workspaces or [])
        return [(("workspaces", index), name) for index, name in names]
    return []
