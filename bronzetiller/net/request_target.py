"""Read the target of a request line."""

import re

from attrs import frozen
from result import Err, Ok, Result

_ABSOLUTE_FORM = re.compile(r"^https?://[^/?#]+", re.IGNORECASE)
_DOT_SEGMENT = re.compile(r"(^|/)(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_AMBIGUOUS_CHARACTERS = re.compile(r"\\|#|%(?![0-9a-f]{2})|%(0|1|7f|5c|2f)", re.IGNORECASE)


@frozen
class RequestTarget:
    """Hold the path and the query, both as they were sent."""

    path: str
    query: str


def parse_request_target(target: bytes) -> Result[RequestTarget, str]:
    """Split a target; refuse those that one server reads otherwise than the next."""
    try:
        text = target.decode("ascii")
    except UnicodeDecodeError:
        return Err("the target is not ASCII")
    path, _, query = _ABSOLUTE_FORM.sub("", text, count=1).partition("?")
    if path == "" and text:
        path = "/"
    if path != "*" and not path.startswith("/"):
        return Err("the target is not a path")
    if _DOT_SEGMENT.search(path) or _AMBIGUOUS_CHARACTERS.search(path) or "//" in path:
        return Err("the target's path is not in its plain form")
    return Ok(RequestTarget(path, query))
