"""Choose the peers that a node keeps connections to, and how often it sends on them."""

import hashlib
from collections.abc import Iterable

from bronzetiller.fleet.vm_list import Vm

PING_BYTES = 70
HEARTBEAT_BYTES = 400
MESSAGES_PER_LINK = 4
READERS_CONNECTED = 2


def rank_nodes(subject: str, node_ids: Iterable[str]) -> list[str]:
    """Order nodes for a subject by rendezvous hashing, the same on every node."""
    return sorted(node_ids, key=lambda node_id: _score(subject, node_id), reverse=True)


def rank_readers(stream: str, data_centre: str, node_ids: Iterable[str]) -> list[str]:
    """Order the nodes of a data centre by their precedence as the reader of a stream."""
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
    """Return the peers to connect to: some of the own data centre and some of each other one.

    Within a data centre each node takes those that rank first as readers of the streams, so that
    all agree on the reader, and then the next ones of the ring of node ids, so that the graph of
    connections is connected; of another data centre it takes those that rank first for it, at
    least one, and as many as links_max leaves room for.
    """
    groups: dict[str, list[Vm]] = {}
    for vm in routers:
        if vm.vm_id != own.vm_id and vm.peer_address is not None:
            groups.setdefault(vm.data_centre, []).append(vm)
    chosen = _choose_near(own, groups.pop(own.data_centre, []), streams, near_peers_max)
    room = (links_max - len(chosen)) // max(1, len(groups))
    far_count = max(1, min(far_peers_max, room))
    for vms in groups.values():
        by_id = {vm.vm_id: vm for vm in vms}
        ranked = rank_nodes(own.vm_id, by_id)[:far_count]
        chosen += [by_id[vm_id] for vm_id in ranked]
    return chosen


def choose_interval_seconds(
    links: int, message_bytes: int, *, seconds_min: float, bytes_per_second_max: float
) -> float:
    """Return the interval that keeps a periodic message on all links under a rate.

    Each of two nodes dials the other, so a link counts a question and an answer each way.
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
