"""Hold until when targets that refused a request want no other one from this node; no I/O."""

from attrs import define, field

from bronzetiller.gateway.targets import Target
from bronzetiller.logs import log_event

PAUSES_MAX = 1_024  # beyond which those that have ended are removed


@define(eq=False)
class Pauses:
    """Hold the ends of the pauses by instance (monotonic seconds)."""

    _until: dict[str, float] = field(factory=dict)

    def record(self, target: Target, seconds: float, now: float) -> None:
        """Record that a target wants no request for some seconds; an earlier pause may go on."""
        until = now + seconds
        if until <= self.find_end(target):
            return
        self._until[target.instance] = until
        if len(self._until) > PAUSES_MAX:
            self._until = {name: end for name, end in self._until.items() if end > now}
        log_event("target_paused", target=target.target_id, seconds=round(seconds, 2))

    def find_end(self, target: Target) -> float:
        """Return when the pause of a target ends, 0 if it never paused."""
        return self._until.get(target.instance, 0.0)
