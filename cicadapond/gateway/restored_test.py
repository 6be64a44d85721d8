"""Tests on sockets of a store that goes back to an older copy."""

import asyncio
import contextlib
import itertools

from cicadapond.gateway.harness import deployment

# All processes serve again within this time of the store's return.
RECOVERY_S = 15
# Of the deployment: the length of a usage window, and the time from its end to its report.
WINDOW_S, SETTLE_S = 5, 4


def run(check, tmp_path, **settings):
    async def main():
        async with deployment(tmp_path, **settings) as system:
            await check(system)

    asyncio.run(main())


def test_a_window_is_not_reported_again_with_other_counts_after_the_store_went_back(tmp_path):
    async def check(system):
        store, reports = system.fleet.store, system.fleet.cloud.reports
        before = store.copy()
        await system.until(lambda: len(reports) >= 3)
        await system.until_joined()
        holder = next(node for node in system.nodes if node.state()["lease"]["held_here"])
        successor = next(node for node in system.nodes if node is not holder)
        usage = successor.parts.usage
        usage.count("late", usage.end(max(reports) - 1))
        await holder.abort()
        store.restore(before)
        reported = len(reports)
        # A new holder looks back before it reports a further window.
        await system.until(lambda: len(reports) > reported, timeout_s=2 * WINDOW_S + SETTLE_S)
        assert all(counts == sent[0] for sent in reports.values() for counts in sent), reports

    run(check, tmp_path, processes=2)


def test_no_revoked_key_is_accepted_and_all_processes_serve_after_the_store_went_back(tmp_path):
    async def check(system):
        fleet, number = system.fleet, itertools.count()

        async def status(node, key):
            caller = system.caller(node)
            with contextlib.suppress(ConnectionError):  # the process is starting
                answer = await caller.exchange(
                    f"r-{next(number)}", "/post/a", authorization=f"Token {key}"
                )
                return answer.status
            return None

        await system.until_joined()
        fleet.configure(keys=("good", "revoked"))
        before = fleet.store.copy()
        version = fleet.configure(keys=("good",))
        nodes = range(len(system.nodes))
        await system.until(
            lambda: all(n.parts.active_configuration.version == version for n in system.nodes)
        )
        fleet.store.is_down = True
        await asyncio.sleep(0.5)
        fleet.store.restore(before)
        fleet.store.is_down = False
        await system.restart(1)
        served = set()
        async with asyncio.timeout(RECOVERY_S):
            while len(served) < len(nodes):
                for node in nodes:
                    assert await status(node, "revoked") != 200
                    if await status(node, "good") == 200:
                        served.add(node)
                await asyncio.sleep(0.05)
        assert fleet.store.rows("op", "config", None)[0].version == before.version

    run(check, tmp_path, processes=3)
