"""List the targets of a service that the operator's rules permit for a request; no I/O."""

from collections.abc import Callable, Collection, Mapping

from attrs import define, field

from bronzetiller.gateway.allowed_regions import allows
from bronzetiller.gateway.configuration import AllowedRegions
from bronzetiller.gateway.evacuations import Evacuations
from bronzetiller.gateway.targets import Target, TargetPool


@define(eq=False)
class PermittedTargets:
    """Apply allowed regions and evacuations; regions are given by data centre.

    may_send returns whether the evacuations that this node knows are recent enough to send by.
    """

    _pool: TargetPool
    _regions: Mapping[str, str] = field(factory=dict)
    _evacuations: Evacuations = field(factory=Evacuations)
    may_send: Callable[[], bool] = lambda: True

    def list_targets(self, service: str, allowed: AllowedRegions = None) -> list[Target]:
        """Return the targets of a service that a request for the allowed regions may use."""
        targets = self._pool.list_targets(service)
        if allowed is None and not self._evacuations.since:
            return targets
        return [item for item in targets if self._permits(item, allowed)]

    def _permits(self, target: Target, allowed: AllowedRegions) -> bool:
        if self._evacuations.is_evacuated(target.registration.data_centre):
            return False
        return allows(allowed, self.find_region(target))

    def list_all(self, services: Collection[str], allowed: AllowedRegions = None) -> list[Target]:
        """Return the permitted targets of several services."""
        return [item for name in services for item in self.list_targets(name, allowed)]

    def list_services(self, allowed: AllowedRegions = None) -> set[str]:
        """Return the services that have at least one permitted target."""
        return {name for name in self._pool.list_services() if self._has_targets(name, allowed)}

    def _has_targets(self, service: str, allowed: AllowedRegions) -> bool:
        """Return whether a service has a permitted target, at the first one that is found."""
        targets = self._pool.list_targets(service)
        if allowed is None and not self._evacuations.since:
            return bool(targets)
        return any(self._permits(item, allowed) for item in targets)

    def list_regions(self, service: str) -> set[str]:
        """Return the regions in which a service has permitted targets."""
        regions = {self.find_region(item) for item in self.list_targets(service)}
        return {item for item in regions if item is not None}

    def find_region(self, target: Target) -> str | None:
        """Return the region of a target, or None if that of its data centre is not known."""
        return self._regions.get(target.registration.data_centre)

    def explain_lack(self, services: Collection[str], allowed: AllowedRegions) -> str | None:
        """Return why none of the targets of the services is permitted, or None if one is."""
        if not self.may_send():
            return "it is not confirmed which data centres are evacuated"
        if any(self._has_targets(name, allowed) for name in services):
            return None
        targets = [item for name in services for item in self._pool.list_targets(name)]
        if not targets:
            return None
        regions = "" if allowed is None else f" in {', '.join(sorted(allowed)) or 'no region'}"
        evacuated = sorted(
            self._evacuations.since.keys() & {item.registration.data_centre for item in targets}
        )
        causes = [f"requests are allowed only{regions}"] if regions else []
        causes += [f"evacuated: {', '.join(evacuated)}"] if evacuated else []
        return f"no target may be used; {'; '.join(causes)}"
