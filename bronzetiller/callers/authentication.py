"""Find the workspace that a caller's key belongs to."""

import hashlib

from bronzetiller.configuration.fold import Configuration


def digest_key(key: str) -> str:
    """Return the SHA-256 digest (hex) that records hold in place of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(configuration: Configuration, headers: dict[str, str]) -> str | None:
    """Return the name of the caller's workspace, or nothing."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    digest = digest_key(key.strip())
    for name, workspace in configuration.workspaces().items():
        if workspace.enabled and digest in workspace.key_digests:
            return name
    return None
