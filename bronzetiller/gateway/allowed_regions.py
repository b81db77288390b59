"""Decide in which regions a request may be served; no I/O.

The operator states the regions of routes and of workspaces. Designed for a few regions and some
hundred routes; the rules are evaluated for each request and each lookup.
"""

from collections.abc import Collection, Iterable

from bronzetiller.gateway.configuration import (
    AllowedRegions,
    GatewayConfiguration,
    PathRoute,
    WorkspaceConfiguration,
)
from bronzetiller.gateway.members import Member


def choose_regions(route: PathRoute, workspace: WorkspaceConfiguration | None) -> AllowedRegions:
    """Return the regions that both a route and a workspace allow, or None for any region."""
    return _intersect([route.regions, None if workspace is None else workspace.regions])


def allows(allowed: AllowedRegions, region: str | None) -> bool:
    """Return whether a region is allowed; an unknown one is not, unless any region is."""
    return allowed is None or region in allowed


def choose_host_regions(configuration: GatewayConfiguration | None, host: str) -> AllowedRegions:
    """Return the regions that all routes of a host allow, or None for any region.

    A lookup names a host, but neither a path nor a workspace. No region is known to be allowed
    before the configuration is read.
    """
    if configuration is None:
        return frozenset()
    return _intersect(route.regions for route in configuration.list_routes(host))


def select_members(
    members: Collection[Member],
    allowed: AllowedRegions,
    caller_region: str | None,
    regions: dict[str, str],
) -> list[Member]:
    """Return the nodes in the caller's region or in allowed ones, or all nodes if there are none.

    The regions are given by data centre.
    """
    if allowed is None:
        return list(members)
    wanted = allowed if caller_region is None else allowed | {caller_region}
    selected = [item for item in members if allows(wanted, regions.get(item.data_centre))]
    return selected or list(members)


def _intersect(stated: Iterable[AllowedRegions]) -> AllowedRegions:
    limited = [item for item in stated if item is not None]
    return frozenset.intersection(*limited) if limited else None
