"""Convert plain values to attrs classes without type coercion and report invalid fields."""

import math
import re
from collections.abc import Callable
from enum import Enum
from typing import Any, get_origin

from attrs import frozen, has
from cattrs import ClassValidationError, Converter, ForbiddenExtraKeysError
from cattrs.cols import list_structure_factory
from cattrs.errors import IterableValidationError, IterableValidationNote
from cattrs.gen import make_dict_structure_fn

FieldPath = tuple[str | int, ...]

SUMMARY_CHARACTERS_MAX = 500

_VALIDATOR_MESSAGE = re.compile(r"'(?P<field>\w+)' (?P<rest>must .*)", re.DOTALL)


@frozen
class FieldError:
    """Describe an error in the field at a path such as ("spec", "key_digests", 0)."""

    path: FieldPath
    message: str

    def __str__(self) -> str:
        return f"{format_path(self.path)}: {self.message}" if self.path else self.message


def format_path(path: FieldPath) -> str:
    """Format a path as dotted names with indices in brackets."""
    parts = [f"[{part}]" if isinstance(part, int) else f".{part}" for part in path]
    return "".join(parts).removeprefix(".")


def make_converter(*, forbid_extra_keys: bool = True) -> Converter:
    """Return a converter that never coerces types, for example "no" to true."""
    converter = Converter(forbid_extra_keys=forbid_extra_keys)
    for kind in (bool, int, str):
        converter.register_structure_hook(kind, _make_type_hook(kind))
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_factory(
        lambda kind: get_origin(kind) is list, lambda kind: _make_list_hook(converter, kind)
    )
    converter.register_structure_hook_factory(
        lambda kind: get_origin(kind) is dict, lambda kind: _make_dict_hook(converter, kind)
    )
    converter.register_structure_hook_factory(
        has, lambda kind: _make_class_hook(converter, kind, forbid_extra_keys)
    )
    return converter


def describe_errors(error: BaseException, path: FieldPath = ()) -> list[FieldError]:
    """Return one error for each invalid field of a failed conversion."""
    if isinstance(error, ClassValidationError | IterableValidationError):
        annotated, others = error.group_exceptions()
        nested = [describe_errors(cause, (*path, _get_note_key(note))) for cause, note in annotated]
        nested += [describe_errors(cause, path) for cause in others]
        return [item for items in nested for item in items]
    if isinstance(error, ForbiddenExtraKeysError):
        names = sorted(map(str, error.extra_fields))
        return [FieldError((*path, name), "is not a known field") for name in names]
    if isinstance(error, KeyError):
        return [FieldError(path, "is missing")]
    message = str(error.args[0]) if error.args else repr(error)
    match = _VALIDATOR_MESSAGE.match(message)
    if match:
        return [FieldError((*path, match["field"]), match["rest"])]
    return [FieldError(path, message)]


def summarize_error(error: BaseException) -> str:
    """Return a bounded text of a failed conversion, however many fields are invalid."""
    return repr(error)[:SUMMARY_CHARACTERS_MAX]


def _get_note_key(note: Any) -> str | int:
    return note.index if isinstance(note, IterableValidationNote) else note.name


_TYPE_NAMES = {bool: "true or false", int: "a whole number", str: "a text"}


def _make_type_hook(kind: type) -> Callable[[Any, Any], Any]:
    def structure(value: Any, target: Any) -> Any:
        if issubclass(target, Enum):  # cattrs also uses the hook for str for its enum subclasses
            return _structure_enum(value, target)
        if type(value) is not kind:
            raise TypeError(f"must be {_TYPE_NAMES[kind]}, not {value!r}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError(f"must be a number, not {value!r}")
    return float(value)


def _structure_enum(value: Any, kind: type[Enum]) -> Enum:
    for member in kind:
        if member.value == value:
            return member
    names = ", ".join(str(member.value) for member in kind)
    raise ValueError(f"must be one of {names}, not {value!r}")


def _make_list_hook(converter: Converter, kind: Any) -> Callable[[Any, Any], Any]:
    structure = list_structure_factory(kind, converter)

    def structure_list(value: Any, target: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError(f"must be a list, not {value!r}")
        return structure(value, target)

    return structure_list


def _make_dict_hook(converter: Converter, kind: Any) -> Callable[[Any, Any], Any]:
    structure = converter.gen_structure_mapping(kind)

    def structure_dict(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"must be a mapping, not {value!r}")
        return structure(value, target)

    return structure_dict


def _make_class_hook(
    converter: Converter, kind: Any, forbid_extra_keys: bool
) -> Callable[[Any, Any], Any]:
    structure = make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=forbid_extra_keys)

    def structure_class(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError(f"must be a mapping, not {value!r}")
        return structure(value, target)

    return structure_class
