"""Estimate how long work takes at a target, by what it states; no I/O.

Designed for targets that share their machines with others: each states many times a second how long
work takes there at the moment. A report is some hundred milliseconds old when it is used, and all
nodes read the same one, so that a single report says little; its moving average tells the targets
that are slow for seconds from the others.
"""

import math

from attrs import define

SMOOTHING_SECONDS = 1.0  # several requests of a node to each target; a machine is slow for seconds
# A target that looks slow gets few requests, and states its pace only in responses. Without them it
# counts as usual again after some of these, as a machine is slow for seconds.
FORGET_SECONDS = 5.0
# A report beyond these is taken for this much, so that a false one neither draws nor ends all use.
SLOWDOWN_MIN = 0.5
SLOWDOWN_MAX = 8.0


@define
class TargetPace:
    """Hold the smoothed slowdown of a target: 1 is its usual pace, 2 takes twice as long.

    slowdown is as of the last report.
    """

    slowdown: float = 1.0
    _reported_at: float = -math.inf

    def record(self, slowdown: float, now: float) -> None:
        """Record what a target states at a time (monotonic seconds)."""
        stated = min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, slowdown))
        weight = math.exp((self._reported_at - now) / SMOOTHING_SECONDS)
        self.slowdown = weight * self.slowdown + (1 - weight) * stated
        self._reported_at = now

    def estimate(self, now: float) -> float:
        """Return the slowdown at a time; it approaches 1 while the target states nothing."""
        weight = math.exp((self._reported_at - now) / FORGET_SECONDS)
        return 1.0 + weight * (self.slowdown - 1.0)
