"""Run the command line as a module."""

from bronzetiller.cli.main import main

main()
