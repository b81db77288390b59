"""Start following in an order that lets nodes that start together share their reads.

A node that knows no other reads the store itself. So the list of nodes is read first, and the rest
once it names others, or after START_SECONDS_MAX if there are none.
"""

from collections.abc import Callable, Iterable

from bronzetiller.net.scheduler import Scheduler

START_SECONDS_MAX = 1.3  # nodes that start together have written and read their first heartbeats
CHECK_SECONDS = 0.05


def start_in_order(
    scheduler: Scheduler,
    knows_others: Callable[[], bool],
    starts: Iterable[Callable[[], None]],
) -> None:
    """Run the starts once other nodes are known, at the latest after START_SECONDS_MAX."""
    deadline = scheduler.now() + START_SECONDS_MAX

    def check() -> None:
        if knows_others() or scheduler.now() >= deadline:
            for start in starts:
                start()
        else:
            scheduler.call_after(CHECK_SECONDS, check)

    check()
