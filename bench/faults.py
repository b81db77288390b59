"""Inject faults into a fleet while a load runs."""

import time
from collections.abc import Callable

from attrs import frozen

from bench.deployments import (
    TOKENS_PER_SHARE,
    Deployment,
    crosses_regions,
    make_callers,
    reset_links,
)
from standins.demo import await_ready
from standins.fleet import Fleet, call_json

VM_LIST_LAG_SECONDS = 2.0  # how late the VM list drops a crashed VM

Step = Callable[[Fleet, Deployment], None]


@frozen
class ScheduledStep:
    """Run a step once the given fraction of the load's duration has passed."""

    time_fraction: float
    step: Step


def _partition_regions(fleet: Fleet, deployment: Deployment) -> None:
    fleet.set_fault(
        lambda source, destination: crosses_regions(fleet, deployment, source, destination),
        cut=True,
    )


def _publish_top_ups(fleet: Fleet, deployment: Deployment) -> None:
    for caller in make_callers(deployment):
        tokens = int(caller.share * TOKENS_PER_SHARE * 0.1)
        body = {"workspace": caller.workspace, "tokens": tokens}
        fleet.publish("top-up", f"{caller.workspace}-{int(time.time() * 1000)}", body)


def _clear_faults(fleet: Fleet, deployment: Deployment) -> None:
    reset_links(fleet, deployment)


def _remove_from_vm_list(fleet: Fleet, vm_id: str) -> None:
    time.sleep(VM_LIST_LAG_SECONDS)
    del fleet.vms[vm_id]
    fleet.publish_vms()


def _make_kill(vm_id: str) -> Step:
    def step(fleet: Fleet, deployment: Deployment) -> None:
        fleet.processes[vm_id].kill()
        _remove_from_vm_list(fleet, vm_id)

    return step


def _kill_first_target(fleet: Fleet, deployment: Deployment) -> None:
    service = next(iter(deployment.services))
    _make_kill(f"{service}-0")(fleet, deployment)


def _freeze(fleet: Fleet, deployment: Deployment) -> None:
    fleet.processes["node-1"].freeze()


def _thaw(fleet: Fleet, deployment: Deployment) -> None:
    fleet.processes["node-1"].thaw()


def _make_log_fault(**faults: object) -> Step:
    def step(fleet: Fleet, deployment: Deployment) -> None:
        call_json(fleet.log_address, "/control/faults", faults)

    return step


def _silence_open_connections(fleet: Fleet, deployment: Deployment) -> None:
    # Connections that are open now stay silent after the reset; new ones work.
    fleet.set_fault(lambda source, destination: True, silent=True)
    reset_links(fleet, deployment)


def _make_replacement(index: int) -> Step:
    def step(fleet: Fleet, deployment: Deployment) -> None:
        old_node_id = f"node-{index}"
        data_centre = deployment.nodes[index]
        region = deployment.data_centres[data_centre]
        settings = {"budgets": fleet.settings[old_node_id]["budgets"]}
        fleet.add_node(f"node-{index}-new", region, data_centre, **settings)
        reset_links(fleet, deployment)
        await_ready(fleet, f"node-{index}-new")
        fleet.processes[old_node_id].stop()
        fleet.vms[old_node_id]["state"] = "leaving"
        fleet.publish_vms()

    return step


FAULTS: dict[str, list[ScheduledStep]] = {
    "none": [],
    "partition": [
        ScheduledStep(0.2, _partition_regions),
        ScheduledStep(0.45, _publish_top_ups),
        ScheduledStep(0.8, _clear_faults),
    ],
    "kill": [ScheduledStep(0.3, _make_kill("node-0")), ScheduledStep(0.5, _make_kill("node-5"))],
    "freeze": [ScheduledStep(0.3, _freeze), ScheduledStep(0.7, _thaw)],
    "outage": [
        ScheduledStep(0.3, _make_log_fault(down=True)),
        ScheduledStep(0.6, _make_log_fault()),
    ],
    "lost-answers": [
        ScheduledStep(0.2 + 0.1 * i, _make_log_fault(drop_answers=3)) for i in range(5)
    ],
    "silent": [
        ScheduledStep(0.3, _silence_open_connections),
        ScheduledStep(0.6, _silence_open_connections),
    ],
    "engine-kill": [ScheduledStep(0.4, _kill_first_target)],
    "rolling": [ScheduledStep(0.1 + 0.14 * i, _make_replacement(i)) for i in range(6)],
}
