"""Check in the nodes' logs that no version counted as current while the store had a newer one."""

import re
from collections.abc import Mapping
from datetime import datetime
from pathlib import Path

from attrs import frozen

LINE = re.compile(r"time=(\S+) .*\bversion=(\d+) .*\bconfirmation_age=(\d[\d.]*)")
ROUNDING_SECONDS = 0.01


@frozen
class LoggedConfirmation:
    """Hold what a log line says: the version that was current at a time (Unix seconds)."""

    node: str
    version: int
    at: float


def read_confirmations(log_paths: Mapping[str, Path]) -> list[LoggedConfirmation]:
    """Return the confirmations that the nodes logged with a version or a refusal."""
    found = []
    for node, path in log_paths.items():
        for line in path.read_text(errors="replace").splitlines():
            match = LINE.search(line)
            if match is not None:
                logged_at = datetime.fromisoformat(match[1]).timestamp()
                found.append(LoggedConfirmation(node, int(match[2]), logged_at - float(match[3])))
    return found


def find_false_confirmations(
    confirmations: list[LoggedConfirmation], acknowledged_at: Mapping[int, float]
) -> list[str]:
    """Return a violation for each version that was replaced before it was last confirmed."""
    violations = []
    for item in confirmations:
        newer = [at for version, at in acknowledged_at.items() if version > item.version]
        if newer and min(newer) < item.at - ROUNDING_SECONDS:
            late = item.at - min(newer)
            violations.append(
                f"{item.node} counted version {item.version} as current {late:.2f} s after a newer"
            )
    return violations
