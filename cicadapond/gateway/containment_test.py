"""Tests on sockets: prompts that crash engines are kept away from the engines that remain."""

import asyncio

from cicadapond.gateway.harness import deployment
from cicadapond.platform.standin import FleetSettings

# Within this time all processes know what crashes engines.
CONTACT_S = 3.0
MAX_CRASHES = 8


def run(check, tmp_path, processes):
    async def main():
        cfg = FleetSettings(engines=0, services=0)
        async with deployment(tmp_path, cfg, processes) as system:
            async with asyncio.timeout(30):
                await check(system)

    asyncio.run(main())


def test_prompts_that_share_a_part_that_crashes_engines_are_contained(tmp_path):
    async def check(system):
        await crash_engines(system)
        await start_engine(system, "survivor")
        contained = [
            await ask(system, f"late-{node}", "aa:60,bad:30,z:10", node) for node in (0, 1)
        ]
        assert [answer.status for answer in contained] == [500, 500]
        assert system.engine("survivor").ids() == []
        assert (await ask(system, "sound", "aa:60,good:30,y:10")).is_complete

    run(check, tmp_path, processes=2)


def test_what_crashes_engines_stays_contained_after_all_processes_ended_at_once(tmp_path):
    async def check(system):
        await crash_engines(system)
        await system.until(lambda: system.fleet.store.rows("crash_causes", "", None), CONTACT_S)
        await system.restart_all()
        await start_engine(system, "survivor")
        contained = [
            await ask(system, f"late-{node}", "aa:60,bad:30,z:10", node) for node in (0, 1)
        ]
        assert [answer.status for answer in contained] == [500, 500]
        assert system.engine("survivor").ids() == []
        assert (await ask(system, "sound", "aa:60,good:30,y:10")).is_complete

    run(check, tmp_path, processes=2)


def test_a_request_on_trial_is_sent_and_its_success_ends_the_blame(tmp_path):
    async def check(system):
        await crash_engines(system)
        crashes = system.node.parts.crashes
        await system.add_engine("mended", "v1")
        assert (await ask(system, "late", "aa:60,bad:30,z:10")).status == 500
        trials = iter((True,))
        crashes.begin_trial = lambda cause, traits: next(trials, False)
        assert (await ask(system, "trial", "aa:60,bad:30,z:10")).is_complete
        await system.until(lambda: not crashes.culprits(), CONTACT_S)
        assert (await ask(system, "later", "aa:60,bad:30,z:10")).is_complete

    run(check, tmp_path, processes=1)


def test_prompts_that_share_the_first_part_with_crashing_ones_are_served_after_a_quiet_time(
    tmp_path,
):
    async def check(system):
        await crash_engines(system, is_quiet=True)
        await start_engine(system, "survivor")
        answers, number = [], 0
        while not answers or not all(answer.is_complete for answer in answers):
            answers = [
                await ask(system, f"sound-{number}-{node}", f"aa:60,good:30,y{number}:10", node)
                for node in (0, 1)
            ]
            assert all(answer.status in (200, 503) for answer in answers)
            number += 1
            await asyncio.sleep(0.2)
        late = [await ask(system, f"late-{node}", "aa:60,bad:30,z:10", node) for node in (0, 1)]
        assert [answer.status for answer in late] == [500, 500]
        assert not any(
            engine_id.startswith("late") for engine_id in system.engine("survivor").ids()
        )

    run(check, tmp_path, processes=2)


async def start_engine(system, name):
    await system.add_engine(name, "v1")
    system.engine(name).crashing_parts = frozenset({"bad"})


async def crash_engines(system, is_quiet=False):
    """Crashes engines until all nodes know by which part of prompts.

    Sound prompts are sent in between, unless it is quiet.
    """
    for number in range(MAX_CRASHES):
        if any(node.state()["crash_causes"] for node in system.nodes):
            break
        await crash_engine(system, f"e-{number}", number % len(system.nodes), is_quiet)
    await system.until(
        lambda: all(node.state()["crash_causes"] for node in system.nodes), CONTACT_S
    )


async def crash_engine(system, name, node, is_quiet):
    """Crashes an engine by a prompt that shares one part with the other crashing prompts only."""
    await start_engine(system, name)
    if not is_quiet:
        parts = f"aa:60,good-{name}:30,y:10"
        assert (await ask(system, f"sound-{name}", parts, node)).is_complete
    await ask(system, f"bad-{name}", f"aa:60,bad:30,own-{name}:10", node)
    system.fleet.unlist_server(name)
    await system.until(lambda: all(not node.parts.registry.all() for node in system.nodes))


async def ask(system, request_id, parts, node=0):
    caller = system.caller(node)
    headers = {"x_cicadapond_token_count": "100,20", "x_cicadapond_prefix_hash": parts}
    return await caller.exchange(request_id, "/stream/x", body=request_id.encode(), **headers)
