"""Decide what a node may refuse by how long ago its configuration was confirmed; no I/O."""

CONFIRMATION_SECONDS_MAX = 2.5
RETRY_AGE_SHARE = 0.25
RETRY_SECONDS_MIN = 0.5
RETRY_SECONDS_MAX = 5.0
JITTER_SHARE = 0.4


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
