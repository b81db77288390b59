"""Define the messages between nodes."""

from attrs import field, frozen

from bronzetiller.budgets.records import Bill, Charge, Outcome

PROTOCOL_VERSION = 1


@frozen
class SnapshotMark:
    """Identify the newest snapshot of a stream by its next offset and time (seconds, Unix)."""

    offset: int
    at: float


@frozen
class Heartbeat:
    """Report a node's identity, location and state, and how far it has read each stream.

    The peer responds with its own heartbeat. vm_list_age_seconds is the age of the sender's VM
    list, or None if it has none. log_reachable states whether the sender can append: it is true if
    its last read of every stream from the log itself succeeded.
    """

    node_id: str
    incarnation: str
    region: str
    data_centre: str
    address: str
    stopping: bool
    next_offsets: dict[str, int] = field(factory=dict)
    ready: bool = False
    log_reachable: bool = False
    vm_list_age_seconds: float | None = None
    schemas_understood: list[int] = field(factory=list)
    snapshots: dict[str, SnapshotMark] = field(factory=dict)


@frozen
class Ping:
    """Check that the connection and the peer are alive; the response is Pong."""


@frozen
class Pong:
    """Respond to Ping with the incarnation of the node."""

    incarnation: str


@frozen
class KeepBill:
    """Request that a peer store a bill replica and a claim's outcome, to append if the owner fails.

    owner is the incarnation that appends the bill itself as long as it responds.
    """

    bill: Bill
    owner: str
    outcome: Outcome | None = None


@frozen
class BillKept:
    """Confirm that a peer has stored the bill."""


@frozen
class DropBill:
    """Notify a peer that a bill is in the log."""

    bill_id: str


@frozen
class MarkedRequest:
    """Identify a request by its workspace and the digest of its content."""

    workspace: str
    fingerprint: str


@frozen
class TargetDied:
    """Report the requests that ran on a target when it crashed; receivers forward it once.

    segments are the digests of the parts of their prompts that were not proven harmless.
    """

    target_id: str
    requests: list[MarkedRequest]
    segments: list[str] = field(factory=list)


@frozen
class SegmentsProven:
    """Report that requests with these prompt segments got their responses after crashes."""

    segments: list[str]


@frozen
class DeathNoted:
    """Acknowledge TargetDied."""


@frozen
class FetchEntries:
    """Request stream entries from an offset on; wait up to wait_seconds for the first one."""

    stream: str
    from_offset: int
    wait_seconds: float = 0.0


@frozen
class RelayedEntry:
    """Hold one log entry, whose record is JSON text."""

    offset: int
    at: float
    record: str


@frozen
class Entries:
    """Respond to FetchEntries with the entries in the peer's memory.

    first_offset is the oldest offset in its memory and end_offset the highest one known to it.
    current is true if it is reading from the log, directly or through other nodes.
    """

    stream: str
    entries: list[RelayedEntry]
    first_offset: int = 0
    end_offset: int = 0
    current: bool = False


@frozen
class FetchSnapshot:
    """Request one piece of a stream's state, at a given offset or at the current one."""

    stream: str
    piece: int
    offset: int | None = None


@frozen
class SnapshotPiece:
    """Hold one piece of a snapshot: offset is the next to apply, digest covers all pieces."""

    stream: str
    offset: int
    piece: int
    pieces: int
    digest: str
    data: str


@frozen
class NoSnapshot:
    """Respond to FetchSnapshot if the peer has no such piece."""


@frozen
class AppendRecords:
    """Request that a peer append records, given as JSON texts, to a stream."""

    stream: str
    records: list[str]


@frozen
class RecordsAppended:
    """Respond to AppendRecords with the offset of the first record or the cause of a failure."""

    first_offset: int | None
    cause: str = ""


@frozen
class FetchVms:
    """Request the VM list of a peer."""


@frozen
class Vms:
    """Respond to FetchVms with the platform's JSON text and its age; empty if there is none."""

    text: str
    age_seconds: float


@frozen
class AskTokens:
    """Request the missing tokens of a workspace, or wanted_tokens if the peer has enough to spare.

    asker is a node id; while log_reachable is false it cannot obtain a grant itself. may_wait
    allows the peer to obtain a grant before it responds.
    """

    transfer_id: str
    workspace: str
    missing_tokens: int
    wanted_tokens: int
    asker: str
    log_reachable: bool
    may_wait: bool = False


@frozen
class TransferTokens:
    """Respond to AskTokens; the peer has already deducted the charges from its holdings.

    kept_tokens may still become free at the peer; returned_tokens are on their way to the ledger.
    """

    transfer_id: str
    workspace: str
    charges: list[Charge]
    kept_tokens: int = 0
    returned_tokens: int = 0


@frozen
class ReportHoldings:
    """Request how much a peer may still bill against the grants of a gone incarnation."""

    holder: str


@frozen
class HoldingsReport:
    """Respond to ReportHoldings; the sender accepts no further tokens of the holder.

    limits maps each grant id to the maximum that the sender may use of it over all its bills;
    kept_bills are the bill replicas that it stores for other nodes.
    """

    holder: str
    incarnation: str
    limits: dict[str, int] = field(factory=dict)
    kept_bills: list[Bill] = field(factory=list)


@frozen
class ReserveTokens:
    """Request that a peer reserve tokens for a request that lasts at most seconds_left.

    The response is TokensReserved or TokensLacking. may_wait allows the peer to obtain tokens from
    the store first.
    """

    reservation_id: str
    workspace: str
    tokens: int
    seconds_left: float
    may_wait: bool


@frozen
class TokensReserved:
    """Confirm that tokens are reserved until SettleTokens reports how many were used."""

    reservation_id: str


@frozen
class TokensLacking:
    """Report why no tokens were reserved: a Reason, and whether the store is unreachable.

    budget holds what the peer knows of the budget: tokens by the names of BudgetState.
    """

    reservation_id: str
    reason: str
    detail: str
    store_away: bool
    budget: dict[str, int] = field(factory=dict)


@frozen
class SettleTokens:
    """Report how many tokens of a reservation were used; the peer releases the rest."""

    reservation_id: str
    used: int


@frozen
class TokensSettled:
    """Confirm that a reservation is closed or unknown."""

    reservation_id: str


@frozen
class FetchRecords:
    """Request records of a keyed partition from an offset on; -1 requests all.

    The response is Records, after at most wait_seconds if there are none yet, or RecordsAway. A
    node that starts while the store is unreachable sets may_be_old to accept outdated records.
    """

    topic: str
    number: int
    from_offset: int
    wait_seconds: float = 0.0
    may_be_old: bool = False
    accepts_compressed: bool = False


@frozen
class KeyedEntry:
    """Hold one record of a keyed partition; a value of None deletes the key."""

    key: str
    value: bytes | None
    offset: int
    compressed: bool = False


@frozen
class Records:
    """Respond to FetchRecords; end is the offset of the next record.

    whole is true if the entries are all keys, because the changes in between are no longer known.
    age_seconds is the time since the store sent them, confirmed_seconds that since it was asked,
    so that no newer record existed then. source_path holds the nodes that they came through, the
    sender first. sent_at is the sender's monotonic time, for an offer in response. waited_seconds
    is how long the sender held the request back, so that it says what held that much later.
    """

    end: int
    whole: bool
    entries: list[KeyedEntry]
    age_seconds: float = 0.0
    confirmed_seconds: float = 0.0
    source_path: list[str] = field(factory=list)
    sent_at: float | None = None
    waited_seconds: float = 0.0


@frozen
class RecordsAway:
    """Report that the peer does not know the current content of the partition.

    end is the offset that it has read to; a sender that states it accepts OfferRecords.
    reaches_store tells that the store answers it or its source, so that it has data soon. sent_at
    is the sender's monotonic time, for an offer in response.
    """

    cause: str
    end: int | None = None
    reaches_store: bool = False
    sent_at: float | None = None


@frozen
class OfferRecords:
    """Offer current records, changed since an offset, to a peer without a current source.

    answers_at is the sent_at of the message that the offer responds to, so that the peer knows how
    long the offer has been on its way at most.
    """

    topic: str
    number: int
    from_offset: int
    records: Records
    answers_at: float | None = None


Message = (
    Heartbeat
    | Ping
    | Pong
    | KeepBill
    | BillKept
    | DropBill
    | TargetDied
    | DeathNoted
    | SegmentsProven
    | FetchEntries
    | Entries
    | AskTokens
    | TransferTokens
    | ReportHoldings
    | HoldingsReport
    | FetchSnapshot
    | SnapshotPiece
    | NoSnapshot
    | AppendRecords
    | RecordsAppended
    | FetchVms
    | Vms
    | ReserveTokens
    | TokensReserved
    | TokensLacking
    | SettleTokens
    | TokensSettled
    | FetchRecords
    | Records
    | RecordsAway
    | OfferRecords
)


@frozen
class Packet:
    """Wrap a numbered message; reply_to is the number of the request packet, or 0 if none."""

    number: int
    reply_to: int
    message: Message
