"""Start bronzetiller from the one file; this becomes its __main__.

Python imports modules from a zip file, but not extension modules. Those that the file holds are
given to the dynamic loader as anonymous files in memory, so that nothing is unpacked to a disk.
"""

import os
import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType
from zipimport import zipimporter

EXTENSIONS_FILE = "extensions.txt"
EXIT_BAD_INPUT = 2


class ExtensionFinder(MetaPathFinder):
    """Find the extension modules that the file holds."""

    def __init__(self, archive: str) -> None:
        self._archive = zipimporter(archive)
        lines = self._archive.get_data(EXTENSIONS_FILE).decode().splitlines()
        self._files = dict(line.split(" ") for line in lines)

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a module of the file, or nothing."""
        file = self._files.get(name)
        if file is None:
            return None
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as memory:
            memory.write(self._archive.get_data(file))
        location = f"/proc/self/fd/{descriptor}"
        return spec_from_file_location(name, location, loader=ExtensionFileLoader(name, location))


def start() -> None:
    """Run the command line with the modules of the file alone."""
    version = sys.version_info[:2]
    if version != BUILT_FOR:
        wanted = ".".join(map(str, BUILT_FOR))
        print(f"this file was built for Python {wanted}, not {sys.version}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    sys.meta_path.insert(0, ExtensionFinder(os.path.dirname(os.path.abspath(__file__))))
    from bronzetiller.cli.main import main

    main()


BUILT_FOR = (0, 0)

if __name__ == "__main__":
    start()
