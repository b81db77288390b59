"""Decode JSON that others wrote."""

import json
import math
from typing import Any, Never

INTEGER_DIGITS_MAX = 18  # so that every number fits into 64 bits


def decode_json(value: bytes | bytearray | str) -> Any:
    """Decode a JSON document; raise ValueError for everything that cannot be decoded.

    Numbers that are too large and documents that are nested too deeply count as malformed.
    """
    try:
        return json.loads(
            value,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def _parse_integer(text: str) -> int:
    if len(text.lstrip("-")) > INTEGER_DIGITS_MAX:
        raise ValueError(f"an integer has at most {INTEGER_DIGITS_MAX} digits, not {len(text)}")
    return int(text)


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"a number must be finite, not {text[:40]}")
    return number


def _reject_constant(text: str) -> Never:
    raise ValueError(f"a number must be finite, not {text}")
