"""Apply operator records of concurrent publishers on nodes of several versions.

Variants that each lack one rule show that the checks detect lost updates, nodes that disagree and
items that revert to an earlier version.
"""

import json

import pytest
from attrs import evolve
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bronzetiller.configuration.archive import Archive, decode_configuration, dump_configuration
from bronzetiller.configuration.fold import DECISIONS_MAX, NO_RECORD, Configuration
from bronzetiller.configuration.records import Envelope, Kind, dump_envelope, load_body

PUBLISHERS = ("anna", "bert", "carys")
KEYS = (
    (Kind.ROUTE.value, "namer"),
    (Kind.TOP_UP.value, "studio-1"),
    (Kind.WORKSPACE.value, "studio"),
    (Kind.WORKSPACE.value, "rival"),
    ("adapter", "later-kind"),
)
DIGESTS = ("a" * 64, "b" * 64)
BODIES = {
    Kind.ROUTE.value: [{"service": "names"}, {"service": "names", "answer_tokens_max": 5}, {}],
    Kind.TOP_UP.value: [{"workspace": "studio", "tokens": 5}, {"workspace": "studio"}],
    Kind.WORKSPACE.value: [
        {"key_digests": [DIGESTS[0]]},
        {"key_digests": [*DIGESTS, DIGESTS[0]]},
        {"key_digests": [DIGESTS[1]], "enabled": False},
    ],
    "adapter": [{"of_a_later": "version"}],
}
SCHEMAS_OF_NODES = ((1, 2), (1,), (1, 2, 3))


class ConfigurationMachine(RuleBasedStateMachine):
    """Let publishers append based on what they last read while nodes lag behind the log."""

    fold = Configuration
    archive = Archive

    @initialize()
    def set_up(self):
        self.log = []
        self.nodes = [self.fold(schemas) for schemas in SCHEMAS_OF_NODES]
        self.next_offsets = [0 for _ in self.nodes]
        self.known_revisions = {publisher: {} for publisher in PUBLISHERS}
        self.in_force_revisions = [{} for _ in self.nodes]
        self.archives = [self.archive() for _ in self.nodes]

    @rule(
        publisher=st.sampled_from(PUBLISHERS),
        key=st.sampled_from(KEYS),
        schema=st.integers(1, 3),
        choice=st.integers(0, 3),
        refreshes_first=st.booleans(),
    )
    def publish(self, publisher, key, schema, choice, refreshes_first):
        if refreshes_first:
            self.read_log(0, len(self.log))
            self.refresh_publisher(publisher, 0)
        bodies = [*BODIES[key[0]], None]
        record = Envelope(
            record_id=f"record-{len(self.log)}",
            schema=schema,
            kind=key[0],
            name=key[1],
            replaces=self.known_revisions[publisher].get(key, NO_RECORD),
            author=publisher,
            body=bodies[choice % len(bodies)],
        )
        self.log.append(dump_envelope(record))

    @rule(data=st.data())
    def repeat_after_lost_response(self, data):
        if self.log:
            self.log.append(data.draw(st.sampled_from(self.log)))

    @rule(publisher=st.sampled_from(PUBLISHERS), node=st.integers(0, len(SCHEMAS_OF_NODES) - 1))
    def refresh_publisher(self, publisher, node):
        self.known_revisions[publisher] = {
            key: item.revision for key, item in self.nodes[node].items.items()
        }

    @rule(node=st.integers(0, len(SCHEMAS_OF_NODES) - 1), count=st.integers(1, 8))
    def read_log(self, node, count):
        for offset in range(
            self.next_offsets[node], min(self.next_offsets[node] + count, len(self.log))
        ):
            decision = self.nodes[node].apply(offset, self.log[offset])
            self.archives[node].add_record(decision, self.log[offset])
            self.next_offsets[node] = offset + 1
            self.check_no_reversion(node, offset)

    @rule(node=st.integers(0, len(SCHEMAS_OF_NODES) - 1))
    def replay_log(self, node):
        fresh = self.fold(SCHEMAS_OF_NODES[node])
        for offset in range(self.next_offsets[node]):
            fresh.apply(offset, self.log[offset])
        assert fresh == self.nodes[node]
        self.nodes[node] = fresh

    @rule(node=st.integers(0, len(SCHEMAS_OF_NODES) - 1), writer=st.integers(0, 2))
    def restart_from_a_snapshot(self, node, writer):
        """Replace a node by one that loads a snapshot of any node, including of another version."""
        dump = json.dumps(dump_configuration(self.nodes[writer], self.archives[writer]))
        fresh, archive = self.fold(SCHEMAS_OF_NODES[node]), self.archive()
        decode_configuration(json.loads(dump), fresh, archive)()
        expected = self.fold(SCHEMAS_OF_NODES[node])
        for offset in range(self.next_offsets[writer]):
            expected.apply(offset, self.log[offset])
        assert fresh.items == expected.items, "a snapshot lost a body"
        if self.next_offsets[writer] >= self.next_offsets[node]:
            self.nodes[node], self.archives[node] = expected, archive
            self.next_offsets[node] = self.next_offsets[writer]

    def check_no_reversion(self, node, offset):
        """Check that the item of a record has not reverted to an earlier version."""
        record = self.log[offset]
        key = (record["kind"], record["name"])
        item = self.nodes[node].items.get(key)
        if item is not None:
            assert item.in_force_revision >= self.in_force_revisions[node].get(
                key, NO_RECORD
            ), "reverted"
            self.in_force_revisions[node][key] = item.in_force_revision

    @invariant()
    def nodes_agree_on_every_record(self):
        verdicts = [
            [(d.offset, d.accepted) for d in node.decisions if d.offset < min(self.next_offsets)]
            for node in self.nodes
        ]
        assert all(item == verdicts[0] for item in verdicts)

    @invariant()
    def no_update_is_lost(self):
        for node in self.nodes:
            newest = {}
            for decision in node.decisions:
                if decision.accepted:
                    key = (decision.kind, decision.name)
                    replaced = self.log[decision.offset]["replaces"]
                    assert replaced == newest.get(key, NO_RECORD), "an update was lost"
                    newest[key] = decision.offset

    @invariant()
    def a_record_is_accepted_once(self):
        for node in self.nodes:
            accepted = [d.record_id for d in node.decisions if d.accepted]
            assert len(accepted) == len(set(accepted))

    @invariant()
    def the_newest_readable_body_is_in_force(self):
        for node in self.nodes:
            for key, item in node.items.items():
                assert item.body == self.find_newest_readable_body(
                    node, key
                ), "not the newest readable body"

    @invariant()
    def a_digest_finds_an_enabled_workspace_that_declares_it(self):
        for node in self.nodes:
            found = node.workspaces()
            bodies = {key[1]: item.body for key, item in node.items.items() if "work" in key[0]}
            assert found == {name: body for name, body in bodies.items() if body is not None}
            for digest in DIGESTS:
                owners = {n for n, w in found.items() if w.enabled and digest in w.key_digests}
                assert node.find_workspace(digest) in (owners or {None})

    def find_newest_readable_body(self, node, key):
        accepted_offsets = [
            d.offset for d in node.decisions if d.accepted and (d.kind, d.name) == key
        ]
        for offset in reversed(accepted_offsets):
            record = self.log[offset]
            if record["body"] is None:
                return None
            body = load_body(Envelope(**record), node.schemas)
            if body.is_ok():
                return body.unwrap()
        return None


SETTINGS = settings(max_examples=150, stateful_step_count=40, derandomize=True, deadline=None)


def test_nodes_agree_and_never_revert():
    run_state_machine_as_test(ConfigurationMachine, settings=SETTINGS)


class LastWriteWins(Configuration):
    """Accept records without checking that they replace the newest one."""

    def apply(self, offset, value):
        revision = self.revision(value["kind"], value["name"])
        return super().apply(offset, value | {"replaces": revision})


class RefusesLaterSchemas(Configuration):
    """Accept only records that this version can read."""

    def apply(self, offset, value):
        if value["schema"] not in self.schemas:
            value = value | {"kind": "Not A Kind"}
        return super().apply(offset, value)


class KeepsOnlyReadableSchema(Archive):
    """Archive only the newest record that this node can read."""

    def add_record(self, decision, record):
        if decision.accepted and decision.in_force:
            self.records.pop((decision.kind, decision.name), None)
        super().add_record(decision, record)


class DropsEarlierBody(Configuration):
    """Drop the body in force if the newest record cannot be read."""

    def apply(self, offset, value):
        decision = super().apply(offset, value)
        item = self.items.get((value["kind"], value["name"]))
        if item is not None and item.unread_reason:
            item.body = None
            item.in_force_revision = NO_RECORD
        return decision


@pytest.mark.parametrize(
    "overrides",
    [
        {"fold": LastWriteWins},
        {"fold": RefusesLaterSchemas},
        {"fold": DropsEarlierBody},
        {"archive": KeepsOnlyReadableSchema},
    ],
)
def test_each_acceptance_rule_is_needed(overrides):
    machine = type("Broken", (ConfigurationMachine,), overrides)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=settings(SETTINGS, phases=[Phase.generate]))


def test_a_later_version_may_add_kinds_and_fields_of_the_envelope():
    record = Envelope("r-1", 9, "adapter", "later-kind", NO_RECORD, "anna", {"any": "thing"})
    configuration = Configuration()
    assert configuration.apply(0, dump_envelope(record) | {"later": True}).accepted
    second = evolve(record, record_id="r-2", replaces=0)
    assert configuration.apply(1, dump_envelope(second)).accepted


def test_a_top_up_cannot_be_changed_or_deleted():
    record = Envelope("r-1", 1, "top-up", "t", NO_RECORD, "anna", {"workspace": "s", "tokens": 5})
    configuration = Configuration()
    configuration.apply(0, dump_envelope(record))
    for body in (None, {"workspace": "s", "tokens": 9}):
        later = evolve(record, record_id=f"r-{body}", replaces=0, body=body)
        assert not configuration.apply(1, dump_envelope(later)).accepted
    assert configuration.top_ups()["t"].tokens == 5


def test_retained_decisions_are_bounded():
    configuration = Configuration()
    for offset in range(2 * DECISIONS_MAX):
        record = Envelope(f"r-{offset}", 1, "workspace", "s", offset - 1, "anna", {})
        assert configuration.apply(offset, dump_envelope(record)).accepted
    assert len(configuration.decisions) == DECISIONS_MAX
    assert configuration.find_decision("r-0") is None
    assert configuration.find_decision(record.record_id) is not None
    expired = Envelope("r-0", 1, "workspace", "s", NO_RECORD, "anna", {})
    for repeated in (record, expired):
        assert not configuration.apply(2 * DECISIONS_MAX, dump_envelope(repeated)).accepted


def test_a_snapshot_keeps_the_revision_of_a_deletion_for_a_reader_of_fewer_schemas():
    """Follow a deletion with a record in a schema that only the writer of the snapshot reads."""
    machine, key = ConfigurationMachine(), (Kind.WORKSPACE.value, "studio")
    machine.set_up()
    machine.publish("anna", key, schema=2, choice=3, refreshes_first=False)
    machine.publish("carys", KEYS[0], schema=1, choice=0, refreshes_first=True)
    machine.publish("carys", key, schema=2, choice=0, refreshes_first=False)
    machine.read_log(node=0, count=2)
    machine.restart_from_a_snapshot(node=1, writer=0)
