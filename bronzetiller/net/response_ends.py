"""Decide whether the close of a connection already ends the response on it.

A response without a length ends with its connection, and is cut if the connection is reset. A
server that answers before it has read the request may close its sending side first; the reset,
which says that part of the request was never read, comes later.
"""

import fcntl
import socket
import struct
import termios
from collections.abc import Mapping

import h11

RESET_WAIT_SECONDS = 0.25
_COUNT = struct.Struct("i")


def ends_by_close(headers: Mapping[str, str]) -> bool:
    """Return whether a response with these headers, if it has a body, ends with its connection."""
    return "content-length" not in headers and "transfer-encoding" not in headers


def may_be_cut(request_body: bytes | bytearray, parser: h11.Connection) -> bool:
    """Return whether a reset may follow the end of a response without a length."""
    return bool(request_body) and parser.their_state is h11.SEND_BODY


def count_unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many of the sent bytes the other end has not received, 0 if that is unknown."""
    try:
        counted = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError:
        return 0
    return int(_COUNT.unpack(counted)[0])


def is_reset(sock: socket.socket) -> bool:
    """Return whether a connection was reset, also after its other end stopped sending."""
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
