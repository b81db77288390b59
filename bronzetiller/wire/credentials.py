"""Authenticate nodes to each other with an HMAC of the fleet secret."""

import hashlib
import hmac
import time

SCHEME = "Bronzetiller"
CLOCK_SKEW_SECONDS_MAX = 300.0


def make_credentials(secret: bytes, node_id: str) -> str:
    """Return the value of a node's Authorization header."""
    at = str(int(time.time()))
    return f"{SCHEME} {node_id} {at} {_sign(secret, node_id, at)}"


def check_credentials(secret: bytes, header: str) -> str | None:
    """Return the node id that a header authenticates, or None if it is invalid or too old."""
    parts = header.split(" ")
    if len(parts) != 4 or parts[0] != SCHEME or not parts[2].isdigit():
        return None
    _, node_id, at, signature = parts
    if abs(time.time() - int(at)) > CLOCK_SKEW_SECONDS_MAX:
        return None
    return node_id if hmac.compare_digest(signature, _sign(secret, node_id, at)) else None


def _sign(secret: bytes, node_id: str, at: str) -> str:
    return hmac.new(secret, f"{node_id} {at}".encode(), hashlib.sha256).hexdigest()
