"""Refuse requests that cannot succeed, before any tokens are reserved for them."""

from attrs import define, frozen

from bronzetiller.budgets.ledger import RERUNS_MAX
from bronzetiller.budgets.shards import Shards
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.requests.billing import Biller, refuse_rerun
from bronzetiller.requests.crash_monitor import CrashMonitor
from bronzetiller.requests.quarantine import RequestSignature


@frozen
class RequestKey:
    """Identify a request; is_first means that no earlier attempt under its key can have run."""

    workspace: str
    request_id: str
    fingerprint: str
    is_first: bool
    segments: tuple[str, ...] = ()

    @property
    def signature(self) -> RequestSignature:
        """Return the signature, which is the same under every request id."""
        return RequestSignature(self.workspace, self.fingerprint, self.segments)

    @property
    def ran_before(self) -> Ran:
        """Return whether an earlier attempt of the request may have run."""
        return Ran.NO if self.is_first else Ran.UNKNOWN


@define
class Admission:
    """Check whether a request may start."""

    _shards: Shards
    _biller: Biller
    _crash_monitor: CrashMonitor

    def check(self, key: RequestKey) -> Refusal | None:
        """Return the refusal of a request that may not start, or None."""
        if self._crash_monitor.is_quarantined(key.signature):
            return refuse_quarantined(key.ran_before)
        if not self._biller.can_confirm(key.workspace):
            detail = "a bill cannot be recorded: the log and enough other nodes are unreachable"
            return Refusal(503, Reason.BILL_UNCONFIRMED, detail, retry_after_seconds=1)
        return self._check_bill(key)

    def _check_bill(self, key: RequestKey) -> Refusal | None:
        bill = self._shards.find(key.workspace).ledger.find_bill(key.workspace, key.request_id)
        if bill is None:
            return None
        if bill.fingerprint != key.fingerprint:
            detail = "the idempotency key was used for a different request"
            return Refusal(422, Reason.KEY_REUSED, detail)
        open_bills = self._biller.count_open_bills(key.workspace, key.request_id)
        return refuse_rerun() if bill.reruns + open_bills >= RERUNS_MAX else None


def refuse_quarantined(ran: Ran) -> Refusal:
    """Return the refusal of a request that is suspected of crashing targets."""
    detail = "targets crashed while they ran this request; it is temporarily not run"
    return Refusal(422, Reason.QUARANTINED, detail, ran)
