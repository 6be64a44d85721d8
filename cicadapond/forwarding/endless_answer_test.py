"""Logic and sockets: answers without end, in small pieces."""

import asyncio
import itertools
import re

import hypothesis
import pytest
from hypothesis import strategies as st

from cicadapond.data import Endpoint
from cicadapond.forwarding import (
    AnswerCosts,
    Attempt,
    Broken,
    ConnectionPool,
    EventSplitter,
    ResponseSink,
    SilenceTimeouts,
    Whole,
)
from cicadapond.kernel import STEPS_PER_TURN, LoopClock, Metrics, _processor_share, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Dispatch, ServerEntry

OWN = b"HTTP/1.1 200 OK\r\nX-Cicadapond-Attempt-Id: r-1\r\nX-Cicadapond-Response-Signature: s\r\n"
STREAM = OWN + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
WRITE_BYTES = 64 * 1024
# What is sent first, and what follows without end.
ENDLESS = {
    "event": (STREAM + CHUNKED, b"10\r\ndata: and so on \r\n"),
    "event in bytes": (STREAM + CHUNKED, b"1\r\na\r\n"),
    "unframed event": (STREAM + b"\r\n", b"data: and so on "),
    "blank lines": (STREAM + b"\r\n", b"\n"),
    "blank lines in bytes": (STREAM + CHUNKED, b"1\r\n\n\r\n"),
    "plain": (OWN + b"\r\n", b"a"),
    "plain in bytes": (OWN + CHUNKED, b"1\r\na\r\n"),
    "extensions": (OWN + CHUNKED, b"1;" + b"e" * 8000 + b"\r\na\r\n"),
    "stream extensions": (STREAM + CHUNKED, b"1;" + b"e" * 8000 + b"\r\na\r\n"),
    "chunk size": (OWN + CHUNKED, b"0"),
    "trailers": (OWN + CHUNKED + b"0\r\n", b"X-T: 1\r\n"),
    "head": (OWN, b"X-A: 1\r\n"),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "late answers": (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
}
MAX_RECEIVED_BYTES = 10 * 1024 * 1024


class Sink(ResponseSink):
    """Counts the events."""

    def __init__(self):
        self.events = 0

    def head(self, head):
        pass

    async def begin(self, head):
        pass

    async def event(self, event):
        self.events += 1


class Costs(AnswerCosts):
    """Collects the costs of answers."""

    def __init__(self, suspects=()):
        self.found = []
        self._suspects = suspects

    def begin(self, server):
        return server.name in self._suspects

    def record_costly(self, server, cost):
        self.found.append((server.name, cost))

    def record_whole(self, server):
        self.found.append((server.name, None))


class SlowMachine:
    """The time on a machine where each turn of work takes long."""

    def __init__(self):
        self._now = 0.0

    def perf_counter(self):
        self._now += 0.005
        return self._now

    thread_time = perf_counter


async def attempt_at(serve, sink, limit_s, silence=None, costs=None):
    """Returns the outcome of a request to a server."""

    async def handle(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await serve(writer)
            await reader.read()
        except ConnectionError:
            pass  # the attempt was given up
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    entry = ServerEntry("s-0", "s", Endpoint(*server.sockets[0].getsockname()[:2]), "z", 8)
    clock = LoopClock()
    pool = ConnectionPool(clock, Metrics())
    attempt = Attempt(PlatformHeaderCodec(), pool, clock, costs=costs)
    req = CallerRequest("r-1", "GET", b"/x", "h", "/x", ((b"host", b"h"),))
    async with server, asyncio.timeout(limit_s):
        return await attempt.run(
            req,
            Dispatch(entry, seconds(limit_s)),
            sink,
            silence or SilenceTimeouts(),
            False,
            lambda: None,
        )


@pytest.mark.parametrize("name", ENDLESS)
def test_an_answer_without_end_is_ended_within_a_bounded_size(name):
    """Guards against CONFIG: an answer without end kept a process busy until it was closed."""
    begin, piece = ENDLESS[name]

    async def serve(writer):
        writer.write(begin)
        while True:
            writer.write(piece * (WRITE_BYTES // len(piece) + 1))
            await writer.drain()

    sink = Sink()
    outcome = asyncio.run(attempt_at(serve, sink, 60))
    assert isinstance(outcome, Broken) and outcome.is_malformed
    assert (sink.events, outcome.events) == (0, 0)
    assert outcome.received_bytes < MAX_RECEIVED_BYTES


@pytest.mark.parametrize("size", [1, 2, 3, 5, 64])
def test_events_are_the_same_in_whatever_pieces_they_come(size):
    """Guards against ORDER: the end of an event may be split over pieces."""
    events = [b"id: 1\ndata: a\n\n", b"\r\n\nid: 2\r\ndata: \r\n\r\n", b"\n: c\n\r\n", b"d\r\n\n"]
    data, splitter, found = b"".join(events) + b"\n\r\n", EventSplitter(), []
    for at in range(0, len(data), size):
        splitter.feed(data[at : at + size])
        found += iter(splitter.next_event, None)
    assert [event.raw for event in found] == events
    assert [event.id for event in found] == ["1", "2", None, None]
    assert not splitter.is_within_event and splitter.buffered_bytes == 3


@hypothesis.given(
    st.lists(
        st.sampled_from([b"\n", b"\r", b"\r\n", b"a", b"id:", b" 7", b"id: 8\n"]), max_size=40
    ),
    st.integers(1, 7),
)
def test_events_end_and_are_named_as_by_patterns_that_start_at_each_byte(parts, size):
    """Guards against ORDER: the faster search finds other events."""
    data, splitter, found = b"".join(parts), EventSplitter(), []
    for at in range(0, len(data), size):
        splitter.feed(data[at : at + size])
        found += iter(splitter.next_event, None)
    ends = [0, *(match.end() for match in re.finditer(rb"[^\r\n]\r?\n\r?\n", data))]
    assert [event.raw for event in found] == [data[a:b] for a, b in itertools.pairwise(ends)]
    ids = [re.search(rb"(?m)^id:[ ]?([^\r\n]*)", event.raw) for event in found]
    assert [event.id for event in found] == [m and m.group(1).decode().strip() for m in ids]
    assert splitter.buffered_bytes == len(data) - ends[-1]


def test_each_byte_of_an_event_is_searched_once(monkeypatch):
    """Guards against CONFIG: the work for an event grew with the square of its pieces."""
    searched = []

    class Pattern:
        def search(self, buffer, start):
            searched.append(len(buffer) - start)

    monkeypatch.setattr("cicadapond.forwarding._events._EVENT_END", Pattern())
    splitter = EventSplitter()
    for _ in range(4096):
        splitter.feed(b"a")
        assert splitter.next_event() is None
    assert max(searched) <= 5


@pytest.mark.parametrize(
    ("begin", "piece", "steps_per_piece"),
    [(OWN, b"1\r\na\r\n", 1), (STREAM, b"1\r\na\r\n", 1), (STREAM, b"30\r\n" + b"a\n\n" * 16, 16)],
    ids=["plain", "event", "events"],
)
def test_a_reader_with_received_bytes_left_yields_to_others(begin, piece, steps_per_piece):
    """Guards against CONFIG: nothing else ran while received bytes were left."""
    piece += b"\r\n" if steps_per_piece > 1 else b""
    pieces = 20_000 // steps_per_piece
    ending = b"3\r\na\n\n\r\n0\r\n\r\n"

    async def main():
        turns = 0

        async def others():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async def serve(writer):
            writer.write(begin + CHUNKED + piece * pieces + ending)

        other = asyncio.ensure_future(others())
        outcome = await attempt_at(serve, Sink(), 60)
        other.cancel()
        assert not isinstance(outcome, Broken)
        return turns

    assert asyncio.run(main()) >= pieces * steps_per_piece / STEPS_PER_TURN


@pytest.mark.parametrize("suspects", [(), ("s-0",)])
def test_an_event_without_end_takes_few_turns_and_counts_against_its_server(monkeypatch, suspects):
    """Guards against CONFIG: on a slow machine, an answer without end took most of the time.

    It was ended by the time-out of its first event, as if its server had been silent.
    """
    monkeypatch.setattr(_processor_share, "time", SlowMachine())
    begin, piece = ENDLESS["event"]

    async def serve(writer):
        writer.write(begin)
        while True:
            writer.write(piece * STEPS_PER_TURN)
            await writer.drain()

    costs = Costs(suspects)
    silence = SilenceTimeouts(first=seconds(0.5))
    outcome = asyncio.run(attempt_at(serve, Sink(), 60, silence, costs))
    assert isinstance(outcome, Broken) and outcome.is_malformed
    # What is spent on a suspected server ends the answer before its time-out does.
    assert outcome.was_silent != bool(suspects)
    ((server, cost),) = costs.found
    # A turn takes 10 ms here, and a pause of nine times as long follows.
    assert server == "s-0" and cost <= seconds(0.01 * 8)


def test_a_sound_answer_in_single_bytes_is_not_cut():
    """Guards against LOST: the bounds are on work, not on the pace of a server."""
    body = bytes(itertools.islice(itertools.cycle(range(256)), 20_000))

    async def serve(writer):
        writer.write(OWN + CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in body))
        writer.write(b"0\r\n\r\n")

    outcome = asyncio.run(attempt_at(serve, Sink(), 60))
    assert isinstance(outcome, Whole) and outcome.body == body
