"""Define the bronzetiller command."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import frozen
from result import Err, Ok


@cappa.command(name="node")
@frozen
class NodeCommand:
    """Run one node of the fleet."""

    settings: Annotated[Path, cappa.Arg(help="settings file (YAML)")]

    def __call__(self) -> None:
        """Load the settings and serve."""
        from bronzetiller.logs import configure_logging
        from bronzetiller.node import Node
        from bronzetiller.settings import load_settings

        match load_settings(self.settings):
            case Ok(settings):
                configure_logging(settings.node_id, settings.log_level)
                sys.stdout.reconfigure(line_buffering=True)  # type: ignore[union-attr]
                Node(settings).run()
            case Err(errors):
                raise cappa.Exit("\n".join(map(str, errors)), code=2)


@cappa.command(name="bronzetiller", help="Run and operate a router fleet for prepaid budgets.")
@frozen
class Bronzetiller:
    """Hold the chosen subcommand."""

    command: cappa.Subcommands[NodeCommand]


def main() -> None:
    """Parse the command line and run the subcommand."""
    cappa.invoke(Bronzetiller)


if __name__ == "__main__":
    main()
