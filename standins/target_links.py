"""Place a link that can be cut between some gateway nodes and each target of a stand-in fleet."""

import json
import socket

from attrs import define, field

from standins.gateway_fleet import GatewayFleet

# How connections behave while a node is cut off from all targets.
CUTS = {
    "refused": {"cut": True, "refuse": True},
    "reset": {"cut": True},
    "silent": {"drop_requests": True, "drop_answers": True},
    "new_refused": {"refuse": True},
}


@define(eq=False)
class TargetLinks:
    """Hold the links of some nodes; each reads the targets from a view of its own of the store."""

    fleet: GatewayFleet
    _links: dict[str, dict[str, str]] = field(factory=dict)
    _control: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        address = self.fleet.start_helper("proxy", ["standins.proxy"])["address"]
        ip, _, port = address.rpartition(":")
        self._control = socket.create_connection((ip, int(port)))

    def start_node(self, node_id: str, data_centre: str = "regina-a") -> None:
        """Start a node that reaches all targets started so far through links of its own."""
        self._links[node_id] = {}
        self.fleet.start_node(node_id, data_centre, self.add_targets(node_id))

    def add_targets(self, node_id: str) -> str:
        """Add links to the targets that have none yet; return the node's address of the store."""
        links = self._links[node_id]
        replacements = {}
        for target_id, process in self.fleet.processes.items():
            if process.ready["kind"] == "path_engine" and target_id not in links:
                links[target_id] = f"{node_id}>{target_id}"
                upstream = process.ready["address"]
                added = self._execute({"add": links[target_id], "upstream": upstream})
                replacements[upstream] = added["address"]
        return self.fleet.add_store_view(node_id, replacements)

    def add_peer(self, node_id: str, peer_id: str) -> None:
        """Place links in front of a node; another one learns of them with its next heartbeat."""
        replacements = {}
        for kind in ("callers", "peers"):
            name, upstream = f"{node_id}>{peer_id}/{kind}", self.fleet.address(peer_id, kind)
            self._links[node_id][f"{peer_id}/{kind}"] = name
            replacements[upstream] = self._execute({"add": name, "upstream": upstream})["address"]
        self.fleet.add_store_view(node_id, replacements)

    def cut(self, *node_ids: str, how: str) -> None:
        """Cut nodes off from all targets, and from the nodes that they have links to."""
        self._set_fault(self._list_links(node_ids), CUTS[how])

    def cut_from(self, node_id: str, *others: str, how: str) -> None:
        """Cut a node off from some targets and nodes, given by id."""
        links = self._links[node_id]
        names = [links[item] for item in links if item.partition("/")[0] in others]
        self._set_fault(names, CUTS[how])

    def heal(self, *node_ids: str) -> None:
        """Restore the links of nodes."""
        self._set_fault(self._list_links(node_ids), {})

    def close(self) -> None:
        """Close the connection to the proxy."""
        self._control.close()

    def _list_links(self, node_ids: tuple[str, ...]) -> list[str]:
        return [name for node_id in node_ids for name in self._links[node_id].values()]

    def _set_fault(self, names: list[str], fault: dict[str, bool]) -> None:
        self._execute({"links": names, "fault": fault})

    def _execute(self, command: dict[str, object]) -> dict[str, str]:
        self._control.sendall(json.dumps(command).encode() + b"\n")
        answer = b""
        while not answer.endswith(b"\n"):
            answer += self._control.recv(65536)
        return dict(json.loads(answer))
