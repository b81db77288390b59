"""Encode an outgoing request; a large body is passed on without a copy."""

from typing import Protocol

import h11

from bronzetiller.net.address import Address

BODILESS_METHODS = ("GET", "HEAD", "DELETE")
JOINED_BYTES_MAX = 16 * 1024  # of a body that is copied, to be sent in one packet with its head


class EncodableCall(Protocol):
    """Define what is read of a call."""

    @property
    def address(self) -> Address:
        """Return the address of the server."""

    @property
    def method(self) -> str:
        """Return the method."""

    @property
    def path(self) -> str:
        """Return the path with its query."""

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers."""

    @property
    def body(self) -> bytes | bytearray:
        """Return the body."""

    @property
    def host(self) -> str | None:
        """Return the host, if it is not the address."""


def encode_request(parser: h11.Connection, call: EncodableCall) -> list[bytes | bytearray]:
    """Return the parts of a request in the order in which they are sent."""
    headers = [("Host", call.host or str(call.address))]
    if call.body or call.method not in BODILESS_METHODS:
        headers.append(("Content-Length", str(len(call.body))))
    headers += list(call.headers.items())
    request = h11.Request(method=call.method, target=call.path, headers=headers)
    head = parser.send(request) or b""
    if call.body:
        parser.send_with_data_passthrough(h11.Data(data=call.body))  # type: ignore[arg-type]
    parser.send(h11.EndOfMessage())
    return [head + call.body] if len(call.body) <= JOINED_BYTES_MAX else [head, call.body]
