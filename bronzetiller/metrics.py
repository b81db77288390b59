"""Define the Prometheus metrics of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

REGISTRY = CollectorRegistry()

REQUESTS = Counter("bronzetiller_requests", "Accepted requests.", ["protocol"], registry=REGISTRY)
RESPONSES = Counter(
    "bronzetiller_answers", "Complete responses delivered.", ["protocol"], registry=REGISTRY
)
REFUSALS = Counter(
    "bronzetiller_refusals",
    "Refusals by reason and by whether the request ran.",
    ["reason", "ran"],
    registry=REGISTRY,
)
RETRIES = Counter("bronzetiller_retries", "Retried attempts.", ["reason"], registry=REGISTRY)
TOKENS_BILLED = Counter("bronzetiller_tokens_billed", "Tokens billed.", registry=REGISTRY)
LEDGER_RESULTS = Counter(
    "bronzetiller_rulings",
    "Results of applying ledger records.",
    ["record", "verdict"],
    registry=REGISTRY,
)
DECISIONS = Counter(
    "bronzetiller_decisions", "Operator records by verdict.", ["verdict"], registry=REGISTRY
)
CONFIGURATION_VERSION = Gauge(
    "bronzetiller_configuration_version",
    "Version of the configuration in force on a gateway node.",
    registry=REGISTRY,
)
CONFIGURATION_CONFIRMATION_AGE = Gauge(
    "bronzetiller_configuration_confirmation_age_seconds",
    "Seconds since a gateway node's configuration was confirmed as current at the store.",
    registry=REGISTRY,
)
UNREAD_ITEMS = Gauge(
    "bronzetiller_unread_items",
    "Items whose newest record cannot be read, so that an older one stays in force.",
    registry=REGISTRY,
)
LATE_BYTES = Counter(
    "bronzetiller_late_bytes", "Bytes dropped after the end of a response.", registry=REGISTRY
)
DISCARDED_RESPONSES = Counter(
    "bronzetiller_discarded_responses",
    "Responses that named another request than the one under way on their connection.",
    registry=REGISTRY,
)
TARGET_CRASHES = Counter(
    "bronzetiller_target_deaths", "Targets that crashed while running requests.", registry=REGISTRY
)
REPLAYS = Counter(
    "bronzetiller_replays", "Stored responses replayed to a caller's retry.", registry=REGISTRY
)
REPLICATED_BILLS = Counter(
    "bronzetiller_courier_bills",
    "Bill replicas of peers by how they ended.",
    ["end"],
    registry=REGISTRY,
)
BILL_REPLICAS = Gauge("bronzetiller_kept_bills", "Bill replicas held for peers.", registry=REGISTRY)
TIMED_OUT_LINKS = Counter(
    "bronzetiller_silent_links",
    "Connections that timed out without data.",
    ["kind"],
    registry=REGISTRY,
)
LIVE_PEERS = Gauge(
    "bronzetiller_peers_heard", "Peers that sent a heartbeat recently.", registry=REGISTRY
)
CONNECTED_PEERS = Gauge(
    "bronzetiller_peers_connected",
    "Peers with an open connection, over which this node sends.",
    registry=REGISTRY,
)
TARGET_AVOIDANCES = Counter(
    "bronzetiller_target_avoidances",
    "Targets avoided because they failed or refused requests.",
    ["reason"],
    registry=REGISTRY,
)
RECORD_FAILURES = Counter(
    "bronzetiller_record_failures",
    "Records of the store that could not be applied.",
    ["topic"],
    registry=REGISTRY,
)
EVACUATED_DATA_CENTRES = Gauge(
    "bronzetiller_evacuated_data_centres",
    "Data centres whose targets get no requests of this node, by the operator's records.",
    registry=REGISTRY,
)
COLD_TARGETS = Gauge(
    "bronzetiller_cold_targets",
    "Targets that this node takes for cold.",
    registry=REGISTRY,
)
COLD_TARGET_REQUESTS = Counter(
    "bronzetiller_cold_target_requests",
    "Requests that this node sent to targets that it took for cold.",
    registry=REGISTRY,
)
UNREACHABLE_TARGETS = Gauge(
    "bronzetiller_unreachable_targets",
    "Targets that this node does not reach.",
    registry=REGISTRY,
)
TARGET_PROBES = Counter(
    "bronzetiller_target_probes",
    "Calls that show whether a target responds.",
    registry=REGISTRY,
)
FORWARDED_REQUESTS = Counter(
    "bronzetiller_forwarded_requests",
    "Requests that a peer was to serve, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
LINK_SHARE = Gauge(
    "bronzetiller_link_share",
    "Share of the rate of a gateway node's link that its sockets use, sent or received.",
    registry=REGISTRY,
)
LOOP_DELAY = Gauge(
    "bronzetiller_loop_delay_seconds",
    "Mean delay of timers of a gateway node's event loop.",
    registry=REGISTRY,
)
NODE_FULL = Gauge(
    "bronzetiller_node_full",
    "Whether a gateway node's own link or processor is full.",
    registry=REGISTRY,
)
ENTRY_CHANGES = Counter(
    "bronzetiller_entry_changes",
    "Changes of the nodes that lookups name to a data centre, by the set that was chosen.",
    ["stage"],
    registry=REGISTRY,
)
RELAYED_ENTRIES = Counter(
    "bronzetiller_relayed_entries", "Log entries received from peers.", registry=REGISTRY
)
DELEGATED_APPENDS = Counter(
    "bronzetiller_delegated_appends",
    "Batches delegated to a peer for appending, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
SNAPSHOTS = Counter(
    "bronzetiller_snapshots", "Snapshots by outcome.", ["outcome"], registry=REGISTRY
)
SENT_BYTES = Counter(
    "bronzetiller_sent_bytes",
    "Bytes sent to peers by message and by distance of the peer.",
    ["purpose", "distance"],
    registry=REGISTRY,
)
LOG_BYTES = Counter(
    "bronzetiller_log_bytes",
    "Bytes of HTTP bodies exchanged with the log, by direction.",
    ["purpose"],
    registry=REGISTRY,
)
QUEUED_REQUESTS = Gauge(
    "bronzetiller_queued_requests", "Requests waiting for a target.", registry=REGISTRY
)
START_QUEUE_REQUESTS = Counter(
    "bronzetiller_start_queue_requests",
    "Requests that a starting node held until it was complete, by what became of them.",
    ["outcome"],
    registry=REGISTRY,
)
OPEN_REQUESTS = Gauge("bronzetiller_open_requests", "Requests being served.", registry=REGISTRY)

GRANTS_REQUESTED = Counter(
    "bronzetiller_grants_asked",
    "Grants requested from the ledger, by cause.",
    ["cause"],
    registry=REGISTRY,
)
TOKENS_MOVED = Counter(
    "bronzetiller_tokens_moved",
    "Tokens granted, sent to peers, received from peers, returned or dropped.",
    ["move"],
    registry=REGISTRY,
)
TOKEN_REQUESTS = Counter(
    "bronzetiller_peer_asks", "Token requests to peers by outcome.", ["outcome"], registry=REGISTRY
)
LOOP_PAUSES = Counter(
    "bronzetiller_loop_pauses", "Event loop pauses longer than the limit.", registry=REGISTRY
)
GRANTS_CLOSED = Counter(
    "bronzetiller_grants_closed",
    "Grants whose closing was requested because their holders are gone.",
    registry=REGISTRY,
)
STREAM_RECORD_CALLS = Counter(
    "bronzetiller_stream_record_calls",
    "Calls to the store that record or look up the versions of streams, by kind.",
    ["kind"],
    registry=REGISTRY,
)
STORE_RESTORATIONS = Counter(
    "bronzetiller_store_restorations",
    "Times that a topic of the store came back without its newest records.",
    ["topic"],
    registry=REGISTRY,
)
VOUCHED_RECORDS = Counter(
    "bronzetiller_vouched_records",
    "Records of other nodes that were written again after a restoration, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
HELD_BYTES = Gauge(
    "bronzetiller_held_bytes",
    "Bytes that the process holds for callers, targets and peers.",
    registry=REGISTRY,
)
CALLER_CONNECTIONS = Gauge(
    "bronzetiller_caller_connections",
    "Connections of callers to all listeners.",
    registry=REGISTRY,
)
CALLER_CUTS = Counter(
    "bronzetiller_caller_cuts",
    "Requests refused, responses and connections cut to bound memory and descriptors.",
    ["cut"],
    registry=REGISTRY,
)


def render_metrics() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)
