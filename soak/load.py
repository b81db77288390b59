"""Send random requests over persistent connections until the run ends."""

import http.client
import itertools
import re
import threading
import time
from collections.abc import Mapping
from random import Random
from types import MappingProxyType

from attrs import define, field

from soak.environment import Environment
from soak.history import NOT_EXECUTED_STATUSES, Sent
from standins.gateway_fleet import HOST, KEY
from standins.path_engine import LABEL

RETRYABLE_BY_ROUTE = {"draft": True, "score": False, "order": False, "status": True}
PROMPT_TOKENS = 20
EVENTS_MAX = 12
PAUSE_MEAN_SECONDS = 0.05
CALLER_TIMEOUT_SECONDS = 6.0  # slightly above the timeout of every route
DISCONNECT_PROBABILITY = 0.05  # per request: the caller closes the connection after sending it
UNNAMED_PROBABILITY = 0.05  # per request: it has no id
# After a response that promises that a request was not run: the same id is sent again.
REPEAT_PROBABILITY = 0.7
REPEATS_MAX = 4


@define(eq=False)
class Caller:
    """Send requests as one caller, over a persistent connection to one node at a time.

    repeat_random decides which requests have no id, and which are sent again.
    """

    environment: Environment
    random: Random
    repeat_random: Random
    name: str
    sent: list[Sent]
    stop: threading.Event
    _numbers: "itertools.count[int]" = field(factory=itertools.count)
    _connection: http.client.HTTPConnection | None = None
    _node: str = ""

    def run(self) -> None:
        """Send one request after another until stopped, and record each result."""
        while not self.stop.is_set():
            sent = self._send_until_run()
            if sent.route == "draft" and sent.status == 200 and not sent.whole:
                self._take_up(sent)
            time.sleep(self.random.uniform(0, 2 * PAUSE_MEAN_SECONDS))

    def _take_up(self, broken: Sent) -> None:
        """Take up a stream that broke off, once."""
        events = re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", broken.body)
        if events:
            headers = {"Last-Event-Id": events[-1].decode(), "Resumes": broken.request_id}
            first_event = int(events[-1]) + 1
            request_id = f"{self.name}-{next(self._numbers)}"
            self._send("draft", request_id, broken.events, headers, first_event)

    def _send_until_run(self) -> Sent:
        """Send a request, and mostly send it again under its id while it was not run."""
        route = self.random.choice(list(RETRYABLE_BY_ROUTE))
        request_id = f"{self.name}-{next(self._numbers)}"
        events = self.random.randint(1, EVENTS_MAX)
        is_named = self.repeat_random.random() >= UNNAMED_PROBABILITY
        for _ in range(REPEATS_MAX):
            sent = self._send(route, request_id, events, is_named=is_named)
            promises = sent.status in NOT_EXECUTED_STATUSES
            if not promises or self.repeat_random.random() >= REPEAT_PROBABILITY:
                break
            time.sleep(self.repeat_random.uniform(0, PAUSE_MEAN_SECONDS))
        return sent

    def _send(
        self,
        route: str,
        request_id: str,
        events: int,
        more_headers: Mapping[str, str] = MappingProxyType({}),
        first_event: int = 1,
        *,
        is_named: bool = True,
    ) -> Sent:
        headers = {"Host": HOST, "Api-Key": KEY, **more_headers}
        headers["X-Request-Id" if is_named else LABEL] = request_id
        headers["X-Deadline-Ms"] = str(self.random.choice([800, 2000, 4000]))
        if route in ("draft", "score"):
            headers["X-Token-Usage"] = f"{PROMPT_TOKENS},{events}"
            headers["X-Prompt-Prefix"] = f"{self.random.randint(1, 4):x}:15,{request_id}:5"
        method = "GET" if route == "status" else "POST"
        status, body, complete = 0, b"", False
        sent_at = time.time()
        node = ""
        try:
            connection = self._connect()
            node = self._node
            connection.request(method, f"/{route}/2f", b"" if method == "GET" else b"x", headers)
            if self.random.random() < DISCONNECT_PROBABILITY:
                self._close()
            else:
                response = connection.getresponse()
                status = response.status
                body = response.read()
                complete = True
                if response.will_close:
                    self._close()
        except http.client.IncompleteRead as error:
            body = error.partial
            self._close()
        except (OSError, http.client.HTTPException):
            self._close()
        sent = Sent(
            request_id,
            route,
            RETRYABLE_BY_ROUTE[route],
            events,
            status,
            body,
            complete,
            first_event,
            is_named,
            node,
            sent_at,
            time.time(),
        )
        self.sent.append(sent)
        return sent

    def _connect(self) -> http.client.HTTPConnection:
        if self._connection is None:
            node = self.random.choice(self.environment.nodes)
            self._node = node
            ip, _, port = self.environment.fleet.address(node).rpartition(":")
            self._connection = http.client.HTTPConnection(
                ip, int(port), timeout=CALLER_TIMEOUT_SECONDS
            )
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
