"""Relay log entries between nodes, so that each crosses a regional link once per data centre.

In each data centre one node per stream reads the log and the others read from that node. A node
that lags behind the highest offset known to it fetches the missing entries from a peer that has
them: at once from its own data centre, and from others in the order of the nodes' ranks as readers,
so that a link between regions carries them once or twice and not once for each node.
"""

import json
from collections.abc import Callable

from attrs import define, field
from result import Err, Ok, Result

from bronzetiller.fleet.membership import Membership
from bronzetiller.fleet.neighbours import rank_nodes, rank_readers
from bronzetiller.fleet.patient_request import request_patiently
from bronzetiller.fleet.peers import Peers, Reply
from bronzetiller.json_values import decode_json
from bronzetiller.logs import log_event
from bronzetiller.metrics import RELAYED_ENTRIES
from bronzetiller.net.scheduler import Scheduler
from bronzetiller.settings import Settings
from bronzetiller.storage.follower import PageCallback, PageReader, StreamFollower
from bronzetiller.storage.log_client import Entry, LogFailure, Page
from bronzetiller.sync.backoff import Backoff
from bronzetiller.sync.log_reading import ReadOrder, should_choose_again
from bronzetiller.wire.messages import Entries, FetchEntries, Heartbeat, Message, RelayedEntry

LONG_POLL_SECONDS = 2.0
RESPONSE_TIMEOUT_SECONDS = 1.0  # without any byte from the peer
RESPONSE_SECONDS_MAX = 30.0
CHECK_INTERVAL_SECONDS = 0.5
QUERY_INTERVAL_SECONDS = 0.5
QUERIED_READERS = 2
LOG_CHECK_SECONDS_MIN = 1.0
LOG_CHECK_SECONDS_MAX = 4.0
AVOID_SECONDS = 5.0
ENTRIES_MAX = 1_000
ENTRIES_BYTES_MAX = 128 * 1024  # heartbeats wait for less than 0.1 s behind it at 15 Mbit/s


@define(eq=False)
class _PendingFetch:
    """Hold a peer's request for entries that have not arrived yet."""

    request: FetchEntries
    reply: Reply
    deadline: float


@define(eq=False)
class _RelayedStream:
    follower: StreamFollower
    chosen: str | None = None  # to read from; this node's id stands for the log
    requested_offset: int | None = None
    pending_fetches: list[_PendingFetch] = field(factory=list)
    flushing: bool = False
    fetching: bool = False
    offset_seen: int = 0
    stalled_since: float | None = None
    far_from: float = 0.0
    reader_ahead_since: float | None = None
    next_check_at: float = 0.0
    next_query_at: float = 0.0
    check_backoff: Backoff = field(
        factory=lambda: Backoff(LOG_CHECK_SECONDS_MIN, LOG_CHECK_SECONDS_MAX)
    )


def choose_reader(stream: str, data_centre: str, candidates: list[str]) -> str | None:
    """Return the node that reads a stream from the log for its data centre."""
    ranked = rank_readers(stream, data_centre, candidates)
    return ranked[0] if ranked else None


def measure_distance(own: Heartbeat, peer: Heartbeat) -> int:
    """Return 0 for a peer in the local data centre, 1 for one in the local region, else 2."""
    if peer.data_centre == own.data_centre:
        return 0
    return 1 if peer.region == own.region else 2


def choose_source(
    own: Heartbeat, live: dict[str, Heartbeat], stream: str, offset: int, *, far: bool
) -> str | None:
    """Return one of the nearest peers that have read past an offset; with far, in any data centre.

    Of the peers at the same distance that have most of the missing entries, each node ranks another
    one first, so that one peer does not serve all.
    """
    missing = {
        node_id: peer.next_offsets.get(stream, 0) - offset
        for node_id, peer in live.items()
        if peer.next_offsets.get(stream, 0) > offset and (far or measure_distance(own, peer) == 0)
    }
    if not missing:
        return None
    distance = min(measure_distance(own, live[node_id]) for node_id in missing)
    near = [node_id for node_id in missing if measure_distance(own, live[node_id]) == distance]
    most = max(missing[node_id] for node_id in near)
    usable = [node_id for node_id in near if 2 * missing[node_id] >= most]
    return rank_nodes(f"{own.node_id}/{stream}", usable)[0]


def choose_log_peer(own: Heartbeat, live: dict[str, Heartbeat], subject: str) -> str | None:
    """Return the nearest peer that can reach the log; subject spreads load over equal peers."""
    usable = [peer_id for peer_id, peer in live.items() if peer.log_reachable and not peer.stopping]
    ranked = rank_nodes(f"{own.node_id}/{subject}", usable)
    ranked.sort(key=lambda node_id: measure_distance(own, live[node_id]))
    return ranked[0] if ranked else None


@define(eq=False)
class LogRelay:
    """Serve log entries to peers and read entries from them."""

    _scheduler: Scheduler
    _peers: Peers
    _membership: Membership
    _settings: Settings
    _make_heartbeat: Callable[[], Heartbeat]
    _streams: dict[str, _RelayedStream] = field(factory=dict)
    _avoided_until: dict[str, float] = field(factory=dict)
    _ready_peers_since: float | None = None
    _read_order: ReadOrder = field(factory=ReadOrder)
    _readable_peers: set[str] = field(factory=set)
    _announced_log_reachable: bool = False

    def add(self, follower: StreamFollower) -> None:
        """Relay the stream of a follower."""
        stream = self._streams[follower.stream] = _RelayedStream(follower)
        follower.subscribe(lambda entry: self._schedule_flush(stream))
        follower.keep_recent(self._settings.fleet.relay_entries_max)
        follower.choose_relay = lambda: self._choose_relay(stream)
        follower.on_contact_change = lambda: self._handle_contact_change(stream)
        follower.on_reachable = lambda: self._schedule_flush(stream)
        follower.choose_election_seconds = lambda: self._choose_election_seconds(stream)

    def start(self) -> None:
        """Start serving peers and checking for missing entries."""
        self._peers.on(FetchEntries, self._on_fetch)
        self._membership.subscribe(self._check)
        self._scheduler.call_every(CHECK_INTERVAL_SECONDS, self._check)

    def _choose_election_seconds(self, stream: _RelayedStream) -> float:
        ranked = self._rank_readers(stream, self._membership.live())
        return self._read_order.choose_election_seconds(ranked.index(self._settings.node_id))

    def _handle_contact_change(self, stream: _RelayedStream) -> None:
        self._announce_contact()
        self._scheduler.call_after(0.0, lambda: self._reconsider_source(stream))

    def _announce_contact(self) -> None:
        """Let the peers know at once whether they can read from this node."""
        log_reachable = self._make_heartbeat().log_reachable
        if log_reachable != self._announced_log_reachable:
            self._announced_log_reachable = log_reachable
            self._membership.announce()

    def _choose_relay(self, stream: _RelayedStream) -> PageReader | None:
        if not self._settings.fleet.relay:
            return None
        reader = self._find_reader(stream)
        previous, stream.chosen = stream.chosen, reader
        if reader is None or reader == self._settings.node_id:
            return None

        def read(offset: int, on_page: PageCallback) -> None:
            # A peer that has nothing new responds to a wait only when it becomes current.
            asked_before = (previous, stream.requested_offset) == (reader, offset)
            stream.requested_offset = offset
            wait_seconds = LONG_POLL_SECONDS if stream.follower.reachable or asked_before else 0.0
            request = FetchEntries(stream.follower.stream, offset, wait_seconds)
            self._fetch(reader, stream, request, on_page)

        return read

    def _find_reader(self, stream: _RelayedStream) -> str | None:
        """Return the id of the node to read from; this node's own id stands for the log itself."""
        own = self._make_heartbeat()
        usable = self._find_usable()
        near = {
            peer_id: peer for peer_id, peer in usable.items() if peer.data_centre == own.data_centre
        }
        readers = [
            peer_id for peer_id, peer in near.items() if peer.log_reachable and not peer.stopping
        ]
        if stream.follower.log_readable and not own.stopping:
            readers.append(own.node_id)
        if readers:
            return choose_reader(stream.follower.stream, own.data_centre, readers)
        far = choose_log_peer(own, usable, stream.follower.stream)
        if far is None:
            return None
        preferred = choose_reader(stream.follower.stream, own.data_centre, [*near, own.node_id])
        return far if preferred == own.node_id else preferred

    def _reconsider_source(self, stream: _RelayedStream) -> None:
        """Turn to a source that is better than the one that is waited for without result."""
        if not self._settings.fleet.relay:
            return
        chosen = self._membership.live().get(stream.chosen or "")
        if should_choose_again(
            stream.follower.wait,
            stream.chosen,
            self._find_reader(stream),
            self._settings.node_id,
            reads_log=chosen is not None and chosen.log_reachable,
        ):
            stream.follower.choose_again()

    def _find_usable(self) -> dict[str, Heartbeat]:
        now = self._scheduler.now()
        connected = set(self._peers.connected())
        return {
            node_id: peer
            for node_id, peer in self._membership.live().items()
            if node_id in connected and self._avoided_until.get(node_id, 0.0) <= now
        }

    def _fetch(
        self, node_id: str, stream: _RelayedStream, request: FetchEntries, on_page: PageCallback
    ) -> None:
        def handle_response(result: Result[Message, str]) -> None:
            match result:
                case Ok(Entries() as response) if response.first_offset <= request.from_offset:
                    entries = [
                        Entry(item.offset, item.at, decode_json(item.record))
                        for item in response.entries
                    ]
                    RELAYED_ENTRIES.inc(len(entries))
                    page = Page(
                        entries, response.first_offset, response.end_offset, response.current
                    )
                    on_page(Ok(page))
                case _:
                    self._avoid(node_id)
                    on_page(Err(LogFailure("the peer did not relay the entries", sent=True)))

        request_patiently(
            self._scheduler,
            self._peers,
            node_id,
            request,
            handle_response,
            silence_seconds=request.wait_seconds + RESPONSE_TIMEOUT_SECONDS,
            seconds_max=request.wait_seconds + RESPONSE_SECONDS_MAX,
        )

    def _avoid(self, node_id: str) -> None:
        self._avoided_until[node_id] = self._scheduler.now() + AVOID_SECONDS

    def _check(self) -> None:
        live = self._membership.live()
        lost_peers = self._find_lost_peers(live)
        for stream in self._streams.values():
            if lost_peers and self._settings.node_id != self._find_reader(stream):
                stream.follower.check_log()
            self._check_stream(stream)
            self._reconsider_source(stream)

    def _find_lost_peers(self, live: dict[str, Heartbeat]) -> set[str]:
        """Return the peers of this data centre that have lost the log since the last call."""
        near = {
            node_id: peer
            for node_id, peer in live.items()
            if peer.data_centre == self._settings.data_centre
        }
        readable = {node_id for node_id, peer in near.items() if peer.log_reachable}
        lost = (self._readable_peers & set(near)) - readable
        self._readable_peers = readable
        return lost

    def _check_stream(self, stream: _RelayedStream) -> None:
        now = self._scheduler.now()
        follower = stream.follower
        live = self._membership.live()
        for peer in live.values():
            follower.record_end_offset(peer.next_offsets.get(follower.stream, 0))
        self._complete_from_peers(follower, live, now)
        self._check_log(stream, now)
        if follower.next_offset >= follower.end_offset:
            stream.stalled_since = None
            return
        ranked = self._rank_readers(stream, live)
        rank = ranked.index(self._settings.node_id)
        fallback_seconds = self._settings.fleet.relay_fallback_seconds
        if stream.stalled_since is None or follower.next_offset > stream.offset_seen:
            stream.stalled_since = now
            stream.reader_ahead_since = None
            stream.far_from = now + self._read_order.choose_fallback_seconds(
                rank, len(ranked), fallback_seconds
            )
        stream.offset_seen = follower.next_offset
        far = now >= stream.far_from
        self._check_reader(stream, live, now)
        self._query_readers(stream, live, now)
        if far or not follower.log_readable or now - stream.stalled_since >= fallback_seconds / 2:
            self._catch_up(stream, far=far or (rank == 0 and not follower.log_readable))

    def _check_log(self, stream: _RelayedStream, now: float) -> None:
        if stream.follower.log_readable:
            stream.check_backoff.reset()
        elif now >= stream.next_check_at:
            stream.next_check_at = now + stream.check_backoff.next_seconds()
            stream.follower.check_log()

    def _complete_from_peers(
        self, follower: StreamFollower, live: dict[str, Heartbeat], now: float
    ) -> None:
        """Mark a stream complete from peers alone, once all had time to report their offsets."""
        if follower.complete or follower.reachable:
            return
        if not any(peer.ready for peer in live.values()):
            self._ready_peers_since = None
            return
        if self._ready_peers_since is None:
            self._ready_peers_since = now
        reported = now - self._ready_peers_since >= self._settings.fleet.silence_seconds
        if reported and follower.next_offset >= follower.end_offset:
            log_event("complete_from_peers", stream=follower.stream, offset=follower.next_offset)
            follower.complete = True

    def _check_reader(self, stream: _RelayedStream, live: dict[str, Heartbeat], now: float) -> None:
        """Avoid a reader that has the missing entries but does not relay them, or is silent."""
        reader = self._find_reader(stream)
        if reader is None or reader == self._settings.node_id:
            return
        follower = stream.follower
        if live[reader].next_offsets.get(follower.stream, 0) <= follower.next_offset:
            stream.reader_ahead_since = None
        elif stream.reader_ahead_since is None:
            stream.reader_ahead_since = now
        fleet = self._settings.fleet
        ahead_since = stream.reader_ahead_since
        is_stuck = ahead_since is not None and now - ahead_since >= fleet.relay_fallback_seconds
        if is_stuck or self._peers.is_silent(reader, now - fleet.silence_seconds):
            stream.reader_ahead_since = None
            self._avoid(reader)

    def _query_readers(
        self, stream: _RelayedStream, live: dict[str, Heartbeat], now: float
    ) -> None:
        """Ask the preferred readers whether they regained the log, before this node replaces them.

        Heartbeats are seldom in a large fleet, and a peer announces changes to its own neighbours.
        """
        if now < stream.next_query_at or self._find_reader(stream) != self._settings.node_id:
            return
        stream.next_query_at = now + QUERY_INTERVAL_SECONDS
        ranked = self._rank_readers(stream, live)
        preferred = ranked[: ranked.index(self._settings.node_id)]
        self._membership.exchange_heartbeats(preferred[:QUERIED_READERS])

    def _rank_readers(self, stream: _RelayedStream, live: dict[str, Heartbeat]) -> list[str]:
        """Rank the live nodes of this data centre, with this one, by priority as the reader."""
        own = self._settings
        near = [node_id for node_id, peer in live.items() if peer.data_centre == own.data_centre]
        return rank_readers(stream.follower.stream, own.data_centre, [*near, own.node_id])

    def _catch_up(self, stream: _RelayedStream, *, far: bool) -> None:
        if stream.fetching:
            return
        follower = stream.follower
        own = self._make_heartbeat()
        usable = self._find_usable()
        node_id = choose_source(own, usable, follower.stream, follower.next_offset, far=far)
        if node_id is None:
            return
        stream.fetching = True

        def handle_page(result: Result[Page, LogFailure]) -> None:
            stream.fetching = False
            match result:
                case Ok(page) if page.entries:
                    follower.apply_entries(page.entries)
                    self._check_stream(stream)

        self._fetch(
            node_id, stream, FetchEntries(follower.stream, follower.next_offset), handle_page
        )

    def _on_fetch(self, request: FetchEntries, reply: Reply) -> None:
        stream = self._streams.get(request.stream)
        if stream is None:
            return
        if request.from_offset >= stream.follower.next_offset and request.wait_seconds:
            deadline = self._scheduler.now() + request.wait_seconds
            fetch = _PendingFetch(request, reply, deadline)
            stream.pending_fetches.append(fetch)
            self._scheduler.call_at(deadline, lambda: self._expire(stream, fetch))
            return
        reply(self._make_response(stream, request))

    def _expire(self, stream: _RelayedStream, fetch: _PendingFetch) -> None:
        if fetch in stream.pending_fetches:
            stream.pending_fetches.remove(fetch)
            fetch.reply(self._make_response(stream, fetch.request))

    def _schedule_flush(self, stream: _RelayedStream) -> None:
        if stream.pending_fetches and not stream.flushing:
            stream.flushing = True
            self._scheduler.call_after(0, lambda: self._flush(stream))

    def _flush(self, stream: _RelayedStream) -> None:
        stream.flushing = False
        pending_fetches, stream.pending_fetches = stream.pending_fetches, []
        for fetch in pending_fetches:
            fetch.reply(self._make_response(stream, fetch.request))

    def _make_response(self, stream: _RelayedStream, request: FetchEntries) -> Entries:
        follower = stream.follower
        entries: list[RelayedEntry] = []
        size = 0
        for entry in follower.read_recent(request.from_offset, ENTRIES_MAX):
            record = json.dumps(entry.record, separators=(",", ":"))
            size += len(record)
            if entries and size > ENTRIES_BYTES_MAX:
                break
            entries.append(RelayedEntry(entry.offset, entry.at, record))
        first_offset = follower.recent[0].offset if follower.recent else follower.next_offset
        return Entries(
            stream=follower.stream,
            entries=entries,
            first_offset=first_offset,
            end_offset=follower.end_offset,
            current=follower.reachable,
        )
