"""Name the exit codes of the command line and end commands with them."""

import sys
from enum import IntEnum
from typing import NoReturn

import cappa


class ExitCode(IntEnum):
    """Tell a script how a command ended."""

    SUCCESS = 0
    REFUSED = 1
    BAD_INPUT = 2
    NOT_REACHABLE = 3


def fail(message: str, code: ExitCode) -> NoReturn:
    """End the command with a message on standard error, as it is and in one piece."""
    print(message, file=sys.stderr)
    raise cappa.Exit(code=code)
