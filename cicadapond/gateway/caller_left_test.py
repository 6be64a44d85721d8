"""Sockets: no engine works on for a caller that has left, wherever its request is."""

import asyncio

from cicadapond.gateway.harness import MODEL_SERVICE, deployment
from cicadapond.platform.standin import EngineFault, FleetSettings

# Half a second after a caller has left, nothing works for it any more.
MAX_WORK_S = 0.5


def run(check, tmp_path, **settings):
    async def main():
        async with deployment(tmp_path, FleetSettings(engines=3, **settings)) as system:
            for engine in system.engines():
                engine.events, engine.event_interval_s = 200, 0.02
            async with asyncio.timeout(20):
                await check(system)

    asyncio.run(main())


def stopped(system):
    return [each for engine in system.engines() for each in engine.cancelled_streams]


def running(system):
    """Returns the engines that run a stream that was not stopped."""
    return [
        engine.name
        for engine in system.engines()
        if any(not each.is_stopped for each in engine.memory.runs.values())
    ]


def test_a_second_engine_stops_once_the_caller_leaves(tmp_path):
    """Guards against GONE, also below."""

    async def check(system):
        system.fail_next(EngineFault.RESET)
        caller = system.caller()
        await caller.stream("s-1")
        await system.until(lambda: len(system.ran()) == 2)
        caller.abort()
        await system.until(lambda: stopped(system) and not running(system), MAX_WORK_S)

    run(check, tmp_path)


def test_the_engine_to_which_a_stream_was_moved_stops_once_the_caller_leaves(tmp_path):
    async def check(system):
        caller = system.caller()
        await caller.stream("s-1", x_cicadapond_token_count="100,200")
        await system.until(lambda: running(system) and _events(system) >= 5)
        (source,) = running(system)
        system.fleet.list_server(source, MODEL_SERVICE, "draining", leaves_in_s=1.0)
        await system.until(lambda: running(system) and running(system) != [source])
        caller.abort()
        await system.until(lambda: stopped(system) and not running(system), MAX_WORK_S)

    run(check, tmp_path, moves=True)


def test_nothing_is_sent_for_a_caller_that_left_while_a_connection_was_made(tmp_path):
    async def check(system):
        pool, begun = system.node.parts.pool, []
        connect = pool.connect

        async def slow(*args):
            begun.append(args)
            await asyncio.sleep(0.1)
            return await connect(*args)

        pool.connect = slow
        caller = system.caller()
        await caller.stream("s-1")
        await system.until(lambda: begun)
        caller.abort()
        await asyncio.sleep(MAX_WORK_S)
        assert not system.ran()

    run(check, tmp_path)


def _events(system):
    runs = [run for engine in system.engines() for run in engine.memory.runs.values()]
    return max((run.events for run in runs), default=0)
