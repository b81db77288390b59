"""Log and count the decisions on operator records."""

from bronzetiller.configuration.fold import Configuration, Decision
from bronzetiller.logs import log_event
from bronzetiller.metrics import DECISIONS, UNREAD_ITEMS


def register_unread_items_gauge(configuration: Configuration) -> None:
    """Let the metrics tell how many items a node keeps in an older form."""
    UNREAD_ITEMS.set_function(lambda: len(configuration.find_unread_items()))


def record_decision(decision: Decision) -> None:
    """Log and count one decision."""
    verdict = "rejected"
    if decision.accepted:
        verdict = "accepted" if decision.in_force else "unread"
    DECISIONS.labels(verdict).inc()
    log_event(
        "record_decided",
        offset=decision.offset,
        kind=decision.kind,
        name=decision.name,
        schema=decision.schema,
        author=decision.author,
        accepted=decision.accepted,
        in_force=decision.in_force,
        reason=decision.reason,
    )
