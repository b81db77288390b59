"""Start bronzetiller from the single executable file, as its __main__ module.

Python cannot import extension modules from a zip archive. Those in this archive are copied to
anonymous in-memory files for the dynamic loader, so that nothing is unpacked to disk.
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
    """Find the extension modules in the archive."""

    def __init__(self, archive: str) -> None:
        self._archive = zipimporter(archive)
        lines = self._archive.get_data(EXTENSIONS_FILE).decode().splitlines()
        self._archive_paths = dict(line.split(" ") for line in lines)

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of an extension module in the archive, or None for any other module."""
        archive_path = self._archive_paths.get(name)
        if archive_path is None:
            return None
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        with open(descriptor, "wb", closefd=False) as memory_file:
            memory_file.write(self._archive.get_data(archive_path))
        location = f"/proc/self/fd/{descriptor}"
        return spec_from_file_location(name, location, loader=ExtensionFileLoader(name, location))


def start() -> None:
    """Check the Python version and run the command line with the modules in the archive."""
    version = sys.version_info[:2]
    if version != BUILD_PYTHON_VERSION:
        expected_version = ".".join(map(str, BUILD_PYTHON_VERSION))
        print(
            f"this file was built for Python {expected_version}, not {sys.version}", file=sys.stderr
        )
        sys.exit(EXIT_BAD_INPUT)
    sys.meta_path.insert(0, ExtensionFinder(os.path.dirname(os.path.abspath(__file__))))
    from bronzetiller.process_start import record_process_start

    record_process_start()
    from bronzetiller.cli.main import main

    main()


BUILD_PYTHON_VERSION = (0, 0)  # filled in by binary.build

if __name__ == "__main__":
    start()
