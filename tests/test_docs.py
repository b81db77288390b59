"""Test that the tests and files named in the documentation exist."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
TEST_NAME = re.compile(r"(?:(test_\w+)\.py)?::(test_\w+)(\.\.\.)?")
LINK = re.compile(r"\]\(([^)#:]+)\)")


@pytest.fixture(scope="module")
def test_names():
    text = "\n".join(path.read_text() for path in ROOT.glob("tests/test_*.py"))
    return set(re.findall(r"^def (test_\w+)", text, re.MULTILINE))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_a_page_names_tests_and_files_that_exist(page, test_names):
    text = page.read_text()
    for _, name, shortened in TEST_NAME.findall(text):
        known = any(item.startswith(name) for item in test_names) if shortened else None
        assert known or name in test_names, f"{page.name} names {name}"
    for link in LINK.findall(text):
        assert (page.parent / link).exists(), f"{page.name} links to {link}"
