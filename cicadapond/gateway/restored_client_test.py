"""Usage reports through the client of the store while it goes back to an older copy."""

import asyncio

import pytest

from cicadapond.gateway.duties_test import WINDOW, Log, RecordingCloud, World
from cicadapond.gateway.usage_restore_test import Process, sent
from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.platform import PlatformStore
from cicadapond.platform.standin import StoreClient, StoreModel
from cicadapond.usage import UsageLedger, UsageWindows


class HoldingClient(StoreClient):
    """Holds back the next write of usage until `release` is set."""

    holds = False
    release: asyncio.Event

    async def call(self, method, target, headers, body, timeout, send_by=None):
        if self.holds and b'"table": "usage"' in body:
            self.holds = False
            await self.release.wait()
        return await super().call(method, target, headers, body, timeout, send_by)


@pytest.mark.parametrize("hears_era", [False, True])
def test_a_former_holder_does_not_report_what_its_own_late_write_stored_after_a_restore(hears_era):
    """Guards against ONE: the store's answer to that write is a success."""

    async def main():
        clock = VirtualClock()
        world = World(clock, None, RecordingCloud(), UsageWindows(WINDOW), UsageLedger())
        model = StoreModel(clock)
        clients = [HoldingClient(model, clock, seconds(0.005)) for _ in "ab"]
        first, second = (
            Process(world, name, PlatformStore(client, Log(), Metrics()))
            for name, client in zip("ab", clients, strict=True)
        )
        await first.run(5)
        window = max(sent(world)) + 1
        first.hears(window, 5)
        second.hears(window, 7)
        clients[0].release, clients[0].holds = asyncio.Event(), True
        while clients[0].holds:
            running = asyncio.ensure_future(first.run(0.5))
            await asyncio.sleep(0.5)
        before = model.copy()
        await second.run(6)
        assert sent(world)[window] == {"acme": 7}
        model.restore(before)
        if hears_era:
            first.tables.hear_era(model.era)
        clients[0].release.set()
        await running
        stored = {row.key for row in model.rows("usage", "", None)}
        assert f"{window:012d}" in stored
        await first.run(12)
        assert max(sent(world)) > window

    run_virtual(main())
