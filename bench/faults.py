"""Bring the brief's failures about while a load runs."""

import time
from collections.abc import Callable

from attrs import frozen

from bench.deployments import (
    TOKENS_PER_SHARE,
    Deployment,
    is_regional,
    make_callers,
    set_distances,
)
from standins.demo import await_ready
from standins.fleet import Fleet, call_json

VM_LIST_LAG_SECONDS = 2.0

Step = Callable[[Fleet, Deployment], None]


@frozen
class Moment:
    """Run a step once a share of the load's time is over."""

    share: float
    step: Step


def _cut_regions(fleet: Fleet, deployment: Deployment) -> None:
    fleet.set_fault(
        lambda source, destination: is_regional(fleet, deployment, source, destination), cut=True
    )


def _top_up(fleet: Fleet, deployment: Deployment) -> None:
    for caller in make_callers(deployment):
        tokens = int(caller.share * TOKENS_PER_SHARE * 0.1)
        body = {"workspace": caller.workspace, "tokens": tokens}
        fleet.publish("top-up", f"{caller.workspace}-{int(time.time() * 1000)}", body)


def _heal(fleet: Fleet, deployment: Deployment) -> None:
    set_distances(fleet, deployment)


def _unlist(fleet: Fleet, vm_id: str) -> None:
    time.sleep(VM_LIST_LAG_SECONDS)
    del fleet.vms[vm_id]
    fleet.publish_vms()


def _kill(vm_id: str) -> Step:
    def step(fleet: Fleet, deployment: Deployment) -> None:
        fleet.processes[vm_id].kill()
        _unlist(fleet, vm_id)

    return step


def _kill_first_engine(fleet: Fleet, deployment: Deployment) -> None:
    service = next(iter(deployment.services))
    _kill(f"{service}-0")(fleet, deployment)


def _freeze(fleet: Fleet, deployment: Deployment) -> None:
    fleet.processes["node-1"].freeze()


def _thaw(fleet: Fleet, deployment: Deployment) -> None:
    fleet.processes["node-1"].thaw()


def _set_log(**faults: object) -> Step:
    def step(fleet: Fleet, deployment: Deployment) -> None:
        call_json(fleet.log_address, "/control/faults", faults)

    return step


def _silence(fleet: Fleet, deployment: Deployment) -> None:
    fleet.set_fault(lambda source, destination: True, silent=True)
    set_distances(fleet, deployment)


def _replace(index: int) -> Step:
    def step(fleet: Fleet, deployment: Deployment) -> None:
        old = f"node-{index}"
        place = deployment.nodes[index]
        region = deployment.data_centres[place]
        settings = {"budgets": fleet.settings[old]["budgets"]}
        fleet.add_node(f"node-{index}-new", region, place, **settings)
        set_distances(fleet, deployment)
        await_ready(fleet, f"node-{index}-new")
        fleet.processes[old].stop()
        fleet.vms[old]["state"] = "leaving"
        fleet.publish_vms()

    return step


FAULTS: dict[str, list[Moment]] = {
    "none": [],
    "partition": [Moment(0.2, _cut_regions), Moment(0.45, _top_up), Moment(0.8, _heal)],
    "kill": [Moment(0.3, _kill("node-0")), Moment(0.5, _kill("node-5"))],
    "freeze": [Moment(0.3, _freeze), Moment(0.7, _thaw)],
    "outage": [Moment(0.3, _set_log(down=True)), Moment(0.6, _set_log())],
    "lost-answers": [Moment(0.2 + 0.1 * i, _set_log(drop_answers=3)) for i in range(5)],
    "silent": [Moment(0.3, _silence), Moment(0.6, _silence)],
    "engine-kill": [Moment(0.4, _kill_first_engine)],
    "rolling": [Moment(0.1 + 0.14 * i, _replace(i)) for i in range(6)],
}
