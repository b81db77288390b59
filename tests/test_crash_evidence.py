"""Test which requests and prompt segments are quarantined after crashes, without a network."""

import itertools
from random import Random

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from bronzetiller.gateway.crash_reports import (
    CRASHES_PARTITION,
    CrashReports,
    decode_report,
    encode_report,
)
from bronzetiller.gateway.crashes import CrashReport, CrashTracker
from bronzetiller.gateway.requests import proves_survival
from bronzetiller.gateway.targets import Registration, Target
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import ProbeResult
from bronzetiller.requests.crash_evidence import (
    CRASHES_MAX,
    QUARANTINE_SECONDS,
    Crash,
    CrashEvidence,
    Proofs,
)
from bronzetiller.requests.execution import Verdict
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient

NOW = 1_000.0
CONTACT_SECONDS = 4.0  # after the fifth crash, until all nodes must hold such requests back
LATER_REQUESTS_MAX = 3
RESTART_SECONDS = 3.0
V1, V2 = "s/v1", "s/v2"


def make_evidence(*crashes, version=V1):
    evidence = CrashEvidence()
    for number, fingerprints in enumerate(crashes):
        evidence.add(Crash(f"e{number}", NOW, frozenset(fingerprints), version))
    return evidence


def is_quarantined(evidence, *fingerprints, now=NOW):
    return evidence.find_quarantined(fingerprints, now) is not None


def test_two_crashes_quarantine_nothing():
    evidence = make_evidence(*[{"first", "bad"}] * (CRASHES_MAX - 1))
    assert not is_quarantined(evidence, "first", "bad")


def test_a_segment_on_all_crashed_targets_is_quarantined_with_whatever_else():
    evidence = make_evidence({"first", "bad"}, {"first", "bad"}, {"other", "bad"})
    assert is_quarantined(evidence, "first", "bad")
    assert is_quarantined(evidence, "unseen", "bad")
    assert not is_quarantined(evidence, "first") and not is_quarantined(evidence, "other")


def test_requests_that_share_all_but_the_crashing_segment_may_run():
    evidence = make_evidence(*[{"first", "middle", "bad"}] * 5)
    assert is_quarantined(evidence, "first", "middle", "bad")
    assert not is_quarantined(evidence, "first", "middle")


def test_the_first_segment_is_quarantined_if_it_crashes_targets_by_itself():
    evidence = make_evidence({"bad", "m1"}, {"bad", "m2"}, {"bad", "m3"})
    assert is_quarantined(evidence, "bad", "m4")


def test_crashes_for_other_reasons_do_not_change_what_is_quarantined():
    crashes = [{"first", "bad"}] * 5 + [{"first"}, {"first", "x"}]
    evidence = make_evidence(*crashes)
    assert is_quarantined(evidence, "first", "bad")
    assert not is_quarantined(evidence, "first")


def test_a_quarantine_ends_by_itself_and_lasts_longer_after_another_crash():
    evidence = make_evidence(*[{"bad"}] * CRASHES_MAX)
    assert is_quarantined(evidence, "bad", now=NOW + QUARANTINE_SECONDS - 1)
    later = NOW + QUARANTINE_SECONDS + 1
    assert not is_quarantined(evidence, "bad", now=later)
    evidence.add(Crash("another", later, frozenset({"bad"})))
    assert is_quarantined(evidence, "bad", now=later + 2 * QUARANTINE_SECONDS - 1)


def test_two_requests_on_the_same_crashed_targets_do_not_excuse_each_other():
    evidence = make_evidence(*[{"request:a", "call:a", "request:b", "call:b"}] * CRASHES_MAX)
    judged = [is_quarantined(evidence, f"request:{name}", f"call:{name}") for name in "ab"]
    assert sorted(judged) == [False, True]
    (running,) = [name for name, held in zip("ab", judged, strict=True) if not held]
    evidence.add(Crash("another", NOW, frozenset({f"request:{running}", f"call:{running}"}), V1))
    assert is_quarantined(evidence, f"request:{running}", f"call:{running}")


def test_calls_of_one_path_and_another_query_run_beside_the_one_that_crashes_targets():
    evidence = make_evidence(*[{"request:a", "call:bad"}] * CRASHES_MAX)
    assert is_quarantined(evidence, "request:a", "call:bad")
    assert not is_quarantined(evidence, "request:a", "call:sound")
    proofs = Proofs()
    for target in evidence.list_crashes():
        proofs.hear(target, 0.0)
    proofs.record(["request:a", "call:sound"], 1.0, V1)
    proofs.clear(evidence)
    assert is_quarantined(evidence, "request:a", "call:bad")


def test_a_response_of_another_version_clears_no_crash_but_shows_where_a_request_may_run():
    evidence, proofs = make_evidence(*[{"request:a"}] * CRASHES_MAX), Proofs()
    for target in evidence.list_crashes():
        proofs.hear(target, 0.0)
    proofs.record(["request:a"], 1.0, V2)
    assert proofs.clear(evidence) == {}
    assert proofs.find_survivors(evidence) == [("request:a", V2)]
    evidence.add_survivor("request:a", V2)
    quarantined = evidence.find_quarantined(["request:a"], NOW)
    assert quarantined.survivors == {V2} and quarantined.crashed == {V1}
    evidence.add(Crash("newer", NOW, frozenset({"request:a"}), V2))
    assert not evidence.find_quarantined(["request:a"], NOW).survivors


@pytest.mark.parametrize(
    ("verdict", "status", "names_request", "proves"),
    [
        (Verdict.ANSWERED, 200, True, True),
        (Verdict.ANSWERED, 200, False, False),
        (Verdict.ANSWERED, 304, True, False),
        (Verdict.ANSWERED, 404, True, False),
        (Verdict.FAILED, 500, True, False),
        (Verdict.NOT_RUN, 503, True, False),
        (Verdict.NOT_RUN, 200, True, False),
        (Verdict.MISDIRECTED, 421, True, False),
    ],
)
def test_only_a_success_that_names_its_request_proves_it_harmless(
    verdict, status, names_request, proves
):
    assert proves_survival(verdict, status, names_request=names_request) is proves


FINGERPRINTS = ("a", "b", "c")
REPORTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("crash"), st.integers(0, 5), st.sets(st.sampled_from(FINGERPRINTS), min_size=1)
        ),
        st.tuples(st.just("clear"), st.sampled_from(FINGERPRINTS), st.sets(st.integers(0, 5))),
    ),
    max_size=12,
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_reports_give_the_same_evidence_in_any_order_and_repeated(reports, random):
    def judge(ordered):
        evidence = CrashEvidence()
        for kind, first, second in ordered:
            if kind == "crash":
                evidence.add(Crash(f"e{first}", NOW, frozenset(second)))
            else:
                evidence.clear(first, [f"e{number}" for number in second])
        requests = itertools.chain.from_iterable(
            itertools.combinations(FINGERPRINTS, size) for size in (1, 2, 3)
        )
        return [is_quarantined(evidence, *request) for request in requests]

    shuffled = reports + reports
    random.shuffle(shuffled)
    assert judge(reports) == judge(shuffled)


def test_a_report_is_decoded_as_it_was_encoded_and_a_malformed_one_is_rejected():
    crash = Crash("e1/5", NOW, frozenset({"segment:a", "request:b"}), V1)
    cleared = {"segment:c": {"e1/5", "e2/7"}}
    report = CrashReport({"e1/5": crash}, cleared, {"segment:a": {V1, V2}})
    assert decode_report(encode_report(report)) == report
    older = b'{"crashes": [["e1/5", 1000.0, ["segment:a"]]], "cleared": {}}'
    assert decode_report(older).crashes["e1/5"].version == ""
    for value in (
        b"",
        b"[]",
        b'{"crashes": [[1]], "cleared": {}}',
        b'{"crashes": [], "cleared": 5}',
    ):
        assert decode_report(value) is None


def test_an_encoded_report_is_bounded_and_keeps_the_newest_crashes():
    crashes = {
        f"e{number}": Crash(f"e{number}", NOW + number, frozenset({"x" * 1_000, str(number)}))
        for number in range(200)
    }
    cleared = {str(number): {f"e{number}", "x" * 1_000} for number in range(200)}
    value = encode_report(CrashReport(crashes, cleared))
    decoded = decode_report(value)
    assert len(value) <= 64 * 1024 and "e199" in decoded.crashes


def make_registration(target_id, address, version=V1):
    service, _, software = version.partition("/")
    return Registration(target_id, service, address, "a", 8, False, software=software)


@define(eq=False)
class FakeTargets:
    """Hold targets that crash under prompts with segment bad and start again some seconds later.

    Those of the newer version, the last ones, survive them. A crashing target accepts connections
    for as long as it is ending, and then resets them.
    """

    scheduler: FakeScheduler
    newer: int = 0
    ending_seconds: float = 0.0
    up_at: list = field(factory=lambda: [0.0] * 8)
    starts: int = 0
    crashes: list = field(factory=list)

    def find_version(self, number):
        return V2 if number >= len(self.up_at) - self.newer else V1

    def probe(self, address, seconds, on_result):
        number = address.port
        down_seconds = self.up_at[number] - self.scheduler.now()
        result = ProbeResult.REFUSED if down_seconds > 0.0 else ProbeResult.ACCEPTED
        if RESTART_SECONDS - self.ending_seconds < down_seconds <= RESTART_SECONDS:
            result = ProbeResult.UNCERTAIN
        self.scheduler.call_after(0.01, lambda: on_result(result))


@define(eq=False)
class FakeNode:
    """Hold a node's tracker and reports; start() begins a new incarnation."""

    world: "World"
    node_id: str
    tracker: CrashTracker = None
    reports: CrashReports = None

    def start(self):
        scheduler, store = self.world.scheduler, self.world.store
        client = FakeStoreClient(scheduler, store)
        self.tracker = CrashTracker(
            scheduler,
            self.world.targets,
            lambda: len(self.world.nodes),
            self.world.random.random,
            scheduler.now,
            lambda fingerprint: self.world.nodes.index(self),
        )
        self.reports = CrashReports(
            scheduler, client, client, self.node_id, self.tracker, self.world.random.random
        )
        self.reports.start()


@define(eq=False)
class World:
    """Hold a fleet of nodes, and requests with a sound and with a crashing segment."""

    scheduler: FakeScheduler = field(factory=FakeScheduler)
    store: MemoryStore = field(factory=MemoryStore)
    random: Random = field(factory=lambda: Random(7))
    targets: FakeTargets = None
    nodes: list = field(factory=list)
    running: dict = field(factory=dict)
    bad_sent_at: list = field(factory=list)
    sound_refused_at: list = field(factory=list)
    sound_sent_at: list = field(factory=list)
    bad_served_at: list = field(factory=list)
    bad_refused_at: list = field(factory=list)

    def send(self, *segments):
        node = self.random.choice(self.nodes)
        bad = "bad" in segments
        fingerprints = [f"segment:{segment}" for segment in segments]
        now = self.scheduler.now()
        tracker, find_version = node.tracker, self.targets.find_version
        up = [number for number, up_at in enumerate(self.targets.up_at) if up_at <= now]
        if not up:
            return
        quarantined = tracker.find_quarantined(lambda: fingerprints)
        if quarantined is not None:
            up = [number for number in up if tracker.may_run(quarantined, find_version(number))]
            if not up:
                (self.bad_refused_at if bad else self.sound_refused_at).append(now)
                return
        number = self.random.choice(up)
        if quarantined is not None:
            tracker.record_trial(quarantined, find_version(number))
        (self.bad_sent_at if bad else self.sound_sent_at).append(now)
        request = [node, fingerprints, True, find_version(number)]
        self.running.setdefault(number, []).append(request)
        if bad and find_version(number) == V2:
            self.scheduler.call_after(0.6, lambda: self.finish(request))
            self.bad_served_at.append(now)
        elif bad:
            self.scheduler.call_after(0.1, lambda: self.crash(number))
        else:
            self.scheduler.call_after(0.6, lambda: self.finish(request))

    def finish(self, request):
        node, fingerprints, running, version = request
        if running:
            request[2] = False
            node.tracker.record_proof(fingerprints, version)

    def crash(self, number):
        now = self.scheduler.now()
        if self.targets.up_at[number] > now:
            return
        self.targets.up_at[number] = now + RESTART_SECONDS
        self.targets.crashes.append(now)
        self.targets.starts += 1
        address = Address("10.0.0.1", number)
        registration = make_registration(
            f"e{self.targets.starts}", address, self.targets.find_version(number)
        )
        for request in self.running.pop(number, []):
            node, fingerprints, running, _ = request
            request[2] = False
            if running:
                node.tracker.report_loss(Target(registration), fingerprints)

    def play(self, seconds, *, bad_per_second=2.0, sound_per_second=20.0):
        end = self.scheduler.now() + seconds
        step = 1.0 / sound_per_second
        owed = 0.0
        while self.scheduler.now() < end:
            self.send("first", self.random.choice(("m1", "m2", "m3")))
            owed += step * bad_per_second
            if owed >= 1.0:
                owed -= 1.0
                self.send("first", self.random.choice(("m1", "m2")), "bad")
            self.scheduler.advance(step)


@pytest.fixture
def make_world():
    """Return a function that starts a fleet of the given size and serves sound requests."""

    def make(nodes, newer=0):
        world = World()
        world.targets = FakeTargets(world.scheduler, newer)
        world.nodes = [FakeNode(world, f"node-{number}") for number in range(nodes)]
        for node in world.nodes:
            node.start()
        world.play(2.0, bad_per_second=0.0)
        return world

    return make


def count_later(times, since):
    return sum(at > since for at in times)


@pytest.mark.parametrize("nodes", [6, 330])
def test_a_crashing_segment_is_contained_and_the_requests_beside_it_are_served(make_world, nodes):
    world = make_world(nodes)
    world.play(12.0)
    crashes = world.targets.crashes
    since = crashes[min(4, len(crashes) - 1)] + CONTACT_SECONDS
    assert count_later(world.bad_sent_at, since) <= LATER_REQUESTS_MAX
    served, refused = (
        count_later(times, since) for times in (world.sound_sent_at, world.sound_refused_at)
    )
    assert served > 100 and refused == 0


def test_a_crashing_segment_is_contained_if_ending_targets_still_accept_connections(make_world):
    world = make_world(6)
    world.targets.ending_seconds = 0.02
    world.play(12.0)
    crashes = world.targets.crashes
    since = crashes[min(4, len(crashes) - 1)] + CONTACT_SECONDS
    assert count_later(world.bad_sent_at, since) <= LATER_REQUESTS_MAX


@pytest.mark.parametrize("nodes", [6, 330])
def test_a_segment_that_another_version_survives_is_served_there(make_world, nodes):
    world = make_world(nodes, newer=2)
    world.play(12.0)
    crashes = world.targets.crashes
    since = crashes[min(CRASHES_MAX, len(crashes)) - 1] + CONTACT_SECONDS
    assert count_later(crashes, since) <= LATER_REQUESTS_MAX
    assert count_later(world.bad_served_at, since) > 5
    assert count_later(world.bad_refused_at, since) == 0
    assert count_later(world.sound_refused_at, since) == 0


@pytest.mark.parametrize("nodes", [6, 330])
def test_a_quarantine_that_ends_lets_one_request_run_and_not_one_of_each_node(make_world, nodes):
    world = make_world(nodes)
    world.play(3.0)
    crashes = world.targets.crashes
    since = crashes[CRASHES_MAX - 1] + CONTACT_SECONDS
    world.scheduler.advance(QUARANTINE_SECONDS - 5.0)
    world.play(30.0, bad_per_second=20.0)
    assert count_later(crashes, since) <= LATER_REQUESTS_MAX


def test_a_version_that_comes_later_is_tried_once_and_then_serves(make_world):
    world = make_world(6)
    world.play(8.0)
    tried_at = world.scheduler.now()
    world.targets.newer = 2
    world.play(12.0)
    assert count_later(world.targets.crashes, tried_at) == 0
    assert count_later(world.bad_served_at, tried_at) > 5


def test_an_untested_version_that_crashes_too_gets_one_trial(make_world):
    world = make_world(6)
    crash_targets(world, world.nodes[0], "segment:rare")
    first, second = world.nodes[:2]
    quarantined = first.tracker.find_quarantined(lambda: ["segment:rare"])
    assert not second.tracker.may_run(quarantined, V2)
    assert first.tracker.may_run(quarantined, V2) and not first.tracker.may_run(quarantined, V1)
    first.tracker.record_trial(quarantined, V2)
    assert not first.tracker.may_run(quarantined, V2)
    registration = make_registration("newer", Address("10.0.0.1", 7), V2)
    world.targets.up_at[7] = world.scheduler.now() + 9.0
    first.tracker.report_loss(Target(registration), ["segment:rare"])
    world.scheduler.advance(6.0)
    quarantined = first.tracker.find_quarantined(lambda: ["segment:rare"])
    assert not first.tracker.may_run(quarantined, V2)


def test_a_crashing_segment_stays_contained_when_all_nodes_are_killed(make_world):
    world = make_world(6)
    world.play(6.0)
    world.scheduler.clear()
    for node in world.nodes:
        node.start()
    restarted_at = world.scheduler.now()
    world.scheduler.advance(0.1)
    world.play(8.0)
    assert count_later(world.bad_sent_at, restarted_at) <= LATER_REQUESTS_MAX
    assert count_later(world.sound_sent_at, restarted_at) > 100


def test_targets_that_crash_at_once_for_another_reason_quarantine_nothing(make_world):
    world = make_world(6)
    for _ in range(4):
        for number in range(8):
            world.crash(number)
        world.play(5.0, bad_per_second=0.0)
    end = world.scheduler.now()
    world.play(5.0, bad_per_second=0.0)
    assert count_later(world.sound_refused_at, end) == 0
    assert len(world.sound_refused_at) <= 0.02 * len(world.sound_sent_at)


def test_a_closed_connection_to_a_live_target_is_not_a_crash(make_world):
    world = make_world(1)
    registration = Registration("e0", "s", Address("10.0.0.1", 0), "a", 8, False)
    tracker = world.nodes[0].tracker
    for _ in range(CRASHES_MAX):
        tracker.report_loss(Target(registration), ["segment:first"])
        world.scheduler.advance(0.1)
    assert not tracker.evidence


def crash_targets(world, node, *fingerprints):
    for number in range(CRASHES_MAX):
        world.targets.up_at[number] = world.scheduler.now() + 1.0
        address = Address("10.0.0.1", number)
        registration = make_registration(f"e{number}", address)
        node.tracker.report_loss(Target(registration), fingerprints)
    world.scheduler.advance(0.5)


def test_a_response_after_the_crashes_clears_a_segment_at_every_node(make_world):
    world = make_world(2)
    first, second = world.nodes
    crash_targets(world, first, "segment:rare")
    for node in world.nodes:
        assert node.tracker.find_quarantined(lambda: ["segment:rare"])
    second.tracker.record_proof(["segment:rare"], V1)
    world.scheduler.advance(0.5)
    for node in world.nodes:
        assert not node.tracker.find_quarantined(lambda: ["segment:rare"])


def test_a_report_that_a_late_append_replaced_is_written_again(make_world):
    world = make_world(2)
    first, second = world.nodes
    crash_targets(world, first, "segment:bad")
    world.store.append(CRASHES_PARTITION, "node-0", encode_report(CrashReport()), None)
    world.scheduler.advance(0.5)
    second.start()
    world.scheduler.advance(0.1)
    assert second.tracker.find_quarantined(lambda: ["segment:bad"])


def test_a_report_too_large_to_write_whole_is_not_written_repeatedly(make_world):
    world = make_world(1)
    (node,) = world.nodes
    crash_targets(world, node, *[f"segment:{number}-{'x' * 1_000}" for number in range(100)])
    written = len(world.store.records(CRASHES_PARTITION))
    world.scheduler.advance(5.0)
    assert 0 < written == len(world.store.records(CRASHES_PARTITION))


def test_a_restarted_node_keeps_what_its_last_incarnation_reported(make_world):
    world = make_world(2)
    first, second = world.nodes
    crash_targets(world, first, "segment:bad")
    first.start()
    world.scheduler.advance(0.1)
    first.tracker.record_proof(["segment:other"], V1)
    crash_targets(world, first, "segment:other")
    second.start()
    world.scheduler.advance(0.1)
    assert second.tracker.find_quarantined(lambda: ["segment:bad"])


@pytest.fixture
def start_tracker():
    """Return a tracker and its target; probes take 0.1 s and find whether the target is up."""

    def start():
        scheduler = FakeScheduler()
        target = Target(Registration("e0", "llm", Address("10.0.0.1", 1), "d1", 8, False))
        up = [True]
        results = []

        @define
        class Prober:
            probes: int = 0
            uncertain: int = 0

            def probe(self, address, seconds, on_result):
                self.probes += 1
                found = ProbeResult.ACCEPTED if up[0] else ProbeResult.REFUSED
                if self.probes <= self.uncertain:
                    found = ProbeResult.UNCERTAIN
                scheduler.call_after(0.1, lambda: on_result(found))

        prober = Prober()
        tracker = CrashTracker(scheduler, prober, read_clock=lambda: NOW)

        def report(*fingerprints):
            tracker.report_loss(target, fingerprints, results.append)

        return tracker, scheduler, prober, up, report, results

    return start


def test_a_close_is_not_confirmed_by_a_probe_that_began_before_it(start_tracker):
    tracker, scheduler, prober, up, report, results = start_tracker()
    report("a")
    up[0] = False
    report("b")
    scheduler.advance(0.3)
    assert results == [True, False] and prober.probes == 2
    assert tracker.evidence.list_fingerprints("e0/0") == ["b"]


def test_a_probe_that_finds_a_crash_decides_on_all_losses_before_its_result(start_tracker):
    tracker, scheduler, prober, up, report, results = start_tracker()
    up[0] = False
    for fingerprint in ("a", "b", "c"):
        report(fingerprint)
    scheduler.advance(0.3)
    assert results == [False] * 3 and prober.probes == 1
    assert tracker.evidence.list_fingerprints("e0/0") == ["a", "b", "c"]


def test_many_closes_of_a_living_target_share_two_probes(start_tracker):
    _, scheduler, prober, _, report, results = start_tracker()
    for number in range(64):
        report(str(number))
    scheduler.advance(0.3)
    assert results == [True] * 64 and prober.probes == 2


def test_an_unanswered_probe_confirms_neither_a_close_nor_a_crash(start_tracker):
    tracker, scheduler, prober, _, report, results = start_tracker()
    prober.uncertain = 10**6
    report("a")
    scheduler.advance(0.3)
    assert results == [False] and not tracker.evidence
    scheduler.advance(CONTACT_SECONDS)
    probes = prober.probes
    scheduler.advance(CONTACT_SECONDS)
    assert results == [False] and not tracker.evidence and prober.probes == probes


def test_a_crash_counts_if_the_ending_process_still_accepted_the_first_probe(start_tracker):
    tracker, scheduler, prober, up, report, results = start_tracker()
    up[0] = False
    prober.uncertain = 2
    report("a")
    scheduler.advance(0.15)
    report("b")
    scheduler.advance(1.0)
    assert results == [False, False]
    assert tracker.evidence.list_fingerprints("e0/0") == ["a", "b"]


def test_a_target_that_reset_the_first_probe_and_accepts_the_next_did_not_crash(start_tracker):
    tracker, scheduler, prober, _, report, results = start_tracker()
    prober.uncertain = 1
    report("a")
    scheduler.advance(CONTACT_SECONDS)
    assert results == [False] and not tracker.evidence and prober.probes == 2


def test_a_report_that_the_store_lost_is_written_again(make_world):
    world = make_world(2)
    world.play(4.0)
    written = {record.key for record in world.store.list_newest(CRASHES_PARTITION)}
    assert written
    world.store.restore({CRASHES_PARTITION: 1_000})
    world.scheduler.advance(5.0)
    assert {record.key for record in world.store.list_newest(CRASHES_PARTITION)} >= written
