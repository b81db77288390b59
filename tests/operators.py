"""Run the command line as an operator does."""

import json
import os
import subprocess
import sys

import yaml

from standins.fleet import OPERATOR_TOKEN
from tests.conftest import KEY

DIGEST = "d" * 64


def start_command(*arguments, author="anna", program=None):
    """Start a command in its own process."""
    environment = os.environ | {"BRONZETILLER_TOKEN": OPERATOR_TOKEN, "LOGNAME": author}
    environment["PYTHONUNBUFFERED"] = "1"
    command = program or [sys.executable, "-m", "bronzetiller"]
    return subprocess.Popen(
        [*command, *map(str, arguments)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        stdin=subprocess.DEVNULL,
        text=True,
        env=environment,
    )


def run_command(*arguments, **options):
    """Run a command; return its exit code and its output on both streams."""
    process = start_command(*arguments, **options)
    output, errors = process.communicate(timeout=60)
    return process.returncode, output + errors


def make_connection_options(fleet, *node_ids):
    """Return the command-line options for the nodes and the log."""
    nodes = [f"--node={fleet.caller_address(node_id)}" for node_id in node_ids]
    return [*nodes, f"--log={fleet.log_address}"]


def run_json_command(fleet, command, *arguments, node_id="node-1"):
    """Run a command with --json; return its exit code and the decoded output."""
    code, output = run_command(
        command, *arguments, *make_connection_options(fleet, node_id), "--json"
    )
    return code, json.loads(output)


def declare(kind, name, schema=1, **spec):
    """Return one declaration."""
    return {"schema": schema, "kind": kind, "name": name, "spec": spec}


def declare_studio(digest=DIGEST, **spec):
    """Return the declaration of the workspace "studio"."""
    return declare("workspace", "studio", key_digests=[digest], **spec)


def write_tree(folder, *declarations, name="tree.yaml"):
    """Write declarations to one file; return its folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / name).write_text(yaml.safe_dump_all(declarations))
    return folder


__all__ = ["DIGEST", "KEY"]
