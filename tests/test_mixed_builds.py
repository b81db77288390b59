"""Test with real processes that old and new builds serve side by side during an upgrade."""

import pytest

from soak.__main__ import run_seed
from standins.builds import extract_build

LANDINGS = ("3a107de", "1706d4b", "96f7d0b", "c4371f7")


@pytest.mark.timeout(180)
@pytest.mark.parametrize("commit", LANDINGS)
def test_an_upgrade_and_the_way_back_keep_the_promises(commit, tmp_path):
    build = extract_build(commit, tmp_path)
    if build is None:
        pytest.skip(f"the history has no commit {commit}")
    assert run_seed(900, seconds=10, nodes=3, callers=6, old_build=build) == []
