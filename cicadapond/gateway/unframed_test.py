"""End-to-end tests on sockets: answers without a length or chunks, which end with the connection.

The end of such an answer looks like that of a server that is killed, or that stops the run.
"""

import asyncio

import pytest

from cicadapond.gateway._sending import Sending
from cicadapond.gateway.harness import MODEL_SERVICE, deployment
from cicadapond.platform.standin import EngineFault, FleetSettings, MoveFault

EVENTS, INTERVAL_S = 40, 0.02
NOTICE_S = 0.5
ENGINES, STREAMS = 3, 12


def run(check, tmp_path, resumable=True):
    async def main():
        cfg = FleetSettings(engines=ENGINES, services=2, resumable=resumable, moves=True)
        async with deployment(tmp_path, cfg) as system:
            for engine in system.engines():
                engine.events, engine.event_interval_s = EVENTS, INTERVAL_S
            async with asyncio.timeout(20):
                await check(system)

    asyncio.run(main())


async def begin(system):
    """Sends a stream; returns its caller and the name of its engine once it has made events."""
    system.fail_next(EngineFault.UNFRAMED)
    caller = system.caller()
    await caller.stream("s-1", x_cicadapond_token_count=f"100,{EVENTS}")
    await system.until(lambda: engine_of(system))
    return caller, engine_of(system)


async def begin_several(system, streams):
    """Sends streams; returns their callers once engines have made events of each."""
    system.fail_next(*[EngineFault.UNFRAMED] * streams)
    callers = [system.caller() for _ in range(streams)]
    for number, caller in enumerate(callers):
        await caller.stream(f"s-{number}", x_cicadapond_token_count=f"100,{EVENTS}")
    await system.until(
        lambda: sum(run.events >= 5 for each in system.engines() for run in runs_of(each))
        == streams
    )
    return callers


def engine_of(system):
    runs = [(run, each.name) for each in system.engines() for run in each.memory.runs.values()]
    return next((name for run, name in runs if run.events >= 5), None)


@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_is_not_whole_when_its_engine_is_killed(tmp_path, resumable):
    async def check(system):
        caller, engine = await begin(system)
        await system.fleet.servers[engine].stop(resets=False)
        answer = await caller.read_response()
        ids = answer.event_ids()
        assert ids == list(range(1, len(ids) + 1))
        assert answer.is_complete == resumable and (len(ids) == EVENTS) == resumable

    run(check, tmp_path, resumable)


def test_a_stream_whose_engine_ends_after_the_last_event_is_whole(tmp_path):
    async def check(system):
        for engine in system.engines():
            engine.events, engine.event_interval_s = 5, 0.1
        caller, engine = await begin(system)
        await system.fleet.servers[engine].stop(resets=False)
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == [1, 2, 3, 4, 5]

    run(check, tmp_path)


def test_a_stream_is_not_whole_when_its_run_is_stopped_for_a_move(tmp_path):
    async def check(system):
        caller, engine = await begin(system)
        system.fleet.list_server(engine, MODEL_SERVICE, "draining", leaves_in_s=NOTICE_S)
        answer = await caller.read_response()
        assert system.engine(engine).memory.moves == ["s-1"]
        assert answer.is_complete and answer.event_ids() == list(range(1, EVENTS + 1))

    run(check, tmp_path, resumable=False)


def test_a_stream_is_whole_that_was_stopped_after_its_last_event_and_cannot_be_moved(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(Sending, "_is_past_drain", lambda self, entry: True)

    async def check(system):
        for engine in system.engines():
            engine.events, engine.event_interval_s = 5, 0.2
        caller, engine = await begin(system)
        system.engine(engine).memory.faults = [MoveFault.NO_ROOM]
        system.fleet.list_server(engine, MODEL_SERVICE, "draining", leaves_in_s=NOTICE_S)
        answer = await caller.read_response()
        assert system.engine(engine).memory.moves == ["s-1"]
        assert answer.is_complete and answer.event_ids() == [1, 2, 3, 4, 5]

    run(check, tmp_path)


def test_a_stream_is_whole_if_its_process_reaches_no_engine_any_more(tmp_path):
    """Guards against LOST: connections live on in some partitions while new ones are refused."""

    async def check(system):
        async def connect(server, endpoint, timeout):
            return None

        caller, _ = await begin(system)
        system.node.parts.pool.connect = connect
        answer = await caller.read_response()
        assert answer.is_complete and answer.event_ids() == list(range(1, EVENTS + 1))

    run(check, tmp_path, resumable=False)


def test_a_stream_is_not_whole_when_its_engine_restarts_while_no_other_one_can_be_reached(
    tmp_path, monkeypatch
):
    """Guards against MIXED: open connections to other engines were taken for lost links."""

    async def check(system):
        pool = system.node.parts.pool
        connect, is_cut = pool.connect, [False]

        async def connect_unless_cut(server, endpoint, timeout):
            return None if is_cut[0] else await connect(server, endpoint, timeout)

        monkeypatch.setattr(pool, "connect", connect_unless_cut)
        callers = await begin_several(system, ENGINES)
        (ended, run), *_ = [
            (each.name, run)
            for each in system.engines()
            for run in runs_of(each)
            if len(runs_of(each)) == 1
        ]
        is_cut[0] = True
        await system.fleet.servers[ended].stop(resets=False)
        await asyncio.sleep(0.3)
        await system.restart_engine(ended, "v1")
        is_cut[0] = False
        answer = await callers[int(run.id.removeprefix("s-"))].read_response()
        ids = answer.event_ids()
        assert ids == list(range(1, len(ids) + 1)) and not answer.is_complete

    run(check, tmp_path, resumable=False)


@pytest.mark.parametrize("streams", [STREAMS, ENGINES])
def test_no_stream_is_whole_when_all_engines_of_its_service_are_killed(tmp_path, streams):
    """Guards against MIXED: with no engine in reach, ends of killed engines were taken as sent."""

    async def check(system):
        callers = await begin_several(system, streams)
        for server in system.fleet.servers.values():
            await server.stop(resets=False)
        for caller in callers:
            answer = await caller.read_response()
            ids = answer.event_ids()
            assert ids == list(range(1, len(ids) + 1)) and not answer.is_complete
            caller.abort()

    run(check, tmp_path, resumable=False)


def runs_of(engine):
    return engine.memory.runs.values()
