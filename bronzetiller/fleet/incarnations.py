"""Identify the incarnations of nodes and detect those that are gone.

A node id outlives its processes; an incarnation is one process, identified by its node id and start
time. Whether an incarnation is gone is only an estimate that saves waiting: anything closed because
of it is closed by a record in the log, which voids later records of a holder that still runs.
"""

import secrets
from collections.abc import Mapping

from attrs import field, frozen


def make_incarnation(node_id: str, started_at: float) -> str:
    """Return a unique id for a process from its start time (seconds, Unix).

    The ids of one node sort by start time.
    """
    return f"{node_id}/{int(started_at * 1000):012x}{secrets.token_hex(4)}"


def read_node_id(incarnation: str) -> str:
    """Return the node id of an incarnation."""
    return incarnation.partition("/")[0]


@frozen
class FleetView:
    """Describe the fleet as one node sees it; times are seconds of its own monotonic clock.

    missing_since maps a node id that was listed before to the first read of the VM list without it;
    a node id that was never listed counts as missing since the first read. newest maps each node id
    to its newest known incarnation; alive contains the live incarnations.
    """

    listed: frozenset[str] = frozenset()
    first_read_at: float | None = None
    read_at: float | None = None
    missing_since: Mapping[str, float] = field(factory=dict)
    newest: Mapping[str, str] = field(factory=dict)
    alive: frozenset[str] = frozenset()


def is_gone(incarnation: str, view: FleetView, *, grace_seconds: float) -> bool:
    """Return whether, judging by the view, an incarnation will never act again."""
    node_id = read_node_id(incarnation)
    if view.newest.get(node_id, "") > incarnation:
        return True
    if incarnation in view.alive:
        return False
    if node_id in view.listed or view.read_at is None or view.first_read_at is None:
        return False
    missing_since = view.missing_since.get(node_id, view.first_read_at)
    return view.read_at - missing_since >= grace_seconds
