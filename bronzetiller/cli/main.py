"""Define the bronzetiller command; each subcommand imports its dependencies when it runs."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import frozen

from bronzetiller.cli.connection import ConnectionOptions
from bronzetiller.cli.exits import ExitCode, fail

HELP = "Run and operate a router fleet for prepaid token budgets."
EXIT_CODES = (
    "Exit codes: 0 success; 1 refused or incomplete; 2 invalid usage or input; 3 no response."
)

Connection = cappa.Destructured[ConnectionOptions]
Json = Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
Tree = Annotated[Path, cappa.Arg(help="file or folder of declarations (YAML)")]
Prune = Annotated[
    bool, cappa.Arg(long="--prune", help="delete items that the tree does not declare")
]


@cappa.command(name="node")
@frozen
class NodeCommand:
    """Run one node of the fleet until SIGTERM."""

    settings: Annotated[Path, cappa.Arg(help="settings file (YAML)")]

    def __call__(self) -> None:
        """Load the settings and serve."""
        from bronzetiller.logs import configure_logging
        from bronzetiller.node import Node
        from bronzetiller.settings import load_settings

        result = load_settings(self.settings)
        if result.is_err():
            fail("\n".join(map(str, result.unwrap_err())), ExitCode.BAD_INPUT)
        settings = result.unwrap()
        configure_logging(settings.node_id, settings.log_level)
        sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
        Node(settings).run()


@cappa.command(name="gateway")
@frozen
class GatewayCommand:
    """Run one gateway node, which serves path routes on the users' platform, until SIGTERM."""

    settings: Annotated[Path, cappa.Arg(help="settings file (YAML)")]

    def __call__(self) -> None:
        """Load the settings and serve."""
        from bronzetiller.gateway.node import run_gateway

        problems = run_gateway(self.settings)
        if problems:
            fail("\n".join(map(str, problems)), ExitCode.BAD_INPUT)


@cappa.command(name="check")
@frozen
class CheckCommand:
    """Validate settings files and trees of declarations offline."""

    paths: Annotated[list[Path], cappa.Arg(num_args=-1, required=True, help="files or folders")]

    def __call__(self) -> None:
        """Print each problem with its file, line and field."""
        from bronzetiller.cli.checking import check_paths

        check_paths(self.paths)


@cappa.command(name="plan")
@frozen
class PlanCommand:
    """Show the changes that publishing a tree of declarations would make."""

    tree: Tree
    connection: Connection
    prune: Prune = False
    json: Json = False

    def __call__(self) -> None:
        """Compare the tree with the records that a node has accepted."""
        from bronzetiller.cli.declaring import show_plan

        show_plan(self.connection, self.tree, prune=self.prune, as_json=self.json)


@cappa.command(name="publish")
@frozen
class PublishCommand:
    """Publish a tree of declarations and wait until it is in force on every node."""

    tree: Tree
    connection: Connection
    prune: Prune = False
    json: Json = False
    wait_seconds: Annotated[
        float, cappa.Arg(long="--wait-seconds", help="maximum duration of the command")
    ] = 15.0

    def __call__(self) -> None:
        """Plan, append the records and print the outcome of each."""
        from bronzetiller.cli.declaring import publish_tree

        publish_tree(
            self.connection,
            self.tree,
            prune=self.prune,
            as_json=self.json,
            wait_seconds=self.wait_seconds,
        )


@cappa.command(name="report")
@frozen
class ReportCommand:
    """Show the nodes and the accepted and rejected records, with where they are in force."""

    connection: Connection
    from_offset: Annotated[
        int | None,
        cappa.Arg(long="--from", help="first offset to show (default: the newest 20 records)"),
    ] = None
    json: Json = False

    def __call__(self) -> None:
        """Query the fleet and print its report."""
        from bronzetiller.cli.reporting import show_report

        show_report(self.connection, self.from_offset, as_json=self.json)


@cappa.command(name="budget")
@frozen
class BudgetCommand:
    """Show the tokens of a workspace: credited, free, held by each node, billed."""

    workspace: str
    connection: Connection
    json: Json = False

    def __call__(self) -> None:
        """Query the fleet and print the budget."""
        from bronzetiller.cli.reporting import show_budget

        show_budget(self.connection, self.workspace, as_json=self.json)


@cappa.command(name="bills")
@frozen
class BillsCommand:
    """Show the newest bills of a workspace."""

    workspace: str
    connection: Connection
    limit: Annotated[int, cappa.Arg(long="--limit", help="maximum number of bills to show")] = 100
    json: Json = False

    def __call__(self) -> None:
        """Query the fleet and print the bills."""
        from bronzetiller.cli.reporting import show_bills

        show_bills(self.connection, self.workspace, self.limit, as_json=self.json)


@cappa.command(name="new")
@frozen
class NewKeyCommand:
    """Print a new API key or operator token and the digest to declare."""

    def __call__(self) -> None:
        """Generate a key from the operating system's random source."""
        from bronzetiller.cli.keys import show_new_key

        show_new_key()


@cappa.command(name="digest")
@frozen
class DigestKeyCommand:
    """Print the digest of a key read from standard input."""

    def __call__(self) -> None:
        """Read one line from standard input, which keeps the key out of process listings."""
        from bronzetiller.cli.keys import show_digest

        show_digest()


@cappa.command(name="key")
@frozen
class KeyCommand:
    """Generate keys and digests; records and declarations contain only digests."""

    command: cappa.Subcommands[NewKeyCommand | DigestKeyCommand]


@cappa.command(name="version")
@frozen
class VersionCommand:
    """Print the version and the supported schema versions of records."""

    def __call__(self) -> None:
        """Print the version and schemas on one line."""
        from bronzetiller import __version__
        from bronzetiller.configuration.records import SCHEMA_VERSIONS

        print(f"bronzetiller {__version__} schemas {','.join(map(str, SCHEMA_VERSIONS))}")


@cappa.command(name="bronzetiller", help=HELP, description=EXIT_CODES)
@frozen
class Bronzetiller:
    """Hold the chosen subcommand."""

    command: cappa.Subcommands[
        NodeCommand
        | GatewayCommand
        | CheckCommand
        | PlanCommand
        | PublishCommand
        | ReportCommand
        | BudgetCommand
        | BillsCommand
        | KeyCommand
        | VersionCommand
    ]


def main() -> None:
    """Parse the command line and run the subcommand."""
    cappa.invoke(Bronzetiller)


if __name__ == "__main__":
    main()
