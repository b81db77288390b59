"""Name the incarnations of nodes and tell which are gone.

A node id outlives its processes; an incarnation is one process, named by its node id and the time
it started. Whether one is gone is a belief that only saves waiting: whatever is closed on that
belief is closed in the fold of the log, which voids what a living holder does afterwards.
"""

import secrets
from collections.abc import Mapping

from attrs import field, frozen


def make_incarnation(node_id: str, started_at: float) -> str:
    """Return a unique name for a process that started at a time (seconds, Unix).

    Names of one node id sort by their time of start.
    """
    return f"{node_id}/{int(started_at * 1000):012x}{secrets.token_hex(4)}"


def read_node_id(incarnation: str) -> str:
    """Return the node id of an incarnation."""
    return incarnation.partition("/")[0]


@frozen
class FleetView:
    """Hold what one node knows of the others; times are seconds of its own monotonic clock.

    missing_since gives the first read of the list of VMs that lacked a node id which an earlier
    one had; a node id never listed is missing since the first read. newest gives the newest
    incarnation ever heard of by node id; alive holds those heard from of late.
    """

    listed: frozenset[str] = frozenset()
    first_read_at: float | None = None
    read_at: float | None = None
    missing_since: Mapping[str, float] = field(factory=dict)
    newest: Mapping[str, str] = field(factory=dict)
    alive: frozenset[str] = frozenset()


def is_gone(incarnation: str, view: FleetView, *, grace_seconds: float) -> bool:
    """Say whether an incarnation will never act again, as far as the view can tell."""
    node_id = read_node_id(incarnation)
    if view.newest.get(node_id, "") > incarnation:
        return True
    if incarnation in view.alive:
        return False
    if node_id in view.listed or view.read_at is None or view.first_read_at is None:
        return False
    missing_since = view.missing_since.get(node_id, view.first_read_at)
    return view.read_at - missing_since >= grace_seconds
