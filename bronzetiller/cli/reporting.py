"""Print reports, budgets and bills."""

from typing import TypeVar

from result import Err, Result

from bronzetiller.cli.client import CallError, FleetView, read_bills, read_budget, view_fleet
from bronzetiller.cli.connection import ConnectionOptions, make_access
from bronzetiller.cli.declaring import exit_with_call_error
from bronzetiller.cli.output import format_time, print_json, print_table
from bronzetiller.configuration.fold import Decision
from bronzetiller.reports.nodes import find_incompatible_nodes, find_lagging_nodes

T = TypeVar("T")
DECISIONS_SHOWN = 20


def show_report(options: ConnectionOptions, from_offset: int | None, *, as_json: bool) -> None:
    """Print the nodes, the decisions and the items whose newest record a node cannot read."""
    view = _unwrap_or_exit(view_fleet(make_access(options), from_offset or 0))
    if as_json:
        print_json(view)
        return
    _print_nodes(view)
    print()
    headings = ["offset", "kind", "name", "schema", "author", "verdict", "in force", "reason"]
    decisions = view.report.decisions
    if from_offset is None:
        decisions = decisions[-DECISIONS_SHOWN:]
    print_table(headings, [_format_decision(item, view) for item in decisions])
    for item in view.report.unread:
        print(
            f"{item.kind} {item.name}: offset {item.in_force_revision} stays in force on"
            f" {view.report.node_id}, because {item.note} (offset {item.revision})"
        )


def show_budget(options: ConnectionOptions, workspace: str, *, as_json: bool) -> None:
    """Print the budget of a workspace in tokens."""
    budget = _unwrap_or_exit(read_budget(make_access(options), workspace))
    if as_json:
        print_json(budget)
        return
    rows = [["credited", budget.credited], ["free", budget.free], ["held", budget.held]]
    rows += [[f"  by {node_id}", tokens] for node_id, tokens in budget.held_by_node.items()]
    print_table([workspace, "tokens"], [*rows, ["billed", budget.billed]])


def show_bills(options: ConnectionOptions, workspace: str, limit: int, *, as_json: bool) -> None:
    """Print the newest bills of a workspace."""
    bills = _unwrap_or_exit(read_bills(make_access(options), workspace, limit))
    if as_json:
        print_json(bills)
        return
    rows = [[format_time(bill.at), bill.request_id, bill.tokens, bill.node_id] for bill in bills]
    print_table(["time", "request", "tokens", "billed by"], rows)


def _print_nodes(view: FleetView) -> None:
    rows = []
    for node in view.nodes:
        offset = "unknown" if node.next_offset is None else node.next_offset
        state = "stopping" if node.stopping else node.state
        schemas = ",".join(map(str, node.schemas_understood))
        ready = "yes" if node.ready else "no"
        rows.append([node.node_id, node.data_centre, state, ready, offset, schemas])
    print_table(["node", "data centre", "state", "ready", "next offset", "schemas"], rows)


def _format_decision(decision: Decision, view: FleetView) -> list[object]:
    verdict = "accepted" if decision.accepted else "rejected"
    return [
        decision.offset,
        decision.kind,
        decision.name,
        decision.schema,
        decision.author,
        verdict,
        _describe_coverage(decision, view) if decision.accepted else "-",
        decision.reason,
    ]


def _describe_coverage(decision: Decision, view: FleetView) -> str:
    missing = find_lagging_nodes(view.nodes, decision.offset)
    missing += find_incompatible_nodes(view.nodes, decision.schema)
    if not missing:
        return "everywhere"
    return "not on " + ",".join(sorted({node.node_id for node in missing}))


def _unwrap_or_exit(result: Result[T, CallError]) -> T:
    if isinstance(result, Err):
        exit_with_call_error(result.err_value)
    return result.ok_value
