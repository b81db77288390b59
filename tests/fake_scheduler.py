"""Provide a scheduler whose clock the test advances."""

import heapq
import itertools

from attrs import define, field

from bronzetiller.net.scheduler import Timer


@define(eq=False)
class FakeScheduler:
    """Run scheduled actions as the test advances the time (seconds)."""

    time: float = 100.0
    _timers: list = field(factory=list)
    _sequence: object = field(factory=itertools.count)

    def now(self):
        return self.time

    def call_at(self, deadline, action):
        timer = Timer(deadline, action)
        heapq.heappush(self._timers, (deadline, next(self._sequence), timer))
        return timer

    def call_after(self, seconds, action):
        return self.call_at(self.time + seconds, action)

    def call_every(self, seconds, action):
        def repeat():
            self.call_after(seconds, repeat)
            action()

        self.call_after(seconds, repeat)

    def advance(self, seconds):
        end = self.time + seconds
        while self._timers and self._timers[0][0] <= end:
            deadline, _, timer = heapq.heappop(self._timers)
            self.time = max(self.time, deadline)
            if timer.action is not None:
                timer.action()
        self.time = end

    def clear(self):
        """Delete all timers, to simulate a crash of the process that set them."""
        self._timers.clear()
