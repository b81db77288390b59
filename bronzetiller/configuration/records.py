"""Define the records that operators publish and their schema versions."""

from enum import StrEnum
from typing import Any

from attrs import field, frozen
from attrs.validators import deep_iterable, ge, gt, matches_re, min_len
from result import Err, Ok, Result

from bronzetiller.structure import FieldError, describe_errors, make_converter

SCHEMA_VERSIONS = (1, 2)
NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,62}"
DIGEST_PATTERN = r"[0-9a-f]{64}"


class Kind(StrEnum):
    """Name the kinds of operator records."""

    WORKSPACE = "workspace"
    TOP_UP = "top-up"
    ROUTE = "route"
    PLANNED_STOP = "planned-stop"


class RouteProtocol(StrEnum):
    """Distinguish routes to model engines from routes to plain services."""

    CHAT = "chat"
    PLAIN = "plain"


@frozen
class Workspace:
    """Define a customer: SHA-256 digests (hex) of its API keys and its weight under load."""

    key_digests: list[str] = field(
        factory=list, validator=deep_iterable(matches_re(DIGEST_PATTERN))
    )
    weight: int = field(default=1, validator=ge(1))
    enabled: bool = True


@frozen
class TopUp:
    """Add prepaid tokens to the budget of a workspace."""

    workspace: str = field(validator=matches_re(NAME_PATTERN))
    tokens: int = field(validator=gt(0))


@frozen
class Route:
    """Route a model name or a plain path to a service."""

    service: str = field(validator=matches_re(NAME_PATTERN))
    protocol: RouteProtocol = RouteProtocol.CHAT
    answer_tokens_max: int = field(default=1024, validator=gt(0))
    template_tokens: int = field(default=64, validator=ge(0))
    call_tokens: int = field(default=1, validator=ge(0))
    idempotent: bool = True
    silence_seconds: float = field(default=15.0, validator=gt(0))
    workspaces: list[str] | None = None


@frozen
class PlannedStop:
    """Stop sending new work to a VM from a given time (seconds, Unix) on."""

    vm_id: str
    stop_at: float = 0.0


Body = Workspace | TopUp | Route | PlannedStop
BODY_CLASSES: dict[Kind, type[Any]] = {
    Kind.WORKSPACE: Workspace,
    Kind.TOP_UP: TopUp,
    Kind.ROUTE: Route,
    Kind.PLANNED_STOP: PlannedStop,
}


FIRST_SCHEMA_BY_FIELD: dict[tuple[Kind, str], int] = {(Kind.ROUTE, "workspaces"): 2}


@frozen
class Envelope:
    """Hold one operator record; replaces is the offset of the record that it replaces, or -1.

    Every version decides on acceptance from these fields alone, so later versions may add kinds,
    schemas and fields but must not change the meaning of these.
    """

    record_id: str = field(validator=min_len(1))
    schema: int = field(validator=ge(1))
    kind: str = field(validator=matches_re(NAME_PATTERN))
    name: str = field(validator=matches_re(NAME_PATTERN))
    replaces: int
    author: str
    body: dict[str, Any] | None


_ENVELOPE_CONVERTER = make_converter(forbid_extra_keys=False)
_BODY_CONVERTER = make_converter()


def dump_envelope(envelope: Envelope) -> dict[str, Any]:
    """Return the envelope as written to the log."""
    value: dict[str, Any] = _ENVELOPE_CONVERTER.unstructure(envelope)
    return value


def load_envelope(value: Any) -> Result[Envelope, str]:
    """Decode an envelope read from the log."""
    try:
        return Ok(_ENVELOPE_CONVERTER.structure(value, Envelope))
    except Exception as error:  # cattrs raises exception groups of various types
        return Err(_join_errors(describe_errors(error)))


def load_body(envelope: Envelope, schemas: tuple[int, ...] = SCHEMA_VERSIONS) -> Result[Body, str]:
    """Decode the body of an envelope according to its kind and schema version."""
    if envelope.kind not in [kind.value for kind in Kind]:
        return Err(f"kind {envelope.kind} is not understood")
    if envelope.schema not in schemas:
        return Err(f"schema {envelope.schema} is not understood")
    return parse_body(Kind(envelope.kind), envelope.schema, envelope.body).map_err(_join_errors)


def parse_body(kind: Kind, schema: int, value: Any) -> Result[Body, list[FieldError]]:
    """Decode a body of a known kind and schema; return one error for each invalid field."""
    errors = _find_unsupported_fields(kind, schema, value)
    if errors:
        return Err(errors)
    try:
        body: Body = _BODY_CONVERTER.structure(value, BODY_CLASSES[kind])
    except Exception as error:  # cattrs raises exception groups of various types
        return Err(describe_errors(error))
    return Ok(body)


def dump_body(kind: Kind, schema: int, body: Body) -> dict[str, Any]:
    """Return a body as a dictionary of all fields that its schema defines."""
    value: dict[str, Any] = _BODY_CONVERTER.unstructure(body)
    return {
        name: item
        for name, item in value.items()
        if FIRST_SCHEMA_BY_FIELD.get((kind, name), 1) <= schema
    }


def _find_unsupported_fields(kind: Kind, schema: int, value: Any) -> list[FieldError]:
    names = value if isinstance(value, dict) else {}
    return [
        FieldError((name,), f"needs schema {FIRST_SCHEMA_BY_FIELD[kind, name]}")
        for name in names
        if FIRST_SCHEMA_BY_FIELD.get((kind, name), 1) > schema
    ]


def _join_errors(errors: list[FieldError]) -> str:
    return "; ".join(map(str, errors))
