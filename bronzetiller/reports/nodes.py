"""Report the state of the nodes and on which of them a record is in force."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from attrs import field, frozen

from bronzetiller.configuration.streams import CONFIGURATION_STREAM

if TYPE_CHECKING:
    from bronzetiller.fleet.vm_list import Vm
    from bronzetiller.wire.messages import Heartbeat


@frozen
class NodeStatus:
    """Describe one node as known to the reporting node.

    state is "live" or "leaving" as in the VM list, or "unlisted". next_offset is the offset of the
    next configuration record to apply, or None if no heartbeat was received (heard is False).
    """

    node_id: str
    region: str
    data_centre: str
    address: str
    state: str
    heard: bool
    incarnation: str = ""
    ready: bool = False
    stopping: bool = False
    next_offset: int | None = None
    schemas_understood: list[int] = field(factory=list)


def list_nodes(
    own_heartbeat: "Heartbeat", live_heartbeats: "Iterable[Heartbeat]", listed_vms: "list[Vm]"
) -> list[NodeStatus]:
    """Return every node in the VM list or with a heartbeat, sorted by node id."""
    heartbeats = {item.node_id: item for item in [*live_heartbeats, own_heartbeat]}
    vms = {vm.vm_id: vm for vm in listed_vms}
    return [
        _make_status(heartbeats.get(node_id), vms.get(node_id))
        for node_id in sorted(heartbeats.keys() | vms.keys())
    ]


def find_lagging_nodes(nodes: list[NodeStatus], offset: int) -> list[NodeStatus]:
    """Return the live nodes not known to have applied the record at an offset.

    Leaving nodes are left out, and so are nodes missing from the VM list, which serve no callers.
    """
    return [
        node
        for node in nodes
        if node.state == "live" and (node.next_offset is None or node.next_offset <= offset)
    ]


def find_incompatible_nodes(nodes: list[NodeStatus], schema: int) -> list[NodeStatus]:
    """Return the live nodes that apply an older version because they do not support a schema."""
    return [
        node
        for node in nodes
        if node.state == "live" and node.heard and schema not in node.schemas_understood
    ]


def _make_status(heartbeat: "Heartbeat | None", vm: "Vm | None") -> NodeStatus:
    state = "unlisted" if vm is None else vm.state.value
    if heartbeat is None:
        assert vm is not None
        return NodeStatus(vm.vm_id, vm.region, vm.data_centre, str(vm.address), state, False)
    return NodeStatus(
        node_id=heartbeat.node_id,
        region=heartbeat.region,
        data_centre=heartbeat.data_centre,
        address=heartbeat.address if vm is None else str(vm.address),
        state=state,
        heard=True,
        incarnation=heartbeat.incarnation,
        ready=heartbeat.ready,
        stopping=heartbeat.stopping,
        next_offset=heartbeat.next_offsets.get(CONFIGURATION_STREAM),
        schemas_understood=list(heartbeat.schemas_understood),
    )
