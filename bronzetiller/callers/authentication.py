"""Authenticate callers by the API key of their workspace."""

from bronzetiller.configuration.fold import Configuration
from bronzetiller.digests import digest_key


def read_key(headers: dict[str, str]) -> str | None:
    """Return the bearer key of a request, or None."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def authenticate(configuration: Configuration, headers: dict[str, str]) -> str | None:
    """Return the name of the caller's workspace, or None."""
    key = read_key(headers)
    return None if key is None else configuration.find_workspace(digest_key(key))
