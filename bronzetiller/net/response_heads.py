"""Decode the headers of responses, and detect heads that consist of two; no I/O.

A server that breaks off inside the head of one response and goes on with another one sends a head
with the status of the first and the last headers of the second.
"""

import re
from collections.abc import Iterable

import h11

STATUS_MAX = 599
# A status line begins like this; its version alone may stand in a header such as Via.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?: |$)")


def is_joined(response: h11.Response) -> bool:
    """Return whether the head of a response contains the status line of another one."""
    texts = [response.reason, *(value for _, value in response.headers)]
    return any(_STATUS_LINE.search(text) for text in texts)


def check_head(response: h11.Response) -> None:
    """Raise RemoteProtocolError for a head that is no response, though h11 can parse it."""
    status = response.status_code
    if status > STATUS_MAX:
        raise h11.RemoteProtocolError(f"status {status}, expected at most {STATUS_MAX}")
    if is_joined(response):
        raise h11.RemoteProtocolError("the head contains the status line of another response")


def merge_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by name; different values of one name make a list, but for cookies.

    So a head that names two requests names neither.
    """
    merged: dict[str, str] = {}
    for name_bytes, value_bytes in headers:
        name, value = name_bytes.decode("latin-1"), value_bytes.decode("latin-1")
        earlier = merged.get(name)
        is_list = earlier not in (None, value) and name != "set-cookie"
        merged[name] = f"{earlier}, {value}" if is_list else value
    return merged
