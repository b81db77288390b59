"""Define the records of a ledger stream and serialize them."""

from typing import Any

from attrs import field, frozen
from cattrs import Converter
from cattrs.strategies import configure_tagged_union
from result import Err, Ok, Result

from bronzetiller.errors import Ran
from bronzetiller.structure import summarize_error

UNKNOWN_COUNT = -1


@frozen
class Charge:
    """Charge a part of a bill's tokens to one grant."""

    grant_id: str
    tokens: int


@frozen
class Credit:
    """Add prepaid tokens to a workspace; credit_id is the name of the top-up record."""

    credit_id: str
    workspace: str
    tokens: int


@frozen
class Grant:
    """Grant tokens to one incarnation of a node, or the free tokens if they are fewer.

    A grant of fewer than tokens_least tokens is refused, so that the last tokens of a budget are
    not split into grants too small for any request. grants_before is the number of grants that
    the holder's copy of the ledger had processed when the record was written, or UNKNOWN_COUNT.
    """

    grant_id: str
    workspace: str
    holder: str
    tokens: int
    grants_before: int = UNKNOWN_COUNT
    tokens_least: int = 1


@frozen
class Bill:
    """Charge one request; only the first bill for a request id is accepted.

    Copies of a bill, appended by its biller and by the peers that hold replicas, share a bill id.
    bills_before is the number of bills that the biller's copy of the ledger had accepted when the
    record was written, or UNKNOWN_COUNT.
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
    """Return unused tokens of a grant to the budget, from the incarnation that held them."""

    return_id: str
    workspace: str
    grant_id: str
    tokens: int
    holder: str = ""


@frozen
class Close:
    """Close a gone incarnation's grant, except for the tokens that live nodes may still bill.

    limits gives the maximum number of tokens that each incarnation may bill and return over the
    whole life of the grant. Because the total is limited and not the remainder, a record in
    flight has the same effect whether it is appended before or after the close. A later close of
    the same grant can only lower the limits.
    """

    workspace: str
    grant_id: str
    limits: dict[str, int] = field(factory=dict)


@frozen
class Claim:
    """Claim the single execution of a non-idempotent request for one attempt."""

    workspace: str
    request_id: str
    fingerprint: str
    holder: str
    attempt_id: str


@frozen
class Outcome:
    """Record the result of a claimed execution; a small response (base64 body) serves retries."""

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
    """Serialize a record for the log."""
    value: dict[str, Any] = _CONVERTER.unstructure(record, unstructure_as=LedgerRecord)
    return value


def load_ledger_record(value: dict[str, Any]) -> Result[LedgerRecord, str]:
    """Deserialize a record of the log; return an error for an unknown or malformed one."""
    try:
        record: LedgerRecord = _CONVERTER.structure(value, LedgerRecord)  # type: ignore[arg-type]
    except Exception as error:  # cattrs raises many types of exception for malformed input
        return Err(summarize_error(error))
    return Ok(record)
