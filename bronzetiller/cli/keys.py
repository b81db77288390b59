"""Make keys and digests."""

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
    """Print the digest of the key on standard input."""
    key = sys.stdin.readline().strip()
    if not key:
        fail("standard input holds no key", ExitCode.BAD_INPUT)
    print(f"digest {digest_key(key)}")
