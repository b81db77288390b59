"""Decide where the tokens of a waiting request come from, without any input or output."""

from enum import StrEnum

from attrs import frozen


class Source(StrEnum):
    """Say what to do for a workspace whose requests wait for tokens."""

    LEDGER = "ledger"
    PEERS = "peers"
    WAIT = "wait"
    EXHAUSTED = "exhausted"


@frozen
class AskOutcome:
    """Sum up what the asked peers gave and may still have.

    complete says that every node which holds a grant of the workspace has answered.
    """

    received_tokens: int
    kept_tokens: int
    complete: bool


@frozen
class Shortage:
    """Describe a workspace whose first waiting request lacks tokens.

    needed are the request's tokens, held those of this node that are reserved or not, free and
    unspent those of the ledger as read; fresh says that the ledger was read to the log's end.
    """

    needed: int
    held: int
    free: int
    unspent: int
    fresh: bool
    grant_pending: bool
    credit_pending: bool
    asking: bool
    asked: AskOutcome | None


def choose_source(shortage: Shortage) -> Source:
    """Return the next step; exhausted only where no node and no record can have enough tokens."""
    if shortage.asking:
        return Source.WAIT
    if shortage.fresh:
        if shortage.grant_pending:
            return Source.WAIT
        if shortage.free > 0:
            return Source.LEDGER
        if shortage.unspent < shortage.needed and not shortage.credit_pending:
            return Source.EXHAUSTED
    if shortage.asked is None:
        return Source.PEERS
    if shortage.fresh and not shortage.credit_pending and shortage.asked.complete:
        reachable = shortage.held + shortage.asked.kept_tokens
        return Source.EXHAUSTED if reachable < shortage.needed else Source.WAIT
    return Source.WAIT
