"""Call nodes and the log from an operator's machine.

Uses the blocking HTTP client of the standard library: a command makes only a few sequential calls,
for which the event loop of the nodes would only cost start time and memory.
"""

import http.client
import json
from enum import StrEnum
from typing import Any, TypeVar
from urllib.parse import quote

from attrs import evolve, field, frozen
from result import Err, Ok, Result

from bronzetiller.cli.connection import Access
from bronzetiller.configuration.fold import Decision
from bronzetiller.configuration.plan import PublishedItem
from bronzetiller.configuration.records import Envelope, dump_envelope
from bronzetiller.configuration.streams import CONFIGURATION_STREAM
from bronzetiller.net.address import Address
from bronzetiller.reports.budgets import BillReport, BudgetReport
from bronzetiller.reports.nodes import NodeStatus
from bronzetiller.reports.report import Report
from bronzetiller.structure import make_converter

CALL_TIMEOUT_SECONDS = 5.0
OFFSET_MAX = 10**15 - 1

T = TypeVar("T")

_CONVERTER = make_converter(forbid_extra_keys=False)


class Failure(StrEnum):
    """Distinguish refused calls from calls that were not sent or received no response."""

    REFUSED = "refused"
    NOT_SENT = "not sent"
    UNANSWERED = "unanswered"


@frozen
class CallError:
    """Describe why a call failed."""

    failure: Failure
    detail: str
    status: int = 0


@frozen
class FleetView:
    """Hold one node's report; nodes whose heartbeat it has not received were queried directly."""

    report: Report
    nodes: list[NodeStatus] = field(factory=list)


def query_nodes(access: Access, path: str, kind: type[T]) -> Result[T, CallError]:
    """Query the given nodes in turn until one responds; a refusal is a response."""
    error = CallError(Failure.NOT_SENT, "no node is given")
    for address in access.nodes:
        result = _query_node(access, address, path, kind)
        if isinstance(result, Ok) or result.err_value.failure is Failure.REFUSED:
            return result
        error = result.err_value
    return Err(error)


def read_items(access: Access) -> Result[list[PublishedItem], CallError]:
    """Return the newest accepted record of every kind and name."""
    return query_nodes(access, "/v1/configuration", list[PublishedItem])


def read_budget(access: Access, workspace: str) -> Result[BudgetReport, CallError]:
    """Return the budget of a workspace."""
    return query_nodes(access, f"/v1/budget?workspace={quote(workspace)}", BudgetReport)


def read_bills(access: Access, workspace: str, limit: int) -> Result[list[BillReport], CallError]:
    """Return the newest bills of a workspace."""
    path = f"/v1/bills?workspace={quote(workspace)}&limit={limit}"
    return query_nodes(access, path, list[BillReport])


def find_decision(access: Access, record_id: str) -> Decision | None:
    """Return the decision on a record from the first given node that has one, or None."""
    for address in access.nodes:
        path = f"/v1/decision?record_id={quote(record_id)}"
        result = _query_node(access, address, path, Decision)
        if isinstance(result, Ok):
            return result.ok_value
    return None


def view_fleet(access: Access, from_offset: int) -> Result[FleetView, CallError]:
    """Return one node's report and the state of every node in it."""
    match query_nodes(access, f"/v1/report?from={from_offset}", Report):
        case Err(error):
            return Err(error)
        case Ok(report):
            nodes = [_fetch_missing_status(access, node) for node in report.nodes]
            return Ok(FleetView(report, nodes))


def append_records(access: Access, records: list[Envelope]) -> Result[int, CallError]:
    """Append records to the log in one call; return the offset of the first one."""
    assert access.log is not None
    body = {"records": [dump_envelope(record) for record in records]}
    path = f"/v1/streams/{CONFIGURATION_STREAM}/records"
    result = _call(access.log, "POST", path, body, {})
    return result.map(lambda value: int(value["first_offset"]))


def _fetch_missing_status(access: Access, node: NodeStatus) -> NodeStatus:
    if node.heard or node.state != "live":
        return node
    result = _query_node(
        access, _parse_address(node.address), f"/v1/report?from={OFFSET_MAX}", Report
    )
    if isinstance(result, Err):
        return node
    own_status = [item for item in result.ok_value.nodes if item.node_id == node.node_id]
    if not own_status:
        return node
    # The node's own VM list may be older, so state and address come from the first report.
    return evolve(own_status[0], state=node.state, address=node.address)


def _parse_address(address: str) -> Address:
    ip, _, port = address.rpartition(":")
    return Address(ip, int(port))


def _query_node(access: Access, address: Address, path: str, kind: type[T]) -> Result[T, CallError]:
    headers = {"Authorization": f"Bearer {access.token}"} if access.token else {}
    match _call(address, "GET", path, None, headers):
        case Err(error):
            return Err(error)
        case Ok(value):
            pass
    try:
        return Ok(_CONVERTER.structure(value, kind))
    except Exception as error:  # cattrs raises exception groups of various types
        return Err(CallError(Failure.UNANSWERED, f"{address} sent a malformed response: {error}"))


def _call(
    address: Address, method: str, path: str, value: Any, headers: dict[str, str]
) -> Result[Any, CallError]:
    connection = http.client.HTTPConnection(address.ip, address.port, timeout=CALL_TIMEOUT_SECONDS)
    body = None if value is None else json.dumps(value).encode()
    if body is not None:
        headers = headers | {"Content-Type": "application/json"}
    try:
        connection.connect()
    except OSError as error:
        return Err(CallError(Failure.NOT_SENT, f"{address}: {error}"))
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        decoded = json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        detail = str(error) or type(error).__name__
        return Err(CallError(Failure.UNANSWERED, f"{address}: {detail}"))
    finally:
        connection.close()
    if response.status != 200:
        return Err(_decode_refusal(address, response.status, decoded))
    return Ok(decoded)


def _decode_refusal(address: Address, status: int, body: Any) -> CallError:
    detail = body.get("detail", body) if isinstance(body, dict) else body
    failure = Failure.UNANSWERED if status >= 500 else Failure.REFUSED
    return CallError(failure, f"{address}: {detail}", status)
