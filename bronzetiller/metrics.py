"""Count what a node does, for Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest

REGISTRY = CollectorRegistry()

REQUESTS = Counter("bronzetiller_requests", "Requests accepted.", ["protocol"], registry=REGISTRY)
RESPONSES = Counter(
    "bronzetiller_answers", "Whole answers delivered.", ["protocol"], registry=REGISTRY
)
REFUSALS = Counter(
    "bronzetiller_refusals",
    "Refusals by reason and by whether the request ran.",
    ["reason", "ran"],
    registry=REGISTRY,
)
RETRIES = Counter("bronzetiller_retries", "Attempts repeated.", ["reason"], registry=REGISTRY)
TOKENS_BILLED = Counter("bronzetiller_tokens_billed", "Tokens billed.", registry=REGISTRY)
LEDGER_RESULTS = Counter(
    "bronzetiller_rulings", "Ledger rulings.", ["record", "verdict"], registry=REGISTRY
)
DECISIONS = Counter(
    "bronzetiller_decisions", "Operator records by verdict.", ["verdict"], registry=REGISTRY
)
UNREAD_ITEMS = Gauge(
    "bronzetiller_unread_items",
    "Items of which an older form is in force, since the newest cannot be read.",
    registry=REGISTRY,
)
LATE_BYTES = Counter("bronzetiller_late_bytes", "Bytes dropped after an end.", registry=REGISTRY)
TARGET_CRASHES = Counter(
    "bronzetiller_target_deaths", "Targets seen to die with requests on them.", registry=REGISTRY
)
REPLAYS = Counter(
    "bronzetiller_replays", "Kept answers given to a caller's retry.", registry=REGISTRY
)
REPLICATED_BILLS = Counter(
    "bronzetiller_courier_bills",
    "Bills kept for peers, by what became of them.",
    ["end"],
    registry=REGISTRY,
)
BILL_REPLICAS = Gauge("bronzetiller_kept_bills", "Bills kept for peers.", registry=REGISTRY)
TIMED_OUT_LINKS = Counter(
    "bronzetiller_silent_links", "Connections given up as silent.", ["kind"], registry=REGISTRY
)
LIVE_PEERS = Gauge("bronzetiller_peers_heard", "Peers heard from of late.", registry=REGISTRY)
TARGET_AVOIDANCES = Counter(
    "bronzetiller_target_avoidances",
    "Targets avoided because they failed or refused new work.",
    ["reason"],
    registry=REGISTRY,
)
RELAYED_ENTRIES = Counter(
    "bronzetiller_relayed_entries", "Log entries received from peers.", registry=REGISTRY
)
DELEGATED_APPENDS = Counter(
    "bronzetiller_delegated_appends",
    "Batches given to a peer to append, by outcome.",
    ["outcome"],
    registry=REGISTRY,
)
SNAPSHOTS = Counter(
    "bronzetiller_snapshots", "Snapshots by what became of them.", ["outcome"], registry=REGISTRY
)
SENT_BYTES = Counter(
    "bronzetiller_sent_bytes",
    "Bytes sent to peers, by message and by how far the peer is.",
    ["purpose", "distance"],
    registry=REGISTRY,
)
LOG_BYTES = Counter(
    "bronzetiller_log_bytes", "Bytes of log bodies, by direction.", ["purpose"], registry=REGISTRY
)
QUEUED_REQUESTS = Gauge(
    "bronzetiller_queued_requests", "Requests that wait for a target.", registry=REGISTRY
)
OPEN_REQUESTS = Gauge("bronzetiller_open_requests", "Requests being served.", registry=REGISTRY)

GRANTS_REQUESTED = Counter(
    "bronzetiller_grants_asked", "Grants asked of the ledger.", ["cause"], registry=REGISTRY
)
TOKENS_MOVED = Counter(
    "bronzetiller_tokens_moved",
    "Tokens granted, given to peers, taken from peers, returned or dropped.",
    ["move"],
    registry=REGISTRY,
)
TOKEN_REQUESTS = Counter(
    "bronzetiller_peer_asks", "Asks for tokens by outcome.", ["outcome"], registry=REGISTRY
)
LOOP_PAUSES = Counter(
    "bronzetiller_loop_pauses", "Pauses of the loop beyond the bound.", registry=REGISTRY
)
GRANTS_CLOSED = Counter(
    "bronzetiller_grants_closed", "Closes asked for gone holders.", registry=REGISTRY
)


def render_metrics() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
