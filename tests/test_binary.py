"""Test a node that runs from the single-file binary."""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from standins.fleet import FLEET_SECRET, Process, call_json
from tests.conftest import KEY, await_true, send_chat

# The bare system interpreter, without the packages that the binary must contain.
INTERPRETER = [sys._base_executable, "-I", "-S"]


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    output = tmp_path_factory.mktemp("binary") / "bronzetiller"
    root = Path(__file__).parent.parent
    subprocess.run([sys.executable, "-m", "binary.build", str(output)], cwd=root, check=True)
    return output


def start_node(binary, fleet, folder):
    """Start a node from the binary; its home and temporary folder show whether it unpacks files."""
    platform = {"log": fleet.log_address, "vm_list": fleet.processes["vms"].ready["address"]}
    value = {
        "node_id": "node-1",
        "region": "west",
        "data_centre": "west-1",
        "fleet_secret": FLEET_SECRET,
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
        "platform": platform,
        "limits": {"entry_seconds": 0.2},
        "fleet": {"silence_seconds": 0.5},
    }
    settings = folder / "settings.yaml"
    settings.write_text(yaml.safe_dump(value))
    home = folder / "home"
    home.mkdir()
    popen = subprocess.Popen(
        [*INTERPRETER, str(binary), "node", str(settings)],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        cwd=home,
        env={"TMPDIR": str(home), "HOME": str(home)},
        text=True,
    )
    words = popen.stdout.readline().split()
    ready = dict(word.split("=", 1) for word in words[1:])
    fleet.processes["node-1"] = Process("node-1", popen, ready)
    return popen.pid, home


def list_children(pid):
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [child for task in tasks for child in (task / "children").read_text().split()]


def list_open_files(pid):
    """Return the targets of a process's file descriptors, skipping those closed meanwhile."""
    opened = []
    for item in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):
            opened.append(os.readlink(item))
    return opened


def test_a_node_runs_from_a_single_file_as_one_process(make_fleet, binary, tmp_path):
    fleet = make_fleet()
    fleet.start_platform()
    fleet.add_target("engine-1", "names", "west", "west-1")
    pid, home = start_node(binary, fleet, tmp_path)
    fleet.publish_workspace("studio", KEY, 50_000)
    fleet.publish("route", "namer", {"service": "names"})
    address = fleet.caller_address("node-1")
    await_true(lambda: call_json(address, "/readyz")["ready"], what="readiness")
    await_true(lambda: send_chat(address)[0] == 200, what="a response")

    assert list_children(pid) == []
    assert len(list(Path(f"/proc/{pid}/task").iterdir())) == 1
    assert list(home.iterdir()) == []
    opened = list_open_files(pid)
    files = {name for name in opened if name.startswith("/") and not name.startswith("/dev/")}
    assert files <= {str(binary), "/memfd:cbor2._cbor2 (deleted)"}
    fleet.processes["node-1"].stop()
    assert fleet.processes["node-1"].popen.wait(timeout=20) == 0


def test_the_binary_is_executable_and_prints_its_version(binary):
    version = subprocess.run([binary, "version"], capture_output=True, text=True, check=True)
    assert version.stdout.startswith("bronzetiller 0.")
