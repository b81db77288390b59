"""Create the event loop of a process."""

from attrs import define
from circuits import BaseComponent, handler

from bronzetiller.logs import log_event
from bronzetiller.net.poller import Poller
from bronzetiller.net.scheduler import Scheduler


class Root(BaseComponent):
    """Serve as root of the component tree and log exceptions that escape a handler."""

    channel = "root"

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None) -> None:  # type: ignore[no-untyped-def]
        trace = " | ".join(line.strip() for line in traceback)
        log_event("handler_failed", level=40, error=repr(value), source=repr(fevent), trace=trace)


@define
class Loop:
    """Hold the root component, the poller and the scheduler of a process."""

    root: Root
    poller: Poller
    scheduler: Scheduler


def make_loop() -> Loop:
    """Create a loop that uses epoll, since select fails for descriptors above 1,023."""
    root = Root()
    poller = Poller().register(root)
    scheduler = Scheduler().register(root)
    return Loop(root, poller, scheduler)
