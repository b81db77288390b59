"""Build a node's report on the fleet and its configuration."""

from attrs import frozen

from bronzetiller.configuration.fold import Configuration, Decision, Item
from bronzetiller.configuration.plan import PublishedItem
from bronzetiller.configuration.records import Kind, dump_body
from bronzetiller.reports.nodes import NodeStatus


@frozen
class Report:
    """Describe the fleet as seen by one node; at is its wall clock (seconds, Unix).

    decisions start at the requested offset. unread holds the items whose newest record the node
    cannot read, so that an older one stays in force.
    """

    node_id: str
    version: str
    at: float
    next_offset: int
    log_reachable: bool
    vm_list_reachable: bool
    nodes: list[NodeStatus]
    decisions: list[Decision]
    unread: list[PublishedItem]


def list_items(configuration: Configuration) -> list[PublishedItem]:
    """Return the newest accepted record of every kind and name."""
    return [
        _make_published_item(kind, name, item)
        for (kind, name), item in sorted(configuration.items.items())
    ]


def list_unread_items(configuration: Configuration) -> list[PublishedItem]:
    """Return the items whose newest record this node cannot read."""
    return [
        _make_published_item(kind, name, item)
        for (kind, name), item in sorted(configuration.find_unread_items().items())
    ]


def list_decisions(configuration: Configuration, from_offset: int) -> list[Decision]:
    """Return the retained decisions from an offset on."""
    return [item for item in configuration.decisions if item.offset >= from_offset]


def _make_published_item(kind: str, name: str, item: Item) -> PublishedItem:
    body = item.unread_body
    if item.body is not None and not item.unread_reason:
        body = dump_body(Kind(kind), item.schema, item.body)
    return PublishedItem(
        kind=kind,
        name=name,
        revision=item.revision,
        schema=item.schema,
        author=item.author,
        deleted=item.deleted,
        in_force=not item.unread_reason,
        in_force_revision=item.in_force_revision,
        note=item.unread_reason,
        body=body,
    )
