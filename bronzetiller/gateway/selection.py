"""Select the targets to which a request may be sent now, or tell when it may be; no I/O."""

import math
from collections.abc import Collection

from attrs import define, frozen

from bronzetiller.errors import Reason
from bronzetiller.gateway.configuration import AllowedRegions
from bronzetiller.gateway.permitted_targets import PermittedTargets
from bronzetiller.gateway.reachability import Reachability
from bronzetiller.gateway.registered_starts import RegisteredStarts
from bronzetiller.gateway.requests import Urgency
from bronzetiller.gateway.stream_records import StreamRecords
from bronzetiller.gateway.target_admission import TargetAdmission
from bronzetiller.gateway.targets import Target, TargetPool

OVERLOADED_RETRY_SECONDS = 0.4  # on average, if no target says when it accepts a request
SPREAD_SECONDS_MIN = 0.4
SPREAD_PORTION = 0.25


@frozen
class TargetCriteria:
    """Describe what a request needs: a service, a version if it goes on with a stream of one.

    Its targets are in the given regions, or anywhere.
    """

    service: str
    tried_target_ids: Collection[str]
    version: str | None
    is_resumable: bool
    regions: AllowedRegions = None
    urgency: Urgency | None = None


@define(eq=False)
class TargetSelection:
    """Combine what the targets of a service say of themselves with what this node observed."""

    _pool: TargetPool
    _permitted: PermittedTargets
    _admission: TargetAdmission
    _reachability: Reachability
    _streams: StreamRecords
    starts: RegisteredStarts

    def list_untried(self, criteria: TargetCriteria) -> list[Target]:
        """Return the targets that are not leaving and that the request was not sent to yet.

        A stream goes on only at targets whose version is certain.
        """
        return [
            target
            for target in self._permitted.list_targets(criteria.service, criteria.regions)
            if target.target_id not in criteria.tried_target_ids
            and criteria.version in (None, target.version)
            and (criteria.version is None or self.starts.is_certain(target))
        ]

    def list_usable(self, criteria: TargetCriteria, now: float) -> list[Target]:
        """Return the untried targets that accept a request of this node now, the warm ones if any.

        A stream that cannot be recorded begins at a target whose streams need no record. There are
        none while evacuations may exist that this node should know.
        """
        if not self._permitted.may_send():
            return []
        admission, urgency = self._admission, criteria.urgency
        admission.cold.record_demand(criteria.service, urgency, now)
        targets = [
            target
            for target in self._reachability.select(self.list_untried(criteria))
            if admission.find_free_at(target, now, urgency) <= now
        ]
        streams = self._streams
        if not criteria.is_resumable or streams.is_writable or criteria.version is not None:
            return admission.cold.prefer_warm(targets, urgency, now)
        base_targets = streams.list_base_targets(criteria.service)
        targets = [target for target in targets if target in base_targets] or targets
        return admission.cold.prefer_warm(targets, urgency, now)

    def prefer_untried_addresses(
        self, targets: list[Target], criteria: TargetCriteria, now: float
    ) -> list[Target]:
        """Return the targets at addresses that were not tried, or all if none of them has room.

        Another registration at an address may be of the same process, or share its connections.
        """
        if not criteria.tried_target_ids:
            return targets
        tried = [self._pool.targets.get(item) for item in criteria.tried_target_ids]
        addresses = {item.registration.address for item in tried if item is not None}
        others = [item for item in targets if item.registration.address not in addresses]
        return others if any(item.has_room(now) for item in others) else targets

    def explain_lack(
        self, criteria: TargetCriteria, now: float
    ) -> tuple[Reason, str, float | None]:
        """Return why no target accepts a request, and in how many seconds one does if known."""
        untried = self.list_untried(criteria)
        if not untried:
            detail = "the service has no available target"
            if criteria.version is not None:
                detail = f"no target of {criteria.version}, which began the stream, is available"
            return Reason.NO_TARGET, detail, None
        admission, urgency = self._admission, criteria.urgency
        free_at = min(admission.find_free_at(item, now, urgency) for item in untried)
        detail = "the targets of the service limit the fleet's requests, warm up, pause or are full"
        return Reason.OVERLOADED, detail, free_at - now if math.isfinite(free_at) else None


def compute_retry_after(earliest_seconds: float | None, draw: float) -> float:
    """Return after how many seconds a caller should retry, by a uniform draw from [0, 1).

    The callers come back spread over a time, and none of them before the earliest one.
    """
    if earliest_seconds is None or math.isinf(earliest_seconds):
        return round(OVERLOADED_RETRY_SECONDS * (0.6 + 0.8 * draw), 3)
    spread = max(SPREAD_SECONDS_MIN, SPREAD_PORTION * earliest_seconds)
    return round(earliest_seconds + draw * spread, 3)
