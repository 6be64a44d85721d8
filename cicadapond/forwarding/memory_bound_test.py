"""Logic and sockets: many answers without end at once, beside sound ones."""

import asyncio
import contextlib
import tracemalloc

import pytest

from cicadapond.data import Endpoint
from cicadapond.forwarding import (
    Attempt,
    Broken,
    ConnectionPool,
    HttpClient,
    Reply,
    ReplyLost,
    SilenceTimeouts,
    StreamWhole,
    Whole,
)
from cicadapond.forwarding.endless_answer_test import CHUNKED, OWN, STREAM, Sink
from cicadapond.kernel import LoopClock, Metrics, seconds
from cicadapond.memory import Kind, MemoryBudget
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

BOUND_BYTES = 6 * 1024 * 1024
# The stand-ins' buffers, and copies of what one connection holds.
TRACED_BYTES = 3 * BOUND_BYTES
ENDLESS_COUNT = 50
SOUND_COUNT = 6
STALLED_COUNT = 300
LARGE = b"b" * 1024 * 1024
FAILED = OWN.replace(b"200 OK", b"500 Failed")
# What is sent first, and what follows without end.
ENDLESS = {
    "length": (OWN + b"Content-Length: 999999999\r\n\r\n", b"a" * 4096),
    "chunks": (OWN + CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "neither": (OWN + b"\r\n", b"a" * 4096),
    "failed": (FAILED + CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "one event": (STREAM + b"\r\n", b"data: and so on\n" * 256),
    "comments": (STREAM + CHUNKED, b"1000\r\n" + b": aaaaa\n" * 512 + b"\r\n"),
}
SOUND = {
    b"/plain": OWN + b"Content-Length: %d\r\n\r\n" % len(LARGE) + LARGE,
    b"/stream": STREAM + CHUNKED + b"9\r\ndata: a\n\n\r\n" * 3 + b"0\r\n\r\n",
}


class StalledSink(Sink):
    """A caller that reads nothing until it is told to."""

    def __init__(self):
        super().__init__()
        self.reads = asyncio.Event()

    async def event(self, event):
        await self.reads.wait()
        await super().event(event)


@contextlib.asynccontextmanager
async def servers(begin, piece, count):
    """Yields the entries of servers: the last one is sound, the others do not end."""

    async def handle(reader, writer, is_sound):
        writer.transport.set_write_buffer_limits(0)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(SOUND[head.split()[1]] if is_sound else begin)
                while not is_sound:
                    writer.write(piece)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the attempt has ended
        finally:
            writer.transport.abort()

    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for number in range(count):
            is_sound = number == count - 1
            server = await asyncio.start_server(
                lambda reader, writer, is_sound=is_sound: handle(reader, writer, is_sound),
                "127.0.0.1",
                0,
                backlog=1024,
            )
            await stack.enter_async_context(server)
            endpoint = Endpoint(*server.sockets[0].getsockname()[:2])
            entries.append(ServerEntry(f"s-{number}", "s", endpoint, "z", 8))
        yield entries


def attempt_runner(memory):
    """Returns a function that runs an attempt at a server."""
    clock = LoopClock()
    attempt = Attempt(PlatformHeaderCodec(), ConnectionPool(clock, Metrics(), memory), clock)

    def run(entry, path, sink):
        req = CallerRequest(
            "r-1", "GET", path.encode(), "h", path, ((b"host", b"h"), (b"x-filler", b"f"))
        )
        return attempt.run(
            req, Dispatch(entry, seconds(60)), sink, SilenceTimeouts(), False, lambda: None
        )

    return run


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("faulty", [1, 2])
def test_fifty_answers_without_end_at_once_stay_within_the_bound_of_the_process(name, faulty):
    """Guards against LOST: each was bounded, and together they took the machine's memory."""

    async def main():
        memory = MemoryBudget(BOUND_BYTES)
        run = attempt_runner(memory)
        async with servers(*ENDLESS[name], faulty + 1) as entries, asyncio.timeout(60):
            endless = [
                run(entries[number % faulty], "/endless", Sink()) for number in range(ENDLESS_COUNT)
            ]
            sound = [
                run(entries[-1], ("/plain", "/stream")[number % 2], Sink())
                for number in range(SOUND_COUNT)
            ]
            tracemalloc.start()
            outcomes = await asyncio.gather(*endless, *sound)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        assert all(
            isinstance(each, Broken) and each.is_malformed for each in outcomes[:-SOUND_COUNT]
        )
        for outcome in outcomes[-SOUND_COUNT:]:
            assert isinstance(outcome, Whole | StreamWhole), outcome
        assert peak < TRACED_BYTES
        assert memory.groups_given_up and memory.held_bytes == 0

    asyncio.run(main())


def test_streams_of_slow_callers_are_whole_whatever_they_hold():
    """Guards against LOST: a sound server was given up as its callers read slowly."""

    async def main():
        memory = MemoryBudget(BOUND_BYTES)
        run = attempt_runner(memory)
        event = b"data: " + b"a" * 1000 + b"\n\n"
        async with servers(b"", b"", 1) as (entry,), asyncio.timeout(60):
            SOUND[b"/long"] = STREAM + b"Connection: close\r\n" + CHUNKED
            SOUND[b"/long"] += (b"%x\r\n" % len(event) + event + b"\r\n") * 400 + b"0\r\n\r\n"
            sinks = [StalledSink() for _ in range(STALLED_COUNT)]
            running = [asyncio.ensure_future(run(entry, "/long", sink)) for sink in sinks]
            while not memory.is_full:
                await asyncio.sleep(0.01)
            assert memory.held_by_kind()[Kind.WAITING] > BOUND_BYTES / 2
            for sink in sinks:
                sink.reads.set()
            outcomes = await asyncio.gather(*running)
        assert outcomes == [StreamWhole(400)] * STALLED_COUNT and not memory.groups_given_up

    asyncio.run(main())


def test_calls_of_services_are_given_up_too():
    async def main():
        memory = MemoryBudget(BOUND_BYTES)
        async with servers(*ENDLESS["neither"], 2) as entries, asyncio.timeout(60):
            clients = [
                HttpClient(entry.endpoint, LoopClock(), Metrics(), memory=memory)
                for entry in entries
            ]
            calls = [clients[0].call("GET", "/x", (), b"", seconds(50)) for _ in range(10)]
            calls += [clients[1].call("GET", "/plain", (), b"", seconds(50))]
            *lost, whole = await asyncio.gather(*calls)
        assert all(isinstance(each, ReplyLost) for each in lost)
        assert isinstance(whole, Reply) and whole.body == LARGE

    asyncio.run(main())
