"""Parse the chunks of an engine's response; malformed input gives an Err, never an exception."""

import json
from typing import Any, TypeGuard

from attrs import define, frozen
from result import Err, Ok, Result

TOKENS_MAX = 10**9
_EMPTY_DELTA: dict[str, Any] = {}
_decode_json = json.JSONDecoder().decode


@frozen
class Usage:
    """Hold the token counts of a prompt and of its response."""

    prompt_tokens: int
    answer_tokens: int


@define
class Chunk:
    """Hold the fields of one chunk; delta is empty if it has no choice.

    has_content is true if it carries any part of the response. The class is not frozen, since
    freezing doubles the cost of creating an instance.
    """

    id: str
    value: dict[str, Any]
    delta: dict[str, Any]
    has_choice: bool
    has_content: bool
    finish_reason: str | None
    usage: Usage | None


def decode_chunk(data: bytes) -> Result[Chunk, str]:
    """Parse one chunk and check the type of every field that the router uses."""
    try:
        value = _decode_json(data.decode())
    except (ValueError, RecursionError):
        return Err("a chunk is not JSON")
    if type(value) is not dict or type(value.get("id")) is not str:
        return Err("a chunk has no id")
    choices = value.get("choices")
    if type(choices) is not list or len(choices) > 1:
        return Err("a chunk's choices are malformed")
    delta: Any = _EMPTY_DELTA
    finish_reason = None
    if choices:
        choice = choices[0]
        if type(choice) is not dict or choice.get("index", 0) != 0:
            return Err("a chunk's choice is malformed")
        delta = choice.get("delta")
        delta = _EMPTY_DELTA if delta is None else delta
        finish_reason = choice.get("finish_reason")
    if type(delta) is not dict or not _is_optional_text(finish_reason):
        return Err("a chunk's choice is malformed")
    content = delta.get("content")
    if not _is_optional_text(content):
        return Err("a chunk's content is malformed")
    usage = value.get("usage")
    if usage is not None:
        match _decode_usage(usage):
            case Err(reason):
                return Err(reason)
            case Ok(usage):
                pass
    has_content = bool(content) or any(part for name, part in delta.items() if name != "role")
    chunk = Chunk(value["id"], value, delta, bool(choices), has_content, finish_reason, usage)
    return Ok(chunk)


def _is_optional_text(value: Any) -> bool:
    return value is None or type(value) is str


def _decode_usage(value: Any) -> Result[Usage, str]:
    if not isinstance(value, dict):
        return Err("the usage is malformed")
    prompt, answer = value.get("prompt_tokens"), value.get("completion_tokens")
    if not _is_count(prompt) or not _is_count(answer):
        return Err("the usage is malformed")
    return Ok(Usage(prompt, answer))


def _is_count(value: Any) -> TypeGuard[int]:
    return type(value) is int and 0 <= value <= TOKENS_MAX


def merge_delta(message: dict[str, Any], delta: dict[str, Any]) -> None:
    """Merge a delta into its message: text is concatenated, lists merge by index."""
    for name, part in delta.items():
        if part is None:
            continue
        old = message.get(name)
        if name in ("role", "id", "type", "index") or old is None:
            message[name] = _copy(part)
        elif isinstance(old, str) and isinstance(part, str):
            message[name] = old + part
        elif isinstance(old, dict) and isinstance(part, dict):
            merge_delta(old, part)
        elif isinstance(old, list) and isinstance(part, list):
            _merge_list(old, part)
        else:
            message[name] = part


def _merge_list(old: list[Any], parts: list[Any]) -> None:
    for part in parts:
        index = part.get("index") if isinstance(part, dict) else None
        matching = [item for item in old if index is not None and item.get("index") == index]
        if matching:
            merge_delta(matching[0], part)
        else:
            old.append(_copy(part))


def _copy(value: Any) -> Any:
    """Copy nested dicts and lists, since merging modifies them in place."""
    if isinstance(value, dict):
        return {name: _copy(item) for name, item in value.items()}
    return [_copy(item) for item in value] if isinstance(value, list) else value
