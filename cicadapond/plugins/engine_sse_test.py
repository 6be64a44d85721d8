"""Tests the engine adapter over real sockets: streams, cancelling, control calls and failures."""

import asyncio
import contextlib

import tornado.httpserver
import tornado.testing
import tornado.web

from cicadapond.backend import Accepted, OrderRefused
from cicadapond.data import (
    BackendServer,
    Endpoint,
    FailureKind,
    Finished,
    GenerateCall,
    Order,
    OrderKind,
    ServerKind,
    Token,
)
from cicadapond.kernel import LoopClock, Metrics, Ok, Unavailable, seconds
from cicadapond.plugins.engine_sse import SseEngine
from cicadapond.standin import EngineModel, EngineSettings, EngineTiming, expected_tokens
from cicadapond.standin._engine_http import EngineListener
from cicadapond.standin._ports import free_endpoint

LOOPBACK = "127.0.0.1"
FAST = EngineTiming(prefill_token_seconds=0.0, decode_step_seconds=0.001)


def make_adapter(port, name="a"):
    server = BackendServer(name, ServerKind.ENGINE, "pool", "yqr", Endpoint(LOOPBACK, port))
    return SseEngine(server, LoopClock(), Metrics())


@contextlib.asynccontextmanager
async def listening(name="a", **cfg):
    port = free_endpoint().port
    model = EngineModel(FAST, LoopClock(), EngineSettings(**cfg), name)
    listener = EngineListener(model, Endpoint(LOOPBACK, port))
    listener.start()
    adapter = make_adapter(port, name)
    try:
        yield model, adapter
    finally:
        await adapter.close()
        await listener.stop()


def make_call(stream_id="s", epoch=1, max_tokens=6, **fields):
    return GenerateCall(stream_id, epoch, "shade", "v1", "one two three", max_tokens, **fields)


async def read_all(stream):
    events = []
    while not events or isinstance(events[-1], Token):
        events.extend(await stream.read())
    return events


def texts(events):
    return [event.text for event in events if isinstance(event, Token)]


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def test_an_answer_streams_completely_and_resumes():
    async def main():
        async with listening() as (_, engine):
            call = make_call()
            events = await read_all(engine.generate(call))
            assert texts(events) == expected_tokens(call)
            assert isinstance(events[-1], Finished)
            resume = tuple(texts(events)[:2])
            rest = await read_all(engine.generate(make_call(epoch=2, resume=resume)))
            assert texts(rest) == expected_tokens(call)[2:]

    asyncio.run(main())


def test_close_cancels_at_the_engine_without_affecting_other_streams():
    async def main():
        async with listening() as (model, engine):
            closed = engine.generate(make_call("dropped", max_tokens=100_000))
            await closed.read()
            closed.close()
            await until(lambda: model.in_flight == 0)
            kept = await read_all(engine.generate(make_call("kept")))
            assert isinstance(kept[-1], Finished)
            assert model.counts["cancelled"] == 1

    asyncio.run(main())


def test_control_calls_round_trip():
    async def main():
        async with listening(checks_fencing=True) as (_, engine):
            assert isinstance(await engine.order(Order(OrderKind.DRAIN, 5)), Accepted)
            refused = await engine.order(Order(OrderKind.RESUME, 4))
            assert (type(refused), refused.newest_fencing) == (OrderRefused, 5)
            assert (await engine.state()).value.draining
            assert (await engine.load_report()).value.slots == 32
            assert await engine.cache_events(0) == Ok(())
            refused_events = await read_all(engine.generate(make_call()))
            assert refused_events[-1].kind is FailureKind.REFUSED
            assert refused_events[-1].retry_after == seconds(1)

    asyncio.run(main())


def test_kv_cache_is_transferred_between_two_engines():
    async def main():
        async with listening("a") as (_, source), listening("b") as (target_model, target):
            call = make_call(max_tokens=3000)
            stream = source.generate(call)
            await stream.read()
            outcome = await source.export_kv("s", target.server, seconds(5))
            assert isinstance(outcome, Ok)
            assert outcome.value in target_model._imported
            stream.close()

    asyncio.run(main())


def test_a_crash_breaks_streams_and_later_attempts_are_unreachable():
    async def main():
        async with listening(restart_duration=seconds(0.3)) as (model, engine):
            stream = engine.generate(make_call(max_tokens=100_000))
            await stream.read()
            model.crash()
            assert (await read_all(stream))[-1].kind is FailureKind.CRASHED
            down = await read_all(engine.generate(make_call("down")))
            assert down[-1].kind is FailureKind.UNREACHABLE
            assert isinstance(await engine.load_report(), Unavailable)
            await until(lambda: model.up)
            assert isinstance((await read_all(engine.generate(make_call("up"))))[-1], Finished)

    asyncio.run(main())


BAD_BODIES = {
    "no json": b"data: {nothing\n\n",
    "wrong type": b"data: [1, 2]\n\n",
    "missing": b'data: {"n": 1}\n\n',
    "wrong number": b'data: {"n": "x", "t": "a", "e": 1, "s": "s"}\n\n',
    "no end": b'data: {"n": 0, "t": "a", "e": 1, "s": "s"}\n\n',
}


class _BadHandler(tornado.web.RequestHandler):
    def initialize(self, body):
        self._body = body

    def post(self):
        self.finish(self._body)

    get = post


def test_malformed_data_breaks_streams_and_fails_control_calls():
    async def main():
        for name, body in BAD_BODIES.items():
            port = free_endpoint().port
            server = tornado.httpserver.HTTPServer(
                tornado.web.Application([("/.*", _BadHandler, {"body": body})])
            )
            server.listen(port, LOOPBACK)
            engine = make_adapter(port)
            events = await read_all(engine.generate(make_call()))
            assert events[-1].kind is FailureKind.TRUNCATED, name
            assert isinstance(await engine.load_report(), Unavailable)
            assert isinstance(await engine.state(), Unavailable)
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


class CountingBuffer(bytearray):
    """Records how many bytes are searched each time."""

    def __init__(self):
        super().__init__()
        self.searched = []

    def find(self, part, start):
        self.searched.append(len(self) - start)
        return super().find(part, start)


def test_each_byte_of_an_event_is_searched_once_and_events_may_come_in_pieces():
    """Guards against CONFIG: the work for an event grew with the square of its pieces."""

    async def main():
        stream = make_adapter(free_endpoint().port).generate(make_call())
        stream._buffer = buffer = CountingBuffer()
        data = b'data: {"e": 1, "n": 0, "t": "%s", "s": "s"}\n\n' % (b"a" * 4096)
        for byte in data * 2:
            stream._receive(bytes((byte,)))
        assert texts(await stream.read()) == ["a" * 4096] * 2
        assert max(buffer.searched) <= 2
        stream.close()

    asyncio.run(main())
