"""End-to-end tests on sockets: streams of an engine that is withdrawn go on at another one.

They guard against streams that are cut by the end of their engine, and against moves that run a
request twice, drop or repeat events, or blame an engine that was asked to stop a run.
"""

import asyncio

import pytest

from cicadapond.gateway.harness import MODEL_SERVICE, deployment
from cicadapond.platform.standin import FleetSettings, MoveFault
from cicadapond.platform.standin._moves import MAX_OVERLAP_S

EVENTS, INTERVAL_S = 60, 0.02
NOTICE_S = 0.7


def run(check, tmp_path, resumable=False, events=EVENTS):
    async def main():
        cfg = FleetSettings(engines=3, resumable=resumable, moves=True)
        async with deployment(tmp_path, cfg) as system:
            for engine in system.engines():
                engine.events, engine.event_interval_s = events, INTERVAL_S
            async with asyncio.timeout(20):
                await check(system)
                await asyncio.sleep(MAX_OVERLAP_S)
                assert all(engine.memory.double_runs == [] for engine in system.engines())

    asyncio.run(main())


async def begin(system, tokens=f"100,{EVENTS}"):
    """Sends a stream; returns its caller and the name of its engine once it has made events."""
    caller = system.caller()
    await caller.stream("s-1", x_cicadapond_token_count=tokens)
    await system.until(lambda: any(runs(each) for each in system.engines()))
    (source,) = [each.name for each in system.engines() if runs(each)]
    return caller, source


def runs(engine):
    return [run for run in engine.memory.runs.values() if run.events >= 5]


async def withdraw(system, source):
    """Gives notice of an engine's end, and ends it then."""
    system.fleet.list_server(source, MODEL_SERVICE, "draining", leaves_in_s=NOTICE_S)
    await asyncio.sleep(NOTICE_S)
    await system.fleet.servers[source].stop()


def handles(system):
    return [handle for each in system.engines() for handle in each.memory.copies]


def count(system, name, **labels):
    return system.node.parts.metrics.counter(name, **labels)


async def exchange(system, *faults):
    """Streams from an engine that is withdrawn; returns the answer and the engine."""
    caller, source = await begin(system)
    system.engine(source).memory.faults = list(faults)
    ending = asyncio.ensure_future(withdraw(system, source))
    answer = await caller.read_response()
    await ending
    return answer, source


def assert_whole(answer):
    assert answer.is_complete and answer.event_ids() == list(range(1, EVENTS + 1))


@pytest.mark.parametrize("resumable", [False, True])
def test_a_stream_outlives_its_engine(tmp_path, resumable):
    async def check(system):
        parts, blamed = system.node.parts, []
        parts.health.record_failure = lambda *evidence: blamed.append(evidence)
        parts.crashes.record_broken_connection = lambda *evidence: blamed.append(evidence)
        answer, source = await exchange(system)
        assert_whole(answer)
        assert answer.headers["x-cicadapond-response-signature"] == f"s-s-1-{source}"
        assert len(system.ran()) == 2 and handles(system) == []
        assert count(system, "streams_moved", service=MODEL_SERVICE) == 1
        assert blamed == []

    run(check, tmp_path, resumable)


def test_a_run_that_is_stopped_after_its_last_event_ends_whole(tmp_path):
    async def check(system):
        for engine in system.engines():
            engine.events, engine.event_interval_s = 5, 0.2
        answer, source = await exchange(system)
        assert system.engine(source).memory.moves == ["s-1"]
        assert answer.is_complete and answer.event_ids() == [1, 2, 3, 4, 5]

    run(check, tmp_path)


@pytest.mark.parametrize("services", [[], [{"name": MODEL_SERVICE, "max_connections": 50}]])
def test_a_stream_outlives_its_engine_and_the_service_in_the_configuration(tmp_path, services):
    """Guards against LOST: the moves ended with an error, and engines with all of their streams."""

    async def check(system):
        caller, source = await begin(system)
        version = system.fleet.configure(services=services)
        configuration = system.node.parts.active_configuration
        await system.until(lambda: configuration.version == version)
        ending = asyncio.ensure_future(withdraw(system, source))
        assert_whole(await caller.read_response())
        await ending

    run(check, tmp_path)


@pytest.mark.parametrize("taken", ["key", "route", "freshness"])
def test_a_stream_outlives_its_engine_and_its_key_or_route(tmp_path, monkeypatch, taken):
    """Guards against LOST: a run was stopped to be moved, and then refused as a new request is."""

    async def check(system):
        caller, source = await begin(system)
        configuration = system.node.parts.active_configuration
        if taken == "freshness":  # the store is away for longer than keys may be used
            monkeypatch.setattr(configuration, "may_use_keys", lambda: False)
        else:
            routes = system.fleet.routes()[1 if taken == "route" else 0 :]
            keys = ("another-key",) if taken == "key" else None
            version = system.fleet.configure(keys, routes=routes)
            await system.until(lambda: configuration.version == version)
        ending = asyncio.ensure_future(withdraw(system, source))
        assert_whole(await caller.read_response())
        await caller.stream("s-2")
        answer = await caller.read_response()
        assert answer.status == {"key": 401, "route": 404, "freshness": 503}[taken]
        await ending

    run(check, tmp_path)


def test_a_moved_stream_is_moved_again_without_its_service(tmp_path):
    """Guards against LOST: a run that was moved once was cut at the end of its second engine."""

    async def check(system):
        caller, source = await begin(system)
        version = system.fleet.configure(services=[])
        configuration = system.node.parts.active_configuration
        await system.until(lambda: configuration.version == version)
        first = asyncio.ensure_future(withdraw(system, source))
        second = await next_engine(system, source)
        last = asyncio.ensure_future(withdraw(system, second))
        assert_whole(await caller.read_response())
        assert count(system, "streams_moved", service=MODEL_SERVICE) == 2
        await asyncio.gather(first, last)

    run(check, tmp_path)


async def next_engine(system, source):
    """Returns the engine to which a run was moved, once it has made events there."""
    others = [each for each in system.engines() if each.name != source]
    await system.until(lambda: any(runs(each) for each in others))
    return next(each.name for each in others if runs(each))


def test_a_stream_outlives_its_engine_when_its_version_gets_no_requests(tmp_path, monkeypatch):
    """Guards against LOST: a run was stopped to be moved, and then refused as a new request is."""

    async def check(system):
        caller, source = await begin(system)
        monkeypatch.setattr(system.node.parts.rollouts, "is_stopped", lambda entry: True)
        ending = asyncio.ensure_future(withdraw(system, source))
        assert_whole(await caller.read_response())
        await ending

    run(check, tmp_path)


@pytest.mark.parametrize("taken", ["key", "route"])
def test_a_resumable_stream_whose_move_fails_outlives_its_key_or_route(tmp_path, taken):
    """Guards against LOST: a run was stopped to be moved, and its stream not begun elsewhere."""

    async def check(system):
        caller, source = await begin(system)
        configuration = system.node.parts.active_configuration
        routes = system.fleet.routes()[1 if taken == "route" else 0 :]
        keys = ("another-key",) if taken == "key" else None
        version = system.fleet.configure(keys, routes=routes)
        await system.until(lambda: configuration.version == version)
        system.engine(source).memory.faults = [MoveFault.FOREIGN]
        ending = asyncio.ensure_future(withdraw(system, source))
        assert_whole(await caller.read_response())
        await ending

    run(check, tmp_path, resumable=True)


def test_without_the_setting_nothing_is_moved(tmp_path):
    async def check(system):
        system.fleet.cfg = FleetSettings(engines=3, resumable=False)
        version = system.fleet.configure()
        configuration = system.node.parts.active_configuration
        await system.until(lambda: configuration.version == version)
        answer, _ = await exchange(system)
        assert not answer.is_complete and len(system.ran()) == 1

    run(check, tmp_path)


def test_a_notice_that_leaves_enough_time_moves_nothing(tmp_path):
    async def check(system):
        # The stream takes 1.2 s and the engine serves for 2 s at least.
        caller, source = await begin(system)
        system.fleet.list_server(source, MODEL_SERVICE, "draining")
        answer = await caller.read_response()
        assert_whole(answer)
        assert system.engine(source).memory.moves == [] and system.ran() == ["s-1"]

    run(check, tmp_path)


@pytest.mark.parametrize("fault", [MoveFault.NO_ROOM, MoveFault.DECLINED, MoveFault.BUSY])
def test_a_stream_that_finds_no_room_goes_on_and_is_moved_later(tmp_path, fault):
    async def check(system):
        answer, _ = await exchange(system, fault)
        assert_whole(answer)
        assert handles(system) == []
        assert count(system, "streams_moved", service=MODEL_SERVICE) == 1

    run(check, tmp_path)


def test_a_lost_copy_sends_the_run_back_to_its_engine(tmp_path):
    async def check(system):
        answer, source = await exchange(system, MoveFault.COPY_LOST)
        assert_whole(answer)
        assert system.engine(source).ids() == ["s-1", "s-1"]

    run(check, tmp_path)


@pytest.mark.parametrize("fault", [MoveFault.LOST_ANSWER, MoveFault.SLOW])
def test_a_move_whose_answer_is_lost_or_late_is_completed(tmp_path, fault):
    async def check(system):
        answer, _ = await exchange(system, fault)
        assert_whole(answer)
        assert handles(system) == []

    run(check, tmp_path)


def test_a_lost_call_is_repeated(tmp_path):
    async def check(system):
        answer, _ = await exchange(system, MoveFault.LOST_CALL)
        assert_whole(answer)

    run(check, tmp_path)


@pytest.mark.parametrize("fault", [MoveFault.DIES, MoveFault.FOREIGN])
def test_a_resumable_stream_is_resumed_if_its_move_fails(tmp_path, fault):
    async def check(system):
        answer, _ = await exchange(system, fault)
        assert_whole(answer)
        assert handles(system) == []

    run(check, tmp_path, resumable=True)


@pytest.mark.parametrize("fault", [MoveFault.DIES, MoveFault.FOREIGN])
def test_a_stream_that_is_not_resumable_never_runs_twice(tmp_path, fault):
    async def check(system):
        answer, _ = await exchange(system, fault)
        assert not answer.is_complete
        assert answer.event_ids() == list(range(1, len(answer.event_ids()) + 1))
        assert system.ran() == ["s-1"] and handles(system) == []

    run(check, tmp_path)


def test_a_copy_is_freed_if_the_caller_leaves_during_the_move(tmp_path):
    async def check(system):
        caller, source = await begin(system)
        memory = system.engine(source).memory
        memory.transfer_s = 0.2
        system.fleet.list_server(source, MODEL_SERVICE, "draining", leaves_in_s=NOTICE_S)
        await system.until(lambda: memory.moves)
        caller.abort()
        await system.until(lambda: memory.freed)
        assert handles(system) == [] and len(system.ran()) == 1

    run(check, tmp_path)
