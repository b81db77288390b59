"""Test that a run skips exactly the tests that are listed as known to fail."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import FILE_NAME, KnownRed, find_missing, load_known_red

TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
ENTRY = "test_some.py::test_red | pytest test_some.py | always false | issue 7\n"


@pytest.fixture
def run(tmp_path):
    shutil.copy(Path(__file__).parent / "known_red.py", tmp_path / "conftest.py")
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    (tmp_path / "test_some.py").write_text(TESTS)

    def run_tests(listed, *options):
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
        command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *options]
        environment = os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
        completed = subprocess.run(
            command, cwd=tmp_path, capture_output=True, text=True, env=environment
        )
        return completed.returncode, completed.stdout + completed.stderr

    return run_tests


def test_a_listed_test_is_skipped_and_printed(run):
    code, output = run(ENTRY)
    assert code == 0 and "1 passed, 1 skipped" in output, output
    assert "KNOWN RED, not run: test_some.py::test_red" in output and "issue 7" in output


def test_parallel_runs_print_skipped_tests(run):
    code, output = run(ENTRY, "-p", "xdist.plugin", "--numprocesses", "2")
    assert code == 0 and "1 passed, 1 skipped" in output, output
    assert output.count("KNOWN RED, not run: test_some.py::test_red") == 1


def test_other_failures_still_fail(run):
    assert run("# nothing is listed\n")[0] == 1
    code, output = run(ENTRY.replace("test_red", "test_green"))
    assert code == 1 and "1 failed, 1 skipped" in output, output
    assert run(ENTRY, "--known-red")[0] == 1


def test_a_malformed_entry_stops_the_run(run):
    code, output = run("test_some.py::test_red | no more\n")
    assert code != 0 and "expected test |" in output, output


def test_an_entry_that_names_no_test_is_reported():
    entries = [KnownRed(name, "c", "s", "i") for name in ("a.py::x", "a.py::gone", "b.py::y")]
    assert find_missing(entries, {"a.py::x", "a.py::z"}) == ["a.py::gone"]


def test_every_listed_test_exists(request):
    collected = {item.nodeid for item in request.session.items}
    if any("::" in argument for argument in request.config.args):
        collected.clear()  # a run of single tests does not collect complete files
    entries = load_known_red(Path(request.config.rootpath) / FILE_NAME)
    assert find_missing(entries, collected) == []
