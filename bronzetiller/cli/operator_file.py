"""Load the operator's file, which holds the fleet's addresses for the command line."""

from pathlib import Path

from attrs import field, frozen
from result import Result

from bronzetiller.documents import Problem
from bronzetiller.net.address import Address
from bronzetiller.settings_file import load_settings_file


@frozen
class OperatorFile:
    """Hold the connection settings of an operator; the token is stored in a separate file.

    token_file is a path relative to the folder of this file.
    """

    nodes: list[Address] = field(factory=list)
    log: Address | None = None
    token_file: str | None = None
    author: str | None = None


def load_operator_file(path: Path) -> Result[OperatorFile, list[Problem]]:
    """Load an operator's file; an error names the file, line and field."""
    return load_settings_file(path, OperatorFile)
