"""Parse the request target, as RFC 9112 calls it, of a request line."""

import re

from attrs import frozen
from result import Err, Ok, Result

_ABSOLUTE_FORM = re.compile(r"^https?://[^/?#]+", re.IGNORECASE)
_DOT_SEGMENT = re.compile(r"(^|/)(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_AMBIGUOUS_CHARACTERS = re.compile(r"\\|#|%(?![0-9a-f]{2})|%(0|1|7f|5c|2f)", re.IGNORECASE)


@frozen
class RequestTarget:
    """Hold the path and the query as they were sent, still percent-encoded."""

    path: str
    query: str


def parse_request_target(target: bytes) -> Result[RequestTarget, str]:
    """Split a request target; reject those that different servers interpret differently."""
    try:
        text = target.decode("ascii")
    except UnicodeDecodeError:
        return Err("the request target is not ASCII")
    path, _, query = _ABSOLUTE_FORM.sub("", text, count=1).partition("?")
    if path == "" and text:
        path = "/"
    if path != "*" and not path.startswith("/"):
        return Err("the request target is not a path")
    if _DOT_SEGMENT.search(path) or _AMBIGUOUS_CHARACTERS.search(path) or "//" in path:
        return Err("the path of the request target is not normalized")
    return Ok(RequestTarget(path, query))
