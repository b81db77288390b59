"""Test that docs/RECORDS.md lists the fields of messages and records, and how readers take them.

release_3a107de.json holds what the code of that commit encodes: packets as CBOR in hex, else JSON.
"""

import json
import re
from pathlib import Path
from typing import Any, get_args, get_type_hints

import attrs
import cbor2
import pytest

from bronzetiller.budgets.ledger import Ledger, dump_ledger, load_ledger
from bronzetiller.budgets.records import (
    LedgerRecord,
    dump_ledger_record,
    load_ledger_record,
)
from bronzetiller.configuration import archive
from bronzetiller.configuration.archive import Archive, decode_configuration, dump_configuration
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.records import (
    BODY_CLASSES,
    Envelope,
    dump_body,
    dump_envelope,
    load_body,
    load_envelope,
)
from bronzetiller.gateway.allocations import Account, HoldingRecord, decode_holding_record
from bronzetiller.gateway.crash_reports import decode_report, encode_report
from bronzetiller.gateway.crashes import CrashReport
from bronzetiller.gateway.members import Member, decode_member
from bronzetiller.gateway.statements import Statement
from bronzetiller.gateway.stream_records import STREAMS_PARTITION, StreamRecords, decode_streams
from bronzetiller.gateway.stream_versions import BaseVersion, decode_base_version
from bronzetiller.gateway.targets import TargetPool
from bronzetiller.requests.claims import Claims, dump_claims, load_claims
from bronzetiller.requests.crash_evidence import Crash
from bronzetiller.storage.snapshots import dump_piece, join_snapshot, load_piece
from bronzetiller.wire import sessions
from bronzetiller.wire.codec import decode_packet, encode_packet
from bronzetiller.wire.messages import (
    OfferRecords,
    Packet,
    Ping,
    Pong,
)
from bronzetiller.wire.sessions import SessionHandlers, open_client_session, open_server_session
from standins.fake_scheduler import FakeScheduler
from standins.memory_store import MemoryStore
from tests.gateway_fakes import FakeStoreClient

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "RECORDS.md").read_text()
RELEASE = "3a107de"
RELEASED = json.loads((Path(__file__).parent / f"release_{RELEASE}.json").read_text())
UNKNOWN = {"of_a_later_release": {"a": [1, None, "x"]}}
REASON_CHARACTERS_MAX = 500
FLUSH_SECONDS = 1.0

MEMBER = Member(
    node_id="node-2",
    address="10.0.0.1:1",
    data_centre="a",
    incarnation="node-2/5",
    serving=True,
    peers_address="10.0.0.1:2",
    beat=7,
    load=3.5,
    capacity=2.0,
    limits={"e1/9": Statement(4.0, 3), "e2/9": Statement(None, 2)},
    brittle={"names": Statement(1.5, 1)},
    cut_off=("names",),
    forwarded_load=0.5,
    leaving={"e1/9": Statement(1.0, 1)},
)
REPORT = CrashReport(
    crashes={"e1/9": Crash("e1/9", 5.5, frozenset({"request:1"}), "names/v1")},
    cleared={"request:1": {"e2/9"}},
    survived={"request:1": {"names/v2"}},
)
HOLDING = HoldingRecord(
    holder="node-2/5",
    epoch=5,
    number=6,
    reported_at=7.5,
    clock_steady=True,
    accounts={"red": Account(100, 40, 5, 3, 2, 1.5, 20.0)},
    order=8,
    era=1,
    vouched=True,
)
BASE = BaseVersion("names", "names/v1", 2, 1)
# What today's code makes of the records of the release; their streams are as in the file.
STORE_RECORDS: dict[str, Any] = {
    "keyed.nodes": MEMBER,
    "keyed.crashes": REPORT,
    "keyed.versions": BASE,
    "keyed.streams": ({"s1": "names/v1", "s2": "names/v1"}, 5.5),
    "keyed.holdings": HOLDING,
}
ENCODED = {
    "keyed.nodes": attrs.evolve(MEMBER, cut_off_regions={"desk": ("sask",)}, full=True).encode(),
    "keyed.crashes": encode_report(REPORT),
    "keyed.versions": BASE.encode(),
    "keyed.holdings": HOLDING.encode(),
}
DECODERS: dict[str, Any] = {
    "keyed.nodes": lambda value: decode_member("node-2", value),
    "keyed.crashes": decode_report,
    "keyed.versions": lambda value: decode_base_version("names", value),
    "keyed.streams": decode_streams,
    "keyed.holdings": decode_holding_record,
}
UNREAD: dict[str, Any] = dict.fromkeys(DECODERS) | {"keyed.streams": ({}, float("inf"))}


def read_rows(heading: str) -> list[list[str]]:
    """Return the cells of the table rows under a heading, without the tables' heads."""
    section = PAGE.split(f"\n{heading}", 1)[1]
    section = re.split(r"\n##+ ", section, maxsplit=1)[0]
    lines = [line.strip("| ") for line in section.splitlines() if line.startswith("|")]
    cells = [[cell.strip() for cell in line.split("|")] for line in lines]
    return [row for row in cells if row[0].startswith("`")]


def read_store_rows() -> list[tuple[str, str, str]]:
    return [
        (topic, row[0].strip("`"), row[2].strip("`"))
        for topic in DECODERS
        for row in read_rows(f"### `{topic}`")
    ]


def collect_classes(kind: Any, found: list[Any]) -> list[Any]:
    """Add the attrs classes of which a type may hold instances."""
    for argument in get_args(kind):
        collect_classes(argument, found)
    if isinstance(kind, type) and attrs.has(kind) and kind not in found:
        found.append(kind)
        for hint in get_type_hints(kind).values():
            collect_classes(hint, found)
    return found


def get_default(item: Any) -> Any:
    return item.default.factory() if isinstance(item.default, attrs.Factory) else item.default


def describe_fields(kind: Any) -> str:
    """Return the fields of a class as the page writes them."""
    names = [
        (
            item.name
            if item.default is attrs.NOTHING
            else f"{item.name}={json.dumps(get_default(item))}"
        )
        for item in attrs.fields(kind)
    ]
    return ", ".join(f"`{name}`" for name in names) or "none"


def list_levels(value: Any, plain: Any) -> list[tuple[Any, dict[str, Any]]]:
    """Return each attrs object within a value with the dictionary that it was decoded from."""
    if attrs.has(type(value)):
        levels = [(value, plain)]
        for item in attrs.fields(type(value)):
            levels += list_levels(getattr(value, item.name), plain.get(item.name))
        return levels
    if isinstance(value, list) and plain:
        return [level for pair in zip(value, plain, strict=True) for level in list_levels(*pair)]
    if isinstance(value, dict) and plain:
        return [level for key in value for level in list_levels(value[key], plain[key])]
    return []


def add_unknown_fields(value: Any, plain: Any) -> None:
    for _, level in list_levels(value, plain):
        level.update(UNKNOWN)


def decode_message(plain: Any) -> Any:
    return decode_packet(cbor2.dumps({"number": 7, "reply_to": 0, "message": plain}))


def list_later_names() -> list[str]:
    """Return the fields and messages that the page lists as newer than the release of the file."""
    (line,) = re.findall("^Releases .*$", PAGE, re.MULTILINE)
    releases = re.findall(r"\b[0-9a-f]{7}\b", line)
    earlier = releases[: releases.index(RELEASE) + 1]
    return [row[0].strip("`") for row in read_rows("## Later fields") if row[1] not in earlier]


def make_later_fields() -> dict[str, Any]:
    """Return the defaults of the fields that the page lists as newer than the release."""
    classes = {kind.__name__: kind for kind in collect_classes(Packet, [])}
    names = list_later_names()
    pairs = [name.split(".") for name in names if "." in name and not name.startswith("keyed.")]
    return {
        f"{kind}.{name}": get_default(getattr(attrs.fields(classes[kind]), name))
        for kind, name in pairs
    }


RELEASED_MESSAGES = {
    name: cbor2.loads(bytes.fromhex(text))["message"] for name, text in RELEASED["messages"].items()
}


def make_message(name: str) -> Any:
    """Return a decoded message; those that the release lacks are made here."""
    if name != "OfferRecords":
        return decode_message(RELEASED_MESSAGES[name]).unwrap().message
    return OfferRecords("keyed.op", 0, 3, make_message("Records"), 4.5)


MESSAGES = [kind.__name__ for kind in get_args(get_type_hints(Packet)["message"])]


def unstructure(message: Any) -> Any:
    return cbor2.loads(encode_packet(Packet(7, 0, message)))["message"]


def test_the_page_lists_each_field_of_messages_and_log_records():
    listed = {
        row[0].strip("`"): row[1]
        for heading in ("## Messages between nodes", "## Records of `bronzetiller node`")
        for row in read_rows(heading)
    }
    snapshot = archive._Snapshot
    kinds: list[Any] = []
    for root in (Packet, LedgerRecord, Ledger, Claims, snapshot):
        collect_classes(root, kinds)
    names = {kind: "configuration" if kind is snapshot else kind.__name__ for kind in kinds}
    assert listed == {name: describe_fields(kind) for kind, name in names.items()}


def encode_streams() -> bytes:
    """Return the record that a node writes of a stream."""
    scheduler, store = FakeScheduler(), MemoryStore()
    client: Any = FakeStoreClient(scheduler, store)
    writer = StreamRecords(scheduler, client, "node-2/5", TargetPool(), lambda: 1, lambda: False)
    writer.record("s1", "names/v1", always=True)
    scheduler.advance(FLUSH_SECONDS)
    (record,) = store.list_newest(STREAMS_PARTITION)
    assert record.value is not None
    return record.value


def test_the_pages_list_each_field_of_the_gateways_and_operators_records():
    for topic, value in (ENCODED | {"keyed.streams": encode_streams()}).items():
        assert {field for item, field, _ in read_store_rows() if item == topic} == set(
            json.loads(value)
        )
    interfaces = (ROOT / "docs" / "INTERFACES.md").read_text().split("## Operator records")[1]
    for kind, body in BODY_CLASSES.items():
        rows = [line for line in interfaces.splitlines() if line.startswith(f"| `{kind}` |")]
        for item in attrs.fields(body):
            assert any(f"`{item.name}`" in row for row in rows), f"{kind}: {item.name}"


@pytest.mark.parametrize("topic", ENCODED)
def test_the_page_lists_each_later_field_of_a_store_record(topic):
    later = {name for name in list_later_names() if name.startswith(f"{topic}`")}
    added = json.loads(ENCODED[topic]).keys() - RELEASED["store_records"][topic].keys()
    assert later == {f"{topic}` `{name}" for name in added}


@pytest.mark.parametrize(("topic", "name", "default"), read_store_rows())
def test_a_store_record_that_lacks_a_field_is_read_with_the_listed_default(topic, name, default):
    record = RELEASED["store_records"][topic]
    lacking = {key: value for key, value in record.items() if key != name}
    decode = DECODERS[topic]
    decoded = decode(json.dumps(lacking).encode())
    if default == "unread":
        assert decoded == UNREAD[topic]
        return
    assert decoded != UNREAD[topic]
    assert decoded == decode(json.dumps(lacking | {name: json.loads(default)}).encode())


@pytest.mark.parametrize("topic", DECODERS)
def test_a_store_record_of_the_last_release_or_with_unknown_fields_is_read(topic):
    record = RELEASED["store_records"][topic]
    for value in (record, record | UNKNOWN):
        assert DECODERS[topic](json.dumps(value).encode()) == STORE_RECORDS[topic]
    if topic in ENCODED:
        assert json.loads(ENCODED[topic]).keys() >= record.keys()


@pytest.mark.parametrize("length", range(10))
def test_a_row_of_an_account_may_be_shorter_or_longer(length):
    row = [100, 40, 5, 3, 2, 1.5, 20.0, 8, 9][:length]
    record = RELEASED["store_records"]["keyed.holdings"] | {"accounts": {"red": row}}
    decoded = decode_holding_record(json.dumps(record).encode())
    assert decoded is not None
    assert decoded.accounts == {"red": Account(*row[:8])}


@pytest.mark.parametrize("name", RELEASED_MESSAGES)
def test_a_message_of_the_last_release_gets_the_listed_defaults(name):
    plain = RELEASED_MESSAGES[name]
    levels = list_levels(decode_message(plain).unwrap().message, plain)
    added = {}
    for value, level in levels:
        for item in attrs.fields(type(value)):
            if item.name not in level:
                added[f"{type(value).__name__}.{item.name}"] = getattr(value, item.name)
            elif not list_levels(getattr(value, item.name), level[item.name]):
                assert getattr(value, item.name) == level[item.name]
    kinds = {type(value).__name__ for value, _ in levels}
    later = make_later_fields().items()
    assert added == {path: value for path, value in later if path.split(".")[0] in kinds}


def test_the_page_names_each_message_that_the_last_release_lacks():
    assert {name for name in list_later_names() if "." not in name} == set(MESSAGES) - set(
        RELEASED_MESSAGES
    )


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_with_unknown_fields_is_decoded_as_without_them(name):
    message = make_message(name)
    plain = unstructure(message)
    add_unknown_fields(message, plain)
    assert decode_message(plain).unwrap().message == message


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_that_lacks_a_field_is_decoded_only_if_the_field_has_a_default(name):
    message = make_message(name)
    for item in attrs.fields(type(message)):
        plain = unstructure(message)
        del plain[item.name]
        decoded = decode_message(plain)
        if item.default is attrs.NOTHING:
            assert decoded.is_err()
        else:
            assert decoded.unwrap().message == attrs.evolve(
                message, **{item.name: get_default(item)}
            )


@pytest.mark.parametrize("plain", RELEASED["ledger_records"], ids=lambda plain: plain["kind"])
def test_a_ledger_record_of_the_last_release_or_with_unknown_fields_is_read(plain):
    record = load_ledger_record(plain).unwrap()
    assert json.loads(json.dumps(dump_ledger_record(record))) == plain
    extended = json.loads(json.dumps(plain))
    add_unknown_fields(record, extended)
    assert load_ledger_record(extended).unwrap() == record
    for item in attrs.fields(type(record)):
        lacking = {key: value for key, value in plain.items() if key != item.name}
        if item.default is attrs.NOTHING:
            assert load_ledger_record(lacking).is_err()
        else:
            assert getattr(load_ledger_record(lacking).unwrap(), item.name) == get_default(item)


@pytest.mark.parametrize("plain", RELEASED["operator_records"], ids=lambda plain: plain["kind"])
def test_an_operator_record_is_accepted_with_unknown_fields_but_its_body_is_not_in_force(plain):
    envelope = load_envelope(plain).unwrap()
    assert dump_envelope(envelope) == plain
    body = load_body(envelope).unwrap()
    assert dump_body(envelope.kind, envelope.schema, body) == plain["body"]
    assert load_envelope(plain | UNKNOWN).unwrap() == envelope
    extended = load_envelope(plain | {"body": plain["body"] | UNKNOWN}).unwrap()
    assert load_body(extended).is_err()
    for item in attrs.fields(Envelope):
        assert load_envelope({key: plain[key] for key in plain if key != item.name}).is_err()
    for item in attrs.fields(type(body)):
        if item.name not in plain["body"]:
            continue
        rest = {key: value for key, value in plain["body"].items() if key != item.name}
        lacking = load_body(attrs.evolve(envelope, body=rest))
        if item.default is attrs.NOTHING:
            assert lacking.is_err()
        else:
            assert getattr(lacking.unwrap(), item.name) == get_default(item)


def load_and_dump_configuration(value: Any) -> Any:
    configuration, archived = Configuration(), Archive()
    decode_configuration(value, configuration, archived)()
    return dump_configuration(configuration, archived)


def test_a_snapshot_of_the_last_release_or_with_unknown_fields_is_read():
    states = RELEASED["snapshot_states"]
    for extended in (False, True):
        ledger, claims = (json.loads(json.dumps(states[name])) for name in ("ledger", "claims"))
        configuration = json.loads(json.dumps(states["configuration"]))
        if extended:
            add_unknown_fields(load_ledger(ledger), ledger)
            add_unknown_fields(load_claims(claims), claims)
            configuration.update(UNKNOWN)
            for item in configuration["records"] + configuration["decisions"]:
                item.update(UNKNOWN)
        assert json.loads(json.dumps(dump_ledger(load_ledger(ledger)))) == states["ledger"]
        assert json.loads(json.dumps(dump_claims(load_claims(claims)))) == states["claims"]
        dumped = json.loads(json.dumps(load_and_dump_configuration(configuration)))
        assert dumped == states["configuration"]


def test_the_pieces_of_a_snapshot_of_the_last_release_are_joined():
    pieces = [load_piece(item | UNKNOWN) for item in RELEASED["snapshot_pieces"]]
    known = [piece for piece in pieces if piece is not None]
    assert [dump_piece(piece) for piece in known] == RELEASED["snapshot_pieces"]
    snapshot = join_snapshot(known)
    assert snapshot is not None and snapshot.offset == 9
    assert snapshot.states == {
        name: RELEASED["snapshot_states"][name] for name in ("ledger", "claims")
    }


@pytest.fixture
def sessions_pair(monkeypatch):
    """Connect a client and a server session without sockets."""
    log: list[dict[str, Any]] = []
    monkeypatch.setattr(
        sessions, "log_event", lambda event, **fields: log.append(fields | {"event": event})
    )
    received: list[Packet] = []
    to_server: list[bytes] = []
    to_client: list[bytes] = []
    closed: list[str] = []

    server = open_server_session(
        b"secret",
        SessionHandlers(
            to_client.append, lambda: None, received.append, lambda: closed.append("server")
        ),
    )
    client = open_client_session(
        b"secret",
        "node-1",
        "10.0.0.1:1",
        SessionHandlers(
            to_server.append, lambda: None, received.append, lambda: closed.append("client")
        ),
    )

    def exchange() -> None:
        while to_server or to_client:
            if to_server:
                server.feed(to_server.pop(0))
            if to_client:
                client.feed(to_client.pop(0))

    exchange()
    return client, server, exchange, received, closed, log


@pytest.mark.parametrize("entries", [0, 2_000])
def test_a_message_of_an_unknown_type_costs_a_log_line_and_no_connection(
    sessions_pair, monkeypatch, entries
):
    client, server, exchange, received, closed, log = sessions_pair
    records = make_message("Records")
    records = attrs.evolve(records, entries=records.entries * entries)
    encode = sessions.encode_packet

    def encode_later(packet: Packet) -> bytes:
        data = encode(packet)
        return data.replace(b"lOfferRecords", b"lLaterRecords")

    monkeypatch.setattr(sessions, "encode_packet", encode_later)
    client.send(Packet(1, 0, OfferRecords("keyed.op", 0, 3, records)))
    client.send(Packet(2, 0, Ping()))
    exchange()
    server.send(Packet(3, 2, Pong("node-2/5")))
    exchange()
    assert received == [Packet(2, 0, Ping()), Packet(3, 2, Pong("node-2/5"))]
    assert not closed and client.open and server.open
    assert [line["event"] for line in log] == ["packet_malformed"]
    assert len(log[0]["reason"]) <= REASON_CHARACTERS_MAX


def test_a_message_of_many_malformed_parts_costs_a_short_log_line(sessions_pair, monkeypatch):
    client, _, exchange, received, closed, log = sessions_pair
    records = make_message("Records")
    records = attrs.evolve(records, entries=records.entries * 2_000)
    encode = sessions.encode_packet
    monkeypatch.setattr(
        sessions, "encode_packet", lambda packet: encode(packet).replace(b"foffset", b"fOffset")
    )
    client.send(Packet(1, 0, records))
    exchange()
    assert received == [] and not closed
    assert [line["event"] for line in log] == ["packet_malformed"]
    assert len(log[0]["reason"]) <= REASON_CHARACTERS_MAX


def test_a_ledger_record_of_many_malformed_parts_has_a_short_reason():
    (plain,) = (item for item in RELEASED["ledger_records"] if item["kind"] == "bill")
    result = load_ledger_record(plain | {"charges": [{}] * 2_000})
    assert len(result.unwrap_err()) <= REASON_CHARACTERS_MAX
