"""Read the file that tells an operator's commands where the fleet is."""

from pathlib import Path

from attrs import field, frozen
from result import Err, Ok, Result

from bronzetiller.documents import Problem, read_document
from bronzetiller.net.address import Address, parse_address
from bronzetiller.structure import describe_errors, make_converter


@frozen
class OperatorFile:
    """Hold what an operator's commands need; the token itself stands in a file of its own.

    token_file is a path from the folder of this file.
    """

    nodes: list[Address] = field(factory=list)
    log: Address | None = None
    token_file: str | None = None
    author: str | None = None


_CONVERTER = make_converter()
_CONVERTER.register_structure_hook(Address, lambda value, _: parse_address(str(value)))


def load_operator_file(path: Path) -> Result[OperatorFile, list[Problem]]:
    """Read an operator's file; an error names the file, line and field."""
    read = read_document(path)
    if isinstance(read, Err):
        return read
    document = read.ok_value
    try:
        return Ok(_CONVERTER.structure(document.value, OperatorFile))
    except Exception as error:  # cattrs raises groups of many kinds for malformed input
        return Err([document.locate(item) for item in describe_errors(error)])
