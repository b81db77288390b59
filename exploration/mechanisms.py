"""Take one mechanism out of the budget protocol, to show that the exploration misses it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from result import Ok

from bronzetiller.gateway import allocation_manager, allocations
from bronzetiller.gateway.allocations import Account, HoldingRecord, reclaim_accounts
from bronzetiller.gateway.holding_records import HoldingRecords
from standins.memory_store import MemoryStore

AllocationManager = allocation_manager.AllocationManager


def _ignore_growth(
    record: HoldingRecord, use_record: HoldingRecord | None, now: float
) -> dict[str, Account]:
    newest = record if use_record is None else use_record
    return {name: Account(item.committed, item.committed) for name, item in newest.accounts.items()}


def _ignore_use_record(
    record: HoldingRecord, use_record: HoldingRecord | None, now: float
) -> dict[str, Account]:
    return reclaim_accounts(record, None, now)


def _trust_clock(record: HoldingRecord, workspace: str, now: float) -> int:
    return record.accounts[workspace].bound_committed(max(0.0, now - record.reported_at))


def _ignore_others(allocation: allocations.Allocation, order: int, others: int) -> int:
    return _accept(allocation, order, 0)


def _append_unfenced(store: MemoryStore, partition: Any, key: str, value: Any, _: Any) -> Any:
    return _append(store, partition, key, value, None)


def _apply_newest_in_list_order(manager: Any, result: Any) -> None:
    if isinstance(result, Ok) and manager._initialized:
        manager._apply_batch(result.ok_value)
    else:
        _handle_newest(manager, result)


def _replace_newest(records: HoldingRecords, node_id: str, record: HoldingRecord) -> None:
    records._stored[node_id] = records.newest[node_id] = record


_accept = allocations.Allocation.accept
_append = MemoryStore.append
_handle_newest: Callable[..., None] = AllocationManager._handle_newest

_REPLACEMENTS: dict[str, tuple[Any, str, Any]] = {
    "unreported use counts as spent": (allocation_manager, "reclaim_accounts", _ignore_growth),
    "use records count as spent": (allocation_manager, "reclaim_accounts", _ignore_use_record),
    "a clock that went back reclaims nothing": (allocations, "_bound_spent", _trust_clock),
    "records of others limit an increase": (allocations.Allocation, "accept", _ignore_others),
    "a record without a response limits": (allocations.Reports, "list_pending", lambda _: []),
    "late appends are fenced off": (MemoryStore, "append", _append_unfenced),
    "newest records are applied as a whole": (
        AllocationManager,
        "_handle_newest",
        _apply_newest_in_list_order,
    ),
    "records outlast a restoration": (HoldingRecords, "apply", _replace_newest),
    "lost records are written again": (HoldingRecords, "take_vouched", lambda *_, **__: {}),
    "a lost last record counts all as spent": (HoldingRecords, "is_certain", lambda *_: True),
    "no increase until records are known": (HoldingRecords, "_start_settling", lambda *_: None),
    "a decrease that may be recorded holds": (
        allocations.Allocation,
        "abandon_proposal",
        allocations.Allocation.drop_proposal,
    ),
}
MECHANISMS = tuple(_REPLACEMENTS)


@contextmanager
def take_out(mechanism: str) -> Iterator[None]:
    """Run the protocol without the mechanism."""
    target, name, replacement = _REPLACEMENTS[mechanism]
    with patch.object(target, name, replacement):
        yield
