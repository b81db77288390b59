"""Read the file that tells an operator's commands where the fleet is."""

from pathlib import Path

from attrs import field, frozen
from result import Result

from bronzetiller.documents import Problem
from bronzetiller.net.address import Address
from bronzetiller.settings_file import load_settings_file


@frozen
class OperatorFile:
    """Hold what an operator's commands need; the token itself stands in a file of its own.

    token_file is a path from the folder of this file.
    """

    nodes: list[Address] = field(factory=list)
    log: Address | None = None
    token_file: str | None = None
    author: str | None = None


def load_operator_file(path: Path) -> Result[OperatorFile, list[Problem]]:
    """Read an operator's file; an error names the file, line and field."""
    return load_settings_file(path, OperatorFile)
