"""Report responses that are discarded because they name another request."""

from bronzetiller.logs import log_event
from bronzetiller.metrics import DISCARDED_RESPONSES
from bronzetiller.net.address import Address


def report_discarded(address: Address, status: int, earlier_requests: int) -> None:
    """Count and log a discarded response and the number of requests before on its connection."""
    DISCARDED_RESPONSES.inc()
    log_event(
        "response_discarded", address=address, status=status, earlier_requests=earlier_requests
    )
