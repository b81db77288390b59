"""Estimate the capacity of nodes and select those with the most; no I/O.

Designed for fleets of a few large VMs and many small ones, and for workspaces that send all of
their requests through one connection: a single such workspace saturates a small VM's link.
"""

from collections.abc import Collection

from bronzetiller.gateway.members import Member
from bronzetiller.gateway.settings import GatewayCapacity

REQUEST_CPU_SECONDS = 0.0096  # 25.7 s of CPU time for 2,672 requests in namehouse scale-1
REQUEST_LINK_BYTES = 16_000  # a model request of 12 KB is received and forwarded, plus its response
# Share of the largest capacity; nodes within a factor of two count as equal.
HIGH_CAPACITY_SHARE_MIN = 0.5
UTILIZATION_MAX = 0.5  # leaves capacity for bursts and the loss of a node


def estimate_capacity(vm: GatewayCapacity) -> float:
    """Return the requests per second that a VM's CPU and link can handle."""
    cpu_limit = vm.cores * vm.speed / REQUEST_CPU_SECONDS
    link_limit = vm.link_mbps * 1_000_000 / 8 / REQUEST_LINK_BYTES
    return min(cpu_limit, link_limit)


def select_high_capacity(members: Collection[Member]) -> list[Member]:
    """Return the members whose capacity is close to the highest one."""
    highest = max((item.capacity for item in members), default=0.0)
    return [item for item in members if item.capacity >= HIGH_CAPACITY_SHARE_MIN * highest]


def can_serve(members: Collection[Member], load: float) -> bool:
    """Return whether the members can serve a load (requests per second), including bursts."""
    return load <= UTILIZATION_MAX * sum(item.capacity for item in members)
