"""Decide whether a target still is the start that its registration describes; no I/O.

A target may start again under its id and address, with other software. Until its new registration
is read, only the loss of its connections shows this.
"""

import math
from collections.abc import Callable

from attrs import define

from bronzetiller.gateway.targets import Target

# A restarted target has registered by then: it writes about once a second, and is probed more often
# than that until it accepts connections.
REGISTRATION_SECONDS = 2.5


@define(eq=False)
class RegisteredStarts:
    """Compare the losses of targets with the time (monotonic) at which the list was current."""

    get_confirmed_at: Callable[[], float] = lambda: math.inf

    def is_certain(self, target: Target) -> bool:
        """Return whether a restart since the last loss would be in the list of the targets."""
        return self.get_confirmed_at() >= target.lost_at + REGISTRATION_SECONDS
