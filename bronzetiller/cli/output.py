"""Print tables and JSON."""

import json
import time
from typing import Any

import cattrs


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(cattrs.unstructure(value), indent=2))


def print_table(headings: list[str], rows: list[list[Any]]) -> None:
    """Print rows in aligned columns under their headings."""
    texts = [headings, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[index]) for row in texts) for index in range(len(headings))]
    for row in texts:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


def format_time(at: float) -> str:
    """Format a time (seconds, Unix) as ISO 8601 in UTC."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at))
