"""Compare start time and memory of the single executable file and the installed package.

python -m binary.measure BINARY
"""

import argparse
import statistics
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory

import yaml

RUNS = 7
SETTINGS = {
    "node_id": "node-1",
    "region": "west",
    "data_centre": "west-1",
    "fleet_secret": "a-secret-for-measuring-only",
    "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0"},
    "platform": {"log": "127.0.0.1:1", "vm_list": "127.0.0.1:1"},
}


def measure_start(command: list[str], settings: Path) -> tuple[float, int]:
    """Start a node; return the seconds until its ready line and its resident memory (KiB)."""
    started_at = time.monotonic()
    process = subprocess.Popen(
        [*command, "node", str(settings)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    assert process.stdout is not None
    process.stdout.readline()
    seconds = time.monotonic() - started_at
    status = Path(f"/proc/{process.pid}/status").read_text()
    process.kill()
    process.wait()
    lines = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return seconds, int(lines[0].split()[1])


def main() -> None:
    """Run both in alternation and print the medians."""
    parser = argparse.ArgumentParser(
        description="Measure start time and memory of the single executable file."
    )
    parser.add_argument("binary", type=Path)
    binary = parser.parse_args().binary
    base_interpreter = getattr(sys, "_base_executable", sys.executable)
    commands = {
        "one file": [base_interpreter, "-I", "-S", str(binary)],
        "installed": [sys.executable, "-m", "bronzetiller"],
    }
    measurements: dict[str, list[tuple[float, int]]] = {name: [] for name in commands}
    with TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.yaml"
        settings.write_text(yaml.safe_dump(SETTINGS))
        for _ in range(RUNS):
            for name, command in commands.items():
                measurements[name].append(measure_start(command, settings))
    print(f"size {binary.stat().st_size / 1e6:.1f} MB")
    for name, values in measurements.items():
        seconds = statistics.median(item[0] for item in values)
        memory = statistics.median(item[1] for item in values) / 1024
        print(f"{name}: ready after {seconds:.2f} s, {memory:.1f} MB resident")


if __name__ == "__main__":
    main()
