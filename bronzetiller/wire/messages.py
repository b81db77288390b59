"""Define the messages between nodes."""

from attrs import field, frozen

from bronzetiller.budgets.records import Bill, Charge

PROTOCOL_VERSION = 1


@frozen
class Heartbeat:
    """Tell peers who and where a node is and how far it has read each stream."""

    node_id: str
    incarnation: str
    region: str
    data_centre: str
    address: str
    stopping: bool
    next_offsets: dict[str, int] = field(factory=dict)
    ready: bool = False
    schemas_understood: list[int] = field(factory=list)


@frozen
class KeepBill:
    """Ask a peer to keep a bill and to append it if its owner falls silent."""

    bill: Bill
    stream: str


@frozen
class BillKept:
    """Confirm that a peer keeps the bill."""


@frozen
class DropBill:
    """Tell a peer that the bill of a request is in the log."""

    workspace: str
    request_id: str


@frozen
class FetchEntries:
    """Ask a peer for the entries of a stream from an offset on."""

    stream: str
    from_offset: int


@frozen
class RelayedEntry:
    """Carry one log entry; the record is its JSON text."""

    offset: int
    at: float
    record: str


@frozen
class Entries:
    """Answer FetchEntries with what the peer keeps in memory."""

    stream: str
    entries: list[RelayedEntry]


@frozen
class AskTokens:
    """Ask a peer to transfer tokens of a workspace."""

    transfer_id: str
    workspace: str
    tokens: int


@frozen
class TransferTokens:
    """Answer AskTokens; the peer has already taken the charges off its own holdings."""

    transfer_id: str
    workspace: str
    charges: list[Charge]


Message = (
    Heartbeat | KeepBill | BillKept | DropBill | FetchEntries | Entries | AskTokens | TransferTokens
)


@frozen
class Packet:
    """Number a message; reply_to is the number of the packet it answers, or 0."""

    number: int
    reply_to: int
    message: Message
