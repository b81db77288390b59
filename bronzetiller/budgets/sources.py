"""Choose where to get tokens for a queued request; no I/O."""

from enum import StrEnum

from attrs import frozen

# Tokens in transit between two nodes are in no peer's response, so a single round may undercount.
# They arrive within the time of a round.
SHORT_ROUNDS_MIN = 2


class NextStep(StrEnum):
    """Name the action to take for a workspace whose queued requests lack tokens."""

    LEDGER = "ledger"
    PEERS = "peers"
    RETURN = "return"
    WAIT = "wait"
    EXHAUSTED = "exhausted"


@frozen
class TokenRequestOutcome:
    """Count the tokens received from peers in one round, and those that they may still hold.

    complete is true if every node that holds a grant of the workspace has responded.
    """

    received_tokens: int
    kept_tokens: int
    complete: bool


@frozen
class Shortage:
    """Describe a workspace whose first queued request lacks tokens.

    needed is the request's tokens. balance and held count the tokens of this node, without and
    with the reserved ones; free and unspent are those of the local copy of the ledger.
    ledger_current is true if that copy has been read to the end of the log, record_pending if the
    ledger has yet to apply a grant or return of this node, and credit_pending if it lacks an
    accepted top-up. short_rounds counts the consecutive rounds in which the fleet had too few
    tokens.
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
    """Return the next step; EXHAUSTED only if no node and no pending record can have enough tokens.

    A balance too small for the request is returned to the ledger, where the order of records
    decides which node's request gets the tokens.
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
    """Return whether this node, the ledger and all peers together have too few tokens."""
    outcome = shortage.peer_outcome
    if (
        outcome is None
        or not outcome.complete
        or not shortage.ledger_current
        or shortage.record_pending
    ):
        return False
    return shortage.free + shortage.held + outcome.kept_tokens < shortage.needed
