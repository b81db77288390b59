"""Start gateway nodes with settings like those of a small deployment."""

import json
import socket
from pathlib import Path
from string import Template

from attrs import define, field

from standins.gateway_fleet import REGIONS, GatewayFleet

LISTENERS = ("callers", "readiness", "lookup", "metrics", "peers")
SEEDS_MAX = 3
SETTINGS = Template("""\
node_id: $node
region: $region
data_centre: $zone
data_centres: $zones
listen: $listen
fleet_secret: "the secret of a review's fleet"
seeds: $seeds
store:
  address: $store
capacity:
  cores: 0.537
  speed: 2
  link_mbps: 1000.0
retries:
  ratio: 0.2
  allowance: 52
  window_seconds: 10
stop:
  grace_seconds: 8
""")


@define(eq=False)
class Nodes:
    """Start nodes, each on a loopback address of its own, which it keeps over restarts."""

    fleet: GatewayFleet
    _listens: dict[str, dict[str, str]] = field(factory=dict)

    def start(self, node: str, zone: str, store: str | None = None) -> None:
        """Start a node with the command of the deploy file; store is an address in front of it."""
        listen = self._listens[node] = choose_addresses(len(self._listens) + 1)
        seeds = [item["peers"] for item in self._listens.values()][:SEEDS_MAX]
        path = self.fleet.folder / f"{node}.yaml"
        text = SETTINGS.substitute(
            node=json.dumps(node),
            region=json.dumps(REGIONS[zone]),
            zone=json.dumps(zone),
            zones=json.dumps(REGIONS),
            listen=json.dumps(listen),
            seeds=json.dumps(seeds),
            store=json.dumps(store or self.fleet.store_address),
        )
        Path(path).write_text(text)
        self.fleet.start_helper(node, ["bronzetiller.gateway", str(path)])


def choose_addresses(number: int) -> dict[str, str]:
    """Return free addresses for the listeners of a node; no other process connects from its IP."""
    ip = f"127.0.1.{number}"
    sockets = {name: socket.create_server((ip, 0)) for name in LISTENERS}
    addresses = {name: f"{ip}:{item.getsockname()[1]}" for name, item in sockets.items()}
    for item in sockets.values():
        item.close()
    return addresses
