"""Check that no node counts as confirmed at a time at which the store held newer records."""

from bisect import bisect_left
from collections.abc import Iterator

from attrs import define, field, frozen

from bronzetiller.platform.topics import OPERATOR_TOPIC
from bronzetiller.storage.keyed import get_offset
from bronzetiller.storage.keyed_follower import KeyedFollower
from standins.simulated_fleet import NodeParts, SimulatedFleet

ROUNDING_SECONDS = 1e-6


@frozen
class FalseConfirmation:
    """Describe a confirmation that the history of the store contradicts."""

    at: float
    node_id: str
    topic: str
    read_to: int
    written: int
    seconds: float  # from the first record that was missed to the confirmation
    confirmed_by: str


@define(eq=False)
class ConfirmationCheck:
    """Collect the false confirmations of a fleet."""

    fleet: SimulatedFleet
    found: list[FalseConfirmation] = field(factory=list)
    checks: int = 0

    def run(self) -> None:
        """Check each partition that a running node follows."""
        for node_id, parts in self.fleet.parts.items():
            if not self.fleet.network.hosts[node_id].is_running:
                continue
            for follower in list_followers(parts):
                self.checks += 1
                self._check(node_id, parts, follower)

    def _check(self, node_id: str, parts: NodeParts, follower: KeyedFollower) -> None:
        topic = follower.partition.topic
        if not follower.complete:
            return
        now = self.fleet.scheduler.time
        age = parts.scheduler.now() - follower.confirmed_at
        read_to = get_offset(follower.position)
        if topic == OPERATOR_TOPIC:
            age = parts.configuration_follower.compute_confirmation_age()
            read_to = min(read_to, parts.version)  # a version for each record, from 1 on
        written_at = self.fleet.store.written_at.get(topic, [])
        written = bisect_left(written_at, now - age - ROUNDING_SECONDS)
        if written > read_to:
            missed_seconds = now - age - written_at[read_to]
            self.found.append(
                FalseConfirmation(
                    round(now, 3),
                    node_id,
                    topic,
                    read_to,
                    written,
                    round(missed_seconds, 3),
                    follower.confirmed_by,
                )
            )


def list_followers(parts: NodeParts) -> Iterator[KeyedFollower]:
    """Return the followers of a node."""
    yield parts.configuration_follower.follower
    yield parts.targets_follower.follower
    yield parts.members.follower
    yield parts.crash_reports.follower
