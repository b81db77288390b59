"""Choose the peers that a node connects to and the interval of its periodic messages."""

import hashlib
from collections.abc import Iterable

from bronzetiller.fleet.vm_list import Vm

PING_BYTES = 70
HEARTBEAT_BYTES = 400
MESSAGES_PER_LINK = 4
READERS_CONNECTED = 2


def rank_nodes(subject: str, node_ids: Iterable[str]) -> list[str]:
    """Rank nodes for a subject by rendezvous hashing; every node computes the same order."""
    return sorted(node_ids, key=lambda node_id: _score(subject, node_id), reverse=True)


def rank_readers(stream: str, data_centre: str, node_ids: Iterable[str]) -> list[str]:
    """Rank the nodes of a data centre by their priority as the reader of a stream."""
    return rank_nodes(f"{data_centre}/{stream}", node_ids)


def choose_neighbours(
    own: Vm,
    routers: Iterable[Vm],
    streams: Iterable[str],
    *,
    near_peers_max: int,
    far_peers_max: int,
    links_max: int,
) -> list[Vm]:
    """Return the peers to connect to: some in the local data centre and some in each other one.

    In its own data centre each node picks the nodes that rank first as readers of the streams, so
    that all agree on the reader, then its successors on the ring of node ids, so that the graph of
    connections is connected. In every other data centre it picks the nodes that rank first for its
    own id: at least one, and up to far_peers_max as far as links_max allows.
    """
    groups: dict[str, list[Vm]] = {}
    for vm in routers:
        if vm.vm_id != own.vm_id and vm.peer_address is not None:
            groups.setdefault(vm.data_centre, []).append(vm)
    chosen = _choose_near(own, groups.pop(own.data_centre, []), streams, near_peers_max)
    links_per_data_centre = (links_max - len(chosen)) // max(1, len(groups))
    far_count = max(1, min(far_peers_max, links_per_data_centre))
    for vms in groups.values():
        by_id = {vm.vm_id: vm for vm in vms}
        ranked = rank_nodes(own.vm_id, by_id)[:far_count]
        chosen += [by_id[vm_id] for vm_id in ranked]
    return chosen


def choose_interval_seconds(
    links: int, message_bytes: int, *, seconds_min: float, bytes_per_second_max: float
) -> float:
    """Return the interval that keeps a periodic message on all links below a byte rate.

    Two neighbours dial each other, so each link carries a request and a response in each direction.
    """
    return max(seconds_min, links * MESSAGES_PER_LINK * message_bytes / bytes_per_second_max)


def _choose_near(own: Vm, vms: list[Vm], streams: Iterable[str], count: int) -> list[Vm]:
    by_id = {vm.vm_id: vm for vm in vms}
    all_ids = [own.vm_id, *by_id]
    found: dict[str, Vm] = {}
    for stream in streams:
        for vm_id in rank_readers(stream, own.data_centre, all_ids)[:READERS_CONNECTED]:
            if vm_id != own.vm_id:
                found[vm_id] = by_id[vm_id]
    ring = sorted(vms, key=lambda vm: (vm.vm_id < own.vm_id, vm.vm_id))
    for vm in ring:
        if len(found) >= count:
            break
        found[vm.vm_id] = vm
    return list(found.values())


def _score(subject: str, node_id: str) -> bytes:
    return hashlib.sha256(f"{subject}\n{node_id}".encode()).digest()
