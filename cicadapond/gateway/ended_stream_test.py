"""Sockets: a stream whose end was lost is taken up after its last event."""

import asyncio

import pytest

from cicadapond.gateway.harness import deployment
from cicadapond.gateway.relay_test import CUT, cut_off, notice
from cicadapond.platform.standin import EngineFault

LAST_EVENT = 4


def run(check, tmp_path, processes=1):
    async def main():
        async with deployment(tmp_path, processes=processes) as system:
            async with asyncio.timeout(20):
                await check(system)

    asyncio.run(main())


async def take_up(system, node=0, after=LAST_EVENT):
    caller = system.caller(node)
    await caller.stream("t-1", last_event_id=str(after), resumes="s-1")
    return await caller.read_response()


async def begin(system, node=0):
    caller = system.caller(node)
    await caller.stream("s-1")
    answer = await caller.read_response()
    assert answer.event_ids()[-1] == LAST_EVENT


@pytest.mark.parametrize("faults", [(), (EngineFault.FULL,), (EngineFault.RESET,)])
def test_a_stream_without_further_events_ends_as_complete(tmp_path, faults):
    async def check(system):
        await begin(system)
        system.fail_next(*faults)
        answer = await take_up(system)
        assert answer.status == 200 and answer.is_complete and not answer.body

    run(check, tmp_path)


def test_a_stream_without_further_events_ends_as_complete_through_another_process(tmp_path):
    async def check(system):
        await system.until_joined()
        await begin(system, CUT)
        cut_off(system.nodes[CUT], "refuses")
        await notice(system)
        answer = await take_up(system, CUT)
        assert answer.status == 200 and answer.is_complete and not answer.body

    run(check, tmp_path, processes=2)


def test_a_stream_does_not_end_as_complete_on_the_word_of_one_engine_that_fails(tmp_path):
    """Guards against ORDER: an engine in trouble may send a stream without its events."""

    async def check(system):
        await begin(system)
        system.fail_next(EngineFault.NO_EVENTS)
        answer = await take_up(system, after=1)
        assert answer.is_complete and answer.event_ids() == [2, 3, 4]

    run(check, tmp_path)


def test_a_stream_that_broke_within_an_event_does_not_end_as_complete_without_it(tmp_path):
    async def check(system):
        await begin(system)
        system.fail_next(EngineFault.WITHIN_EVENT, *[EngineFault.NO_EVENTS] * 8)
        answer = await take_up(system, after=1)
        assert not answer.is_complete

    run(check, tmp_path)
