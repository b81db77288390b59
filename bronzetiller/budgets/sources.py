"""Decide where the tokens of a waiting request come from, without any input or output."""

from enum import StrEnum

from attrs import frozen

# Tokens between two nodes are in nobody's answer; they arrive within the time of a round.
SHORT_ROUNDS_MIN = 2


class NextStep(StrEnum):
    """Say what to do for a workspace whose requests wait for tokens."""

    LEDGER = "ledger"
    PEERS = "peers"
    RETURN = "return"
    WAIT = "wait"
    EXHAUSTED = "exhausted"


@frozen
class TokenRequestOutcome:
    """Sum up what the asked peers gave and may still have.

    complete says that every node which holds a grant of the workspace has answered.
    """

    received_tokens: int
    kept_tokens: int
    complete: bool


@frozen
class Shortage:
    """Describe a workspace whose first waiting request lacks tokens.

    needed are the request's tokens; balance and held those of this node, without and with the
    reserved ones; free and unspent those of the ledger as read. fresh says that the ledger was
    read to the log's end, record_pending that a grant or return of this node has no ruling yet,
    short_rounds how often in turn all peers together had too few.
    """

    needed: int
    balance: int
    held: int
    free: int
    unspent: int
    ledger_current: bool
    record_pending: bool
    credit_pending: bool
    peer_request_running: bool
    peer_outcome: TokenRequestOutcome | None
    short_rounds: int


def choose_next_step(shortage: Shortage) -> NextStep:
    """Return the next step; exhausted only where no node and no record can have enough tokens.

    Tokens that suffice for nothing here go back to the ledger, whose order then decides which
    node's request gets them.
    """
    if shortage.peer_request_running:
        return NextStep.WAIT
    if shortage.ledger_current:
        if shortage.record_pending:
            return NextStep.WAIT
        if shortage.free >= shortage.needed - shortage.balance:
            return NextStep.LEDGER
        if shortage.unspent < shortage.needed and not shortage.credit_pending:
            return NextStep.EXHAUSTED
    if shortage.peer_outcome is None:
        return NextStep.PEERS
    if not shortage.ledger_current or shortage.credit_pending:
        return NextStep.WAIT
    if shortage.balance:
        return NextStep.RETURN
    if shortage.short_rounds >= SHORT_ROUNDS_MIN:
        return NextStep.EXHAUSTED
    return NextStep.WAIT


def is_fleet_short(shortage: Shortage) -> bool:
    """Say whether this node, the ledger and all peers together have too few tokens."""
    asked = shortage.peer_outcome
    if (
        asked is None
        or not asked.complete
        or not shortage.ledger_current
        or shortage.record_pending
    ):
        return False
    return shortage.free + shortage.held + asked.kept_tokens < shortage.needed
