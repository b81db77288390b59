"""Define, load and validate the settings of a node."""

from pathlib import Path

from attrs import field, frozen
from attrs.validators import deep_iterable, ge, gt, in_, matches_re, min_len
from result import Result

from bronzetiller.configuration.records import DIGEST_PATTERN, SCHEMA_VERSIONS
from bronzetiller.documents import Problem
from bronzetiller.net.address import Address
from bronzetiller.net.caller_limits import MachineLimits
from bronzetiller.settings_file import load_settings_file

NODE_ID_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"


@frozen
class ListenSettings:
    """Set the addresses that a node listens on, as ip:port."""

    callers: Address
    peers: Address


@frozen
class PlatformSettings:
    """Set the addresses of the platform's services, as ip:port."""

    log: Address
    vm_list: Address


@frozen
class BudgetSettings:
    """Set when grants are requested and how large they are; safety does not depend on them."""

    shards: int = field(default=1, validator=ge(1))
    grant_tokens_min: int = field(default=2_000, validator=gt(0))
    grant_horizon_seconds: float = field(default=10.0, validator=gt(0))
    grant_cover_seconds: float = field(default=120.0, validator=gt(0))
    grant_share_max: float = field(default=0.25, validator=gt(0))
    wait_seconds: float = field(default=3.0, validator=gt(0))
    idle_return_seconds: float = field(default=20.0, validator=gt(0))
    region_reserve_tokens: int = field(default=10_000, validator=ge(0))
    region_reserve_share_max: float = field(default=0.02, validator=ge(0))
    append_interval_seconds: float = field(default=0.02, validator=ge(0))
    bill_copies: int = field(default=2, validator=ge(0))
    bill_copies_least: int = field(default=1, validator=ge(1))


@frozen
class FleetSettings:
    """Set how nodes monitor each other; seeds are peers to contact without a VM list."""

    ping_seconds: float = field(default=0.5, validator=gt(0))
    heartbeat_seconds: float = field(default=1.0, validator=gt(0))
    silence_seconds: float = field(default=2.0, validator=gt(0))
    gone_grace_seconds: float = field(default=10.0, validator=ge(0))
    near_peers_max: int = field(default=8, validator=ge(1))
    far_peers_max: int = field(default=3, validator=ge(1))
    links_max: int = field(default=20, validator=ge(2))
    ping_bytes_per_second_max: float = field(default=2_000.0, validator=gt(0))
    heartbeat_bytes_per_second_max: float = field(default=2_500.0, validator=gt(0))
    relay: bool = True
    relay_entries_max: int = field(default=4_000, validator=gt(0))
    relay_fallback_seconds: float = field(default=1.0, validator=gt(0))
    appends_per_second_max: float = field(default=300.0, validator=gt(0))
    direct_append_seconds_max: float = field(default=0.1, validator=gt(0))
    seeds: list[Address] = field(factory=list)


@frozen
class SnapshotSettings:
    """Set when snapshots are written to the log, long before it expires the records they cover."""

    records_max: int = field(default=5_000, validator=gt(0))
    age_seconds_max: float = field(default=3_600.0, validator=gt(0))
    rank_delay_seconds: float = field(default=3.0, validator=gt(0))


@frozen
class LimitSettings:
    """Limit connections, requests and the time that they may take."""

    body_bytes_max: int = field(default=4 * 1024 * 1024, validator=gt(0))
    head_bytes_max: int = field(default=32 * 1024, validator=ge(1024))
    receive_seconds: float = field(default=30.0, validator=gt(0))
    idle_seconds: float = field(default=120.0, validator=gt(0))
    stall_seconds: float = field(default=30.0, validator=gt(0))
    unsent_bytes_max: int = field(default=256 * 1024, validator=ge(16 * 1024))
    connections_max: int = field(default=10_000, validator=gt(0))
    requests_waiting_max: int = field(default=512, validator=gt(0))
    queue_seconds: float = field(default=10.0, validator=gt(0))
    request_seconds_max: float = field(default=300.0, validator=gt(0))
    entry_seconds: float = field(default=5.0, validator=gt(0))


@frozen
class RoutingSettings:
    """Set how requests are routed; link_seconds is the one-way latency between regions."""

    link_seconds: float = field(default=0.03, validator=ge(0))
    first_byte_seconds: float = field(default=10.0, validator=gt(0))
    load_interval_seconds: float = field(default=1.0, validator=gt(0))
    load_polls_per_second: float = field(default=10.0, validator=gt(0))


@frozen
class OperatorSettings:
    """Set who may read reports, by the SHA-256 digests (hex) of the operators' tokens."""

    token_digests: list[str] = field(
        factory=list, validator=deep_iterable(matches_re(DIGEST_PATTERN))
    )


@frozen
class ConfigurationSettings:
    """Set which schema versions of operator records this node supports."""

    schemas_understood: list[int] = field(
        factory=lambda: list(SCHEMA_VERSIONS), validator=deep_iterable(in_(SCHEMA_VERSIONS))
    )


@frozen
class RequestSettings:
    """Limit how long a request waits for its claim and its bill, and how often it is retried.

    A claim must be read back from the log within claim_seconds, and its request dispatched within
    dispatch_seconds; otherwise the request does not run. A caller waits up to claim_wait_seconds
    for the outcome of another attempt of the same request.
    """

    claim_seconds: float = field(default=3.0, validator=gt(0))
    dispatch_seconds: float = field(default=8.0, validator=gt(0))
    claim_wait_seconds: float = field(default=20.0, validator=gt(0))
    copy_after_seconds: float = field(default=0.3, validator=ge(0))
    confirm_seconds: float = field(default=20.0, validator=gt(0))
    retry_share_max: float = field(default=0.1, validator=ge(0))
    quarantine_seconds: float = field(default=600.0, validator=gt(0))


@frozen
class Settings:
    """Hold all settings of a node."""

    node_id: str = field(validator=matches_re(NODE_ID_PATTERN))
    region: str = field(validator=min_len(1))
    data_centre: str = field(validator=min_len(1))
    fleet_secret: str = field(validator=min_len(16), repr=False)
    listen: ListenSettings
    platform: PlatformSettings
    budgets: BudgetSettings = field(factory=BudgetSettings)
    fleet: FleetSettings = field(factory=FleetSettings)
    snapshots: SnapshotSettings = field(factory=SnapshotSettings)
    limits: LimitSettings = field(factory=LimitSettings)
    routing: RoutingSettings = field(factory=RoutingSettings)
    operators: OperatorSettings = field(factory=OperatorSettings)
    configuration: ConfigurationSettings = field(factory=ConfigurationSettings)
    requests: RequestSettings = field(factory=RequestSettings)
    capacity: MachineLimits = field(factory=MachineLimits)
    log_level: str = field(default="INFO", validator=matches_re("DEBUG|INFO|WARNING|ERROR"))


def load_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Load a YAML settings file; an error names the file, line and field."""
    return load_settings_file(path, Settings)
