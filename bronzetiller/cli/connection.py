"""Read the fleet's addresses and the operator's credentials from options or a file."""

import getpass
import os
from pathlib import Path
from typing import Annotated

import cappa
from attrs import frozen
from result import Err

from bronzetiller.cli.exits import ExitCode, fail
from bronzetiller.cli.operator_file import OperatorFile, load_operator_file
from bronzetiller.net.address import Address, parse_address

OPERATOR_FILE_VARIABLE = "BRONZETILLER_OPERATOR"
TOKEN_VARIABLE = "BRONZETILLER_TOKEN"


@frozen
class Access:
    """Hold the validated addresses of the fleet, the token and the author."""

    nodes: list[Address]
    log: Address | None
    token: str
    author: str


@frozen
class ConnectionOptions:
    """Define the connection options, which override the operator's file."""

    operator: Annotated[
        Path | None,
        cappa.Arg(
            long="--operator",
            default=cappa.Env(OPERATOR_FILE_VARIABLE),
            help="operator's file (YAML): nodes, log, token_file, author",
        ),
    ] = None
    node: Annotated[
        list[str] | None,
        cappa.Arg(long="--node", help="a node's ip:port for callers; may be repeated"),
    ] = None
    log: Annotated[
        str | None, cappa.Arg(long="--log", help="the platform's log service, ip:port")
    ] = None
    token_file: Annotated[
        Path | None,
        cappa.Arg(long="--token-file", help=f"file with the token (default: {TOKEN_VARIABLE})"),
    ] = None
    author: Annotated[
        str | None, cappa.Arg(long="--author", help="author named in records (default: login name)")
    ] = None


def make_access(options: ConnectionOptions, *, needs_log: bool = False) -> Access:
    """Combine options, operator's file and environment; exit with BAD_INPUT if any is missing."""
    settings = _load_operator_file(options.operator)
    nodes = _parse_addresses(options.node or []) or settings.nodes
    log = _parse_addresses([options.log])[0] if options.log else settings.log
    if not nodes:
        fail("no node is given; use --node or an operator's file", ExitCode.BAD_INPUT)
    if needs_log and log is None:
        fail("no log address is given; use --log or an operator's file", ExitCode.BAD_INPUT)
    token_file = options.token_file or _resolve_token_path(options.operator, settings.token_file)
    author = options.author or settings.author or getpass.getuser()
    return Access(nodes, log, _read_token(token_file), author)


def _load_operator_file(path: Path | None) -> OperatorFile:
    if path is None:
        return OperatorFile()
    loaded = load_operator_file(path)
    if isinstance(loaded, Err):
        fail("\n".join(map(str, loaded.err_value)), ExitCode.BAD_INPUT)
    return loaded.ok_value


def _parse_addresses(texts: list[str]) -> list[Address]:
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        fail(str(error), ExitCode.BAD_INPUT)


def _resolve_token_path(settings: Path | None, name: str | None) -> Path | None:
    if settings is None or name is None:
        return None
    return settings.parent / Path(name).expanduser()


def _read_token(path: Path | None) -> str:
    if path is None:
        return os.environ.get(TOKEN_VARIABLE, "").strip()
    try:
        return path.read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path}: {error}", ExitCode.BAD_INPUT)
