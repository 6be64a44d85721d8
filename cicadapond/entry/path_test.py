"""A streamed answer over sockets, from a simulated engine through an entry to a caller."""

import asyncio
import json

import attrs
import pytest
import tornado.httpclient

from cicadapond.data import GenerateCall
from cicadapond.demo._plan import DEMO_HEADERS, demo_engines, demo_entries
from cicadapond.entry.main import EntryProcess
from cicadapond.standin._engine import EngineTiming, expected_tokens
from cicadapond.standin._ports import free_endpoint
from cicadapond.standin.main import StandinProcess, StandinSettings

FAST = EngineTiming(prefill_token_seconds=0.0, decode_step_seconds=0.001)


async def ask_through_one_entry(fields, urgency=0):
    server = demo_engines()[0]
    server = attrs.evolve(server, endpoint=free_endpoint())
    standins = StandinProcess(StandinSettings(engines={server.name: server.endpoint}, timing=FAST))
    standins.start()
    cfg = demo_entries(free_endpoint().port, (server,))[0]
    entry = EntryProcess(cfg)
    await entry.start()
    try:
        return await tornado.httpclient.AsyncHTTPClient().fetch(
            f"http://{cfg.http}/v1/completions",
            method="POST",
            body=json.dumps(fields),
            headers=DEMO_HEADERS | {"Priority": f"u={urgency}"},
        )
    finally:
        await entry.stop()
        await standins.stop()


@pytest.mark.parametrize("urgency", [0, 3, 6])
def test_a_streamed_answer_arrives_complete(urgency):
    fields = {"model": "shade-model", "prompt": "one two", "max_tokens": 60, "stream": True}
    response = asyncio.run(ask_through_one_entry(fields, urgency))
    events = response.body.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""]
    bodies = [json.loads(event.removeprefix("data: ")) for event in events[:-2]]
    texts = [body["choices"][0]["text"] for body in bodies]
    assert bodies[-1]["choices"][0]["finish_reason"] == "length"
    call = GenerateCall("", 1, "shade-model", "2026-11", "one two", 60)
    assert "".join(texts) == "".join(expected_tokens(call))
    assert urgency < 6 or len(texts) < 60  # batch tokens are sent several at a time
