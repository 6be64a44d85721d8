"""Quarantined requests in the table service survive restarts and outages and expire."""

import random

from cicadapond.kernel import Metrics, VirtualClock, run_virtual, seconds
from cicadapond.provider import Write
from cicadapond.quarantine import Quarantine, QuarantineTable
from cicadapond.standin import DirectTables, TableModel

TERM = seconds(600)


class World:
    def __init__(self):
        self.clock = VirtualClock()
        self.model = TableModel(self.clock, random.Random(1))
        self.metrics = Metrics()

    def process(self):
        quarantine = Quarantine(self.clock, lambda: TERM)
        rng = random.Random(2)
        tables = DirectTables(self.model)
        return quarantine, QuarantineTable(quarantine, tables, self.clock, self.metrics, rng)

    async def quarantine_request(self, quarantine, content_hash):
        quarantine.crashed(quarantine.started(content_hash, "e1"))
        quarantine.begin_wait(content_hash)
        await self.clock.sleep(seconds(5))
        quarantine.crashed(
            quarantine.started(content_hash, quarantine.assign_server(content_hash, ("e2",)))
        )
        assert content_hash in quarantine.quarantined()


def test_a_quarantine_survives_a_restart_and_an_outage():
    async def main():
        world = World()
        quarantine, table = world.process()
        await world.quarantine_request(quarantine, "p")
        world.model.faults.outage = True
        await table.write_once()
        assert world.metrics.counter("conviction_write_failures") == 1
        world.model.faults.outage = False
        await table.write_once()
        restarted, restarted_table = world.process()
        await restarted_table.read_once()
        assert restarted.quarantined() == quarantine.quarantined()

    run_virtual(main())


def test_expired_and_unreadable_rows_are_removed():
    async def main():
        world = World()
        quarantine, table = world.process()
        await world.quarantine_request(quarantine, "p")
        await table.write_once()
        tables = DirectTables(world.model)
        await tables.transact((Write("convictions", "bad", "no time"),))
        await table.read_once()
        assert [row.key for row in (await tables.scan("convictions")).value] == ["p"]
        await world.clock.sleep(TERM)
        await table.read_once()
        assert (await tables.scan("convictions")).value == ()
        assert quarantine.quarantined_until("p") is None

    run_virtual(main())
