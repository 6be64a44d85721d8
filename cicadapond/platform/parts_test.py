"""Engines tell on sockets which prompt parts they keep, and fetch parts from each other."""

import asyncio
import datetime
import json

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import HttpClient
from cicadapond.kernel import LoopClock, Metrics
from cicadapond.platform import PlatformHeaderCodec, PlatformPartCalls, decode_configuration
from cicadapond.platform._part_calls import read_events, read_list
from cicadapond.platform.standin import EngineModel, EngineServer, EventFault
from cicadapond.residency import CallsExceeded, NoAnswer, PartChange
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

WAIT = datetime.timedelta(milliseconds=300)


def run(check):
    async def main():
        system = System()
        await system.start()
        try:
            async with asyncio.timeout(20):
                await check(system)
        finally:
            for server in system.servers:
                await server.stop()

    asyncio.run(main())


class System:
    """Two engines and the calls of a process to them."""

    def __init__(self):
        self.clock = LoopClock()
        self.calls = PlatformPartCalls(self.clock, Metrics())
        self.engines = [EngineModel("e-0", events=1), EngineModel("e-1", events=1)]
        self.servers = [EngineServer(engine) for engine in self.engines]
        self.entries = []

    async def start(self):
        parts = {}
        for engine, server in zip(self.engines, self.servers, strict=True):
            endpoint = Endpoint("127.0.0.1", await server.start())
            self.entries.append(ServerEntry(engine.name, "pool", endpoint, "a", 6))
            parts[str(endpoint)] = engine.parts
            engine.parts.peers = parts

    async def send(self, number, parts, *headers):
        """Sends a prompt to an engine."""
        client = HttpClient(self.entries[number].endpoint, self.clock, Metrics())
        fields = (
            (b"x-cicadapond-attempt-id", b"r-1"),
            (b"x-cicadapond-token-count", b"100,1"),
            (b"x-cicadapond-prefix-hash", parts),
            *headers,
        )
        await client.call("POST", "/stream/x", fields, b"", datetime.timedelta(seconds=5))
        client.close()


def test_events_tell_what_an_engine_keeps_and_a_list_tells_all_of_it():
    async def check(system):
        await system.send(0, b"aa:60,bb:40")
        told = await system.calls.events(system.entries[0], 1, WAIT)
        assert told.changes == (PartChange("aa", 60), PartChange("bb", 40))
        assert not told.is_lost
        listed = await system.calls.list(system.entries[0])
        assert (listed.epoch, listed.next) == (told.epoch, told.next)
        assert listed.parts == {"aa": 60, "bb": 40}
        system.engines[0].parts.capacity = 50
        await system.send(0, b"cc:30")
        told = await system.calls.events(system.entries[0], told.next, WAIT)
        assert told.changes[0] == PartChange("cc", 30)
        assert PartChange("aa", 0) in told.changes

    run(check)


def test_a_call_waits_for_the_next_event():
    async def check(system):
        waiting = asyncio.ensure_future(system.calls.events(system.entries[0], 1, WAIT))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        await system.send(0, b"aa:60")
        assert (await waiting).changes == (PartChange("aa", 60),)
        assert system.engines[0].parts.calls == {"events": 1}

    run(check)


def test_an_idle_engine_is_asked_again_on_the_same_connection():
    """An answer like the one before was taken for a late copy of it, and the connection reset."""

    async def check(system):
        for _ in range(3):
            told = await system.calls.events(system.entries[0], 1, WAIT / 10)
            assert told.changes == ()
        assert system.servers[0].connections == 1

    run(check)


def test_an_engine_that_keeps_enough_calls_waiting_declines_more():
    async def check(system):
        system.engines[0].parts.most = 1
        waiting = asyncio.ensure_future(system.calls.events(system.entries[0], 1, WAIT))
        await asyncio.sleep(0.05)
        assert await system.calls.events(system.entries[0], 1, WAIT) == CallsExceeded()
        assert (await waiting).changes == ()

    run(check)


def test_missing_events_and_a_restart_are_told():
    async def check(system):
        parts = system.engines[0].parts
        parts.history = 1
        await system.send(0, b"aa:60,bb:40")
        told = await system.calls.events(system.entries[0], 1, WAIT)
        assert told.is_lost
        parts.restart()
        assert (await system.calls.events(system.entries[0], 1, WAIT)).epoch != told.epoch

    run(check)


@pytest.mark.parametrize("fault", [EventFault.RESET, EventFault.UNREADABLE])
def test_a_call_without_a_readable_answer_says_so(fault):
    async def check(system):
        system.engines[0].parts.faults = [fault]
        assert isinstance(await system.calls.events(system.entries[0], 1, WAIT), NoAnswer)
        await system.servers[0].stop()
        assert isinstance(await system.calls.list(system.entries[0]), NoAnswer)

    run(check)


@pytest.mark.parametrize(
    ("read", "answer"),
    [
        (read_events, {"epoch": 1, "next": 2, "events": [[1, "*", "", "aa", 60, "m"]]}),
        (read_events, {"epoch": 1, "next": 2, "events": [[1, "+"]]}),
        (read_events, {"epoch": 1, "events": []}),
        (read_list, {"epoch": 1, "next": 2, "held": [["", "aa", None, "m"]]}),
        (read_list, []),
    ],
)
def test_a_malformed_answer_is_not_taken_for_an_empty_one(read, answer):
    with pytest.raises((AttributeError, KeyError, TypeError, ValueError)):
        read(answer)


def test_an_engine_fetches_what_another_one_keeps_instead_of_prefilling_it():
    async def check(system):
        await system.send(0, b"aa:60,bb:40")
        source = str(system.entries[0].endpoint).encode()
        await system.send(1, b"aa:60,cc:40", (b"kv-fetch", source))
        assert system.engines[1].parts.fetched == [(source.decode(), 60)]
        assert system.engines[1].parts.prefilled == {"cc": 40}

    run(check)


def test_a_request_whose_source_has_gone_is_prefilled():
    async def check(system):
        await system.send(1, b"aa:60", (b"kv-fetch", b"127.0.0.1:1"))
        assert system.engines[1].parts.prefilled == {"aa": 60}

    run(check)


def test_only_the_gateway_names_the_source_of_a_fetch():
    codec = PlatformHeaderCodec()
    headers = (
        (b"host", b"x"),
        (b"x-cicadapond-attempt-id", b"r-1"),
        (b"kv-fetch", b"10.0.0.9:1"),
        (b"wait-ms", b"1"),
    )
    req = codec.parse_request(b"POST", b"/", headers, b"")
    assert isinstance(req, CallerRequest) and req.headers == (
        (b"host", b"x"),
        (b"x-cicadapond-attempt-id", b"r-1"),
    )
    entry = ServerEntry("e-0", "pool", Endpoint("10.0.0.1", 7), "a", 6)
    source = ServerEntry("e-1", "pool", Endpoint("10.0.0.2", 7), "a", 6)
    sent = codec.server_headers(req, Dispatch(entry, WAIT, fetch_from=source))
    assert (b"kv-fetch", b"10.0.0.2:7") in sent
    assert b"kv-fetch" not in dict(codec.server_headers(req, Dispatch(entry, WAIT)))


@pytest.mark.parametrize(
    ("engine", "is_on"),
    [
        ({"most": 8, "kv_bytes": 1000}, True),
        ({"most": 0, "kv_bytes": 1000}, False),
        ({"kv_bytes": 1000}, False),
        ({"most": 8}, False),
    ],
)
def test_engines_are_asked_only_where_the_configuration_says_how(engine, is_on):
    """All other deployments are served as before."""
    limits = {"max_header_bytes": 1, "max_body_bytes": 1}
    limits |= {"header_timeout_ms": 1, "idle_timeout_ms": 1}
    engine = {"slots": 6, "kv_capacity": 100} | engine
    raw = {
        "version": 1,
        "routes": [],
        "services": [{"name": "pool", "max_connections": 5, "engine": engine}],
        "limits": limits,
    }
    cfg, _ = decode_configuration(json.dumps(raw).encode())
    assert (cfg.services["pool"].engine.telling is not None) is is_on
