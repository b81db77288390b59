"""Select the node addresses that callers may use, nearest first."""

from collections.abc import Container, Mapping
from random import Random

from attrs import frozen

from bronzetiller.fleet.vm_list import Vm, VmState
from bronzetiller.wire.messages import Heartbeat

ADDRESSES_MAX = 16


@frozen
class EntryLookupView:
    """Describe the fleet as one node sees it when a caller requests addresses.

    live maps the ids of live peers to their heartbeats, silent contains the ids of peers that
    timed out, and stops the ids of VMs whose planned stop time has passed.
    """

    own: Heartbeat
    routers: list[Vm]
    live: Mapping[str, Heartbeat]
    silent: Container[str]
    stops: Container[str]


def list_entry_addresses(view: EntryLookupView, random: Random) -> list[str]:
    """Return serving nodes, shuffled within each tier: local data centre, local region, others."""
    candidates: dict[str, tuple[int, str]] = {}
    for vm in view.routers:
        if vm.state is VmState.LIVE and _is_serving(view, vm.vm_id):
            candidates[vm.vm_id] = (
                _measure_distance(view.own, vm.region, vm.data_centre),
                str(vm.address),
            )
    listed = {vm.vm_id for vm in view.routers}
    for node_id, node in {**view.live, view.own.node_id: view.own}.items():
        if node_id not in listed and _is_serving(view, node_id):
            candidates[node_id] = (
                _measure_distance(view.own, node.region, node.data_centre),
                node.address,
            )
    found = list(candidates.values())
    random.shuffle(found)
    found.sort(key=lambda candidate: candidate[0])
    return [address for _, address in found[:ADDRESSES_MAX]]


def _is_serving(view: EntryLookupView, node_id: str) -> bool:
    if node_id in view.stops:
        return False
    node = view.own if node_id == view.own.node_id else view.live.get(node_id)
    if node is None:
        return node_id not in view.silent
    return node.ready and not node.stopping


def _measure_distance(own: Heartbeat, region: str, data_centre: str) -> int:
    if data_centre == own.data_centre:
        return 0
    return 1 if region == own.region else 2
