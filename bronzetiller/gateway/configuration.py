"""Hold the configuration in force: routes, services, workspaces and limits; pure."""

from attrs import field, frozen


@frozen
class WeightedBackend:
    """Send a share of a route's requests to a service."""

    service: str
    weight: int


@frozen
class PathRoute:
    """Describe a route; times are in seconds, priority 0 is the most urgent.

    target_seconds is the latency up to which an answer is on time; pause_seconds is the longest
    pause between the events of a stream that is.
    """

    name: str
    host: str
    path_prefix: str
    backends: tuple[WeightedBackend, ...]
    streamed: bool
    retryable: bool
    timeout_seconds: float
    latency_target_seconds: float
    event_gap_seconds: float
    attempts_max: int
    priority: int
    public: bool


@frozen
class ServiceConfiguration:
    """Describe a service; event_tokens is 0 where its targets are no model engines."""

    name: str
    tokens_per_event: int = 0


@frozen
class WorkspaceConfiguration:
    """Describe a workspace; prepaid_tokens is the total it may use, or none without a budget."""

    name: str
    priority: int | None
    prepaid_tokens: int | None


@frozen
class CallerLimits:
    """Bound what a caller may send, in bytes and seconds."""

    head_bytes_max: int = 16 * 1024
    body_bytes_max: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@frozen
class GatewayConfiguration:
    """Hold one version of the configuration; routes of a host are sorted longest prefix first."""

    version: int
    routes: dict[str, tuple[PathRoute, ...]]
    services: dict[str, ServiceConfiguration]
    workspaces: dict[str, WorkspaceConfiguration]
    keys: dict[str, WorkspaceConfiguration]
    limits: CallerLimits = field(factory=CallerLimits)

    @property
    def has_keys(self) -> bool:
        """Say whether callers have to show a key at all."""
        return bool(self.workspaces)

    def find_route(self, host: str, path: str) -> PathRoute | None:
        """Return the route with the longest prefix of the path."""
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self.routes.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def sort_routes(routes: list[PathRoute]) -> dict[str, tuple[PathRoute, ...]]:
    """Group routes by host, the longest prefix first."""
    grouped: dict[str, list[PathRoute]] = {}
    for route in routes:
        grouped.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(items, key=lambda item: len(item.path_prefix), reverse=True))
        for host, items in grouped.items()
    }


def choose_service(route: PathRoute, draw: float, available: set[str]) -> str | None:
    """Choose a service by weight with a draw from 0 to 1, among those that can be reached."""
    backends = [item for item in route.backends if item.weight > 0]
    reachable = [item for item in backends if item.service in available] or backends
    total = sum(item.weight for item in reachable)
    mark = draw * total
    for share in reachable:
        mark -= share.weight
        if mark < 0:
            return share.service
    return reachable[-1].service if reachable else None
