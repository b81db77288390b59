"""Load a settings file into an attrs class."""

from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

from bronzetiller.documents import Problem, read_document
from bronzetiller.net.address import Address, parse_address
from bronzetiller.structure import describe_errors, make_converter

T = TypeVar("T")

_CONVERTER = make_converter()
_CONVERTER.register_structure_hook(Address, lambda value, _: parse_address(str(value)))


def load_settings_file(path: Path, kind: type[T]) -> Result[T, list[Problem]]:
    """Load a YAML settings file; an error names the file, line and field."""
    read = read_document(path)
    if isinstance(read, Err):
        return read
    document = read.ok_value
    try:
        return Ok(_CONVERTER.structure(document.value, kind))
    except Exception as error:  # cattrs raises exception groups of various types
        return Err([document.locate(item) for item in describe_errors(error)])
