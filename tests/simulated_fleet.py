"""Simulate nodes, the log and the links between regions on a fake clock, without a network."""

import json
import random
from collections import deque
from urllib.parse import parse_qs

from attrs import define, field
from result import Err, Ok

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.neighbours import PING_BYTES
from bronzetiller.fleet.relay import LogRelay
from bronzetiller.fleet.vm_list import Vm, VmRole, VmState
from bronzetiller.net.address import Address
from bronzetiller.net.http_client import (
    SILENCE,
    TOO_LARGE,
    TOO_LONG,
    BodyPart,
    CallFailed,
    ResponseEnd,
    ResponseHead,
)
from bronzetiller.settings import ListenSettings, PlatformSettings, Settings
from bronzetiller.storage.follower import StreamFollower
from bronzetiller.storage.log_client import LogClient
from bronzetiller.sync.log_reading import ReadOrder
from bronzetiller.wire.messages import Entries, Heartbeat, Ping, Pong
from standins.fake_scheduler import FakeScheduler

STREAM = "configuration"
SEGMENT_BYTES = 16 * 1024
WINDOW_SEGMENTS = 4
HANDSHAKE_BYTES = 60
HEAD_BYTES = 200
CONNECT_SECONDS = 2.0
REDIAL_SECONDS = 0.5
MESSAGE_BYTES = 400
LOCAL_BYTES_PER_SECOND = 125e6
LOCAL_DELAY_SECONDS = 0.001
ADDRESS = Address("127.0.0.1", 1)


@define(eq=False)
class Link:
    """Carry segments one after the other at a limited rate; drop those of a cut link."""

    scheduler: FakeScheduler
    bytes_per_second: float = LOCAL_BYTES_PER_SECOND
    delay_seconds: float = LOCAL_DELAY_SECONDS
    cut: bool = False
    busy_until: float = 0.0
    bytes_carried: int = 0

    def carry(self, size, deliver):
        if self.cut:
            return
        now = self.scheduler.now()
        self.busy_until = max(now, self.busy_until) + size / self.bytes_per_second
        self.bytes_carried += size

        def arrive():
            if not self.cut:
                deliver()

        self.scheduler.call_at(self.busy_until + self.delay_seconds, arrive)

    def occupy(self, bytes_per_second):
        """Let other traffic take a part of the link from now on."""

        def send():
            self.scheduler.call_after(0.1, send)
            self.busy_until = max(self.scheduler.now(), self.busy_until)
            self.busy_until += 0.1 * bytes_per_second / self.bytes_per_second

        send()


@define(eq=False)
class SimulatedLog:
    """Hold the entries of one stream and respond to reads after a delay."""

    scheduler: FakeScheduler
    entries: list = field(factory=list)
    delay_seconds: float = 0.0
    silent: bool = False
    reads: int = 0
    _waiting: list = field(factory=list)
    _bodies: dict = field(factory=dict)

    def append(self, count, record_bytes=1):
        for _ in range(count):
            offset = len(self.entries)
            record = {"n": offset, "text": "x" * record_bytes}
            self.entries.append({"offset": offset, "at": self.scheduler.now(), "record": record})
        self._bodies.clear()
        waiting, self._waiting = self._waiting, []
        for respond in waiting:
            respond()

    def read(self, path, respond):
        query = {name: int(values[0]) for name, values in parse_qs(path.partition("?")[2]).items()}
        self.reads += 1
        if not self.silent:
            self.scheduler.call_after(self.delay_seconds, lambda: self._handle(query, respond))

    def _handle(self, query, respond):
        start, limit = query["from"], query["limit"]
        if start < len(self.entries) or not query.get("wait_ms"):
            respond(self._make_body(start, limit))
            return
        answered = []

        def finish():
            if not answered:
                answered.append(True)
                respond(self._make_body(start, limit))

        self._waiting.append(finish)
        self.scheduler.call_after(query["wait_ms"] / 1000, finish)

    def _make_body(self, start, limit):
        key = (start, limit)
        if key not in self._bodies:
            value = {
                "records": self.entries[start : start + limit],
                "first_offset": 0,
                "end_offset": len(self.entries),
            }
            self._bodies[key] = json.dumps(value, separators=(",", ":")).encode()
        return self._bodies[key]


@define(eq=False)
class SimulatedCall:
    """Send one HTTP call over the links, with the timeouts of the HTTP client."""

    http: "SimulatedHttp"
    call: object
    listener: object
    done: bool = False
    sent: bool = False
    last_received_at: float = 0.0
    bytes_received: int = 0

    def cancel(self):
        self.done = True

    def start(self):
        self.last_received_at = self.http.scheduler.now()
        if self.http.idle_connections:
            self.http.idle_connections -= 1
            self._transmit()
            return
        self.http.down.carry(HANDSHAKE_BYTES, self._transmit)
        self.http.scheduler.call_after(
            self.call.connect_seconds, lambda: self.sent or self._fail("connect: timeout")
        )

    def _transmit(self):
        if self.done:
            return
        self.sent = True
        self._touch()
        if self.call.seconds_max is not None:
            self.http.scheduler.call_after(self.call.seconds_max, lambda: self._fail(TOO_LONG))
        self.http.up.carry(
            HEAD_BYTES, lambda: self.http.log.read(self.call.path, lambda body: self._respond(body))
        )

    def _respond(self, body):
        segments = deque(
            body[start : start + SEGMENT_BYTES] for start in range(0, len(body), SEGMENT_BYTES)
        )
        started = []

        def send_next():
            if segments and not self.done:
                data = segments.popleft()
                self.http.down.carry(len(data), lambda: receive(data))

        def receive(data):
            if self.done:
                return
            self._touch()
            if not started:
                started.append(True)
                self.listener(ResponseHead(200, {}))
            self.bytes_received += len(data)
            if self.bytes_received > (self.call.body_bytes_max or self.bytes_received):
                self._fail(TOO_LARGE)
                return
            if not self.done:
                self.listener(BodyPart(data))
            if self.bytes_received == len(body) and not self.done:
                self.done = True
                self.http.idle_connections += 1
                self.listener(ResponseEnd())
            send_next()

        for _ in range(WINDOW_SEGMENTS):
            send_next()

    def _touch(self):
        self.last_received_at = touched_at = self.http.scheduler.now()

        def check():
            if self.last_received_at == touched_at:
                self._fail(SILENCE)

        self.http.scheduler.call_after(self.call.silence_seconds, check)

    def _fail(self, cause):
        if not self.done:
            self.done = True
            self.listener(CallFailed(cause, self.sent))


@define(eq=False)
class SimulatedHttp:
    """Replace the HTTP client of one node."""

    scheduler: FakeScheduler
    log: SimulatedLog
    up: Link
    down: Link
    idle_connections: int = 0

    def send(self, call, listener):
        open_call = SimulatedCall(self, call, listener)
        open_call.start()
        return open_call

    def close_idle(self, address):
        self.idle_connections = 0


@define(eq=False, slots=False)
class SimulatedPeers:
    """Replace the connections of one node to its peers; messages of a connection keep order."""

    fleet: "SimulatedFleet"
    node_id: str
    region: str
    nic: Link
    handlers: dict = field(factory=dict)
    open_links: dict = field(factory=dict)
    last_received_at: dict = field(factory=dict)
    pending: dict = field(factory=dict)
    drops: int = 0
    _numbers: int = 0

    def now(self):
        return self.fleet.scheduler.now()

    def on(self, message_class, handle):
        self.handlers[message_class] = handle

    def set_peers(self, peers):
        for peer in peers:
            self._dial(peer.node_id)

    def connected(self):
        return list(self.open_links)

    def is_silent(self, node_id, since):
        return self.last_received_at.get(node_id, float("-inf")) < since

    def _dial(self, node_id):
        opened = []

        def open_link():
            if not opened and self.fleet.nodes[node_id].started:
                opened.append(True)
                self.last_received_at[node_id] = self.now()
                self.open_links[node_id] = None

        def redial():
            if not opened:
                opened.append(True)
                self._dial(node_id)

        peer = self.fleet.nodes[node_id].peers
        link = self._find_link(peer)
        peer._find_link(self).carry(HANDSHAKE_BYTES, lambda: link.carry(HEAD_BYTES, open_link))
        self.fleet.scheduler.call_after(CONNECT_SECONDS + REDIAL_SECONDS, redial)

    def _find_link(self, receiver):
        """Return the link over which messages go to a peer."""
        if receiver.region == self.region:
            return self.nic
        return self.fleet.links[receiver.region]

    def drop_link(self, node_id):
        self.drops += 1
        self.open_links.pop(node_id, None)
        self.fleet.scheduler.call_after(REDIAL_SECONDS, lambda: self._dial(node_id))
        for number, (peer_id, _) in list(self.pending.items()):
            if peer_id == node_id:
                self._finish(number, Err("connection lost"))

    def send(self, node_id, message):
        self.request(node_id, message, 1.0, lambda result: None)

    def request(self, node_id, message, seconds, on_response):
        self._numbers += 1
        number = self._numbers
        self.pending[number] = (node_id, on_response)
        scheduler = self.fleet.scheduler
        scheduler.call_after(seconds, lambda: self._finish(number, Err("timeout")))
        peer = self.fleet.nodes[node_id].peers

        def reply(response):
            peer.transmit(self, response, lambda: self._finish(number, Ok(response)), number)

        self.transmit(peer, message, lambda: peer.handlers[type(message)](message, reply))

    def transmit(self, receiver, message, deliver, number=None):
        remaining = [measure_message(message)]
        link = self._find_link(receiver)

        def send_next():
            if number is not None and number not in receiver.pending:
                remaining[0] = min(remaining[0], SEGMENT_BYTES)  # the rest is never read
            if remaining[0] <= 0:
                return
            size = min(SEGMENT_BYTES, remaining[0])
            remaining[0] -= size
            last = remaining[0] <= 0
            link.carry(size, lambda: receive(last))

        def receive(last):
            if number is not None:  # responses arrive on the connection that the receiver dialled
                receiver.last_received_at[self.node_id] = self.now()
            if last:
                deliver()
            else:
                send_next()

        send_next()

    def _finish(self, number, result):
        found = self.pending.pop(number, None)
        if found is not None:
            found[1](result)


def measure_message(message):
    """Return roughly how many bytes a message takes."""
    if isinstance(message, Ping | Pong):
        return PING_BYTES
    if isinstance(message, Entries):
        return MESSAGE_BYTES + sum(len(entry.record) + 40 for entry in message.entries)
    return MESSAGE_BYTES


@define(eq=False)
class SimulatedVmList:
    vms: list
    read_at: float = 0.0
    subscribers: list = field(factory=list)

    def subscribe(self, subscriber):
        self.subscribers.append(subscriber)

    def find_routers(self):
        return self.vms


class SimulatedNode:
    """Hold the components of a node that follow one stream."""

    def __init__(self, fleet, vm):
        scheduler = fleet.scheduler
        self.started = False
        self.vm = vm
        self.settings = Settings(
            node_id=vm.vm_id,
            region=vm.region,
            data_centre=vm.data_centre,
            fleet_secret="a-secret-for-stand-ins-only",
            listen=ListenSettings(ADDRESS, ADDRESS),
            platform=PlatformSettings(ADDRESS, ADDRESS),
        )
        if vm.region == fleet.log_region:
            up = down = Link(scheduler)
        else:
            up, down = fleet.links[fleet.log_region], fleet.links[vm.region]
        self.peers = SimulatedPeers(fleet, vm.vm_id, vm.region, Link(scheduler))
        self.http = SimulatedHttp(scheduler, fleet.log, up, down)
        self.log = LogClient(self.http, ADDRESS)
        self.follower = StreamFollower(scheduler, self.log, STREAM)
        self.vm_list = SimulatedVmList(fleet.vms)
        self.membership = Membership(
            scheduler,
            self.peers,
            self.vm_list,
            self.settings,
            self.make_heartbeat,
            [STREAM],
        )
        self.relay = LogRelay(
            scheduler, self.peers, self.membership, self.settings, self.make_heartbeat
        )

    def start(self):
        self.started = True
        self.relay.add(self.follower)
        draw_uniform = random.Random(self.vm.vm_id).random
        self.relay._read_order = ReadOrder(draw_uniform)
        stream = self.relay._streams[STREAM]
        for backoff in (self.follower._backoff, stream.check_backoff):
            backoff._draw_uniform = draw_uniform
        self.membership.start()
        for subscriber in self.vm_list.subscribers:
            subscriber()
        self.relay.start()
        self.follower.start()

    def make_heartbeat(self):
        return Heartbeat(
            node_id=self.vm.vm_id,
            incarnation=f"{self.vm.vm_id}/1",
            region=self.vm.region,
            data_centre=self.vm.data_centre,
            address="127.0.0.1:1",
            stopping=False,
            next_offsets={STREAM: self.follower.next_offset},
            ready=self.follower.complete,
            log_reachable=self.follower.log_readable,
        )


class SimulatedFleet:
    """Hold the nodes of several regions, of which the first has the log."""

    def __init__(self, data_centres, *, link_bytes_per_second=15e6 / 8):
        """Create nodes; data_centres maps (region, data centre) to a number of nodes."""
        self.scheduler = FakeScheduler()
        self.log = SimulatedLog(self.scheduler)
        regions = list(dict.fromkeys(region for region, _ in data_centres))
        self.log_region = regions[0]
        self.links = {
            region: Link(self.scheduler, link_bytes_per_second, 0.03) for region in regions
        }
        self.vms = [
            Vm(
                f"{data_centre}-{index}",
                ADDRESS,
                region,
                data_centre,
                VmRole.ROUTER,
                VmState.LIVE,
                peer_address=ADDRESS,
            )
            for (region, data_centre), count in data_centres.items()
            for index in range(count)
        ]
        self.nodes = {vm.vm_id: SimulatedNode(self, vm) for vm in self.vms}

    def start(self, seconds=5.0):
        phase = random.Random(1)
        for node in self.nodes.values():
            self.scheduler.call_after(phase.random(), node.start)
        self.scheduler.advance(seconds)

    def set_cut(self, cut):
        for link in self.links.values():
            link.cut = cut

    def list_behind(self):
        end = len(self.log.entries)
        return [node_id for node_id, node in self.nodes.items() if node.follower.next_offset < end]

    def await_current(self, seconds_max):
        """Return the seconds until every node has every entry, or None if that takes too long."""
        started_at = self.scheduler.now()
        while self.scheduler.now() - started_at < seconds_max:
            if not self.list_behind():
                return self.scheduler.now() - started_at
            self.scheduler.advance(0.1)
        return None
