"""Build one executable file from this checkout and the installed dependencies.

python -m binary.build OUTPUT

It needs no network: the dependencies are those that the locked requirements have installed.
"""

import argparse
import importlib.util
import py_compile
import stat
import sys
import tomllib
import zipfile
from importlib.metadata import Distribution, distribution
from pathlib import Path
from tempfile import TemporaryDirectory

from attrs import define, field
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

from binary.start import EXTENSIONS_FILE

ROOT = Path(__file__).parent.parent
PACKAGE = "bronzetiller"
REQUIRED_EXTENSIONS = {"cbor2._cbor2"}  # the other packages fall back on Python without theirs
ZIP_TIMESTAMP = (1980, 1, 1, 0, 0, 0)
EXECUTABLE_MODE = stat.S_IRWXU | stat.S_IRGRP | stat.S_IXGRP | stat.S_IROTH | stat.S_IXOTH


@define
class ArchiveContents:
    """Collect what goes into the file, by its path there."""

    files: dict[str, bytes] = field(factory=dict)
    extensions: dict[str, str] = field(factory=dict)

    def add(self, name: str, path: Path) -> None:
        """Take in a module's bytecode, the project's own sources, or a required extension."""
        if name.endswith(".py"):
            self.files[f"{name}c"] = compile_source(path, name)
            if name.startswith(f"{PACKAGE}/"):
                self.files[name] = path.read_bytes()  # for the lines of tracebacks
        elif name.endswith(".so"):
            module = name.partition(".")[0].replace("/", ".")
            if module in REQUIRED_EXTENSIONS:
                self.files[name] = path.read_bytes()
                self.extensions[module] = name


def compile_source(path: Path, name: str) -> bytes:
    """Return the bytecode of a source, which is never checked against it at run time."""
    with TemporaryDirectory() as folder:
        target = Path(folder) / "module.pyc"
        mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
        py_compile.compile(str(path), str(target), name, doraise=True, invalidation_mode=mode)
        return target.read_bytes()


def find_dependencies() -> list[Distribution]:
    """Return the installed distributions that the project needs at run time."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    waiting = [Requirement(text) for text in project["dependencies"]]
    found: dict[str, Distribution] = {}
    while waiting:
        requirement = waiting.pop()
        name = canonicalize_name(requirement.name)
        if name in found or (requirement.marker and not requirement.marker.evaluate({"extra": ""})):
            continue
        found[name] = distribution(name)
        waiting += [Requirement(text) for text in found[name].requires or []]
    return [found[name] for name in sorted(found)]


def collect_contents() -> ArchiveContents:
    """Collect the project and its dependencies."""
    contents = ArchiveContents()
    for path in sorted((ROOT / PACKAGE).rglob("*.py")):
        contents.add(str(path.relative_to(ROOT)), path)
    for dependency in find_dependencies():
        for file in dependency.files or []:
            if ".." not in file.parts:
                contents.add(str(file), Path(str(dependency.locate_file(file))))
    contents.files["__main__.py"] = make_main_module()
    lines = [f"{module} {name}\n" for module, name in sorted(contents.extensions.items())]
    contents.files[EXTENSIONS_FILE] = "".join(lines).encode()
    missing = REQUIRED_EXTENSIONS - contents.extensions.keys()
    if missing:
        raise SystemExit(f"not installed: {', '.join(sorted(missing))}")
    return contents


def make_main_module() -> bytes:
    """Return the start module, bound to the version of the bytecode."""
    spec = importlib.util.find_spec("binary.start")
    assert spec is not None and spec.origin is not None
    source = Path(spec.origin).read_text()
    return source.replace("BUILT_FOR = (0, 0)", f"BUILT_FOR = {sys.version_info[:2]}").encode()


def write_binary(output: Path) -> None:
    """Write the executable file."""
    contents = collect_contents()
    output.parent.mkdir(parents=True, exist_ok=True)
    with output.open("wb") as file:
        file.write(f"#!/usr/bin/env python{sys.version_info[0]}.{sys.version_info[1]}\n".encode())
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED, compresslevel=9) as archive:
            for name in sorted(contents.files):
                archive.writestr(
                    zipfile.ZipInfo(name, ZIP_TIMESTAMP), contents.files[name], zipfile.ZIP_DEFLATED
                )
    output.chmod(EXECUTABLE_MODE)


def main() -> None:
    """Build the file named on the command line."""
    parser = argparse.ArgumentParser(description="Build the one executable file.")
    parser.add_argument("output", type=Path)
    output = parser.parse_args().output
    write_binary(output)
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
