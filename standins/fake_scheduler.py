"""Provide a scheduler whose clock the test advances."""

import heapq
import itertools

from attrs import define, field

from bronzetiller.net.scheduler import Action, Timer


@define(eq=False)
class FakeScheduler:
    """Run scheduled actions as the test advances the time (seconds)."""

    time: float = 100.0
    _timers: list[tuple[float, int, Timer]] = field(factory=list)
    _sequence: "itertools.count[int]" = field(factory=itertools.count)

    def now(self) -> float:
        return self.time

    def call_at(self, deadline: float, action: Action) -> Timer:
        timer = Timer(deadline, action)
        heapq.heappush(self._timers, (deadline, next(self._sequence), timer))
        return timer

    def call_after(self, seconds: float, action: Action) -> Timer:
        return self.call_at(self.time + seconds, action)

    def call_every(self, seconds: float, action: Action) -> None:
        def repeat() -> None:
            self.call_after(seconds, repeat)
            action()

        self.call_after(seconds, repeat)

    def advance(self, seconds: float) -> None:
        end = self.time + seconds
        while self._timers and self._timers[0][0] <= end:
            deadline, _, timer = heapq.heappop(self._timers)
            self.time = max(self.time, deadline)
            if timer.action is not None:
                timer.action()
        self.time = end

    def list_delays(self) -> list[float]:
        """Return the seconds until each timer that is still set, soonest first."""
        delays = (timer.deadline - self.time for _, _, timer in self._timers if timer.action)
        return sorted(delays)

    def clear(self) -> None:
        """Delete all timers, to simulate a crash of the process that set them."""
        self._timers.clear()
