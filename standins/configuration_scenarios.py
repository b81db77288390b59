"""Simulate faults while the operator changes the configuration, and measure who is outdated."""

from collections import Counter
from collections.abc import Callable
from functools import partial

from attrs import define, field, frozen

from standins.simulated_fleet import SimulatedFleet, cache_decoding

CUT_SECONDS = 9.0
OBSERVED_SECONDS = 20.0  # after a bound, until a node counts as never up to date
SMALL_KILOBYTES = 60
LARGE_KILOBYTES = 300
IN_TRANSFER_SECONDS = 0.1
START_SECONDS = 12.0  # after which callers send requests
BACKGROUND_SHARE = 0.95  # of the bandwidth between regions
BACKGROUND_SECONDS = 8.0


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
    observed_seconds: float = OBSERVED_SECONDS
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
    ) -> None:
        """Measure from now on until the nodes have the newest version."""
        fleet = self.fleet
        bound = fleet.layout.apply_seconds if seconds_max is None else seconds_max
        within = fleet.await_version(bound, node_ids)
        outdated = len(fleet.list_outdated(node_ids))
        seconds = within
        if within is None and self.observed_seconds:
            more = fleet.await_version(self.observed_seconds, node_ids)
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


def fail_reader(
    trial: Trial,
    choose: Callable[[SimulatedFleet], str],
    fail: Callable[[SimulatedFleet, str], None],
) -> None:
    """Let a reader fail just after a large version was written."""
    fleet = trial.fleet
    reader = choose(fleet)
    trial.begin_count()
    fleet.write_configuration(LARGE_KILOBYTES)
    fleet.advance(IN_TRANSFER_SECONDS)
    fail(fleet, reader)
    others = [item for item in fleet.node_ids if item != reader]
    trial.measure("a large version", node_ids=others)
    fleet.write_configuration(SMALL_KILOBYTES)
    trial.measure("the next version", node_ids=others)


def choose_region_reader(fleet: SimulatedFleet) -> str:
    """Return the node that reads the store for the last region."""
    return fleet.find_region_reader(fleet.regions[-1])


def choose_data_centre_reader(fleet: SimulatedFleet) -> str:
    """Return the reader of a data centre other than that of the region's reader."""
    region_reader = fleet.places[choose_region_reader(fleet)]
    others = [
        data_centre
        for data_centre, region in fleet.region_by_data_centre.items()
        if region == region_reader.region and data_centre != region_reader.data_centre
    ]
    return fleet.find_data_centre_reader([*others, region_reader.data_centre][0])


def refuse_half(trial: Trial) -> None:
    """Refuse half of the nodes at the store while versions are written."""
    fleet = trial.fleet
    fleet.store.refused_nodes.update(fleet.random.sample(fleet.node_ids, fleet.size // 2))
    _change_thrice(trial)


def cut_half(trial: Trial) -> None:
    """Cut half of the nodes from the store while versions are written."""
    fleet = trial.fleet
    fleet.cut_from_store(fleet.random.sample(fleet.node_ids, fleet.size // 2))
    _change_thrice(trial)


def _change_thrice(trial: Trial) -> None:
    trial.fleet.advance(4.0)
    trial.begin_count()
    for number in range(3):
        trial.fleet.write_configuration(SMALL_KILOBYTES)
        trial.measure(f"version {number + 1}")


def fill_links(trial: Trial) -> None:
    """Change the configuration while other traffic nearly fills the links between regions."""
    fleet = trial.fleet
    trial.begin_count()
    fleet.fill_shared_links(BACKGROUND_SHARE, BACKGROUND_SECONDS)
    fleet.advance(1.0)
    fleet.write_configuration(SMALL_KILOBYTES)
    trial.measure("a small version")


def answer_slowly(trial: Trial, seconds: float) -> None:
    """Change the configuration while the store takes long to answer."""
    fleet = trial.fleet
    fleet.store.answer_seconds = seconds
    bound = 4 * seconds + fleet.layout.apply_seconds
    fleet.advance(3.0)
    trial.begin_count()
    for _ in range(3):
        fleet.write_configuration(SMALL_KILOBYTES)
    trial.measure("three versions at once", seconds_max=bound)
    fleet.write_configuration(SMALL_KILOBYTES)
    trial.measure("one more", seconds_max=bound)


READER_FAULTS: dict[str, Callable[[SimulatedFleet, str], None]] = {
    "killed": SimulatedFleet.kill,
    "frozen": SimulatedFleet.freeze,
    "cut-from-store": lambda fleet, node_id: fleet.cut_from_store([node_id]),
    "isolated": SimulatedFleet.isolate,
}
SCENARIOS: dict[str, Callable[[Trial], None]] = {
    "cut-region": cut_region,
    "cut-all": cut_all,
    "grow-in-cut": grow_in_cut,
    "calm": change_in_calm,
    **{
        f"region-reader-{name}": partial(fail_reader, choose=choose_region_reader, fail=fail)
        for name, fail in READER_FAULTS.items()
    },
    **{
        f"reader-{name}": partial(fail_reader, choose=choose_data_centre_reader, fail=fail)
        for name, fail in READER_FAULTS.items()
    },
    "refuse-half": refuse_half,
    "cut-half": cut_half,
    "full-link": fill_links,
    **{
        f"slow-store-{seconds}": partial(answer_slowly, seconds=seconds)
        for seconds in (1.3, 1.6, 2.5, 4.0)
    },
}
START_TOGETHER = "start-together"


def run_scenario(
    name: str, nodes: int, seed: int = 1, observed_seconds: float = OBSERVED_SECONDS
) -> Trial:
    """Run a scenario on a fleet that has a small configuration, or start one with a large one."""
    with cache_decoding():
        fleet = SimulatedFleet(nodes, seed)
        trial = Trial(fleet, observed_seconds)
        if name == START_TOGETHER:
            fleet.write_configuration(LARGE_KILOBYTES)
            fleet.start_all(spread_seconds=0.0, warm_up_seconds=0.0)
            trial.measure("since the start", seconds_max=START_SECONDS)
            return trial
        fleet.write_configuration(SMALL_KILOBYTES)
        fleet.start_all()
        trial.begin_count()
        SCENARIOS[name](trial)
    return trial
