"""Test that nodes shut down without interrupting requests."""

import http.client
import json
import threading
import time
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzetiller.fleet.drain import Phase, compute_phase
from bronzetiller.fleet.entry_lookup import EntryLookupView, list_entry_addresses
from bronzetiller.fleet.vm_list import Vm, VmRole, VmState
from bronzetiller.net.dialer import Address
from bronzetiller.wire.messages import Heartbeat
from standins.engine import make_words
from standins.fleet import call_json
from tests.conftest import KEY, await_ready, await_true, read_records

ENTRY_SECONDS = 1.0
SILENCE_SECONDS = 1.0
SETTINGS = {
    "limits": {"entry_seconds": ENTRY_SECONDS},
    "fleet": {"silence_seconds": SILENCE_SECONDS, "ping_seconds": 0.2},
}

TIMES = st.floats(0, 100)


@given(TIMES, TIMES, TIMES, st.booleans())
@settings(derandomize=True)
def test_nothing_is_refused_or_ended_before_the_callers_deadlines(now, refuse_at, extra, idle):
    end_at = refuse_at + extra
    phase = compute_phase(now, refuse_at, end_at, idle=idle)
    assert (phase is Phase.LEAVING) == (now < refuse_at)
    assert (phase is Phase.OVER) == (now >= end_at or (now >= refuse_at and idle))


LOCATIONS = [("west", "west-1"), ("west", "west-2"), ("east", "east-1")]


def make_node(node_id, location, *, ready=True, stopping=False):
    return Heartbeat(node_id, f"{node_id}/1", *location, f"ip-{node_id}", stopping, ready=ready)


def make_vm(node_id, location, state=VmState.LIVE):
    return Vm(node_id, Address(node_id, 1), *location, VmRole.ROUTER, state)


STATES = st.sampled_from(["serving", "starting", "stopping", "silent", "leaving", "planned", "new"])


@given(st.lists(st.tuples(st.sampled_from(LOCATIONS), STATES), max_size=6), st.integers(0, 9))
@settings(derandomize=True)
def test_lookup_returns_only_serving_nodes_nearest_first(others, seed):
    own = make_node("own", LOCATIONS[0])
    routers, live, silent, stops = [make_vm("own", LOCATIONS[0])], {}, set(), set()
    for index, (location, state) in enumerate(others):
        node_id = f"node-{index}"
        leaving = VmState.LEAVING if state == "leaving" else VmState.LIVE
        if state != "new":
            routers.append(make_vm(node_id, location, leaving))
        if state == "silent":
            silent.add(node_id)
            continue
        if state == "planned":
            stops.add(node_id)
        live[node_id] = make_node(
            node_id, location, ready=state != "starting", stopping=state == "stopping"
        )
    found = list_entry_addresses(EntryLookupView(own, routers, live, silent, stops), Random(seed))
    ranks = []
    for address in found:
        node_id = address.removeprefix("ip-").removesuffix(":1")
        location, state = (LOCATIONS[0], "serving")
        if node_id != "own":
            location, state = others[int(node_id.removeprefix("node-"))]
        assert state in ("serving", "new")
        ranks.append(LOCATIONS.index(location))
    assert ranks == sorted(ranks)
    assert len(found) == 1 + sum(state in ("serving", "new") for _, state in others)


@pytest.fixture
def fleet(make_fleet):
    fleet = make_fleet()
    fleet.start_platform()
    for index in (1, 2):
        fleet.add_target(f"engine-{index}", "names", "west", "west-1", "--token-seconds", "0.02")
    fleet.publish("route", "namer", {"service": "names"})
    fleet.publish_workspace("studio", KEY, 1_000_000)
    for node_id in ("node-1", "node-2", "node-3"):
        fleet.add_node(node_id, "west", "west-1", **SETTINGS)
    await_ready(fleet, "node-1", "node-2", "node-3")
    return fleet


def _list_entry_addresses(fleet, node_id):
    return call_json(fleet.caller_address(node_id), "/v1/entry")["addresses"]


def _post(connection, prompt, **fields):
    message = {"role": "user", "content": prompt}
    body = {"model": "namer", "messages": [message], "max_tokens": 8} | fields
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    return connection.getresponse()


def test_a_stopping_node_serves_kept_connections_then_refuses_and_ends(fleet):
    address = fleet.caller_address("node-2")
    await_true(
        lambda: address in _list_entry_addresses(fleet, "node-1"), what="the address in the lookup"
    )
    kept_connection = http.client.HTTPConnection(address, timeout=20)
    assert _post(kept_connection, "warm").read()
    long_connection = http.client.HTTPConnection(address, timeout=30)
    stream = _post(long_connection, "long", stream=True, max_tokens=250)
    assert stream.status == 200

    fleet.processes["node-2"].stop()
    stopped_at = time.monotonic()
    for node_id in ("node-1", "node-2", "node-3"):
        await_true(
            lambda node_id=node_id: address not in _list_entry_addresses(fleet, node_id),
            seconds=3.0,
            what=f"the lookup of {node_id} without the stopping node",
        )
    response = _post(kept_connection, "within the deadline")
    assert response.status == 200 and response.read()
    refused = []

    def await_refusal():
        response = _post(kept_connection, "after the deadline")
        body = json.loads(response.read())
        if response.status == 200:
            return False
        refused.append(
            (response.status, body["reason"], body["ran"], response.headers["Connection"])
        )
        return True

    await_true(await_refusal, what="a refusal")
    assert time.monotonic() - stopped_at >= ENTRY_SECONDS
    assert refused == [(503, "stopping", "no", "close")]
    text = stream.read().decode()
    assert make_words("long", 250)[-1] in text and "[DONE]" in text
    assert fleet.processes["node-2"].popen.wait(20) == 0
    returned = {record["holder"].split("/")[0] for record in read_records(fleet, "return")}
    assert "node-2" in returned


class Caller(threading.Thread):
    """Send requests one after another and look up addresses as the entry protocol requires."""

    def __init__(self, fleet, name):
        super().__init__(name=name)
        self.fleet = fleet
        self.stopped = threading.Event()
        self.addresses, self.keep_until = [], 0.0
        self.responses, self.failures = 0, []

    def run(self):
        while not self.stopped.is_set():
            try:
                self._send(f"{self.name} {self.responses}")
            except Exception as error:
                self.failures.append(repr(error))

    def _look_up(self):
        known = self.addresses or [vm["address"] for vm in self.fleet.list_nodes()]
        for address in [*known, *(vm["address"] for vm in self.fleet.list_nodes())]:
            try:
                value = call_json(address, "/v1/entry")
            except OSError:
                continue
            if value["addresses"]:
                self.addresses, self.keep_until = value["addresses"], value["keep_until"]
                return
        self.failures.append("no node responded to the lookup")

    def _send(self, prompt):
        if time.time() >= self.keep_until:
            self._look_up()
        for address in list(self.addresses):
            try:
                connection = http.client.HTTPConnection(address, timeout=30)
                connection.connect()
            except ConnectionRefusedError:
                continue
            response = _post(connection, prompt)
            body = json.loads(response.read())
            connection.close()
            if response.status == 503 and body["reason"] == "stopping":
                self.keep_until = 0.0
                return
            text = "".join(make_words(prompt, 8))
            if response.status != 200 or body["choices"][0]["message"]["content"] != text:
                self.failures.append(body)
            self.responses += 1
            return
        self.keep_until = 0.0


def _stop(fleet, node_id, method):
    if method == "signal":
        fleet.processes[node_id].stop()
    elif method == "planned stop":
        fleet.publish("planned-stop", node_id, {"vm_id": node_id})
    else:
        fleet.vms[node_id]["state"] = "leaving"
        fleet.publish_vms()


def test_replacing_every_node_under_load_cuts_no_request(fleet):
    callers = [Caller(fleet, f"caller-{index}") for index in range(6)]
    for caller in callers:
        caller.start()
    methods = {"node-1": "signal", "node-2": "planned stop", "node-3": "vm list"}
    for node_id, method in methods.items():
        fleet.add_node(f"{node_id}-new", "west", "west-1", **SETTINGS)
        await_ready(fleet, f"{node_id}-new")
        _stop(fleet, node_id, method)
        assert fleet.processes[node_id].popen.wait(30) == 0
        del fleet.vms[node_id]
        fleet.publish_vms()
    before = sum(caller.responses for caller in callers)
    await_true(
        lambda: sum(c.responses for c in callers) > before + 10, what="responses from new nodes"
    )
    for caller in callers:
        caller.stopped.set()
    for caller in callers:
        caller.join(40)
    assert [failure for caller in callers for failure in caller.failures] == []
    responses = sum(caller.responses for caller in callers)
    await_true(
        lambda: len({record["request_id"] for record in read_records(fleet, "bill")}) == responses,
        what="one bill for each response",
    )
