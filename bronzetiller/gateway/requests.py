"""Describe a caller's request and what a target says of it; pure."""

from enum import Enum

from attrs import frozen


@frozen
class PromptSegment:
    """Name a part of a prompt that several requests may share, and its tokens."""

    segment_id: str
    tokens: int


@frozen
class Prompt:
    """Count the tokens of a model request; the last part belongs to the request or its session."""

    tokens: int
    answer_tokens_max: int
    segments: tuple[PromptSegment, ...] = ()

    @property
    def tokens_max(self) -> int:
        """Return the most tokens that the request can use."""
        return self.tokens + self.answer_tokens_max

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Return the parts that other requests may share."""
        return self.segments[:-1]


@frozen
class RequestMetadata:
    """Hold what a caller asks beside method, path and body; seconds_left as of its arrival."""

    request_id: str
    key: str
    seconds_left: float | None
    prompt: Prompt | None
    last_event_id: int | None
    forwarded_headers: dict[str, str]


class ResponseClass(Enum):
    """Say what a target made of a request."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "other_target"


@frozen
class LoadReport:
    """Count the requests that run and wait at a target, and its slots."""

    running: int
    waiting: int
    slots: int
