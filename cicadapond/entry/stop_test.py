"""A planned stop of an entry process reports not ready and cuts off no request."""

import asyncio
import json

import attrs
import tornado.httpclient

from cicadapond.demo._plan import demo_engines, demo_entries
from cicadapond.entry.main import EntryProcess
from cicadapond.kernel import seconds
from cicadapond.standin._engine import EngineTiming
from cicadapond.standin._ports import free_endpoint
from cicadapond.standin.main import StandinProcess, StandinSettings

TIMING = EngineTiming(prefill_token_seconds=0.0, decode_step_seconds=0.02)
TOKENS = 20


async def stop_while_streaming():
    server = demo_engines()[0]
    server = attrs.evolve(server, endpoint=free_endpoint())
    standins = StandinProcess(StandinSettings({server.name: server.endpoint}, TIMING))
    standins.start()
    cfg = attrs.evolve(
        demo_entries(free_endpoint().port, (server,))[0],
        admin=free_endpoint(),
        balancer_delay=seconds(0.1),
    )
    entry = EntryProcess(cfg)
    await entry.start()
    client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
    fields = {"model": "shade-model", "prompt": "a", "max_tokens": TOKENS, "stream": True}
    first = asyncio.Event()
    chunks = []

    def receive(chunk):
        chunks.append(chunk)
        first.set()

    streaming = client.fetch(
        f"http://{cfg.http}/v1/completions",
        method="POST",
        body=json.dumps(fields),
        headers={"Authorization": "Bearer demo-counter-key"},
        streaming_callback=receive,
    )
    await first.wait()
    seen = [(await client.fetch(f"http://{cfg.admin}/readyz")).code]
    stopping = asyncio.ensure_future(entry.stop())
    await asyncio.sleep(0)
    seen.append((await client.fetch(f"http://{cfg.admin}/readyz", raise_error=False)).code)
    await streaming
    await stopping
    await standins.stop()
    return seen, b"".join(chunks), entry


def test_a_planned_stop_finishes_the_stream():
    seen, body, entry = asyncio.run(stop_while_streaming())
    assert seen == [200, 503]
    assert body.endswith(b"data: [DONE]\n\n")
    events = [json.loads(event[6:]) for event in body.decode().split("\n\n")[:-2]]
    text = "".join(event["choices"][0]["text"] for event in events)
    assert len(text.split()) == TOKENS
    assert entry.metrics.counter("stops_with_requests_in_flight") == 0
