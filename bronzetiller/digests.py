"""Compute the digests of API keys and operator tokens."""

import hashlib


def digest_key(key: str) -> str:
    """Return the SHA-256 digest (hex), which records hold instead of the key."""
    return hashlib.sha256(key.encode()).hexdigest()
