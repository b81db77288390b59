"""Draw faults of store, links and nodes while the operator changes the configuration."""

from collections.abc import Callable
from functools import partial
from random import Random

from attrs import define, field

from bronzetiller.platform.topics import OPERATOR_TOPIC
from standins.confirmation_check import ConfirmationCheck
from standins.simulated_fleet import RELAYED_TOPICS, SimulatedFleet, cache_decoding

CHECK_SECONDS = 0.1
WARM_UP_SECONDS = 4.0
FAULT_GAP_SECONDS = 1.2  # on average
KILOBYTES_MAX = 40


@define(eq=False)
class FaultDraw:
    """Apply random faults to a fleet, each of which ends after some seconds."""

    fleet: SimulatedFleet
    random: Random
    applied: list[str] = field(factory=list)
    _busy: set[str] = field(factory=set)

    def write(self) -> None:
        """Write one version, or several at once."""
        for _ in range(self.random.choice([1, 1, 2, 4])):
            self.fleet.write_configuration(self.random.uniform(1, KILOBYTES_MAX))

    def delete_history(self) -> None:
        """Delete the history of a topic, at times while reads wait and right after appends."""
        store = self.fleet.store
        store.reports_deletion = self.random.random() < 0.5
        store.deletes_at_once = self.random.random() < 0.5
        store.delete_history(self.random.choice(RELAYED_TOPICS))
        self._end_later(partial(setattr, store, "deletes_at_once", False))

    def end_waits(self) -> None:
        """Answer waiting reads early, at times just before a version is written."""
        self.fleet.store.end_waits(OPERATOR_TOPIC)
        if self.random.random() < 0.7:
            self.write()

    def answer_slowly(self) -> None:
        """Let the store take long to answer."""
        self.fleet.store.answer_seconds = self.random.choice([0.2, 0.8, 1.6, 3.0])
        self._end_later(partial(setattr, self.fleet.store, "answer_seconds", 0.004))

    def fill_links(self) -> None:
        """Fill the links between the regions."""
        self.fleet.fill_shared_links(self.random.uniform(0.9, 1.3), self.random.uniform(0.5, 3.0))

    def cut(self) -> None:
        """Cut some nodes, a region or all nodes from the store."""
        region = self.fleet.list_region(self.random.choice(self.fleet.regions))
        chosen = self.random.choice([region, self.fleet.node_ids, self._sample()])
        self.fleet.cut_from_store(chosen)
        self._end_later(self.fleet.network.heal)

    def refuse(self) -> None:
        """Let the store refuse some nodes."""
        self.fleet.store.refused_nodes.update(self._sample())
        self._end_later(self.fleet.store.refused_nodes.clear)

    def pause(self) -> None:
        """Freeze some nodes, or suspend their VMs."""
        is_suspension = self.random.random() < 0.6
        for node_id in self._take(self._sample()):
            (self.fleet.suspend if is_suspension else self.fleet.freeze)(node_id)
            resume = self.fleet.wake if is_suspension else self.fleet.thaw
            self._end_later(partial(self._resume, node_id, resume))

    def restart(self) -> None:
        """Kill some nodes and start them again."""
        for node_id in self._take(self._sample()):
            self.fleet.kill(node_id)
            self._end_later(partial(self._resume, node_id, self.fleet.start))

    def lag(self) -> None:
        """Let some nodes handle late what is due."""
        for node_id in self._sample():
            self.fleet.network.hosts[node_id].lag_seconds = self.random.uniform(0.0, 0.6)

    def draw(self) -> None:
        """Apply one fault."""
        kinds: list[Callable[[], None]] = [
            *[self.write] * 3,
            self.delete_history,
            self.end_waits,
            self.answer_slowly,
            self.fill_links,
            self.cut,
            self.refuse,
            *[self.pause] * 2,
            self.restart,
            self.lag,
        ]
        kind = self.random.choice(kinds)
        self.applied.append(f"{self.fleet.scheduler.time:.2f} {kind.__name__}")
        kind()

    def _sample(self) -> list[str]:
        count = self.random.choice([1, 2, max(1, self.fleet.size // 3)])
        return self.random.sample(self.fleet.node_ids, count)

    def _take(self, node_ids: list[str]) -> list[str]:
        free = [node_id for node_id in node_ids if node_id not in self._busy]
        self._busy.update(free)
        return free

    def _resume(self, node_id: str, resume: Callable[[str], None]) -> None:
        self._busy.discard(node_id)
        resume(node_id)

    def _end_later(self, end: Callable[[], None]) -> None:
        self.fleet.scheduler.call_after(self.random.uniform(0.3, 7.0), end)


def check_drawn_faults(
    nodes: int, seed: int, seconds: float
) -> tuple[ConfirmationCheck, FaultDraw]:
    """Run a fleet under faults drawn from a seed and check its confirmations all the while."""
    with cache_decoding():
        fleet = SimulatedFleet(nodes, seed)
        check, draw = ConfirmationCheck(fleet), FaultDraw(fleet, Random(f"faults/{seed}"))
        fleet.write_configuration(10)
        fleet.start_all(warm_up_seconds=WARM_UP_SECONDS)
        draw_at = fleet.scheduler.time
        end_at = draw_at + seconds
        while fleet.scheduler.time < end_at:
            fleet.advance(CHECK_SECONDS)
            check.run()
            while fleet.scheduler.time >= draw_at:
                draw.draw()
                draw_at += draw.random.expovariate(1 / FAULT_GAP_SECONDS)
    return check, draw
