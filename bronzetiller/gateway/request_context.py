"""Hold what the requests of a gateway node share."""

from collections.abc import Callable

from attrs import Factory, define, field

from bronzetiller.gateway.budgets import Budgets
from bronzetiller.gateway.crashes import CrashTracker
from bronzetiller.gateway.forwarding import PeerForwarder
from bronzetiller.gateway.permitted_targets import PermittedTargets
from bronzetiller.gateway.placement import Distances
from bronzetiller.gateway.reachability import Reachability
from bronzetiller.gateway.registered_starts import RegisteredStarts
from bronzetiller.gateway.retry_window import RetryWindow
from bronzetiller.gateway.selection import TargetSelection
from bronzetiller.gateway.stream_records import StreamRecords
from bronzetiller.gateway.target_admission import TargetAdmission
from bronzetiller.gateway.targets import TargetPool
from bronzetiller.net.buffer_quota import BufferQuota
from bronzetiller.net.http_client import HttpClient
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.routing.queues import RateMeter


@define
class RequestContext:
    """Hold the components and counters of the node that all requests share."""

    scheduler: Scheduler
    http: HttpClient
    pool: TargetPool
    budgets: Budgets
    distances: Distances
    find_retry_window: Callable[[str], RetryWindow]
    count_nodes: Callable[[], int]
    draw_uniform: Callable[[], float]
    crash_tracker: CrashTracker
    admission: TargetAdmission
    streams: StreamRecords
    reachability: Reachability
    forwarder: PeerForwarder
    starts: RegisteredStarts = field(factory=RegisteredStarts)
    permitted: PermittedTargets = Factory(
        lambda self: PermittedTargets(self.pool, self.distances.regions), takes_self=True
    )
    open_requests: int = 0
    arrival_rate: RateMeter = field(factory=RateMeter)
    forwarded_rate: RateMeter = field(factory=RateMeter)
    response_quota: BufferQuota = field(factory=BufferQuota)
    charge_undelivered: bool = True
    selection: TargetSelection = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.selection = TargetSelection(
            self.pool,
            self.permitted,
            self.admission,
            self.reachability,
            self.streams,
            self.starts,
        )
