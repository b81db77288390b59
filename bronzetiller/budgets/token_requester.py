"""Request tokens from peers, one peer after the other."""

from collections.abc import Callable
from uuid import uuid4

from attrs import define, evolve, field, frozen
from result import Ok, Result

from bronzetiller.budgets.holdings import Holdings
from bronzetiller.budgets.sources import TokenRequestOutcome
from bronzetiller.budgets.transfers import Transfers
from bronzetiller.fleet.peers import Peers
from bronzetiller.logs import log_event
from bronzetiller.metrics import TOKEN_REQUESTS, TOKENS_MOVED
from bronzetiller.wire.messages import AskTokens, Message, TransferTokens

REQUEST_TIMEOUT_SECONDS = 0.5
WAITING_REQUEST_TIMEOUT_SECONDS = 1.5
PEERS_PER_ROUND_MAX = 12

OutcomeCallback = Callable[[TokenRequestOutcome], None]


@frozen
class TokenRequest:
    """Describe one round of token requests.

    The peers are tried in the order of node_ids. missing_tokens is the number needed by the queued
    request, wanted_tokens the number to take from a peer that can spare them. complete is true if
    node_ids has every node that holds a grant of the workspace.
    """

    workspace: str
    missing_tokens: int
    wanted_tokens: int
    log_reachable: bool
    may_wait: bool
    node_ids: list[str]
    complete: bool


@define
class _RequestRound:
    """Track the progress of one round of token requests."""

    request: TokenRequest
    on_finished: OutcomeCallback
    peers_left: list[str]
    outcome: TokenRequestOutcome


@define(eq=False)
class TokenRequester:
    """Request tokens from peers until enough have arrived or every peer has been tried."""

    _peers: Peers
    _holdings: Holdings
    _transfers: Transfers
    _node_id: str
    _unanswered: dict[tuple[str, str], str] = field(factory=dict)
    _in_flight_ids: set[str] = field(factory=set)

    def start_round(self, request: TokenRequest, on_finished: OutcomeCallback) -> None:
        """Start a round; on_finished is called exactly once, possibly before this returns."""
        connected = set(self._peers.connected())
        reachable = [node_id for node_id in request.node_ids if node_id in connected]
        peers_left = reachable[:PEERS_PER_ROUND_MAX]
        complete = request.complete and len(peers_left) == len(request.node_ids)
        self._request_next(
            _RequestRound(request, on_finished, peers_left, TokenRequestOutcome(0, 0, complete))
        )

    def retry_unanswered(self) -> None:
        """Resend unanswered requests, to collect transfers whose response was lost.

        They request zero tokens, so that a peer that never received the original sends none.
        """
        connected = set(self._peers.connected())
        for (node_id, workspace), transfer_id in list(self._unanswered.items()):
            if node_id in connected and transfer_id not in self._in_flight_ids:
                self._retry(node_id, workspace, transfer_id)

    def _retry(self, node_id: str, workspace: str, transfer_id: str) -> None:
        self._in_flight_ids.add(transfer_id)
        message = AskTokens(transfer_id, workspace, 0, 0, self._node_id, log_reachable=False)

        def handle_reply(result: Result[Message, str]) -> None:
            self._in_flight_ids.discard(transfer_id)
            match result:
                case Ok(TransferTokens() as response):
                    self._receive(node_id, response)

        self._peers.request(node_id, message, REQUEST_TIMEOUT_SECONDS, handle_reply)

    def _receive(self, node_id: str, response: TransferTokens) -> int:
        self._unanswered.pop((node_id, response.workspace), None)
        taken = self._transfers.receive(
            self._holdings, response.transfer_id, response.workspace, response.charges
        )
        TOKENS_MOVED.labels("taken_from_peer").inc(taken)
        if taken:
            log_event("tokens_taken", workspace=response.workspace, peer=node_id, tokens=taken)
        return taken

    def _request_next(self, current_round: _RequestRound) -> None:
        request = current_round.request
        missing = request.missing_tokens - current_round.outcome.received_tokens
        if missing <= 0 or not current_round.peers_left:
            current_round.on_finished(current_round.outcome)
            return
        node_id = current_round.peers_left.pop(0)
        # Reuse the id of an unanswered request: the peer may have deducted the tokens already.
        key = (node_id, request.workspace)
        transfer_id = self._unanswered.setdefault(key, f"{self._node_id}/{uuid4().hex}")
        self._transfers.await_transfer(transfer_id)
        self._in_flight_ids.add(transfer_id)
        message = AskTokens(
            transfer_id,
            request.workspace,
            missing,
            request.wanted_tokens,
            self._node_id,
            request.log_reachable,
            request.may_wait,
        )
        seconds = WAITING_REQUEST_TIMEOUT_SECONDS if request.may_wait else REQUEST_TIMEOUT_SECONDS

        def handle_reply(result: Result[Message, str]) -> None:
            self._in_flight_ids.discard(transfer_id)
            self._handle_round_reply(current_round, node_id, result)

        self._peers.request(node_id, message, seconds, handle_reply)

    def _handle_round_reply(
        self, current_round: _RequestRound, node_id: str, result: Result[Message, str]
    ) -> None:
        outcome = current_round.outcome
        match result:
            case Ok(TransferTokens() as response):
                taken = self._receive(node_id, response)
                kept = response.kept_tokens + response.returned_tokens
                TOKEN_REQUESTS.labels("given" if taken else "nothing").inc()
                current_round.outcome = evolve(
                    outcome,
                    received_tokens=outcome.received_tokens + taken,
                    kept_tokens=outcome.kept_tokens + kept,
                )
            case _:
                TOKEN_REQUESTS.labels("no_answer").inc()
                current_round.outcome = evolve(outcome, complete=False)
        self._request_next(current_round)
