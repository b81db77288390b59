"""Hold requests that arrive while a node that has just started reads its configuration.

Designed for the loss of all nodes: callers return at once, to nodes that the store answers and that
are complete some tenths of a second later. A caller that is refused meanwhile waits for longer than
that, and many retry only once. While the store does not answer, nobody knows how long it takes:
requests are refused at once and return later.
"""

from collections.abc import Callable

from attrs import define, field

from bronzetiller.logs import log_event
from bronzetiller.metrics import START_QUEUE_REQUESTS
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.scheduler import Scheduler, Timer
from bronzetiller.sync.read_plan import ANSWERED_SECONDS_MAX

# After the loss of 76 nodes the last one was complete 1.4 s after its start, half of them 0.6 s.
HELD_SECONDS_MAX = 0.8
HELD_PORTION_MAX = 0.25  # of the time that a caller still waits, so that a retry is worthwhile
HELD_REQUESTS_MAX = 256  # some seconds of the load of a large VM, with bodies of 12 KB
# Of the bodies; 256 of the largest legal size (4 MiB) would exceed the memory of every machine.
HELD_BYTES_MAX = 8 * 1024 * 1024
FIRST_ANSWER_SECONDS = 0.4  # in which a store that is reachable answers the first call
CHECK_SECONDS = 0.02
RETRY_SECONDS_READING = 0.5
# Without the store; most callers retry once, so that an early return would be their last.
RETRY_SECONDS_MIN = 1.0
RETRY_SECONDS_MAX = 4.0
JITTER_SHARE = 0.4


def choose_retry_seconds(age_seconds: float, *, is_reading: bool, draw: float) -> float:
    """Return after how many seconds a caller should retry, by a uniform draw from [0, 1).

    age_seconds is the time since the start. The longer the store has not answered, the longer it
    will probably take.
    """
    seconds = min(RETRY_SECONDS_MAX, max(RETRY_SECONDS_MIN, age_seconds))
    if is_reading:
        seconds = RETRY_SECONDS_READING
    return round(seconds * (1 + JITTER_SHARE * (2 * draw - 1)), 3)


@define(eq=False)
class _Held:
    """Hold a request and what serves it."""

    resume: Callable[[], None]
    timer: Timer
    body_bytes: int


@define(eq=False)
class StartQueue:
    """Hold the requests of a node that is not complete yet, in the order of their arrival.

    Times are monotonic seconds. answered_at returns when the store last answered. Once the node has
    been complete, no request is held any more.
    """

    _scheduler: Scheduler
    _is_complete: Callable[[], bool]
    _get_answered_at: Callable[[], float]
    _started_at: float = field(init=False)
    _held: dict[Exchange, _Held] = field(factory=dict)
    _held_bytes: int = 0
    _has_been_complete: bool = False
    _expired: int = 0

    def __attrs_post_init__(self) -> None:
        self._started_at = self._scheduler.now()

    @property
    def is_reading(self) -> bool:
        """Return whether the node can be expected to be complete soon."""
        now = self._scheduler.now()
        is_answered = now - self._get_answered_at() <= ANSWERED_SECONDS_MAX
        return is_answered or now - self._started_at < FIRST_ANSWER_SECONDS

    def compute_retry_seconds(self, draw: float) -> float:
        """Return after how many seconds a refused caller should retry."""
        age_seconds = self._scheduler.now() - self._started_at
        return choose_retry_seconds(age_seconds, is_reading=self.is_reading, draw=draw)

    def hold(
        self, exchange: Exchange, seconds_left: float | None, resume: Callable[[], None]
    ) -> bool:
        """Call resume once the node is complete, or after a short time; return False if not held.

        A request whose time is over is not held again.
        """
        self._has_been_complete = self._has_been_complete or self._is_complete()
        if self._has_been_complete or exchange in self._held:
            return False
        body_bytes = len(exchange.body)
        is_crowded = self._held_bytes + body_bytes > HELD_BYTES_MAX
        if not self.is_reading or is_crowded or len(self._held) >= HELD_REQUESTS_MAX:
            return False
        seconds = HELD_SECONDS_MAX
        if seconds_left is not None:
            seconds = min(seconds, HELD_PORTION_MAX * seconds_left)
        if not self._held:
            self._scheduler.call_after(CHECK_SECONDS, self._check)
        timer = self._scheduler.call_after(seconds, lambda: self._expire(exchange))
        self._held[exchange] = _Held(resume, timer, body_bytes)
        self._held_bytes += body_bytes
        exchange.on_disconnect = lambda: self._discard(exchange)
        exchange.on_expire = lambda: self._expire(exchange)
        START_QUEUE_REQUESTS.labels("held").inc()
        return True

    def _check(self) -> None:
        """Serve what is held, if the node is complete."""
        if not self._held:
            return
        if not self._is_complete():
            self._scheduler.call_after(CHECK_SECONDS, self._check)
            return
        self._has_been_complete = True
        log_event("start_queue_released", held=len(self._held), expired=self._expired)
        for exchange in list(self._held):
            held = self._drop(exchange)
            if held is not None and not exchange.done:
                START_QUEUE_REQUESTS.labels("served").inc()
                held.resume()

    def _expire(self, exchange: Exchange) -> None:
        """Go on with a request that was held for long, which is refused then."""
        held = self._held.get(exchange)
        if held is None:
            return
        self._expired += 1
        START_QUEUE_REQUESTS.labels("expired").inc()
        held.timer.cancel()
        exchange.on_disconnect = exchange.on_expire = None
        held.resume()
        self._held_bytes -= held.body_bytes
        del self._held[exchange]

    def _discard(self, exchange: Exchange) -> None:
        """Forget a request whose caller has left."""
        self._drop(exchange)
        START_QUEUE_REQUESTS.labels("caller_gone").inc()

    def _drop(self, exchange: Exchange) -> _Held | None:
        held = self._held.pop(exchange, None)
        if held is not None:
            held.timer.cancel()
            self._held_bytes -= held.body_bytes
        exchange.on_disconnect = exchange.on_expire = None
        return held
