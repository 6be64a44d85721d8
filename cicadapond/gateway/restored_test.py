"""Tests on sockets of a store that goes back to an older copy."""

import asyncio

from cicadapond.gateway.harness import deployment

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
