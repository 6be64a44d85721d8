"""Tests that no way to a server passes by the time for which it wants nothing, in virtual time."""

import types

import attrs

from cicadapond.data import Endpoint
from cicadapond.forwarding import Attempt, NotSent, Whole
from cicadapond.gateway._relaying import AnswerRelay
from cicadapond.gateway._request import RequestState
from cicadapond.gateway._retries import Retries
from cicadapond.gateway._sending import Sending
from cicadapond.gateway.limits_test import ROUTE, Server, make_parts
from cicadapond.gateway.run_test import Reply
from cicadapond.kernel import ManualClock, VirtualClock, run_virtual, seconds
from cicadapond.platform import PlatformHeaderCodec
from cicadapond.serving import CallerRequest, Generation, MemoryHandle, ResponseHead, ServerEntry

ENTRY = ServerEntry("s-0", "s", Endpoint("::1", 1), "z", 8, born=7)
DRAIN = seconds(2)
REFUSAL = ResponseHead(503, (), not_executed=True, retry_after=seconds(3))


class SlowPool:
    """Connects slowly, and the server refuses another request meanwhile."""

    def __init__(self, clock, on_connecting):
        self._clock = clock
        self._on_connecting = on_connecting
        self.released = []

    def take_idle(self, server, recent_only):
        return None

    async def connect(self, server, endpoint, timeout):
        self._on_connecting()
        await self._clock.sleep(seconds(0.8))
        return object()

    def release(self, server, conn):
        self.released.append(conn)


def make_parts_and_server(clock):
    server = Server(ENTRY)
    parts = make_parts("p", ("p",), {"s-0": server}, clock)
    parts.cfg = types.SimpleNamespace(bounds=types.SimpleNamespace(drain=DRAIN))
    return parts, server


def make_sending(parts):
    """Returns what sends a request for a stream of tokens."""
    req = CallerRequest("r-1", "GET", b"/x", "h", "/x", (), timeout=seconds(9))
    req = attrs.evolve(req, generation=Generation(10, 10))
    route = attrs.evolve(ROUTE, timeout=seconds(9))
    state = RequestState(parts, req, route, None, Reply(), parts.clock.monotonic())
    return Sending(state, Retries(state), AnswerRelay(state))


def test_a_run_does_not_go_back_to_its_engine_while_that_wants_nothing():
    """Guards against BUDGET: a run that was stopped to be moved went back during a pause."""

    async def main():
        clock = VirtualClock()
        parts, server = make_parts_and_server(clock)
        parts.advisories.record(ENTRY, REFUSAL)
        sending, memory = make_sending(parts), MemoryHandle(ENTRY, "h-1")
        outcome, _ = await sending.continue_at(ENTRY, memory)
        assert isinstance(outcome, NotSent) and not server.received
        await clock.sleep(seconds(4))
        outcome, _ = await sending.continue_at(ENTRY, memory)
        assert isinstance(outcome, Whole) and len(server.received) == 1

    run_virtual(main())


def test_a_run_does_not_go_back_to_its_engine_after_the_bound_on_its_leaving():
    """Guards against DRAIN: the time was taken from when this process heard of the leaving."""

    async def main():
        clock = VirtualClock()
        parts, server = make_parts_and_server(clock)
        parts.registry.confirm_current(clock.monotonic())
        await clock.sleep(seconds(0.5))
        parts.registry.put(attrs.evolve(ENTRY, is_leaving=True), 99)
        sending, memory = make_sending(parts), MemoryHandle(ENTRY, "h-1")
        await clock.sleep(DRAIN - seconds(0.6))
        outcome, _ = await sending.continue_at(ENTRY, memory)
        assert isinstance(outcome, Whole) and len(server.received) == 1
        await clock.sleep(seconds(0.1))
        outcome, _ = await sending.continue_at(ENTRY, memory)
        assert isinstance(outcome, NotSent) and len(server.received) == 1

    run_virtual(main())


def test_a_request_whose_connection_was_made_after_the_refusal_is_not_sent():
    """Guards against BUDGET: a request that was admitted before the pause and sent in it."""

    async def main():
        clock = VirtualClock()
        parts, _ = make_parts_and_server(clock)
        pool = SlowPool(clock, lambda: parts.advisories.record(ENTRY, REFUSAL))
        parts.attempt = Attempt(PlatformHeaderCodec(), pool, clock)
        outcome, _ = await make_sending(parts).run()
        assert isinstance(outcome, NotSent) and len(pool.released) == 1

    run_virtual(main())


def test_an_entry_without_its_start_does_not_end_the_pause():
    """Guards against BUDGET: a row that lacks the start was taken for another start."""
    clock = ManualClock()
    parts, _ = make_parts_and_server(clock)
    parts.advisories.record(ENTRY, attrs.evolve(REFUSAL, rate_limit=0.0))
    parts.registry.put(attrs.evolve(ENTRY, born=0), 99)
    (entry,) = parts.registry.usable("s")
    assert not parts.advisories.may_send(entry)
    assert parts.advisories.get(entry).rate_limit == 0.0
    clock.advance(seconds(1))
    born = round(1000 * clock.now().timestamp())
    parts.registry.put(attrs.evolve(ENTRY, born=born), 100)
    (entry,) = parts.registry.usable("s")
    assert parts.advisories.may_send(entry), "another start asked for nothing"
