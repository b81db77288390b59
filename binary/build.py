"""Build a single executable file from this checkout and the installed dependencies.

python -m binary.build OUTPUT

The build needs no network: it packs the dependencies that requirements.txt has installed.
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
REQUIRED_EXTENSIONS = {"cbor2._cbor2"}  # other packages fall back to pure Python
ZIP_TIMESTAMP = (1980, 1, 1, 0, 0, 0)  # fixed, so that builds do not differ by their date
EXECUTABLE_MODE = stat.S_IRWXU | stat.S_IRGRP | stat.S_IXGRP | stat.S_IROTH | stat.S_IXOTH


@define
class ArchiveContents:
    """Hold the files of the archive by path, and the extension modules by module name."""

    files: dict[str, bytes] = field(factory=dict)
    extensions: dict[str, str] = field(factory=dict)

    def add(self, name: str, path: Path) -> None:
        """Add a Python module or a required extension module; ignore any other file."""
        if name.endswith(".py"):
            self.files[f"{name}c"] = compile_source(path, name)
            if name.startswith(f"{PACKAGE}/"):
                self.files[name] = path.read_bytes()  # lets tracebacks show source lines
        elif name.endswith(".so"):
            module = name.partition(".")[0].replace("/", ".")
            if module in REQUIRED_EXTENSIONS:
                self.files[name] = path.read_bytes()
                self.extensions[module] = name


def compile_source(path: Path, name: str) -> bytes:
    """Return the bytecode of a source file, in the form that is not checked against the source."""
    with TemporaryDirectory() as folder:
        target = Path(folder) / "module.pyc"
        mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
        py_compile.compile(str(path), str(target), name, doraise=True, invalidation_mode=mode)
        return target.read_bytes()


def find_dependencies() -> list[Distribution]:
    """Return the installed distributions that the project depends on at run time."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    pending = [Requirement(text) for text in project["dependencies"]]
    resolved: dict[str, Distribution] = {}
    while pending:
        requirement = pending.pop()
        name = canonicalize_name(requirement.name)
        if name in resolved or (
            requirement.marker and not requirement.marker.evaluate({"extra": ""})
        ):
            continue
        resolved[name] = distribution(name)
        pending += [Requirement(text) for text in resolved[name].requires or []]
    return [resolved[name] for name in sorted(resolved)]


def collect_contents() -> ArchiveContents:
    """Collect the files of the project and its dependencies."""
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
        raise SystemExit(
            f"required extension modules are not installed: {', '.join(sorted(missing))}"
        )
    return contents


def make_main_module() -> bytes:
    """Return the source of __main__, with the Python version that the bytecode is built for."""
    spec = importlib.util.find_spec("binary.start")
    assert spec is not None and spec.origin is not None
    source = Path(spec.origin).read_text()
    return source.replace(
        "BUILD_PYTHON_VERSION = (0, 0)", f"BUILD_PYTHON_VERSION = {sys.version_info[:2]}"
    ).encode()


def write_binary(output: Path) -> None:
    """Write a zip archive that starts with an interpreter line, and make it executable."""
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
    """Build the executable and print its size."""
    parser = argparse.ArgumentParser(description="Build bronzetiller as a single executable file.")
    parser.add_argument("output", type=Path)
    output = parser.parse_args().output
    write_binary(output)
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
