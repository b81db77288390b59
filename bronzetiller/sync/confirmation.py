"""Decide what a node may serve and refuse by how long ago its configuration was confirmed; no I/O.

A node without the store goes on serving by what it has. One that the store answers could know of
every version in force, so that it serves nothing by one that may not be any more.
"""

from attrs import field, frozen
from attrs.validators import gt, optional

CONFIRMATION_SECONDS_MAX = 2.5
RETRY_AGE_SHARE = 0.25
RETRY_SECONDS_MIN = 0.5
RETRY_SECONDS_MAX = 5.0
JITTER_SHARE = 0.4
SEND_MARGIN_MS = 800.0  # a request may be sent 0.7 s later, once its connection is open


@frozen
class ConfigurationBounds:
    """Set within how long a version is in force at nodes that the store has answered for long.

    apply_ms counts from the acknowledgement of the version, contact_ms is for how long a node has
    to be in contact with the store for the first bound to hold (milliseconds). evacuate_ms is the
    same as apply_ms for evacuations of data centres; without it, they have no bound of their own.
    It must exceed SEND_MARGIN_MS: otherwise a node in contact never sends anything.
    """

    apply_ms: float = field(default=3_000.0, validator=gt(0))
    contact_ms: float = field(default=4_000.0, validator=gt(0))
    evacuate_ms: float | None = field(default=None, validator=optional(gt(SEND_MARGIN_MS)))


def may_serve(age_seconds: float, contact_seconds: float, bounds: ConfigurationBounds) -> bool:
    """Return whether a node may serve what its configuration allows."""
    is_in_time = age_seconds * 1000 <= bounds.apply_ms
    is_in_contact = contact_seconds * 1000 >= bounds.contact_ms
    return (not is_in_contact or is_in_time) and may_send(age_seconds, contact_seconds, bounds)


def may_send(age_seconds: float, contact_seconds: float, bounds: ConfigurationBounds) -> bool:
    """Return whether a node may send requests to the targets that no evacuation forbids.

    It also limits requests that the node took on while its configuration was confirmed.
    """
    is_in_contact = contact_seconds * 1000 >= bounds.contact_ms
    if not is_in_contact or bounds.evacuate_ms is None:
        return True
    return age_seconds * 1000 <= bounds.evacuate_ms - SEND_MARGIN_MS


def is_outdated(age_seconds: float) -> bool:
    """Return whether a version that the node does not know may be in force.

    A version is in force 3 s after the store took it, and a confirmation is on its way for some
    time.
    """
    return age_seconds > CONFIRMATION_SECONDS_MAX


def choose_retry_seconds(age_seconds: float, draw: float) -> float:
    """Return after how many seconds a caller should retry, by a uniform draw from [0, 1).

    The longer the node has been without a confirmation, the later callers return.
    """
    seconds = min(RETRY_SECONDS_MAX, max(RETRY_SECONDS_MIN, RETRY_AGE_SHARE * age_seconds))
    return round(seconds * (1 + JITTER_SHARE * (2 * draw - 1)), 3)
