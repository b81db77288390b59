"""Decide whether this node's own link or processor is full; no I/O.

Designed for small VMs with links of 5 to 10 Mbit/s, on which some requests of 16 KB a second too
many make every connection time out, as in a network cut.
"""

from collections import deque

from attrs import define, field, frozen

from bronzetiller.gateway.settings import GatewayCapacity

SAMPLE_SECONDS = 0.25
WINDOW_SECONDS = 2.0  # a body of a megabyte alone fills a small link for as long
# Of the link's rate, sent or received. Headers of packets and acknowledgements take 6 to 9 in 100
# of a full link, so that more than 0.91 is never seen.
FULL_LINK_SHARE = 0.85
CONGESTED_LINK_SHARE = 0.7  # from here on, a timeout says nothing about the other end
RELEASED_LINK_SHARE = 0.6
# Mean delay of a timer of the event loop. One pause (a suspended VM) counts as DELAY_SECONDS_MAX.
FULL_DELAY_SECONDS = 0.15
# Below it, a connection that timed out after 0.7 s was not late because of this node. Machines may
# delay timers by some hundredths of a second for good.
RELEASED_DELAY_SECONDS = 0.1
DELAY_SECONDS_MAX = 0.3
DELAYS = 8  # of which the mean is taken
HOLD_SECONDS = 7.0  # callers keep an answer that names this node for up to 6 s
HOLD_SECONDS_MAX = 28.0
RECURRENCE_SECONDS = 30.0  # a node that is full again within this time is held twice as long
QUIET_SECONDS = 1.5  # below the lower bounds, before a node counts as having room


@frozen
class Sample:
    """Hold the byte counters at a time (monotonic seconds)."""

    at: float
    sent: int
    received: int


@define(eq=False)
class OwnLoad:
    """Hold the state of this node's link and processor; times are monotonic seconds."""

    _capacity: GatewayCapacity
    is_full: bool = False
    cause: str = ""
    link_share: float = 0.0
    delay_seconds: float = 0.0
    _samples: deque[Sample] = field(factory=deque)
    _delays: deque[float] = field(factory=lambda: deque(maxlen=DELAYS))
    _held_until: float = float("-inf")
    _hold_seconds: float = HOLD_SECONDS
    _ended_at: float = float("-inf")
    _busy_at: float = float("-inf")

    def record(self, sent: int, received: int, now: float) -> bool:
        """Record the byte counters each SAMPLE_SECONDS; return whether is_full changed."""
        samples = self._samples
        last_at = samples[-1].at if samples else now - SAMPLE_SECONDS
        delay = min(DELAY_SECONDS_MAX, max(0.0, now - last_at - SAMPLE_SECONDS))
        self._delays.append(delay)
        samples.append(Sample(now, sent, received))
        while len(samples) > 2 and now - samples[1].at >= WINDOW_SECONDS:
            samples.popleft()
        self._measure()
        was_full = self.is_full
        if was_full:
            self._check_end(now)
        elif now - samples[0].at >= WINDOW_SECONDS:
            self._check_begin(now)
        return self.is_full != was_full

    @property
    def is_congested(self) -> bool:
        """Return whether timeouts may come from this node's own link or processor."""
        return (
            self.link_share >= CONGESTED_LINK_SHARE or self.delay_seconds >= RELEASED_DELAY_SECONDS
        )

    @property
    def _is_busy(self) -> bool:
        return (
            self.link_share >= RELEASED_LINK_SHARE or self.delay_seconds >= RELEASED_DELAY_SECONDS
        )

    def _measure(self) -> None:
        first, last = self._samples[0], self._samples[-1]
        seconds = last.at - first.at
        if seconds <= 0:
            return
        size = max(last.sent - first.sent, last.received - first.received)
        self.link_share = 8 * size / seconds / (self._capacity.link_mbps * 1_000_000)
        self.delay_seconds = sum(self._delays) / DELAYS

    def _check_begin(self, now: float) -> None:
        if self.link_share >= FULL_LINK_SHARE:
            self.cause = "link"
        elif self.delay_seconds >= FULL_DELAY_SECONDS:
            self.cause = "processor"
        else:
            return
        recurs = now - self._ended_at < RECURRENCE_SECONDS
        hold_seconds = 2 * self._hold_seconds if recurs else HOLD_SECONDS
        self._hold_seconds = min(HOLD_SECONDS_MAX, hold_seconds)
        self.is_full = True
        self._busy_at = now
        self._held_until = now + self._hold_seconds

    def _check_end(self, now: float) -> None:
        if self._is_busy:
            self._busy_at = now
        if now >= self._held_until and now - self._busy_at >= QUIET_SECONDS:
            self.is_full = False
            self._ended_at = now
