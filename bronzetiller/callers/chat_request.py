"""Validate a chat request and compute the most tokens that it can use."""

import hashlib
import json
from typing import Any
from zlib import crc32

from attrs import frozen
from result import Err, Ok, Result

from bronzetiller.configuration.records import Route
from bronzetiller.errors import Reason, Refusal
from bronzetiller.json_values import decode_json

TOKENS_PER_MESSAGE = 8
IDEMPOTENCY_KEY_LENGTH_MAX = 200
PROMPT_PREFIX_LENGTH_MAX = 256
SYSTEM_PROMPT_LENGTH_MAX = 4096
SEGMENTS_MAX = 32  # messages of a chat that are told apart after a crash


@frozen
class ChatRequest:
    """Hold a validated chat request and the most tokens that it can use.

    The prompt has at most one token per byte, plus those of the route's template and its messages.
    segments are the digests of all messages but the last.
    """

    body: dict[str, Any]
    stream: bool
    include_usage: bool
    prompt_tokens_max: int
    answer_tokens_max: int
    fingerprint: str
    prefix_key: str
    segments: tuple[str, ...] = ()

    @property
    def tokens_max(self) -> int:
        """Return the most tokens that the request can use."""
        return self.prompt_tokens_max + self.answer_tokens_max


def decode_model(body: bytes | bytearray) -> Result[tuple[str, dict[str, Any]], Refusal]:
    """Decode a request body; return the name of its model and the body."""
    try:
        value = decode_json(body)
    except (ValueError, RecursionError):
        return _refuse("the body is not valid JSON")
    if not isinstance(value, dict) or not isinstance(value.get("model"), str):
        return _refuse("the body is not an object with a string as its model")
    return Ok((value["model"], value))


def check_chat_request(
    body: dict[str, Any], raw: bytes | bytearray, route: Route
) -> Result[ChatRequest, Refusal]:
    """Validate the fields that the fleet uses; the engine receives the others unchanged."""
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _refuse("messages is not a list or is empty")
    if not all(isinstance(message, dict) for message in messages):
        return _refuse("a message is not an object")
    if body.get("n", 1) != 1:
        return _refuse("only n = 1 is supported")
    max_tokens = body.get("max_completion_tokens", body.get("max_tokens"))
    if max_tokens is None:
        max_tokens = route.answer_tokens_max
    if not isinstance(max_tokens, int) or isinstance(max_tokens, bool) or max_tokens < 1:
        return _refuse("max_tokens is not a positive integer")
    options = body.get("stream_options") or {}
    if not isinstance(options, dict) or not isinstance(body.get("stream", False), bool | None):
        return _refuse("stream or stream_options is malformed")
    prompt = len(raw) + route.template_tokens + TOKENS_PER_MESSAGE * len(messages)
    return Ok(
        ChatRequest(
            body=body,
            stream=bool(body.get("stream")),
            include_usage=bool(options.get("include_usage")),
            prompt_tokens_max=prompt,
            answer_tokens_max=min(max_tokens, route.answer_tokens_max),
            fingerprint=hashlib.sha256(raw).hexdigest()[:32],
            prefix_key=_make_prefix_key(body["model"], messages),
            segments=tuple(map(_digest_message, messages[:-1][:SEGMENTS_MAX])),
        )
    )


def _digest_message(message: dict[str, Any]) -> str:
    data = json.dumps(message, sort_keys=True, ensure_ascii=True).encode()
    return hashlib.sha256(data).hexdigest()[:16]


def _make_prefix_key(model: str, messages: list[dict[str, Any]]) -> str:
    """Return a key shared by requests whose prompts start alike, for an engine's prefix cache."""
    first = messages[0]
    length = SYSTEM_PROMPT_LENGTH_MAX if first.get("role") == "system" else PROMPT_PREFIX_LENGTH_MAX
    prefix = str(first.get("content"))[:length]
    return f"{model}/{crc32(prefix.encode('utf-8', 'replace')):08x}"


def _refuse(detail: str) -> Err[Refusal]:
    return Err(Refusal(400, Reason.BAD_REQUEST, detail))
