"""Generate API keys and operator tokens, and compute their digests."""

import secrets
import sys

from bronzetiller.cli.exits import ExitCode, fail
from bronzetiller.configuration.declarations import KEY_PREFIX
from bronzetiller.digests import digest_key

KEY_BYTES = 32


def show_new_key() -> None:
    """Print a new key and its digest."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    print(f"key {key}")
    print(f"digest {digest_key(key)}")


def show_digest() -> None:
    """Print the digest of the key read from standard input."""
    key = sys.stdin.readline().strip()
    if not key:
        fail("no key on standard input", ExitCode.BAD_INPUT)
    print(f"digest {digest_key(key)}")
