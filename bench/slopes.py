"""Measure the costs per item from which docs/CAPACITY.md computes the capacity.

python -m bench.slopes [--json PATH]

Each slope is fitted to two sizes and checked against a third between them; the error of that check
shows whether the cost is linear.
"""

import argparse
import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from attrs import asdict, frozen
from result import Ok

from bronzetiller.budgets.ledger import Ledger
from bronzetiller.budgets.records import (
    Bill,
    Charge,
    Claim,
    Credit,
    Grant,
    LedgerRecord,
    Outcome,
    Return,
    dump_ledger_record,
    load_ledger_record,
)
from bronzetiller.configuration.fold import Configuration
from bronzetiller.configuration.records import Envelope, dump_envelope
from bronzetiller.errors import Ran
from bronzetiller.fleet.vm_list import decode_vms
from bronzetiller.requests.claims import Claims
from bronzetiller.wire.codec import decode_packet, encode_packet
from bronzetiller.wire.messages import Heartbeat, KeepBill, Message, Packet

REPEATS = 5


@frozen
class Slope:
    """Hold one slope in units per item, and the error of the line at a third size (%)."""

    name: str
    unit: str
    per_item: float
    fixed: float
    check_percent: float


Measure = Callable[[int], float]


def fit_slope(name: str, unit: str, measure: Measure, small: int, large: int) -> Slope:
    """Fit a line to two sizes and compare it with the measurement halfway between them."""
    middle = (small + large) // 2
    low, high, checked = measure(small), measure(large), measure(middle)
    per_item = (high - low) / (large - small)
    fixed = low - per_item * small
    expected = fixed + per_item * middle
    error = 100.0 * abs(checked - expected) / expected if expected else 0.0
    return Slope(name, unit, per_item, fixed, round(error, 1))


def measure_cpu_microseconds(prepare: Callable[[int], Callable[[], None]]) -> Measure:
    """Return a measure of the least CPU time (microseconds) of the work in REPEATS runs."""

    def measure(size: int) -> float:
        best = float("inf")
        for _ in range(REPEATS):
            work = prepare(size)
            gc.collect()
            gc.disable()
            started = time.process_time()
            work()
            best = min(best, time.process_time() - started)
            gc.enable()
        return best * 1e6

    return measure


def measure_memory(build: Callable[[int], object]) -> Measure:
    """Return a measure of the bytes of memory that the built state holds."""

    def measure(size: int) -> float:
        gc.collect()
        tracemalloc.start()
        state = build(size)
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del state
        return float(used)

    return measure


def make_records(count: int) -> list[LedgerRecord]:
    """Return ledger records: a credit and a grant for each of 100 workspaces, and bills."""
    records: list[LedgerRecord] = []
    for index in range(count):
        workspace = f"workspace-{index % 100}"
        if index < 100:
            records.append(Credit(f"credit-{index}", workspace, 10**12))
            records.append(Grant(f"node-1/aaaaaaaaaaaa/{index}", workspace, "node-1/aa", 10**9))
        records.append(make_bill(index))
    return records


def make_bill(index: int) -> Bill:
    """Return the bill of one request."""
    charge = Charge(f"node-1/aaaaaaaaaaaa/{index % 100}", 200)
    request_id = f"{index:032x}"
    return Bill(f"workspace-{index % 100}", request_id, f"{index:032x}", "node-1/aa", 200, [charge])


def prepare_ledger_fold(count: int) -> Callable[[], None]:
    """Return the work of decoding and folding ledger records."""
    values = [dump_ledger_record(record) for record in make_records(count)]
    texts = [json.dumps(value) for value in values]

    def work() -> None:
        ledger = Ledger()
        for text in texts:
            loaded = load_ledger_record(json.loads(text))
            assert isinstance(loaded, Ok)
            ledger.apply(0.0, loaded.ok_value)

    return work


def build_bills(count: int) -> object:
    """Return a ledger that retains this many bills."""
    ledger = Ledger()
    for record in make_records(count):
        ledger.apply(0.0, record)
    return ledger


def build_budgets(count: int) -> object:
    """Return a ledger of this many budgets, each with one grant."""
    ledger = Ledger()
    for index in range(count):
        ledger.apply(0.0, Credit(f"credit-{index}", f"workspace-{index}", 10**9))
        ledger.apply(0.0, Grant(f"node-1/a/{index}", f"workspace-{index}", "node-1/a", 1000))
    return ledger


def build_grants(count: int) -> object:
    """Return a ledger of one budget with this many grants, each one returned."""
    ledger = Ledger()
    ledger.apply(0.0, Credit("credit", "workspace", 10**9))
    for index in range(count):
        ledger.apply(0.0, Grant(f"node-1/a/{index}", "workspace", "node-1/a", 1000))
        ledger.apply(0.0, Return(f"return-{index}", "workspace", f"node-1/a/{index}", 1000))
    return ledger


def build_claims(count: int) -> object:
    """Return claims of this many requests, each settled with a retained response of 200 bytes."""
    claims = Claims()
    for index in range(count):
        request_id, attempt_id = f"{index:032x}", f"{index:032x}"
        claims.apply(0.0, Claim("workspace", request_id, request_id, "node-1/a", attempt_id))
        outcome = Outcome("workspace", request_id, attempt_id, Ran.YES, 200, "", "x" * 200)
        claims.apply(0.0, outcome)
    return claims


def make_vm(index: int) -> dict[str, str]:
    """Return one VM in the format of the platform's VM list."""
    return {
        "vm_id": f"engine-{index}",
        "address": f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:8000",
        "region": "region-1",
        "data_centre": "region-1-a",
        "role": "target",
        "state": "live",
        "service": "service-1",
    }


def build_vms(count: int) -> object:
    """Return a VM list of this size as a node holds it in memory."""
    return decode_vms(json.dumps({"vms": [make_vm(index) for index in range(count)]}).encode())


def make_route(index: int) -> dict[str, object]:
    """Return the record of one route."""
    body = {"service": f"service-{index % 16}"}
    envelope = Envelope(f"{index:032x}", 1, "route", f"route-{index}", -1, "operator", body)
    return dump_envelope(envelope)


def prepare_configuration_fold(count: int) -> Callable[[], None]:
    """Return the work of folding configuration records."""
    values = [make_route(index) for index in range(count)]

    def work() -> None:
        configuration = Configuration()
        for offset, value in enumerate(values):
            configuration.apply(offset, value)

    return work


def build_configuration(count: int) -> object:
    """Return a configuration of this many records."""
    configuration = Configuration()
    for offset in range(count):
        configuration.apply(offset, make_route(offset))
    return configuration


def make_heartbeat() -> Heartbeat:
    """Return a heartbeat of a node that follows a few streams."""
    offsets = {"configuration": 123456, "ledger-0": 9_876_543, "ledger-7": 9_876_543}
    return Heartbeat(
        "node-1", "node-1/aaaaaaaaaaaa", "west", "west-1", "10.0.0.1:80", False, offsets
    )


def prepare_messages(make: Callable[[int], Message]) -> Callable[[int], Callable[[], None]]:
    """Return a function that prepares the work of encoding and decoding messages."""

    def prepare(count: int) -> Callable[[], None]:
        messages = [make(index) for index in range(count)]

        def work() -> None:
            for index, message in enumerate(messages):
                decode_packet(encode_packet(Packet(index, 0, message)))

        return work

    return prepare


def measure_encoded_bytes(make: Callable[[int], bytes]) -> Measure:
    """Return a measure of the total size of encoded items."""
    return lambda count: float(sum(len(make(index)) for index in range(count)))


def measure_slopes() -> list[Slope]:
    """Measure every slope."""

    def encode_record(index: int) -> bytes:
        return json.dumps(dump_ledger_record(make_bill(index)), separators=(",", ":")).encode()

    def encode_vm(index: int) -> bytes:
        return json.dumps(make_vm(index)).encode()

    def encode_heartbeat(index: int) -> bytes:
        return encode_packet(Packet(index, 0, make_heartbeat()))

    ledger = measure_cpu_microseconds(prepare_ledger_fold)
    configuration = measure_cpu_microseconds(prepare_configuration_fold)
    heartbeat = measure_cpu_microseconds(prepare_messages(lambda index: make_heartbeat()))
    bill_replica = measure_cpu_microseconds(
        prepare_messages(lambda index: KeepBill(make_bill(index), "ledger-0"))
    )
    return [
        fit_slope("ledger record folded", "us", ledger, 2_000, 10_000),
        fit_slope("bill in the log", "bytes", measure_encoded_bytes(encode_record), 1_000, 4_000),
        fit_slope("bill remembered", "bytes", measure_memory(build_bills), 2_000, 10_000),
        fit_slope("budget with one grant", "bytes", measure_memory(build_budgets), 500, 4_000),
        fit_slope("grant opened and returned", "bytes", measure_memory(build_grants), 500, 4_000),
        fit_slope("claim with its outcome", "bytes", measure_memory(build_claims), 500, 4_000),
        fit_slope("VM in the list", "bytes", measure_memory(build_vms), 300, 3_000),
        fit_slope("VM on the wire", "bytes", measure_encoded_bytes(encode_vm), 300, 3_000),
        fit_slope("configuration record folded", "us", configuration, 500, 4_000),
        fit_slope("configuration record", "bytes", measure_memory(build_configuration), 500, 4_000),
        fit_slope("heartbeat encoded and decoded", "us", heartbeat, 500, 4_000),
        fit_slope(
            "heartbeat on the wire", "bytes", measure_encoded_bytes(encode_heartbeat), 500, 4_000
        ),
        fit_slope("bill copy encoded and decoded", "us", bill_replica, 500, 4_000),
    ]


def main() -> None:
    """Measure every slope and print them as a Markdown table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    slopes = measure_slopes()
    print("| slope | per item | fixed | off the line at the middle size |")
    print("|---|---|---|---|")
    for slope in slopes:
        per_item = f"{slope.per_item:.1f} {slope.unit}"
        print(f"| {slope.name} | {per_item} | {slope.fixed:.0f} | {slope.check_percent} % |")
    if arguments.json is not None:
        arguments.json.write_text(json.dumps([asdict(slope) for slope in slopes], indent=1))


if __name__ == "__main__":
    main()
