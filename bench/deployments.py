"""Describe the two deployments that the benchmarks model, at their present sizes."""

from attrs import frozen

from bench.load import Caller, RequestKind
from standins.fleet import Fleet

REGION_DELAY_SECONDS = 0.030
DATA_CENTRE_DELAY_SECONDS = 0.001
REGION_BYTES_PER_SECOND = 15_000_000 / 8
WORKSPACE_SHARES = [10.0, 3.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]
TOKENS_PER_SHARE = 400_000


@frozen
class Deployment:
    """Describe one deployment; the platform is in the region of the first data centre."""

    name: str
    data_centres: dict[str, str]
    nodes: list[str]
    services: dict[str, list[str]]
    plain_services: set[str]
    routes: dict[str, dict[str, object]]
    works: list[RequestKind]
    requests_per_second: float
    budgets: dict[str, float | int]


COOPERATIVE = Deployment(
    name="cooperative",
    data_centres={"regina-1": "regina", "regina-2": "regina", "winnipeg-1": "winnipeg"},
    nodes=["regina-1", "regina-2", "winnipeg-1", "regina-1", "regina-2", "winnipeg-1"],
    services={
        "name-generation": ["regina-1", "regina-1", "regina-2", "winnipeg-1", "winnipeg-1"],
        "studio-workflow": ["regina-1", "regina-2", "winnipeg-1"],
    },
    plain_services={"studio-workflow"},
    routes={
        "namer": {"service": "name-generation"},
        "approvals": {
            "service": "studio-workflow",
            "protocol": "plain",
            "idempotent": False,
            "call_tokens": 5,
        },
    },
    works=[
        RequestKind("shortlist", "/v1/chat/completions", 0.4, "namer", 2_000, 40),
        RequestKind("score", "/v1/chat/completions", 0.3, "namer", 600, 10),
        RequestKind("phonetics", "/v1/chat/completions", 0.2, "namer", 120, 4),
        RequestKind("approval", "/services/approvals/approve", 0.1),
    ],
    requests_per_second=20.0,
    budgets={"idle_return_seconds": 20.0},
)

COUNCIL = Deployment(
    name="council",
    data_centres={"teifi-1": "teifi", "teifi-2": "teifi", "tywi-1": "tywi"},
    nodes=["teifi-1", "teifi-2", "tywi-1", "teifi-1", "teifi-2", "tywi-1"],
    services={
        "quotes": ["teifi-1"] * 4 + ["teifi-2"] * 3 + ["tywi-1"] * 3,
        "ordering": ["teifi-1", "teifi-2", "tywi-1"],
    },
    plain_services={"ordering"},
    routes={
        "namer": {"service": "quotes"},
        "orders": {
            "service": "ordering",
            "protocol": "plain",
            "idempotent": False,
            "call_tokens": 5,
        },
        "status": {"service": "ordering", "protocol": "plain", "call_tokens": 1},
    },
    works=[
        RequestKind("quote", "/v1/chat/completions", 0.3, "namer", 800, 30),
        RequestKind("fitting", "/v1/chat/completions", 0.2, "namer", 300, 15),
        RequestKind("summary", "/v1/chat/completions", 0.1, "namer", 4_000, 60),
        RequestKind("order", "/services/orders/place", 0.1),
        RequestKind("status", "/services/status/lookup", 0.3),
    ],
    requests_per_second=20.0,
    budgets={"idle_return_seconds": 40.0, "grant_cover_seconds": 300.0},
)

DEPLOYMENTS = {item.name: item for item in (COOPERATIVE, COUNCIL)}


def make_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"key-of-{workspace}"


def make_callers(deployment: Deployment) -> list[Caller]:
    """Return one caller for each workspace."""
    names = [f"{deployment.name}-{index}" for index in range(len(WORKSPACE_SHARES))]
    return [
        Caller(name, make_key(name), share)
        for name, share in zip(names, WORKSPACE_SHARES, strict=True)
    ]


def start_deployment(
    deployment: Deployment, *, fill: float, settings: dict[str, dict[str, object]]
) -> Fleet:
    """Start a deployment on stand-ins; fill scales the typical token budgets."""
    fleet = Fleet(with_links=True)
    fleet.start_platform()
    for service, target_data_centres in deployment.services.items():
        for index, data_centre in enumerate(target_data_centres):
            module = ["standins.service"] if service in deployment.plain_services else []
            region = deployment.data_centres[data_centre]
            fleet.add_target(f"{service}-{index}", service, region, data_centre, *module)
    budgets = {**deployment.budgets, **settings.get("budgets", {})}
    for index, data_centre in enumerate(deployment.nodes):
        region = deployment.data_centres[data_centre]
        options = {**settings, "budgets": budgets}
        fleet.add_node(f"node-{index}", region, data_centre, **options)
    for caller in make_callers(deployment):
        tokens = int(caller.share * TOKENS_PER_SHARE * fill)
        fleet.publish_workspace(caller.workspace, caller.key, tokens)
    for name, route in deployment.routes.items():
        fleet.publish("route", name, route)
    return fleet


def reset_links(fleet: Fleet, deployment: Deployment) -> None:
    """Clear all faults; set the typical delays and the bandwidth between regions."""
    fleet.heal()
    fleet.set_fault(lambda source, destination: True, delay_seconds=DATA_CENTRE_DELAY_SECONDS)
    fleet.set_fault(
        lambda source, destination: crosses_regions(fleet, deployment, source, destination),
        delay_seconds=REGION_DELAY_SECONDS,
        bytes_per_second=REGION_BYTES_PER_SECOND,
        group="region",
    )


def crosses_regions(fleet: Fleet, deployment: Deployment, source: str, destination: str) -> bool:
    """Return True if a link joins two regions; the platform is in the first one."""
    platform_region = next(iter(deployment.data_centres.values()))

    def find_region(name: str) -> str:
        return deployment.data_centres.get(fleet.locations.get(name, name), platform_region)

    return find_region(source) != find_region(destination)
