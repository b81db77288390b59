"""Define the refusals that callers may receive."""

from enum import StrEnum

from attrs import field, frozen


class Ran(StrEnum):
    """State whether a refused request ran."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Name the reason for a refusal; metrics count each reason."""

    BAD_REQUEST = "bad_request"
    BAD_CREDENTIALS = "bad_credentials"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    REQUEST_TOO_LARGE = "request_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    KEY_REUSED = "idempotency_key_reused"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNCONFIRMED = "budget_unconfirmed"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_TARGET = "no_target"
    STREAM_UNKNOWN = "stream_unknown"
    TARGET_FAILED = "target_failed"
    ANSWER_INCOMPLETE = "answer_incomplete"
    BILL_UNCONFIRMED = "bill_unconfirmed"
    BILL_VOID = "bill_void"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_HELD = "claim_held"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    RERUNS_SPENT = "reruns_spent"
    QUARANTINED = "quarantined"
    NOT_READY = "not_ready"
    CONFIGURATION_OUTDATED = "configuration_outdated"
    STOPPING = "stopping"
    INTERNAL = "internal"


@frozen
class Refusal:
    """Describe one refusal: HTTP status, reason, whether the request ran and when to retry.

    log_fields are for the log line alone and are not part of the response.
    """

    status: int
    reason: Reason
    detail: str
    ran: Ran = Ran.NO
    retry_after_seconds: float | None = None
    log_fields: dict[str, str | int] = field(factory=dict, eq=False)


class BronzetillerError(Exception):
    """Serve as base class of the exceptions raised for broken invariants."""


class InvariantError(BronzetillerError):
    """Report a broken invariant, which is a bug."""
