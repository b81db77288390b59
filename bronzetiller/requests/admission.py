"""Refuse requests that are known to have no good end before anything is reserved for them."""

from attrs import define, frozen

from bronzetiller.budgets.ledger import RERUNS_MAX
from bronzetiller.budgets.shards import Shards
from bronzetiller.errors import Ran, Reason, Refusal
from bronzetiller.requests.billing import Biller, refuse_rerun
from bronzetiller.requests.crash_monitor import CrashMonitor
from bronzetiller.requests.quarantine import RequestSignature


@frozen
class RequestKey:
    """Identify a request; is_first says that no earlier send of it can have run."""

    workspace: str
    request_id: str
    fingerprint: str
    is_first: bool

    @property
    def signature(self) -> RequestSignature:
        """Return what identifies the request whatever its id."""
        return RequestSignature(self.workspace, self.fingerprint)

    @property
    def ran_before(self) -> Ran:
        """Return what is known of earlier sends of the request."""
        return Ran.NO if self.is_first else Ran.UNKNOWN


@define
class Admission:
    """Hold what decides whether a request may begin."""

    _shards: Shards
    _biller: Biller
    _crash_monitor: CrashMonitor

    def check(self, key: RequestKey) -> Refusal | None:
        """Return why a request may not begin, or nothing."""
        if self._crash_monitor.is_quarantined(key.signature):
            return refuse_quarantined(key.ran_before)
        if not self._biller.can_confirm(key.workspace):
            detail = "neither the log nor enough other nodes can be reached to record a bill"
            return Refusal(503, Reason.BILL_UNCONFIRMED, detail, retry_after_seconds=1)
        return self._check_bill(key)

    def _check_bill(self, key: RequestKey) -> Refusal | None:
        bill = self._shards.find(key.workspace).ledger.find_bill(key.workspace, key.request_id)
        if bill is None:
            return None
        if bill.fingerprint != key.fingerprint:
            detail = "the idempotency key was used for another request"
            return Refusal(422, Reason.KEY_REUSED, detail)
        open_bills = self._biller.count_open_bills(key.workspace, key.request_id)
        return refuse_rerun() if bill.reruns + open_bills >= RERUNS_MAX else None


def refuse_quarantined(ran: Ran) -> Refusal:
    """Return the refusal of a request that ended the targets it ran on."""
    detail = "targets died while this request ran on them; it is not run for now"
    return Refusal(422, Reason.QUARANTINED, detail, ran)
