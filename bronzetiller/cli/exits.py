"""Define the exit codes of the command line and exit with them."""

import sys
from enum import IntEnum
from typing import NoReturn

import cappa


class ExitCode(IntEnum):
    """Name the exit codes of all commands."""

    SUCCESS = 0
    REFUSED = 1
    BAD_INPUT = 2
    NOT_REACHABLE = 3


def fail(message: str, code: ExitCode) -> NoReturn:
    """Print a message to standard error, without wrapping or styling, and exit."""
    print(message, file=sys.stderr)
    raise cappa.Exit(code=code)
