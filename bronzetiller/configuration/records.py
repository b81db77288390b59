"""Define the records that operators publish, by schema version."""

from enum import StrEnum
from typing import Any

from attrs import field, frozen
from attrs.validators import ge, gt, in_, matches_re
from cattrs import Converter, transform_error
from result import Err, Ok, Result

SCHEMA_VERSIONS = (1, 2)
NAME_PATTERN = r"[a-z0-9][a-z0-9._-]{0,62}"


class Kind(StrEnum):
    """Name the kinds of record."""

    WORKSPACE = "workspace"
    TOP_UP = "top-up"
    ROUTE = "route"
    PLANNED_STOP = "planned-stop"


class RouteProtocol(StrEnum):
    """Tell routes to model engines from routes to plain services."""

    CHAT = "chat"
    PLAIN = "plain"


@frozen
class Workspace:
    """Let a customer in: the SHA-256 digests (hex) of its API keys, its share under load."""

    key_digests: list[str] = field(factory=list)
    weight: int = field(default=1, validator=ge(1))
    enabled: bool = True


@frozen
class TopUp:
    """Add prepaid tokens to the budget of a workspace."""

    workspace: str = field(validator=matches_re(NAME_PATTERN))
    tokens: int = field(validator=gt(0))


@frozen
class Route:
    """Send a model name or a plain path to a service."""

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
    """Stop sending new work to a VM from a time on (seconds, Unix)."""

    vm_id: str
    stop_at: float = 0.0


Body = Workspace | TopUp | Route | PlannedStop
BODY_CLASSES: dict[Kind, type[Any]] = {
    Kind.WORKSPACE: Workspace,
    Kind.TOP_UP: TopUp,
    Kind.ROUTE: Route,
    Kind.PLANNED_STOP: PlannedStop,
}


@frozen
class Envelope:
    """Carry one operator record; replaces is the offset of the record it follows, or -1."""

    record_id: str
    schema: int
    kind: str = field(validator=in_([kind.value for kind in Kind]))
    name: str = field(validator=matches_re(NAME_PATTERN))
    replaces: int
    author: str
    body: dict[str, Any] | None


_CONVERTER = Converter(forbid_extra_keys=True)


def dump_envelope(envelope: Envelope) -> dict[str, Any]:
    """Return the envelope as it is written to the log."""
    value: dict[str, Any] = _CONVERTER.unstructure(envelope)
    return value


def load_envelope(value: Any) -> Result[Envelope, str]:
    """Read an envelope from the log."""
    try:
        return Ok(_CONVERTER.structure(value, Envelope))
    except Exception as error:  # cattrs raises groups of many kinds for malformed input
        return Err("; ".join(transform_error(error)))


def load_body(envelope: Envelope) -> Result[Body, str]:
    """Read the body of an envelope by its kind and schema version."""
    if envelope.schema not in SCHEMA_VERSIONS:
        return Err(f"schema {envelope.schema} is not understood")
    try:
        body: Body = _CONVERTER.structure(envelope.body, BODY_CLASSES[Kind(envelope.kind)])
    except Exception as error:  # cattrs raises groups of many kinds for malformed input
        return Err("; ".join(transform_error(error)))
    return Ok(body)
