"""Parse and format socket addresses."""

import socket as sockets
from functools import lru_cache

from attrs import frozen

PARSED_ADDRESSES_MAX = 4_096


@frozen
class Address:
    """Identify a listening socket by IPv4 address and port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@lru_cache(PARSED_ADDRESSES_MAX)
def parse_address(text: str) -> Address:
    """Parse an address written as ip:port; raise ValueError if it is malformed."""
    ip, separator, port = text.rpartition(":")
    try:
        sockets.inet_pton(sockets.AF_INET, ip)
    except OSError as error:
        raise ValueError(f"an address must be ip:port, not {text!r}") from error
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"an address must be ip:port, not {text!r}")
    return Address(ip, int(port))
