"""Track the load and failures of one target as seen by one node; reads no clock."""

from attrs import define, frozen
from result import Err, Ok, Result

from bronzetiller.json_values import decode_json

COUNT_MAX = 1_000_000
SLOTS_DEFAULT = 32
REPORT_AGE_SECONDS_MAX = 10.0
BACKOFF_SECONDS_MIN = 0.5
BACKOFF_SECONDS_MAX = 30.0
REFUSAL_SECONDS = 2.0
LIMIT_MIN = 1.0
LIMIT_INCREASE = 1.0
LIMIT_DECREASE_FACTOR = 0.8
DELAY_RATIO_MAX = 2.0
DELAY_SLACK_SECONDS = 0.1
DURATION_SMOOTHING = 0.1


@frozen
class LoadReport:
    """Hold the load that a target reports; leaving targets accept no new work."""

    running: int
    waiting: int
    slots: int
    leaving: bool = False


def decode_load_report(body: bytes) -> Result[LoadReport, str]:
    """Parse the load report of a target."""
    try:
        value = decode_json(body)
    except ValueError:
        return Err("the load report is not JSON")
    if not isinstance(value, dict):
        return Err("the load report is not an object")
    counts = [value.get("running"), value.get("waiting", 0), value.get("slots", SLOTS_DEFAULT)]
    if not all(type(count) is int and 0 <= count <= COUNT_MAX for count in counts):
        return Err("the load report's counts are malformed")
    running, waiting, slots = counts
    return Ok(LoadReport(running, waiting, max(1, slots), value.get("leaving") is True))


@define(eq=False)
class TargetState:
    """Hold the load, failures and refusals of one target; times are monotonic seconds."""

    outstanding: int = 0
    limit: float = SLOTS_DEFAULT
    duration_seconds: float = 0.0
    failures: int = 0
    avoided_until: float = 0.0
    refusing_until: float = 0.0
    report: LoadReport | None = None
    reported_at: float = 0.0
    outstanding_at_report: int = 0
    last_used_at: float = 0.0
    delay_min_seconds: float = 0.0
    limit_decreased_at: float = 0.0

    def record_load(self, report: LoadReport, outstanding_at_poll: int, now: float) -> None:
        """Record a load report and the attempts outstanding here when the poll was sent."""
        self.report = report
        self.reported_at = now
        self.outstanding_at_report = outstanding_at_poll
        if report.leaving:
            self.refusing_until = now + REPORT_AGE_SECONDS_MAX

    def estimate_load(self, now: float) -> int:
        """Return the requests on the target: the last report plus attempts started here since."""
        report = self._get_fresh_report(now)
        if report is None:
            return self.outstanding
        started_since = self.outstanding - self.outstanding_at_report
        return max(self.outstanding, report.running + report.waiting + started_since)

    def count_slots(self, now: float) -> float:
        """Return how many requests the target can run at once, reported or inferred from delay."""
        report = self._get_fresh_report(now)
        return self.limit if report is None else report.slots

    def estimate_utilization(self, now: float) -> float:
        """Return the requests on the target as a share of its slots."""
        return self.estimate_load(now) / self.count_slots(now)

    def estimate_wait(self, now: float) -> float:
        """Return the estimated seconds until the target starts one more request."""
        slots = self.count_slots(now)
        excess = self.estimate_load(now) + 1 - slots
        return max(0.0, excess) / slots * self.duration_seconds

    def is_avoided(self, now: float) -> bool:
        """Return whether the target is avoided; after the backoff it gets one request at a time."""
        if now < self.avoided_until:
            return True
        return self.failures > 0 and self.outstanding > 0

    def is_refusing(self, now: float) -> bool:
        """Return whether the target itself has recently refused new work."""
        return now < self.refusing_until

    def record_failure(self, now: float) -> None:
        """Avoid the target for a backoff that doubles with each consecutive failure."""
        backoff_seconds = min(BACKOFF_SECONDS_MIN * 2.0**self.failures, BACKOFF_SECONDS_MAX)
        self.failures = min(self.failures + 1, 16)
        self.avoided_until = now + backoff_seconds
        self.report = None

    def record_refusal(self, now: float) -> None:
        """Record that the target refused new work; send it none for REFUSAL_SECONDS."""
        self.refusing_until = max(self.refusing_until, now + REFUSAL_SECONDS)

    def record_response(self, seconds: float) -> None:
        """Record the duration of a complete response, which resets the consecutive failures."""
        self.failures = 0
        average = self.duration_seconds
        self.duration_seconds = (
            average + DURATION_SMOOTHING * (seconds - average) if average else seconds
        )

    def record_first_part_delay(self, seconds: float, now: float) -> None:
        """Infer the limit of a target that reports none: decrease it while first parts are late."""
        if not self.delay_min_seconds or seconds < self.delay_min_seconds:
            self.delay_min_seconds = seconds
        bound = self.delay_min_seconds * DELAY_RATIO_MAX + DELAY_SLACK_SECONDS
        if seconds <= bound:
            if self.outstanding + 1 >= self.limit:
                self.limit += LIMIT_INCREASE / self.limit
        elif now - self.limit_decreased_at > seconds:
            self.limit = max(LIMIT_MIN, self.limit * LIMIT_DECREASE_FACTOR)
            self.limit_decreased_at = now

    def _get_fresh_report(self, now: float) -> LoadReport | None:
        if self.report is None or now - self.reported_at > REPORT_AGE_SECONDS_MAX:
            return None
        return self.report
