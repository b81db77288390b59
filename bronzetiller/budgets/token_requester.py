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

REQUEST_TIMEOUT_SECONDS = 0.5
WAITING_REQUEST_TIMEOUT_SECONDS = 1.5
PEERS_PER_ROUND_MAX = 12

OutcomeCallback = Callable[[TokenRequestOutcome], None]


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
class _RequestRound:
    ask: TokenRequest
    on_finished: OutcomeCallback
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
    _running_ids: set[str] = field(factory=set)

    def ask(self, ask: TokenRequest, asked: OutcomeCallback) -> None:
        """Ask the peers; asked is called once, maybe before this returns."""
        connected = set(self._peers.connected())
        reachable = [node_id for node_id in ask.node_ids if node_id in connected]
        waiting = reachable[:PEERS_PER_ROUND_MAX]
        complete = ask.complete and len(waiting) == len(ask.node_ids)
        self._request_next(_RequestRound(ask, asked, waiting, TokenRequestOutcome(0, 0, complete)))

    def retry_unanswered(self) -> None:
        """Ask again, for nothing more, where a peer may have given without an answer."""
        connected = set(self._peers.connected())
        for (node_id, workspace), transfer_id in list(self._unanswered.items()):
            if node_id in connected and transfer_id not in self._running_ids:
                self._retry(node_id, workspace, transfer_id)

    def _retry(self, node_id: str, workspace: str, transfer_id: str) -> None:
        self._running_ids.add(transfer_id)
        message = AskTokens(transfer_id, workspace, 0, 0, self._node_id, log_reachable=False)

        def answered(result: Result[Message, str]) -> None:
            self._running_ids.discard(transfer_id)
            match result:
                case Ok(TransferTokens() as answer):
                    self._receive(node_id, answer)

        self._peers.ask(node_id, message, REQUEST_TIMEOUT_SECONDS, answered)

    def _receive(self, node_id: str, answer: TransferTokens) -> int:
        self._unanswered.pop((node_id, answer.workspace), None)
        taken = self._transfers.receive(
            self._holdings, answer.transfer_id, answer.workspace, answer.charges
        )
        TOKENS_MOVED.labels("taken_from_peer").inc(taken)
        if taken:
            log_event("tokens_taken", workspace=answer.workspace, peer=node_id, tokens=taken)
        return taken

    def _request_next(self, state: _RequestRound) -> None:
        ask = state.ask
        missing = ask.missing_tokens - state.outcome.received_tokens
        if missing <= 0 or not state.waiting:
            state.on_finished(state.outcome)
            return
        node_id = state.waiting.pop(0)
        # An ask without an answer is repeated by its id: the peer may have given already.
        key = (node_id, ask.workspace)
        transfer_id = self._unanswered.setdefault(key, f"{self._node_id}/{uuid4().hex}")
        self._transfers.await_transfer(transfer_id)
        self._running_ids.add(transfer_id)
        message = AskTokens(
            transfer_id,
            ask.workspace,
            missing,
            ask.wanted_tokens,
            self._node_id,
            ask.log_reachable,
            ask.may_wait,
        )
        seconds = WAITING_REQUEST_TIMEOUT_SECONDS if ask.may_wait else REQUEST_TIMEOUT_SECONDS

        def answered(result: Result[Message, str]) -> None:
            self._running_ids.discard(transfer_id)
            self._handle_reply(state, node_id, result)

        self._peers.ask(node_id, message, seconds, answered)

    def _handle_reply(
        self, state: _RequestRound, node_id: str, result: Result[Message, str]
    ) -> None:
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
        self._request_next(state)
