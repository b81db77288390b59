"""Define the records of a ledger stream."""

from typing import Any

from attrs import field, frozen
from cattrs import Converter
from cattrs.strategies import configure_tagged_union
from result import Err, Ok, Result

from bronzetiller.errors import Ran

UNKNOWN_COUNT = -1


@frozen
class Charge:
    """Take tokens of one bill from one grant."""

    grant_id: str
    tokens: int


@frozen
class Credit:
    """Add prepaid tokens to a workspace; the credit id names the top-up record it comes from."""

    credit_id: str
    workspace: str
    tokens: int


@frozen
class Grant:
    """Set tokens aside for one incarnation of one node; the ledger may cut it to what is free.

    Fewer than tokens_least are not granted, so that the last tokens go to one request.
    grants_before is the ledger's count of grants when the holder wrote the record, or UNCOUNTED.
    """

    grant_id: str
    workspace: str
    holder: str
    tokens: int
    grants_before: int = UNKNOWN_COUNT
    tokens_least: int = 1


@frozen
class Bill:
    """Charge one request once; the first bill for a request id counts.

    Copies of one bill, appended by its biller and its couriers, share their bill id.
    bills_before is the ledger's count of bills when the biller wrote the record, or UNCOUNTED.
    """

    workspace: str
    request_id: str
    fingerprint: str
    biller: str
    tokens: int
    charges: list[Charge]
    bills_before: int = UNKNOWN_COUNT
    bill_id: str = ""


@frozen
class Return:
    """Give back unused tokens of a grant that an incarnation of a node held."""

    return_id: str
    workspace: str
    grant_id: str
    tokens: int
    holder: str = ""


@frozen
class Close:
    """End the grant of a gone incarnation, but for the tokens that live nodes may still bill.

    limits are the most that each incarnation may bill and return of the grant, from the first to
    the last; counted so, a record that lands before or after the close makes no difference. A
    later close of the same grant can only lower them.
    """

    workspace: str
    grant_id: str
    limits: dict[str, int] = field(factory=dict)


@frozen
class Claim:
    """Reserve the single run of a non-idempotent request for one attempt."""

    workspace: str
    request_id: str
    fingerprint: str
    holder: str
    attempt_id: str


@frozen
class Outcome:
    """Settle a claim; a small response (body in base64) is kept for the caller's retries."""

    workspace: str
    request_id: str
    attempt_id: str
    ran: Ran
    status: int = 0
    content_type: str = ""
    body: str = ""
    headers: dict[str, str] = field(factory=dict)
    body_kept: bool = True


LedgerRecord = Credit | Grant | Bill | Return | Close | Claim | Outcome

_CONVERTER = Converter(forbid_extra_keys=False)
configure_tagged_union(
    LedgerRecord, _CONVERTER, tag_name="kind", tag_generator=lambda cls: cls.__name__.lower()
)


def dump_ledger_record(record: LedgerRecord) -> dict[str, Any]:
    """Return the record as it is written to the log."""
    value: dict[str, Any] = _CONVERTER.unstructure(record, unstructure_as=LedgerRecord)
    return value


def load_ledger_record(value: dict[str, Any]) -> Result[LedgerRecord, str]:
    """Read a record of the log; an unknown or malformed one is an error to count and skip."""
    try:
        record: LedgerRecord = _CONVERTER.structure(value, LedgerRecord)  # type: ignore[arg-type]
    except Exception as error:  # cattrs raises groups of many kinds for malformed input
        return Err(repr(error))
    return Ok(record)
