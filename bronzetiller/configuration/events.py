"""Log decisions on operator records and update their metrics."""

from bronzetiller.configuration.fold import Configuration, Decision
from bronzetiller.logs import log_event
from bronzetiller.metrics import DECISIONS, UNREAD_ITEMS


def register_unread_items_gauge(configuration: Configuration) -> None:
    """Export the number of items whose newest record this node cannot read."""
    UNREAD_ITEMS.set_function(lambda: len(configuration.find_unread_items()))


def record_decision(decision: Decision) -> None:
    """Log one decision and update its metric."""
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
