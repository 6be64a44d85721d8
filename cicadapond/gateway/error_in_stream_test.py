"""Sockets: a stream breaks off, and the next engine answers with an error or ends early."""

import asyncio

import pytest

from cicadapond.gateway.harness import MODEL_SERVICE, deployment
from cicadapond.gateway.relay_test import CUT, cut_off, notice
from cicadapond.platform.standin import EngineFault, FleetSettings, MoveFault

EVENTS = 60
NEXT = (
    EngineFault.ERROR,
    EngineFault.BARE_ERROR,
    EngineFault.FULL,
    EngineFault.GARBAGE,
    EngineFault.FOREIGN,
    EngineFault.NO_EVENTS,
    EngineFault.WITHIN_EVENT,
    EngineFault.UNFRAMED_WITHIN_EVENT,
)


def run(check, tmp_path, processes=1, **settings):
    async def main():
        async with deployment(tmp_path, FleetSettings(**settings), processes) as system:
            for engine in system.engines():
                engine.events, engine.event_interval_s = EVENTS, 0.005
            async with asyncio.timeout(20):
                await check(system)

    asyncio.run(main())


def check_broken_off(answer, request_id):
    """Checks that a caller got events only, in order, and an end that is not that of a stream."""
    assert not answer.is_complete
    ids = answer.event_ids()
    assert ids == list(range(ids[0], ids[0] + len(ids))) and len(ids) < EVENTS
    for event in answer.body.split(b"\n\n")[:-1]:
        assert event.startswith(b"event: v1\nid: ") and request_id.encode() in event
    assert b"failed" not in answer.body and b"HTTP/1" not in answer.body


async def read(caller, request_id, **headers):
    await caller.stream(request_id, x_cicadapond_token_count=f"100,{EVENTS}", **headers)
    return await caller.read_response()


@pytest.mark.parametrize("fault", NEXT)
def test_an_error_after_a_stream_began_is_not_written_into_it(tmp_path, fault):
    """Guards against MIXED and ORDER, also below."""

    async def check(system):
        system.fail_next(EngineFault.RESET, *[fault] * 8)
        check_broken_off(await read(system.caller(), "s-1"), "s-1")

    run(check, tmp_path, engines=3)


@pytest.mark.parametrize("fault", NEXT)
def test_an_error_is_not_written_into_a_stream_that_was_passed_on(tmp_path, fault):
    async def check(system):
        await system.until_joined()
        cut_off(system.nodes[CUT], "refuses")
        await notice(system)
        system.fail_next(EngineFault.RESET, *[fault] * 8)
        check_broken_off(await read(system.caller(CUT), "s-1"), "s-1")

    run(check, tmp_path, processes=2, engines=3)


@pytest.mark.parametrize("fault", NEXT)
def test_an_error_is_not_written_into_a_stream_that_was_taken_up(tmp_path, fault):
    async def check(system):
        system.fail_next(EngineFault.RESET, *[EngineFault.FULL] * 8)
        first = await read(system.caller(), "s-1")
        assert not first.is_complete
        last = first.event_ids()[-1]
        system.fail_next(EngineFault.RESET, *[fault] * 8)
        again = await read(system.caller(), "t-1", last_event_id=str(last), resumes="s-1")
        assert again.event_ids()[0] == last + 1
        check_broken_off(again, "t-1")

    run(check, tmp_path, engines=3)


@pytest.mark.parametrize("fault", NEXT)
def test_an_error_is_not_written_into_a_stream_whose_move_failed(tmp_path, fault):
    async def check(system):
        for engine in system.engines():
            engine.event_interval_s = 0.02
        caller = system.caller()
        reading = asyncio.ensure_future(read(caller, "s-1"))
        await system.until(
            lambda: any(each.memory.runs and system.ran() for each in system.engines())
        )
        (source,) = [each.name for each in system.engines() if each.memory.runs]
        await system.until(lambda: any(run.events >= 5 for run in running(system, source)))
        system.fail_next(*[fault] * 8)
        system.engine(source).memory.faults = [MoveFault.DIES]
        system.fleet.list_server(source, MODEL_SERVICE, "draining", leaves_in_s=0.7)
        check_broken_off(await reading, "s-1")

    run(check, tmp_path, engines=3, moves=True, resumable=True)


def running(system, name):
    return list(system.engine(name).memory.runs.values())
