"""Digest the keys of callers and the tokens of operators."""

import hashlib


def digest_key(key: str) -> str:
    """Return the SHA-256 digest (hex) that records hold in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()
