"""Define caller requests and how targets respond to them; no I/O."""

from attrs import frozen

from bronzetiller.requests.execution import Verdict


@frozen
class PromptSegment:
    """Identify a segment of a prompt that requests may share, with its token count."""

    segment_id: str
    tokens: int


@frozen
class Prompt:
    """Count the tokens of a model request; its last segment belongs to one request or session."""

    tokens: int
    answer_tokens_max: int
    segments: tuple[PromptSegment, ...] = ()

    @property
    def tokens_max(self) -> int:
        """Return the maximum number of tokens that the request can use."""
        return self.tokens + self.answer_tokens_max

    @property
    def shared_segments(self) -> tuple[PromptSegment, ...]:
        """Return the segments that other requests may share."""
        return self.segments[:-1]


@frozen
class RequestMetadata:
    """Hold the decoded request headers; seconds_left counts from the arrival.

    resumes is the id of the request that brought the first event of a stream taken up again. A
    request that a peer forwards has the number of attempts that the peer has made, and the version
    of the configuration that the peer knows.
    """

    request_id: str
    key: str
    seconds_left: float | None
    prompt: Prompt | None
    last_event_id: int | None
    forwarded_headers: dict[str, str]
    resumes: str | None = None
    forwarded_attempts: int | None = None
    forwarded_version: int | None = None


def proves_survival(verdict: Verdict, status: int, *, names_request: bool) -> bool:
    """Return whether a response shows that its target ran the request and outlived it.

    A failure or an early rejection may come from a target that never began on the request, and a
    response that does not name its request may be a late one to another request.
    """
    is_success = verdict is Verdict.ANSWERED and 200 <= status < 300
    return is_success and names_request


@frozen(order=True)
class Urgency:
    """Rate how much a request loses by a slow target; the least of several is the most urgent."""

    priority: int
    latency_target_seconds: float


@frozen
class LoadReport:
    """Count the running and waiting requests of a target and its slots.

    slowdown states how long work takes at the target now, in proportion to its usual time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@frozen
class StatedBounds:
    """Hold what a target in need states: the requests that it accepts, the refusals it survives.

    Both are per second and over all nodes; None is no bound. With pause_seconds it wants no other
    request of this node for that long, and with is_leaving none at all. With warm_up_seconds it is
    cold for that long, or warm if 0.
    """

    requests_per_second: float | None = None
    refusals_per_second: float | None = None
    pause_seconds: float | None = None
    is_leaving: bool = False
    warm_up_seconds: float | None = None
