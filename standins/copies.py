"""Write copies of earlier responses into a connection to a target, as a faulty target does."""

import re
from collections import deque
from random import Random

import h11
from attrs import define, field, frozen

ANSWERS_MAX = 16  # of one connection
_REQUEST_ID = re.compile(rb"\r\nx-request-id: *([^\r\n]*)", re.IGNORECASE)


@frozen
class Copying:
    """Describe the copies that a link writes.

    when is "after" for copies that follow the original at once, "before" for copies that precede a
    later response, and "early" for copies that precede it as soon as the request was forwarded.
    own_portion is the portion of the responses that have a copy, of those to an id of which the
    connection has carried a response before, and other_portion that of all others. cut is the
    portion of the head that is written; the rest of the copy is missing then.
    """

    kinds: tuple[str, ...] = ("refusal", "success", "error")
    when: str = "before"
    times: int = 1
    own_portion: float = 1.0
    other_portion: float = 1.0
    cut: float | None = None


@frozen
class Answer:
    """Hold a complete response that was forwarded."""

    kind: str
    request_id: bytes
    data: bytes


@define(eq=False)
class CopyingConnection:
    """Record the responses of one connection, and insert copies of them.

    The connection carries one request at a time; data of the client that arrives after a complete
    response begins the next request.
    """

    _random: Random
    copied: int = 0
    _answers: deque[Answer] = field(factory=lambda: deque(maxlen=ANSWERS_MAX))
    _parser: h11.Connection | None = None
    _request_id: bytes = b""
    _received: bytearray = field(factory=bytearray)
    _head: h11.Response | None = None

    def handle_request(self, data: bytes, copying: Copying | None) -> bytes:
        """Record data of the client; return the copies that the client receives at once."""
        if self._parser is not None:
            return b""
        found = _REQUEST_ID.search(data)
        self._request_id = b"" if found is None else found[1]
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(h11.Request(method="GET", target="/", headers=[("Host", "target")]))
        self._parser.send(h11.EndOfMessage())
        self._received.clear()
        self._head = None
        return self._make_copies(copying, "early")

    def handle_response(self, data: bytes, copying: Copying | None) -> bytes:
        """Return the data of a response with copies before or after it."""
        parser = self._parser
        if parser is None:
            return data
        before = b"" if self._received else self._make_copies(copying, "before")
        self._received += data
        try:
            parser.receive_data(data)
            is_complete = self._parse(parser)
        except h11.RemoteProtocolError:
            return before + data
        if not is_complete:
            return before + data
        assert self._head is not None
        answer = Answer(_get_kind(self._head), self._request_id, bytes(self._received))
        self._answers.append(answer)
        self._parser = None
        return before + data + self._make_copies(copying, "after")

    def _parse(self, parser: h11.Connection) -> bool:
        """Return whether the response is complete."""
        while True:
            event = parser.next_event()
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.EndOfMessage):
                return True
            elif not isinstance(event, h11.Data | h11.InformationalResponse):
                return False

    def _make_copies(self, copying: Copying | None, when: str) -> bytes:
        if copying is None or copying.when != when:
            return b""
        candidates = [item for item in self._answers if item.kind in copying.kinds]
        if when == "after":
            candidates = [item for item in candidates if item is self._answers[-1]]
        own = [item for item in candidates if item.request_id == self._request_id]
        portion = copying.own_portion if own and when != "after" else copying.other_portion
        if not candidates or self._random.random() >= portion:
            return b""
        data = self._random.choice(own or candidates).data
        if copying.cut is not None:
            data = data[: max(1, round(copying.cut * data.index(b"\r\n\r\n")))]
        self.copied += copying.times
        return copying.times * data


def _get_kind(head: h11.Response) -> str:
    names = {name for name, _ in head.headers}
    if b"x-not-executed" in names or head.status_code == 421:
        return "refusal"
    return "success" if head.status_code < 400 else "error"
