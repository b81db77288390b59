"""Start following in an order that lets nodes that start together share their reads.

A node that knows no other reads the store itself. So the list of nodes is read first, and the rest
once it names others. A list that names none is given some time, one that cannot be read more.
"""

from collections.abc import Callable, Iterable

from bronzetiller.net.scheduler import Scheduler

ALONE_SECONDS_MAX = 1.3  # nodes that start together have written and read their first heartbeats
UNREAD_SECONDS_MAX = 6.0  # and up to as much again at random, as others start without a list too
CHECK_SECONDS = 0.05


def start_in_order(
    scheduler: Scheduler,
    has_read_nodes: Callable[[], bool],
    knows_others: Callable[[], bool],
    draw_uniform: Callable[[], float],
    starts: Iterable[Callable[[], None]],
) -> None:
    """Run the starts once other nodes are known, or it is unlikely that they will be."""
    alone_from = scheduler.now() + ALONE_SECONDS_MAX
    unread_from = scheduler.now() + UNREAD_SECONDS_MAX * (1 + draw_uniform())

    def check() -> None:
        now = scheduler.now()
        is_alone = has_read_nodes() and now >= alone_from
        if knows_others() or is_alone or now >= unread_from:
            for start in starts:
                start()
        else:
            scheduler.call_after(CHECK_SECONDS, check)

    check()
