"""Define the operator's configuration: routes, services, workspaces and limits; no I/O."""

import math

from attrs import field, frozen

from bronzetiller.gateway.requests import Prompt

AllowedRegions = frozenset[str] | None  # None: any region


@frozen
class WeightedBackend:
    """Name a service that gets requests of a route in proportion to its weight."""

    service: str
    weight: int


@frozen
class PathRoute:
    """Describe a route; times are in seconds, priority 0 is the most urgent.

    A response is on time if it arrives within latency_target_seconds, a stream if its events are at
    most event_gap_seconds apart. Its requests are served in the given regions only.
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
    regions: AllowedRegions = None


@frozen
class ServiceConfiguration:
    """Describe a service; tokens_per_event is 0 if its targets are not model engines.

    A target is cold for warm_up_seconds after its start, and then accepts warm_up_per_second
    requests per second from all nodes together; 0 if its targets are never cold.
    """

    name: str
    tokens_per_event: int = 0
    warm_up_seconds: float = 0.0
    warm_up_per_second: float = 0.0


@frozen
class WorkspaceConfiguration:
    """Describe a workspace; prepaid_tokens is its total budget, or None if it has none.

    Its requests are served in the given regions only.
    """

    name: str
    priority: int | None
    prepaid_tokens: int | None
    regions: AllowedRegions = None


@frozen
class CallerLimits:
    """Limit the size (bytes) and timing (seconds) of callers' requests."""

    head_bytes_max: int = 16 * 1024
    body_bytes_max: int = 4 * 1024 * 1024
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@frozen
class GatewayConfiguration:
    """Hold one version of the configuration; routes are by host, longest prefix first."""

    version: int
    routes: dict[str, tuple[PathRoute, ...]]
    services: dict[str, ServiceConfiguration]
    workspaces: dict[str, WorkspaceConfiguration]
    keys: dict[str, WorkspaceConfiguration]
    limits: CallerLimits = field(factory=CallerLimits)

    @property
    def has_keys(self) -> bool:
        """Return whether callers need an API key."""
        return bool(self.workspaces)

    @property
    def has_allowed_regions(self) -> bool:
        """Return whether any route or workspace is limited to regions."""
        stated = [route.regions for items in self.routes.values() for route in items]
        stated += [item.regions for item in (*self.workspaces.values(), *self.keys.values())]
        return any(item is not None for item in stated)

    def list_routes(self, host: str) -> tuple[PathRoute, ...]:
        """Return the routes of a host, which may have a port."""
        has_port = ":" in host and not host.endswith("]")  # an IPv6 literal has colons of its own
        hostname = host.rpartition(":")[0] if has_port else host
        return self.routes.get(hostname.lower(), ())

    def find_route(self, host: str, path: str) -> PathRoute | None:
        """Return the route with the longest matching path prefix."""
        for route in self.list_routes(host):
            if path.startswith(route.path_prefix):
                return route
        return None

    def count_tokens(self, service: str, prompt: Prompt, events: int) -> int:
        """Return the tokens of a prompt and of the events that were generated for it.

        A service without a configuration entry is assumed to send one token per event.
        """
        per_event = self._find_tokens_per_event(service)
        return prompt.tokens + min(prompt.answer_tokens_max, events * per_event)

    def is_too_long(self, service: str, prompt: Prompt, events: int) -> bool:
        """Return whether a stream has more events than its request allows, and one for the end."""
        per_event = max(1, self._find_tokens_per_event(service))
        events_max = math.ceil(prompt.answer_tokens_max / per_event)
        return events > events_max + 1

    def _find_tokens_per_event(self, service: str) -> int:
        configuration = self.services.get(service)
        return 1 if configuration is None else configuration.tokens_per_event


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
    """Choose a service by weight, preferably an available one; draw is random from 0 to 1."""
    backends = [item for item in route.backends if item.weight > 0]
    reachable = [item for item in backends if item.service in available] or backends
    total = sum(item.weight for item in reachable)
    remaining_weight = draw * total
    for backend in reachable:
        remaining_weight -= backend.weight
        if remaining_weight < 0:
            return backend.service
    return reachable[-1].service if reachable else None
