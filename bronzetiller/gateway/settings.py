"""Read and check the settings of a gateway node."""

from pathlib import Path

from attrs import field, frozen
from attrs.validators import ge, gt, le, matches_re, min_len, optional
from result import Result

from bronzetiller.documents import Problem
from bronzetiller.net.address import Address
from bronzetiller.settings_file import load_settings_file
from bronzetiller.sync.confirmation import ConfigurationBounds


@frozen
class GatewayListen:
    """Set the addresses that a node listens on, as ip:port."""

    callers: Address
    readiness: Address
    lookup: Address
    metrics: Address
    peers: Address


@frozen
class GatewayStore:
    """Set the address of the store."""

    address: Address


@frozen
class GatewayRetries:
    """Limit the retries of all nodes to a ratio of the requests plus an allowance per window."""

    ratio: float = field(validator=ge(0))
    allowance: float = field(validator=ge(0))
    window_seconds: float = field(validator=gt(0))


@frozen
class GatewayBudgets:
    """Set what counts against budgets.

    use_slack_held_share is the largest share of the held tokens that may be used in advance of a
    report for the expected use. With charge_undelivered a request that may have run is charged even
    if its caller got nothing of the response.
    """

    use_slack_held_share: float = field(default=1.0, validator=[ge(0), le(1)])
    charge_undelivered: bool = True


@frozen
class GatewayStop:
    """Limit a stop to grace_seconds; callers cache entry lookups for entry_seconds."""

    grace_seconds: float = field(validator=gt(0))
    entry_seconds: float = field(default=2.0, validator=gt(0))


@frozen
class GatewayCapacity:
    """Describe the VM: cores, their speed relative to a typical core, and link rate in Mbit/s.

    memory_mb and descriptors bound what callers may hold, if they are given.
    """

    cores: float = field(validator=gt(0))
    speed: float = field(validator=gt(0))
    link_mbps: float = field(validator=gt(0))
    memory_mb: int | None = field(default=None, validator=optional(ge(64)))
    descriptors: int | None = field(default=None, validator=optional(ge(256)))


@frozen
class GatewayColdTargets:
    """Limit the requests in any second to a cold target, over all nodes together.

    They are the rate that its service states times overage, plus slack.
    """

    overage: float = field(default=1.5, validator=ge(0))
    slack: float = field(default=5.0, validator=ge(0))


@frozen
class GatewaySettings:
    """Hold all settings of one gateway node."""

    node_id: str = field(validator=min_len(1))
    region: str = field(validator=min_len(1))
    data_centre: str = field(validator=min_len(1))
    data_centres: dict[str, str]
    listen: GatewayListen
    store: GatewayStore
    retries: GatewayRetries
    stop: GatewayStop
    capacity: GatewayCapacity
    fleet_secret: str = field(validator=min_len(16), repr=False)
    configuration: ConfigurationBounds = field(factory=ConfigurationBounds)
    cold_targets: GatewayColdTargets = field(factory=GatewayColdTargets)
    budgets: GatewayBudgets = field(factory=GatewayBudgets)
    seeds: list[Address] = field(factory=list)
    connections_max: int = field(default=3_000, validator=gt(0))
    log_lines_per_second: int = field(default=400, validator=gt(0))
    log_level: str = field(default="INFO", validator=matches_re("DEBUG|INFO|WARNING|ERROR"))


def load_gateway_settings(path: Path) -> Result[GatewaySettings, list[Problem]]:
    """Read settings from a YAML file; an error names the file, line and field."""
    return load_settings_file(path, GatewaySettings)
