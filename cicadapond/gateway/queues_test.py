"""The queue in front of engines that state their pace, at a gateway process."""

import asyncio

from cicadapond.gateway.harness import MODEL_SERVICE, deployment
from cicadapond.serving import LoadHeader


def load_engines(system, waiting, pace):
    placer = system.node.parts.placer
    for entry in system.node.parts.registry.usable(MODEL_SERVICE):
        placer.best([entry], None)
        placer.update_load(entry.name, LoadHeader(entry.slots if waiting else 0, waiting, 6, pace))


def run(check, tmp_path):
    async def main():
        async with deployment(tmp_path) as system, asyncio.timeout(20):
            await check(system)

    asyncio.run(main())


async def stream(system, name):
    caller = system.caller()
    await caller.stream(name)
    return await caller.read_response()


def test_a_stream_that_will_not_be_in_time_is_rejected_and_never_run(tmp_path):
    async def check(system):
        load_engines(system, 100_000, 1.0)
        answer = await stream(system, "s-1")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) >= 1
        assert system.ran() == []

    run(check, tmp_path)


def test_a_waiting_stream_is_woken_when_its_engines_have_room(tmp_path):
    async def check(system):
        load_engines(system, 6, 1.0)
        waiting = asyncio.create_task(stream(system, "s-1"))
        await asyncio.sleep(0.1)
        assert system.ran() == []
        load_engines(system, 0, 1.0)
        assert (await waiting).event_ids() == [1, 2, 3, 4]

    run(check, tmp_path)


def test_engines_that_state_no_pace_have_no_queue(tmp_path):
    async def check(system):
        load_engines(system, 0, None)
        assert not system.node.parts.queues.is_on(MODEL_SERVICE)
        assert (await stream(system, "s-1")).event_ids() == [1, 2, 3, 4]

    run(check, tmp_path)
