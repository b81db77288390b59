"""Measure how long a ledger snapshot blocks the event loop, and its size.

python -m bench.snapshots [--bills N ...]
"""

import argparse
import hashlib
import time

from bronzetiller.budgets.ledger import Ledger, dump_ledger, load_ledger
from bronzetiller.budgets.records import Bill, Charge, Credit, Grant
from bronzetiller.storage.snapshots import Fold, join_snapshot, split_snapshot

WORKSPACES = 100


def make_ledger(bills: int) -> Ledger:
    """Return a ledger that retains this many bills."""
    ledger = Ledger()
    for index in range(WORKSPACES):
        workspace = f"workspace-{index}"
        ledger.apply(0.0, Credit(f"credit-{index}", workspace, 10**9))
        ledger.apply(
            0.0, Grant(f"node-1/018c2f3a4b5c6/{index}", workspace, "node-1/018c2f3a4b5c6", 10**9)
        )
    for index in range(bills):
        workspace_index = index % WORKSPACES
        charges = [Charge(f"node-1/018c2f3a4b5c6/{workspace_index}", 100)]
        workspace = f"workspace-{workspace_index}"
        request_id = hashlib.sha256(str(index).encode()).hexdigest()[:32]
        bill = Bill(workspace, request_id, request_id[::-1], "node-1/018c2f3a4b5c6", 100, charges)
        ledger.apply(float(index), bill)
    return ledger


def measure(count: int) -> list[str]:
    """Write and load a snapshot of a ledger with this many bills; return the cells of a row."""
    ledger = make_ledger(count)
    fold = Fold("ledger", lambda: dump_ledger(ledger), lambda value: lambda: None)
    started_at = time.perf_counter()
    pieces = split_snapshot("ledger-0", 1, [fold])
    written_at = time.perf_counter()
    snapshot = join_snapshot(pieces)
    assert snapshot is not None
    load_ledger(snapshot.states["ledger"])
    loaded_at = time.perf_counter()
    size = sum(len(piece.data) for piece in pieces)
    times = [f"{written_at - started_at:.3f}", f"{loaded_at - written_at:.3f}"]
    return [str(len(ledger.bills)), *times, str(len(pieces)), str(size)]


def main() -> None:
    """Print a row for each number of bills."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--bills", type=int, nargs="*", default=[1_000, 10_000, 50_000])
    print("| bills remembered | write, s | load, s | pieces | bytes of text |")
    print("| --- | --- | --- | --- | --- |")
    for count in parser.parse_args().bills:
        print(f"| {' | '.join(measure(count))} |")


if __name__ == "__main__":
    main()
