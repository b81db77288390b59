"""Run the command line with python -m bronzetiller."""

from bronzetiller.cli.main import main

main()
