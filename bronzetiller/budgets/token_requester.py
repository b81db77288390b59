"""Ask peers for tokens, one after the other."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define, evolve, field, frozen
from result import Ok, Result

from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.sources import TokenRequestOutcome
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.fleet.peers import Peers
from bronzetiller.logs import log_event
from bronzetiller.metrics import PEER_ASKS, TOKENS_MOVED
from bronzetiller.wire.messages import AskTokens, Message, TransferTokens

ASK_SECONDS = 0.5
ASK_WAIT_SECONDS = 1.5
ASKED_PEERS_MAX = 12

Asked = Callable[[TokenRequestOutcome], None]


@frozen
class TokenRequest:
    """Describe one round of asking: the peers in order, and whether they are all the holders."""

    workspace: str
    missing_tokens: int
    wanted_tokens: int
    log_reachable: bool
    may_wait: bool
    node_ids: list[str]
    complete: bool


@define
class _Round:
    ask: TokenRequest
    asked: Asked
    waiting: list[str]
    outcome: TokenRequestOutcome


@define(eq=False)
class TokenRequester:
    """Ask until the missing tokens have come or every peer has answered."""

    _peers: Peers
    _holdings: Holdings
    _transfers: Transfers
    _node_id: str
    _unanswered: dict[tuple[str, str], str] = field(factory=dict)
    _asking: set[str] = field(factory=set)

    def ask(self, ask: TokenRequest, asked: Asked) -> None:
        """Ask the peers; asked is called once, maybe before this returns."""
        connected = set(self._peers.connected())
        reachable = [node_id for node_id in ask.node_ids if node_id in connected]
        waiting = reachable[:ASKED_PEERS_MAX]
        complete = ask.complete and len(waiting) == len(ask.node_ids)
        self._next(_Round(ask, asked, waiting, TokenRequestOutcome(0, 0, complete)))

    def repeat_unanswered(self) -> None:
        """Ask again, for nothing more, where a peer may have given without an answer."""
        connected = set(self._peers.connected())
        for (node_id, workspace), transfer_id in list(self._unanswered.items()):
            if node_id in connected and transfer_id not in self._asking:
                self._repeat(node_id, workspace, transfer_id)

    def _repeat(self, node_id: str, workspace: str, transfer_id: str) -> None:
        self._asking.add(transfer_id)
        message = AskTokens(transfer_id, workspace, 0, 0, self._node_id, log_reachable=False)

        def answered(result: Result[Message, str]) -> None:
            self._asking.discard(transfer_id)
            match result:
                case Ok(TransferTokens() as answer):
                    self._receive(node_id, answer)

        self._peers.ask(node_id, message, ASK_SECONDS, answered)

    def _receive(self, node_id: str, answer: TransferTokens) -> int:
        self._unanswered.pop((node_id, answer.workspace), None)
        taken = self._transfers.receive(
            self._holdings, answer.transfer_id, answer.workspace, answer.charges
        )
        TOKENS_MOVED.labels("taken_from_peer").inc(taken)
        if taken:
            log_event("tokens_taken", workspace=answer.workspace, peer=node_id, tokens=taken)
        return taken

    def _next(self, state: _Round) -> None:
        ask = state.ask
        missing = ask.missing_tokens - state.outcome.received_tokens
        if missing <= 0 or not state.waiting:
            state.asked(state.outcome)
            return
        node_id = state.waiting.pop(0)
        # An ask without an answer is repeated by its id: the peer may have given already.
        key = (node_id, ask.workspace)
        transfer_id = self._unanswered.setdefault(key, f"{self._node_id}/{uuid4().hex}")
        self._transfers.await_transfer(transfer_id)
        self._asking.add(transfer_id)
        message = AskTokens(
            transfer_id,
            ask.workspace,
            missing,
            ask.wanted_tokens,
            self._node_id,
            ask.log_reachable,
            ask.may_wait,
        )
        seconds = ASK_WAIT_SECONDS if ask.may_wait else ASK_SECONDS

        def answered(result: Result[Message, str]) -> None:
            self._asking.discard(transfer_id)
            self._take_answer(state, node_id, result)

        self._peers.ask(node_id, message, seconds, answered)

    def _take_answer(self, state: _Round, node_id: str, result: Result[Message, str]) -> None:
        outcome = state.outcome
        match result:
            case Ok(TransferTokens() as answer):
                taken = self._receive(node_id, answer)
                kept = answer.kept_tokens + answer.returned_tokens
                PEER_ASKS.labels("given" if taken else "nothing").inc()
                state.outcome = evolve(
                    outcome,
                    received_tokens=outcome.received_tokens + taken,
                    kept_tokens=outcome.kept_tokens + kept,
                )
            case _:
                PEER_ASKS.labels("no_answer").inc()
                state.outcome = evolve(outcome, complete=False)
        self._next(state)
