"""Provide earlier versions of the code from the history, for fleets of several versions."""

import io
import subprocess
import tarfile
from pathlib import Path

REPOSITORY = Path(__file__).parent.parent


def extract_build(commit: str, folder: Path) -> Path | None:
    """Extract the code of a commit into a folder; return None if the history lacks the commit."""
    archive = subprocess.run(
        ["git", "archive", commit, "bronzetiller"], cwd=REPOSITORY, capture_output=True
    )
    if archive.returncode != 0:
        return None
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder
