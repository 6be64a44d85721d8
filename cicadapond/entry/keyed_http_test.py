"""Keyed calls and durable requests over sockets, with two entries and a simulated platform."""

import asyncio
import json

import attrs
import tornado.httpclient

from cicadapond.demo._plan import (
    DEMO_HEADERS,
    SERVICE,
    demo_engines,
    demo_platform_entries,
    demo_services,
)
from cicadapond.demo.main import write_document
from cicadapond.entry.main import EntryProcess
from cicadapond.kernel import load_plugins
from cicadapond.provider import AdapterSettings, PlatformSettings
from cicadapond.standin._engine import EngineTiming
from cicadapond.standin._ports import free_endpoint
from cicadapond.standin.main import StandinProcess, StandinSettings

FAST = EngineTiming(prefill_token_seconds=0.0, decode_step_seconds=0.001)
REORDERS = f"/services/{SERVICE}/reorders"


def settings():
    servers = [
        attrs.evolve(s, endpoint=free_endpoint()) for s in (demo_engines()[0], demo_services()[0])
    ]
    standins = StandinSettings(
        engines={servers[0].name: servers[0].endpoint},
        services={servers[1].name: servers[1].endpoint},
        timing=FAST,
        tables=free_endpoint(),
        objects=free_endpoint(),
    )
    platform = PlatformSettings(
        hosts=AdapterSettings(adapter="static", servers=tuple(servers)),
        tables=AdapterSettings(adapter="standin", url=f"http://{standins.tables}"),
        objects=AdapterSettings(adapter="standin", url=f"http://{standins.objects}"),
    )
    entries = [
        attrs.evolve(cfg, http=free_endpoint(), admin=free_endpoint(), platform=platform, peer=None)
        for cfg in demo_platform_entries(1)[:2]
    ]
    return standins, entries


async def ask(cfg, path, body=None, **headers):
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return await tornado.httpclient.AsyncHTTPClient().fetch(
        f"http://{cfg.http}{path}",
        method="GET" if body is None else "POST",
        body=body,
        headers=DEMO_HEADERS | names,
        raise_error=False,
    )


def on_two_entries(check):
    def test():
        async def main():
            load_plugins("cicadapond.plugins")
            standin_settings, cfgs = settings()
            standins = StandinProcess(standin_settings)
            standins.start()
            await write_document(cfgs[0])
            entries = [EntryProcess(cfg) for cfg in cfgs]
            await asyncio.gather(*(entry.start() for entry in entries))
            try:
                await check(*cfgs)
            finally:
                await asyncio.gather(*(entry.stop() for entry in entries))
                await standins.stop()

        asyncio.run(main())

    return test


@on_two_entries
async def test_a_reorder_sent_twice_runs_once(first, second):
    answers = [
        await ask(cfg, REORDERS, b"lipstick", Idempotency_Key="k1") for cfg in (first, second)
    ]
    assert [json.loads(answer.body)["runs"] for answer in answers] == [1, 1]
    other = await ask(second, REORDERS, b"other", Idempotency_Key="k1")
    assert (other.code, other.headers["Cicadapond-Outcome"]) == (422, "not_run")


@on_two_entries
async def test_without_the_store_a_keyed_reorder_is_refused_and_a_plain_one_runs(first, second):
    faults = tornado.httpclient.AsyncHTTPClient()
    url = first.platform.tables.url
    await faults.fetch(f"{url}/v1/faults", method="POST", body='{"outage": true}')
    keyed = await ask(first, REORDERS, b"lipstick", Idempotency_Key="k1")
    assert (keyed.code, keyed.headers["Cicadapond-Outcome"]) == (503, "not_run")
    assert "Retry-After" in keyed.headers
    assert (await ask(first, REORDERS, b"lipstick")).code == 201
    await faults.fetch(f"{url}/v1/faults", method="POST", body='{"outage": false}')


@on_two_entries
async def test_a_durable_request_is_read_at_another_entry(first, second):
    body = json.dumps({"model": "shade-model", "prompt": "all shades", "max_tokens": 20})
    accepted = await ask(first, "/v1/completions", body, Prefer="respond-async")
    assert accepted.code == 202
    path = accepted.headers["Location"]
    stream = await ask(second, path, Accept="text/event-stream", Last_Event_ID="15")
    text = stream.body.decode()
    assert "id: 20.2026-11\n" in text and text.rstrip().endswith("data: [DONE]")
