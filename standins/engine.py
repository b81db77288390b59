"""Stand-in for a model engine that speaks the chat completions protocol.

python -m standins.engine --listen ip:port [--token-seconds S] [--slots N] [--fault NAME ...]

The completion depends on the prompt alone, so that a caller can verify that it received the
complete response to its own request.
"""

import argparse
import hashlib
import json
import os
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, field

from bronzetiller.net.event_stream import format_event
from bronzetiller.net.exchange import Exchange
from bronzetiller.net.loop import Loop, make_loop
from standins.process import respond_json, serve

FAULTS = (
    "ignore-cap",  # generate twice max_tokens
    "report-high",  # report 1000 times the prompt tokens
    "report-negative",  # report -1000 prompt tokens
    "truncate",  # end the response after half of the words
    "cross",  # send a wrong request id in the response headers
    "silent",  # send no further events, and never finish
    "refuse",  # reject requests with 503 and report that the engine is leaving
    "no-usage",  # send no usage
    "swap",  # send chunks on the connection of another open response
    "late",  # send one more word after a cancellation, on all other open responses
    "after-done",  # send a chunk after [DONE]
    "garble",  # send an event with truncated JSON
    "finish-twice",  # send the finish reason twice
    "go-on",  # send more content after the finish reason
    "odd-usage",  # report a negative and a huge token count
    "odd-choices",  # send choices that are not a list
    "odd-content",  # send content that is not a string
    "deep",  # send an event of 50,000 opening brackets
    "other-id",  # send a chunk with the id of another completion
)
CRASH_MARKER = "CRASH-THE-ENGINE"  # a prompt that contains it ends the process


def make_words(prompt: str, count: int) -> list[str]:
    """Return the first `count` words of the completion of a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{digest}-{index} " for index in range(count)]


def join_prompt(body: dict[str, Any]) -> str:
    return "\n".join(str(message.get("content", "")) for message in body["messages"])


@define
class Settings:
    first_token_seconds: float
    token_seconds: float
    slots: int
    answer_tokens: int
    faults: set[str]
    pad_bytes: int = 0


@define(eq=False)
class Stream:
    exchange: Exchange
    attempt_id: str
    prompt: str
    words: deque[str] = field(factory=deque)
    cancelled: bool = False


class Engine:
    def __init__(self, loop: Loop, settings: Settings) -> None:
        self._loop = loop
        self._settings = settings
        self._running = 0
        self._open_streams: dict[Stream, None] = {}
        self._queued: deque[Callable[[], None]] = deque()
        self._requests: list[dict[str, Any]] = []
        self._generated_tokens = 0
        self._draining = False

    def serve(self, exchange: Exchange) -> None:
        if exchange.path == "/v1/load":
            load = {"running": self._running, "waiting": len(self._queued)}
            load["slots"] = self._settings.slots
            leaving = "refuse" in self._settings.faults
            respond_json(exchange, 200, load | {"leaving": leaving})
        elif exchange.path == "/control/requests":
            value = {"requests": self._requests, "generated": self._generated_tokens}
            respond_json(exchange, 200, value)
        elif exchange.path == "/control/settings":
            value = json.loads(exchange.body)
            self._settings.faults = set(value.pop("faults", self._settings.faults))
            for name, setting in value.items():
                setattr(self._settings, name, setting)
            respond_json(exchange, 200, {})
        elif exchange.path == "/v1/chat/completions" and exchange.method == "POST":
            self._handle_chat(exchange)
        else:
            respond_json(exchange, 404, {"error": "no such path"})

    def _handle_chat(self, exchange: Exchange) -> None:
        body = json.loads(exchange.body)
        prompt = join_prompt(body)
        attempt_id = exchange.headers.get("x-request-id", "")
        self._requests.append({"attempt_id": attempt_id, "prompt": prompt[:200]})
        if CRASH_MARKER in prompt:
            os._exit(1)
        if "refuse" in self._settings.faults:
            exchange.respond(503, {"X-Request-Id": attempt_id}, b'{"error": "leaving"}')
            return
        count = min(int(body.get("max_tokens", 16)), self._settings.answer_tokens)
        if "ignore-cap" in self._settings.faults:
            count = int(body.get("max_tokens", 16)) * 2
        stream = Stream(exchange, attempt_id, prompt, deque(make_words(prompt, count)))
        exchange.on_disconnect = lambda: self._cancel(stream)
        if self._running >= self._settings.slots:
            self._queued.append(lambda: self._occupy_slot(stream))
        else:
            self._occupy_slot(stream)

    def _occupy_slot(self, stream: Stream) -> None:
        self._running += 1
        delay = self._settings.first_token_seconds
        self._loop.scheduler.call_after(delay, lambda: self._start_response(stream))

    def _start_response(self, stream: Stream) -> None:
        if stream.cancelled:
            self._release_slot()
            return
        headers = {"Content-Type": "text/event-stream", "X-Request-Id": stream.attempt_id}
        if "cross" in self._settings.faults:
            headers["X-Request-Id"] = "0" * 32
        stream.exchange.start(200, headers)
        self._open_streams[stream] = None
        self._send_next_event(stream, len(stream.words))

    def _send_next_event(self, stream: Stream, total: int) -> None:
        if stream.cancelled:
            self._open_streams.pop(stream, None)
            self._send_after_cancellation(stream)
            self._release_slot()
            return
        if "silent" in self._settings.faults:
            return
        if "truncate" in self._settings.faults and len(stream.words) <= total // 2:
            stream.exchange.finish()
            self._release_slot()
            return
        if stream.words:
            self._generated_tokens += 1
            delta = {"content": stream.words.popleft()}
            if len(stream.words) == total // 2:
                self._send_malformed(stream)
            self._send_chunk(stream, [{"index": 0, "delta": delta, "finish_reason": None}], None)
            delay = self._settings.token_seconds
            self._loop.scheduler.call_after(delay, lambda: self._send_next_event(stream, total))
            return
        finish = [{"index": 0, "delta": {}, "finish_reason": "stop"}]
        self._send_chunk(stream, finish, None)
        if "finish-twice" in self._settings.faults:
            self._send_chunk(stream, finish, None)
        if "go-on" in self._settings.faults:
            more = [{"index": 0, "delta": {"content": "more"}, "finish_reason": None}]
            self._send_chunk(stream, more, None)
        if "no-usage" not in self._settings.faults:
            self._send_chunk(stream, [], self._make_usage(stream, total))
        stream.exchange.send(format_event(b"[DONE]"))
        if "after-done" in self._settings.faults:
            self._send_chunk(stream, finish, None)
        stream.exchange.finish()
        self._open_streams.pop(stream, None)
        self._release_slot()

    def _send_after_cancellation(self, stream: Stream) -> None:
        """Send the next word of a cancelled response on all other open streams."""
        if "late" in self._settings.faults and stream.words:
            delta = {"content": stream.words.popleft()}
            for other in self._open_streams:
                choices = [{"index": 0, "delta": delta, "finish_reason": None}]
                self._send_chunk(stream, choices, None, other.exchange)

    def _send_malformed(self, stream: Stream) -> None:
        """Send the malformed events of the faults that are switched on."""
        malformed: dict[str, Any] = {
            "garble": b'{"id": "chatcmpl-',
            "deep": b"[" * 50_000,
            "odd-choices": {"choices": {"0": 1}},
            "odd-content": {"choices": [{"index": 0, "delta": {"content": 7}}]},
            "other-id": {"id": "chatcmpl-other", "choices": []},
        }
        for fault in self._settings.faults & malformed.keys():
            value = malformed[fault]
            if isinstance(value, dict):
                value = json.dumps({"id": f"chatcmpl-{stream.attempt_id}"} | value).encode()
            stream.exchange.send(format_event(value))

    def _make_usage(self, stream: Stream, total: int) -> dict[str, int]:
        prompt_tokens = len(stream.prompt) // 4 + 1
        if "report-high" in self._settings.faults:
            prompt_tokens *= 1000
        if "report-negative" in self._settings.faults:
            prompt_tokens = -1000
        if "odd-usage" in self._settings.faults:
            return {"prompt_tokens": -1, "completion_tokens": 10**30}
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": total,
            "total_tokens": prompt_tokens + total,
        }

    def _send_chunk(
        self,
        stream: Stream,
        choices: list[Any],
        usage: dict[str, int] | None,
        exchange: Exchange | None = None,
    ) -> None:
        chunk: dict[str, Any] = {
            "id": f"chatcmpl-{stream.attempt_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": "stand-in",
            "choices": choices,
        }
        if usage is not None:
            chunk["usage"] = usage
        if self._settings.pad_bytes:
            chunk["padding"] = "x" * self._settings.pad_bytes
        others = [other for other in self._open_streams if other is not stream]
        if "swap" in self._settings.faults and others and exchange is None:
            exchange = others[0].exchange
        (exchange or stream.exchange).send(format_event(json.dumps(chunk).encode()))

    def _cancel(self, stream: Stream) -> None:
        stream.cancelled = True

    def _release_slot(self) -> None:
        self._running -= 1
        if self._queued:
            self._queued.popleft()()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--first-token-seconds", type=float, default=0.02)
    parser.add_argument("--token-seconds", type=float, default=0.005)
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--answer-tokens", type=int, default=1_000_000)
    parser.add_argument("--fault", action="append", default=[], choices=FAULTS)
    arguments = parser.parse_args()
    settings = Settings(
        first_token_seconds=arguments.first_token_seconds,
        token_seconds=arguments.token_seconds,
        slots=arguments.slots,
        answer_tokens=arguments.answer_tokens,
        faults=set(arguments.fault),
    )
    loop = make_loop()
    serve(loop, "engine", arguments.listen, Engine(loop, settings).serve)


if __name__ == "__main__":
    main()
