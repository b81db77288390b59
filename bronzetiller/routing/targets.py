"""Choose a target for an attempt."""

from random import Random

from attrs import define, field

from bronzetiller.platform.vm_list import Vm, VmList, VmState


@define
class TargetChooser:
    """Choose the less busy of two random targets, the own region first."""

    vm_list: VmList
    region: str
    outstanding: dict[str, int] = field(factory=dict)
    random: Random = field(factory=Random)

    def choose(self, service: str, excluded: set[str]) -> Vm | None:
        """Return a live target of the service, or nothing."""
        usable = [
            vm
            for vm in self.vm_list.find_service(service)
            if vm.state is VmState.LIVE and vm.vm_id not in excluded
        ]
        usable = [vm for vm in usable if vm.region == self.region] or usable
        if not usable:
            return None
        pair = self.random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda vm: self.outstanding.get(vm.vm_id, 0))

    def begin(self, vm: Vm) -> None:
        """Count an attempt in."""
        self.outstanding[vm.vm_id] = self.outstanding.get(vm.vm_id, 0) + 1

    def end(self, vm: Vm) -> None:
        """Count an attempt out."""
        self.outstanding[vm.vm_id] -= 1
        if not self.outstanding[vm.vm_id]:
            del self.outstanding[vm.vm_id]
