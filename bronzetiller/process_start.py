"""Tell when this process began, although its imports take a while.

The entry point calls record_process_start before it imports the rest.
"""

import time

_started_at: float | None = None  # monotonic seconds


def record_process_start() -> None:
    """Take now as the start of the process.

    The last process of this node must have ended: nothing that it spends later without a record
    counts as spent.
    """
    global _started_at
    _started_at = time.monotonic()


def compute_start_time() -> float:
    """Return the Unix time (seconds) of the start, by the clock as it is set now.

    Without a recorded start it is the time now. A suspension of the VM in between makes it later,
    never earlier.
    """
    now = time.time()
    return now if _started_at is None else now - (time.monotonic() - _started_at)
