"""Test what callers may hold on machines of several sizes; no network."""

import pytest

from bronzetiller.net.buffer_quota import LARGE_PORTION_MAX
from bronzetiller.net.caller_limits import (
    FILE_DESCRIPTORS,
    MEGABYTE,
    CallerConnections,
    MachineLimits,
    compute_caller_connections,
    compute_held_bytes,
    compute_idle_connections,
    make_caller_limits,
)
from bronzetiller.net.cut_reports import CutReports

LARGEST_BODY_BYTES = 4 * MEGABYTE


@pytest.mark.parametrize("memory_mb", [None, 64, 160, 552])
def test_one_request_of_the_largest_size_is_always_held(memory_mb):
    held_bytes = compute_held_bytes(memory_mb, 56)
    assert LARGE_PORTION_MAX * held_bytes > LARGEST_BODY_BYTES
    assert memory_mb in (None, 64) or held_bytes < (memory_mb - 56) * MEGABYTE


@pytest.mark.parametrize("descriptors", [1_638, 10_250])
def test_descriptors_remain_for_files_targets_and_peers(descriptors):
    callers = compute_caller_connections(descriptors)
    limits = make_caller_limits(MachineLimits(descriptors=descriptors), 56, lambda: 0.0)
    lookups = limits.make_for_lookups().connections.connections_max
    targets = callers + compute_idle_connections(descriptors)
    assert callers > descriptors / 4
    assert callers + lookups + targets + FILE_DESCRIPTORS < 0.96 * descriptors


def make_close(connections, closed, name):
    def close():
        connections.mark_busy(name)
        closed.append(name)

    return close


def test_the_connection_that_is_idle_for_longest_is_closed_for_a_new_one():
    closed = []
    connections = CallerConnections(connections_max=2, count=2)
    for name in ("first", "second", "first"):
        connections.mark_idle(name, make_close(connections, closed, name))
    assert not connections.has_room()
    assert connections.make_room() and closed == ["second"]
    connections.mark_busy("first")
    assert not connections.make_room()


def test_heads_without_an_end_keep_no_ordinary_caller_out():
    """None is idle: the address with most unfinished requests loses the one that began first."""
    closed = []
    connections = CallerConnections(connections_max=4, count=4)
    names = {"early": "10.0.0.2", "greedy-1": "10.0.0.1", "greedy-2": "10.0.0.1"}
    for name, address in names.items():
        connections.mark_idle(name, make_close(connections, closed, name))
        connections.mark_sending(name, address)
    connections.mark_idle("served", make_close(connections, closed, "served"))
    connections.mark_sending("served", "10.0.0.3")
    connections.mark_busy("served")
    assert connections.make_room() and closed == ["greedy-1"]
    assert connections.make_room() and closed == ["greedy-1", "early"]
    assert connections.make_room() and not connections.make_room()


def test_lookups_and_the_operators_probes_have_connections_of_their_own():
    """Callers that hold all connections must not make the node look dead."""
    limits = make_caller_limits(MachineLimits(descriptors=1_638), 56, lambda: 0.0)
    limits.connections.count = limits.connections.connections_max
    assert not limits.connections.has_room()
    for others in (limits.make_for_lookups(), limits.make_for_operators()):
        assert others.connections.has_room() and others.quota is limits.quota


def test_targets_share_the_quota_of_callers_if_the_memory_is_stated():
    limits = make_caller_limits(MachineLimits(memory_mb=160), 56, lambda: 0.0)
    assert limits.response_quota is limits.quota
    limits = make_caller_limits(MachineLimits(), 56, lambda: 0.0)
    assert limits.response_quota is not limits.quota


def test_cuts_of_one_kind_are_logged_once_a_second(monkeypatch):
    lines, now = [], [0.0]
    monkeypatch.setattr(
        "bronzetiller.net.cut_reports.log_event", lambda event, **fields: lines.append(fields)
    )
    reports = CutReports(lambda: now[0])
    for _ in range(10):
        reports.report("request")
    now[0] = 1.5
    reports.report("request")
    assert [line["before"] for line in lines] == [0, 9]
