"""Test what a follower of the store takes for a proof that it holds the newest records."""

import time

import pytest

from bronzetiller.net.scheduler import Scheduler


def test_the_time_that_a_vm_was_suspended_counts(monkeypatch):
    clocks = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 100.0}
    monkeypatch.setattr(time, "clock_gettime", clocks.__getitem__)
    monkeypatch.setattr(time, "monotonic", lambda: clocks[time.CLOCK_MONOTONIC])
    scheduler, ran = Scheduler(), []
    confirmed_at = scheduler.now()
    scheduler.call_after(5.0, lambda: ran.append("due"))
    clocks[time.CLOCK_BOOTTIME] += 6.0
    scheduler._run_due()
    assert scheduler.now() - confirmed_at == pytest.approx(6.0) and ran == ["due"]
