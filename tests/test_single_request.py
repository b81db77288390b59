"""Test one request end to end, with the node and all that it uses as separate processes."""

import pytest
from openai import OpenAI

from standins.engine import make_words
from standins.fleet import Fleet, call_json
from tests.conftest import await_ready

KEY = "studio-key"


@pytest.fixture(scope="module")
def fleet():
    fleet = Fleet()
    try:
        fleet.start_platform()
        fleet.add_target("engine-1", "names", "west", "west-1")
        fleet.add_node("node-1", "west", "west-1")
        fleet.publish_workspace("studio", KEY, 100_000)
        fleet.publish("route", "namer", {"service": "names"})
        await_ready(fleet, "node-1")
        yield fleet
    finally:
        fleet.close()


def _client(fleet):
    address = call_json(fleet.caller_address("node-1"), "/v1/entry")["addresses"][0]
    return OpenAI(base_url=f"http://{address}/v1", api_key=KEY, max_retries=0)


def test_an_unstreamed_response_is_complete_and_billed_once(fleet):
    completion = _client(fleet).chat.completions.create(
        model="namer",
        messages=[{"role": "user", "content": "a short name"}],
        max_tokens=12,
        extra_headers={"Idempotency-Key": "plain-1"},
    )
    assert completion.choices[0].message.content == "".join(make_words("a short name", 12))
    bills = [e["record"] for e in fleet.read_stream("ledger-0") if e["record"]["kind"] == "bill"]
    bills = [bill for bill in bills if bill["request_id"] == "plain-1"]
    assert [bill["tokens"] for bill in bills] == [completion.usage.total_tokens]


def test_a_streamed_response_is_complete(fleet):
    stream = _client(fleet).chat.completions.create(
        model="namer",
        messages=[{"role": "user", "content": "stream it"}],
        max_tokens=20,
        stream=True,
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert text == "".join(make_words("stream it", 20))
