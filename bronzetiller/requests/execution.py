"""Decide what is known about the execution of a request; no I/O.

A caller is told that its request was not run only if each attempt is proved not to have run it. A
request that may run once is sent again only with the same proof.
"""

from enum import Enum
from typing import Protocol

from attrs import define, evolve, frozen

from bronzetiller.errors import InvariantError, Ran, Refusal

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # callers take them for "not run"
MISDIRECTED_STATUS = 421
UNKNOWN_STATUS = 502


class Verdict(Enum):
    """Name what a response shows about the request that it responds to."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNPROVED = "unproved"
    UNRELATED = "unrelated"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the request was not run and never will be by this attempt."""
        return self in (Verdict.NOT_RUN, Verdict.MISDIRECTED)


@frozen
class ResponseFacts:
    """Describe the head of a response.

    names_request tells whether it carries the id of the request, states_not_run whether its sender
    states in the protocol, beyond the status, that it did not run the request, is_sealed whether it
    has the signature that the protocol asks of a success, and is_first whether its connection
    carried no request before.
    """

    status: int
    names_request: bool
    states_not_run: bool
    is_sealed: bool = True
    is_first: bool = True


def judge_response(facts: ResponseFacts) -> Verdict:
    """Return what a response shows; the first row that applies decides.

    | status             | states not run | names request | verdict     | the caller gets         |
    |--------------------|----------------|---------------|-------------|-------------------------|
    | any                | yes            | no            | UNRELATED   | 502, or another attempt |
    | below 400          | yes            | yes           | UNRELATED   | 502, or another attempt |
    | 421                | yes            | yes           | MISDIRECTED | another attempt, or 503 |
    | any                | yes            | yes           | NOT_RUN     | another attempt, or 503 |
    | any                | no             | no, not first | UNRELATED | 502, or another attempt |
    | 200 to 299         | no             | no, or unsealed | UNRELATED | 502, or another attempt |
    | 408, 421, 429, 503 | no             | any           | UNPROVED    | 502, or another attempt |
    | 500 and above      | no             | any           | FAILED      | the response            |
    | any                | no             | any           | ANSWERED    | the response            |

    "Another attempt" after a verdict that proves nothing is for requests that may run again. An
    UNRELATED response may be a copy of an earlier one or bytes of no request, and the request
    itself may have run.
    """
    if facts.states_not_run:
        if not facts.names_request or facts.status < 400:
            return Verdict.UNRELATED
        is_misdirected = facts.status == MISDIRECTED_STATUS
        return Verdict.MISDIRECTED if is_misdirected else Verdict.NOT_RUN
    if not facts.names_request and not facts.is_first:
        return Verdict.UNRELATED
    if 200 <= facts.status < 300 and not (facts.names_request and facts.is_sealed):
        return Verdict.UNRELATED
    if facts.status in NOT_RUN_STATUSES:
        return Verdict.UNPROVED
    return Verdict.ANSWERED if facts.status < 500 else Verdict.FAILED


def correct_ran(refusal: Refusal, *, may_have_run: bool) -> Refusal:
    """Return a refusal whose body does not deny an execution that may have taken place."""
    denies = may_have_run and refusal.ran is Ran.NO
    return evolve(refusal, ran=Ran.UNKNOWN) if denies else refusal


def correct_refusal(refusal: Refusal, *, may_have_run: bool) -> Refusal:
    """Return a refusal of which neither body nor status denies a possible execution."""
    corrected = correct_ran(refusal, may_have_run=may_have_run)
    if not may_have_run or refusal.status not in NOT_RUN_STATUSES:
        return corrected
    return evolve(corrected, status=UNKNOWN_STATUS, retry_after_seconds=None)


def is_promise(refusal: Refusal) -> bool:
    """Return whether the caller learns from a refusal that its request was not run."""
    return refusal.ran is Ran.NO and refusal.status in NOT_RUN_STATUSES


class SentAttempt(Protocol):
    """Define what an execution reads of an attempt."""

    @property
    def finished(self) -> bool:
        """Return whether the attempt has ended."""

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have been sent, without a proof that it was not run."""


@define(eq=False)
class Execution:
    """Hold whether a request may have run, over its attempts, one after the other."""

    _attempt: SentAttempt | None = None
    _earlier_may_have_run: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether one of the attempts may have run the request."""
        current = self._attempt is not None and self._attempt.may_have_run
        return self._earlier_may_have_run or current

    def begin(self, attempt: SentAttempt) -> None:
        """Track the next attempt; raise InvariantError while an earlier one goes on."""
        if self._attempt is not None and not self._attempt.finished:
            raise InvariantError("a request has two attempts at a time, expected one")
        self._earlier_may_have_run = self.may_have_run
        self._attempt = attempt
