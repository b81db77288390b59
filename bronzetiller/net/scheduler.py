"""Run actions at their deadlines, on the thread of the event loop."""

import heapq
import itertools
import time
from collections.abc import Callable

from attrs import define
from circuits import BaseComponent, handler

CLOCK = time.CLOCK_BOOTTIME  # goes on while the VM is suspended, unlike CLOCK_MONOTONIC

Action = Callable[[], None]


def read_clock() -> float:
    """Return the monotonic time in seconds."""
    return time.clock_gettime(CLOCK)


@define(eq=False)
class Timer:
    """Hold an action to be run once at a deadline (seconds, monotonic clock)."""

    deadline: float
    action: Action | None

    def cancel(self) -> None:
        """Cancel the action."""
        self.action = None


@define(eq=False)
class Timeout:
    """Run an action at a deadline (seconds, monotonic clock) that is often moved or cleared.

    A later deadline is only stored, so that a busy connection has one entry in the scheduler's
    heap, not one for each of its reads. The action runs a turn of the loop after the deadline, so
    that bytes which arrived while the loop was busy move it first.
    """

    _scheduler: "Scheduler"
    _action: Action
    deadline: float | None = None
    _timer: Timer | None = None
    _passed_deadline: float | None = None

    def expire_after(self, seconds: float) -> None:
        """Set the deadline to the given seconds from now."""
        self.deadline = self._scheduler.now() + seconds
        if self._timer is not None and self._timer.deadline > self.deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._scheduler.call_at(self.deadline, self._check)

    def clear(self) -> None:
        """Clear the deadline; the timeout may be set again."""
        self.deadline = None

    def cancel(self) -> None:
        """Clear the deadline and release the action from the scheduler's heap."""
        self.deadline = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self.deadline is None:
            return
        if self.deadline > self._scheduler.now():
            self._timer = self._scheduler.call_at(self.deadline, self._check)
            return
        if self._passed_deadline != self.deadline:
            self._passed_deadline = self.deadline
            self._timer = self._scheduler.call_after(0, self._check)
            return
        self.deadline = self._passed_deadline = None
        self._action()


class Scheduler(BaseComponent):
    """Hold timers in a heap; a circuits Timer per request would rebuild the handler cache."""

    channel = "scheduler"

    def __init__(self) -> None:
        super().__init__()
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return read_clock()

    def call_at(self, deadline: float, action: Action) -> Timer:
        """Run the action once the monotonic clock reaches the deadline."""
        timer = Timer(deadline, action)
        heapq.heappush(self._timers, (deadline, next(self._order), timer))
        return timer

    def call_after(self, seconds: float, action: Action) -> Timer:
        """Run the action after the given seconds."""
        return self.call_at(self.now() + seconds, action)

    def create_timeout(self, action: Action) -> Timeout:
        """Return a timeout for the action, without a deadline yet."""
        return Timeout(self, action)

    def call_every(self, seconds: float, action: Action) -> None:
        """Run the action periodically, first after the given seconds, until the process ends."""

        def repeat() -> None:
            self.call_after(seconds, repeat)
            action()

        self.call_after(seconds, repeat)

    @handler("generate_events", priority=0)
    def _on_generate_events(self, event) -> None:  # type: ignore[no-untyped-def]
        if self._run_due():
            # Events fired by the actions are handled in the next iteration.
            event.reduce_time_left(0)
        elif self._timers:
            event.reduce_time_left(max(0.0, self._timers[0][0] - self.now()))

    def _run_due(self) -> bool:
        now = self.now()
        ran = False
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if timer.action is not None:
                action, timer.action = timer.action, None
                action()
                ran = True
        return ran
