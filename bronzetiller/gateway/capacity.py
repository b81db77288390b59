"""Estimate what a node can carry, and prefer the nodes that can carry most; pure.

The load this answers: fleets of a few strong VMs and many small ones, and workspaces that send all
of their requests through one connection: a small VM's link is full with one of them.
"""

from collections.abc import Collection

from bronzetiller.gateway.members import Member
from bronzetiller.gateway.settings import GatewayCapacity

REQUEST_CPU_SECONDS = 0.0096  # namehouse scale-1: 25.7 s of processor for 2,672 requests
REQUEST_LINK_BYTES = 16_000  # a model request of 12 KB comes in and goes out, with its answer
HIGH_CAPACITY_SHARE_MIN = (
    0.5  # of the strongest node's capacity; nodes within a factor of two are as good
)
UTILIZATION_MAX = 0.5  # of the capacity, so that bursts and the loss of a node leave room


def estimate_capacity(vm: GatewayCapacity) -> float:
    """Return the requests a second that a VM's processor and link can carry."""
    cpu_limit = vm.cores * vm.speed / REQUEST_CPU_SECONDS
    link_limit = vm.link_mbps * 1_000_000 / 8 / REQUEST_LINK_BYTES
    return min(cpu_limit, link_limit)


def select_high_capacity(members: Collection[Member]) -> list[Member]:
    """Return the members that can carry about as much as the strongest one."""
    highest = max((item.capacity for item in members), default=0.0)
    return [item for item in members if item.capacity >= HIGH_CAPACITY_SHARE_MIN * highest]


def can_serve(members: Collection[Member], load: float) -> bool:
    """Say whether the members can carry a load (requests a second) with room for bursts."""
    return load <= UTILIZATION_MAX * sum(item.capacity for item in members)
