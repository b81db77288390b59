"""Make the calls that show whether a target responds."""

from bronzetiller.net.address import Address
from bronzetiller.net.http_client import HttpCall

_REPORT_PATH = "/-/report"  # needs no slot
REPORT_BYTES_MAX = 256 * 1024


def make_probe_call(address: Address, seconds: float) -> HttpCall:
    """Return a call to which a target responds at once, even if it is full."""
    return HttpCall(
        address=address,
        method="GET",
        path=_REPORT_PATH,
        headers={},
        body=b"",
        silence_seconds=seconds,
        connect_seconds=seconds,
        may_send=lambda: True,
        body_bytes_max=REPORT_BYTES_MAX,
        seconds_max=seconds,
    )
