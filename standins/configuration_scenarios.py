"""Simulate faults while the operator changes the configuration, and measure who is outdated."""

from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

from standins.simulated_fleet import SimulatedFleet, cache_decoding

CUT_SECONDS = 9.0
OBSERVED_SECONDS = 20.0  # after which a node counts as never up to date
SMALL_KILOBYTES = 60
LARGE_KILOBYTES = 300


@frozen
class Measurement:
    """Hold the time until the last node was up to date, None if it never was, and its bound."""

    label: str
    seconds: float | None
    seconds_max: float
    outdated: int  # nodes that were not up to date within the bound

    @property
    def is_met(self) -> bool:
        return self.seconds is not None and self.seconds <= self.seconds_max


@define(eq=False)
class Trial:
    """Run one scenario on a fleet and collect its measurements and the bytes on shared links."""

    fleet: SimulatedFleet
    measurements: list[Measurement] = field(factory=list)
    bytes_before: Counter[str] = field(factory=Counter)
    discarded_before: Counter[str] = field(factory=Counter)

    def begin_count(self) -> None:
        """Count the bytes on shared links from now on."""
        self.bytes_before = self.fleet.network.count_shared_bytes()
        self.discarded_before = Counter(self.fleet.network.discarded_bytes)

    @property
    def shared_bytes(self) -> Counter[str]:
        return self.fleet.network.count_shared_bytes() - self.bytes_before

    @property
    def discarded_bytes(self) -> Counter[str]:
        return self.fleet.network.discarded_bytes - self.discarded_before

    def measure(
        self,
        label: str,
        *,
        seconds_max: float | None = None,
        node_ids: list[str] | None = None,
        observed_seconds: float = OBSERVED_SECONDS,
    ) -> None:
        """Measure from now on until the nodes have the newest version."""
        fleet = self.fleet
        bound = fleet.layout.apply_seconds if seconds_max is None else seconds_max
        within = fleet.await_version(bound, node_ids)
        outdated = len(fleet.list_outdated(node_ids))
        seconds = within
        if within is None:
            more = fleet.await_version(observed_seconds, node_ids)
            seconds = None if more is None else bound + more
        self.measurements.append(Measurement(label, seconds, bound, outdated))


def _cut(trial: Trial, node_ids: list[str]) -> None:
    fleet = trial.fleet
    fleet.cut_from_store(node_ids)
    fleet.advance(1.0)
    for _ in range(25):
        fleet.write_configuration(SMALL_KILOBYTES)
        fleet.advance(2.0 / 25)
    fleet.advance(CUT_SECONDS - 3.0)
    fleet.network.heal()
    trial.begin_count()
    trial.measure("after the cut")


def cut_region(trial: Trial) -> None:
    """Cut the regions without the store from it while 25 versions are written."""
    fleet = trial.fleet
    _cut(trial, [item for region in fleet.regions[1:] for item in fleet.list_region(region)])


def cut_all(trial: Trial) -> None:
    """Cut all nodes from the store while 25 versions are written."""
    _cut(trial, trial.fleet.node_ids)


def grow_in_cut(trial: Trial) -> None:
    """Let the configuration grow while regions are cut from the store; then change it often."""
    fleet = trial.fleet
    fleet.cut_from_store(
        [item for region in fleet.regions[1:] for item in fleet.list_region(region)]
    )
    fleet.advance(1.0)
    for step in range(5):
        fleet.write_configuration(SMALL_KILOBYTES + (LARGE_KILOBYTES - SMALL_KILOBYTES) * step / 4)
        fleet.advance(1.4)
    fleet.advance(CUT_SECONDS - 8.0)
    fleet.network.heal()
    trial.begin_count()
    trial.measure("after the cut")
    for number in range(3):
        fleet.advance(fleet.random.uniform(2.0, 4.0))
        fleet.write_configuration(LARGE_KILOBYTES)
        trial.measure(f"version {number + 1} after it")


def change_in_calm(trial: Trial) -> None:
    """Write a large version while nothing else happens."""
    trial.begin_count()
    trial.fleet.write_configuration(LARGE_KILOBYTES)
    trial.measure("a large version")


SCENARIOS: dict[str, Callable[[Trial], None]] = {
    "cut-region": cut_region,
    "cut-all": cut_all,
    "grow-in-cut": grow_in_cut,
    "calm": change_in_calm,
}


def run_scenario(name: str, nodes: int, seed: int = 1) -> Trial:
    """Run a scenario on a fleet that was started and has a small configuration."""
    with cache_decoding():
        fleet = SimulatedFleet(nodes, seed)
        fleet.write_configuration(SMALL_KILOBYTES)
        fleet.start_all()
        trial = Trial(fleet)
        trial.begin_count()
        SCENARIOS[name](trial)
    return trial
